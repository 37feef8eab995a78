"""Fair shares of whole fleets on a simulated clock, by the users' rule on fairness."""

import pytest
from simulated_gateways import Costs, SimulatedFleet

LENGTH_S = 14
DRAIN_S = 3
"""Time in which all requests end after the last one has arrived."""

TOKENS_PER_REQUEST = 3000

SLOW_FACTOR = 7.0
"""The late router is busy for 0.93 of the time."""


pytestmark = pytest.mark.usefixtures("quiet_log")


def play_one_router_account(seed):
    """Return a fleet after a flood, with an account that has one late router only."""
    fleet = SimulatedFleet(24, 12, seed=seed, slow_factor=SLOW_FACTOR)
    late, others = fleet.routers[0], fleet.routers[1:]
    capacity_per_s = fleet.tokens_per_s / TOKENS_PER_REQUEST
    load = {"from_s": 0.5, "until_s": LENGTH_S}
    fleet.add_load("flood", capacity_per_s, others, **load)
    fleet.add_load("small", 10, others, **load)
    fleet.add_load("one_router", 40, [late], **load)
    fleet.run(LENGTH_S)
    return fleet


def play_account_beyond_its_router(seed):
    """Return a fleet with an account that asks far more than its one router can carry.

    Refusals leave the router time to serve what the other accounts get each. A small
    account depends on the same router.
    """
    costs = Costs(
        request_s=0.0012,
        refusal_s=0.0005,
        ask_s=0.0006,
        datagram_s=0.00015,
        response_s=0.0008,
    )
    fleet = SimulatedFleet(24, 12, seed=seed, slow_factor=3.0, costs=costs)
    small, others = fleet.routers[0], fleet.routers[1:]
    capacity_per_s = fleet.tokens_per_s / TOKENS_PER_REQUEST
    load = {"from_s": 0.5, "until_s": LENGTH_S}
    for number in range(8):
        fleet.add_load(f"other{number}", 0.375 * capacity_per_s, others, **load)
    fleet.add_load("hot", 400, [small], **load)
    fleet.add_load("beside_hot", 6, [small], **load)
    fleet.run(LENGTH_S)
    return fleet


class TestFairShares:
    @pytest.mark.parametrize("seed", [3, 4])
    def test_accounts_whose_only_router_is_overloaded_get_their_shares(self, seed):
        fleet = play_account_beyond_its_router(seed)
        assert fleet.record.violations(1, LENGTH_S) == []

    @pytest.mark.parametrize("seed", [3, 4])
    def test_an_account_that_depends_on_one_late_router_gets_its_share(self, seed):
        fleet = play_one_router_account(seed)
        assert fleet.record.violations(1, LENGTH_S) == []

    def test_accounts_with_few_routers_get_their_share_in_a_large_fleet(self):
        fleet = SimulatedFleet(66, 30, seed=1)
        capacity_per_s = fleet.tokens_per_s / TOKENS_PER_REQUEST
        load = {"from_s": 0.5, "until_s": LENGTH_S}
        fleet.add_load("flood", 0.9 * capacity_per_s, fleet.routers, **load)
        for number in range(4):
            routers = fleet.routers[2 * number : 2 * number + 2]
            fleet.add_load(f"mid{number}", 0.12 * capacity_per_s, routers, **load)
        fleet.run(LENGTH_S)
        assert fleet.record.violations(1, LENGTH_S) == []


class TestGrants:
    @pytest.mark.parametrize("seed", [3, 4])
    def test_a_late_router_leaves_no_grants_behind(self, seed):
        fleet = play_one_router_account(seed)
        fleet.run(LENGTH_S + DRAIN_S)
        assert fleet.granted_count == 0
