"""Routers request grants from each other over real UDP sockets."""

import asyncio
import contextlib
import time

import pytest
from harness import run

from citrondock_core.routing.engine_crash import EngineCrash
from citrondock_core.routing.engine_load_view import EngineLoadView
from citrondock_core.routing.fleet_usage import ReportedUsage
from citrondock_core.routing.grant import (
    EngineBacklog,
    GrantAnswer,
    GrantKey,
    GrantRequest,
    RefusalReason,
    Stage,
    Verdict,
)
from citrondock_core.routing.part_quarantine import PartState
from citrondock_core.routing.peer_table import (
    FIRST_SUSPICION_S,
    OVERLOAD_MEMORY_S,
    Peer,
    PeerTable,
)
from citrondock_core.routing.request_facts import PromptPart
from citrondock_core.routing.route import ModelEngineOptions
from citrondock_core.routing.store_watch_plan import StoreView
from citrondock_core.routing.target_departure import TargetDeparture
from citrondock_core.routing.target_entry import TargetEntry
from citrondock_core.routing.target_limits import TargetLimit
from citrondock_router.gateway.gateway_settings import Address
from citrondock_router.gateway.grant_broker import ANSWER_TIMEOUT_S, GrantBroker
from citrondock_router.gateway.grant_home import KnownEngine
from citrondock_router.gateway.usage_exchange import (
    MAX_COLLECTED_PER_S,
    MAX_MISSED_REPORTS,
    MIN_REPORT_PERIOD_S,
)
from citrondock_wire.gen.citrondock_grants import ttypes
from citrondock_wire.grant_codec import (
    BadDatagramError,
    GrantCodec,
    PeerDatagram,
    Presence,
)

HOST = "127.0.0.1"
MAX_USAGE_BYTES_PER_S = 1000
"""A third of the control traffic of a router."""
ENGINE = ModelEngineOptions(max_batch_size=8, memory_tokens=100_000)


def entry(target_id, zone):
    return TargetEntry(
        target_id=target_id,
        service="llm",
        host=HOST,
        port=1,
        availability_zone=zone,
        max_concurrency=8,
        is_leaving=False,
    )


class Router:
    """A broker with its socket, and the answers it received."""

    def __init__(self, name, zone):
        loop = asyncio.get_running_loop()
        self.table = PeerTable(name, zone)
        self.engine_loads = EngineLoadView()
        self.broker = GrantBroker(self.table, self.engine_loads, loop)
        self.answers = []

    async def start(self):
        self.address = self.broker.open(Address(HOST, 0))
        self.broker.set_engines({"e1": KnownEngine(ENGINE, "z2")})

    def request_grant(self, zone, *, prompt=2000, wait_s=1.0, on_answer=None):
        now_s = asyncio.get_running_loop().time()
        request = GrantRequest(
            key=self.broker.new_key(),
            target_id="e1",
            account="a",
            kind="k",
            prompt_tokens=prompt,
            output_tokens=10,
            shared_parts=(PromptPart("12", 100),),
            on_time_until_s=now_s + wait_s,
            wait_until_s=now_s + wait_s,
        )
        on_answer = on_answer or self.answers.append
        self.broker.request_grant(request, entry("e1", zone), on_answer)
        return request.key

    def verdicts(self):
        return [answer.verdict for answer in self.answers]


class ScriptedHome(asyncio.DatagramProtocol):
    """A peer that records what it receives and answers only when told to."""

    def __init__(self, name, zone):
        self.name, self.zone = name, zone
        self.codec = GrantCodec()
        self.received = []

    @classmethod
    async def start(cls, name, zone, router):
        """Return a home router of ``zone`` that ``router`` knows."""
        loop = asyncio.get_running_loop()
        home = cls(name, zone)
        home.router = router
        home.transport, _ = await loop.create_datagram_endpoint(
            lambda: home, local_addr=(HOST, 0)
        )
        home.send(
            presence=Presence(
                availability_zone=zone, is_leaving=False, wants_reply=False
            )
        )
        await asyncio.sleep(0.02)
        return home

    def datagram_received(self, data, addr):
        now_s = asyncio.get_running_loop().time()
        self.received.append(self.codec.decode(data, now_s=now_s, own_incarnation=1))

    def send(self, **contents):
        datagram = PeerDatagram(vm_name=self.name, incarnation=7, **contents)
        now_s = asyncio.get_running_loop().time()
        address = (self.router.address.host, self.router.address.port)
        self.transport.sendto(self.codec.encode(datagram, now_s=now_s), address)

    async def answer(self, key, verdict):
        """Answer a grant request, and wait until the answer was read."""
        self.send(
            answers=[GrantAnswer(key=key, verdict=verdict, first_answer_s=0.1)],
            backlogs=[EngineBacklog(target_id="e1", backlog_s=0.0, speed_percent=100)],
        )
        await asyncio.sleep(0.02)

    def request_count(self):
        return sum(len(datagram.grant_requests) for datagram in self.received)

    def stages(self, key):
        return [
            progress.stage
            for datagram in self.received
            for progress in datagram.progress
            if progress.key.number == key.number
        ]


