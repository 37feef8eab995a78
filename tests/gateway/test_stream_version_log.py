"""Where routers keep, and look up, the versions that began streams."""

import asyncio

import pytest
from harness import run
from memory_store import MemoryStore, StoreDoor

from citrondock_core.routing.peer_table import PeerTable
from citrondock_core.routing.stream_versions import (
    MAX_UNRECORDED_S,
    BaseState,
    BaseVersion,
    StreamVersions,
)
from citrondock_router.gateway import stream_record_writer, stream_version_log
from citrondock_router.gateway.stream_record_writer import StreamNotRecordedError
from citrondock_router.gateway.stream_version_log import StreamVersionLog

DEADLINE_S = 0.2
BASE_LIFETIME_S = 1.0


@pytest.fixture(autouse=True)
def _short_times(monkeypatch):
    monkeypatch.setattr(stream_version_log, "HOUSEKEEPING_S", 0.01)
    monkeypatch.setattr(stream_version_log, "KEEPER_DELAY_S", 0.05)
    for name, value_s in (
        ("LIFETIME_MARGIN_S", 0.1),
        ("RETIREMENT_S", BASE_LIFETIME_S),
        ("MAX_LIFETIME_S", BASE_LIFETIME_S),
        ("RETIRE_AFTER_S", 0.05),
    ):
        monkeypatch.setattr(f"citrondock_core.routing.stream_versions.{name}", value_s)


class RouterLog:
    """The log of one router, whose targets tests set."""

    def __init__(self, store, name="v1", **live):
        self.loop = asyncio.get_running_loop()
        self.versions = StreamVersions()
        self.versions.observe_deadline(DEADLINE_S)
        self.log = StreamVersionLog(
            self.versions, PeerTable(name, "z1"), writer_name=name, loop=self.loop
        )
        door = store if isinstance(store, StoreDoor) else store.door()
        self.era = door.era
        self.log.use_store(door, era=self.era)
        self.set_live(**live)
        self.task = asyncio.ensure_future(self.log.run())

    def set_live(self, **live):
        self.versions.set_live({"llm": live}, now_s=self.loop.time())

    def unrecorded(self):
        return self.versions.unrecorded_version("llm", now_s=self.loop.time())

    def needs_record(self, version, time_left_s=DEADLINE_S):
        return self.versions.needs_record(
            "llm", version, time_left_s=time_left_s, now_s=self.loop.time()
        )

    async def base(self, version):
        """Wait until the base version is this one."""
        async with asyncio.timeout(5):
            while self.unrecorded() != version:
                await asyncio.sleep(0.01)

    async def find(self, request_id):
        """Return the version of a stream as a client's take-up learns it."""
        return await self.log.find_version("llm", request_id)


class TestOneVersion:
    def test_nothing_is_read_or_written_for_streams_that_begin(self):
        async def check():
            store = MemoryStore()
            router = RouterLog(store, v1=2)
            await router.base("v1")
            await asyncio.sleep(0.05)
            store.calls.clear()
            assert not router.needs_record("v1")
            await asyncio.sleep(0.05)
            assert store.calls == []

        run(check())

    def test_streams_taken_up_at_once_share_one_call(self):
        async def check():
            store = MemoryStore()
            router = RouterLog(store, v1=2)
            await router.base("v1")
            await asyncio.sleep(0.05)
            store.calls.clear()
            found = await asyncio.gather(
                *(router.find(f"r{number}") for number in range(20))
            )
            assert found == ["v1"] * 20
            assert len(store.calls) == 1

        run(check())

    def test_a_restarted_router_reads_the_base_before_it_answers(self):
        async def check():
            store = MemoryStore()
            await RouterLog(store, v1=2).base("v1")
            # The old targets left while all routers were down.
            router = RouterLog(store, name="v2", v2=2)
            assert await router.find("r1") == "v1"

        run(check())


