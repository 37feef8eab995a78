from pathlib import Path

import pytest

from citrondock_bench.deployment import NAIROBI_CASTING, PLUME_NORDIQUE, Deployment
from citrondock_bench.plan import Endpoint
from citrondock_bench.scenario import SCENARIOS, scenario_plan
from citrondock_core.configuration import PoolKind, Target
from citrondock_core.configuration_text import parse_configuration

EXAMPLES = Path(__file__).parents[2] / "examples"


@pytest.fixture(params=[PLUME_NORDIQUE, NAIROBI_CASTING])
def deployment(request):
    return Deployment.read(request.param, directory=EXAMPLES)


class TestDeployment:
    def test_text_parses_to_the_same_configuration(self, deployment):
        parsed = parse_configuration(deployment.text(), "text")
        assert parsed == deployment.configuration

    def test_targets_are_replaced_by_pool_kind(self, deployment):
        targets = [
            Target(name=f"t{port}", availability_zone="a", host="127.0.0.2", port=port)
            for port in (7001, 7002, 7003)
        ]
        text = deployment.with_targets(targets[:2], targets[2:]).text()
        pools = parse_configuration(text, "text").pools.values()
        by_kind = {pool.kind: pool.targets for pool in pools}
        assert by_kind[PoolKind.ENGINE] == tuple(targets[:2])
        assert by_kind[PoolKind.APPLICATION] == tuple(targets[2:])

    def test_generated_accounts_have_distinct_keys(self, deployment):
        many = deployment.with_accounts(300).configuration.accounts
        assert len({account.key_hashes for account in many.values()}) == 300


class TestScenarioPlan:
    @pytest.mark.parametrize("scenario", SCENARIOS, ids=lambda one: one.name)
    def test_every_account_is_backlogged_beyond_its_slot_share(self, scenario):
        deployment = Deployment.read(scenario.deployment, directory=EXAMPLES)
        routers = [
            Endpoint(
                name=f"r{index}",
                host="127.0.0.1",
                port=index + 1,
                availability_zone=deployment.zones[index % 3],
            )
            for index in range(7)
        ]
        plan = scenario_plan(
            scenario, deployment, routers, slot_count=72, seed=1, duration_s=1.0
        )
        weights = {account.key: account.weight for account in plan.accounts}
        assert len(weights) == 16
        for account in plan.accounts:
            share = 72 * account.weight / sum(weights.values())
            assert account.backlog_count > share
