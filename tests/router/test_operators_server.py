import json
import threading

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from citrondock_router.operators_server import OperatorHandler, OperatorsServer
from citrondock_standins.raw_http_client import connect, head, read_response, send

DRAIN = "POST /v1/drain HTTP/1.1"


class FakeHandler(OperatorHandler):
    """Fixed state of a router; records the drain requests."""

    def __init__(self):
        self.drained = []

    def is_ready(self):
        return True

    def metrics(self):
        return b"citrondock_up 1\n"

    def status(self):
        return {"vm_name": "router-a1"}

    def explain(self, subject):
        if subject == "broken":
            raise ValueError("broken")
        return [subject]

    def drain(self, request):
        self.drained.append(request)
        return True


@pytest.fixture(scope="module")
def handler():
    return FakeHandler()


@pytest.fixture(scope="module")
def port(handler):
    server = OperatorsServer(host="127.0.0.1", port=0, handler=handler, worker_count=2)
    yield server.start()
    server.stop()


@pytest.fixture(autouse=True)
def check_still_serving(port, handler):
    handler.drained.clear()
    yield
    assert send(port, head("GET /healthz HTTP/1.1")).status == 200


def drain(port, body, *headers):
    length = f"Content-Length: {len(body)}"
    return send(port, head(DRAIN, length, *headers) + body)


class TestPages:
    def test_a_connection_serves_many_pages(self, port):
        with connect(port) as sock:
            for path in ("/healthz", "/readyz", "/metrics", "/v1/status"):
                sock.sendall(head(f"GET {path} HTTP/1.1"))
                assert read_response(sock).status == 200

    def test_special_characters_in_a_subject_are_kept_as_data(self, port):
        path = "/v1/explain/%0d%0aSet-Cookie:%20a%22%3cb%3e"
        answer = send(port, head(f"GET {path} HTTP/1.1"))

        assert json.loads(answer.body)["lines"] == ['\r\nSet-Cookie: a"<b>']

    def test_a_failing_handler_gives_status_500(self, port):
        assert send(port, head("GET /v1/explain/broken HTTP/1.1")).status == 500


class TestDrain:
    def test_a_json_request_starts_a_drain(self, port, handler):
        answer = drain(port, b'{"vm_name": "a", "author": "b", "reason": "c"}')

        assert answer.status == 202
        assert handler.drained[0].reason == "c"

    @pytest.mark.parametrize(
        "body",
        [
            b"",
            b"{",
            b"[]",
            b"[" * 60_000,
            b'{"vm_name": 1}',
            b'{"vm": "a"}',
            json.dumps({"reason": "x" * 201}).encode(),
        ],
    )
    def test_an_invalid_body_is_refused(self, port, handler, body):
        assert drain(port, body).status == 400
        assert handler.drained == []

    @pytest.mark.parametrize(
        "header", ["Origin: http://evil", "Content-Type: text/plain"]
    )
    def test_a_request_from_a_web_page_cannot_drain(self, port, handler, header):
        assert drain(port, b"{}", header).status == 403
        assert handler.drained == []

    def test_a_long_body_is_refused(self, port, handler):
        assert drain(port, b" " * 80_000 + b"{}").status == 413
        assert handler.drained == []


class TestHostileClients:
    @given(st.binary(max_size=200))
    @settings(derandomize=True, deadline=None, max_examples=40)
    def test_random_bytes_are_refused(self, port, data):
        assert send(port, data + b"\r\n\r\n\0\r\n\r\n").status in (400, 413)

    def test_silent_clients_occupy_no_worker_thread(self, port):
        silent = [connect(port) for _ in range(20)]
        try:
            for sock in silent:
                sock.sendall(b"GET /healthz HTT")
            done = threading.Event()
            probe = threading.Thread(
                target=lambda: (send(port, head("GET /healthz HTTP/1.1")), done.set())
            )
            probe.start()
            assert done.wait(8.0)
        finally:
            for sock in silent:
                sock.close()
            probe.join()
