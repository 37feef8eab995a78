"""Evacuations hold through outages and returns of the store."""

from citrondock_core.routing.store_position import StorePosition
from citrondock_core.routing.zone_evacuations import ZoneEvacuations

GRACE_S = 2.2


def evacuations(*zones, era=1):
    known = ZoneEvacuations(grace_s=GRACE_S)
    known.replace(zones, position=StorePosition(era, 10), now_s=0.0)
    return known


class TestZoneEvacuations:
    def test_changes_begin_and_end_evacuations(self):
        known = evacuations("a")
        known.apply(put=["b"], deleted=["a"], position=StorePosition(1, 12))
        assert known.zones == {"b"}

    def test_a_listing_after_an_outage_is_taken_as_it_is(self):
        known = evacuations("a", "b")
        known.replace(["b"], position=StorePosition(1, 20), now_s=9.0)
        assert known.zones == {"b"}

    def test_one_that_a_restored_store_lacks_holds_until_it_is_written_again(self):
        known = evacuations("a")
        known.replace([], position=StorePosition(2, 5), now_s=9.0)
        assert known.zones == {"a"}
        known.expire(now_s=9.0 + GRACE_S - 0.1)
        assert known.zones == {"a"}
        known.apply(put=["a"], deleted=[], position=StorePosition(2, 6))
        known.expire(now_s=99.0)
        assert known.zones == {"a"}

    def test_one_that_is_not_written_again_ends(self):
        known = evacuations("a")
        known.replace([], position=StorePosition(2, 5), now_s=9.0)
        known.expire(now_s=9.0 + GRACE_S)
        assert known.zones == frozenset()

    def test_one_that_ends_within_the_grace_ends_at_once(self):
        known = evacuations("a")
        known.replace([], position=StorePosition(2, 5), now_s=9.0)
        known.apply(put=[], deleted=["a"], position=StorePosition(2, 6))
        assert known.zones == frozenset()

    def test_changes_of_another_era_wait_for_a_listing(self):
        known = evacuations("a")
        known.apply(put=["b"], deleted=["a"], position=StorePosition(2, 12))
        assert known.zones == {"a"}

    def test_two_zones_may_be_evacuated_at_once(self):
        known = evacuations("a")
        known.apply(put=["b"], deleted=[], position=StorePosition(1, 12))
        assert known.zones == {"a", "b"}
