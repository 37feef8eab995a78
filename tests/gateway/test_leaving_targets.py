"""Targets that say that they are leaving get no requests (DRAIN)."""

import asyncio

import attrs
import pytest
from harness import (
    Harness,
    ScriptedTarget,
    complete_response,
    run,
    send_complete_response,
    send_many,
)

from citrondock_core.routing.store_position import StorePosition
from citrondock_core.routing.target_departure import TargetDeparture


class LeavingTarget(ScriptedTarget):
    """A target that answers with ``Server-Leaving`` once it is told to leave."""

    def __init__(self, target_id, status="200 OK", service="app"):
        super().__init__(target_id, self.answer, service)
        self.is_leaving = False
        self.status = status

    async def answer(self, got, writer):
        extra = "Server-Leaving: 1\r\n" if self.is_leaving else ""
        if self.status != "200 OK":
            extra += "Not-Executed: 1\r\n"
        writer.write(complete_response(got, extra=extra, status=self.status))


class TestTargetThatLeaves:
    @pytest.mark.parametrize("status", ["200 OK", "503 Service Unavailable"])
    def test_it_gets_no_requests_after_it_said_so(self, status):
        async def check():
            leaving = LeavingTarget("t1", status)
            sound = ScriptedTarget("t2", send_complete_response)
            async with Harness([leaving, sound]) as harness:
                leaving.is_leaving = True
                await send_many(harness, 10)
                received = len(leaving.received)
                assert received == 1
                replies = await send_many(harness, 20, prefix="s")
                assert {reply.status for reply in replies} == {200}
                assert len(leaving.received) == received

        run(check())

    def test_it_is_used_again_as_a_new_incarnation(self):
        async def check():
            leaving = LeavingTarget("t1")
            async with Harness([leaving]) as harness:
                leaving.is_leaving = True
                assert (await harness.get("/safe/x", "r1")).status == 200
                assert (await harness.get("/safe/x", "r2")).status == 503
                leaving.is_leaving = False
                born = attrs.evolve(leaving.entry, started_at_ms=7)
                directory = harness.process.directory
                harness.gateway.targets_changed(
                    directory.replace([born], position=StorePosition(0, 2), now_s=0)
                )
                assert (await harness.get("/safe/x", "r3")).status == 200

        run(check())

    def test_other_routers_learn_it(self):
        async def check():
            leaving = LeavingTarget("t1")
            first = Harness([leaving])
            second = Harness([], vm_name="v2")
            async with first, second:
                second.gateway.targets_changed(
                    second.process.directory.replace(
                        [leaving.entry], position=StorePosition(0, 1), now_s=0
                    )
                )
                link = first.process.broker.link
                second.process.broker.announce([link.socket.address])
                await asyncio.sleep(0.1)
                leaving.is_leaving = True
                assert (await first.get("/safe/x", "r1")).status == 200
                await asyncio.sleep(0.1)
                assert (await second.get("/safe/x", "r2")).status == 503
                assert len(leaving.received) == 1

        run(check())

    def test_a_router_without_the_store_learns_what_the_store_shows_others(self):
        async def check():
            target = ScriptedTarget("t1", send_complete_response)
            first = Harness([target])
            second = Harness([], vm_name="v2")
            async with first, second:
                second.gateway.targets_changed(
                    second.process.directory.replace(
                        [target.entry], position=StorePosition(0, 1), now_s=0
                    )
                )
                link = first.process.broker.link
                second.process.broker.announce([link.socket.address])
                await asyncio.sleep(0.1)
                first.gateway.targets_changed(
                    first.process.directory.apply(
                        put=[], deleted=["t1"], position=StorePosition(0, 2), now_s=0
                    )
                )
                # The home router tells all at once, gossip within some seconds.
                await asyncio.sleep(2.0)
                assert (await second.get("/safe/x", "r2")).status == 503
                assert target.received == []

        run(check())

    def test_a_router_that_heard_of_it_before_its_entry_learns_it_as_well(self):
        async def check():
            leaving = LeavingTarget("t1")
            async with Harness([]) as harness:
                departures = harness.gateway.scheduler.departures
                # Another router's word comes before the entry, and again after it.
                datagram = harness.process.broker.link.datagram()
                datagram.departures = [
                    TargetDeparture(
                        target_id="t1",
                        started_at_ms=0,
                        registry_revision=None,
                        age_s=0.0,
                    )
                ]
                departures.handle_datagram(datagram)
                await leaving.start()
                harness.gateway.targets_changed(
                    harness.process.directory.replace(
                        [leaving.entry], position=StorePosition(0, 2), now_s=0
                    )
                )
                departures.handle_datagram(datagram)
                assert (await harness.get("/safe/x", "r1")).status == 503
                leaving.stop()

        run(check())