def asyncio_time():
    return asyncio.get_running_loop().time()


async def router_pair():
    """Return a router of zone z1 and one of z2 that know each other."""
    routers = [Router("v1", "z1"), Router("v2", "z2")]
    for router in routers:
        await router.start()
    routers[0].broker.announce([routers[1].address])
    await asyncio.sleep(0.05)
    return routers


async def router_and_home():
    """Return a router of zone z1 and a scripted home router of z2 that it knows."""
    router = Router("v1", "z1")
    await router.start()
    return router, await ScriptedHome.start("v2", "z2", router)


async def tick_for(routers, seconds):
    """Tick all brokers every few milliseconds for a time."""
    end_s = asyncio.get_running_loop().time() + seconds
    while asyncio.get_running_loop().time() < end_s:
        for router in routers:
            router.broker.tick()
        await asyncio.sleep(0.005)


async def wait_for_answers(router, routers, count):
    """Tick until ``count`` answers have arrived, however slow the machine is."""
    while len(router.answers) < count:
        await tick_for(routers, 0.02)


class TestUsage:
    def test_home_routers_get_the_account_usage_of_others(self):
        async def check():
            first, second = await router_pair()
            second.broker.set_engines(
                {"e1": KnownEngine(ENGINE, "z2"), "e2": KnownEngine(ENGINE, "z1")}
            )
            for _ in range(3):
                first.request_grant("z2")
                await tick_for([first, second], 0.05)
            second.broker.usage.report()
            await asyncio.sleep(0.05)
            now_s = asyncio.get_running_loop().time()
            received = first.broker.home.received_tokens("a", now_s=now_s)
            assert 0.8 * 3 * 2020 < received <= 3 * 2020

        run(check())

    def test_a_router_without_engines_reports_nothing(self):
        async def check():
            first, _ = await router_pair()
            before_bytes = first.broker.link.sent_bytes
            assert first.broker.usage.report() == MIN_REPORT_PERIOD_S
            assert first.broker.link.sent_bytes == before_bytes

        run(check())

    def test_usage_is_reported_less_often_in_a_large_zone(self):
        async def check():
            first, _ = await router_pair()
            for number in range(400):
                first.table.put(
                    Peer(
                        vm_name=f"p{number}", host=HOST, port=9, availability_zone="z1"
                    )
                )
            first.broker.set_engines({"e1": KnownEngine(ENGINE, "z1")})
            first.broker.home.usage.add("a", 5000, now_s=asyncio_time())
            before_bytes = first.broker.link.sent_bytes
            period_s = first.broker.usage.report()
            report_bytes = first.broker.link.sent_bytes - before_bytes
            assert 401 / period_s <= MAX_COLLECTED_PER_S
            assert 0 < report_bytes / period_s <= MAX_USAGE_BYTES_PER_S

        run(check())

    def test_a_home_router_gets_the_sum_from_its_collector(self):
        async def check():
            router = Router("v1", "z1")
            await router.start()
            collector = await ScriptedHome.start("v2", "z1", router)
            router.table.is_overloaded = True  # so that the other one is chosen
            usage = router.broker.home.usage
            usage.add("a", 5000, now_s=asyncio_time())
            router.broker.usage.report()
            await asyncio.sleep(0.02)
            reported = collector.received[-1].usage
            assert [item.account for item in reported] == ["a"]
            total = [ReportedUsage("a", reported[0].tokens + 7000)]
            collector.send(fleet_usage=total)
            await asyncio.sleep(0.02)
            known = usage.received_tokens("a", now_s=asyncio_time())
            assert 0.8 * 12_000 < known <= 12_000

        run(check())

    def test_a_collector_that_answers_no_report_is_replaced(self):
        async def check():
            router = Router("v1", "z1")
            await router.start()
            collector = await ScriptedHome.start("v2", "z1", router)
            router.table.is_overloaded = True
            usage = router.broker.home.usage
            for _ in range(MAX_MISSED_REPORTS + 1):
                usage.add("a", 5000, now_s=asyncio_time())
                router.broker.usage.report()
            await asyncio.sleep(0.02)
            assert len(collector.received) == MAX_MISSED_REPORTS
            now_s = asyncio_time()
            assert router.table.home_router_of("usage/z1", "z1", now_s=now_s) == "v1"

        run(check())


