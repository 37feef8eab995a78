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
