"""Tests of what a router takes while it is short of processor time."""

import pytest

from citrondock_core.routing.overload_admission import (
    MAX_LAG_S,
    MIN_RATE_PER_S,
    OverloadAdmission,
)

STEP_S = 0.002


class FakeRouter:
    """A late router that sends at most so many of the requests that it takes.

    Parameters
    ----------
    capacity_per_s : float
        Requests that it can send a second.
    """

    def __init__(self, capacity_per_s):
        self.capacity_per_s = capacity_per_s
        self.admission = OverloadAdmission()
        self.admission.begin(now_s=0.0)
        self.admitted = {}
        self.sent_count = 0
        self._step_count = 0
        self._waiting_count = 0
        self._due = 0.0

    def run(self, seconds, **asked_per_s):
        """Let accounts ask for so many requests a second each."""
        due = dict.fromkeys(asked_per_s, 0.0)
        for _ in range(round(seconds / STEP_S)):
            self._step_count += 1
            now_s = self._step_count * STEP_S
            for account, rate_per_s in asked_per_s.items():
                due[account] += rate_per_s * STEP_S
                while due[account] >= 1:
                    due[account] -= 1
                    if self.admission.admit(account, now_s=now_s):
                        self.admitted[account] = self.admitted.get(account, 0) + 1
                        self._waiting_count += 1
            self._due = min(self._due + self.capacity_per_s * STEP_S, 2.0)
            while self._due >= 1 and self._waiting_count:
                self._due -= 1
                self._waiting_count -= 1
                self.sent_count += 1
                self.admission.record_sent(now_s=now_s)


class TestRate:
    @pytest.mark.parametrize("asked_per_s", [200, 2000])
    def test_it_serves_what_it_can_however_much_is_asked(self, asked_per_s):
        router = FakeRouter(capacity_per_s=50)
        router.run(10, hot=asked_per_s)
        assert router.sent_count > 0.8 * 50 * 10

    def test_it_takes_little_more_than_it_can_send(self):
        router = FakeRouter(capacity_per_s=50)
        router.run(10, hot=2000)
        assert router.admitted["hot"] < 2 * 50 * 10

    def test_it_takes_some_requests_although_none_was_sent(self):
        router = FakeRouter(capacity_per_s=0)
        router.run(4, hot=100)
        assert router.admitted["hot"] >= 0.9 * MIN_RATE_PER_S * 4

    def test_it_takes_less_than_it_sends_while_it_is_far_behind(self):
        router = FakeRouter(capacity_per_s=50)
        router.run(5, hot=500)
        router.admitted.clear()
        router.admission.observe_lag(2 * MAX_LAG_S)
        sent_before = router.sent_count
        router.run(2, hot=500)
        assert 0 < router.admitted["hot"] < router.sent_count - sent_before


class TestAccounts:
    def test_an_account_that_asks_little_is_served_beside_one_that_asks_much(self):
        router = FakeRouter(capacity_per_s=50)
        router.run(10, hot=500, small=8)
        assert router.admitted["small"] > 0.9 * 8 * 10
        assert router.admitted["hot"] > 0.5 * 50 * 10

    def test_accounts_that_ask_much_get_even_shares(self):
        router = FakeRouter(capacity_per_s=60)
        router.run(10, first=900, second=300, third=100)
        assert min(router.admitted.values()) > 0.7 * max(router.admitted.values())

    def test_many_small_accounts_together_do_not_exceed_the_rate(self):
        router = FakeRouter(capacity_per_s=50)
        router.run(10, **{f"a{number}": 20 for number in range(40)})
        assert sum(router.admitted.values()) < 2 * 50 * 10
