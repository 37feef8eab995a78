"""Tests of the platform's store client and of what is decoded from its objects."""

import asyncio

import pytest
from store_standin import StoreStandIn

from citrondock_core.routing.target_directory import TargetDirectory
from citrondock_platform.configuration import ConfigurationSink
from citrondock_platform.peers import StorePeerRegistry
from citrondock_platform.store import PlatformStore
from citrondock_platform.targets import TargetSink
from citrondock_router.gateway.gateway_settings import Address
from citrondock_router.gateway.object_follower import FollowerOptions, ObjectFollower
from citrondock_router.gateway.watched_store import HistoryGoneError, WatchedStoreError

FAST_OPTIONS = FollowerOptions(
    wait_s=0.2, settle_s=0.01, min_backoff_s=0.01, max_backoff_s=0.05
)


def server(address="10.0.0.1:80", **fields):
    return {
        "service": "s",
        "address": address,
        "zone": "z1",
        "version": "v1",
        "maxBatchSize": 8,
        "state": "ready",
        "warmupLeftMs": 0,
        "sequence": 1,
        "born": 1000,
        **fields,
    }


def run(coroutine) -> None:
    async def bounded() -> None:
        await asyncio.wait_for(coroutine, 20)

    asyncio.run(bounded())


async def started(**options):
    standin = StoreStandIn(**options)
    await standin.start()
    address = Address("127.0.0.1", standin.port)
    return standin, PlatformStore(address, asyncio.get_running_loop())


async def wait_until(condition) -> None:
    while not condition():
        await asyncio.sleep(0.01)


class TestCalls:
    def test_all_pages_of_a_long_list_are_read(self):
        async def check():
            standin, store = await started(page_size=3)
            for number in range(8):
                await standin.put("servers", f"i-{number}", server())
            snapshot = await store.list("servers")
            assert len(snapshot.objects) == 8
            assert snapshot.revision == standin.revision

        run(check())

    def test_a_watch_from_before_the_history_raises(self):
        async def check():
            standin, store = await started()
            await standin.put("servers", "i-1", server())
            standin.forget_history()
            with pytest.raises(HistoryGoneError):
                await store.watch("servers", after_revision=1, wait_s=0.1)

        run(check())

    @pytest.mark.parametrize("fault", ["busy", "reset"])
    def test_a_failing_store_raises_instead_of_an_empty_list(self, fault):
        async def check():
            standin, store = await started()
            standin.fault = fault
            with pytest.raises(WatchedStoreError):
                await store.list("servers")

        run(check())

    def test_an_unreadable_object_does_not_hide_the_others(self):
        async def check():
            standin, store = await started()
            await standin.put("servers", "i-1", "no object")
            await standin.put("servers", "i-2", server())
            names = {o.name: o.value for o in (await store.list("servers")).objects}
            assert names["i-1"] is None
            assert names["i-2"]["service"] == "s"

        run(check())


class TestFollowing:
    async def followed(self, standin, store, options=FAST_OPTIONS):
        directory = TargetDirectory(grace_s=0.3)
        clock = asyncio.get_running_loop().time
        sink = TargetSink(directory, lambda change: None, clock)
        follower = ObjectFollower(store, "servers", sink, options=options)
        return directory, asyncio.ensure_future(follower.run())

    def test_changes_arrive_through_the_watch(self):
        async def check():
            standin, store = await started()
            await standin.put("servers", "i-1", server())
            directory, task = await self.followed(standin, store)
            await wait_until(lambda: len(directory.usable("s")) == 1)
            await standin.put("servers", "i-2", server("10.0.0.2:80"))
            await wait_until(lambda: len(directory.usable("s")) == 2)
            await standin.put("servers", "i-1", server(state="draining"))
            await wait_until(lambda: len(directory.usable("s")) == 1)
            await standin.put("servers", "i-2", None, deleted=True)
            await wait_until(lambda: not directory.usable("s"))
            task.cancel()

        run(check())

    def test_changes_in_quick_succession_take_few_calls(self):
        async def check():
            standin, store = await started()
            options = FollowerOptions(wait_s=2.0, settle_s=0.2)
            directory, task = await self.followed(standin, store, options)
            await wait_until(lambda: standin.calls)
            for number in range(30):
                await standin.put("servers", f"i-{number}", server())
                await asyncio.sleep(0.01)
            await wait_until(lambda: len(directory) == 30)
            watches = [call for call in standin.calls if "watch=" in call]
            assert len(watches) <= 5
            task.cancel()

        run(check())

    def test_a_gap_in_the_history_leads_to_a_new_listing(self):
        async def check():
            standin, store = await started()
            await standin.put("servers", "i-1", server())
            directory, task = await self.followed(standin, store)
            await wait_until(lambda: len(directory) == 1)
            await standin.put("servers", "i-3", server("10.0.0.3:80"))
            standin.forget_history()
            await wait_until(lambda: len(directory) == 2)
            task.cancel()

        run(check())

    @pytest.mark.parametrize("fault", ["busy", "reset", "silent"])
    def test_targets_are_kept_through_an_outage_and_then_expire(self, fault):
        async def check():
            standin, store = await started()
            await standin.put("servers", "i-1", server())
            await standin.put("servers", "i-2", server("10.0.0.2:80"))
            directory, task = await self.followed(standin, store)
            await wait_until(lambda: len(directory) == 2)
            standin.fault = fault
            await asyncio.sleep(1.4)
            assert len(directory.usable("s")) == 2
            del standin.objects["servers"]["i-1"]
            calls = len(standin.calls)
            standin.fault = ""
            await wait_until(lambda: len(standin.calls) > calls + 1)
            assert len(directory.usable("s")) == 2
            await asyncio.sleep(0.4)
            directory.expire(now_s=asyncio.get_running_loop().time())
            assert [e.target_id for e in directory.usable("s")] == ["i-2"]
            task.cancel()

        run(check())


