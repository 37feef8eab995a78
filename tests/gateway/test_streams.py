"""Streams: order, resuming, ends that cannot be taken for whole."""

import asyncio

import pytest
from harness import (
    Client,
    Harness,
    ScriptedTarget,
    chunk,
    event,
    request,
    reset_connection,
    run,
    stream_head,
)

WHOLE = b"".join(event(number) for number in range(6))


def sends(first, last, *, end="whole", tail=b""):
    """Return a script that streams events; a resumed stream goes on after the last."""

    async def script(got, writer):
        after = got.headers.get("last-event-id")
        start = int(after) + 1 if after is not None else first
        stop = 6 if after is not None else last
        writer.write(stream_head(got))
        for number in range(start, stop):
            writer.write(chunk(event(number)))
            await writer.drain()
            await asyncio.sleep(0.01)
        if tail and after is None:
            writer.write(chunk(tail))
            await writer.drain()
            await asyncio.sleep(0.02)
        if end == "whole" or after is not None:
            writer.write(b"0\r\n\r\n")
        elif end == "reset":
            reset_connection(writer)
        elif end == "mute":
            await asyncio.sleep(20)

    return script


def targets(*scripts, service="app"):
    return Harness([ScriptedTarget(f"t{n}", s, service) for n, s in enumerate(scripts)])


class TestWholeStreams:
    def test_events_are_passed_on_as_they_are(self):
        async def check():
            async with targets(sends(0, 6)) as harness:
                for path in ("/stream/x", "/resumable/x"):
                    reply = await harness.get(path)
                    assert (reply.body, reply.is_complete) == (WHOLE, True)

        run(check())

    def test_events_are_not_held_back(self):
        async def check():
            async with targets(sends(0, 3, end="mute")) as harness:
                client = await Client.connect(harness.port)
                client.writer.write(request("/stream/x"))
                got = b""
                while event(2) not in got:
                    got += await asyncio.wait_for(client.reader.read(1000), 0.5)
                client.writer.close()

        run(check())


class TestBrokenStreams:
    def test_a_stream_that_cannot_resume_is_broken_off(self):
        async def check():
            async with targets(sends(0, 3, end="reset"), sends(0, 6)) as harness:
                replies = [await harness.get("/stream/x", f"r{n}") for n in range(2)]
                broken = [reply for reply in replies if not reply.is_complete]
                assert broken
                assert all(WHOLE.startswith(reply.body) for reply in replies)
                runs = sum(len(target.received) for target in harness.targets)
                assert runs == 2

        run(check())

    def test_an_old_client_sees_a_reset_where_a_close_would_look_whole(self):
        async def check():
            async with targets(sends(0, 3, end="reset")) as harness:
                client = await Client.connect(harness.port)
                client.writer.write(request("/stream/x").replace(b"1.1\r", b"1.0\r"))
                await client.reader.readuntil(b"\r\n\r\n")
                with pytest.raises(ConnectionResetError):
                    while await client.reader.read(1000):
                        continue

        run(check())

    def test_a_resumable_stream_goes_on_elsewhere(self):
        async def check():
            script = sends(0, 3, end="reset", tail=b"id: 3\ndata: wo")
            async with targets(script, script) as harness:
                reply = await harness.get("/resumable/x")
                assert (reply.body, reply.is_complete) == (WHOLE, True)

        run(check())

    def test_events_that_the_client_has_are_not_sent_twice(self):
        async def repeats(got, writer):
            writer.write(stream_head(got))
            if "last-event-id" not in got.headers:
                writer.write(chunk(event(0) + event(1)))
                await writer.drain()
                await asyncio.sleep(0.02)
                reset_connection(writer)
                return
            for number in range(6):
                writer.write(chunk(event(number)))
            writer.write(b"0\r\n\r\n")

        async def check():
            async with targets(repeats, repeats) as harness:
                reply = await harness.get("/resumable/x")
                assert (reply.body, reply.is_complete) == (WHOLE, True)

        run(check())

    def test_a_gap_in_the_events_is_never_passed_on(self):
        async def gap(got, writer):
            writer.write(stream_head(got))
            writer.write(chunk(event(0)) + chunk(event(2)) + b"0\r\n\r\n")

        async def check():
            async with targets(gap, gap) as harness:
                reply = await harness.get("/resumable/x")
                assert not reply.is_complete
                assert event(2) not in reply.body

        run(check())

    def test_a_stream_that_ends_within_an_event_is_not_whole(self):
        async def check():
            script = sends(0, 3, tail=b"id: 3\ndata: wo")
            async with targets(script) as harness:
                harness.configured = None
                reply = await harness.get("/resumable/x")
                assert not reply.is_complete or reply.body == WHOLE

        run(check())

    def test_a_stream_that_falls_silent_is_resumed(self):
        async def check():
            mute = sends(0, 2, end="mute")
            async with targets(mute, mute) as harness:
                reply = await harness.get("/resumable/x")
                assert (reply.body, reply.is_complete) == (WHOLE, True)

        run(check())


class TestPrompts:
    def headers(self):
        return {"Model": "m", "Token_Usage": "1000,40", "Prefix_Hash": "a1:800,b2:200"}

    def test_prompts_are_sent_with_leave_of_the_engines_home(self):
        async def check():
            script = sends(0, 6)
            async with targets(script, script, service="llm") as harness:
                replies = await asyncio.gather(
                    *(
                        harness.get("/model/x", f"r{number}", **self.headers())
                        for number in range(10)
                    )
                )
                assert all(reply.body == WHOLE for reply in replies)
                received = [len(target.received) for target in harness.targets]
                # One session stays on one engine.
                assert sorted(received) == [0, 10]

        run(check())

    def test_prompts_wait_for_room_and_are_refused_in_time(self):
        async def check():
            mute = sends(0, 0, end="mute")
            async with targets(mute, service="llm") as harness:
                big = {**self.headers(), "Token_Usage": "40000,40"}
                loop = asyncio.get_running_loop()
                started_s = loop.time()
                first = asyncio.ensure_future(harness.get("/model/x", "r0", **big))
                await asyncio.sleep(0.05)
                reply = await harness.get("/model/x", "r1", **big)
                assert reply.status == 503
                assert loop.time() - started_s < 1.0
                assert "retry-after" in reply.headers
                first.cancel()

        run(check())