class TestGrantRequests:
    def test_routers_know_each_other_after_one_announcement(self):
        async def check():
            first, second = await router_pair()
            assert [peer.vm_name for peer in first.table.peers()] == ["v2"]
            assert [peer.vm_name for peer in second.table.peers()] == ["v1"]

        run(check())

    def test_the_home_router_of_an_engine_grants_for_it(self):
        async def check():
            first, second = await router_pair()
            first.request_grant("z2")
            await tick_for([first, second], 0.1)
            assert first.verdicts() == [Verdict.GRANTED]
            assert first.engine_loads.backlog_s("e1", now_s=0) > 0

        run(check())

    def test_a_slow_router_replaces_a_silent_home_router_in_time(self):
        # The event loop is so late that each timeout has expired at the next tick.
        async def check():
            first, second = await router_pair()
            second.broker.close()
            first.request_grant("z2")
            for _ in range(5):
                time.sleep(2 * ANSWER_TIMEOUT_S)
                first.broker.tick()
                await asyncio.sleep(0)
            assert first.verdicts() == [Verdict.GRANTED]

        run(check())

    def test_a_router_without_any_answer_gives_up_after_a_few_datagrams(self):
        async def check():
            first, _ = await router_pair()
            sent = []
            first.broker.link.send = lambda vm_name, datagram: sent.append(vm_name)
            for number in range(40):
                first.table.put(
                    Peer(
                        vm_name=f"p{number}", host=HOST, port=9, availability_zone="z2"
                    )
                )
            first.request_grant("z2", wait_s=0.6)
            await tick_for([first], 1.2)
            assert first.verdicts() == [Verdict.REFUSED]
            assert 3 <= len(sent) <= 10

        run(check())

    def test_queued_prompts_are_granted_after_the_running_one_ended(self):
        async def check():
            first, second = await router_pair()
            keys = [first.request_grant("z2", prompt=20_000) for _ in range(3)]
            await wait_for_answers(first, [first, second], len(keys))
            assert first.verdicts().count(Verdict.GRANTED) == 1
            first.broker.report_progress(keys[0], Stage.STARTED)
            first.broker.report_progress(keys[0], Stage.ENDED)
            await tick_for([first, second], 0.8)
            assert first.verdicts().count(Verdict.GRANTED) >= 2

        run(check())

    def test_a_silent_home_router_is_replaced(self):
        async def check():
            first, second = await router_pair()
            second.broker.close()
            first.request_grant("z2")
            await tick_for([first], 0.2)
            assert first.verdicts() == [Verdict.GRANTED]

        run(check())

    def test_queued_requests_are_refused_when_their_home_router_is_gone(self):
        async def check():
            first, second = await router_pair()
            for _ in range(4):
                first.request_grant("z2", prompt=20_000, wait_s=0.1)
            await tick_for([first, second], 0.05)
            second.broker.close()
            await tick_for([first], 0.4)
            final = len(first.answers) - first.verdicts().count(Verdict.QUEUED)
            assert final == 4

        run(check())

    def test_a_leaving_router_is_removed_from_the_peers(self):
        async def check():
            first, second = await router_pair()
            second.broker.leave()
            await asyncio.sleep(0.05)
            assert first.table.peers() == []

        run(check())

    def test_a_leaving_router_still_gets_answers_from_home_routers(self):
        async def check():
            first, second = await router_pair()
            first.broker.leave()
            await asyncio.sleep(0.05)
            first.request_grant("z2")
            await wait_for_answers(first, [first, second], 1)
            assert first.verdicts() == [Verdict.GRANTED]
            assert second.broker.home.granted_count == 1
            assert first.broker.silent_home_count == 0

        run(check())

    def test_a_leaving_router_is_not_a_home_while_others_are_there(self):
        async def check():
            first, second = await router_pair()
            assert first.table.home_router_of("e1", "z1", now_s=0.0) == "v1"
            first.broker.leave()
            assert first.table.home_router_of("e1", "z1", now_s=0.0) == "v2"
            second.broker.leave()
            async with asyncio.timeout(5):
                while first.table.home_router_of("e1", "z1", now_s=0.0) != "v1":
                    await asyncio.sleep(0.01)

        run(check())

    def test_malformed_datagrams_change_nothing(self):
        async def check():
            first, _second = await router_pair()
            for data in (b"", b"\x00" * 40, b"\xff" * 200, b"GET / HTTP/1.1\r\n\r\n"):
                first.broker.link.datagram_received(data, (HOST, 9))
            assert [peer.vm_name for peer in first.table.peers()] == ["v2"]

        run(check())