class TestUnreadableEntries:
    @pytest.mark.parametrize(
        "unreadable",
        [
            {},
            server(state="sleeping"),
            server(service=7),
            server(address="nowhere"),
            server(address="10.0.0.1:99999"),
            server(maxBatchSize="many"),
            server(zone=None),
            "text",
            None,
        ],
    )
    def test_they_add_no_target_and_change_no_known_one(self, unreadable):
        async def check():
            standin, store = await started()
            await standin.put("servers", "i-1", server())
            directory = TargetDirectory(grace_s=0)
            sink = TargetSink(directory, lambda change: None, lambda: 0.0)
            sink.listed(await store.list("servers"))
            await standin.put("servers", "i-1", unreadable)
            await standin.put("servers", "i-9", unreadable)
            sink.changed(await store.watch("servers", after_revision=2, wait_s=0.1))
            sink.listed(await store.list("servers"))
            assert [e.target_id for e in directory.usable("s")] == ["i-1"]

        run(check())


class TestConfigurations:
    def fields(self, version):
        route = {
            "name": "r",
            "host": "H.example",
            "pathPrefix": "/a/",
            "routeType": "streaming",
            "resumable": True,
            "timeoutMs": 5000,
            "targetLatencyMs": 600,
            "targetGapMs": 300,
            "priority": 1,
            "backends": [
                {"service": "s", "weight": 90},
                {"service": "t", "weight": 10},
            ],
            "maxAttempts": 2,
            "public": False,
        }
        plain = {
            **route,
            "pathPrefix": "/b/",
            "routeType": "unsafe",
            "service": "t",
        }
        del plain["backends"], plain["resumable"], plain["targetGapMs"]
        return {
            "version": version,
            "routes": [route, plain],
            "services": [
                {
                    "name": "s",
                    "maxConnections": 620,
                    "engine": {"maxBatchSize": 128, "kvCapacity": 1000},
                },
                {"name": "t", "maxConnections": 100},
            ],
            "limits": {
                "maxHeaderBytes": 16384,
                "maxBodyBytes": 1000,
                "headerTimeoutMs": 3000,
                "idleTimeoutMs": 15000,
                "tokensPerS": 1,
            },
            "tenants": [{"name": "n", "apiKeys": ["k1", "k2"], "priority": 1}],
        }

    def test_every_field_is_read(self):
        async def check():
            standin, store = await started()
            received = []
            await standin.put("config", "main", self.fields(7))
            await standin.put("config", "other", {"version": 8})
            ConfigurationSink(received.append).listed(await store.list("config"))
            [configuration] = received
            stream, plain = configuration.routes
            assert (stream.host, stream.timeout_s) == ("h.example", 5.0)
            assert stream.kind.may_run_again
            assert stream.kind.is_stream
            assert not plain.kind.may_run_again
            assert [share.weight for share in stream.shares] == [90, 10]
            assert [share.service for share in plain.shares] == ["t"]
            assert configuration.account_by_key == {"k1": "n", "k2": "n"}
            assert configuration.services["s"].engine.memory_tokens == 1000
            assert configuration.limits.idle_timeout_s == 15.0

        run(check())

    def test_an_unreadable_configuration_is_skipped(self):
        async def check():
            standin, store = await started()
            received = []
            await standin.put("config", "main", {"version": 8})
            ConfigurationSink(received.append).listed(await store.list("config"))
            assert received == []

        run(check())


class TestPeerEntries:
    def test_a_router_finds_the_others_at_their_latest_address(self):
        async def check():
            _, store = await started()
            first = StorePeerRegistry(store, "v1", Address("10.0.0.1", 70))
            second = StorePeerRegistry(store, "v2", Address("10.0.0.2", 70))
            await first.register()
            await second.register()
            moved = StorePeerRegistry(store, "v1", Address("10.0.0.9", 71))
            await moved.register()
            assert await second.addresses() == {
                "v1": Address("10.0.0.9", 71),
                "v2": Address("10.0.0.2", 70),
            }
            await moved.deregister()
            await moved.deregister()
            assert await second.addresses() == {"v2": Address("10.0.0.2", 70)}

        run(check())
