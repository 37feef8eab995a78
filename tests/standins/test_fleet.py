import json

import pytest
import urllib3

from citrondock_standins.engine_text import expected_text
from citrondock_standins.fault import Fault
from citrondock_standins.fleet import CUT, EnginePlan, Fleet, FleetPlan

HTTP = urllib3.PoolManager(retries=False, timeout=20.0)
BODY = {"messages": [{"role": "user", "content": "hi"}], "max_tokens": 2}


def ask(target):
    url = f"http://{target.host}:{target.port}/v1/chat/completions"
    answer = HTTP.request("POST", url, body=json.dumps(BODY).encode())
    return answer.json()["choices"][0]["message"]["content"]


class TestFleetWithoutRouters:
    def test_builds_the_planned_targets_behind_proxies_and_ends_them(self):
        plan = FleetPlan(
            router_zones=(),
            engines=(
                EnginePlan(availability_zone="a", speed=8),
                EnginePlan(availability_zone="a", speed=3),
                EnginePlan(availability_zone="b"),
            ),
            application_zones=("b",),
            is_proxied=True,
        )

        def publish(store, fleet):
            store.create("targets", fleet.engines[0].target.name.encode())

        with Fleet(plan, publish=publish) as fleet:
            names = [each.target.name for each in (*fleet.engines, *fleet.applications)]
            first = fleet.engines[0]
            processes = {each.process for each in fleet.engines}
            assert names == ["engine-a1", "engine-a2", "engine-b1", "application-b1"]
            assert fleet.store.get("targets").value == b"engine-a1"
            assert ask(first.target) == expected_text(BODY)
            fleet.set_faults("engine-a1", CUT)
            with pytest.raises(urllib3.exceptions.HTTPError):
                ask(first.target)
            assert len(first.process.read("/control/runs")["runs"]) == 1
            fleet.set_faults("engine-a2", Fault(kind="cut"))
            fleet.heal()
            assert ask(fleet.engines[1].target) == expected_text(BODY)

        assert len(processes) == 2
        assert not any(process.is_running for process in processes)
