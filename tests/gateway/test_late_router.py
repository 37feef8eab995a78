"""A router that is short of processor time does not blame the peers it reads late."""

import asyncio
import socket
import threading
import time

import attrs
from harness import (
    HOST,
    Harness,
    ReceivedRequest,
    ScriptedTarget,
    complete_response,
    configuration,
    parse_headers,
    request,
    run,
    send_complete_response,
)

from citrondock_router.gateway import target_connection_pool
from citrondock_router.gateway.gateway import IDLE_GRACE_S
from citrondock_router.gateway.http_client import HttpClient

ANSWER_S = 0.1
LATE_S = 1.5
"""Longer than the timeouts of a request at its target and of a connect."""


def keep_busy():
    """Make the event loop busy for `LATE_S` while it reads sockets.

    The timers that are due then run before it reads its sockets again.
    """
    loop = asyncio.get_running_loop()
    reading, writing = socket.socketpair()

    def work():
        loop.remove_reader(reading)
        time.sleep(LATE_S)
        reading.close()
        writing.close()

    loop.add_reader(reading, work)
    writing.send(b"x")


class ThreadTarget(ScriptedTarget):
    """A target with a thread of its own, which answers while the router is busy."""

    def __init__(self, target_id):
        super().__init__(target_id, script=None)
        self.requests = []

    async def start(self):
        self._listener = socket.create_server((HOST, 0))
        self.port = self._listener.getsockname()[1]
        threading.Thread(target=self._serve, daemon=True).start()

    def stop(self):
        self._listener.close()

    def _serve(self):
        while True:
            try:
                connection, _ = self._listener.accept()
            except OSError:
                return
            threading.Thread(
                target=self._answer, args=[connection], daemon=True
            ).start()

    def _answer(self, connection):
        with connection:
            while data := connection.recv(65_536):
                self.requests.append(data)
                lines = data.decode().split("\r\n")
                got = ReceivedRequest(lines[0], parse_headers(lines), b"")
                time.sleep(ANSWER_S)
                connection.sendall(complete_response(got, b"ok"))


class TestLateRouter:
    def test_a_request_whose_answer_has_arrived_is_not_sent_elsewhere(self):
        async def check():
            targets = [ThreadTarget("t0"), ThreadTarget("t1")]
            configured = configuration(timeout_s=10.0)
            async with Harness(targets, configured=configured) as harness:
                reply = asyncio.ensure_future(harness.get("/safe/x"))
                while not any(target.requests for target in targets):
                    await asyncio.sleep(0.005)
                keep_busy()
                assert (await reply).status == 200
                assert sum(len(target.requests) for target in targets) == 1

        run(check())

    def test_an_idle_client_whose_request_has_arrived_is_served(self):
        async def check():
            configured = configuration(timeout_s=10.0)
            limits = attrs.evolve(configured.limits, idle_timeout_s=0.1)
            configured = attrs.evolve(configured, limits=limits)
            target = ScriptedTarget("t0", send_complete_response)
            async with Harness([target], configured=configured) as harness:
                address = (HOST, harness.port)
                with socket.create_connection(address, timeout=10) as client:
                    await asyncio.sleep(IDLE_GRACE_S)
                    keep_busy()
                    sending = threading.Timer(
                        LATE_S / 2, client.sendall, [request("/safe/x")]
                    )
                    sending.start()
                    reply = await asyncio.to_thread(client.recv, 1000)
                    assert reply.startswith(b"HTTP/1.1 200 ")

        run(check())

    def test_a_connection_that_was_accepted_in_time_is_used(self, monkeypatch):
        async def check():
            monkeypatch.setattr(target_connection_pool, "CONNECT_TIMEOUT_S", 0.05)
            target = ThreadTarget("t0")
            async with Harness([target]) as harness:
                pool = harness.process._connections
                opening = asyncio.ensure_future(pool.open(target.entry))
                # The connect begins in this iteration and the loop is busy then.
                await asyncio.sleep(0)
                time.sleep(LATE_S)
                connection = await opening
                assert connection.is_open
                connection.abort()

        run(check())

    def test_an_answer_of_the_store_that_has_arrived_is_read(self):
        async def check():
            target = ThreadTarget("t0")
            await target.start()
            client = HttpClient(HOST, target.port, asyncio.get_running_loop())
            call = asyncio.ensure_future(
                client.call("GET", "/x", timeout_s=2 * ANSWER_S)
            )
            while not target.requests:
                await asyncio.sleep(0.001)
            keep_busy()
            assert (await call).body == b"ok"
            client.close()
            target.stop()

        run(check())

    def test_a_target_that_does_not_answer_times_out(self):
        async def check():
            with socket.create_server((HOST, 0)) as silent:
                port = silent.getsockname()[1]
                client = HttpClient(HOST, port, asyncio.get_running_loop())
                before_s = time.monotonic()
                try:
                    await client.call("GET", "/x", timeout_s=0.1)
                except TimeoutError:
                    assert time.monotonic() - before_s < 1
                    return
                raise AssertionError("answered")

        run(check())
