"""Servers that send bytes without end, in a head or a body, until the client closes."""

import contextlib
import socket
import threading
import time
import tracemalloc

import pytest

from citrondock_core.configuration import PoolKind, Target
from citrondock_core.engine_control import EngineControlError
from citrondock_core.object_store import ObjectStoreError, StoreUnavailableError
from citrondock_router.target_watch import TargetWatch
from citrondock_wire.http_engine_control import HttpEngineControl
from citrondock_wire.http_object_store import HttpObjectStore
from citrondock_wire.http_vm_directory import HttpVmDirectory
from citrondock_wire.target_connection import (
    TargetConnection,
    TargetRequest,
    TargetResponseError,
)

HOST = "127.0.0.1"
MAX_HELD_BYTES = 40_000_000
"""Bytes that a client may hold for one response."""

MAX_CALL_S = 10.0
CALL_TIMEOUT_S = 1.0

OK = b"HTTP/1.1 200 OK\r\n"
BLOCK = b"x" * 65_536
ENDLESS_HEADS = {
    "status line": (b"HTTP/1.1 200 ", BLOCK),
    "header value": (OK + b"X-A: ", BLOCK),
    "headers": (OK, b"X-A: b\r\n" * 8000),
    "interim responses": (b"", b"HTTP/1.1 100 Continue\r\n\r\n" * 2000),
    "interim headers": (b"HTTP/1.1 100 Continue\r\n", b"X-A: b\r\n" * 8000),
    "no HTTP": (b"", BLOCK),
}
ENDLESS_BODIES = {
    "without a length": (OK + b"\r\n", BLOCK),
    "with a length": (OK + b"Content-Length: 99999999999\r\n\r\n", BLOCK),
    "in chunks": (
        OK + b"Transfer-Encoding: chunked\r\n\r\n",
        b"10000\r\n" + BLOCK + b"\r\n",
    ),
    "in chunks of two bytes": (
        OK + b"Transfer-Encoding: chunked\r\n\r\n",
        b"2\r\nxx\r\n" * 8000,
    ),
}
ENDLESS_RESPONSES = {
    **ENDLESS_HEADS,
    **{f"body {name}": response for name, response in ENDLESS_BODIES.items()},
}


@contextlib.contextmanager
def endless_server(start, block):
    """Serve a response without end on each connection; yield the port."""
    listener = socket.create_server((HOST, 0))
    stopped = threading.Event()

    def send(connection):
        with connection, contextlib.suppress(OSError):
            connection.settimeout(1.0)
            connection.recv(65_536)
            connection.sendall(start)
            while not stopped.is_set():
                connection.sendall(block)

    def serve():
        with contextlib.suppress(OSError):
            while True:
                connection, _ = listener.accept()
                threading.Thread(target=send, args=(connection,), daemon=True).start()

    threading.Thread(target=serve, daemon=True).start()
    try:
        yield listener.getsockname()[1]
    finally:
        stopped.set()
        listener.close()


@contextlib.contextmanager
def bounded_call():
    """Check that a call ends in time and holds few bytes."""
    tracemalloc.start()
    began_s = time.monotonic()
    try:
        yield
        assert time.monotonic() - began_s < MAX_CALL_S
        assert tracemalloc.get_traced_memory()[1] < MAX_HELD_BYTES
    finally:
        tracemalloc.stop()


def target(port):
    return Target(name="t0", host=HOST, port=port, availability_zone="z1")


@pytest.mark.parametrize("place", ENDLESS_RESPONSES)
class TestCalls:
    def test_the_state_of_an_engine(self, place):
        with endless_server(*ENDLESS_RESPONSES[place]) as port, bounded_call():
            with pytest.raises(EngineControlError):
                HttpEngineControl().state(target(port), timeout_s=CALL_TIMEOUT_S)

    def test_the_load_of_an_engine(self, place):
        changes = []
        watch = TargetWatch(
            on_load=lambda name, report: None,
            on_available=lambda name, available: changes.append((name, available)),
            timeout_s=CALL_TIMEOUT_S,
        )
        with endless_server(*ENDLESS_RESPONSES[place]) as port, bounded_call():
            for _ in range(2):
                watch.poll([target(port)], {"t0": PoolKind.ENGINE})
            assert changes == [("t0", False)]
        watch.stop()

    def test_the_list_of_vms(self, place):
        with endless_server(*ENDLESS_RESPONSES[place]) as port, bounded_call():
            with pytest.raises(StoreUnavailableError):
                HttpVmDirectory(f"http://{HOST}:{port}").list(timeout_s=CALL_TIMEOUT_S)


class TestStore:
    def test_an_answer_ends_by_its_deadline(self):
        with endless_server(OK + b"\r\n", b"x") as port:
            store = HttpObjectStore(f"http://{HOST}:{port}")
            began_s = time.monotonic()
            with pytest.raises(ObjectStoreError):
                store.get("k", timeout_s=CALL_TIMEOUT_S)
            assert time.monotonic() - began_s < MAX_CALL_S


class TestHeads:
    @pytest.mark.parametrize("place", ENDLESS_HEADS)
    def test_an_endless_head_is_an_error(self, place):
        with endless_server(*ENDLESS_HEADS[place]) as port, bounded_call():
            connection = TargetConnection(target(port))
            connection.connect()
            request = TargetRequest(method="GET", path="/", headers={})
            connection.send(request, timeout_s=CALL_TIMEOUT_S)
            with pytest.raises(TargetResponseError):
                connection.read_head("GET", timeout_s=CALL_TIMEOUT_S)
