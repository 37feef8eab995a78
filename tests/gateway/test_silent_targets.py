"""An answer of a target that is silent for a while is not ended by the router."""

import asyncio

import pytest
from harness import (
    Client,
    Harness,
    ScriptedTarget,
    chunk,
    complete_response,
    configuration,
    event,
    request,
    run,
    send_complete_response,
    stream_head,
)

from citrondock_core.routing.store_position import StorePosition

ALL_EVENTS = b"".join(event(number) for number in range(6))
PAUSE_S = 1.6
PROMPT = {"Model": "m", "Token_Usage": "1000,40", "Prefix_Hash": "a1:800,b2:200"}
LONG_TIMEOUT_S = 5.0


async def pause_midway(got, writer):
    """Send three events, fall silent for a moment, then send the others."""
    after = got.headers.get("last-event-id")
    first = int(after) + 1 if after is not None else 0
    writer.write(stream_head(got))
    for number in range(first, 6):
        if number == 3:
            await asyncio.sleep(PAUSE_S)
        writer.write(chunk(event(number)))
        await writer.drain()
    writer.write(chunk(b""))


async def start_late(got, writer):
    """Fall silent for a moment before the first event."""
    await asyncio.sleep(PAUSE_S)
    writer.write(stream_head(got) + chunk(ALL_EVENTS) + chunk(b""))


async def answer_late(got, writer):
    await asyncio.sleep(PAUSE_S)
    writer.write(complete_response(got))


async def never_answer(_got, _writer):
    await asyncio.sleep(0)


async def stream_at_once(got, writer):
    after = got.headers.get("last-event-id")
    first = int(after) + 1 if after is not None else 0
    events = b"".join(event(number) for number in range(first, 6))
    writer.write(stream_head(got) + chunk(events) + chunk(b""))


def make_harness(*scripts, service="app", **options):
    targets = [ScriptedTarget(f"t{n}", s, service) for n, s in enumerate(scripts)]
    configured = configuration(timeout_s=LONG_TIMEOUT_S)
    return Harness(targets, configured=configured, **options)


class TestNoOtherTarget:
    @pytest.mark.parametrize("script", [pause_midway, start_late])
    @pytest.mark.parametrize(
        ("service", "path", "headers"),
        [("app", "/resumable/x", {}), ("llm", "/model/x", PROMPT)],
    )
    def test_a_stream_whose_target_pauses_is_not_broken_off(
        self, script, service, path, headers
    ):
        async def check():
            async with make_harness(script, service=service) as harness:
                reply = await harness.get(path, **headers)
                assert (reply.status, reply.is_complete) == (200, True)
                assert reply.body == ALL_EVENTS
                assert len(harness.targets[0].received) == 1

        run(check())

    def test_a_plain_answer_that_comes_late_is_passed_on(self):
        async def check():
            async with make_harness(answer_late) as harness:
                reply = await harness.get("/safe/x")
                assert reply.status == 200
                assert len(harness.targets[0].received) == 1

        run(check())

    def test_the_timeout_of_the_route_still_applies(self):
        async def check():
            targets = [ScriptedTarget("t0", never_answer)]
            async with Harness(targets, configured=configuration()) as harness:
                assert (await harness.get("/safe/x")).status == 504
                assert harness.gateway.live_count == 0

        run(check())

    def test_the_search_for_another_target_costs_no_retry(self):
        async def check():
            async with make_harness(answer_late) as harness:
                before = harness.gateway.scheduler.retries_left_by_service()
                assert (await harness.get("/safe/x")).status == 200
                left = harness.gateway.scheduler.retries_left_by_service()
                assert left["app"] >= before.get("app", 0)

        run(check())

    def test_the_search_does_not_count_as_a_request_that_was_not_served(self):
        async def check():
            async with make_harness(answer_late) as harness:
                ratios = harness.gateway.scheduler._ratios
                assert (await harness.get("/safe/x")).status == 200
                assert ratios.ratio("safe") == 1.0

        run(check())

    def test_an_error_in_the_search_does_not_end_the_answer(self, monkeypatch):
        async def check():
            async with make_harness(answer_late) as harness:
                scheduler = harness.gateway.scheduler
                submit = scheduler.submit

                def fail_in_search(exchange):
                    if exchange.silent_target_id is not None:
                        raise RuntimeError("injected")
                    submit(exchange)

                monkeypatch.setattr(scheduler, "submit", fail_in_search)
                assert (await harness.get("/safe/x")).status == 200

        run(check())

    def test_a_client_that_leaves_ends_the_search(self):
        async def check():
            async with make_harness(never_answer, service="llm") as harness:
                client = await Client.connect(harness.port)
                client.writer.write(request("/model/x", **PROMPT))
                await asyncio.sleep(PAUSE_S)
                client.writer.close()
                await asyncio.sleep(0.2)
                assert harness.gateway.live_count == 0
                assert harness.targets[0].disconnected_at_s

        run(check())


