"""What accounts received is counted over the engines of all routers."""

import pytest

from citrondock_core.routing.fleet_usage import (
    MAX_REPORTED_ACCOUNTS,
    FleetUsage,
    ReportedUsage,
)


def shares():
    return FleetUsage(half_life_s=2.0)


def told(account="a", tokens=8000):
    return [ReportedUsage(account, tokens)]


class TestTelling:
    def test_own_and_told_service_are_added(self):
        fleet = shares()
        fleet.add("a", 1000, now_s=0)
        fleet.update("v2", told(), now_s=0)
        fleet.update("v3", told(tokens=500), now_s=0)
        assert fleet.received("a", now_s=0) == pytest.approx(9500)

    def test_what_is_told_again_replaces_what_was_told(self):
        fleet = shares()
        fleet.update("v2", told(tokens=8000), now_s=0)
        fleet.update("v2", told(tokens=6000), now_s=2)
        assert fleet.received("a", now_s=2) == pytest.approx(6000)

    def test_it_decays_when_nothing_more_is_told(self):
        fleet = shares()
        fleet.update("v2", told(tokens=8000), now_s=0)
        assert fleet.received("a", now_s=4) == pytest.approx(2000)
        fleet.update("v2", [], now_s=4)
        assert fleet.received("a", now_s=4) == pytest.approx(2000)

    def test_only_own_service_is_told_on(self):
        fleet = shares()
        fleet.add("a", 5000, now_s=0)
        fleet.update("v2", told("b"), now_s=0)
        assert fleet.top_accounts(now_s=0) == told("a", 5000)

    def test_the_accounts_that_received_most_are_told(self):
        fleet = shares()
        for number in range(100):
            fleet.add(f"a{number}", 1000 * number, now_s=0)
        usage = fleet.top_accounts(now_s=0)
        assert len(usage) == MAX_REPORTED_ACCOUNTS
        assert usage[0] == ReportedUsage("a99", 99_000)
