"""Tests of a store that comes back from a copy some seconds old."""

import asyncio
import contextlib

import pytest
from store_standin import StoreStandIn
from test_process import configuration
from test_store import FAST_OPTIONS, run, server, started, wait_until

from citrondock_core.routing.route_table import ConfigurationHolder
from citrondock_core.routing.target_directory import TargetDirectory
from citrondock_platform import store as store_module
from citrondock_platform.configuration import ConfigurationSink
from citrondock_platform.peers import StorePeerRegistry
from citrondock_platform.store import MAX_ERA_DIGITS, PlatformStore
from citrondock_platform.targets import TargetSink
from citrondock_router.gateway import peer_registry
from citrondock_router.gateway.gateway_settings import Address
from citrondock_router.gateway.object_follower import FollowerOptions, ObjectFollower
from citrondock_router.gateway.peer_registry import PeerDiscovery
from citrondock_router.gateway.watched_store import (
    HistoryGoneError,
    Snapshot,
    WatchedObject,
    WatchedStore,
    WatchedStoreError,
)

NOTICED_S = 3.0
"""Time in which a follower must have what the store has."""


async def soon(condition) -> bool:
    """Return whether a condition is met in time."""
    try:
        await asyncio.wait_for(wait_until(condition), NOTICED_S)
    except TimeoutError:
        return False
    return True


class Followed:
    """A directory that a follower keeps."""

    def __init__(self, store, options=FAST_OPTIONS, **fields):
        self.directory = TargetDirectory(grace_s=1.0)
        clock = asyncio.get_running_loop().time
        sink = TargetSink(self.directory, lambda change: None, clock)
        follower = ObjectFollower(store, "servers", sink, options=options, **fields)
        self.task = asyncio.ensure_future(follower.run())

    @property
    def names(self):
        return {entry.target_id for entry in self.directory.usable()}


class TestFollowing:
    def test_changes_below_the_watched_revision_are_not_missed(self):
        async def check():
            standin, store = await started()
            await standin.put("servers", "i-1", server())
            copy = standin.copy()
            for _ in range(3):
                await standin.put("servers", "i-1", server())
            followed = Followed(store)
            assert await soon(lambda: followed.names == {"i-1"})
            await asyncio.sleep(0.05)
            await standin.restore(copy, cuts_watches=False)
            for number in range(2, 7):
                await standin.put("servers", f"i-{number}", server())
            assert await soon(lambda: len(followed.names) == 6), followed.names
            followed.task.cancel()

        run(check())

    @pytest.mark.parametrize("cuts_watches", [True, False])
    def test_a_target_of_the_lost_seconds_is_kept_until_it_registers_again(
        self, cuts_watches
    ):
        async def check():
            standin, store = await started()
            await standin.put("servers", "i-1", server())
            await standin.put("servers", "i-2", server())
            copy = standin.copy()
            await standin.put("servers", "i-3", server())
            followed = Followed(store)
            assert await soon(lambda: len(followed.names) == 3)
            await standin.restore(copy, cuts_watches=cuts_watches)
            seen = set()
            for _ in range(50):
                seen.add(len(followed.names))
                await asyncio.sleep(0.01)
            await standin.put("servers", "i-3", server())
            await asyncio.sleep(0.1)
            assert seen == {3}
            # Its entry holds beyond the grace of a missing one.
            await asyncio.sleep(1.0)
            followed.directory.expire(now_s=asyncio.get_running_loop().time())
            assert len(followed.names) == 3
            followed.task.cancel()

        run(check())

    def test_a_target_of_the_lost_seconds_is_kept_after_a_gap_in_the_history(self):
        async def check():
            standin, store = await started()
            await standin.put("servers", "i-1", server())
            await standin.put("servers", "i-2", server())
            copy = standin.copy()
            options = FollowerOptions(wait_s=0.2, settle_s=0.3)
            followed = Followed(store, options)
            assert await soon(lambda: len(followed.names) == 2)
            await asyncio.sleep(0.05)
            await standin.put("servers", "i-3", server())
            assert await soon(lambda: len(followed.names) == 3)
            # The follower pauses now, and watches from a revision that is gone.
            await standin.restore(copy)
            await asyncio.sleep(0.7)
            assert len(followed.names) == 3
            followed.task.cancel()

        run(check())

    def test_a_late_answer_of_a_former_era_is_not_applied(self):
        class LateStore(WatchedStore):
            """Answers of eras in any order."""

            def __init__(self):
                self.eras = [4, 5, 4, 4, 5]
                self.kinds = []

            async def list(self, kind):
                return await self.answer("list")

            async def watch(self, kind, *, after_revision, wait_s):
                return await self.answer("watch")

            async def answer(self, call):
                if not self.eras:
                    await asyncio.sleep(60)
                self.kinds.append(call)
                era = self.eras.pop(0)
                item = WatchedObject(name=f"i-{era}", revision=7, value=server())
                return Snapshot(objects=[item], revision=7, era=era)

        async def check():
            store = LateStore()
            followed = Followed(store, FAST_OPTIONS)
            assert await soon(lambda: not store.eras)
            await asyncio.sleep(0.05)
            assert store.kinds == ["list", "watch", "list", "list", "list"]
            # The entry of era 4 is missing in the listing of era 5, and kept for now.
            assert followed.names == {"i-4", "i-5"}
            followed.task.cancel()

        run(check())

    def test_a_store_that_does_not_tell_its_era_is_followed(self):
        async def check():
            standin, store = await started(era=None)
            followed = Followed(store)
            for number in range(3):
                await standin.put("servers", f"i-{number}", server())
            assert await soon(lambda: len(followed.names) == 3)
            followed.task.cancel()

        run(check())

    def test_a_long_watch_is_replaced_when_another_kind_shows_the_new_era(self):
        async def check():
            standin, store = await started()
            await standin.put("servers", "i-1", server())
            copy = standin.copy()
            await standin.put("servers", "i-1", server(state="draining"))
            followed = Followed(store, FollowerOptions(wait_s=15.0), era=store.era)
            assert await soon(lambda: len(followed.directory) == 1)
            await asyncio.sleep(0.05)
            await standin.restore(copy, cuts_watches=False)
            await store.list("config")
            assert await soon(lambda: followed.directory.position.era == standin.era)
            # The old copy does not bring back a target that was known to be leaving.
            assert followed.names == set()
            followed.task.cancel()

        run(check())