class TestOverloadedRouter:
    def test_it_is_no_home_of_engines_until_it_says_otherwise(self):
        async def check():
            first, second = await router_pair()
            second.broker.update_overload(is_overloaded=True)
            await asyncio.sleep(0.02)
            first.request_grant("z2")
            await asyncio.sleep(0.02)
            assert first.verdicts() == [Verdict.GRANTED]
            assert first.broker.home.granted_count == 1
            assert second.broker.home.granted_count == 0
            second.broker.update_overload(is_overloaded=False)
            await asyncio.sleep(0.02)
            first.request_grant("z2")
            await asyncio.sleep(0.02)
            assert second.broker.home.granted_count == 1

        run(check())

    def test_it_asks_others_for_the_engines_that_it_was_the_home_of(self):
        async def check():
            first, second = await router_pair()
            second.broker.update_overload(is_overloaded=True)
            second.request_grant("z2")
            await asyncio.sleep(0.02)
            assert second.verdicts() == [Verdict.GRANTED]
            assert first.broker.home.granted_count == 1

        run(check())

    def test_routers_that_are_all_overloaded_stay_homes(self):
        async def check():
            first, second = await router_pair()
            for router in (first, second):
                router.broker.update_overload(is_overloaded=True)
            await asyncio.sleep(0.02)
            for router in (first, second):
                router.request_grant("z2")
            await asyncio.sleep(0.05)
            assert [first.verdicts(), second.verdicts()] == [[Verdict.GRANTED]] * 2

        run(check())

    def test_one_that_is_lost_before_it_says_otherwise_is_forgotten(self):
        table = PeerTable("v1", "z1")
        table.put(Peer(vm_name="v2", host=HOST, port=1, availability_zone="z2"))
        assert table.mark_overloaded("v2", is_overloaded=True, now_s=10.0)
        assert not table.mark_overloaded("v2", is_overloaded=True, now_s=11.0)
        until_s = 11.0 + OVERLOAD_MEMORY_S
        assert table.home_router_of("e1", "z2", now_s=until_s - 0.1) == "v1"
        assert table.home_router_of("e1", "z2", now_s=until_s) == "v2"


