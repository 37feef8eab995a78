"""What is promised between accounts, on simulated fleets with many mixes of demand.

The promise is in docs/design/fair-shares.md. Clients send refused requests again.
"""

import random

import pytest
from simulated_gateways import SimulatedFleet

ROUTERS, ENGINES = 24, 12
LENGTH_S = 11
TOKENS_PER_REQUEST = 3000


pytestmark = pytest.mark.usefixtures("quiet_log")


class Mix:
    """Demand of some accounts; shares are of what all engines can read."""

    def __init__(self, seed):
        self.random = random.Random(seed)
        self.fleet = SimulatedFleet(ROUTERS, ENGINES, seed=seed)
        self._capacity_per_s = self.fleet.tokens_per_s / TOKENS_PER_REQUEST

    def add(self, account, share, *, routers=ROUTERS, from_s=0.5):
        self.fleet.add_load(
            account,
            share * self._capacity_per_s,
            self.random.sample(self.fleet.routers, routers),
            from_s=from_s,
            until_s=LENGTH_S,
            returns=True,
        )

    def violations(self):
        self.fleet.run(LENGTH_S)
        return self.fleet.record.violations(1, LENGTH_S)


def mix_at_random(seed):
    """Return accounts that ask steadily, some at few routers, and later bursts."""
    mix = Mix(seed)
    rng = mix.random
    for number in range(rng.randint(1, 3)):
        routers = rng.choice([1, 2, ROUTERS])
        share = rng.uniform(0.1, 0.3 if routers < ROUTERS else 0.9)
        mix.add(f"steady{number}", share, routers=routers)
    burst_count = rng.randint(1, 6)
    for number in range(burst_count):
        share = rng.uniform(0.8, 2.5) / burst_count
        mix.add(f"burst{number}", share, from_s=rng.choice([3.3, rng.uniform(3, 7)]))
    for number in range(rng.randint(0, 3)):
        routers = rng.choice([1, 3, ROUTERS])
        mix.add(f"small{number}", rng.uniform(0.01, 0.05), routers=routers)
    return mix


class TestAccountsServedBeforeABurst:
    @pytest.mark.parametrize(("seed", "burst_count"), [(1, 4), (2, 6)])
    def test_service_before_a_burst_does_not_count_against_it(self, seed, burst_count):
        mix = Mix(seed)
        mix.add("steady", 0.9)
        for number in range(burst_count):
            mix.add(f"burst{number}", 2 / burst_count, from_s=3.3)
        assert mix.violations() == []


class TestUsageKnownToHomeRouters:
    def test_the_usage_of_a_burst_is_known_in_a_large_fleet_within_a_second(self):
        burst_at_s = 2.0
        fleet = SimulatedFleet(66, 40, seed=1)
        capacity_per_s = fleet.tokens_per_s / TOKENS_PER_REQUEST
        load = {"until_s": LENGTH_S, "returns": True}
        few_routers = fleet.routers[:2]
        fleet.add_load("steady", 0.2 * capacity_per_s, few_routers, from_s=0.5, **load)
        fleet.add_load(
            "burst", 1.2 * capacity_per_s, fleet.routers, from_s=burst_at_s, **load
        )
        fleet.run(burst_at_s + 1.0)
        now_s = fleet.simulation.now_s
        homes = [
            router.broker.home
            for router in fleet.routers
            if router.broker.home.granted_count
        ]
        assert len(homes) > 20
        for account in ("steady", "burst"):
            charged = fleet.usage.received_tokens(account, now_s=now_s)
            known = [home.received_tokens(account, now_s=now_s) for home in homes]
            assert min(known) > 0.5 * charged
            assert max(known) < 2 * charged


class TestManyMixes:
    @pytest.mark.parametrize("seed", range(1, 9))
    def test_an_account_that_waits_gets_half_of_what_another_gets(self, seed):
        assert mix_at_random(seed).violations() == []