class TestTwoVersions:
    def test_another_router_finds_the_version_of_each_stream(self):
        async def check():
            store = MemoryStore()
            first, second = RouterLog(store, v1=2), RouterLog(store, "v2", v1=2)
            await first.base("v1")
            for router in (first, second):
                router.set_live(v1=1, v2=1)
            assert not first.needs_record("v1")
            assert first.needs_record("v2")
            await first.log.record("v2", "r2")
            assert await second.find("r2") == "v2"
            assert await second.find("r1") == "v1"

        run(check())

    def test_the_last_record_of_a_stream_holds(self):
        async def check():
            store = MemoryStore()
            first, second = RouterLog(store, v1=2), RouterLog(store, "v2", v1=2)
            await first.base("v1")
            for router in (first, second):
                router.set_live(v1=1, v2=1, v3=1)
            for version in ("v2", "v3"):
                await first.log.record(version, "r1")
            assert await second.find("r1") == "v3"

        run(check())

    def test_records_outlive_all_routers(self):
        async def check():
            store = MemoryStore()
            first = RouterLog(store, v1=2)
            await first.base("v1")
            first.set_live(v1=1, v2=1)
            await asyncio.gather(
                *(first.log.record("v2", f"r{number}") for number in range(50))
            )
            first.task.cancel()
            restarted = RouterLog(store, name="v1b", v2=2)
            assert await restarted.find("r49") == "v2"
            assert await restarted.find("unrecorded") == "v1"

        run(check())

    def test_records_are_written_in_batches(self):
        async def check():
            store = MemoryStore()
            router = RouterLog(store, v1=1, v2=1)
            await asyncio.sleep(0.1)
            store.calls.clear()
            for _ in range(3):
                await asyncio.gather(
                    *(router.log.record("v2", f"r{number}") for number in range(20))
                )
            assert store.calls.count("create") == 1
            assert store.calls.count("replace") <= 5

        run(check())

    def test_a_reader_lists_again_after_a_gap_in_the_history(self):
        async def check():
            store = MemoryStore()
            first, second = RouterLog(store, v1=2), RouterLog(store, "v2", v1=2)
            await first.base("v1")
            await second.base("v1")
            for router in (first, second):
                router.set_live(v1=1, v2=1)
            await first.log.record("v2", "r1")
            store.forget_history()
            assert await second.find("r1") == "v2"

        run(check())

    def test_all_changes_are_read_where_one_answer_has_only_some(self):
        async def check():
            store = MemoryStore()
            store.max_watched = 2
            reader = RouterLog(store, "v0", v1=2)
            writers = [RouterLog(store, f"v{number}", v1=2) for number in range(1, 8)]
            await reader.base("v1")
            for router in (reader, *writers):
                router.set_live(v1=1, v2=1)
            for number, router in enumerate(writers):
                await router.log.record("v2", f"r{number}")
            for number in reversed(range(len(writers))):
                assert await reader.find(f"r{number}") == "v2"

        run(check())


class TestOldLists:
    def test_a_version_whose_targets_left_long_after_it_joined_is_found(
        self, monkeypatch
    ):
        # Guards against joined streams: a router took the base version for the only
        # one since the list of targets had not changed for a lifetime of streams.
        monkeypatch.setattr(
            "citrondock_core.routing.stream_versions.MAX_LIFETIME_S", 0.2
        )

        async def check():
            store = MemoryStore()
            first, second = RouterLog(store, v1=2), RouterLog(store, "v2", v1=2)
            await first.base("v1")
            await second.base("v1")
            for router in (first, second):
                router.set_live(v1=1, v2=1)
            await asyncio.sleep(0.3)
            await first.log.record("v2", "r1")
            for router in (first, second):
                router.set_live(v1=1)
            assert await second.find("r1") == "v2"

        run(check())

    def test_a_version_that_the_list_does_not_have_yet_is_found(self):
        # Guards against joined streams: the list of a router that was out of step had
        # one version.
        async def check():
            store = MemoryStore()
            first, second = RouterLog(store, v1=2), RouterLog(store, "v2", v1=2)
            await first.base("v1")
            await second.base("v1")
            first.set_live(v1=1, v2=1)
            await first.log.record("v2", "r1")
            assert await second.find("r1") == "v2"

        run(check())

    def test_no_version_is_known_to_a_router_that_the_store_turns_away(self):
        # Guards against joined streams: such a router took its list for complete.
        async def check():
            store = MemoryStore()
            door = store.door()
            first, second = RouterLog(store, v1=2), RouterLog(door, "v2", v1=2)
            await first.base("v1")
            await second.base("v1")
            door.is_closed = True
            first.set_live(v1=1, v2=1)
            await first.log.record("v2", "r1")
            assert await second.find("r1") is None
            door.is_closed = False
            async with asyncio.timeout(5):
                while await second.find("r1") != "v2":
                    await asyncio.sleep(0.05)

        run(check())


