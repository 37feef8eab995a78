from pathlib import Path

import pytest

from citrondock_bench.deployment import ARCHIVES, NAIROBI, Address, Deployment
from citrondock_bench.plan import Endpoint
from citrondock_bench.scenario import SCENARIOS, scenario_plan
from citrondock_core.configuration_text import parse_configuration

EXAMPLES = Path(__file__).parents[2] / "examples"


@pytest.fixture(params=[ARCHIVES, NAIROBI])
def deployment(request):
    return Deployment.read(request.param, directory=EXAMPLES)


class TestDeployment:
    def test_text_says_the_same(self, deployment):
        again = parse_configuration(deployment.text(), "text")
        assert again == deployment.configuration

    def test_moves_targets(self, deployment):
        names = [
            target.name
            for pool in deployment.configuration.pools.values()
            for target in pool.targets
        ]
        addresses = {
            name: Address(host="127.0.0.2", port=7000 + index, slot_count=3)
            for index, name in enumerate(names)
        }
        moved = parse_configuration(deployment.at(addresses).text(), "text")
        ports = {
            target.name: target.port
            for pool in moved.pools.values()
            for target in pool.targets
        }
        assert ports == {name: addresses[name].port for name in names}

    def test_many_accounts_keep_their_keys_apart(self, deployment):
        many = deployment.with_accounts(300).configuration.accounts
        assert len({account.key_hashes for account in many.values()}) == 300


class TestScenarioPlan:
    @pytest.mark.parametrize("scenario", SCENARIOS, ids=lambda one: one.name)
    def test_every_account_asks_for_more_than_its_share(self, scenario):
        deployment = Deployment.read(scenario.deployment, directory=EXAMPLES)
        routers = [
            Endpoint(name=f"r{index}", host="127.0.0.1", port=index)
            for index in range(1, 8)
        ]
        plan = scenario_plan(
            scenario, deployment, routers, slot_count=72, seed=1, duration_s=1.0
        )
        weights = sum(account.weight for account in plan.accounts)
        assert len(plan.accounts) == 16
        for account in plan.accounts:
            assert account.backlog_count > 72 * account.weight / weights
