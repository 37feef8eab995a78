"""Evacuations and warm-ups are read from the platform's store."""

import pytest

from citrondock_core.routing.target_directory import TargetDirectory
from citrondock_core.routing.warm_up import WarmUpOptions, WarmUps
from citrondock_core.routing.zone_evacuations import ZoneEvacuations
from citrondock_platform.configuration import routing_configuration
from citrondock_platform.targets import TargetSink
from citrondock_router.gateway.evacuation_sink import EvacuationSink
from citrondock_router.gateway.watched_store import Snapshot, WatchedObject


def snapshot(*objects, revision=5, era=1):
    return Snapshot(objects=objects, revision=revision, era=era)


def evacuation(zone, revision=5, value=None, is_deleted=False):
    return WatchedObject(
        name=zone,
        revision=revision,
        value=value,
        is_deleted=is_deleted,
        problem="" if value is not None else "not JSON",
    )


class TestEvacuationSink:
    def setup_method(self):
        self.seen = []
        self.known = ZoneEvacuations(grace_s=2.0)
        self.sink = EvacuationSink(
            self.known, lambda: self.seen.append(self.known.zones), lambda: 0.0
        )

    def test_zones_are_named_by_objects_whatever_they_hold(self):
        self.sink.listed(snapshot(evacuation("z1", value={}), evacuation("z2")))
        assert self.seen == [{"z1", "z2"}]

    def test_the_last_of_several_changes_of_a_zone_counts(self):
        self.sink.listed(snapshot())
        changes = [
            evacuation("z1", 6, {}),
            evacuation("z1", 7, is_deleted=True),
            evacuation("z2", 8, is_deleted=True),
            evacuation("z2", 9, {}),
        ]
        self.sink.changed(snapshot(*changes, revision=9))
        assert self.seen[-1] == {"z2"}

    def test_they_hold_while_the_store_is_away(self):
        self.sink.listed(snapshot(evacuation("z1", value={})))
        self.sink.store_lost()
        self.sink.store_returned()
        assert self.known.zones == {"z1"}


def entry(**fields):
    return {
        "service": "llm",
        "address": "10.0.0.1:80",
        "zone": "z1",
        "maxBatchSize": 4,
        "state": "ready",
        **fields,
    }


class TestWarmUpInEntries:
    def setup_method(self):
        self.warm_ups = WarmUps()
        options = WarmUpOptions(requests_per_s=10.0, expected_s=3.0)
        self.warm_ups.set_options({"i-1": options})
        self.directory = TargetDirectory(grace_s=2.0)
        self.sink = TargetSink(
            self.directory, lambda change: None, lambda: 100.0, self.warm_ups
        )

    def list_entry(self, fields, revision=5):
        item = WatchedObject(name="i-1", revision=revision, value=fields)
        self.sink.listed(snapshot(item, revision=revision))

    def test_an_entry_tells_how_long_its_target_is_cold(self):
        self.list_entry(entry(warmupLeftMs=2500))
        assert self.warm_ups.requests_per_s("i-1", now_s=102.4) == 10.0
        assert self.warm_ups.requests_per_s("i-1", now_s=102.5) is None

    def test_without_the_field_it_is_warm(self):
        self.list_entry(entry())
        assert self.warm_ups.requests_per_s("i-1", now_s=100.0) is None

    @pytest.mark.parametrize("left_ms", [-1, 10**9, "3", None, True, [], float("nan")])
    def test_an_entry_with_an_odd_warm_up_names_no_target(self, left_ms):
        self.list_entry(entry(warmupLeftMs=left_ms))
        assert self.directory.get("i-1") is None
        self.list_entry(entry(), revision=6)
        assert self.directory.get("i-1") is not None


class TestWarmUpInConfigurations:
    def services(self, **fields):
        return routing_configuration(
            {
                "version": 1,
                "routes": [],
                "services": [{"name": "s", **fields}],
                "limits": {
                    "maxHeaderBytes": 1,
                    "maxBodyBytes": 1,
                    "headerTimeoutMs": 1,
                    "idleTimeoutMs": 1,
                },
            }
        ).services

    def test_a_service_may_name_what_its_cold_targets_bear(self):
        service = self.services(warmupS=3.0, warmupPerS=10.0)["s"]
        assert service.warm_up == WarmUpOptions(requests_per_s=10.0, expected_s=3.0)

    @pytest.mark.parametrize("fields", [{}, {"warmupS": 0.0, "warmupPerS": 0.0}])
    def test_others_start_warm(self, fields):
        assert self.services(**fields)["s"].warm_up is None