async def reject(got, writer):
    writer.write(
        f"HTTP/1.1 503 Busy\r\nRequest-Id: {got.request_id}\r\nNot-Executed: 1\r\n"
        "Content-Length: 0\r\n\r\n".encode()
    )


async def reject_at_length(got, writer):
    writer.write(
        f"HTTP/1.1 503 Busy\r\nRequest-Id: {got.request_id}\r\nNot-Executed: 1\r\n"
        "Content-Length: 10000000\r\n\r\n".encode()
    )
    while not writer.is_closing():
        writer.write(b"x" * 65_536)
        await writer.drain()


async def close(_got, writer):
    writer.close()
    await asyncio.sleep(0)


async def fail(got, writer):
    writer.write(complete_response(got, b"", "500 Oops"))


async def answer_another_request(_got, writer):
    writer.write(
        b"HTTP/1.1 200 OK\r\nRequest-Id: other\r\nResponse-Signature: sig\r\n"
        b"Content-Length: 1\r\n\r\nx"
    )


async def answer_unsigned(got, writer):
    writer.write(complete_response(got, ALL_EVENTS, signed=False))


class FirstAndOther:
    """Scripts for two targets, by which of them is asked first."""

    def __init__(self, first, other):
        self.scripts = [first, other]
        self.targets = []

    async def __call__(self, got, writer):
        port = writer.get_extra_info("sockname")[1]
        if port not in self.targets:
            self.targets.append(port)
        await self.scripts[self.targets.index(port)](got, writer)


def make_pair(first, other, **options):
    script = FirstAndOther(first, other)
    return make_harness(script, script, **options)


def assert_nothing_is_left(harness):
    scheduler = harness.gateway.scheduler
    requester = scheduler._grant_requester
    assert harness.gateway.live_count == 0
    assert not (requester._searches or requester._granted or requester._takeovers)
    assert not scheduler._sent
    assert all(load.running_count == 0 for load in scheduler._loads.values())


KINDS = pytest.mark.parametrize(
    ("service", "path", "headers"),
    [("app", "/resumable/x", {}), ("llm", "/model/x", PROMPT)],
)