class TestLateRouter:
    """A router that is short of processor time reads answers late."""

    def test_a_late_router_does_not_take_its_peers_for_silent(self):
        async def check():
            first, home = await router_and_home()
            keys = [first.request_grant("z2") for _ in range(100)]
            await asyncio.sleep(0.005)
            for key in keys:
                answer = GrantAnswer(
                    key=key, verdict=Verdict.GRANTED, first_answer_s=0.1
                )
                home.send(answers=[answer])
            for _ in range(3):
                time.sleep(2 * ANSWER_TIMEOUT_S)
                first.broker.tick()
            assert first.broker.silent_home_count == 0
            assert first.verdicts() == [Verdict.GRANTED] * len(keys)
            await asyncio.sleep(0.02)
            assert home.request_count() == len(keys)

        run(check())

    def test_a_home_router_that_answers_other_requests_is_not_taken_for_silent(self):
        async def check():
            first, home = await router_and_home()
            lost = first.request_grant("z2")
            for _ in range(6):
                key = first.request_grant("z2")
                await asyncio.sleep(ANSWER_TIMEOUT_S / 2)
                await home.answer(key, Verdict.GRANTED)
                first.broker.tick()
            assert first.broker.silent_home_count == 0
            await home.answer(lost, Verdict.GRANTED)
            assert first.verdicts() == [Verdict.GRANTED] * 7

        run(check())

    def test_a_request_withdrawn_by_the_end_of_another_is_not_handled_again(self):
        # Both become overdue in one tick, as a prompt's queue place and its trial do.
        async def check():
            first, _home = await router_and_home()
            keys = []

            def withdraw_others(answer):
                first.answers.append(answer)
                for key in keys:
                    first.broker.report_progress(key, Stage.WITHDRAWN)

            for _ in range(2):
                keys.append(
                    first.request_grant("z2", wait_s=0.0, on_answer=withdraw_others)
                )
            for _ in range(4):
                await asyncio.sleep(2 * ANSWER_TIMEOUT_S)
                first.broker.tick()
            assert first.verdicts() == [Verdict.REFUSED]

        run(check())

    def test_a_home_router_that_stops_answering_is_replaced(self):
        async def check():
            first, home = await router_and_home()
            waiting = first.request_grant("z2", wait_s=10.0)
            answered = first.request_grant("z2", wait_s=10.0)
            await home.answer(answered, Verdict.GRANTED)
            await wait_for_answers(first, [first], 2)
            assert first.broker.silent_home_count == 1
            assert [answer.key for answer in first.answers] == [answered, waiting]

        run(check())


class TestUnusedGrants:
    """A grant that its router does not use takes up no place at the engine."""

    def test_a_grant_that_comes_after_the_request_was_given_up_is_returned(self):
        async def check():
            first, home = await router_and_home()
            key = first.request_grant("z2", wait_s=0.1)
            await asyncio.sleep(0.01)
            await home.answer(key, Verdict.QUEUED)
            await wait_for_answers(first, [first], 2)
            assert first.verdicts() == [Verdict.QUEUED, Verdict.REFUSED]
            home.received.clear()
            await home.answer(key, Verdict.GRANTED)
            assert home.stages(key) == [Stage.WITHDRAWN]

        run(check())

    def test_a_router_returns_grants_to_itself(self):
        async def check():
            router = Router("v1", "z1")
            await router.start()
            key = router.request_grant("z1")
            # Given up before the answer, as by a client that leaves.
            await asyncio.sleep(0)
            router.broker._pending.pop(key, None)
            await tick_for([router], 0.05)
            assert router.broker.home.granted_count == 0

        run(check())

    def test_a_request_that_is_given_up_leaves_the_queue_of_its_home(self):
        async def check():
            first, home = await router_and_home()
            key = first.request_grant("z2", wait_s=0.1)
            await asyncio.sleep(0.01)
            await home.answer(key, Verdict.QUEUED)
            await wait_for_answers(first, [first], 2)
            assert home.stages(key) == [Stage.WITHDRAWN]

        run(check())

    @pytest.mark.parametrize("verdict", [Verdict.GRANTED, Verdict.QUEUED])
    def test_a_request_that_moves_to_another_home_is_withdrawn_from_the_former(
        self, verdict
    ):
        async def check():
            first = Router("v1", "z1")
            await first.start()
            homes = [
                await ScriptedHome.start(f"v{number}", "z2", first)
                for number in range(2, 5)
            ]
            key = first.request_grant("z2", wait_s=10.0)
            pending = first.broker._pending[key]
            former_name = pending.home
            while pending.home == former_name:
                await tick_for([first], 0.005)
            current_name = pending.home
            [current] = [home for home in homes if home.name == current_name]
            [former] = [
                home for home in homes if home.request_count() and home is not current
            ]
            await former.answer(key, verdict)
            assert former.stages(key) == [Stage.WITHDRAWN]
            assert first.verdicts() == []
            await current.answer(key, Verdict.GRANTED)
            assert first.verdicts() == [Verdict.GRANTED]
            former.received.clear()
            await former.answer(key, Verdict.GRANTED)
            assert former.stages(key) == [Stage.WITHDRAWN]
            first.broker.report_progress(key, Stage.ENDED)
            await asyncio.sleep(0.02)
            assert current.stages(key) == [Stage.ENDED]

        run(check())

    def test_a_grant_whose_return_was_lost_is_returned_when_it_is_confirmed(self):
        async def check():
            first, second = await router_pair()
            key = first.request_grant("z2")
            await wait_for_answers(first, [first, second], 1)
            # The report never reaches the home router.
            del first.broker._granted[key]
            assert second.broker.home.granted_count == 1
            second.broker.home._admissions["e1"]._grants[key].confirm_at_s = 0.0
            second.broker.home.expire()
            await asyncio.sleep(0.05)
            assert second.broker.home.granted_count == 0

        run(check())

    def test_a_repeated_answer_does_not_return_a_grant_in_use(self):
        async def check():
            first, home = await router_and_home()
            key = first.request_grant("z2")
            for _ in range(2):
                await home.answer(key, Verdict.GRANTED)
            first.broker.report_progress(key, Stage.STARTED)
            await home.answer(key, Verdict.GRANTED)
            assert home.stages(key) == [Stage.STARTED]
            assert first.verdicts() == [Verdict.GRANTED]

        run(check())


