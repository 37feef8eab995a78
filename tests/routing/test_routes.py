"""Tests of the route table, the active configuration and the target directory."""

import attrs

from citrondock_core.routing.route import (
    ClientLimits,
    Route,
    RouteKind,
    RoutingConfiguration,
    ServiceShare,
)
from citrondock_core.routing.route_table import ConfigurationHolder, RouteTable
from citrondock_core.routing.store_position import StorePosition
from citrondock_core.routing.target_directory import (
    UNEXPLAINED_GRACE_S,
    TargetDirectory,
)
from citrondock_core.routing.target_entry import TargetEntry


def route(prefix="/a/", host="h.example", **fields):
    defaults = {
        "name": prefix,
        "host": host,
        "path_prefix": prefix,
        "kind": RouteKind.IDEMPOTENT,
        "shares": (ServiceShare("s", 1),),
        "timeout_s": 1.0,
        "first_answer_target_s": 0.2,
        "max_pause_s": 0.3,
        "max_attempts": 2,
        "is_public": True,
    }
    return Route(**{**defaults, **fields})


def configuration(version, routes=()):
    limits = ClientLimits(
        max_header_bytes=1, max_body_bytes=1, header_timeout_s=1, idle_timeout_s=1
    )
    return RoutingConfiguration(
        version=version,
        routes=tuple(routes),
        services={},
        limits=limits,
        account_by_key=None,
    )


def entry(target_id, **fields):
    defaults = {
        "target_id": target_id,
        "service": "s",
        "host": "10.0.0.1",
        "port": 80,
        "availability_zone": "z",
        "max_concurrency": 4,
        "is_leaving": False,
    }
    return TargetEntry(**{**defaults, **fields})


class TestRouteTable:
    def test_the_longest_prefix_wins(self):
        table = RouteTable([route("/"), route("/a/"), route("/a/b/")])
        assert table.match("h.example", "/a/b/c").path_prefix == "/a/b/"
        assert table.match("h.example", "/a/bc").path_prefix == "/a/"
        assert table.match("h.example", "/x").path_prefix == "/"

    def test_a_prefix_matches_whole_path_segments_only(self):
        table = RouteTable([route("/a/")])
        assert table.match("h.example", "/a") is None
        assert table.match("h.example", "/ab/c") is None
        assert table.match("other.example", "/a/b") is None


class TestServiceShares:
    def test_requests_are_split_by_weight_and_by_id(self):
        split = route(shares=(ServiceShare("x", 90), ServiceShare("y", 10)))
        chosen = [split.service_for(f"r{number}") for number in range(2000)]
        assert 120 < chosen.count("y") < 280
        assert chosen == [split.service_for(f"r{number}") for number in range(2000)]

    def test_a_service_of_weight_zero_gets_no_requests(self):
        split = route(shares=(ServiceShare("x", 0), ServiceShare("y", 5)))
        assert {split.service_for(f"r{n}") for n in range(500)} == {"y"}


class TestConfigurationHolder:
    def test_only_a_newer_configuration_is_activated(self):
        holder = ConfigurationHolder()
        assert holder.activate_if_newer(configuration(3, [route("/new/")]))
        assert not holder.activate_if_newer(configuration(2))
        assert not holder.activate_if_newer(configuration(3))
        assert holder.active.table.match("h.example", "/new/x") is not None

    def test_versions_are_compared_as_numbers(self):
        holder = ConfigurationHolder()
        holder.activate_if_newer(configuration(9))
        assert holder.activate_if_newer(configuration(10))