class TestATargetThatDoesNotTakeOver:
    @KINDS
    @pytest.mark.parametrize("first", [pause_midway, start_late])
    @pytest.mark.parametrize(
        "other",
        [
            reject,
            reject_at_length,
            close,
            fail,
            answer_another_request,
            answer_unsigned,
            never_answer,
        ],
    )
    def test_the_silent_one_goes_on(self, first, other, service, path, headers):
        async def check():
            async with make_pair(first, other, service=service) as harness:
                reply = await harness.get(path, **headers)
                assert (reply.status, reply.is_complete) == (200, True)
                assert reply.body == ALL_EVENTS
                assert [len(t.received) for t in harness.targets] == [1, 1]
                assert_nothing_is_left(harness)

        run(check())

    @pytest.mark.parametrize("other", [reject, close, fail, never_answer])
    def test_a_plain_answer_that_comes_late_is_passed_on(self, other):
        async def check():
            async with make_pair(answer_late, other) as harness:
                reply = await harness.get("/safe/x")
                assert (reply.status, reply.body) == (200, b"done")
                assert [len(t.received) for t in harness.targets] == [1, 1]
                assert_nothing_is_left(harness)

        run(check())

    @KINDS
    def test_one_that_refuses_connections(self, service, path, headers):
        async def check():
            harness = make_pair(pause_midway, reject, service=service)
            async with harness:
                reply_task = asyncio.ensure_future(harness.get(path, **headers))
                while not any(target.received for target in harness.targets):
                    await asyncio.sleep(0.01)
                other = next(t for t in harness.targets if not t.received)
                other.stop()
                reply = await reply_task
                assert (reply.body, reply.is_complete) == (ALL_EVENTS, True)
                assert_nothing_is_left(harness)

        run(check())

    @KINDS
    def test_it_is_left_when_the_silent_one_goes_on(self, service, path, headers):
        async def check():
            async with make_pair(
                pause_midway, never_answer, service=service
            ) as harness:
                reply = await harness.get(path, **headers)
                assert reply.body == ALL_EVENTS
                other = harness.targets[0]
                if len(other.disconnected_at_s) == 0:
                    other = harness.targets[1]
                await asyncio.sleep(0.05)
                assert other.disconnected_at_s

        run(check())

    @KINDS
    def test_it_answers_if_the_silent_one_ends(self, service, path, headers):
        async def pause_and_close(got, writer):
            writer.write(stream_head(got) + chunk(event(0)) + chunk(b"id: 1"))
            await asyncio.sleep(PAUSE_S)
            writer.close()

        async def answer_much_later(got, writer):
            await asyncio.sleep(PAUSE_S)
            await stream_at_once(got, writer)

        async def check():
            async with make_pair(
                pause_and_close, answer_much_later, service=service
            ) as harness:
                reply = await harness.get(path, **headers)
                assert (reply.body, reply.is_complete) == (ALL_EVENTS, True)
                assert [len(t.received) for t in harness.targets] == [1, 1]
                assert_nothing_is_left(harness)

        run(check())

    @KINDS
    def test_a_client_that_leaves_ends_both(self, service, path, headers):
        async def check():
            async with make_pair(
                never_answer, never_answer, service=service
            ) as harness:
                client = await Client.connect(harness.port)
                client.writer.write(request(path, **headers))
                while not all(target.received for target in harness.targets):
                    await asyncio.sleep(0.01)
                client.writer.close()
                await asyncio.sleep(0.2)
                assert all(target.disconnected_at_s for target in harness.targets)
                assert_nothing_is_left(harness)

        run(check())

    @KINDS
    def test_the_timeout_of_the_route_ends_both(self, service, path, headers):
        async def check():
            script = FirstAndOther(never_answer, never_answer)
            targets = [ScriptedTarget(f"t{n}", script, service) for n in range(2)]
            async with Harness(targets, configured=configuration()) as harness:
                assert (await harness.get(path, **headers)).status == 504
                await asyncio.sleep(0.1)
                assert all(target.disconnected_at_s for target in harness.targets)
                assert_nothing_is_left(harness)

        run(check())

    def test_a_third_target_is_tried_if_attempts_are_left(self):
        async def check():
            script = FirstAndOther(never_answer, never_answer)
            script.scripts.append(stream_at_once)
            targets = [ScriptedTarget(f"t{n}", script) for n in range(3)]
            configured = configuration(timeout_s=LONG_TIMEOUT_S, max_attempts=3)
            async with Harness(targets, configured=configured) as harness:
                reply = await harness.get("/resumable/x")
                assert (reply.body, reply.is_complete) == (ALL_EVENTS, True)
                assert_nothing_is_left(harness)

        run(check())


class TestAnotherTarget:
    @pytest.mark.parametrize(
        ("service", "path", "headers"),
        [("app", "/resumable/x", {}), ("llm", "/model/x", PROMPT)],
    )
    def test_it_takes_over_and_the_silent_one_is_left(self, service, path, headers):
        async def stall(got, writer):
            writer.write(stream_head(got) + chunk(event(0)))

        async def check():
            async with make_harness(stall, stall, service=service) as harness:
                reply_task = asyncio.ensure_future(harness.get(path, **headers))
                while not any(target.received for target in harness.targets):
                    await asyncio.sleep(0.01)
                silent, other = sorted(
                    harness.targets, key=lambda target: -len(target.received)
                )
                other.script = stream_at_once
                reply = await reply_task
                assert (reply.body, reply.is_complete) == (ALL_EVENTS, True)
                assert len(silent.received) == len(other.received) == 1
                assert silent.disconnected_at_s

        run(check())

    def test_a_target_that_appears_later_takes_over(self):
        async def check():
            async with make_harness(never_answer) as harness:
                reply_task = asyncio.ensure_future(harness.get("/safe/x"))
                await asyncio.sleep(PAUSE_S)
                late = ScriptedTarget("t9", send_complete_response)
                await late.start()
                harness.targets.append(late)
                change = harness.process.directory.apply(
                    put=[late.entry], deleted=[], position=StorePosition(0, 2), now_s=0
                )
                harness.gateway.targets_changed(change)
                assert (await reply_task).status == 200
                assert len(late.received) == 1

        run(check())