class TestConfiguration:
    """Until the operator writes again, the store holds an older configuration."""

    def follow(self, store):
        """Return what is in force, and the task that follows the store."""
        in_force = ConfigurationHolder()
        sink = ConfigurationSink(in_force.activate_if_newer)
        follower = ObjectFollower(
            store, "config", sink, options=FAST_OPTIONS, era=store.era
        )
        return in_force, asyncio.ensure_future(follower.run())

    @pytest.mark.parametrize("cuts_watches", [True, False])
    def test_an_older_one_is_not_taken_again(self, cuts_watches):
        async def check():
            standin, store = await started()

            async def write(version):
                value = {**configuration(), "version": version}
                await standin.put("config", "main", value)

            await write(3)
            copy = standin.copy()
            await write(5)
            in_force, task = self.follow(store)
            assert await soon(lambda: in_force.version == 5)
            await asyncio.sleep(0.05)
            await standin.restore(copy, cuts_watches=cuts_watches)
            await asyncio.sleep(0.5)
            assert in_force.version == 5
            # A router without one has nothing to compare it with.
            started_then, other_task = self.follow(store)
            assert await soon(lambda: started_then.version == 3)
            await write(5)
            assert await soon(lambda: started_then.version == 5)
            await write(6)
            assert await soon(lambda: in_force.version == started_then.version == 6)
            task.cancel()
            other_task.cancel()

        run(check())


class InterruptedStore(PlatformStore):
    """A client that lets something happen after its first call."""

    between = None

    async def _call(self, *arguments, **fields):
        response = await super()._call(*arguments, **fields)
        between, self.between = self.between, None
        if between is not None:
            await between()
        return response


async def started_with_pages():
    standin, _ = await started(page_size=2)
    address = Address("127.0.0.1", standin.port)
    return standin, InterruptedStore(address, asyncio.get_running_loop())


class TestPages:
    def test_pages_of_different_eras_are_not_mixed(self):
        async def check():
            standin, store = await started_with_pages()
            for number in range(4):
                await standin.put("servers", f"i-{number}", server())
            copy = standin.copy()
            for number in range(4):
                await standin.put("servers", f"i-{number}", server(state="draining"))
            store.between = lambda: standin.restore(copy)
            followed = Followed(store, era=store.era)
            assert await soon(lambda: followed.directory)
            assert followed.names == {"i-0", "i-1", "i-2", "i-3"}
            followed.task.cancel()

        run(check())

    def test_a_change_between_two_pages_is_not_missed(self):
        async def check():
            standin, store = await started_with_pages()
            for number in range(4):
                await standin.put("servers", f"i-{number}", server())

            async def leave():
                await standin.put("servers", "i-0", None, deleted=True)

            store.between = leave
            followed = Followed(store, era=store.era)
            assert await soon(lambda: followed.directory)
            assert await soon(lambda: followed.names == {"i-1", "i-2", "i-3"})
            followed.task.cancel()

        run(check())


