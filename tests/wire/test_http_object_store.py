import socket
import threading
import time
from contextlib import contextmanager

import pytest

from citrondock_core.object_store import (
    AnswerLostError,
    ObjectStoreError,
    StoreCallKind,
    StoreRestoredError,
    StoreUnavailableError,
)
from citrondock_wire.http_object_store import HttpObjectStore
from citrondock_wire.http_vm_directory import HttpVmDirectory


@contextmanager
def serving(answer, *, pause_s=0.0):
    """Answer the first request of each connection with fixed bytes, then close it."""
    with socket.create_server(("127.0.0.1", 0)) as server:

        def serve():
            while True:
                try:
                    connection, _ = server.accept()
                except OSError:
                    return
                with connection:
                    connection.recv(65536)
                    _send(connection, answer, pause_s)

        thread = threading.Thread(target=serve, daemon=True)
        thread.start()
        yield f"http://127.0.0.1:{server.getsockname()[1]}"
        server.shutdown(socket.SHUT_RDWR)
        thread.join(5)


def _send(connection, answer, pause_s):
    if not pause_s:
        connection.sendall(answer)
        return
    for byte in answer:
        try:
            connection.sendall(bytes([byte]))
        except OSError:
            return
        time.sleep(pause_s)


def answer(status, body, length=None, headers=b""):
    length = len(body) if length is None else length
    head = b"HTTP/1.1 %d X\r\n%bContent-Length: %d\r\n\r\n"
    return head % (status, headers, length) + body


@pytest.fixture
def refused_url():
    with socket.socket() as bound:
        bound.bind(("127.0.0.1", 0))
        yield f"http://127.0.0.1:{bound.getsockname()[1]}"


class TestEra:
    def test_a_store_that_names_no_era_has_plain_versions(self):
        with serving(answer(200, b'{"version": 7, "objects": []}')) as url:
            assert (
                HttpObjectStore(url).watch("", after_version=7, wait_s=0).version == 7
            )

    def test_a_store_that_ignores_the_era_of_a_watch_is_noticed(self):
        found = answer(200, b'{"version": 9, "objects": []}', headers=b"X-Era: 1\r\n")
        with serving(found) as url, pytest.raises(StoreRestoredError):
            HttpObjectStore(url).watch("", after_version=7, wait_s=0)

    def test_an_era_that_is_no_number_is_a_lost_answer(self):
        found = answer(200, b'{"version": 9}', headers=b"X-Era: x\r\n")
        with serving(found) as url, pytest.raises(AnswerLostError):
            HttpObjectStore(url).create("a", b"1")


class TestHttpObjectStore:
    def test_refused_connection_raises_store_unavailable(self, refused_url):
        store = HttpObjectStore(refused_url)
        with pytest.raises(StoreUnavailableError) as caught:
            store.create("a", b"1")

        assert caught.value.peer.startswith("object-store 127.0.0.1:")
        assert store.calls.snapshot()[StoreCallKind.CREATE] == 1

    @pytest.mark.parametrize(
        ("reply", "error"),
        [
            (answer(429, b"{}"), StoreUnavailableError),
            (answer(503, b"{}"), StoreUnavailableError),
            (answer(413, b"{}"), ObjectStoreError),
            (answer(302, b"{}"), ObjectStoreError),
            (answer(500, b"{}"), AnswerLostError),
            (answer(502, b"{}"), AnswerLostError),
            (answer(200, b'{"version": 1}', length=50), AnswerLostError),
            (answer(200, b"<html>"), AnswerLostError),
            (answer(200, b"[]"), AnswerLostError),
            (answer(200, b'{"version": "1"}'), AnswerLostError),
            (b"", AnswerLostError),
            (b"HTTP/1.1 2", AnswerLostError),
        ],
    )
    def test_error_type_tells_whether_the_call_had_no_effect(self, reply, error):
        with serving(reply) as url, pytest.raises(ObjectStoreError) as caught:
            HttpObjectStore(url).create("a", b"1")

        assert type(caught.value) is error

    def test_slow_answer_ends_at_the_timeout(self):
        slow_answer = answer(200, b"{" + b" " * 500, length=501)
        started_s = time.monotonic()
        with serving(slow_answer, pause_s=0.02) as url, pytest.raises(AnswerLostError):
            HttpObjectStore(url).get("a", timeout_s=0.3)

        assert time.monotonic() - started_s < 5.0

    @pytest.mark.parametrize("entry", [b"1", b'{"key": "a"}', b'{"value": "?"}'])
    def test_malformed_objects_raise_answer_lost(self, entry):
        body = b'{"version": 1, "objects": [%b]}' % entry
        with serving(answer(200, body)) as url, pytest.raises(AnswerLostError):
            HttpObjectStore(url).list("")


class TestHttpVmDirectory:
    def test_reads_the_list(self):
        body = (
            b'{"vms": [{"name": "r1", "availability_zone": "a", '
            b'"host": "127.0.0.1", "port": 9, "state": "leaving"}]}'
        )
        with serving(answer(200, body)) as url:
            (vm,) = HttpVmDirectory(url + "/views/a").list()

        assert (vm.name, vm.port, vm.state.value) == ("r1", 9, "leaving")

    @pytest.mark.parametrize(
        "reply", [b"", answer(503, b""), answer(200, b"{}"), answer(200, b"[1")]
    )
    def test_any_failure_raises_store_unavailable(self, reply):
        with serving(reply) as url, pytest.raises(StoreUnavailableError):
            HttpVmDirectory(url).list()

    def test_refused_connection_raises_store_unavailable(self, refused_url):
        with pytest.raises(StoreUnavailableError):
            HttpVmDirectory(refused_url).list()
