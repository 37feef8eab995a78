import itertools

from hypothesis import given, settings
from hypothesis import strategies as st

from citrondock_bench.measures import (
    AccountService,
    BusySlot,
    fairness_gap,
    utilisation,
)
from citrondock_bench.report_measures import sum_by_account

BUCKETS = st.integers(min_value=1, max_value=12)


@st.composite
def account_services(draw):
    buckets = draw(BUCKETS)
    return [
        AccountService(
            account=f"account-{index}",
            weight=draw(st.sampled_from([0.5, 1.0, 3.0])),
            service_tokens=draw(
                st.lists(st.integers(0, 50), min_size=buckets, max_size=buckets)
            ),
            backlogged=draw(
                st.lists(st.booleans(), min_size=buckets, max_size=buckets)
            ),
        )
        for index in range(draw(st.integers(1, 4)))
    ]


def brute_force_gap(accounts):
    widest = 0.0
    for one, other in itertools.permutations(accounts, 2):
        buckets = len(one.service_tokens)
        for start, end in itertools.combinations(range(buckets + 1), 2):
            if all(one.backlogged[start:end]) and all(other.backlogged[start:end]):
                gap = (
                    sum(one.service_tokens[start:end]) / one.weight
                    - sum(other.service_tokens[start:end]) / other.weight
                )
                widest = max(widest, gap)
    return widest


class TestFairnessGap:
    @settings(derandomize=True, max_examples=200, deadline=None)
    @given(accounts=account_services())
    def test_gap_equals_brute_force_search(self, accounts):
        gap = fairness_gap(accounts, largest_request_tokens=10.0)
        expected = brute_force_gap(accounts)
        assert abs(gap.gap_tokens - expected) < 1e-6
        assert abs(gap.gap_requests - expected / 10.0) < 1e-6

    @settings(derandomize=True, max_examples=100, deadline=None)
    @given(accounts=account_services())
    def test_gap_names_its_interval_and_accounts(self, accounts):
        gap = fairness_gap(accounts, largest_request_tokens=1.0)
        if not gap.gap_tokens:
            return
        by_name = {one.account: one for one in accounts}
        interval = slice(gap.from_bucket, gap.to_bucket)
        ahead, behind = by_name[gap.ahead], by_name[gap.behind]
        difference = (
            sum(ahead.service_tokens[interval]) / ahead.weight
            - sum(behind.service_tokens[interval]) / behind.weight
        )
        assert abs(difference - gap.gap_tokens) < 1e-6


class TestUtilisation:
    def test_busy_time_counts_only_while_requests_wait(self):
        busy = [
            BusySlot(started_s=9.0, ended_s=11.5),
            BusySlot(started_s=12.0, ended_s=99.0),
        ]
        share = utilisation(
            busy, [True, False, True], slot_count=2, started_at_s=10.0, bucket_s=1.0
        )
        assert share == 0.5

    def test_no_utilisation_without_waiting_requests(self):
        busy = [BusySlot(started_s=0.0, ended_s=1.0)]
        assert (
            utilisation(busy, [False], slot_count=1, started_at_s=0, bucket_s=1) is None
        )


class TestSumByAccount:
    def test_parts_of_an_account_in_each_zone_are_summed(self):
        parts = [
            AccountService(
                account=f"a@{zone}",
                weight=2.0,
                service_tokens=[1.0, 2.0],
                backlogged=backlogged,
            )
            for zone, backlogged in (("x", [True, False]), ("y", [False, False]))
        ]
        (summed,) = sum_by_account(parts)
        assert summed.account == "a"
        assert summed.service_tokens == [2.0, 4.0]
        assert summed.backlogged == [True, False]
