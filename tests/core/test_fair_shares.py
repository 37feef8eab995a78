"""Fairness, utilisation and control traffic of a simulated fleet, with fixed seeds.

`assert_bounds` checks that the gap in service between accounts stays small, that the
targets are used and that the control traffic of the busiest router stays low.
"""

import pytest
from simulated_fleet import Fleet

MAX_GAP = 4.0
MIN_UTILISATION = 0.95
MAX_CONTROL_BYTES_PER_S = 3_000
WARMUP_S = 20.0
END_S = 80.0
UNEVEN_PLACEMENT = {"account-000": ["router-a0"], "account-001": ["router-b1"]}
UNEVEN_DEPTHS = {"account-000": 150, "account-001": 100}
PLACEMENT_BY_ZONE = {
    f"account-{i:03d}": ["router-a0", "router-a1"] if i < 8 else ["router-b0"]
    for i in range(16)
}


def warmed_up_fleet(**more):
    fleet = Fleet(**{"depth": 6, **more})
    fleet.run(WARMUP_S)
    fleet.reset_measurements()
    return fleet


def assert_bounds(fleet, since_s=WARMUP_S):
    assert fleet.service_gap(since_s, fleet.now_s) <= MAX_GAP
    assert fleet.service_gap(since_s, fleet.now_s, finished=True) <= MAX_GAP
    assert fleet.utilisation >= MIN_UTILISATION
    assert fleet.control_bytes_per_s <= MAX_CONTROL_BYTES_PER_S


class TestFairShares:
    def test_even_load(self):
        fleet = warmed_up_fleet(seed=1)
        fleet.run(END_S)

        assert_bounds(fleet)

    def test_large_accounts_at_one_router_each(self):
        fleet = warmed_up_fleet(
            seed=2, placement=UNEVEN_PLACEMENT, depths=UNEVEN_DEPTHS
        )
        fleet.run(END_S)

        assert_bounds(fleet)

    def test_idle_zones_beside_a_full_one(self):
        routers = ["router-a0", "router-a1"]
        placement = {f"account-{i:03d}": routers for i in range(16)}
        fleet = warmed_up_fleet(seed=3, depth=10, placement=placement)
        fleet.run(END_S)

        assert_bounds(fleet)

    def test_one_flooding_account(self):
        fleet = warmed_up_fleet(seed=1)
        fleet.flood("account-003", 300)
        fleet.run(END_S)

        assert_bounds(fleet)

    def test_engines_of_different_speeds(self):
        fleet = warmed_up_fleet(seed=4, speeds=(15.0, 45.0, 120.0))
        fleet.run(END_S)

        assert_bounds(fleet)

    def test_heavy_tailed_costs_with_misleading_hints(self):
        fleet = warmed_up_fleet(seed=5, misleading_hints=True)
        fleet.run(END_S)

        assert_bounds(fleet)

    def test_routers_restarted_with_no_memory(self):
        fleet = warmed_up_fleet(seed=6)
        fleet.restart_router("router-a0")
        fleet.run(WARMUP_S + 1.0)
        fleet.restart_router("router-b1")
        fleet.run(END_S)

        assert_bounds(fleet)

    @pytest.mark.parametrize("placement", [{}, PLACEMENT_BY_ZONE])
    def test_a_zone_cut_off_and_rejoined(self, placement):
        fleet = warmed_up_fleet(seed=7, depth=10, placement=placement)
        fleet.cut_off("zone-a")
        fleet.run(50.0)
        gaps_during_cut = [
            fleet.service_gap(WARMUP_S, 50.0, zones=zones, accounts=accounts)
            for zones, accounts in (
                (["zone-a"], fleet.accounts[:8]),
                (["zone-b", "zone-c"], fleet.accounts[8:]),
            )
        ]
        fleet.cut_off(None)
        fleet.run(110.0)

        assert max(gaps_during_cut) <= MAX_GAP
        assert_bounds(fleet, since_s=80.0)

    @pytest.mark.parametrize("policy", ["fifo", "round_robin"])
    def test_flood_exceeds_the_bound_without_fair_policy(self, policy):
        fleet = warmed_up_fleet(seed=1, policy=policy)
        fleet.flood("account-003", 300)
        fleet.run(END_S)

        assert fleet.service_gap(WARMUP_S, END_S) > MAX_GAP

    def test_uneven_placement_exceeds_the_bound_without_coordination(self):
        fleet = warmed_up_fleet(
            seed=2,
            policy="local_fair",
            placement=UNEVEN_PLACEMENT,
            depths=UNEVEN_DEPTHS,
        )
        fleet.run(END_S)

        assert fleet.service_gap(WARMUP_S, END_S) > MAX_GAP

    def test_control_traffic_with_500_accounts_waiting(self):
        fleet = warmed_up_fleet(seed=1, account_count=500, depth=1)
        fleet.run(WARMUP_S + fleet.options.refresh_period_s)

        assert fleet.utilisation >= MIN_UTILISATION
        assert fleet.control_bytes_per_s <= MAX_CONTROL_BYTES_PER_S


class TestMessageLoss:
    def test_many_lost_and_duplicate_messages(self):
        fleet = warmed_up_fleet(
            seed=8, loss=0.2, placement=UNEVEN_PLACEMENT, depths=UNEVEN_DEPTHS
        )
        fleet.run(END_S)

        assert fleet.service_gap(WARMUP_S, END_S) <= MAX_GAP
        assert fleet.utilisation >= MIN_UTILISATION