class TestLateWrites:
    @pytest.mark.parametrize("records_before", [0, 1])
    def test_a_late_write_removes_no_record(self, records_before):
        # Guards against joined streams: a write without a condition, done seconds late,
        # took the place of later ones.
        async def check():
            store = MemoryStore()
            first, second = RouterLog(store, v1=2), RouterLog(store, "v2", v1=2)
            await first.base("v1")
            first.set_live(v1=1, v2=1)
            if records_before:
                await first.log.record("v2", "r0")
            store.lost_writes = 1
            with pytest.raises(StreamNotRecordedError):
                await first.log.record("v2", "lost")
            async with asyncio.timeout(5):
                while not first.log.can_record:
                    await asyncio.sleep(0.02)
            for number in range(1, 4):
                await first.log.record("v2", f"r{number}")
            await store.do_late()
            for number in range(1 - records_before, 4):
                assert await second.find(f"r{number}") == "v2"

        run(check())

    def test_a_late_write_does_not_bring_an_older_record_of_a_stream_back(self):
        async def check():
            store = MemoryStore()
            first, second = RouterLog(store, v1=2), RouterLog(store, "v2", v1=2)
            await first.base("v1")
            first.set_live(v1=1, v2=1, v3=1)
            store.lost_writes = 1
            with pytest.raises(StreamNotRecordedError):
                await first.log.record("v2", "r1")
            async with asyncio.timeout(5):
                while not first.log.can_record:
                    await asyncio.sleep(0.02)
            await first.log.record("v3", "r1")
            await store.do_late()
            assert await second.find("r1") == "v3"

        run(check())


class TestOldRecords:
    @pytest.fixture(autouse=True)
    def _short_segments(self, monkeypatch):
        monkeypatch.setattr(stream_version_log, "CLOCK_MARGIN_S", 0.1)
        monkeypatch.setattr(stream_record_writer, "SEGMENT_S", 0.1)

    def test_a_router_deletes_its_own(self):
        async def check():
            store = MemoryStore()
            router = RouterLog(store, v1=1, v2=1)
            await router.log.record("v2", "r1")
            assert store.names("streams.")
            async with asyncio.timeout(5):
                while store.names("streams."):
                    await asyncio.sleep(0.02)

        run(check())

    def test_those_of_a_router_that_ended_are_deleted(self):
        async def check():
            store = MemoryStore()
            router = RouterLog(store, v1=1, v2=1)
            await router.log.record("v2", "r1")
            router.task.cancel()
            RouterLog(store, name="v2", v1=1, v2=1)
            async with asyncio.timeout(5):
                while store.names("streams."):
                    await asyncio.sleep(0.02)

        run(check())


