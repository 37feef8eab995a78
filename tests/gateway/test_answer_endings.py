"""Answers that end with their connection, break off, or are not the request's own."""

import asyncio

import pytest
from harness import (
    Harness,
    ScriptedTarget,
    chunk,
    complete_response,
    event,
    reset_connection,
    run,
    stream_head,
)

ERROR_TEXT = b"engine failure\n\n"
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


class TestRepeatedRefusals:
    """A faulty target writes an earlier refusal once more on a kept connection."""

    def refuse_first(self, *, repeats_id=True):
        """Return a script that refuses, then repeats that and runs the request."""
        runs = []
        refused_on = []

        async def script(got, writer):
            refusal = complete_response(
                got, b"", "503 Busy", "Not-Executed: 1\r\n", signed=False
            )
            if not repeats_id:
                refusal = refusal.replace(
                    f"Request-Id: {got.request_id}\r\n".encode(), b""
                )
            if not refused_on:
                refused_on.append(writer)
                writer.write(refusal)
                return
            runs.append("ran")
            if writer in refused_on:
                writer.write(refusal)
                await writer.drain()
                await asyncio.sleep(0.05)
            writer.write(complete_response(got))

        return script, runs

    def test_a_repeated_refusal_of_the_same_request_is_not_believed(self):
        script, runs = self.refuse_first()
        reply, _, _ = replies_to([script], "/unsafe/x")
        assert reply.status == 200
        assert runs == ["ran"]

    def test_a_refusal_that_names_no_request_is_not_believed(self):
        script, runs = self.refuse_first(repeats_id=False)
        reply, _, _ = replies_to([script], "/unsafe/x")
        assert reply.status not in (408, 421, 429, 503)
        assert len(runs) <= 1

    def test_a_refusal_of_an_earlier_request_is_skipped(self):
        runs = []

        async def script(got, writer):
            runs.append(got.request_id)
            if len(runs) > 1:
                earlier = complete_response(
                    got, b"", "503 Busy", "Not-Executed: 1\r\n", signed=False
                )
                writer.write(earlier.replace(b"r2", b"r1"))
            writer.write(complete_response(got))

        async def check():
            async with Harness([ScriptedTarget("t0", script)]) as harness:
                await harness.get("/unsafe/x", "r1")
                reply = await harness.get("/unsafe/x", "r2")
                assert reply.status in (200, 502)
                assert runs == ["r1", "r2"]

        run(check())


class TestErrorsAfterAStreamHasBegun:
    """A stream broke off; the target that was to resume it answers with an error."""

    def scripts(self, status, extra="", signed=True):
        async def script(got, writer):
            if "last-event-id" in got.headers:
                writer.write(
                    complete_response(got, ERROR_TEXT, status, extra, signed=signed)
                )
                return
            writer.write(stream_head(got) + chunk(event(0) + event(1)))
            await writer.drain()
            await asyncio.sleep(0.02)
            reset_connection(writer)

        return [script, script]

    @pytest.mark.parametrize(
        ("status", "extra"),
        [
            ("500 Failed", ""),
            ("404 Not Found", ""),
            ("400 Bad Request", ""),
            ("503 Busy", "Not-Executed: 1\r\n"),
            ("429 Too Many", "Not-Executed: 1\r\n"),
            ("421 Misdirected", ""),
            ("503 Busy", ""),
            ("204 No Content", ""),
        ],
    )
    def test_the_client_sees_a_broken_stream_without_the_error(self, status, extra):
        reply, _, _ = replies_to(self.scripts(status, extra), "/resumable/x")
        assert not reply.is_complete
        assert reply.body == event(0) + event(1)

    def test_an_unsigned_success_is_not_spliced_on(self):
        scripts = self.scripts("200 OK", signed=False)
        reply, _, _ = replies_to(scripts, "/resumable/x")
        assert not reply.is_complete
        assert ERROR_TEXT not in reply.body

    def test_a_success_that_is_no_stream_does_not_end_it(self):
        reply, _, _ = replies_to(self.scripts("200 OK"), "/resumable/x")
        assert not reply.is_complete
        assert ERROR_TEXT not in reply.body


class TestTruncatedHeads:
    """A target stops in the middle of the head of its answer and closes."""

    @pytest.mark.parametrize("cut_bytes", [5, 17, 40, 2])
    @pytest.mark.parametrize("path", ["/safe/x", "/unsafe/x", "/stream/x"])
    def test_the_client_gets_no_success(self, path, cut_bytes):
        async def script(got, writer):
            head = unframed_head(got)
            kept = len(head) - 2 if cut_bytes == 2 else cut_bytes
            writer.write(head[:kept])
            await writer.drain()
            writer.close()

        reply, _, _ = replies_to([script], path)
        assert reply.status == 502
