import socket
import threading

import pytest

from citrondock_router.response_sender import ResponseSender

LONG_RESPONSE = b"x" * 20_000_000
TIMEOUT_S = 20.0


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
    near.settimeout(TIMEOUT_S)
    far.settimeout(TIMEOUT_S)
    yield near, far
    near.close()
    far.close()


def send(sender, connection, data, *, keep_alive):
    thread = threading.Thread(
        target=lambda: sender.send(connection, data, keep_alive=keep_alive), daemon=True
    )
    thread.start()
    thread.join(TIMEOUT_S / 4)
    return not thread.is_alive()


def read(sock, count_bytes):
    with sock.makefile("rb") as stream:
        return stream.read(count_bytes)


class TestResponseSender:
    def test_send_does_not_block_on_a_slow_reader(self, sender, pair):
        connection = FakeConnection(pair[0])

        assert send(sender, connection, LONG_RESPONSE, keep_alive=True)
        assert not connection.given_back.is_set()
        assert read(pair[1], len(LONG_RESPONSE)) == LONG_RESPONSE
        assert connection.given_back.wait(TIMEOUT_S)

    def test_caller_that_never_reads_is_disconnected(self, sender, pair):
        connection = FakeConnection(pair[0])

        send(sender, connection, LONG_RESPONSE, keep_alive=True)

        assert connection.destroyed.wait(TIMEOUT_S)

    def test_received_bytes_are_discarded_before_closing(self, sender, pair):
        connection = FakeConnection(pair[0], request_complete=False)
        send(sender, connection, b"refused", keep_alive=False)

        pair[1].sendall(b"late")

        assert read(pair[1], -1) == b"refused"
        pair[1].close()
        assert connection.destroyed.wait(TIMEOUT_S)
