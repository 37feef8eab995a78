import socket
import threading
import time

import pytest

from citrondock_standins.fault import Direction, Fault, FaultKind
from citrondock_standins.processes import StandinProcess
from citrondock_standins.proxy import FaultProxy

LIMIT_S = 20.0


class EchoServer:
    """Echoes received bytes; sends ``end`` and closes at the end of the stream."""

    def __init__(self):
        self.received = b""
        self._server = socket.create_server(("127.0.0.1", 0))
        self.port = self._server.getsockname()[1]
        threading.Thread(target=self._accept, daemon=True).start()

    def close(self):
        self._server.shutdown(socket.SHUT_RDWR)
        self._server.close()

    def _accept(self):
        while True:
            try:
                connection, _ = self._server.accept()
            except OSError:
                return
            threading.Thread(target=self._echo, args=(connection,), daemon=True).start()

    def _echo(self, connection):
        try:
            while data := connection.recv(65536):
                self.received += data
                connection.sendall(data)
            connection.sendall(b"end")
            connection.close()
        except OSError:
            pass


@pytest.fixture
def echo():
    server = EchoServer()
    yield server
    server.close()


@pytest.fixture
def proxy(echo):
    with FaultProxy("127.0.0.1", echo.port) as running:
        yield running


@pytest.fixture
def client(proxy):
    with socket.create_connection(("127.0.0.1", proxy.port), LIMIT_S) as connected:
        exchange(connected, b"hello")
        yield connected


def exchange(client, data):
    client.sendall(data)
    assert read(client, len(data)) == data


def read(client, count):
    data = b""
    while len(data) < count and (part := client.recv(count - len(data))):
        data += part
    return data


def assert_no_data(client, seconds=0.15):
    client.settimeout(seconds)
    with pytest.raises(TimeoutError):
        client.recv(1)
    client.settimeout(LIMIT_S)


class TestFaultProxy:
    def test_cut_resets_and_refuses_connections_until_cleared(self, proxy, client):
        proxy.set_faults(Fault(kind="cut"))
        with pytest.raises(ConnectionResetError):
            client.recv(1)
        with pytest.raises(ConnectionRefusedError):
            socket.create_connection(("127.0.0.1", proxy.port), LIMIT_S)
        proxy.set_faults()
        with socket.create_connection(("127.0.0.1", proxy.port), LIMIT_S) as again:
            exchange(again, b"back")

    def test_blackhole_accepts_connections_but_forwards_nothing(
        self, proxy, client, echo
    ):
        proxy.set_faults(Fault(kind="blackhole"))
        client.sendall(b"lost?")
        with socket.create_connection(("127.0.0.1", proxy.port), LIMIT_S) as new:
            new.sendall(b"new")
            assert_no_data(client)
            assert echo.received == b"hello"
            proxy.set_faults()
            assert read(client, 5) == b"lost?"
            assert read(new, 3) == b"new"

    @pytest.mark.parametrize("direction", [Direction.TO_TARGET, Direction.TO_CLIENT])
    def test_loss_in_one_direction_delivers_after_it_is_cleared(
        self, proxy, client, echo, direction
    ):
        proxy.set_faults(Fault(kind=FaultKind.LOSS, direction=direction))
        client.sendall(b"late")
        assert_no_data(client)
        reached = direction is Direction.TO_CLIENT
        assert echo.received == (b"hellolate" if reached else b"hello")
        proxy.set_faults()
        assert read(client, 4) == b"late"

    def test_half_close_leaves_the_other_direction_open(self, proxy, client):
        proxy.set_faults(Fault(kind="half_close", direction="to_target"))
        assert read(client, 4) == b"end"

    def test_cut_after_a_number_of_bytes(self, proxy, client):
        fault = Fault(kind="cut_after", direction="to_client", byte_count=3)
        proxy.set_faults(fault)
        client.sendall(b"12345")
        received = b""
        with pytest.raises(ConnectionResetError):
            while part := client.recv(10):
                received += part
        assert received == b"123"

    def test_delay_and_bandwidth_slow_the_traffic(self, proxy, client):
        proxy.set_faults(
            Fault(kind="delay", direction="to_target", delay_ms=100),
            Fault(kind="bandwidth", direction="to_client", bandwidth_bytes_per_s=50),
        )
        started_s = time.monotonic()
        exchange(client, b"x" * 20)
        assert time.monotonic() - started_s >= 0.1
        exchange(client, b"x")
        assert time.monotonic() - started_s >= 0.1 + 20 / 50

    def test_faults_of_one_sender_do_not_affect_others(self, echo):
        senders = {}
        with FaultProxy(
            "127.0.0.1", echo.port, sender_of=lambda address: senders[address]
        ) as proxy:

            def connect(name):
                client = socket.socket()
                client.bind(("127.0.0.1", 0))
                senders[client.getsockname()] = name
                client.settimeout(LIMIT_S)
                client.connect(("127.0.0.1", proxy.port))
                return client

            with connect("a") as a, connect("b") as b:
                exchange(a, b"1")
                exchange(b, b"1")
                proxy.set_faults(Fault(kind="cut"), sender="a")
                with pytest.raises(ConnectionResetError):
                    a.recv(1)
                with pytest.raises(ConnectionResetError):
                    connect("a").recv(1)
                exchange(b, b"2")
                proxy.set_faults()
                with connect("a") as again:
                    exchange(again, b"3")

    def test_unreachable_target_resets_the_client(self):
        with socket.socket() as bound:
            bound.bind(("127.0.0.1", 0))
            with FaultProxy(*bound.getsockname()) as proxy:
                with pytest.raises(ConnectionResetError):
                    socket.create_connection(("127.0.0.1", proxy.port)).recv(1)


class TestProxyProcess:
    def test_is_controlled_over_http(self, echo):
        target = f"127.0.0.1:{echo.port}"
        with StandinProcess.start("proxy", listen=0, target=target) as process:
            with socket.create_connection(("127.0.0.1", process.port)) as client:
                exchange(client, b"hello")
                process.post("/control", {"faults": [{"kind": "cut"}]})
                with pytest.raises(ConnectionResetError):
                    client.recv(1)