class TestCodec:
    def test_times_are_sent_relative_to_the_clock_of_each_router(self):
        async def check():
            first, _second = await router_pair()
            key = first.request_grant("z1")
            request = first.broker._pending[key].request
            sent = PeerDatagram(
                vm_name="v1", incarnation=key.incarnation, grant_requests=[request]
            )
            codec = GrantCodec()
            now_s = request.on_time_until_s - 0.5
            data = codec.encode(sent, now_s=now_s)
            [got] = codec.decode(data, now_s=100.0, own_incarnation=1).grant_requests
            assert abs(got.on_time_until_s - 100.5) < 0.01
            assert (got.key, got.shared_parts) == (request.key, request.shared_parts)
            assert len(data) < 120

        run(check())

    def test_crashes_states_of_parts_and_limits_are_read_as_sent(self):
        sent = PeerDatagram(
            vm_name="v1",
            incarnation=1,
            crashes=[
                EngineCrash(target_id="e1", address="h:1", suspected_parts=("-7", "8"))
            ],
            part_states=[PartState(part_id="-7", generation=3, evidence_age_s=1.5)],
            limits=[
                TargetLimit(target_id="e1", requests_per_s=10.25, age_s=0.5),
                TargetLimit(target_id="e2", requests_per_s=None, age_s=0.0),
            ],
        )
        codec = GrantCodec()
        data = codec.encode(sent, now_s=1.0)
        assert codec.decode(data, now_s=9.0, own_incarnation=2) == sent

    def test_reasons_of_refusals_are_read_as_sent(self):
        key = GrantKey(incarnation=2, number=7)
        refusal = GrantAnswer(
            key=key,
            verdict=Verdict.REFUSED,
            first_answer_s=0.5,
            refusal_reason=RefusalReason.ACCOUNT_QUEUE_FULL,
            account_tokens=12_345,
        )
        grant = GrantAnswer(key=key, verdict=Verdict.GRANTED, first_answer_s=0.1)
        sent = PeerDatagram(vm_name="v1", incarnation=1, answers=[refusal, grant])
        codec = GrantCodec()
        data = codec.encode(sent, now_s=1.0)
        assert codec.decode(data, now_s=9.0, own_incarnation=2) == sent

    def test_departures_and_views_of_the_store_are_read_as_sent(self):
        sent = PeerDatagram(
            vm_name="v1",
            incarnation=1,
            departures=[
                TargetDeparture(
                    target_id="e1",
                    started_at_ms=1_764_900_000_000,
                    registry_revision=7,
                    age_s=0.5,
                    registry_era=2,
                ),
                TargetDeparture(
                    target_id="e2", started_at_ms=0, registry_revision=None, age_s=0.0
                ),
            ],
            store_views=[
                StoreView(kind="servers", changed_revision=7, is_lost=False, era=2),
                StoreView(kind="config", changed_revision=2, is_lost=True),
            ],
        )
        codec = GrantCodec()
        data = codec.encode(sent, now_s=1.0)
        assert codec.decode(data, now_s=9.0, own_incarnation=2) == sent
        sent.departures = []
        assert len(codec.encode(sent, now_s=1.0)) < 60

    @pytest.mark.parametrize("field", ["vm_name", "zone"])
    def test_a_datagram_without_a_name_or_zone_is_rejected(self, field):
        names = {"vm_name": "v1", "zone": "z1", field: None}
        sent = PeerDatagram(
            vm_name=names["vm_name"],
            incarnation=1,
            presence=Presence(
                availability_zone=names["zone"], is_leaving=False, wants_reply=True
            ),
        )
        codec = GrantCodec()
        with pytest.raises(BadDatagramError):
            codec.decode(codec.encode(sent, now_s=1.0), now_s=9.0, own_incarnation=2)


