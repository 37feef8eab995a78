"""Routers learn of changes through the watchers of their zone."""

import asyncio

from harness import HOST, run

from citrondock_core.routing.engine_load_view import EngineLoadView
from citrondock_core.routing.peer_table import PeerTable
from citrondock_core.routing.store_position import StorePosition
from citrondock_core.routing.store_watch_plan import (
    MIN_RELAY_ROUTERS,
    RELAY_STATEMENT_AGE_S,
    SHORT_WAIT_S,
    WATCHERS_PER_ZONE,
    StoreWatchPlan,
)
from citrondock_router.gateway.gateway_settings import Address
from citrondock_router.gateway.grant_broker import GrantBroker
from citrondock_router.gateway.object_follower import ObjectFollower
from citrondock_router.gateway.store_change_relay import StoreChangeRelay
from citrondock_router.gateway.store_view_exchange import StoreViewExchange
from citrondock_router.gateway.watched_store import (
    HistoryGoneError,
    ObjectSink,
    Snapshot,
    WatchedObject,
    WatchedStore,
    WatchedStoreError,
)

KIND = "servers"


class Store:
    """One object that changes, and that may come back from a copy."""

    def __init__(self):
        self.era = 1
        self.revision = 1
        self.changed = asyncio.Condition()

    async def change(self):
        async with self.changed:
            self.revision += 1
            self.changed.notify_all()

    async def restore(self, revision):
        async with self.changed:
            self.era += 1
            self.revision = revision
            self.changed.notify_all()

    @property
    def position(self):
        return StorePosition(self.era, self.revision)

    @property
    def snapshot(self):
        item = WatchedObject(name="a", revision=self.revision, value={})
        return Snapshot(objects=[item], revision=self.revision, era=self.era)


class Connection(WatchedStore):
    """A router's connection to the store; it may go silent."""

    def __init__(self, store):
        self.store = store
        self.call_count = 0
        self.silenced_calls = 0
        self.is_rejected = False

    async def list(self, kind):
        self.call_count += 1
        if self.is_rejected:
            raise WatchedStoreError("HTTP status 503", step="list")
        return self.store.snapshot

    async def watch(self, kind, *, after_revision, wait_s):
        self.call_count += 1
        if self.is_rejected:
            raise WatchedStoreError("HTTP status 503", step="watch")
        number = self.call_count
        try:
            async with asyncio.timeout(wait_s), self.store.changed:
                await self.store.changed.wait_for(
                    lambda: (
                        self.store.revision != after_revision
                        and number > self.silenced_calls
                    )
                )
        except TimeoutError:
            return Snapshot(
                objects=[], revision=self.store.revision, era=self.store.era
            )
        if self.store.revision < after_revision:
            raise HistoryGoneError("HTTP status 410", step="watch")
        return self.store.snapshot


class Sink(ObjectSink):
    def __init__(self):
        self.position = StorePosition()

    def listed(self, snapshot):
        self.changed(snapshot)

    def changed(self, snapshot):
        assert snapshot.position >= self.position
        self.position = snapshot.position

    def store_lost(self):
        pass

    def store_returned(self):
        pass


class Router:
    def __init__(self, name, store):
        loop = asyncio.get_running_loop()
        self.broker = GrantBroker(PeerTable(name, "z1"), EngineLoadView(), loop)
        self.plan = StoreWatchPlan()
        self.exchange = StoreViewExchange(self.broker.link, self.plan, loop)
        self.connection = Connection(store)
        self.sink = Sink()
        follower = ObjectFollower(self.connection, KIND, self.sink, plan=self.plan)
        self.followers = [follower]
        self.exchange.set_followers(self.followers)
        self.relay = StoreChangeRelay(self.broker.link, self.plan, loop)
        self.relay.set_followers(self.followers)
        self.address = self.broker.open(Address(HOST, 0))
        self.tasks = [
            asyncio.ensure_future(follower.run()),
            asyncio.ensure_future(self.tick()),
        ]

    async def tick(self):
        while True:
            self.exchange.tick()
            await asyncio.sleep(0.05)


async def zone_with_a_dead_watch(store):
    """Return five routers, and one whose long watch will not be answered."""
    routers = [Router(f"v{number}", store) for number in range(5)]
    for router in routers:
        router.broker.announce(other.address for other in routers)
    await asyncio.sleep(3.5)
    followers = [router for router in routers if not router.plan.is_watcher]
    assert len(followers) == 3
    victim = followers[0]
    victim.connection.silenced_calls = victim.connection.call_count
    return routers, victim


