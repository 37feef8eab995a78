import json

import pytest
import urllib3

from citrondock_standins.engine_text import expected_text
from citrondock_standins.fleet import EnginePlan, Fleet, FleetPlan
from citrondock_standins.small_deployment import (
    account_api_key,
    configuration_publisher,
)

HTTP = urllib3.PoolManager(retries=False, timeout=20.0)
BODY = {"model": "small", "messages": [{"role": "user", "content": "hi"}]}
PLAN = FleetPlan(
    router_zones=("a", "b"),
    engines=(
        EnginePlan(availability_zone="a", speed=8),
        EnginePlan(availability_zone="b", speed=8),
    ),
    application_zones=("a",),
    settings={"shutdown": {"drain_grace_s": 0.1, "deadline_s": 10}},
)


@pytest.fixture(scope="module")
def fleet():
    with Fleet(PLAN, publish=configuration_publisher()) as running:
        running.wait_ready()
        running.wait_joined()
        yield running


@pytest.fixture(params=["router-a1", "router-b1"])
def url(request, fleet):
    return fleet.routers[request.param].callers_url


def call(url, path, *, key="alice", method="POST", body=b"", **headers):
    sent = {"Authorization": f"Bearer {account_api_key(key)}", **headers}
    return HTTP.request(method, url + path, body=body, headers=sent)


def chat(url, **fields):
    body = {**BODY, "max_tokens": 5, **fields}
    return call(url, "/v1/chat/completions", body=json.dumps(body).encode())


class TestChat:
    def test_stream_is_complete_and_carries_the_request_id(self, url):
        response = chat(url, stream=True)

        *events, usage, done = response.data.decode().split("\n\n")[:-1]
        documents = [json.loads(event.removeprefix("data: ")) for event in events]
        text = "".join(each["choices"][0]["delta"]["content"] for each in documents)
        assert response.headers["Content-Type"].startswith("text/event-stream")
        assert {each["id"] for each in documents} == {response.headers["X-Request-Id"]}
        assert text == expected_text({**BODY, "max_tokens": 5})
        assert '"completion_tokens": 5' in usage
        assert done == "data: [DONE]"

    def test_response_without_stream(self, url):
        response = chat(url)

        message = response.json()["choices"][0]["message"]
        assert message["content"] == expected_text({**BODY, "max_tokens": 5})
        assert response.json()["id"] == response.headers["X-Request-Id"]

    def test_connection_is_reused_for_the_next_request(self, fleet):
        with urllib3.connection_from_url(
            fleet.routers["router-a1"].callers_url, maxsize=1, block=True, retries=False
        ) as pool:
            for _ in range(3):
                response = pool.request(
                    "POST",
                    "/v1/chat/completions",
                    body=json.dumps({**BODY, "stream": True, "max_tokens": 2}),
                    headers={"Authorization": f"Bearer {account_api_key('bob')}"},
                )
                assert response.data.endswith(b"data: [DONE]\n\n")
            assert pool.num_connections == 1


class TestPlainCalls:
    @pytest.mark.parametrize("method", ["GET", "POST", "PUT", "DELETE"])
    def test_any_method_and_body_reach_the_service(self, fleet, url, method):
        body = b"" if method == "GET" else b"\x00body"
        response = call(url, "/works/7?page=2", method=method, body=body)

        runs = fleet.applications[0].process.read("/control/runs")["runs"]
        assert response.status == 200
        assert runs[-1]["method"] == method
        assert (runs[-1]["path"], runs[-1]["query"]) == ("/works/7", {"page": "2"})
        assert runs[-1]["request_id"] == response.headers["X-Request-Id"]


class TestRefusals:
    @pytest.mark.parametrize(
        ("arguments", "status", "reason"),
        [
            ({"key": "nobody"}, 401, "unknown_key"),
            ({"path": "/nowhere"}, 404, "unknown_service"),
            ({"path": "/v1/chat/completions", "body": b"{"}, 400, "bad_request"),
            ({"X-Deadline-Ms": "soon"}, 400, "bad_request"),
            ({"body": b"x" * 8_000_001}, 413, "too_large"),
        ],
    )
    def test_refusal_has_status_reason_and_step(
        self, fleet, url, arguments, status, reason
    ):
        before = fleet.applications[0].process.read("/control/runs")["runs"]
        response = call(url, **{"path": "/works", **arguments})

        error = response.json()["error"]
        assert response.status == status
        assert (error["reason"], error["ran"]) == (reason, "no")
        assert error["step"] == "admission"
        assert error["request_id"] == response.headers["X-Request-Id"]
        after = fleet.applications[0].process.read("/control/runs")["runs"]
        assert len(after) == len(before)

    def test_conflicting_lengths_are_refused(self, fleet):
        response = call(
            fleet.routers["router-a1"].callers_url,
            "/works",
            body=b"0\r\n\r\n",
            **{"Content-Length": "5", "Transfer-Encoding": "chunked"},
        )

        assert response.status == 400


class TestOperators:
    def test_status_shows_vm_name_and_configuration_revision(self, fleet):
        operators = fleet.routers["router-a1"].operators_url

        status = HTTP.request("GET", operators + "/v1/status").json()

        assert status["configuration_revision"] == 1
        assert status["vm_name"] == "router-a1"

    def test_caller_port_has_no_operator_pages(self, url):
        assert call(url, "/metrics", method="GET").status == 404
        assert call(url, "/v1/status", method="GET").status == 404

    def test_explain_shows_where_a_request_ran(self, fleet, url):
        request_id = chat(url).headers["X-Request-Id"]
        operators = fleet.routers["router-b1"].operators_url

        response = HTTP.request("GET", f"{operators}/v1/explain/{request_id}").json()

        assert any("started on engine-" in line for line in response["lines"])


class TestKeyedCalls:
    def book(self, fleet, router, key, body=b"seat 7"):
        url = fleet.routers[router].callers_url
        return call(url, "/bookings/7", body=body, **{"Idempotency-Key": key})

    def runs(self, fleet, key):
        runs = fleet.applications[0].process.read("/control/runs")["runs"]
        return [run for run in runs if run["idempotency_key"] == key]

    def test_retry_at_another_router_gets_the_first_response(self, fleet):
        first = self.book(fleet, "router-a1", "k1")
        again = self.book(fleet, "router-b1", "k1")

        assert (first.status, again.status) == (200, 200)
        assert first.data == again.data
        assert again.headers["Idempotency-Replayed"] == "true"
        assert len(self.runs(fleet, "k1")) == 1

    def test_other_request_with_the_same_key_is_refused(self, fleet):
        self.book(fleet, "router-a1", "k2")
        other = self.book(fleet, "router-a1", "k2", body=b"seat 8")

        assert other.json()["error"]["reason"] == "bad_request"
        assert len(self.runs(fleet, "k2")) == 1

    def test_store_outage_refuses_keyed_calls_as_not_run(self, fleet):
        fleet.store_process.set_faults(outage="refuse")
        try:
            refused = self.book(fleet, "router-a1", "k3")
            works = call(fleet.routers["router-a1"].callers_url, "/works")
        finally:
            fleet.store_process.set_faults()

        error = refused.json()["error"]
        assert (error["reason"], error["ran"]) == ("claim_unavailable", "no")
        assert works.status == 200
        assert self.runs(fleet, "k3") == []