class TestStoreOutage:
    def test_a_stream_that_has_to_be_recorded_may_not_begin(self):
        async def check():
            store = MemoryStore()
            router = RouterLog(store, v1=2)
            await router.base("v1")
            router.set_live(v1=1, v2=1)
            store.is_down = True
            with pytest.raises(StreamNotRecordedError):
                await router.log.record("v2", "r1")
            assert not router.log.can_record

        run(check())

    def test_the_version_of_a_stream_is_unknown_among_several(self):
        async def check():
            store = MemoryStore()
            router = RouterLog(store, v1=2)
            await router.base("v1")
            router.set_live(v1=1, v2=1)
            store.is_down = True
            assert await router.find("r1") is None

        run(check())

    def test_the_version_is_unknown_though_the_list_has_only_one(self):
        # The router cannot tell an outage from one that it alone is in.
        async def check():
            store = MemoryStore()
            router = RouterLog(store, v1=2)
            await router.base("v1")
            await asyncio.sleep(0.05)
            store.is_down = True
            assert await router.find("r1") is None
            store.calls.clear()
            assert await router.find("r1") is None
            assert "list" not in store.calls and "watch" not in store.calls

        run(check())

    def test_streams_that_this_router_passed_on_go_on(self):
        async def check():
            store = MemoryStore()
            router = RouterLog(store, v1=2)
            now_s = router.loop.time()
            router.versions.remember("r1", "v1", now_s=now_s)
            store.is_down = True
            assert router.versions.remembered_version("r1") == "v1"
            assert router.versions.remembered_version("r2") is None

        run(check())

    def test_records_are_written_again_when_the_store_is_back_from_a_copy(self):
        async def check():
            store = MemoryStore()
            router = RouterLog(store, v1=2)
            await router.base("v1")
            router.set_live(v1=1, v2=1)
            await router.log.record("v2", "r1")
            store.restore(({}, 1))
            router.era.observe(store.era)
            await asyncio.sleep(0.1)
            restarted = RouterLog(store, name="v2", v2=2)
            assert await restarted.find("r1") == "v2"

        run(check())


class TestRestoredStore:
    @pytest.fixture(autouse=True)
    def _short_deadlines(self, monkeypatch):
        monkeypatch.setattr(f"{__name__}.DEADLINE_S", 0.05)

    async def _two_routers(self, store):
        """Return two routers that know two versions for longer than a lifetime."""
        first, second = RouterLog(store, v1=2), RouterLog(store, "v2", v1=2)
        await first.base("v1")
        await second.base("v1")
        for router in (first, second):
            router.set_live(v1=1, v2=1)
        await asyncio.sleep(2 * first.versions.lifetime_s)
        return first, second

    def test_a_stream_whose_record_may_be_lost_has_no_known_version(self):
        # Guards against joined streams: a copy of the store lacked the record of a
        # stream whose router had ended, so that it was taken for one of the base.
        async def check():
            store = MemoryStore()
            first, second = await self._two_routers(store)
            copied = store.copy()
            await first.log.record("v2", "r1")
            store.restore(copied)
            first.task.cancel()
            assert await second.find("r1") is None
            await asyncio.sleep(0.2)
            assert await second.find("r1") is None
            assert second.versions.base("llm").state is BaseState.OPEN

        run(check())

    def test_streams_of_a_router_that_runs_are_found(self):
        async def check():
            store = MemoryStore()
            first, second = await self._two_routers(store)
            copied = store.copy()
            await first.log.record("v2", "r2")
            for request_id, version in (("r1", "v1"), ("r2", "v2")):
                now_s = first.loop.time()
                first.versions.remember(request_id, version, now_s=now_s)
            store.restore(copied)
            await first.find("any")
            await asyncio.sleep(0.1)
            assert await second.find("r1") == "v1"
            assert await second.find("r2") == "v2"

        run(check())

    def test_streams_that_begin_afterwards_are_recorded(self):
        async def check():
            store = MemoryStore()
            first, second = await self._two_routers(store)
            store.restore(store.copy())
            await first.find("any")
            assert first.needs_record("v1") and first.needs_record("v2")
            await first.log.record("v1", "r1")
            assert await second.find("r1") == "v1"
            async with asyncio.timeout(5):
                while first.needs_record("v1"):
                    await asyncio.sleep(0.05)
            assert await second.find("unrecorded") == "v1"

        run(check())

    def test_streams_of_the_only_version_go_on(self):
        async def check():
            store = MemoryStore()
            first, second = RouterLog(store, v1=2), RouterLog(store, "v2", v1=2)
            await first.base("v1")
            await second.base("v1")
            await asyncio.sleep(2 * first.versions.lifetime_s)
            store.restore(store.copy())
            assert await second.find("r1") == "v1"
            await asyncio.sleep(0.2)
            assert second.versions.base("llm").era == store.era
            assert not second.needs_record("v1")
            assert await second.find("r1") == "v1"

        run(check())

    def test_a_base_version_that_the_copy_lacks_is_open(self):
        async def check():
            store = MemoryStore()
            first, second = await self._two_routers(store)
            store.restore(({}, 1))
            assert await second.find("r1") is None
            first.era.observe(store.era)
            await asyncio.sleep(0.2)
            assert first.versions.base("llm").state is BaseState.OPEN
            assert await second.find("r1") is None

        run(check())


