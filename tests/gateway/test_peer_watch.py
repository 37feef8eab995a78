"""Peers that read nothing for a while keep their connections; peers that are gone lose
them as soon as ever."""

import asyncio
import ctypes
import socket
import struct

import pytest
from harness import (
    HOST,
    Client,
    Harness,
    ScriptedTarget,
    complete_response,
    configuration,
    request,
    run,
)

from citrondock_router.gateway.shutdown import ShutdownOptions, shut_down

WINDOW_BYTES = 2048
ANSWER = b"a" * 14_000
PAUSE_S = 2.6
TIMEOUT_S = 8.0
# The kernel needs 1.5 s for what stays unacknowledged, and as long for a peer without
# room until it asks it again.
GONE_IN_FLIGHT_S = 2.4
GONE_WITHOUT_ROOM_S = 4.0

SO_ATTACH_FILTER = 26
BPF_RETURN_NOTHING = struct.pack("=HBBI", 0x06, 0, 0, 0)


def go_silent(sock):
    """Make the kernel drop, and not acknowledge, all that arrives at a socket."""
    program = ctypes.create_string_buffer(BPF_RETURN_NOTHING)
    packed = struct.pack("=HxxxxxxQ", 1, ctypes.addressof(program))
    sock.setsockopt(socket.SOL_SOCKET, SO_ATTACH_FILTER, packed)


async def answer_long(got, writer):
    writer.write(complete_response(got, ANSWER))


async def connect_with_small_window(port):
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, WINDOW_BYTES)
    sock.setblocking(False)
    await asyncio.get_running_loop().sock_connect(sock, (HOST, port))
    return sock


async def read_response(sock):
    """Return all bytes until the answer is whole or the connection ends."""
    loop, data = asyncio.get_running_loop(), b""
    while not data.endswith(ANSWER):
        got = await loop.sock_recv(sock, 4096)
        if not got:
            break
        data += got
    return data


async def wait_until_closed(harness, *, at_most_s):
    """Return the seconds until the gateway has no client connection."""
    loop = asyncio.get_running_loop()
    began_s = loop.time()
    while harness.gateway.client_count and loop.time() < began_s + at_most_s:
        await asyncio.sleep(0.05)
    return loop.time() - began_s


def patient_harness(script=answer_long):
    target = ScriptedTarget("t1", script)
    return Harness([target], configured=configuration(timeout_s=TIMEOUT_S))


class TestSlowClient:
    def test_an_answer_that_the_kernel_holds_is_kept_while_nothing_is_read(self):
        # Guards against lost answers: a peer without room was taken for a dead one.
        async def check():
            async with patient_harness() as harness:
                sock = await connect_with_small_window(harness.port)
                loop = asyncio.get_running_loop()
                await loop.sock_sendall(sock, request("/safe/x"))
                await asyncio.sleep(PAUSE_S)
                assert (await read_response(sock)).endswith(ANSWER)
                sock.close()

        run(check())

    def test_a_planned_stop_waits_until_the_last_answer_was_read(self):
        # Guards against lost answers: a process ended with bytes that waited for room.
        async def check():
            async with patient_harness() as harness:
                sock = await connect_with_small_window(harness.port)
                loop = asyncio.get_running_loop()
                await loop.sock_sendall(sock, request("/safe/x"))
                await asyncio.sleep(0.3)
                options = ShutdownOptions(accept_s=0.1, margin_s=0.1)
                stop = asyncio.ensure_future(
                    shut_down(harness.gateway, grace_s=6.0, options=options)
                )
                await asyncio.sleep(PAUSE_S)
                assert not stop.done()
                assert (await read_response(sock)).endswith(ANSWER)
                sock.close()
                await asyncio.wait_for(stop, 2.0)

        run(check())

    def test_a_planned_stop_ends_in_time_if_an_answer_is_never_read(self):
        async def check():
            async with patient_harness() as harness:
                sock = await connect_with_small_window(harness.port)
                loop = asyncio.get_running_loop()
                await loop.sock_sendall(sock, request("/safe/x"))
                await asyncio.sleep(0.3)
                options = ShutdownOptions(accept_s=0.1, margin_s=0.2)
                await asyncio.wait_for(
                    shut_down(harness.gateway, grace_s=1.0, options=options), 1.0
                )
                sock.close()

        run(check())


