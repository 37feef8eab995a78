"""Routers learn limits from each other, and a stand-in for a home grants less."""

import asyncio

from harness import HOST, run

from citrondock_core.routing.engine_load_view import EngineLoadView
from citrondock_core.routing.grant import GrantRequest, Verdict
from citrondock_core.routing.peer_table import PeerTable
from citrondock_core.routing.route import ModelEngineOptions
from citrondock_core.routing.target_entry import TargetEntry
from citrondock_router.gateway.fact_gossip import FactGossip
from citrondock_router.gateway.gateway_settings import Address
from citrondock_router.gateway.grant_broker import GrantBroker
from citrondock_router.gateway.grant_home import ACTING_HOME_SHARE, KnownEngine

LIMIT_PER_S = 40.0
ENGINE = KnownEngine(ModelEngineOptions(max_batch_size=99, memory_tokens=9**9), "z1")
ENTRY = TargetEntry(
    target_id="e1",
    service="llm",
    host=HOST,
    port=1,
    availability_zone="z1",
    max_concurrency=99,
    is_leaving=False,
)


class Router:
    """A broker with its socket."""

    def __init__(self, name):
        loop = asyncio.get_running_loop()
        self.peers = PeerTable(name, "z1")
        self.broker = GrantBroker(self.peers, EngineLoadView(), loop)
        self.limits = self.broker.limits
        self.gossip = FactGossip(self.broker.link, [self.limits], loop)
        self.broker.set_engines({"e1": ENGINE})
        self.address = self.broker.open(Address(HOST, 0))

    def name_limit(self):
        now_s = asyncio.get_running_loop().time()
        self.limits.response_received(ENTRY, LIMIT_PER_S, sent_at_s=now_s)

    async def granted_in(self, seconds):
        """Return how many permits this router gets in a time."""
        loop = asyncio.get_running_loop()
        answers = []
        end_s = loop.time() + seconds
        while loop.time() < end_s:
            now_s = loop.time()
            request = GrantRequest(
                key=self.broker.new_key(),
                target_id="e1",
                account="a",
                kind="k",
                prompt_tokens=0,
                output_tokens=0,
                shared_parts=(),
                on_time_until_s=now_s + 1,
                wait_until_s=now_s + 1,
            )
            self.broker.request_grant(request, ENTRY, answers.append)
            await asyncio.sleep(0.005)
        await asyncio.sleep(0.05)
        return sum(answer.verdict is Verdict.GRANTED for answer in answers)


async def router_pair():
    """Return the usual home of the engine, and another router."""
    first, second = Router("v1"), Router("v2")
    first.broker.announce([second.address])
    await asyncio.sleep(0.05)
    if first.peers.is_usual_home_of("e1", "z1"):
        return first, second
    return second, first


class TestKnowledge:
    def test_all_routers_learn_a_limit_and_its_end(self):
        async def check():
            home, other = await router_pair()
            other.name_limit()
            await asyncio.sleep(0.05)
            assert home.limits.requests_per_s("e1") == LIMIT_PER_S
            now_s = asyncio.get_running_loop().time()
            home.limits.response_received(ENTRY, None, sent_at_s=now_s)
            await asyncio.sleep(0.05)
            assert other.limits.requests_per_s("e1") is None

        run(check())

    def test_a_limit_that_changes_all_the_time_is_told_to_the_home_alone(self):
        async def check():
            home, other = await router_pair()
            third = Router("v3")
            third.broker.announce([home.address, other.address])
            await asyncio.sleep(0.05)
            routers = [home, other, third]
            homes = [
                item for item in routers if item.peers.is_usual_home_of("e1", "z1")
            ]
            readers = [item for item in routers if item not in homes]
            now_s = asyncio.get_running_loop().time()
            for number in range(40):
                readers[0].limits.response_received(
                    ENTRY, 10.0 + 10 * (number % 2), sent_at_s=now_s
                )
                await asyncio.sleep(0.005)
            await asyncio.sleep(0.05)
            assert homes[0].limits.requests_per_s("e1") == 20.0
            assert readers[1].limits.requests_per_s("e1") == 10.0

        run(check())

    def test_a_restarted_router_is_told(self):
        async def check():
            home, _ = await router_pair()
            home.name_limit()
            restarted = Router("v9")
            restarted.broker.announce([home.address])
            await asyncio.sleep(0.05)
            assert restarted.limits.requests_per_s("e1") == LIMIT_PER_S

        run(check())

    def test_a_home_that_does_not_know_the_limit_learns_it_with_a_request(self):
        async def check():
            home, other = await router_pair()
            other.name_limit()
            await asyncio.sleep(0.05)
            home.limits.table.forget("e1")
            assert await other.granted_in(1.0) <= 1.5 * LIMIT_PER_S
            assert home.limits.requests_per_s("e1") == LIMIT_PER_S

        run(check())


class TestTwoHomes:
    def test_a_router_that_stands_in_for_the_home_grants_part_of_the_limit(self):
        async def check():
            home, other = await router_pair()
            home.name_limit()
            await asyncio.sleep(0.05)
            # Each of them takes itself for the home.
            now_s = asyncio.get_running_loop().time()
            for peer in other.peers.peers():
                peer.suspected_until_s = now_s + 60
            other.peers.mark_alive = lambda _name: None
            usual, acting = await asyncio.gather(
                home.granted_in(2.0), other.granted_in(2.0)
            )
            assert 0.6 * 2 * LIMIT_PER_S < usual
            assert acting <= 2 * ACTING_HOME_SHARE * LIMIT_PER_S + 10
            assert usual + acting <= 1.5 * 2 * LIMIT_PER_S + 20

        run(check())
