"""Tests of the rules and budgets for sending requests again."""

import pytest

from citrondock_core.routing.attempt_rules import AttemptHistory, ExecutionStatus
from citrondock_core.routing.retry_ratio_budget import (
    RetryRatioBudget,
    RetryRatioBudgetOptions,
    spare_count_per_router,
)
from citrondock_core.routing.route import RouteKind


class TestAttemptHistory:
    @pytest.mark.parametrize("kind", [RouteKind.AT_MOST_ONCE, RouteKind.STREAM])
    def test_a_request_that_may_have_run_is_not_sent_again(self, kind):
        history = AttemptHistory(kind=kind, max_attempts=3)
        history.record_sent("t")
        history.record_ended(ExecutionStatus.MAY_HAVE_RUN)
        assert not history.may_send_again()

    @pytest.mark.parametrize("kind", list(RouteKind))
    def test_a_request_that_did_not_run_may_go_to_another_target(self, kind):
        history = AttemptHistory(kind=kind, max_attempts=2)
        history.record_sent("t")
        history.record_ended(ExecutionStatus.NOT_RUN)
        assert history.may_send_again()

    @pytest.mark.parametrize("kind", list(RouteKind))
    def test_attempts_stay_within_the_limit_of_the_route(self, kind):
        history = AttemptHistory(kind=kind, max_attempts=1)
        history.record_sent("t")
        history.record_ended(ExecutionStatus.NOT_RUN)
        assert not history.may_send_again()

    def test_a_later_attempt_that_did_not_run_does_not_clear_an_earlier_one(self):
        history = AttemptHistory(kind=RouteKind.AT_MOST_ONCE, max_attempts=5)
        history.record_ended(ExecutionStatus.MAY_HAVE_RUN)
        history.record_ended(ExecutionStatus.NOT_RUN)
        assert history.may_have_run
        assert not history.may_send_again()


class TestRetryRatioBudget:
    def budget(self, spare=0.0):
        options = RetryRatioBudgetOptions(ratio=0.2, window_s=10, spare_count=spare)
        return RetryRatioBudget(options)

    def test_retries_stay_under_the_ratio_in_every_window(self):
        budget = self.budget(spare=2)
        taken = []
        for tick in range(600):
            now_s = tick / 10
            budget.count_request(now_s=now_s)
            if budget.take(now_s=now_s):
                taken.append(now_s)
        assert taken
        for start_s in taken:
            in_window = [t for t in taken if start_s <= t < start_s + 10]
            assert len(in_window) <= 0.2 * 101 + 2

    def test_requests_outside_the_window_allow_no_retries(self):
        budget = self.budget()
        for _ in range(50):
            budget.count_request(now_s=0)
        assert budget.take(now_s=5)
        assert not budget.take(now_s=10.5)

    def test_the_spare_retries_of_all_routers_stay_within_the_fleet_limit(self):
        for router_count in (1, 7, 16, 66, 87, 380):
            total = router_count * spare_count_per_router(172, router_count)
            assert total <= 172
