"""Streams go on only at targets of the software version that began them."""

import asyncio

import pytest
from harness import Client, Harness, ScriptedTarget, event, request, run
from memory_store import MemoryStore
from test_streams import ALL_EVENTS, stream_script

from citrondock_core.routing.store_position import StorePosition
from citrondock_platform.targets import target_entry
from citrondock_router.gateway.watched_store import WatchedObject

BROKEN = stream_script(0, 3, end="reset")
BEGUN = b"".join(event(number) for number in range(3))


class VersionedTarget(ScriptedTarget):
    """A target whose entry names the version of its software."""

    def __init__(self, target_id, script, version):
        super().__init__(target_id, script)
        self.version = version

    @property
    def entry(self):
        value = {
            "service": self.service,
            "address": f"127.0.0.1:{self.port}",
            "zone": "z1",
            "version": self.version,
            "maxBatchSize": 8,
            "state": "ready",
        }
        item = WatchedObject(name=self.target_id, revision=1, value=value)
        return target_entry(item)


def list_targets(harness, targets, revision):
    entries = [target.entry for target in targets]
    position = StorePosition(0, revision)
    change = harness.process.directory.replace(entries, position=position, now_s=0)
    harness.gateway.targets_changed(change)


async def base_known(harness):
    """Wait until the gateway knows the base version of the service."""
    async with asyncio.timeout(10):
        while harness.process.stream_versions.versions.base("app") is None:
            await asyncio.sleep(0.02)


async def stalled_or_broken(got, writer):
    """Stall plain requests, and break off streams."""
    if "/safe/" in got.first_line:
        await asyncio.sleep(20)
    await BROKEN(got, writer)


class Rollout:
    """A gateway that has begun at v1 and now has the targets of a rollout to v2."""

    def __init__(self, script=BROKEN, *, keeps_old=False, spare_retries=0):
        self.keeps_old = keeps_old
        self.spare_retries = spare_retries
        self.store = MemoryStore()
        self.old = VersionedTarget("t1", stalled_or_broken, "v1")
        self.new = VersionedTarget("t2", script, "v2")

    async def __aenter__(self):
        self.harness = Harness(
            [self.old], store=self.store, spare_retries=self.spare_retries
        )
        await self.harness.__aenter__()
        await base_known(self.harness)
        await self.new.start()
        targets = [self.old, self.new] if self.keeps_old else [self.new]
        list_targets(self.harness, targets, revision=2)
        return self

    async def __aexit__(self, *error):
        await self.harness.__aexit__(*error)
        self.new.stop()


class TestWithinOneAnswer:
    @pytest.mark.parametrize("version", ["v1", "v2"])
    def test_a_broken_stream_goes_on_only_at_its_version(self, version):
        async def check():
            targets = [
                VersionedTarget("t1", BROKEN, "v1"),
                VersionedTarget("t2", BROKEN, version),
            ]
            async with Harness(targets) as harness:
                reply = await harness.get("/resumable/x")
            assert (reply.body, reply.is_complete) == (ALL_EVENTS, True)
            receivers = [target for target in targets if target.received]
            assert len({target.version for target in receivers}) == 1

        run(check())


class TestStreamsTakenUpByClients:
    @pytest.mark.parametrize("version", ["v1", "v2"])
    def test_a_stream_goes_on_only_at_the_version_that_began_it(self, version):
        async def check():
            old = VersionedTarget("t1", BROKEN, "v1")
            new = VersionedTarget("t2", BROKEN, version)
            async with Harness([old], spare_retries=0) as harness:
                await base_known(harness)
                first = await harness.get("/resumable/x", "r1")
                assert (first.body, first.is_complete) == (BEGUN, False)
                await new.start()
                list_targets(harness, [new], revision=2)
                headers = {"Last_Event_Id": 2, "Resumes": "r1"}
                reply = await harness.get("/resumable/x", "r2", **headers)
            new.stop()
            if version == "v1":
                assert BEGUN + reply.body == ALL_EVENTS
            else:
                assert reply.status == 503
                assert not new.received

        run(check())

    def test_a_stream_goes_on_after_all_routers_have_restarted(self):
        async def check():
            async with Rollout() as rollout:
                first = await rollout.harness.get("/resumable/x", "r1")
                assert (first.body, first.is_complete) == (BEGUN, False)
            await rollout.new.start()
            store = rollout.store
            async with Harness([rollout.new], store=store, vm_name="v2") as harness:
                headers = {"Last_Event_Id": 2, "Resumes": "r1"}
                reply = await harness.get("/resumable/x", "r2", **headers)
                assert BEGUN + reply.body == ALL_EVENTS
                headers = {"Last_Event_Id": 2, "Resumes": "begun-at-v1"}
                reply = await harness.get("/resumable/x", "r3", **headers)
                assert reply.status == 503

        run(check())


