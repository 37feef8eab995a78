import json
import time
from collections import Counter

import pytest

from citrondock_standins.fleet import Fleet, FleetPlan
from citrondock_standins.raw_http_client import (
    connect,
    head,
    read_response,
    read_until_close,
    send,
)
from citrondock_standins.small_deployment import (
    account_api_key,
    configuration_publisher,
)

MAX_CONNECTIONS = 40
PLAN = FleetPlan(
    router_zones=("a",),
    application_zones=("a",),
    settings={
        "callers": {
            "max_connections": MAX_CONNECTIONS,
            "max_head_bytes": 4_096,
            "max_body_bytes": 100_000,
            "head_timeout_s": 1.0,
            "body_timeout_s": 2.0,
            "worker_count": 2,
        },
        "shutdown": {"drain_grace_s": 0.1, "deadline_s": 5},
    },
)
CHAT = "POST /v1/chat/completions HTTP/1.1"
POST = "POST /works HTTP/1.1"
CHUNKED = "Transfer-Encoding: chunked"


@pytest.fixture(scope="module")
def fleet():
    with Fleet(PLAN, publish=configuration_publisher()) as running:
        running.wait_ready()
        yield running


@pytest.fixture
def port(fleet):
    return fleet.routers["router-a1"].process.callers_port


@pytest.fixture
def runs(fleet):
    return lambda: fleet.applications[0].process.read("/control/runs")["runs"]


@pytest.fixture(autouse=True)
def check_still_serving(fleet, port):
    yield
    response = send(port, head(account="bob"))
    assert response.status == 200
    lines = "\n".join(fleet.routers["router-a1"].process.lines)
    assert "_error" not in lines
    assert "Traceback" not in lines


def chat_request(text):
    body = text if isinstance(text, bytes) else text.encode()
    return head(CHAT, f"Content-Length: {len(body)}") + body


class TestMalformedRequests:
    @pytest.mark.parametrize(
        "data",
        [
            pytest.param(b"\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03", id="tls"),
            pytest.param(b"rubbish\r\n\r\n", id="rubbish"),
            pytest.param(head("GET /works HTTP/0.9"), id="http-0.9"),
            pytest.param(head("GET /works HTTP/3.0"), id="version"),
            pytest.param(head("CONNECT a:1 HTTP/1.1"), id="connect"),
            pytest.param(head("GET http://b/works HTTP/1.1"), id="absolute"),
            pytest.param(head().replace(b"\r\n", b"\n"), id="bare-line-feeds"),
            pytest.param(head("GET /works HTTP/1.1", "X: a\r\n b"), id="obs-fold"),
            pytest.param(head("GET /works HTTP/1.1", "X: a\0b"), id="nul"),
            pytest.param(head("GET /works HTTP/1.1", "X: a\rB: c"), id="bare-return"),
            pytest.param(head("GET /wo\0rks HTTP/1.1"), id="nul-in-path"),
            pytest.param(head(POST, "Content-Length : 1") + b"x", id="blank-in-name"),
            pytest.param(head(POST, "Content-Length: +1") + b"x", id="plus"),
            pytest.param(head(POST, "Content-Length: -1") + b"x", id="minus"),
            pytest.param(head(POST, "Content-Length: 0x1") + b"x", id="hexadecimal"),
            pytest.param(head(POST, "Content-Length: 1, 1") + b"x", id="list"),
            pytest.param(head(POST, f"Content-Length: {'9' * 40}"), id="overflow"),
            pytest.param(
                head(POST, "Content-Length: 1", "Content-Length: 2") + b"xy",
                id="two-lengths",
            ),
            pytest.param(
                head(POST, "Content-Length: 5", CHUNKED) + b"0\r\n\r\n",
                id="length-and-chunked",
            ),
            pytest.param(
                head(POST, "Transfer-Encoding: gzip, chunked") + b"0\r\n\r\n",
                id="two-codings",
            ),
            pytest.param(
                head("POST /works HTTP/1.0", "Connection: Keep-Alive", CHUNKED)
                + b"0\r\n\r\n",
                id="chunked-http-1.0",
            ),
            pytest.param(head(POST, CHUNKED) + b"-1\r\nx\r\n", id="chunk-minus"),
            pytest.param(head(POST, CHUNKED) + b"1\r\nxyz\r\n", id="chunk-too-long"),
            pytest.param(head(POST, CHUNKED) + b"0\r\nX-T: 9\r\n\r\n", id="trailer"),
            pytest.param(
                head(POST, "Connection: Upgrade", "Upgrade: h2c", "Content-Length: 1")
                + b"x",
                id="upgrade-with-body",
            ),
            pytest.param(
                head(
                    "GET /works HTTP/1.1",
                    f"Authorization: Bearer {account_api_key('bob')}",
                ),
                id="two-keys",
            ),
            pytest.param(
                head(POST, "Idempotency-Key: a", "Idempotency-Key: b"),
                id="two-idempotency-keys",
            ),
        ],
    )
    def test_malformed_request_is_refused_as_not_run(self, port, runs, data):
        before = len(runs())

        status, reason, ran, _ = send(port, data).refusal

        assert (status, reason, ran) == (400, "bad_request", "no")
        assert len(runs()) == before

    @pytest.mark.parametrize(
        "data",
        [
            pytest.param(head("GET /" + "a" * 5_000 + " HTTP/1.1"), id="line"),
            pytest.param(b"GET /" + b"a" * 50_000, id="endless-line"),
            pytest.param(head("GET /works HTTP/1.1", "X: " + "a" * 5_000), id="header"),
            pytest.param(head("GET / HTTP/1.1", *["X: a"] * 1_000), id="headers"),
            pytest.param(head(POST, "Content-Length: 100001"), id="declared-body"),
            pytest.param(
                head(POST, CHUNKED) + (b"4000\r\n" + b"x" * 0x4000 + b"\r\n") * 8,
                id="chunked-body",
            ),
        ],
    )
    def test_overlong_part_is_refused(self, port, data):
        status, reason, ran, _ = send(port, data).refusal

        assert (status, reason, ran) == (413, "too_large", "no")


