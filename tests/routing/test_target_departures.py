"""Targets leave by their own word, or by that of a router whose registry is ahead."""

import attrs

from citrondock_core.routing.store_position import StorePosition
from citrondock_core.routing.target_departure import (
    MAX_REPORTED,
    REPORT_S,
    RecentDepartures,
    TargetDeparture,
)
from citrondock_core.routing.target_directory import TargetDirectory
from citrondock_core.routing.target_entry import TargetEntry

ENTRY = TargetEntry(
    target_id="e1",
    service="llm",
    host="10.0.0.1",
    port=1,
    availability_zone="z1",
    max_concurrency=8,
    is_leaving=False,
    started_at_ms=1000,
)
OTHER = attrs.evolve(ENTRY, target_id="e2", port=2)
THIRD = attrs.evolve(ENTRY, target_id="e3", port=3)
OWN_WORD = TargetDeparture(
    target_id="e1", started_at_ms=1000, registry_revision=None, age_s=0.0
)


def known(revision=5):
    directory = TargetDirectory(grace_s=2.0)
    directory.replace(
        [ENTRY, OTHER, THIRD], position=StorePosition(0, revision), now_s=0.0
    )
    return directory


def usable_ids(directory):
    return sorted(entry.target_id for entry in directory.usable())


class TestTargetThatSaysItLeaves:
    def test_it_is_not_usable_any_more(self):
        directory = known()
        change = directory.depart(OWN_WORD)
        assert [entry.is_leaving for entry in change.changed] == [True]
        assert usable_ids(directory) == ["e2", "e3"]
        assert directory.depart(OWN_WORD).changed == ()

    def test_a_later_entry_of_the_same_incarnation_does_not_bring_it_back(self):
        directory = known()
        directory.depart(OWN_WORD)
        directory.apply(
            put=[ENTRY], deleted=[], position=StorePosition(0, 9), now_s=1.0
        )
        assert usable_ids(directory) == ["e2", "e3"]
        directory.apply(
            put=[], deleted=["e1"], position=StorePosition(0, 10), now_s=2.0
        )
        directory.apply(
            put=[ENTRY], deleted=[], position=StorePosition(0, 11), now_s=3.0
        )
        assert usable_ids(directory) == ["e2", "e3"]

    def test_the_registry_of_another_router_does_not_overrule_it(self):
        directory = known()
        directory.depart(OWN_WORD)
        directory.depart(attrs.evolve(OWN_WORD, registry_revision=8))
        directory.apply(
            put=[ENTRY], deleted=[], position=StorePosition(0, 9), now_s=1.0
        )
        assert usable_ids(directory) == ["e2", "e3"]

    def test_its_next_incarnation_is_used(self):
        directory = known()
        directory.depart(OWN_WORD)
        again = attrs.evolve(ENTRY, started_at_ms=2000)
        directory.apply(
            put=[again], deleted=[], position=StorePosition(0, 9), now_s=1.0
        )
        assert usable_ids(directory) == ["e1", "e2", "e3"]
        assert directory.depart(OWN_WORD).changed == ()

    def test_it_is_used_once_its_entry_says_leaving_and_then_ready(self):
        directory = known()
        directory.depart(OWN_WORD)
        leaving = attrs.evolve(ENTRY, is_leaving=True)
        directory.apply(
            put=[leaving], deleted=[], position=StorePosition(0, 8), now_s=1.0
        )
        assert usable_ids(directory) == ["e2", "e3"]
        directory.apply(
            put=[ENTRY], deleted=[], position=StorePosition(0, 9), now_s=2.0
        )
        assert usable_ids(directory) == ["e1", "e2", "e3"]


class TestDepartureInTheRegistryOfAnotherRouter:
    def departure(self, revision):
        return attrs.evolve(OWN_WORD, registry_revision=revision)

    def test_a_router_whose_registry_is_behind_believes_it(self):
        directory = known(revision=5)
        directory.depart(self.departure(6))
        assert usable_ids(directory) == ["e2", "e3"]

    def test_a_router_whose_registry_is_ahead_does_not(self):
        directory = known(revision=7)
        assert directory.depart(self.departure(6)).changed == ()
        assert usable_ids(directory) == ["e1", "e2", "e3"]

    def test_it_ends_the_grace_of_an_entry_that_is_missing_after_an_outage(self):
        directory = known(revision=5)
        directory.registry_recovered(now_s=10.0)
        directory.replace([OTHER, THIRD], position=StorePosition(0, 9), now_s=10.0)
        assert "e1" in usable_ids(directory)
        directory.depart(self.departure(6))
        assert usable_ids(directory) == ["e2", "e3"]

    def test_a_newer_entry_brings_the_target_back(self):
        directory = known(revision=5)
        directory.depart(self.departure(6))
        directory.apply(
            put=[ENTRY], deleted=[], position=StorePosition(0, 7), now_s=1.0
        )
        assert usable_ids(directory) == ["e1", "e2", "e3"]


class TestRecentDepartures:
    def test_each_is_news_once(self):
        recent = RecentDepartures()
        assert recent.record(OWN_WORD, now_s=0.0)
        assert not recent.record(attrs.evolve(OWN_WORD, age_s=0.1), now_s=0.2)

    def test_the_same_target_may_depart_again_at_a_later_revision(self):
        recent = RecentDepartures()
        first = attrs.evolve(OWN_WORD, registry_revision=6)
        assert recent.record(first, now_s=0.0)
        assert not recent.record(attrs.evolve(first, registry_revision=5), now_s=0.0)
        assert recent.record(attrs.evolve(first, registry_revision=8), now_s=0.0)

    def test_a_lower_revision_of_a_newer_era_is_news(self):
        recent = RecentDepartures()
        first = attrs.evolve(OWN_WORD, registry_revision=60, registry_era=1)
        assert recent.record(first, now_s=0.0)
        later = attrs.evolve(first, registry_revision=45, registry_era=2)
        assert recent.record(later, now_s=0.0)
        assert not recent.record(first, now_s=0.0)
        assert recent.reports(now_s=0.0) == [later]

    def test_old_ones_are_not_reported(self):
        recent = RecentDepartures()
        recent.record(attrs.evolve(OWN_WORD, age_s=REPORT_S - 1), now_s=0.0)
        assert len(recent.reports(now_s=0.5)) == 1
        assert recent.reports(now_s=1.5) == []

    def test_a_report_holds_the_newest(self):
        recent = RecentDepartures()
        for number in range(MAX_REPORTED + 5):
            departure = attrs.evolve(OWN_WORD, target_id=f"e{number}")
            recent.record(departure, now_s=number / 100)
        reports = recent.reports(now_s=1.0)
        assert len(reports) == MAX_REPORTED
        assert reports[0].target_id == f"e{MAX_REPORTED + 4}"
