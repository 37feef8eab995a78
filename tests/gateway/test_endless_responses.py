"""Targets that send bytes without end, in a head or a body, until the router closes."""

import asyncio
import tracemalloc

import pytest
from harness import (
    HOST,
    Client,
    Harness,
    ScriptedTarget,
    chunk,
    complete_response,
    configuration,
    endless,
    request,
    run,
    send_complete_response,
    stream_head,
)

from citrondock_router.gateway.http_client import MAX_BODY_BYTES, HttpClient

MAX_HELD_BYTES = 8_000_000
"""Bytes that a router may hold for one such response; a VM of 136 MB survives some."""

TIMEOUT_S = 20.0
CLOSE_S = 10.0
"""Time in which the router closes, long before the timeout of the route."""

BLOCK = b"x" * 65_536


def make_harness(*targets):
    return Harness(targets, configured=configuration(timeout_s=TIMEOUT_S))


ENDLESS_BYTES = {
    "status line": (b"HTTP/1.1 200 ", BLOCK),
    "header value": (b"HTTP/1.1 200 OK\r\nX-A: ", BLOCK),
    "headers": (b"HTTP/1.1 200 OK\r\n", b"X-A: b\r\n" * 8000),
    "empty headers": (b"HTTP/1.1 200 OK\r\n", b"a:\r\n" * 16_000),
    "interim responses": (b"", b"HTTP/1.1 100 Continue\r\n\r\n" * 2000),
    "responses to another request": (
        b"",
        b"HTTP/1.1 200 OK\r\nRequest-Id: other\r\nResponse-Signature: s\r\n"
        b"Content-Length: 60000\r\n\r\n" + b"x" * 60_000,
    ),
    "chunk extension": (lambda got: stream_head(got) + b"5;a=", BLOCK),
    "event": (lambda got: stream_head(got), chunk(BLOCK)),
    "event in small chunks": (lambda got: stream_head(got), chunk(b"xx") * 8000),
    "body of an error": (
        lambda got: complete_response(got, b"", "500 Oops").replace(
            b"Content-Length: 0\r\n", b""
        ),
        BLOCK,
    ),
    "trailers": (lambda got: stream_head(got) + b"0\r\n", b"X-A: b\r\n" * 8000),
}


class TestEndlessResponses:
    @pytest.mark.parametrize("place", ENDLESS_BYTES)
    def test_the_router_closes_soon_and_holds_few_bytes(self, place):
        async def check():
            target = ScriptedTarget("t0", endless(*ENDLESS_BYTES[place]))
            async with make_harness(target) as harness:
                tracemalloc.start()
                asked = asyncio.ensure_future(harness.get("/resumable/x"))
                deadline_s = asyncio.get_running_loop().time() + CLOSE_S
                while not target.disconnected_at_s:
                    assert asyncio.get_running_loop().time() < deadline_s
                    assert tracemalloc.get_traced_memory()[0] < MAX_HELD_BYTES
                    await asyncio.sleep(0.01)
                tracemalloc.stop()
                asked.cancel()

        run(check())

    @pytest.mark.parametrize("path", ["/stream/x", "/unsafe/x", "/safe/x"])
    @pytest.mark.parametrize("block", [chunk(BLOCK), chunk(b"xx\n\n") * 8000])
    def test_few_bytes_are_held_for_a_client_that_does_not_read(self, path, block):
        async def check():
            target = ScriptedTarget("t0", endless(stream_head, block))
            async with make_harness(target) as harness:
                client = await Client.connect(harness.port)
                client.writer.transport.pause_reading()
                tracemalloc.start()
                client.writer.write(request(path))
                for _ in range(100):
                    assert tracemalloc.get_traced_memory()[0] < MAX_HELD_BYTES
                    await asyncio.sleep(0.01)
                tracemalloc.stop()
                client.writer.close()

        run(check())

    def test_a_sound_target_answers_instead(self):
        async def check():
            targets = [
                ScriptedTarget("t0", endless(b"HTTP/1.1 200 OK\r\nX-A: ", BLOCK)),
                ScriptedTarget("t1", send_complete_response),
            ]
            async with make_harness(*targets) as harness:
                for number in range(4):
                    reply = await harness.get("/safe/x", f"r{number}")
                    assert (reply.status, reply.body) == (200, b"done")

        run(check())

    def test_an_at_most_once_request_is_not_sent_again(self):
        async def check():
            scripts = [endless(b"HTTP/1.1 200 OK\r\nX-A: ", BLOCK) for _ in range(2)]
            targets = [ScriptedTarget(f"t{n}", s) for n, s in enumerate(scripts)]
            async with make_harness(*targets) as harness:
                reply = await harness.get("/unsafe/x")
                assert reply.status == 502
                assert sum(len(target.received) for target in targets) == 1

        run(check())

    def test_a_long_stream_of_small_chunks_is_passed_on_whole(self):
        async def check():
            async def many_small_chunks(got, writer):
                writer.write(stream_head(got))
                for _ in range(200):
                    writer.write(chunk(b":") * 500)
                    await writer.drain()
                writer.write(b"0\r\n\r\n")

            async with Harness([ScriptedTarget("t0", many_small_chunks)]) as harness:
                reply = await harness.get("/stream/x")
                assert reply.is_complete
                assert len(reply.body) == 100_000

        run(check())


class TestHttpClient:
    @pytest.mark.parametrize(
        ("framing", "block"),
        [
            (b"", BLOCK),
            (b"Transfer-Encoding: chunked\r\n", chunk(b"xx") * 8000),
        ],
    )
    def test_an_endless_body_ends_the_call(self, framing, block):
        async def check():
            head = b"HTTP/1.1 200 OK\r\n%b\r\n" % framing
            target = ScriptedTarget("t0", endless(head, block))
            await target.start()
            client = HttpClient(HOST, target.port, asyncio.get_running_loop())
            tracemalloc.start()
            with pytest.raises(ConnectionError):
                await client.call("GET", "/x", timeout_s=20)
            assert tracemalloc.get_traced_memory()[1] < 2 * MAX_BODY_BYTES
            tracemalloc.stop()
            target.stop()

        run(check())