def close(routers):
    for router in routers:
        for task in router.tasks:
            task.cancel()
        router.broker.close()


class TestRouterWhoseWatchIsDead:
    def test_it_asks_again_when_a_watcher_has_seen_a_change(self):
        async def check():
            store = Store()
            routers, victim = await zone_with_a_dead_watch(store)
            await store.change()
            await asyncio.sleep(1.2)
            assert {router.sink.position.revision for router in routers} == {2}
            assert victim.connection.call_count > victim.connection.silenced_calls
            close(routers)

        run(check())

    def test_it_asks_again_when_the_store_is_back_from_an_older_copy(self):
        async def check():
            store = Store()
            store.revision = 50
            routers, victim = await zone_with_a_dead_watch(store)
            await store.restore(40)
            await asyncio.sleep(1.2)
            assert {router.sink.position for router in routers} == {store.position}
            assert victim.connection.call_count > victim.connection.silenced_calls
            close(routers)

        run(check())


async def large_zone(store):
    """Return the routers of a zone in which changes are passed on."""
    routers = [Router(f"v{number}", store) for number in range(MIN_RELAY_ROUTERS + 1)]
    for router in routers:
        router.broker.announce(other.address for other in routers)
    # The first short watches end, and the others wait for what is passed on.
    await asyncio.sleep(3.5)
    return routers


def followers_of(routers):
    return [router for router in routers if not router.plan.is_watcher]


class TestLargeZone:
    def test_only_watchers_call_the_store_for_a_change(self):
        async def check():
            store = Store()
            routers = await large_zone(store)
            before = [router.connection.call_count for router in followers_of(routers)]
            assert len(before) == len(routers) - WATCHERS_PER_ZONE
            for _ in range(4):
                await store.change()
                await asyncio.sleep(0.6)
            assert {router.sink.position for router in routers} == {store.position}
            after = [router.connection.call_count for router in followers_of(routers)]
            assert after == before
            close(routers)

        run(check())

    def test_a_router_that_missed_a_relay_asks_the_store(self):
        async def check():
            store = Store()
            routers = await large_zone(store)
            deaf = followers_of(routers)[0]
            deaf.relay.set_followers([])
            before = deaf.connection.call_count
            await store.change()
            await asyncio.sleep(1.2)
            assert deaf.sink.position == store.position
            assert deaf.connection.call_count > before
            close(routers)

        run(check())

    def test_changes_that_leave_a_gap_are_not_applied(self):
        async def check():
            store = Store()
            routers = await large_zone(store)
            deaf = followers_of(routers)[0]
            deaf.relay.set_followers([])
            await store.change()
            await asyncio.sleep(0.1)
            deaf.relay.set_followers(deaf.followers)
            await store.change()
            await asyncio.sleep(1.4)
            # The sink checks that positions only rise; both changes have arrived.
            assert deaf.sink.position == store.position
            close(routers)

        run(check())

    def test_a_store_that_comes_back_from_a_copy_is_listed_by_all(self):
        async def check():
            store = Store()
            store.revision = 50
            routers = await large_zone(store)
            await store.restore(40)
            await asyncio.sleep(1.4)
            assert {router.sink.position for router in routers} == {store.position}
            close(routers)

        run(check())

    def test_routers_watch_for_themselves_once_the_store_rejects_the_watchers(self):
        async def check():
            store = Store()
            routers = await large_zone(store)
            others = followers_of(routers)
            for router in routers:
                router.connection.is_rejected = router.plan.is_watcher
            # The watchers notice with their next call, and say so.
            await asyncio.sleep(SHORT_WAIT_S + 0.8)
            await store.change()
            await asyncio.sleep(0.3)
            assert {router.sink.position for router in others} == {store.position}
            close(routers)

        run(check())

    def test_nor_do_they_wait_for_watchers_that_are_not_heard(self):
        async def check():
            store = Store()
            routers = await large_zone(store)
            others = followers_of(routers)
            for router in routers:
                if router.plan.is_watcher:
                    router.broker.close()
            await asyncio.sleep(RELAY_STATEMENT_AGE_S + 0.3)
            await store.change()
            await asyncio.sleep(0.3)
            assert {router.sink.position for router in others} == {store.position}
            close(routers)

        run(check())
