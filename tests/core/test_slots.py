import attrs
from hypothesis import given, settings
from hypothesis import strategies as st

from citrondock_core.borrowed_slots import BorrowedSlotTable
from citrondock_core.concurrency_limit import ConcurrencyLimit
from citrondock_core.configuration import Target
from citrondock_core.messages import InFlight, Member, SlotGrant, SlotReturn
from citrondock_core.rendezvous import choose, choose_member
from citrondock_core.target_slots import LentSlots, TargetSlots

GRANT = SlotGrant(grant_id="1.1", target="t", pool="p", slot_count=3, ttl_s=1.0)


def lent_slots():
    target = Target(
        name="t",
        availability_zone="zone-1",
        host="127.0.0.1",
        port=9000,
        max_in_flight=8,
    )
    slots = TargetSlots(target, "p")
    slots.lend("1.1", LentSlots(vm_name="r", account="a", slot_count=3, lent_at_s=0.0))
    return slots


class TestTargetSlots:
    @settings(derandomize=True)
    @given(st.lists(st.integers(0, 3)))
    def test_returns_in_any_order_count_as_their_maximum(self, returned_counts):
        slots = lent_slots()
        for count in returned_counts:
            slots.take_back(
                SlotReturn(grant_id="1.1", target="t", returned_count=count)
            )

        assert slots.free_count(1.0) == 5 + max(returned_counts, default=0)

    def test_report_recovers_slots_of_a_lost_return(self):
        slots = lent_slots()
        report = InFlight(target="t", in_flight_count=1, sequence=1)
        slots.merge_in_flight("r", report, now_s=1.0)
        before = slots.free_count(1.0)
        later = InFlight(target="t", in_flight_count=1, sequence=2)
        slots.merge_in_flight("r", later, now_s=10.0)

        assert (before, slots.free_count(10.0)) == (5, 7)

    def test_new_home_learns_from_reports_and_drops_late_ones(self):
        slots = lent_slots()
        slots.forget_lent()
        for count, sequence in ((4, 2), (1, 1)):
            report = InFlight(target="t", in_flight_count=count, sequence=sequence)
            slots.merge_in_flight("r", report, now_s=5.0)

        assert slots.free_count(5.0) == 4

    def test_grant_is_dropped_when_its_borrower_never_reports(self):
        without_report, with_report = lent_slots(), lent_slots()
        report = InFlight(target="t", in_flight_count=3, sequence=1)
        with_report.merge_in_flight("r", report, now_s=8.0)
        for slots in (without_report, with_report):
            slots.drop_unreported(now_s=10.0)

        assert (without_report.free_count(10.0), with_report.free_count(10.0)) == (8, 5)

    def test_grants_above_a_lowered_limit_are_recalled_once(self):
        slots = lent_slots()
        slots.limit.observe_load(running_count=1, queued_count=2, now_s=1.0)

        assert [grant_id for grant_id, _ in slots.recall()] == ["1.1"]
        assert slots.recall() == []

    def test_slots_lent_to_a_gone_router_are_taken_back(self):
        slots = lent_slots()
        slots.keep_borrowers({"other"})

        assert slots.free_count(0.0) == 8


class TestBorrowedSlotTable:
    def test_duplicate_grant_counts_once(self):
        table = BorrowedSlotTable()
        table.accept("home", GRANT, now_s=0.0)
        table.accept("home", GRANT, now_s=0.1)

        assert table.slot_count == 3

    def test_recall_ends_a_grant_in_any_order(self):
        recall = attrs.evolve(GRANT, ttl_s=0.0)
        for messages in ((GRANT, recall), (recall, GRANT)):
            table = BorrowedSlotTable()
            for message in messages:
                table.accept("home", message, now_s=0.0)
            (block,) = table.all_idle()

            assert block.deadline_s == 0.0

    def test_late_duplicate_of_a_returned_grant_is_ignored(self):
        table = BorrowedSlotTable()
        block = table.accept("home", GRANT, now_s=0.0)
        message = table.give_back(block, 3)
        table.accept("home", GRANT, now_s=0.1)

        assert message.unused
        assert table.slot_count == 0


class TestConcurrencyLimit:
    def test_limit_never_exceeds_max_count(self):
        limit = ConcurrencyLimit(8)
        for second in range(100):
            limit.observe_first_token(0.1, in_flight_count=20, now_s=second)

        assert limit.count == 8

    def test_limit_falls_to_what_the_target_runs(self):
        limit = ConcurrencyLimit(64)
        limit.observe_load(running_count=5, queued_count=27, now_s=0.0)

        assert limit.count == 5

    def test_limit_falls_while_first_tokens_are_late(self):
        limit = ConcurrencyLimit(16)
        limit.observe_first_token(0.1, in_flight_count=1, now_s=0.0)
        for second in range(1, 60):
            limit.observe_first_token(2.0, in_flight_count=8, now_s=second)

        assert limit.count == 1

    def test_late_first_tokens_from_before_a_decrease_lower_the_limit_once(self):
        limit = ConcurrencyLimit(24)
        limit.observe_first_token(0.1, in_flight_count=1, now_s=0.0)
        for tenth in range(100):
            now_s = 10.0 + tenth / 10
            limit.observe_first_token(now_s, in_flight_count=24, now_s=now_s)

        assert limit.count >= 22


class TestRendezvous:
    @settings(derandomize=True)
    @given(st.sets(st.text(min_size=1), min_size=2), st.text())
    def test_only_keys_of_a_removed_name_move(self, names, key):
        first = choose(key, names)
        gone = min(names - {first})

        assert choose(key, names - {gone}) == first

    def test_members_of_the_same_zone_are_preferred(self):
        members = [
            Member(vm_name=f"r-{zone}", availability_zone=zone, incarnation=1)
            for zone in "ab"
        ]

        assert choose_member("key", "b", members) == "r-b"
        assert choose_member("key", "c", members) in {"r-a", "r-b"}
