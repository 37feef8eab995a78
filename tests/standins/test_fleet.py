import json
import time

import pytest
import urllib3

from citrondock_standins.engine_text import expected_text
from citrondock_standins.fault import Fault
from citrondock_standins.fleet import CUT, EnginePlan, Fleet, FleetPlan
from citrondock_standins.small_deployment import (
    account_api_key,
    configuration_publisher,
)

HTTP = urllib3.PoolManager(retries=False, timeout=20.0)
BODY = {"messages": [{"role": "user", "content": "hi"}], "max_tokens": 2}


def ask_engine(target):
    url = f"http://{target.host}:{target.port}/v1/chat/completions"
    response = HTTP.request("POST", url, body=json.dumps(BODY).encode())
    return response.json()["choices"][0]["message"]["content"]


class TestFleetWithoutRouters:
    def test_starts_the_planned_targets_behind_proxies_and_stops_them(self):
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
            assert ask_engine(first.target) == expected_text(BODY)
            fleet.set_faults("engine-a1", CUT)
            with pytest.raises(urllib3.exceptions.HTTPError):
                ask_engine(first.target)
            assert len(first.process.read("/control/runs")["runs"]) == 1
            fleet.set_faults("engine-a2", Fault(kind="cut"))
            fleet.heal()
            assert ask_engine(fleet.engines[1].target) == expected_text(BODY)

        assert len(processes) == 2
        assert not any(process.is_running for process in processes)


class TestFleetWithRouters:
    def test_cut_zone_and_killed_router_leave_and_rejoin_the_membership(self):
        plan = FleetPlan(
            router_zones=("a", "b"),
            engines=(EnginePlan(availability_zone="a", speed=8),),
            is_proxied=True,
            settings={"shutdown": {"drain_grace_s": 0.1, "deadline_s": 5}},
        )
        with Fleet(plan, publish=configuration_publisher()) as fleet:
            fleet.wait_ready()
            fleet.wait_joined()
            answers = [chat_through(router) for router in fleet.routers.values()]
            ran = fleet.engines[0].process.read("/control/runs")["runs"]

            assert answers == [expected_text(BODY)] * 2
            assert len(ran) == 2

            fleet.cut_zone("a", with_platform=True)
            wait_for(lambda: fleet.member_names("router-a1") == {"router-a1"})
            wait_for(lambda: fleet.member_names("router-b1") == {"router-b1"})
            assert chat_through(fleet.routers["router-a1"]) == expected_text(BODY)
            assert fleet.store.list("")
            fleet.heal()
            fleet.wait_joined()

            fleet.routers["router-b1"].process.kill()
            fleet.restart_router("router-b1")
            fleet.wait_ready()
            fleet.wait_joined()
            assert chat_through(fleet.routers["router-b1"]) == expected_text(BODY)
            processes = [router.process for router in fleet.routers.values()]

        assert not any(process.is_running for process in processes)


def chat_through(router):
    body = json.dumps({**BODY, "model": "small"}).encode()
    headers = {"Authorization": f"Bearer {account_api_key('alice')}"}
    url = router.callers_url + "/v1/chat/completions"
    response = HTTP.request("POST", url, body=body, headers=headers)
    assert response.status == 200, response.data
    return response.json()["choices"][0]["message"]["content"]


def wait_for(condition, limit_s=60.0):
    deadline_s = time.monotonic() + limit_s
    while not condition():
        assert time.monotonic() < deadline_s
        time.sleep(0.05)
