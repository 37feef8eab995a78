"""Answers that end with their connection, or inside an event."""

import asyncio

import pytest
from harness import (
    Harness,
    ScriptedTarget,
    chunk,
    event,
    reset_connection,
    run,
    stream_head,
)

EVENTS = b"".join(event(number) for number in range(4))


def unframed_head(got, content_type="text/event-stream"):
    """Return a head with neither a length nor chunks."""
    return (
        f"HTTP/1.1 200 OK\r\nRequest-Id: {got.request_id}\r\n"
        f"Response-Signature: sig\r\nContent-Type: {content_type}\r\n\r\n"
    ).encode()


def unframed(body, *, is_reset=False):
    """Return a script that sends a body which ends with the connection."""

    async def script(got, writer):
        writer.write(unframed_head(got) + body)
        await writer.drain()
        await asyncio.sleep(0.02)
        reset_connection(writer) if is_reset else writer.close()

    return script


def replies_to(scripts, path, **harness_options):
    """Return the reply to one request, and the targets."""
    targets = [ScriptedTarget(f"t{number}", s) for number, s in enumerate(scripts)]
    replies = []

    async def check():
        async with Harness(targets, **harness_options) as harness:
            loop = asyncio.get_running_loop()
            began_s = loop.time()
            replies.append(await harness.get(path))
            replies.append(loop.time() - began_s)

    run(check())
    return (*replies, targets)


class TestAnswersThatEndWithTheirConnection:
    @pytest.mark.parametrize("path", ["/stream/x", "/resumable/x"])
    def test_a_stream_is_complete(self, path):
        reply, _, _ = replies_to([unframed(EVENTS)], path)
        assert (reply.status, reply.body, reply.is_complete) == (200, EVENTS, True)

    @pytest.mark.parametrize("path", ["/stream/x", "/resumable/x"])
    def test_a_stream_that_ends_inside_an_event_is_broken_off(self, path):
        body = EVENTS + b"id: 4\ndata: wo"
        reply, _, _ = replies_to([unframed(body)], path)
        assert not reply.is_complete
        assert body.startswith(reply.body)

    @pytest.mark.parametrize("path", ["/stream/x", "/resumable/x"])
    def test_a_stream_that_is_reset_is_broken_off(self, path):
        reply, _, _ = replies_to([unframed(EVENTS, is_reset=True)], path)
        assert not reply.is_complete

    @pytest.mark.parametrize("path", ["/safe/x", "/unsafe/x"])
    def test_a_plain_answer_is_complete(self, path):
        reply, _, _ = replies_to([unframed(b"whole body")], path)
        assert (reply.status, reply.body) == (200, b"whole body")
        assert reply.is_complete

    def test_a_plain_answer_that_is_reset_is_no_success(self):
        reply, _, _ = replies_to([unframed(b"half a b", is_reset=True)], "/unsafe/x")
        assert reply.status == 502

    def test_a_chunked_stream_that_ends_inside_an_event_is_broken_off(self):
        async def script(got, writer):
            writer.write(stream_head(got) + chunk(EVENTS + b"id: 4\nda") + b"0\r\n\r\n")

        reply, _, _ = replies_to([script], "/stream/x")
        assert not reply.is_complete

    def test_an_answer_to_another_request_ends_the_attempt(self):
        async def script(got, writer):
            got.headers["request-id"] = "other"
            writer.write(unframed_head(got) + b"not yours")
            await writer.drain()
            writer.close()

        reply, duration_s, _ = replies_to([script], "/unsafe/x")
        assert reply.status == 502
        assert duration_s < 1.0
