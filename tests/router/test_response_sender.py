import socket
import threading

import pytest

from citrondock_router.response_sender import ResponseSender

LONG = b"x" * 20_000_000
LIMIT_S = 20.0


class FakeConnection:
    def __init__(self, sock, *, request_complete=True):
        self.socket = sock
        self.request_complete = request_complete
        self.given_back = threading.Event()
        self.destroyed = threading.Event()

    def give_back(self):
        self.given_back.set()

    def destroy(self):
        self.socket.close()
        self.destroyed.set()


@pytest.fixture
def sender():
    running = ResponseSender()
    running.start()
    yield running
    running.stop()


@pytest.fixture
def pair():
    near, far = socket.socketpair()
    near.settimeout(LIMIT_S)
    far.settimeout(LIMIT_S)
    yield near, far
    near.close()
    far.close()


def send(sender, connection, data, *, keep_alive):
    thread = threading.Thread(
        target=lambda: sender.send(connection, data, keep_alive=keep_alive), daemon=True
    )
    thread.start()
    thread.join(LIMIT_S / 4)
    return not thread.is_alive()


def read(sock, count_bytes):
    with sock.makefile("rb") as stream:
        return stream.read(count_bytes)


class TestResponseSender:
    def test_nobody_waits_for_a_caller_that_reads_late(self, sender, pair):
        connection = FakeConnection(pair[0])

        assert send(sender, connection, LONG, keep_alive=True)
        assert not connection.given_back.is_set()
        assert read(pair[1], len(LONG)) == LONG
        assert connection.given_back.wait(LIMIT_S)

    def test_a_caller_that_never_reads_is_dropped(self, sender, pair):
        connection = FakeConnection(pair[0])

        send(sender, connection, LONG, keep_alive=True)

        assert connection.destroyed.wait(LIMIT_S)

    def test_what_a_caller_still_sends_is_read_before_the_end(self, sender, pair):
        connection = FakeConnection(pair[0], request_complete=False)
        send(sender, connection, b"refused", keep_alive=False)

        pair[1].sendall(b"late")

        assert read(pair[1], -1) == b"refused"
        pair[1].close()
        assert connection.destroyed.wait(LIMIT_S)
