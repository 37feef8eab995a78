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
    def test_stream_is_whole_and_carries_the_request_id(self, url):
        answer = chat(url, stream=True)

        *events, usage, done = answer.data.decode().split("\n\n")[:-1]
        documents = [json.loads(event.removeprefix("data: ")) for event in events]
        text = "".join(each["choices"][0]["delta"]["content"] for each in documents)
        assert answer.headers["Content-Type"].startswith("text/event-stream")
        assert {each["id"] for each in documents} == {answer.headers["X-Request-Id"]}
        assert text == expected_text({**BODY, "max_tokens": 5})
        assert '"completion_tokens": 5' in usage
        assert done == "data: [DONE]"

    def test_answer_without_stream(self, url):
        answer = chat(url)

        message = answer.json()["choices"][0]["message"]
        assert message["content"] == expected_text({**BODY, "max_tokens": 5})
        assert answer.json()["id"] == answer.headers["X-Request-Id"]

    def test_connection_is_kept_for_the_next_request(self, fleet):
        with urllib3.connection_from_url(
            fleet.routers["router-a1"].callers_url, maxsize=1, block=True, retries=False
        ) as pool:
            for _ in range(3):
                answer = pool.request(
                    "POST",
                    "/v1/chat/completions",
                    body=json.dumps({**BODY, "stream": True, "max_tokens": 2}),
                    headers={"Authorization": f"Bearer {account_api_key('bob')}"},
                )
                assert answer.data.endswith(b"data: [DONE]\n\n")
            assert pool.num_connections == 1


class TestPlainCalls:
    @pytest.mark.parametrize("method", ["GET", "POST", "PUT", "DELETE"])
    def test_any_method_and_body_reach_the_service(self, fleet, url, method):
        body = b"" if method == "GET" else b"\x00body"
        answer = call(url, "/works/7?page=2", method=method, body=body)

        runs = fleet.applications[0].process.read("/control/runs")["runs"]
        assert answer.status == 200
        assert runs[-1]["method"] == method
        assert (runs[-1]["path"], runs[-1]["query"]) == ("/works/7", {"page": "2"})
        assert runs[-1]["request_id"] == answer.headers["X-Request-Id"]


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
    def test_refusal_is_typed_and_true(self, fleet, url, arguments, status, reason):
        before = fleet.applications[0].process.read("/control/runs")["runs"]
        answer = call(url, **{"path": "/works", **arguments})

        error = answer.json()["error"]
        assert answer.status == status
        assert (error["reason"], error["ran"]) == (reason, "no")
        assert error["step"] == "admission"
        assert error["request_id"] == answer.headers["X-Request-Id"]
        after = fleet.applications[0].process.read("/control/runs")["runs"]
        assert len(after) == len(before)

    def test_conflicting_lengths_are_refused(self, fleet):
        answer = call(
            fleet.routers["router-a1"].callers_url,
            "/works",
            body=b"0\r\n\r\n",
            **{"Content-Length": "5", "Transfer-Encoding": "chunked"},
        )

        assert answer.status == 400


class TestOperators:
    def test_status_names_both_routers(self, fleet):
        operators = fleet.routers["router-a1"].operators_url

        status = HTTP.request("GET", operators + "/v1/status").json()

        assert status["configuration_revision"] == 1
        assert status["vm_name"] == "router-a1"

    def test_caller_port_has_no_operators_pages(self, url):
        assert call(url, "/metrics", method="GET").status == 404
        assert call(url, "/v1/status", method="GET").status == 404

    def test_explain_tells_where_a_request_ran(self, fleet, url):
        request_id = chat(url).headers["X-Request-Id"]
        operators = fleet.routers["router-b1"].operators_url

        answer = HTTP.request("GET", f"{operators}/v1/explain/{request_id}").json()

        assert any("started on engine-" in line for line in answer["lines"])


class TestKeyedCalls:
    def book(self, fleet, router, key, body=b"seat 7"):
        url = fleet.routers[router].callers_url
        return call(url, "/bookings/7", body=body, **{"Idempotency-Key": key})

    def runs(self, fleet, key):
        runs = fleet.applications[0].process.read("/control/runs")["runs"]
        return [run for run in runs if run["idempotency_key"] == key]

    def test_a_retry_at_another_router_gets_the_first_answer(self, fleet):
        first = self.book(fleet, "router-a1", "k1")
        again = self.book(fleet, "router-b1", "k1")

        assert (first.status, again.status) == (200, 200)
        assert first.data == again.data
        assert again.headers["Idempotency-Replayed"] == "true"
        assert len(self.runs(fleet, "k1")) == 1

    def test_another_request_under_the_same_key_is_refused(self, fleet):
        self.book(fleet, "router-a1", "k2")
        other = self.book(fleet, "router-a1", "k2", body=b"seat 8")

        assert other.json()["error"]["reason"] == "bad_request"
        assert len(self.runs(fleet, "k2")) == 1

    def test_a_store_outage_refuses_as_not_run(self, fleet):
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
