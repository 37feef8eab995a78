"""Bytes that are costly to read on one connection do not hold up the other ones."""

import asyncio
import os
import time

import attrs
import pytest
from harness import (
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

from citrondock_router.gateway.event_stream_filter import (
    MAX_EVENT_BYTES,
    EventBoundary,
    EventStreamFilter,
    EventTooLongError,
)
from citrondock_router.gateway.paced_input import (
    MAX_ROUND_S,
    MAX_TURN_BYTES,
    MAX_TURN_S,
    SLICE_BYTES,
    PacedInput,
    TurnQueue,
)

TOKEN = b"tokentokentokent"
MAX_WAIT_S = 0.5
"""Half a second after its timeout, a request must have an answer."""

TROUBLE_FOR_S = 3.0


def refusal_head(got):
    return (
        f"HTTP/1.1 503 Busy\r\nRequest-Id: {got.request_id}\r\nNot-Executed: 1\r\n"
        "Transfer-Encoding: chunked\r\n\r\n"
    ).encode()


def failure_head(got):
    return stream_head(got).replace(b"200 OK", b"500 Oops")


ENDLESS_ANSWERS = {
    "event in small chunks": ("resumable", stream_head, chunk(TOKEN) * 2000),
    "event in chunks of a byte": ("resumable", stream_head, chunk(b"x") * 8000),
    "stream in chunks of a byte": ("stream", stream_head, chunk(b"x") * 8000),
    "empty events": ("stream", stream_head, chunk(b"\n" * 32_000)),
    "empty events of a resumable stream": (
        "resumable",
        stream_head,
        chunk(b"\n" * 32_000),
    ),
    "answer in chunks of a byte": ("unsafe", stream_head, chunk(b"x") * 8000),
    "refusal in chunks of a byte": ("unsafe", refusal_head, chunk(b"x") * 8000),
    "failure in chunks of a byte": ("unsafe", failure_head, chunk(b"x") * 8000),
}


async def longest_wait_s(port, until):
    """Return the longest time that a readiness check takes, until a task is done."""
    longest_s = 0.0
    while not until.done():
        began_s = time.monotonic()
        client = await Client.connect(port)
        client.writer.write(b"GET /ready HTTP/1.1\r\nHost: x\r\n\r\n")
        await client.read()
        client.writer.close()
        longest_s = max(longest_s, time.monotonic() - began_s)
        await asyncio.sleep(0.02)
    return longest_s


class ThreadedTarget(ScriptedTarget):
    """A target on an event loop of its own, so that it fills the router's sockets."""

    async def start(self):
        ready = asyncio.Event()
        loop = asyncio.get_running_loop()

        async def serve():
            await ScriptedTarget.start(self)
            self._own_loop = asyncio.get_running_loop()
            self._stopped = asyncio.Event()
            loop.call_soon_threadsafe(ready.set)
            await self._stopped.wait()
            ScriptedTarget.stop(self)
            for task in asyncio.all_tasks() - {asyncio.current_task()}:
                task.cancel()

        self._thread = asyncio.ensure_future(
            asyncio.to_thread(lambda: asyncio.run(serve()))
        )
        await ready.wait()

    def stop(self):
        self._own_loop.call_soon_threadsafe(self._stopped.set)


class TestCostlyAnswers:
    @pytest.mark.parametrize("kind", ENDLESS_ANSWERS)
    def test_others_are_served_beside_four_endless_answers(self, kind):
        path, head, block = ENDLESS_ANSWERS[kind]

        async def check():
            target = ThreadedTarget("t0", endless(head, block))
            async with Harness(
                [target], configured=configuration(timeout_s=TROUBLE_FOR_S)
            ) as harness:
                asked = [
                    asyncio.ensure_future(
                        harness.send_and_receive(
                            request(f"/{path}/x", f"r{number}", method="POST")
                        )
                    )
                    for number in range(4)
                ]
                ended = asyncio.ensure_future(
                    asyncio.wait(asked, timeout=TROUBLE_FOR_S)
                )
                assert await longest_wait_s(harness.readiness_port, ended) < MAX_WAIT_S
                for task in asked:
                    task.cancel()

        run(check())

    def test_a_refusal_without_end_is_a_refusal(self):
        async def check():
            targets = [
                ScriptedTarget("t0", endless(refusal_head, chunk(b"x" * 4096))),
                ScriptedTarget("t1", send_complete_response),
            ]
            async with Harness(targets) as harness:
                for number in range(6):
                    reply = await harness.send_and_receive(
                        request("/unsafe/x", f"r{number}", method="POST")
                    )
                    assert (reply.status, reply.body) == (200, b"done")
                assert targets[0].received

        run(check())

    def test_bytes_after_a_long_answer_are_of_no_other_answer(self):
        async def check():
            async def two_answers(got, writer):
                body = os.urandom(40_000)
                extra = complete_response(got, b"extra")
                writer.write(complete_response(got, body) + extra * 2000)
                sent[got.request_id] = body

            sent = {}
            target = ScriptedTarget("t0", two_answers)
            async with Harness([target]) as harness:
                replies = await asyncio.gather(
                    *(harness.get("/safe/x", f"r{n}") for n in range(12))
                )
                for number, reply in enumerate(replies):
                    assert reply.body == sent[f"r{number}"]

        run(check())


class TestCostlyRequests:
    def test_others_are_served_beside_bodies_in_chunks_of_a_byte(self):
        async def check():
            limits = attrs.evolve(configuration().limits, max_body_bytes=4_194_304)
            configured = attrs.evolve(configuration(), limits=limits)
            target = ScriptedTarget("t0", send_complete_response)
            async with Harness([target], configured=configured) as harness:
                head = request("/safe/x", method="POST", Transfer_Encoding="chunked")
                data = head + chunk(b"x") * 1_000_000 + b"0\r\n\r\n"

                async def send():
                    client = await Client.connect(harness.port)
                    client.writer.write(data)
                    return await client.read()

                # Sockets are filled from threads, as by clients of other machines.
                sent = asyncio.gather(
                    *(asyncio.to_thread(lambda: asyncio.run(send())) for _ in range(4))
                )
                assert await longest_wait_s(harness.readiness_port, sent) < MAX_WAIT_S
                assert {reply.status for reply in await sent} == {200}
                assert len(target.received[0].body) == 1_000_000

        run(check())

    def test_all_of_many_requests_on_one_connection_are_answered(self):
        async def check():
            target = ScriptedTarget("t0", send_complete_response)
            async with Harness([target]) as harness:
                client = await Client.connect(harness.port)
                client.writer.write(
                    b"".join(request("/safe/x", f"r{n}") for n in range(2000))
                )
                for number in range(2000):
                    reply = await client.read()
                    assert reply.headers["request-id"] == f"r{number}"
                client.writer.close()

        run(check())


class FakeTransport:
    def __init__(self):
        self.reading = True
        self.closing = False

    def is_closing(self):
        return self.closing

    def is_reading(self):
        return self.reading

    def pause_reading(self):
        self.reading = False

    def resume_reading(self):
        self.reading = True

    def abort(self):
        self.closing = True


class FakeLoop:
    """Runs what is due when the test says so."""

    def __init__(self):
        self.due = []

    def call_soon(self, callback):
        self.due.append(callback)

    def run_once(self):
        due, self.due = self.due, []
        for callback in due:
            callback()


class Setup:
    def __init__(self, cost_s=0.0, loop=None, turns=None):
        self.now_s = 0.0
        self.seen = []
        self.loop = loop or FakeLoop()
        self.transport = FakeTransport()

        def consume(data):
            self.seen.append(data)
            self.now_s += cost_s

        self.paced = PacedInput(
            consume, self.loop, turns=turns, clock=lambda: self.now_s
        )
        self.paced.attach(self.transport)

    @property
    def seen_bytes(self):
        return sum(map(len, self.seen))


class TestPacedInput:
    def test_few_bytes_are_consumed_at_once(self):
        setup = Setup()
        setup.paced.feed(b"abc")
        assert setup.seen == [b"abc"]
        assert setup.transport.reading
        assert not setup.loop.due

    def test_all_bytes_are_consumed_once_and_in_order(self):
        setup = Setup(cost_s=MAX_TURN_S / 3)
        data = os.urandom(300_000)
        setup.paced.feed(data)
        while setup.loop.due:
            assert not setup.transport.reading
            setup.loop.run_once()
        assert b"".join(setup.seen) == data
        assert setup.transport.reading

    def test_a_turn_ends_after_some_bytes(self):
        setup = Setup()
        setup.paced.feed(bytes(300_000))
        assert setup.seen_bytes == MAX_TURN_BYTES
        setup.loop.run_once()
        assert setup.seen_bytes == 2 * MAX_TURN_BYTES

    def test_a_turn_of_costly_bytes_ends_after_some_time(self):
        setup = Setup(cost_s=MAX_TURN_S * 2)
        setup.paced.feed(bytes(300_000))
        assert setup.seen_bytes == SLICE_BYTES

    def test_a_socket_that_is_always_full_is_left_for_a_turn(self):
        setup = Setup()
        setup.paced.feed(bytes(MAX_TURN_BYTES))
        assert not setup.transport.reading
        setup.loop.run_once()
        assert setup.transport.reading

    def test_no_more_is_read_while_paused(self):
        setup = Setup(cost_s=MAX_TURN_S)
        setup.paced.feed(bytes(100_000))
        setup.paced.pause()
        while setup.loop.due:
            setup.loop.run_once()
        assert setup.seen_bytes == 100_000
        assert not setup.transport.reading
        setup.paced.resume()
        assert setup.transport.reading

    def test_a_closing_connection_consumes_no_more(self):
        setup = Setup(cost_s=MAX_TURN_S)
        setup.paced.feed(bytes(100_000))
        setup.transport.closing = True
        setup.loop.run_once()
        assert setup.seen_bytes == SLICE_BYTES
        assert not setup.loop.due

    def test_what_is_left_can_be_consumed_at_the_end_of_the_connection(self):
        setup = Setup(cost_s=MAX_TURN_S)
        setup.paced.feed(bytes(100_000))
        setup.transport.closing = True
        while setup.paced.has_backlog:
            setup.paced.consume_slice()
        assert setup.seen_bytes == 100_000

    def test_an_error_in_a_later_turn_closes_the_connection(self):
        setup = Setup(cost_s=MAX_TURN_S)
        setup.paced.feed(bytes(100_000))

        def fail(_):
            raise ValueError("no answer")

        setup.paced._consume = fail
        with pytest.raises(ValueError, match="no answer"):
            setup.loop.run_once()
        assert setup.transport.closing


class TestUnfinishedEvents:
    def test_the_work_for_an_event_in_pieces_grows_with_its_size(self):
        events = EventStreamFilter()
        began_s = time.process_time()
        for _ in range(MAX_EVENT_BYTES // len(TOKEN)):
            events.feed(TOKEN)
        assert time.process_time() - began_s < MAX_WAIT_S

    @pytest.mark.parametrize("ending", [b"\n\n", b"\r\n\r\n", b"\n\r\n", b"\r\n\n"])
    def test_an_end_in_pieces_is_found(self, ending):
        data = b"id: 0\ndata: a" + ending + b"id: 1\ndata: b" + ending
        for size in range(1, len(data)):
            events = EventStreamFilter()
            pieces = [data[at : at + size] for at in range(0, len(data), size)]
            assert b"".join(map(events.feed, pieces)) == data
            assert not events.has_partial

    def test_a_stream_that_is_passed_on_may_hold_no_endless_event(self):
        boundary = EventBoundary()
        for _ in range(MAX_EVENT_BYTES // len(TOKEN)):
            boundary.feed(TOKEN)
        assert boundary.fault is None
        boundary.feed(TOKEN)
        assert isinstance(boundary.fault, EventTooLongError)

    def test_comments_and_whole_events_are_no_endless_event(self):
        boundary = EventBoundary()
        for _ in range(MAX_EVENT_BYTES // 10):
            boundary.feed(b": still here\n")
            boundary.feed(b"data: %b\n\n" % TOKEN)
        assert boundary.has_event
        assert boundary.fault is None

    def test_no_byte_of_an_endless_event_is_passed_on(self):
        boundary = EventBoundary()
        assert (
            boundary.feed(b"id: 0\ndata: a\n\nid: 1\ndata: ") == b"id: 0\ndata: a\n\n"
        )
        while boundary.fault is None:
            assert boundary.feed(TOKEN) == b""
        assert boundary.feed(b"\n\n") == b""

    @pytest.mark.parametrize("ending", [b"\n", b"\r\n"])
    def test_whole_events_and_comments_in_pieces_are_all_passed_on(self, ending):
        lines = [b": c", b"id: 0", b"data: a", b"", b": d", b"", b"", b"id: 1", b""]
        data = b"".join(line + ending for line in lines) + b": unfinished"
        for size in range(1, len(data)):
            boundary = EventBoundary()
            pieces = [data[at : at + size] for at in range(0, len(data), size)]
            passed = [boundary.feed(piece) for piece in pieces]
            assert b"".join(passed) == data
            assert boundary.has_event
            assert not boundary.is_inside_event

    def test_a_comment_is_passed_on_as_it_arrives(self):
        boundary = EventBoundary()
        assert boundary.feed(b": half") == b": half"
        assert boundary.feed(b" of it\nid: 1") == b" of it\n"
        assert boundary.is_inside_event
        assert not boundary.has_event


class TestEndlessEvents:
    @pytest.mark.parametrize("path", ["/stream/x", "/resumable/x"])
    def test_a_client_gets_whole_events_alone(self, path):
        async def check():
            async def script(got, writer):
                writer.write(stream_head(got) + chunk(b"id: 0\ndata: a\n\n"))
                writer.write(chunk(b"id: 1\ndata: "))
                while not writer.is_closing():
                    writer.write(chunk(b"x" * 4096))
                    await writer.drain()

            async with Harness([ScriptedTarget("t0", script)]) as harness:
                reply = await harness.get(path)
                assert reply.body == b"id: 0\ndata: a\n\n"
                assert not reply.is_complete

        run(check())


class TestTurnQueue:
    def test_many_connections_share_the_time_of_an_iteration(self):
        loop, clock = FakeLoop(), Clock()
        turns = TurnQueue(loop, clock=clock)
        inputs = []
        for _ in range(50):
            paced = PacedInput(clock.spend, loop, turns=turns, clock=clock)
            paced.attach(FakeTransport())
            inputs.append(paced)
        for paced in inputs:
            paced.feed(bytes(100_000))
        assert clock.now_s <= MAX_ROUND_S + MAX_TURN_S
        while loop.due:
            began_s = clock.now_s
            loop.run_once()
            assert clock.now_s - began_s <= MAX_ROUND_S + MAX_TURN_S
        assert clock.seen_bytes == 50 * 100_000

    def test_few_bytes_are_consumed_at_once_beside_costly_ones(self):
        loop, clock = FakeLoop(), Clock()
        turns = TurnQueue(loop, clock=clock)
        for size in [100_000] * 50 + [100]:
            seen_before = clock.seen_bytes
            paced = PacedInput(clock.spend, loop, turns=turns, clock=clock)
            paced.attach(FakeTransport())
            paced.feed(bytes(size))
        assert clock.seen_bytes == seen_before + 100


class Clock:
    """Time that only goes on as bytes are consumed."""

    def __init__(self):
        self.now_s = 0.0
        self.seen_bytes = 0

    def __call__(self):
        return self.now_s

    def spend(self, data):
        self.seen_bytes += len(data)
        self.now_s += MAX_TURN_S
