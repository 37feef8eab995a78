"""Routers drop engines that left before these exit (DRAIN)."""

import asyncio

from store_standin import StoreStandIn

from citrondock_core.routing.store_position import StorePosition
from citrondock_core.routing.store_watch_plan import StoreView, StoreWatchPlan
from citrondock_core.routing.target_directory import TargetDirectory
from citrondock_core.routing.target_entry import TargetEntry
from citrondock_platform.settings import REGISTRY_RECOVERY_S
from citrondock_platform.store import PlatformStore
from citrondock_platform.targets import TargetSink
from citrondock_router.gateway.gateway_process import HOUSEKEEPING_S
from citrondock_router.gateway.gateway_settings import Address
from citrondock_router.gateway.object_follower import FollowerOptions, ObjectFollower

STABLE_S = 3.0
"""The rule counts for a router once the store has served it again for so long."""

DRAIN_S = 2.0
"""Time for which an engine serves after its entry was removed."""


def engine(number):
    return {
        "service": "board",
        "address": f"10.0.0.{number}:80",
        "zone": "z1",
        "maxBatchSize": 8,
        "state": "ready",
    }


class FollowedDirectory:
    """Targets of a stand-in store that has three engines, as a router follows them."""

    async def __aenter__(self):
        self.store = StoreStandIn()
        await self.store.start()
        for number in range(1, 4):
            await self.store.put("servers", f"i-{number}", engine(number))
        loop = asyncio.get_running_loop()
        self.plan = StoreWatchPlan()
        self.directory = TargetDirectory(grace_s=REGISTRY_RECOVERY_S)
        self.follower = ObjectFollower(
            PlatformStore(Address("127.0.0.1", self.store.port), loop),
            "servers",
            TargetSink(self.directory, lambda change: None, loop.time),
            plan=self.plan,
        )
        self._tasks = [
            asyncio.ensure_future(self.follower.run()),
            asyncio.ensure_future(self._keep_house()),
        ]
        while len(self.directory) < 3:
            await asyncio.sleep(0.01)
        return self

    async def __aexit__(self, *_error):
        for task in self._tasks:
            task.cancel()

    async def _keep_house(self):
        while True:
            await asyncio.sleep(HOUSEKEEPING_S)
            self.directory.expire(now_s=asyncio.get_running_loop().time())

    async def remove(self, *names):
        # The next watch begins some time after a change, so that it brings them all.
        calls = len(self.store.calls)
        await self.store.put("servers", "other", {**engine(9), "service": "other"})
        while "other" not in {entry.target_id for entry in self.directory.usable()}:
            await asyncio.sleep(0.01)
        assert len(self.store.calls) == calls
        for name in names:
            await self.store.put("servers", name, None, deleted=True)

    @property
    def used(self):
        return [entry.target_id for entry in self.directory.usable("board")]


class TestEnginesThatLeaveTogether:
    def test_most_engines_of_a_service_get_no_requests_after_the_drain_time(self):
        async def check():
            async with FollowedDirectory() as router:
                await router.remove("i-1", "i-2")
                await asyncio.sleep(DRAIN_S)
                assert router.used == ["i-3"]

        asyncio.run(check())

    def test_all_engines_of_a_service(self):
        async def check():
            async with FollowedDirectory() as router:
                await router.remove("i-1", "i-2", "i-3")
                await asyncio.sleep(DRAIN_S)
                assert router.used == []

        asyncio.run(check())

    def test_they_are_kept_if_all_watchers_have_lost_the_store(self):
        async def check():
            async with FollowedDirectory() as router:
                lost = StoreView(
                    kind="servers", changed_revision=0, is_lost=True, era=0
                )
                now_s = asyncio.get_running_loop().time()
                router.plan.record_statement("v9", lost, now_s=now_s)
                await router.remove("i-1", "i-2")
                await asyncio.sleep(DRAIN_S)
                assert router.used == ["i-1", "i-2", "i-3"]

        asyncio.run(check())


class TestEngineThatLeftDuringAnOutage:
    def test_it_gets_no_requests_once_the_store_is_back_for_three_seconds(self):
        entry = TargetEntry(
            target_id="e1",
            service="llm",
            host="10.0.0.1",
            port=1,
            availability_zone="z1",
            max_concurrency=8,
            is_leaving=False,
        )
        directory = TargetDirectory(grace_s=REGISTRY_RECOVERY_S)
        directory.replace([entry], position=StorePosition(0, 1), now_s=0.0)
        # The store is back at 0 s; the follower asks it again after its longest pause.
        noticed_at_s = FollowerOptions().max_backoff_s
        directory.registry_recovered(now_s=noticed_at_s)
        directory.replace([], position=StorePosition(0, 2), now_s=noticed_at_s)
        now_s = noticed_at_s
        while now_s + HOUSEKEEPING_S <= STABLE_S:
            now_s += HOUSEKEEPING_S
            directory.expire(now_s=now_s)
        assert directory.usable() == []
