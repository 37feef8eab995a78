"""Tests of account usage summed over the engines of all routers."""

import pytest

from citrondock_core.routing.fleet_usage import (
    MAX_REPORTED_ACCOUNTS,
    FleetUsage,
    ReportedUsage,
)


def new_usage():
    return FleetUsage(half_life_s=2.0)


def reported(account="a", tokens=8000):
    return [ReportedUsage(account, tokens)]


class TestReports:
    def test_local_and_reported_usage_are_added(self):
        fleet = new_usage()
        fleet.add("a", 1000, now_s=0)
        fleet.update("v2", reported(), now_s=0)
        fleet.update("v3", reported(tokens=500), now_s=0)
        assert fleet.received_tokens("a", now_s=0) == pytest.approx(9500)

    def test_a_report_replaces_the_previous_one_of_the_same_router(self):
        fleet = new_usage()
        fleet.update("v2", reported(tokens=8000), now_s=0)
        fleet.update("v2", reported(tokens=6000), now_s=2)
        assert fleet.received_tokens("a", now_s=2) == pytest.approx(6000)

    def test_reported_usage_decays_without_further_reports(self):
        fleet = new_usage()
        fleet.update("v2", reported(tokens=8000), now_s=0)
        assert fleet.received_tokens("a", now_s=4) == pytest.approx(2000)
        fleet.update("v2", [], now_s=4)
        assert fleet.received_tokens("a", now_s=4) == pytest.approx(2000)

    def test_only_local_usage_is_reported(self):
        fleet = new_usage()
        fleet.add("a", 5000, now_s=0)
        fleet.update("v2", reported("b"), now_s=0)
        assert fleet.top_accounts(now_s=0) == reported("a", 5000)

    def test_the_accounts_with_the_highest_usage_are_reported(self):
        fleet = new_usage()
        for number in range(100):
            fleet.add(f"a{number}", 1000 * number, now_s=0)
        usage = fleet.top_accounts(now_s=0)
        assert len(usage) == MAX_REPORTED_ACCOUNTS
        assert usage[0] == ReportedUsage("a99", 99_000)