class TestMisleadingRequests:
    @pytest.mark.parametrize(
        "path",
        ["/works/../bookings/1", "/works/%2e%2E/bookings/1", "/works/..\\bookings/1"],
    )
    def test_path_traversal_is_refused(self, port, runs, path):
        before = len(runs())

        assert send(port, head(f"GET {path} HTTP/1.1")).refusal[1:3] == (
            "bad_request",
            "no",
        )
        assert len(runs()) == before

    def test_chunked_body_ends_before_the_next_request(self, port, runs):
        body = b"5\r\nhello\r\n0\r\n\r\n"
        second = head("GET /works/second HTTP/1.1", "Connection: close")
        with connect(port) as sock:
            sock.sendall(head(POST, CHUNKED) + body + second)
            responses = read_until_close(sock)

        assert responses.count(b"HTTP/1.1 200") == 2
        assert [run["path"] for run in runs()[-2:]] == ["/works", "/works/second"]

    def test_callers_cannot_set_router_headers(self, port, fleet):
        forged = ("X-Request-Id: req-1", "X-Client-Account: bob", "X-Ran: no")
        response = send(port, head("GET /works HTTP/1.1", *forged))

        assert response.status == 200
        assert response.request_id != "req-1"

    @pytest.mark.parametrize("name", ["X-Deadline-Ms", "X-Cost-Hint-Tokens"])
    @pytest.mark.parametrize("number", ["9" * 400, "\xb2", "1e9", "-1", "NaN"])
    def test_invalid_numbers_are_refused(self, port, name, number):
        got = send(port, head("GET /works HTTP/1.1", f"{name}: {number}")).refusal

        assert got == (400, "bad_request", "no", "admission")

    @pytest.mark.parametrize(
        "body",
        [
            "[" * 90_000,
            '{"model":' * 10_000,
            '{"model": ' + "9" * 9_000 + "}",
            '{"model": "small", "stream": 1e999}',
            b'{"model": "\xff"}',
            b"\x00" * 100,
            "null",
        ],
    )
    def test_invalid_json_is_refused(self, port, body):
        got = send(port, chat_request(body)).refusal

        assert got == (400, "bad_request", "no", "admission")

    def test_refusal_quotes_only_a_short_part_of_the_request(self, port):
        response = send(port, chat_request(json.dumps({"model": "m" * 90_000})))

        assert len(response.body) < 1_000


class TestUnfinishedRequests:
    @pytest.mark.parametrize(
        "data", [b"", b"GET /wor", head(POST, "Content-Length: 9") + b"x"]
    )
    def test_disconnect_before_the_request_is_complete(self, port, data):
        with connect(port) as sock:
            sock.sendall(data)

    @pytest.mark.parametrize(
        "data", [b"GET /wor", head(POST, "Content-Length: 9") + b"x"]
    )
    def test_incomplete_request_is_refused_after_its_timeout(self, port, data):
        got = send(port, data).refusal

        assert got == (400, "bad_request", "no", "intake")

    def test_connection_stays_open_after_a_refusal(self, port):
        with connect(port) as sock:
            for _ in range(3):
                sock.sendall(head("GET /nowhere HTTP/1.1"))
                assert read_response(sock).status == 404

    def test_refusal_reaches_a_caller_that_is_still_sending(self, port):
        with connect(port) as sock:
            sock.sendall(head(POST, "Content-Length: 100001"))
            for _ in range(5):
                time.sleep(0.02)
                sock.sendall(b"x" * 1_000)
            time.sleep(0.05)
            assert read_response(sock).status == 413


class TestFloods:
    def test_unfinished_bodies_of_one_account_do_not_block_others(self, port):
        flood = [connect(port) for _ in range(MAX_CONNECTIONS - 5)]
        try:
            for sock in flood:
                sock.sendall(head(POST, "Content-Length: 50000") + b"x")
            response = send(port, head(account="bob"))
            refusals = Counter(read_response(sock).refusal for sock in flood)
        finally:
            for sock in flood:
                sock.close()

        full = refusals.pop((429, "account_queue_full", "no", "intake"))
        late = refusals.pop((400, "bad_request", "no", "intake"))
        assert full >= len(flood) - MAX_CONNECTIONS // 4
        assert full + late == len(flood)
        assert response.status == 200

    @pytest.mark.parametrize("data", [b"", b"GET /works HT"])
    def test_idle_connections_and_slow_heads_are_evicted(self, port, data):
        flood = [connect(port) for _ in range(3 * MAX_CONNECTIONS)]
        try:
            for sock in flood:
                sock.sendall(data)
            response = send(port, head(account="bob"))
        finally:
            for sock in flood:
                sock.close()

        assert response.status == 200


class TestHeadCheck:
    def test_unknown_key_is_refused_before_its_body_is_received(self, port):
        with connect(port) as sock:
            sock.sendall(head(POST, "Content-Length: 9", account="nobody"))
            response = read_response(sock)

        assert response.refusal == (401, "unknown_key", "no", "admission")

    def test_expect_continue_gets_100_continue(self, port):
        with connect(port) as sock:
            sock.sendall(head(POST, "Content-Length: 1", "Expect: 100-continue"))
            interim = sock.recv(100)
            sock.sendall(b"x")
            assert interim == b"HTTP/1.1 100 Continue\r\n\r\n"
            assert read_response(sock).status == 200
