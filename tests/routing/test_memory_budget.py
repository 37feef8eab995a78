"""Which bytes are released, and which requests refused, when memory is short."""

import pytest

from citrondock_core.routing.memory_budget import (
    PROCESS_RESERVE_BYTES,
    SMALL_REQUEST_BYTES,
    MemoryBudget,
    MemoryHolder,
)

KB = 1024
LARGE = 2 * SMALL_REQUEST_BYTES


class Holder(MemoryHolder):
    def __init__(self, budget, owner, progressed_at_s):
        self.budget = budget
        self._owner, self._progressed_at_s = owner, progressed_at_s
        self.held = self.kept = 0
        self.is_released = False

    def hold(self, byte_count, kept=0):
        self.held, self.kept = byte_count, kept
        self.budget.hold(self, byte_count, kept_bytes=kept)

    @property
    def owner(self):
        return self._owner

    @property
    def is_releasable(self):
        return self.held > self.kept

    @property
    def progressed_at_s(self):
        return self._progressed_at_s

    def release(self):
        self.is_released = True
        self.hold(self.kept, self.kept)


class TestMemoryBudget:
    def test_nothing_is_released_within_the_limit(self):
        budget = MemoryBudget(100 * KB)
        holders = [Holder(budget, "a", n) for n in range(4)]
        for holder in holders:
            holder.hold(25 * KB)
        assert not any(holder.is_released for holder in holders)
        assert budget.held_bytes == 100 * KB

    def test_the_body_without_progress_for_longest_is_released(self):
        budget = MemoryBudget(100 * KB)
        holders = [Holder(budget, "a", age) for age in (5, 2, 9, 7, 8)]
        for holder in holders:
            holder.hold(21 * KB)
        released = [holder.progressed_at_s for holder in holders if holder.is_released]
        assert released == [2]
        assert budget.held_bytes <= 100 * KB

    def test_an_owner_with_few_bytes_is_spared(self):
        budget = MemoryBudget(100 * KB)
        small = Holder(budget, "small", 0)
        small.hold(20 * KB)
        crowd = [Holder(budget, "crowd", 100 + n) for n in range(5)]
        for holder in crowd:
            holder.hold(20 * KB)
        assert not small.is_released
        assert crowd[0].is_released

    def test_complete_requests_are_never_released(self):
        budget = MemoryBudget(100 * KB)
        holders = [Holder(budget, "a", n) for n in range(6)]
        for holder in holders:
            holder.hold(20 * KB, kept=20 * KB)
        assert not any(holder.is_released for holder in holders)

    def test_a_large_request_is_refused_before_small_ones(self):
        budget = MemoryBudget(8 * LARGE)
        Holder(budget, "a", 0).hold(6 * LARGE, kept=6 * LARGE)
        Holder(budget, "b", 0).hold(LARGE, kept=LARGE)
        assert not budget.may_keep(LARGE)
        assert budget.may_keep(KB)
        assert budget.refused_count == 1

    def test_small_requests_are_refused_at_the_limit(self):
        budget = MemoryBudget(8 * LARGE)
        Holder(budget, "a", 0).hold(9 * LARGE, kept=9 * LARGE)
        assert not budget.may_keep(KB)

    def test_a_single_request_of_any_allowed_size_finds_room(self):
        budget = MemoryBudget.for_machine(PROCESS_RESERVE_BYTES // 2)
        budget.allow_requests_of(4 * LARGE)
        holder = Holder(budget, "a", 0)
        holder.hold(4 * LARGE)
        holder.hold(4 * LARGE, kept=4 * LARGE)
        assert not holder.is_released
        assert budget.may_keep(4 * LARGE)

    @pytest.mark.parametrize("count", [10, 1000])
    def test_held_bytes_stay_within_the_limit(self, count):
        budget = MemoryBudget(100 * KB)
        for number in range(count):
            holder = Holder(budget, str(number % 7), number)
            for held in range(KB, 20 * KB, KB):
                holder.hold(held)
                assert budget.held_bytes <= 100 * KB