class TestBaseVersion:
    def test_it_changes_once_no_stream_of_the_old_one_can_be_taken_up(self):
        async def check():
            store = MemoryStore()
            router = RouterLog(store, v1=2)
            await router.base("v1")
            router.set_live(v1=1, v2=1)
            await asyncio.sleep(0.05)
            left_at_s = router.loop.time()
            router.set_live(v2=2)
            await router.base("v2")
            assert router.loop.time() - left_at_s >= router.versions.lifetime_s

        run(check())

    def test_a_keeper_that_met_short_streams_only_waits_for_those_of_others(self):
        # Guards against joined streams: the base changed while streams of the former
        # one still ran, as their deadlines were longer than any that the keeper met.
        async def check():
            store = MemoryStore()
            keeper, reader = RouterLog(store, v1=2), RouterLog(store, "v2", v1=2)
            await keeper.base("v1")
            await reader.base("v1")
            assert not reader.needs_record("v1")
            keeper.set_live(v2=2)
            # A stream that began at v1 just before is taken up after a while.
            await asyncio.sleep(3 * keeper.versions.lifetime_s)
            assert await reader.find("r1") == "v1"

        run(check())

    def test_streams_that_may_outlast_its_retirement_are_recorded(self):
        async def check():
            router = RouterLog(MemoryStore(), v1=2)
            await router.base("v1")
            assert not router.needs_record("v1", MAX_UNRECORDED_S)
            assert router.needs_record("v1", MAX_UNRECORDED_S + 1)

        run(check())

    def test_streams_of_every_version_are_recorded_while_it_retires(self):
        async def check():
            store = MemoryStore()
            keeper, other = RouterLog(store, v1=2), RouterLog(store, "v2", v1=2)
            await keeper.base("v1")
            await other.base("v1")
            keeper.set_live(v2=2)
            async with asyncio.timeout(5):
                while keeper.versions.base("llm").state is not BaseState.RETIRING:
                    await asyncio.sleep(0.01)
            # The version is back at another router first.
            other.set_live(v2=2)
            other.set_live(v1=1, v2=1)
            await other.find("r1")
            assert other.needs_record("v1")

        run(check())

    def test_a_version_that_is_back_stays_the_base(self):
        async def check():
            store = MemoryStore()
            router = RouterLog(store, v1=2)
            await router.base("v1")
            router.set_live(v2=2)
            async with asyncio.timeout(5):
                while router.versions.base("llm").state is not BaseState.RETIRING:
                    await asyncio.sleep(0.01)
            router.set_live(v1=1, v2=1)
            await asyncio.sleep(1.5 * BASE_LIFETIME_S)
            assert router.versions.base("llm") == BaseVersion(version="v1")
            assert not router.needs_record("v1")

        run(check())

    def test_a_router_that_missed_the_change_still_finds_streams(self):
        async def check():
            store = MemoryStore()
            first, second = RouterLog(store, v1=2), RouterLog(store, "v2", v1=2)
            await first.base("v1")
            await second.base("v1")
            second.task.cancel()
            first.set_live(v2=2)
            await first.base("v2")
            second.set_live(v2=2)
            assert await second.find("r1") == "v2"

        run(check())

    def test_a_version_that_returns_is_recorded_until_the_base_was_read(self):
        async def check():
            store = MemoryStore()
            first, second = RouterLog(store, v1=2), RouterLog(store, "v2", v1=2)
            await first.base("v1")
            await second.base("v1")
            second.task.cancel()
            for router in (first, second):
                router.set_live(v2=2)
            await first.base("v2")
            second.set_live(v1=1, v2=1)
            assert second.needs_record("v1")

        run(check())