class TestEra:
    @pytest.mark.parametrize(
        ("fault", "call"),
        [
            ("", lambda store: store.list("servers")),
            ("", lambda store: store.watch("servers", after_revision=1, wait_s=0.1)),
            ("", lambda store: store.watch("servers", after_revision=99, wait_s=0.1)),
            ("", lambda store: store.put("servers", "i-1", server())),
            ("", lambda store: store.delete("servers", "i-9")),
            ("busy", lambda store: store.list("servers")),
        ],
    )
    def test_answers_of_any_status_show_it(self, fault, call):
        async def check():
            standin, store = await started()
            await store.list("config")
            changes = []
            store.era.on_change(lambda: changes.append(store.era.latest))
            await standin.restore(standin.copy())
            standin.fault = fault
            with contextlib.suppress(WatchedStoreError, HistoryGoneError):
                await call(store)
            assert changes == [5]

        run(check())

    @pytest.mark.parametrize("era", [None, "", "x", "-3", "1.5", "9" * 5000])
    def test_one_that_cannot_be_read_leaves_the_known_one(self, era, monkeypatch):
        events = []
        monkeypatch.setattr(
            store_module, "log_event", lambda event, **_: events.append(event)
        )

        async def check():
            standin, store = await started()
            assert (await store.list("servers")).era == 4
            standin.era = era
            assert (await store.list("servers")).era == 4
            assert (await store.list("servers")).era == 4
            assert store.era.latest == 4
            assert events == ["store_era_missing"]

        run(check())

    def test_the_longest_number_is_read(self):
        async def check():
            standin, store = await started(era=int("9" * MAX_ERA_DIGITS))
            await store.list("servers")
            assert store.era.latest == standin.era

        run(check())


class TestPeerEntries:
    def discovery(self, standin, name, port):
        """Return the router's store and task, and the addresses that it finds."""
        store = PlatformStore(
            Address("127.0.0.1", standin.port), asyncio.get_running_loop()
        )
        registry = StorePeerRegistry(store, name, Address("10.0.0.1", port))
        found = []
        discovery = PeerDiscovery(registry, found.append, store.era)
        return store, asyncio.ensure_future(discovery.run()), found

    def test_routers_that_came_in_the_lost_seconds_register_again(self):
        async def check():
            standin = StoreStandIn()
            await standin.start()
            _, first, _ = self.discovery(standin, "v1", 1)
            known = standin.objects.setdefault("citrondock-routers", {})
            assert await soon(lambda: set(known) == {"v1"})
            copy = standin.copy()
            second_store, second, second_found = self.discovery(standin, "v2", 2)
            third_store, third, third_found = self.discovery(standin, "v3", 3)
            assert await soon(lambda: second_found and third_found)
            await standin.restore(copy)
            writes = len([call for call in standin.calls if "GET" not in call])
            for store in (second_store, third_store):
                await store.list("config")
            assert await soon(
                lambda: set(standin.objects["citrondock-routers"]) == {"v1", "v2", "v3"}
            )
            # Each registers with one call, and one of both sees the other.
            calls = [call for call in standin.calls if "GET" not in call]
            assert len(calls) == writes + 2
            assert await soon(
                lambda: max(len(second_found[-1]), len(third_found[-1])) == 2
            )
            for task in (first, second, third):
                task.cancel()

        run(check())

    def test_routers_whose_entries_were_kept_write_nothing(self):
        async def check():
            standin = StoreStandIn()
            await standin.start()
            store, task, found = self.discovery(standin, "v1", 1)
            assert await soon(lambda: len(found) == 1)
            calls = len(standin.calls)
            await standin.restore(standin.copy())
            await store.list("config")
            assert await soon(lambda: len(found) == 2)
            assert all("GET" in call for call in standin.calls[calls:])
            task.cancel()

        run(check())

    def test_an_entry_that_is_lost_without_a_new_era_is_written_again(
        self, monkeypatch
    ):
        monkeypatch.setattr(peer_registry, "RELIST_S", 0.2)

        async def check():
            standin = StoreStandIn()
            await standin.start()
            _, task, found = self.discovery(standin, "v1", 1)
            assert await soon(lambda: found)
            await standin.put("citrondock-routers", "v1", None, deleted=True)
            assert await soon(lambda: "v1" in standin.objects["citrondock-routers"])
            await standin.put("citrondock-routers", "v1", {"address": "10.9.9.9:9"})
            own = {"address": "10.0.0.1:1"}
            assert await soon(
                lambda: standin.objects["citrondock-routers"]["v1"]["spec"] == own
            )
            task.cancel()

        run(check())
