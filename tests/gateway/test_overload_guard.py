"""A router that is short of processor time refuses requests at once."""

import asyncio
import time

from harness import (
    Client,
    Harness,
    ScriptedTarget,
    request,
    run,
    send_complete_response,
)

from citrondock_core.routing.overload_admission import MAX_BURST_S, MIN_RATE_PER_S
from citrondock_router.gateway.overload_guard import (
    BUSY_LAG_S,
    RECOVERY_S,
    SHED_LAG_S,
    SUSTAINED_S,
    OverloadGuard,
)
from citrondock_router.gateway.scheduler import TICK_S

PERIOD_S = 0.01
LAG_S = 0.5
"""Lag limit of the gateways here; a busy machine delays tests by less."""


class FakeLoop:
    """An overload guard with a clock that the test advances."""

    def __init__(self):
        self.now_s = 100.0
        self.guard = OverloadGuard(lambda: self.now_s, period_s=PERIOD_S)
        self.guard.timer_fired()

    def run_iteration(self, duration_s):
        self.now_s += duration_s
        return self.guard.timer_fired()


class TestOverloadGuard:
    def test_a_loop_without_much_lag_sheds_nothing(self):
        loop = FakeLoop()
        for _ in range(50):
            loop.run_iteration(SHED_LAG_S)
            assert not loop.guard.must_shed()

    def test_the_lag_excludes_the_timer_period(self):
        assert abs(FakeLoop().run_iteration(0.05) - (0.05 - PERIOD_S)) < 1e-9

    def test_requests_read_late_in_a_long_iteration_are_shed(self):
        loop = FakeLoop()
        loop.now_s += SHED_LAG_S + 2 * PERIOD_S
        assert loop.guard.must_shed()

    def test_requests_that_came_during_a_long_iteration_are_shed(self):
        loop = FakeLoop()
        loop.run_iteration(SHED_LAG_S + 2 * PERIOD_S)
        assert loop.guard.must_shed()
        for _ in range(20):
            loop.run_iteration(PERIOD_S)
        assert not loop.guard.must_shed()


class TestRecovery:
    def test_a_loop_that_catches_up_takes_no_burst_that_makes_it_late_again(self):
        loop = FakeLoop()
        loop.run_iteration(SHED_LAG_S + 2 * PERIOD_S)
        for _ in range(20):
            loop.run_iteration(PERIOD_S)
        assert not loop.guard.must_shed()
        admitted_count = sum(loop.guard.may_admit("a") for _ in range(200))
        assert 0 < admitted_count <= MIN_RATE_PER_S * MAX_BURST_S
        for _ in range(round(RECOVERY_S / PERIOD_S)):
            loop.run_iteration(PERIOD_S)
        assert all(loop.guard.may_admit("a") for _ in range(200))


class TestBusyRouter:
    def test_it_is_busy_from_a_small_lag_on_until_the_loop_was_in_time(self):
        loop = FakeLoop()
        loop.run_iteration(BUSY_LAG_S)
        assert not loop.guard.is_busy
        loop.run_iteration(BUSY_LAG_S + 2 * PERIOD_S)
        assert loop.guard.is_busy
        assert not loop.guard.is_overloaded
        loop.now_s += RECOVERY_S
        assert not loop.guard.is_busy


class TestSustainedOverload:
    def test_a_short_overload_is_not_sustained(self):
        loop = FakeLoop()
        loop.run_iteration(SHED_LAG_S + 2 * PERIOD_S)
        assert not loop.guard.is_sustained
        for _ in range(round(2 * RECOVERY_S / PERIOD_S)):
            loop.run_iteration(PERIOD_S)
            assert not loop.guard.is_sustained

    def test_an_overload_is_sustained_until_the_loop_was_in_time_for_a_while(self):
        loop = FakeLoop()
        while loop.now_s < 100 + 2 * SUSTAINED_S:
            loop.run_iteration(SHED_LAG_S + 2 * PERIOD_S)
        assert loop.guard.is_sustained
        recovered_at_s = loop.now_s + RECOVERY_S
        while loop.now_s < recovered_at_s - PERIOD_S:
            loop.run_iteration(PERIOD_S)
            assert loop.guard.is_sustained
        loop.run_iteration(2 * PERIOD_S)
        assert not loop.guard.is_sustained


def delay_timer(harness):
    """Make the timer of the router's overload guard run late."""
    time.sleep(LAG_S + 0.1)
    harness.gateway.overload.timer_fired()


class TestGateway:
    def test_an_overloaded_router_refuses_at_once(self):
        async def check():
            target = ScriptedTarget("t0", send_complete_response)
            async with Harness([target], shed_lag_s=LAG_S) as harness:
                await asyncio.sleep(0.05)
                delay_timer(harness)
                reply = await harness.get("/unsafe/x")
                assert reply.status == 503
                assert float(reply.headers["retry-after"]) < 0.1
                assert target.received == []
                assert harness.gateway.is_ready

        run(check())

    def test_a_router_in_a_sustained_overload_sends_clients_elsewhere(self):
        async def check():
            target = ScriptedTarget("t0", send_complete_response)
            async with Harness([target], shed_lag_s=LAG_S) as harness:
                await asyncio.sleep(0.05)
                clients = [await Client.connect(harness.port) for _ in range(40)]
                delay_timer(harness)
                time.sleep(SUSTAINED_S)
                delay_timer(harness)
                assert not harness.gateway.is_ready
                for client in clients:
                    client.writer.write(request("/unsafe/x", method="POST"))
                replies = [await client.read() for client in clients]
                refused = [reply.status == 503 for reply in replies]
                # It serves as many as its rate allows.
                assert 0 < refused.count(False) <= MIN_RATE_PER_S * MAX_BURST_S
                for client, reply in zip(clients, replies, strict=True):
                    if reply.status == 503:
                        assert reply.headers["connection"] == "close"
                        assert await asyncio.wait_for(client.reader.read(), 2) == b""
                    client.writer.close()
                while not harness.gateway.is_ready:
                    await asyncio.sleep(0.05)
                assert (await harness.get("/safe/x")).status == 200

        run(check())

    def test_an_overloaded_router_says_so_to_others_at_once(self, monkeypatch):
        async def check():
            target = ScriptedTarget("t0", send_complete_response)
            async with Harness([target], shed_lag_s=LAG_S) as harness:
                announced = []
                link = harness.process.broker.link
                monkeypatch.setattr(
                    link,
                    "announce_overload",
                    lambda *, is_overloaded: announced.append(is_overloaded),
                )
                await asyncio.sleep(0.05)
                delay_timer(harness)
                await asyncio.sleep(2 * TICK_S)
                assert announced[:1] == [True]

        run(check())

    def test_it_serves_again_after_the_overload(self):
        async def check():
            target = ScriptedTarget("t0", send_complete_response)
            async with Harness([target], shed_lag_s=LAG_S) as harness:
                await asyncio.sleep(0.05)
                delay_timer(harness)
                await asyncio.sleep(LAG_S)
                assert (await harness.get("/safe/x")).status == 200

        run(check())

    def test_a_blocked_event_loop_is_detected(self):
        async def check():
            target = ScriptedTarget("t0", send_complete_response)
            async with Harness([target], shed_lag_s=LAG_S) as harness:
                await asyncio.sleep(0.1)
                time.sleep(2 * LAG_S)
                await asyncio.sleep(0.05)
                assert harness.gateway.overload.must_shed()

        run(check())
