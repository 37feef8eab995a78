"""Event streams: order, resumption and detectably incomplete responses."""

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

ALL_EVENTS = b"".join(event(number) for number in range(6))


def stream_script(first, last, *, end="complete", tail=b""):
    """Return a script that streams events, or resumes after the client's last event."""

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
        if end == "complete" or after is not None:
            writer.write(b"0\r\n\r\n")
        elif end == "reset":
            reset_connection(writer)
        elif end == "stall":
            await asyncio.sleep(20)

    return script


def make_harness(*scripts, service="app"):
    return Harness([ScriptedTarget(f"t{n}", s, service) for n, s in enumerate(scripts)])


class TestCompleteStreams:
    def test_events_are_passed_on_unchanged(self):
        async def check():
            async with make_harness(stream_script(0, 6)) as harness:
                for path in ("/stream/x", "/resumable/x"):
                    reply = await harness.get(path)
                    assert (reply.body, reply.is_complete) == (ALL_EVENTS, True)

        run(check())

    def test_events_are_passed_on_as_they_arrive(self):
        async def check():
            async with make_harness(stream_script(0, 3, end="stall")) as harness:
                client = await Client.connect(harness.port)
                client.writer.write(request("/stream/x"))
                got = b""
                while event(2) not in got:
                    got += await asyncio.wait_for(client.reader.read(1000), 0.5)
                client.writer.close()

        run(check())


class TestBrokenStreams:
    def test_a_stream_that_cannot_be_resumed_is_aborted(self):
        async def check():
            async with make_harness(
                stream_script(0, 3, end="reset"), stream_script(0, 6)
            ) as harness:
                replies = [await harness.get("/stream/x", f"r{n}") for n in range(2)]
                broken = [reply for reply in replies if not reply.is_complete]
                assert broken
                assert all(ALL_EVENTS.startswith(reply.body) for reply in replies)
                runs = sum(len(target.received) for target in harness.targets)
                assert runs == 2

        run(check())

    def test_an_http_1_0_client_sees_a_reset_after_an_incomplete_stream(self):
        async def check():
            async with make_harness(stream_script(0, 3, end="reset")) as harness:
                client = await Client.connect(harness.port)
                client.writer.write(request("/stream/x").replace(b"1.1\r", b"1.0\r"))
                await client.reader.readuntil(b"\r\n\r\n")
                with pytest.raises(ConnectionResetError):
                    while await client.reader.read(1000):
                        continue

        run(check())

    def test_a_resumable_stream_is_resumed_at_another_target(self):
        async def check():
            script = stream_script(0, 3, end="reset", tail=b"id: 3\ndata: wo")
            async with make_harness(script, script) as harness:
                reply = await harness.get("/resumable/x")
                assert (reply.body, reply.is_complete) == (ALL_EVENTS, True)

        run(check())

    def test_events_that_a_target_repeats_are_dropped(self):
        async def repeat_all_events(got, writer):
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
            async with make_harness(repeat_all_events, repeat_all_events) as harness:
                reply = await harness.get("/resumable/x")
                assert (reply.body, reply.is_complete) == (ALL_EVENTS, True)

        run(check())

    def test_events_after_a_gap_are_not_passed_on(self):
        async def skip_an_event(got, writer):
            writer.write(stream_head(got))
            writer.write(chunk(event(0)) + chunk(event(2)) + b"0\r\n\r\n")

        async def check():
            async with make_harness(skip_an_event, skip_an_event) as harness:
                reply = await harness.get("/resumable/x")
                assert not reply.is_complete
                assert event(2) not in reply.body

        run(check())

    def test_a_stream_that_ends_within_an_event_is_incomplete(self):
        async def check():
            script = stream_script(0, 3, tail=b"id: 3\ndata: wo")
            async with make_harness(script) as harness:
                harness.configured = None
                reply = await harness.get("/resumable/x")
                assert not reply.is_complete or reply.body == ALL_EVENTS

        run(check())

    def test_a_stalled_stream_is_resumed(self):
        async def check():
            stalled = stream_script(0, 2, end="stall")
            async with make_harness(stalled, stalled) as harness:
                reply = await harness.get("/resumable/x")
                assert (reply.body, reply.is_complete) == (ALL_EVENTS, True)

        run(check())


