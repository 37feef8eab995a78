"""Routers that outnumber the slots of a plain service share them.

Each of them knows only its own requests, so that targets rejected requests while others
had free slots.
"""

import asyncio

import attrs
import pytest
from harness import (
    Harness,
    ScriptedTarget,
    complete_response,
    patient_configuration,
    run,
)

from citrondock_core.routing.store_position import StorePosition

WORK_S = 0.02
REQUESTS = 16


class SlotTarget(ScriptedTarget):
    """A target with one slot that rejects requests beyond it."""

    def __init__(self, target_id):
        super().__init__(target_id, self.work)
        self.running_count = self.rejected_count = 0

    @property
    def entry(self):
        return attrs.evolve(super().entry, max_concurrency=1)

    async def work(self, got, writer):
        if self.running_count:
            self.rejected_count += 1
            extra = "Not-Executed: 1\r\n"
            writer.write(
                complete_response(got, status="503 Full", extra=extra, signed=False)
            )
            return
        self.running_count += 1
        await asyncio.sleep(WORK_S)
        self.running_count -= 1
        writer.write(complete_response(got))


async def start_gateways(targets, count):
    """Return gateways that know each other and the same targets."""
    configured = patient_configuration()
    gateways = [
        Harness(
            [] if number else targets, vm_name=f"v{number + 1}", configured=configured
        )
        for number in range(count)
    ]
    entries = None
    for gateway in gateways:
        await gateway.__aenter__()
        entries = entries or [target.entry for target in targets]
        gateway.gateway.targets_changed(
            gateway.process.directory.replace(
                entries, position=StorePosition(0, 2), now_s=0
            )
        )
        first = gateways[0].process.broker.link.socket.address
        gateway.process.broker.announce([first])
    addresses = [gateway.process.broker.link.socket.address for gateway in gateways]
    for gateway in gateways:
        gateway.process.broker.announce(addresses)
    await asyncio.sleep(0.1)
    return gateways


async def stop_gateways(gateways):
    for gateway in reversed(gateways):
        await gateway.__aexit__(None, None, None)


class TestSlotsOfPlainServices:
    @pytest.mark.parametrize("path", ["/safe/x", "/unsafe/x"])
    def test_targets_reject_nothing_while_requests_fit(self, path):
        async def check():
            targets = [SlotTarget("t1"), SlotTarget("t2")]
            gateways = await start_gateways(targets, 3)
            replies = await asyncio.gather(
                *(
                    gateways[number % 3].get(path, f"r{number}")
                    for number in range(REQUESTS)
                )
            )
            assert [reply.status for reply in replies] == [200] * REQUESTS
            assert sum(target.rejected_count for target in targets) == 0
            assert all(target.received for target in targets)
            await stop_gateways(gateways)

        run(check())

    def test_a_home_router_that_ends_is_replaced(self):
        async def check():
            targets = [SlotTarget("t1"), SlotTarget("t2")]
            gateways = await start_gateways(targets, 4)
            await gateways[1].get("/safe/x", "before")
            # Its socket is closed without a word, as when its process is killed.
            gateways[3].process.broker.close()
            replies = [
                await gateways[number % 3].get("/safe/x", f"r{number}")
                for number in range(12)
            ]
            assert [reply.status for reply in replies] == [200] * 12
            await stop_gateways(gateways)

        run(check())

    def test_few_routers_send_without_grants(self):
        async def check():
            targets = [SlotTarget("t1"), SlotTarget("t2")]
            gateways = await start_gateways(targets, 1)
            assert (await gateways[0].get("/safe/x")).status == 200
            assert gateways[0].process.broker.request_count == 0
            await stop_gateways(gateways)

        run(check())
