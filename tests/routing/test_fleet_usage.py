"""Tests of account usage summed over the engines of all routers."""

import pytest

from citrondock_core.routing.fleet_usage import (
    MAX_REPORTED_ACCOUNTS,
    FleetUsage,
    ReportedUsage,
    UsageSum,
    highest_in_total,
)


def new_usage():
    return FleetUsage(half_life_s=2.0)


def reported(account="a", tokens=8000):
    return [ReportedUsage(account, tokens)]


class TestTotals:
    def test_local_usage_and_that_of_other_engines_are_added(self):
        fleet = new_usage()
        fleet.add("a", 1000, now_s=0)
        assert fleet.report(now_s=0) == reported("a", 1000)
        fleet.apply_totals(reported(tokens=9500), holds_until_s=1)
        assert fleet.received_tokens("a", now_s=0) == pytest.approx(9500)

    def test_what_was_charged_since_the_report_counts_too(self):
        fleet = new_usage()
        fleet.report(now_s=0)
        fleet.add("a", 1000, now_s=0)
        fleet.apply_totals(reported(tokens=8000), holds_until_s=1)
        assert fleet.received_tokens("a", now_s=0) == pytest.approx(9000)

    def test_totals_replace_the_previous_ones(self):
        fleet = new_usage()
        fleet.apply_totals(reported(tokens=8000), holds_until_s=1)
        fleet.apply_totals(reported("b"), holds_until_s=1)
        assert fleet.received_tokens("a", now_s=0) == 0
        assert fleet.received_tokens("b", now_s=0) == 8000

    def test_totals_decay_once_the_next_ones_are_overdue(self):
        fleet = new_usage()
        fleet.apply_totals(reported(tokens=8000), holds_until_s=1)
        assert fleet.received_tokens("a", now_s=1) == pytest.approx(8000)
        assert fleet.received_tokens("a", now_s=5) == pytest.approx(2000)


class TestReports:
    def test_only_local_usage_is_reported(self):
        fleet = new_usage()
        fleet.add("a", 5000, now_s=0)
        fleet.apply_totals(reported("b"), holds_until_s=1)
        assert fleet.report(now_s=0) == reported("a", 5000)

    def test_the_accounts_with_the_highest_usage_are_reported(self):
        fleet = new_usage()
        for number in range(100):
            fleet.add(f"a{number}", 1000 * number, now_s=0)
        usage = fleet.report(now_s=0)
        assert len(usage) == MAX_REPORTED_ACCOUNTS
        assert usage[0] == ReportedUsage("a99", 99_000)


class TestSums:
    def test_a_report_replaces_the_previous_one_of_the_same_source(self):
        usage = UsageSum()
        usage.update("v2", reported(tokens=8000), expires_at_s=1)
        usage.update("v2", reported(tokens=6000), expires_at_s=2)
        usage.update("v3", reported(tokens=500), expires_at_s=2)
        assert usage.highest() == reported(tokens=6500)

    def test_a_source_that_does_not_report_again_is_dropped(self):
        usage = UsageSum()
        usage.update("v2", reported(tokens=8000), expires_at_s=1)
        usage.update("v3", reported(tokens=2000), expires_at_s=2)
        usage.expire(now_s=1)
        assert usage.highest() == reported(tokens=2000)
        usage.expire(now_s=2)
        assert usage.highest() == []

    def test_sums_of_zones_are_added(self):
        sums = [UsageSum(), UsageSum()]
        for number, usage in enumerate(sums):
            usage.update(f"v{number}", reported(tokens=3000), expires_at_s=1)
        assert highest_in_total(sums) == reported(tokens=6000)
