import json
import time

import pytest
from pytest_bdd import given, scenarios, then, when

from citrondock_core.configuration_repository import (
    ConfigurationRepository,
    EditRequest,
)
from citrondock_standins.fleet import EnginePlan, Fleet, FleetPlan
from citrondock_standins.small_deployment import (
    configuration_publisher,
    small_configuration_text,
)
from tests.features.callers import ask, chat_body, check_answer, send, wait_until

scenarios("cut_off_zones.feature")

ZONES = ("a", "b")
WRITES_PER_S = 400
READS_PER_S = 2000
PLAN = FleetPlan(
    router_zones=("a", "a", "b", "b"),
    engines=tuple(EnginePlan(availability_zone=zone, speed=4) for zone in ZONES),
    application_zones=ZONES,
    is_proxied=True,
    settings={
        "peers": {"heartbeat_period_s": 0.3},
        "platform": {"vm_poll_period_s": 0.3, "max_backoff_s": 1.0},
        "shutdown": {"drain_grace_s": 0.1, "deadline_s": 5},
    },
)


class Scene:
    def __init__(self, fleet):
        self.fleet = fleet
        self.names = list(fleet.routers)

    def begin(self):
        self.calls_before = self.store_calls()
        self.began_s = time.monotonic()

    def end(self):
        self.fleet.store_process.set_faults()
        self.fleet.heal()
        self.fleet.wait_ready()
        self.fleet.wait_joined()

    def url(self, name):
        return self.fleet.routers[name].callers_url

    def store_calls(self):
        calls = self.fleet.store_process.read("/control/calls")["calls"]
        return {(c["client"], c["kind"]): c["count"] for c in calls}

    def configuration(self, name):
        return self.fleet.status(name)["configuration"]

    def revisions(self):
        return {self.fleet.status(n)["configuration_revision"] for n in self.names}

    def check_service(self, name):
        """Both kinds of call are answered within seconds."""
        for number in range(4):
            body = chat_body(content=f"{name} {number} {time.monotonic()}", stream=True)
            got = ask(self.url(name), body, **{"X-Deadline-Ms": "8000"})
            assert got.is_whole, got
            check_answer(got, body)
            works = send(self.url(name), "/works/7", **{"X-Deadline-Ms": "8000"})
            assert works.is_whole, works


@pytest.fixture(scope="module")
def shared_scene():
    with Fleet(PLAN, publish=configuration_publisher()) as fleet:
        fleet.wait_ready()
        fleet.wait_joined()
        yield Scene(fleet)


@given("two zones with two routers each")
def _(scene):
    assert len(scene.names) == 4


@given("revision 2 is in force")
def _(scene):
    text = json.loads(small_configuration_text(scene.fleet))
    text["services"]["works"]["timeout_s"] = 20
    request = EditRequest(
        edit_id="second",
        author="operator",
        reason="longer",
        base_revision=1,
        text=json.dumps(text).encode(),
        file="small",
        now_epoch_s=time.time(),
    )
    ConfigurationRepository(scene.fleet.store, pause=time.sleep).commit(request)
    wait_until(lambda: scene.revisions() == {2})


@when("zone a is cut off from the platform")
def _(scene):
    scene.fleet.cut_platform("a")


@when("the store fails for all and router-a2 is replaced")
def _(scene):
    scene.fleet.store_process.set_faults(outage="refuse")
    scene.fleet.routers["router-a2"].process.kill()
    scene.fleet.restart_router("router-a2")


@when("the cut ends")
def _(scene):
    scene.fleet.store_process.set_faults()
    scene.fleet.heal()


@when("the store is back but answers with old reads")
def _(scene):
    scene.fleet.store_process.set_faults(stale_reads=True)


@when("the store is well")
def _(scene):
    scene.fleet.store_process.set_faults()


@then("callers are served at every router")
def _(scene):
    wait_until(lambda: scene.configuration("router-a1")["store_error"])
    for name in scene.names:
        scene.check_service(name)


@then("all routers know each other and the store again")
def _(scene):
    scene.fleet.wait_joined()
    wait_until(
        lambda: not any(scene.configuration(n)["store_error"] for n in scene.names)
    )


@then("the calls to the store stayed under its rates")
def _(scene):
    took_s = time.monotonic() - scene.began_s
    after = scene.store_calls()
    counts = {key: after[key] - scene.calls_before.get(key, 0) for key in after}
    writes = sum(n for (_, kind), n in counts.items() if kind in ("create", "update"))
    # All routers of the fleet that these stand for share the rates: 380 of them.
    assert sum(counts.values()) / took_s / len(scene.names) <= READS_PER_S / 380
    assert writes / took_s / len(scene.names) <= WRITES_PER_S / 380


@then("the zones share their targets again")
def _(scene):
    def are_homes():
        homes = [
            t for n in scene.names for t in scene.fleet.status(n)["limit_by_target"]
        ]
        return len(homes) == len(set(homes)) == 4

    wait_until(are_homes)
    for name in scene.names:
        scene.check_service(name)


@then("router-a2 has revision 2 and says that it may be old")
def _(scene):
    scene.fleet.wait_ready()
    page = scene.fleet.status("router-a2")
    assert page["configuration_revision"] == 2
    assert page["configuration"]["possibly_stale"]


@then("router-a2 serves callers")
def _(scene):
    scene.fleet.wait_joined()
    scene.check_service("router-a2")


@then("no router goes back behind revision 2")
def _(scene):
    deadline_s = time.monotonic() + 3
    while time.monotonic() < deadline_s:
        assert scene.revisions() == {2}
        time.sleep(0.1)


@then("router-a2 no longer says that it may be old")
def _(scene):
    wait_until(lambda: not scene.configuration("router-a2")["possibly_stale"])