class TestDatagramsOfProcessesThatKnowNoEra:
    FIRST_NEW_FIELDS = {"departures": 5, "store_views": 4}

    def sent(self, era):
        return PeerDatagram(
            vm_name="v1",
            incarnation=1,
            departures=[
                TargetDeparture(
                    target_id="e1",
                    started_at_ms=1000,
                    registry_revision=7,
                    age_s=0.5,
                    registry_era=era,
                )
            ],
            store_views=[
                StoreView(kind="servers", changed_revision=7, is_lost=True, era=era)
            ],
        )

    @contextlib.contextmanager
    def without_era(self):
        """Take the new fields out of what is written and read."""
        items = {
            field[2]: field[3][1]
            for field in ttypes.Datagram.thrift_spec
            if field and field[2] in self.FIRST_NEW_FIELDS
        }
        specs = {name: item[1] for name, item in items.items()}
        for name, item in items.items():
            item[1] = specs[name][: self.FIRST_NEW_FIELDS[name]]
        try:
            yield
        finally:
            for name, item in items.items():
                item[1] = specs[name]

    def test_their_statements_are_read_without_an_era(self):
        codec = GrantCodec()
        with self.without_era():
            data = codec.encode(self.sent(era=2), now_s=0.0)
        assert data != codec.encode(self.sent(era=2), now_s=0.0)
        decoded = codec.decode(data, now_s=0.0, own_incarnation=2)
        assert decoded == self.sent(era=None)

    def test_they_read_statements_that_have_one(self):
        codec = GrantCodec()
        data = codec.encode(self.sent(era=2), now_s=0.0)
        with self.without_era():
            decoded = codec.decode(data, now_s=0.0, own_incarnation=2)
        assert decoded == self.sent(era=None)


class TestHomeRouters:
    """The choice is remembered, and made anew when what it rests on changes."""

    def table(self):
        table = PeerTable("v1", "z1")
        for name in ("v2", "v3"):
            table.put(Peer(vm_name=name, host=HOST, port=1, availability_zone="z2"))
        return table

    def test_it_changes_with_suspicions_and_back_when_they_end(self):
        table = self.table()
        usual = table.home_router_of("e1", "z2", now_s=10.0)
        table.mark_silent(usual, now_s=10.0)
        assert table.home_router_of("e1", "z2", now_s=10.1) != usual
        end_s = 10.0 + FIRST_SUSPICION_S
        assert table.home_router_of("e1", "z2", now_s=end_s) == usual
        table.mark_silent(usual, now_s=end_s)
        assert table.home_router_of("e1", "z2", now_s=end_s) != usual
        table.mark_alive(usual)
        assert table.home_router_of("e1", "z2", now_s=end_s) == usual

    def test_it_changes_with_routers_that_come_and_leave(self):
        table = self.table()
        usual = table.home_router_of("e1", "z2", now_s=10.0)
        table.mark_leaving(usual)
        assert table.home_router_of("e1", "z2", now_s=10.0) != usual
        table.put(Peer(vm_name=usual, host=HOST, port=2, availability_zone="z2"))
        assert table.home_router_of("e1", "z2", now_s=10.0) == usual

    def test_it_changes_with_what_this_router_says_of_itself(self):
        table = self.table()
        assert table.home_router_of("e1", "z1", now_s=10.0) == "v1"
        table.is_overloaded = True
        assert table.home_router_of("e1", "z1", now_s=10.0) != "v1"
        table.is_overloaded = False
        assert table.home_router_of("e1", "z1", now_s=10.0) == "v1"
        table.is_leaving = True
        assert table.home_router_of("e1", "z1", now_s=10.0) != "v1"