class TestSlowStreams:
    @staticmethod
    async def drip(got, writer):
        """Send the first event, then a byte of the next one now and then."""
        writer.write(stream_head(got))
        writer.write(chunk(event(0)))
        for _ in range(200):
            writer.write(chunk(b"d"))
            await writer.drain()
            await asyncio.sleep(0.05)

    @staticmethod
    async def stream_slowly(got, writer):
        """Send each event at the longest pause that is on time."""
        writer.write(stream_head(got))
        for number in range(6):
            writer.write(chunk(event(number)))
            await writer.drain()
            await asyncio.sleep(0.1)
        writer.write(b"0\r\n\r\n")

    def test_one_that_sends_a_byte_now_and_then_is_resumed_elsewhere(self):
        async def check():
            sound = stream_script(0, 6)
            async with make_harness(self.drip, self.drip) as harness:
                harness.targets[1].script = sound
                harness.targets[0].script = self.drip
                for number in range(4):
                    started_at_s = asyncio.get_running_loop().time()
                    reply = await harness.get("/resumable/x", f"r{number}")
                    assert (reply.body, reply.is_complete) == (ALL_EVENTS, True)
                    assert asyncio.get_running_loop().time() - started_at_s < 1.5
                assert harness.targets[0].received

        run(check())

    def test_a_slow_but_sound_one_is_not_cut(self):
        async def check():
            async with make_harness(self.stream_slowly) as harness:
                reply = await harness.get("/resumable/x")
                assert (reply.body, reply.is_complete) == (ALL_EVENTS, True)
                assert len(harness.targets[0].received) == 1

        run(check())


class TestPrompts:
    def headers(self):
        return {"Model": "m", "Token_Usage": "1000,40", "Prefix_Hash": "a1:800,b2:200"}

    def test_granted_prompts_of_one_session_go_to_one_engine(self):
        async def check():
            script = stream_script(0, 6)
            async with make_harness(script, script, service="llm") as harness:
                replies = await asyncio.gather(
                    *(
                        harness.get("/model/x", f"r{number}", **self.headers())
                        for number in range(10)
                    )
                )
                assert all(reply.body == ALL_EVENTS for reply in replies)
                received = [len(target.received) for target in harness.targets]
                # All prompts belong to one session, which stays on one engine.
                assert sorted(received) == [0, 10]

        run(check())

    def test_a_prompt_without_a_free_engine_is_refused_in_time(self):
        async def check():
            stalled = stream_script(0, 0, end="stall")
            async with make_harness(stalled, service="llm") as harness:
                large = {**self.headers(), "Token_Usage": "40000,40"}
                loop = asyncio.get_running_loop()
                started_s = loop.time()
                first = asyncio.ensure_future(harness.get("/model/x", "r0", **large))
                await asyncio.sleep(0.05)
                reply = await harness.get("/model/x", "r1", **large)
                assert reply.status == 503
                assert loop.time() - started_s < 1.0
                assert "retry-after" in reply.headers
                first.cancel()

        run(check())

    @pytest.mark.parametrize("is_taken_up", [True, False])
    def test_a_stream_that_goes_on_waits_longer_than_a_new_one(self, is_taken_up):
        async def busy(got, writer):
            if got.request_id == "r0":
                writer.write(stream_head(got) + chunk(event(0)))
                await asyncio.sleep(0.9)
                writer.write(b"0\r\n\r\n")
            else:
                await stream_script(0, 6)(got, writer)

        async def check():
            async with make_harness(busy, service="llm") as harness:
                large = {**self.headers(), "Token_Usage": "1000,90000"}
                first = asyncio.ensure_future(harness.get("/model/x", "r0", **large))
                await asyncio.sleep(0.1)
                base = {"service": "llm", "version": ""}
                await harness.store.create("stream-versions", "base.llm", base)
                if is_taken_up:
                    large |= {"Last_Event_Id": 2, "Resumes": "r"}
                reply = await harness.get("/model/x", "r1", **large)
                assert reply.status == (200 if is_taken_up else 503)
                await first

        run(check())
