"""A router that is short of processor time sends clients elsewhere."""

import asyncio
import time

from harness import Harness, ScriptedTarget, run, send_complete_response

from citrondock_router.gateway.overload_guard import (
    SHED_LAG_S,
    OverloadGuard,
)

PERIOD_S = 0.01
LAG_S = 0.5
"""Of the gateways here: a busy machine holds tests up for less."""


class Loop:
    """A guard, and a clock that tests move."""

    def __init__(self):
        self.now_s = 100.0
        self.guard = OverloadGuard(lambda: self.now_s, period_s=PERIOD_S)
        self.guard.timer_fired()

    def turn(self, duration_s):
        self.now_s += duration_s
        return self.guard.timer_fired()


class TestGuard:
    def test_a_loop_that_keeps_up_sheds_nothing(self):
        loop = Loop()
        for _ in range(50):
            loop.turn(SHED_LAG_S)
            assert not loop.guard.must_shed()

    def test_the_lag_is_what_is_beyond_the_period(self):
        assert abs(Loop().turn(0.05) - (0.05 - PERIOD_S)) < 1e-9

    def test_what_is_read_late_in_a_long_turn_is_shed(self):
        loop = Loop()
        loop.now_s += SHED_LAG_S + 2 * PERIOD_S
        assert loop.guard.must_shed()

    def test_what_came_during_a_long_turn_is_shed(self):
        loop = Loop()
        loop.turn(SHED_LAG_S + 2 * PERIOD_S)
        assert loop.guard.must_shed()
        for _ in range(20):
            loop.turn(PERIOD_S)
        assert not loop.guard.must_shed()


def held_up(harness):
    """Let the router's timer run late."""
    time.sleep(LAG_S + 0.1)
    harness.gateway.overload.timer_fired()


class TestGateway:
    def test_a_late_router_refuses_at_once(self):
        async def check():
            target = ScriptedTarget("t0", send_complete_response)
            async with Harness([target], shed_lag_s=LAG_S) as harness:
                await asyncio.sleep(0.05)
                held_up(harness)
                reply = await harness.get("/unsafe/x")
                assert reply.status == 503
                assert float(reply.headers["retry-after"]) < 0.1
                assert target.received == []
                assert harness.gateway.is_ready

        run(check())

    def test_it_serves_again_when_it_keeps_up(self):
        async def check():
            target = ScriptedTarget("t0", send_complete_response)
            async with Harness([target], shed_lag_s=LAG_S) as harness:
                await asyncio.sleep(0.05)
                held_up(harness)
                await asyncio.sleep(LAG_S)
                assert (await harness.get("/safe/x")).status == 200

        run(check())

    def test_a_loop_that_was_held_up_is_noticed(self):
        async def check():
            target = ScriptedTarget("t0", send_complete_response)
            async with Harness([target], shed_lag_s=LAG_S) as harness:
                await asyncio.sleep(0.1)
                time.sleep(2 * LAG_S)
                await asyncio.sleep(0.05)
                assert harness.gateway.overload.must_shed()

        run(check())
