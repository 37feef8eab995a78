"""Refused clients return one after the other, not all at once.

The load pattern: in a burst of three times the capacity, clients that were refused are
asked back at a time at which they can be served.
"""

import pytest

from citrondock_core.routing.return_schedule import (
    MAX_RETURN_S,
    MAX_SHARE_OF_TIME_LEFT,
    MIN_RETURN_S,
    ReturnSchedule,
)

COST = 1_000
SERVED_PER_S = 50


def busy_schedule(seconds=10):
    schedule = ReturnSchedule()
    for number in range(seconds * SERVED_PER_S):
        schedule.record_served(COST, now_s=number / SERVED_PER_S)
    return schedule, float(seconds)


class TestReturnSchedule:
    def test_returns_are_spread_at_the_rate_of_service(self):
        schedule, now_s = busy_schedule()
        waits_s = [
            schedule.return_after_s(COST, time_left_s=60.0, now_s=now_s)
            for _ in range(2 * SERVED_PER_S)
        ]
        assert waits_s == sorted(waits_s)
        assert waits_s[-1] == pytest.approx(2.0, rel=0.2)
        in_a_second = sum(1.0 <= wait_s < 2.0 for wait_s in waits_s)
        assert in_a_second <= 1.2 * SERVED_PER_S

    def test_the_line_moves_on(self):
        schedule, now_s = busy_schedule()
        for _ in range(SERVED_PER_S):
            schedule.return_after_s(COST, time_left_s=60.0, now_s=now_s)
        later_s = schedule.return_after_s(COST, time_left_s=60.0, now_s=now_s + 0.5)
        assert later_s == pytest.approx(0.5, abs=0.2)

    def test_a_single_refusal_returns_at_once(self):
        schedule, now_s = busy_schedule()
        returned_s = schedule.return_after_s(COST, time_left_s=60.0, now_s=now_s)
        assert returned_s == MIN_RETURN_S

    def test_a_client_keeps_time_to_be_served(self):
        schedule, now_s = busy_schedule()
        for _ in range(10 * SERVED_PER_S):
            wait_s = schedule.return_after_s(COST, time_left_s=3.0, now_s=now_s)
            assert MIN_RETURN_S <= wait_s <= 3.0 * MAX_SHARE_OF_TIME_LEFT

    def test_no_wait_is_longer_than_the_bound(self):
        schedule = ReturnSchedule()
        for _ in range(100):
            wait_s = schedule.return_after_s(COST, time_left_s=600.0, now_s=1.0)
            assert wait_s <= MAX_RETURN_S