class TestRouterOutOfStep:
    def test_a_stream_of_a_version_that_it_has_not_heard_of_is_refused(self):
        # Guards against joined streams: the operators' report of issue 57.
        async def check():
            async with Rollout() as rollout:
                door = rollout.store.door()
                other = VersionedTarget("t3", stream_script(0, 6), "v1")
                async with Harness([other], store=door, vm_name="v2") as late:
                    await base_known(late)
                    door.is_closed = True
                    first = await rollout.harness.get("/resumable/x", "r1")
                    assert (first.body, first.is_complete) == (BEGUN, False)
                    headers = {"Last_Event_Id": 2, "Resumes": "r1"}
                    reply = await late.get("/resumable/x", "r2", **headers)
                    assert reply.status == 503
                    assert not other.received

        run(check())

    def test_a_stream_that_it_passed_on_itself_goes_on(self):
        async def check():
            old = VersionedTarget("t1", BROKEN, "v1")
            async with Harness([old], spare_retries=0) as harness:
                await base_known(harness)
                await harness.get("/resumable/x", "r1")
                harness.store.is_down = True
                headers = {"Last_Event_Id": 2, "Resumes": "r1"}
                reply = await harness.get("/resumable/x", "r2", **headers)
                assert BEGUN + reply.body == ALL_EVENTS
                headers = {"Last_Event_Id": 2, "Resumes": "begun-elsewhere"}
                reply = await harness.get("/resumable/x", "r3", **headers)
                assert reply.status == 503

        run(check())


class TestRecordsBeforeTheFirstEvent:
    def test_no_event_is_passed_on_before_its_version_is_recorded(self):
        async def check():
            async with Rollout(stream_script(0, 6)) as rollout:
                rollout.store.may_write.clear()
                client = await Client.connect(rollout.harness.port)
                client.writer.write(request("/resumable/x"))
                reading = asyncio.ensure_future(client.read())
                await asyncio.sleep(0.2)
                assert rollout.new.received
                assert not client.reader._buffer and not reading.done()
                rollout.store.may_write.set()
                reply = await reading
                assert (reply.body, reply.is_complete) == (ALL_EVENTS, True)
                client.writer.close()

        run(check())

    def test_nothing_is_written_for_a_client_that_left_meanwhile(self):
        async def check():
            async with Rollout(stream_script(0, 6)) as rollout:
                rollout.store.may_write.clear()
                client = await Client.connect(rollout.harness.port)
                client.writer.write(request("/resumable/x"))
                await asyncio.sleep(0.2)
                assert rollout.new.received
                client.writer.close()
                await asyncio.sleep(0.1)
                assert rollout.harness.gateway.live_count == 0
                rollout.store.may_write.set()
                await asyncio.sleep(0.1)
                reply = await rollout.harness.get("/resumable/x", "r2")
                assert (reply.body, reply.is_complete) == (ALL_EVENTS, True)

        run(check())

    def test_a_write_that_failed_may_have_left_a_record(self):
        async def check():
            script = stream_script(0, 6)
            async with Rollout(script, keeps_old=True, spare_retries=20) as rollout:
                # The old target has one request, so that the new one is preferred.
                harness = rollout.harness
                busy = asyncio.ensure_future(harness.get("/safe/x", "busy"))
                await asyncio.sleep(0.1)
                rollout.store.is_down = True
                await harness.get("/resumable/x", "r1")
                busy.cancel()
                assert [got.request_id for got in rollout.new.received] == ["r1"]
                assert [got.request_id for got in rollout.old.received] == ["busy"]

        run(check())

    def test_without_the_store_no_stream_of_the_new_version_begins(self):
        async def check():
            async with Rollout(stream_script(0, 6)) as rollout:
                rollout.store.is_down = True
                for number in range(3):
                    reply = await rollout.harness.get("/resumable/x", f"r{number}")
                    assert reply.status in (502, 503)
                    assert reply.body == b""
                assert len(rollout.new.received) == 1

        run(check())