class TestSlowTarget:
    def test_a_body_that_the_kernel_holds_is_kept_while_nothing_is_read(self):
        # Guards against lost answers: an upload was broken off while its target paused.
        body = b"b" * 9_000

        async def check():
            listener = socket.socket()
            listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, WINDOW_BYTES)
            listener.bind((HOST, 0))
            listener.listen()
            listener.setblocking(False)
            target = ScriptedTarget("t1", answer_long)
            loop = asyncio.get_running_loop()
            received = bytearray()

            async def read_late():
                sock, _ = await loop.sock_accept(listener)
                await asyncio.sleep(PAUSE_S)
                while not received.endswith(body):
                    data = await loop.sock_recv(sock, 4096)
                    if not data:
                        return
                    received.extend(data)
                await loop.sock_sendall(
                    sock,
                    b"HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nResponse-Signature: s\r\n"
                    b"Content-Length: 2\r\n\r\nok",
                )

            reading = asyncio.ensure_future(read_late())

            async def start():
                target.port = listener.getsockname()[1]

            target.start = start
            configured = configuration(timeout_s=TIMEOUT_S)
            async with Harness([target], configured=configured) as harness:
                sent = request("/unsafe/x", "r1", "POST", body)
                reply = await harness.send_and_receive(sent)
                assert (reply.status, reply.body) == (200, b"ok")
            reading.cancel()
            listener.close()

        run(check())

    def test_one_that_is_gone_is_found_while_a_body_is_in_flight(self):
        async def check():
            async def fall_silent(got, writer):
                writer.write(complete_response(got))
                await writer.drain()
                # What follows on the connection is never acknowledged.
                await asyncio.sleep(0.1)
                go_silent(writer.get_extra_info("socket"))

            async with patient_harness(fall_silent) as harness:
                client = await Client.connect(harness.port)
                client.writer.write(request("/safe/x", "r1"))
                assert (await client.read()).status == 200
                await asyncio.sleep(0.3)
                target = harness.targets[0]
                target.script = answer_long
                client.writer.write(request("/safe/x", "r2"))
                began_s = asyncio.get_running_loop().time()
                reply = await client.read()
                # It is sent once more, on a new connection.
                assert (reply.status, reply.body) == (200, ANSWER)
                took_s = asyncio.get_running_loop().time() - began_s
                assert took_s < GONE_IN_FLIGHT_S
                client.writer.close()

        run(check())


class TestClientThatIsGone:
    def test_it_is_found_while_an_answer_is_in_flight(self):
        async def check():
            async with patient_harness() as harness:
                sock = await connect_with_small_window(harness.port)
                loop = asyncio.get_running_loop()
                await loop.sock_sendall(sock, request("/safe/x"))
                go_silent(sock)
                took_s = await wait_until_closed(harness, at_most_s=6.0)
                assert took_s < GONE_IN_FLIGHT_S
                sock.close()

        run(check())

    @pytest.mark.parametrize("answered_s", [0.3, 1.0, 3.2])
    def test_it_is_found_after_it_had_no_room_for_a_while(self, answered_s):
        async def check():
            async with patient_harness() as harness:
                sock = await connect_with_small_window(harness.port)
                loop = asyncio.get_running_loop()
                await loop.sock_sendall(sock, request("/safe/x"))
                await asyncio.sleep(answered_s)
                assert harness.gateway.client_count == 1
                go_silent(sock)
                took_s = await wait_until_closed(harness, at_most_s=8.0)
                assert took_s < GONE_WITHOUT_ROOM_S
                sock.close()

        run(check())
