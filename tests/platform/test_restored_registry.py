"""The store comes back from an older copy: engines that left stay out, others in."""

import pytest

from citrondock_core.routing.target_directory import TargetDirectory
from citrondock_platform.targets import TargetSink
from citrondock_router.gateway.watched_store import Snapshot, WatchedObject

GRACE_S = 2.0
RESTORED_AT_S = 10.0


def item(name, *, revision=30, state="ready", is_deleted=False):
    value = {
        "service": "s",
        "address": "10.0.0.1:80",
        "zone": "z1",
        "maxBatchSize": 8,
        "state": state,
        "born": 1000,
    }
    return WatchedObject(
        name=name, revision=revision, value=value, is_deleted=is_deleted
    )


OTHERS = [item(name) for name in ("e2", "e3", "e4")]


class Router:
    def __init__(self):
        self.now_s = 0.0
        self.directory = TargetDirectory(grace_s=GRACE_S)
        self.sink = TargetSink(self.directory, lambda change: None, lambda: self.now_s)
        self.sink.listed(Snapshot(objects=[item("e1"), *OTHERS], revision=50, era=1))

    def see(self, changed, *, revision, era=1):
        self.sink.changed(Snapshot(objects=[changed], revision=revision, era=era))

    def see_restored(self, objects):
        self.now_s = RESTORED_AT_S
        self.sink.listed(Snapshot(objects=[*objects, *OTHERS], revision=40, era=2))

    def see_listing(self, objects, *, revision, era):
        self.sink.listed(
            Snapshot(objects=[*objects, *OTHERS], revision=revision, era=era)
        )

    def expire(self, *, after_s):
        self.now_s += after_s
        self.directory.expire(now_s=self.now_s)

    def uses(self, name):
        return name in {entry.target_id for entry in self.directory.usable()}


@pytest.fixture
def router():
    return Router()


class TestEngineThatLeftInTheLostSeconds:
    def test_it_stays_out_when_it_was_draining(self, router):
        router.see(item("e1", revision=52, state="draining"), revision=52)
        router.see_restored([item("e1")])
        assert not router.uses("e1")

    def test_it_stays_out_for_the_grace_when_its_entry_was_removed(self, router):
        router.see(item("e1", revision=52, is_deleted=True), revision=52)
        router.see_restored([item("e1")])
        assert not router.uses("e1")

    def test_it_stays_out_when_the_store_is_lost_again_within_the_grace(self, router):
        router.see(item("e1", revision=52, is_deleted=True), revision=52)
        router.see_restored([item("e1")])
        router.sink.store_lost()
        router.expire(after_s=5 * GRACE_S)
        assert not router.uses("e1")
        router.sink.store_returned()
        router.see_listing([item("e1")], revision=41, era=2)
        assert not router.uses("e1")
        router.expire(after_s=GRACE_S)
        assert router.uses("e1")

    def test_it_stays_out_when_the_store_is_restored_twice(self, router):
        router.see(item("e1", revision=52, is_deleted=True), revision=52)
        router.see_restored([item("e1")])
        router.sink.store_lost()
        router.expire(after_s=GRACE_S)
        router.sink.store_returned()
        router.see_listing([item("e1")], revision=40, era=3)
        assert not router.uses("e1")


class TestEngineThatRegisteredInTheLostSeconds:
    def test_it_is_used_until_it_could_write_again(self, router):
        router.see(item("e9", revision=52), revision=52)
        router.see_restored([item("e1")])
        assert router.uses("e9")
        router.see(item("e9", revision=41), revision=41, era=2)
        router.directory.expire(now_s=RESTORED_AT_S + GRACE_S)
        assert router.uses("e9")