class TestTargetDirectory:
    def test_a_deleted_target_is_removed_at_once(self):
        directory = TargetDirectory(grace_s=2)
        directory.replace(
            [entry("a"), entry("b"), entry("c")], position=StorePosition(0, 1), now_s=0
        )
        change = directory.apply(
            put=(), deleted=["a"], position=StorePosition(0, 2), now_s=5
        )
        assert [removed.target_id for removed in change.removed] == ["a"]

    def test_a_leaving_target_is_not_usable(self):
        directory = TargetDirectory(grace_s=2)
        directory.replace(
            [entry("a"), entry("b")], position=StorePosition(0, 1), now_s=0
        )
        leaving = entry("a", is_leaving=True)
        directory.apply(
            put=[leaving], deleted=(), position=StorePosition(0, 2), now_s=1
        )
        assert [usable.target_id for usable in directory.usable("s")] == ["b"]

    def test_entries_missing_after_an_outage_are_kept_for_the_grace_period(self):
        directory = TargetDirectory(grace_s=2)
        directory.replace(
            [entry("a"), entry("b"), entry("c")], position=StorePosition(0, 1), now_s=0
        )
        directory.registry_recovered(now_s=10)
        directory.replace(
            [entry("b"), entry("c")], position=StorePosition(0, 9), now_s=10
        )
        assert len(directory.usable("s")) == 3
        assert directory.expire(now_s=11.9).removed == ()
        expired = directory.expire(now_s=12.1).removed
        assert [removed.target_id for removed in expired] == ["a"]

    def test_a_target_that_registers_again_within_the_grace_period_stays(self):
        directory = TargetDirectory(grace_s=2)
        directory.replace([entry("a")], position=StorePosition(0, 1), now_s=0)
        directory.registry_recovered(now_s=10)
        directory.replace([], position=StorePosition(0, 9), now_s=10)
        directory.apply(
            put=[entry("a")], deleted=(), position=StorePosition(0, 11), now_s=11
        )
        assert directory.expire(now_s=20).removed == ()

    def test_a_leaving_target_gets_no_grace_period(self):
        directory = TargetDirectory(grace_s=2)
        directory.replace(
            [entry("a", is_leaving=True)], position=StorePosition(0, 1), now_s=0
        )
        directory.registry_recovered(now_s=10)
        change = directory.replace([], position=StorePosition(0, 2), now_s=10)
        assert [removed.target_id for removed in change.removed] == ["a"]

    def directory_without_most_targets(self):
        directory = TargetDirectory(grace_s=2)
        entries = [entry(name) for name in "abcd"]
        directory.replace(entries, position=StorePosition(0, 1), now_s=0)
        directory.apply(
            put=(), deleted=["a", "b", "c"], position=StorePosition(0, 2), now_s=5
        )
        assert len(directory.usable("s")) == 4
        return directory

    def test_most_targets_missing_at_once_are_kept_for_a_moment_without_an_outage(self):
        directory = self.directory_without_most_targets()
        directory.expire(now_s=4.9 + UNEXPLAINED_GRACE_S)
        assert len(directory.usable("s")) == 4
        directory.expire(now_s=5.1 + UNEXPLAINED_GRACE_S)
        assert len(directory.usable("s")) == 1

    def test_they_are_kept_for_the_grace_period_if_an_outage_becomes_known(self):
        directory = self.directory_without_most_targets()
        directory.registry_recovered(now_s=5.2)
        directory.expire(now_s=7.1)
        assert len(directory.usable("s")) == 4
        directory.expire(now_s=7.3)
        assert len(directory.usable("s")) == 1

    def test_a_later_outage_does_not_keep_them(self):
        directory = self.directory_without_most_targets()
        directory.expire(now_s=5.1 + UNEXPLAINED_GRACE_S)
        directory.registry_recovered(now_s=6)
        assert len(directory.usable("s")) == 1

    def test_an_outage_does_not_extend_the_grace_of_an_earlier_one(self):
        directory = TargetDirectory(grace_s=2)
        directory.replace([entry("a")], position=StorePosition(0, 1), now_s=0)
        directory.registry_recovered(now_s=10)
        directory.replace([], position=StorePosition(0, 9), now_s=10)
        directory.registry_recovered(now_s=11)
        directory.expire(now_s=12.1)
        assert directory.usable("s") == []

    def test_a_target_with_a_new_start_is_another_incarnation(self):
        first = entry("a", started_at_ms=1)
        assert attrs.evolve(first, started_at_ms=2).is_other_incarnation_of(first)
        assert not attrs.evolve(first, is_leaving=True).is_other_incarnation_of(first)
