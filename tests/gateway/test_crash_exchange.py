"""Routers find out together which engines crashed, and which prompt parts did it."""

import asyncio

import attrs
from harness import HOST, ScriptedTarget, run, send_complete_response

from citrondock_core.routing.engine_load_view import EngineLoadView
from citrondock_core.routing.part_quarantine import FIRST_PROBE_S, MIN_CRASHES
from citrondock_core.routing.peer_table import PeerTable
from citrondock_core.routing.target_entry import TargetEntry
from citrondock_router.gateway.crash_exchange import CrashExchange, CrashListener
from citrondock_router.gateway.fact_gossip import GOSSIP_PERIOD_S, FactGossip
from citrondock_router.gateway.gateway_settings import Address
from citrondock_router.gateway.grant_broker import GrantBroker
from citrondock_router.gateway.target_connection_pool import TargetConnectionPool

SETTLE_S = 0.1
"""Longer than the delay of a judgement."""


@attrs.define(eq=False)
class Router(CrashListener):
    """A crash exchange with its socket, and what it found."""

    name: str
    crashed: list[str] = attrs.field(factory=list)
    withheld: set[str] = attrs.field(factory=set)

    def start(self):
        loop = asyncio.get_running_loop()
        broker = GrantBroker(PeerTable(self.name, "z1"), EngineLoadView(), loop)
        pool = TargetConnectionPool(loop)
        self.link = broker.link
        self.exchange = CrashExchange(self.link, pool, self, loop)
        self.gossip = FactGossip(self.link, [self.exchange], loop)
        self.address = self.link.open(Address(HOST, 0))

    def engine_crashed(self, target_id):
        self.crashed.append(target_id)

    def parts_withheld(self, part_ids):
        self.withheld |= set(part_ids)

    def may_send(self, *part_ids):
        return self.exchange.may_send(part_ids, request_id="r1")


async def routers(count):
    """Return routers that know each other."""
    started = [Router(f"v{number}") for number in range(count)]
    for router in started:
        router.start()
    for router in started:
        router.link.announce(
            [other.address for other in started if other is not router]
        )
    await asyncio.sleep(0.05)
    return started


def crashed_engine(number):
    """Return the entry of an engine that refuses connections."""
    return TargetEntry(
        target_id=f"e{number}",
        service="llm",
        host=HOST,
        port=number + 1,
        availability_zone="z1",
        max_concurrency=8,
        is_leaving=False,
    )


async def settle(all_routers):
    await asyncio.sleep(SETTLE_S)
    for router in all_routers:
        router.exchange.tick()
    await asyncio.sleep(0.02)


async def crash(all_routers, number, reporter, *part_ids):
    reporter.exchange.connection_lost(crashed_engine(number), part_ids)
    await settle(all_routers)


class TestCrashes:
    def test_an_engine_that_still_accepts_connections_has_not_crashed(self):
        async def check():
            (router,) = await routers(1)
            target = ScriptedTarget("e1", send_complete_response, "llm")
            await target.start()
            for _ in range(2 * MIN_CRASHES):
                router.exchange.connection_lost(target.entry, ["7"])
                await settle([router])
            assert router.crashed == []
            assert router.may_send("7")
            target.stop()

        run(check())

    def test_one_router_tells_the_others_of_a_crash(self):
        async def check():
            first, second = await routers(2)
            first.exchange.connection_refused(crashed_engine(1))
            await settle([first, second])
            assert first.crashed == second.crashed == ["e1"]

        run(check())

    def test_crashes_seen_by_different_routers_count_together(self):
        async def check():
            fleet = await routers(3)
            for number, router in enumerate(fleet):
                await crash(fleet, number, router, "7", "8")
            assert [router.may_send("8") for router in fleet] == [False] * 3
            assert all(router.withheld == {"8"} for router in fleet)

        run(check())


class TestWithheldParts:
    async def fleet_that_withholds(self, count):
        fleet = await routers(count)
        for number in range(MIN_CRASHES):
            await crash(fleet, number, fleet[0], "8")
        return fleet

    def test_a_restarted_router_is_told(self):
        async def check():
            fleet = await self.fleet_that_withholds(2)
            restarted = Router("v9")
            restarted.start()
            restarted.link.announce([fleet[1].address])
            await asyncio.sleep(0.05)
            assert not restarted.may_send("8")

        run(check())

    def test_a_router_that_missed_the_datagrams_is_told_again(self):
        async def check():
            fleet = await self.fleet_that_withholds(1)
            late = Router("v9")
            late.start()
            fleet[0].link.announce([late.address])
            await asyncio.sleep(0.05)
            loop = asyncio.get_running_loop()
            ends_s = loop.time() + 2 * GOSSIP_PERIOD_S
            while late.may_send("8") and loop.time() < ends_s:
                fleet[0].gossip.tick()
                await asyncio.sleep(0.05)
            assert not late.may_send("8")

        run(check())

    def test_a_refused_prompt_is_told_when_a_probe_is_due(self):
        async def check():
            (router,) = await self.fleet_that_withholds(1)
            wait_s = router.exchange.withheld_for_s(["8"])
            assert 0.9 * FIRST_PROBE_S < wait_s
            assert router.exchange.withheld_for_s(["9"]) is None

        run(check())

    def test_only_one_router_makes_a_probe(self):
        async def check():
            fleet = await self.fleet_that_withholds(3)
            for router in fleet:
                for state in router.exchange.quarantine._states.values():
                    state.probe_at_s = 0.0
            assert fleet[0].may_send("8")
            await asyncio.sleep(0.02)
            assert [router.may_send("8") for router in fleet] == [False] * 3

        run(check())

    def test_a_response_that_begins_releases_the_part_at_all_routers(self):
        async def check():
            fleet = await self.fleet_that_withholds(3)
            fleet[1].exchange.response_begun(["8"])
            await asyncio.sleep(0.02)
            assert [router.may_send("8") for router in fleet] == [True] * 3

        run(check())
