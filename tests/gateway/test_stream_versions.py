"""Streams go on only at targets of the software version that began them."""

import pytest
from harness import Harness, ScriptedTarget, event, run
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
            if version == "v1":
                assert (reply.body, reply.is_complete) == (ALL_EVENTS, True)
            else:
                assert (reply.body, reply.is_complete) == (BEGUN, False)
                assert sum(len(target.received) for target in targets) == 1

        run(check())


class TestStreamsTakenUpByClients:
    @pytest.mark.parametrize("version", ["v1", "v2"])
    def test_a_stream_goes_on_only_at_the_version_that_began_it(self, version):
        async def check():
            old = VersionedTarget("t1", BROKEN, "v1")
            new = VersionedTarget("t2", BROKEN, version)
            async with Harness([old], spare_retries=0) as harness:
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
