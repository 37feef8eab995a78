"""The listener accepts waiting connections in batches."""

import asyncio
import errno
import socket
import time

from harness import (
    HOST,
    Client,
    Harness,
    ScriptedTarget,
    request,
    run,
    send_complete_response,
)

from citrondock_router.gateway.gateway import RELEASED_CLIENTS
from citrondock_router.gateway.gateway_settings import Address
from citrondock_router.gateway.listener import ACCEPT_RETRY_S, Listener

CONNECTION_COUNT = 60


class RecordingProtocol(asyncio.Protocol):
    """Records when its connection was made."""

    opened_at_s: list[float]

    def __init__(self, opened_at_s):
        self.opened_at_s = opened_at_s

    def connection_made(self, transport):
        self.opened_at_s.append(time.monotonic())


def connect(listener, count=CONNECTION_COUNT):
    return [socket.create_connection((HOST, listener.port)) for _ in range(count)]


class TestListener:
    def test_a_busy_loop_accepts_waiting_connections_in_batches(self):
        async def check():
            loop = asyncio.get_running_loop()
            opened = []
            listener = Listener(
                Address(HOST, 0), lambda: RecordingProtocol(opened), loop
            )
            clients = connect(listener)
            iterations = 0

            def work():
                nonlocal iterations
                iterations += 1
                time.sleep(0.005)
                if len(opened) < CONNECTION_COUNT:
                    loop.call_soon(work)

            work()
            while len(opened) < CONNECTION_COUNT:
                await asyncio.sleep(0.01)
            assert iterations < CONNECTION_COUNT / 4
            listener.close()
            for client in clients:
                client.close()

        run(check())

    def test_it_resumes_after_running_out_of_descriptors(self, monkeypatch):
        async def check():
            loop = asyncio.get_running_loop()
            opened = []
            listener = Listener(
                Address(HOST, 0), lambda: RecordingProtocol(opened), loop
            )
            failures = [OSError(errno.EMFILE, "no descriptors")]
            real = socket.socket.accept

            def accept(sock):
                if failures:
                    raise failures.pop()
                return real(sock)

            monkeypatch.setattr(socket.socket, "accept", accept)
            clients = connect(listener, 3)
            await asyncio.sleep(ACCEPT_RETRY_S / 2)
            assert opened == []
            await asyncio.sleep(2 * ACCEPT_RETRY_S)
            assert len(opened) == 3
            listener.close()
            for client in clients:
                client.close()

        run(check())

    def test_a_closed_listener_accepts_nothing(self):
        async def check():
            loop = asyncio.get_running_loop()
            listener = Listener(Address(HOST, 0), lambda: RecordingProtocol([]), loop)
            port = listener.port
            listener.close()
            try:
                socket.create_connection((HOST, port), timeout=0.2)
            except ConnectionRefusedError:
                return
            raise AssertionError("connected")

        run(check())


class TestDescriptors:
    def test_idle_clients_make_room_for_new_ones(self, monkeypatch):
        async def check():
            target = ScriptedTarget("t0", send_complete_response)
            async with Harness([target]) as harness:
                idle = []
                for number in range(20):
                    client = await Client.connect(harness.port)
                    client.writer.write(request("/safe/x", f"r{number}"))
                    assert (await client.read()).status == 200
                    idle.append(client)
                real = socket.socket.accept

                def accept(sock):
                    if len(harness.gateway._clients) >= len(idle):
                        raise OSError(errno.EMFILE, "no descriptors")
                    return real(sock)

                monkeypatch.setattr(socket.socket, "accept", accept)
                reply = await asyncio.wait_for(harness.get("/safe/x", "new"), 2)
                assert reply.status == 200
                for client in idle:
                    client.writer.close()

        run(check())

    def test_the_longest_idle_client_is_closed_first(self):
        async def check():
            target = ScriptedTarget("t0", send_complete_response)
            async with Harness([target]) as harness:
                clients = []
                for number in range(RELEASED_CLIENTS + 2):
                    if number == RELEASED_CLIENTS:
                        await asyncio.sleep(0.02)
                    client = await Client.connect(harness.port)
                    client.writer.write(request("/safe/x", f"r{number}"))
                    assert (await client.read()).status == 200
                    clients.append(client)
                assert harness.gateway.close_longest_idle() == RELEASED_CLIENTS
                for client in clients[:-2]:
                    assert await asyncio.wait_for(client.reader.read(), 2) == b""
                for client in clients[-2:]:
                    client.writer.write(request("/safe/x", "again"))
                    assert (await client.read()).status == 200
                    client.writer.close()

        run(check())

    def test_clients_with_a_request_are_not_closed(self):
        async def check():
            async def never_answer(_got, _writer):
                await asyncio.sleep(5)

            target = ScriptedTarget("t0", never_answer)
            async with Harness([target]) as harness:
                client = await Client.connect(harness.port)
                client.writer.write(request("/safe/x", "r1"))
                while not target.received:
                    await asyncio.sleep(0.01)
                assert harness.gateway.close_longest_idle() == 0
                client.writer.close()

        run(check())

    def test_a_router_that_cannot_accept_clients_is_not_ready(self, monkeypatch):
        async def check():
            async with Harness(
                [ScriptedTarget("t0", send_complete_response)]
            ) as harness:
                assert harness.process._readiness()[0] == 200
                real = socket.socket.accept

                def accept(sock):
                    raise OSError(errno.EMFILE, "no descriptors")

                monkeypatch.setattr(socket.socket, "accept", accept)
                waiting = await Client.connect(harness.port)
                await asyncio.sleep(0.05)
                assert harness.process._readiness()[0] == 503
                monkeypatch.setattr(socket.socket, "accept", real)
                await asyncio.sleep(2 * ACCEPT_RETRY_S)
                assert harness.process._readiness()[0] == 200
                waiting.writer.close()

        run(check())

    def test_idle_clients_make_room_for_a_connection_to_a_target(self, monkeypatch):
        async def check():
            target = ScriptedTarget("t0", send_complete_response)
            async with Harness([target]) as harness:
                idle = await Client.connect(harness.port)
                client = await Client.connect(harness.port)
                await asyncio.sleep(0.05)
                connect = harness.process._connections._connect

                async def fail_at_limit(entry):
                    if len(harness.gateway._clients) > 1:
                        raise OSError(errno.EMFILE, "no descriptors")
                    return await connect(entry)

                monkeypatch.setattr(
                    harness.process._connections, "_connect", fail_at_limit
                )
                client.writer.write(request("/unsafe/x", "r1", method="POST"))
                assert (await asyncio.wait_for(client.read(), 2)).status == 200
                assert await asyncio.wait_for(idle.reader.read(), 2) == b""
                client.writer.close()

        run(check())
