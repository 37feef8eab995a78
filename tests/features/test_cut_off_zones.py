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
from tests.features.callers import (
    chat_body,
    check_answer,
    send,
    send_chat_request,
    wait_until,
)

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


class ScenarioContext:
    """A fleet, and the calls to its store before the current scenario."""

    def __init__(self, fleet):
        self.fleet = fleet
        self.router_names = list(fleet.routers)

    def begin(self):
        self.store_calls_before = self.store_calls()
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

    def configuration_status(self, name):
        return self.fleet.status(name)["configuration"]

    def revisions(self):
        return {
            self.fleet.status(n)["configuration_revision"] for n in self.router_names
        }

    def check_calls_are_served(self, name):
        """Check that a router answers both kinds of call within 8 seconds."""
        for number in range(4):
            body = chat_body(content=f"{name} {number} {time.monotonic()}", stream=True)
            answer = send_chat_request(
                self.url(name), body, **{"X-Deadline-Ms": "8000"}
            )
            assert answer.is_complete, answer
            check_answer(answer, body)
            works = send(self.url(name), "/works/7", **{"X-Deadline-Ms": "8000"})
            assert works.is_complete, works


@pytest.fixture(scope="module")
def shared_context():
    with Fleet(PLAN, publish=configuration_publisher()) as fleet:
        fleet.wait_ready()
        fleet.wait_joined()
        yield ScenarioContext(fleet)


@given("two zones with two routers each")
def _(context):
    assert len(context.router_names) == 4


@given("revision 2 is in force")
def _(context):
    text = json.loads(small_configuration_text(context.fleet))
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
    ConfigurationRepository(context.fleet.store, pause=time.sleep).commit(request)
    wait_until(lambda: context.revisions() == {2})


@when("zone a is cut off from the platform")
def _(context):
    context.fleet.cut_platform("a")


@when("the store refuses all calls and router-a2 is killed and restarted")
def _(context):
    context.fleet.store_process.set_faults(outage="refuse")
    context.fleet.routers["router-a2"].process.kill()
    context.fleet.restart_router("router-a2")


@when("the cut ends")
def _(context):
    context.fleet.store_process.set_faults()
    context.fleet.heal()


@when("the store is available again but returns stale reads")
def _(context):
    context.fleet.store_process.set_faults(stale_reads=True)


@when("the store returns current reads")
def _(context):
    context.fleet.store_process.set_faults()


@then("callers are served at every router")
def _(context):
    wait_until(lambda: context.configuration_status("router-a1")["store_error"])
    for name in context.router_names:
        context.check_calls_are_served(name)


@then("all routers know each other and reach the store again")
def _(context):
    context.fleet.wait_joined()
    wait_until(
        lambda: (
            not any(
                context.configuration_status(n)["store_error"]
                for n in context.router_names
            )
        )
    )


@then("the calls to the store stayed within its rate limits")
def _(context):
    elapsed_s = time.monotonic() - context.began_s
    after = context.store_calls()
    counts = {key: after[key] - context.store_calls_before.get(key, 0) for key in after}
    writes = sum(n for (_, kind), n in counts.items() if kind in ("create", "update"))
    # The store's rates are shared by the 380 routers of the full fleet.
    assert (
        sum(counts.values()) / elapsed_s / len(context.router_names)
        <= READS_PER_S / 380
    )
    assert writes / elapsed_s / len(context.router_names) <= WRITES_PER_S / 380


@then("each target has one home router again and callers are served")
def _(context):
    def each_target_has_one_home():
        homes = [
            t
            for n in context.router_names
            for t in context.fleet.status(n)["limit_by_target"]
        ]
        return len(homes) == len(set(homes)) == 4

    wait_until(each_target_has_one_home)
    for name in context.router_names:
        context.check_calls_are_served(name)


@then("router-a2 has revision 2 and reports that it may be stale")
def _(context):
    context.fleet.wait_ready()
    status = context.fleet.status("router-a2")
    assert status["configuration_revision"] == 2
    assert status["configuration"]["possibly_stale"]


@then("router-a2 serves callers")
def _(context):
    context.fleet.wait_joined()
    context.check_calls_are_served("router-a2")


@then("every router keeps revision 2 for 3 seconds")
def _(context):
    deadline_s = time.monotonic() + 3
    while time.monotonic() < deadline_s:
        assert context.revisions() == {2}
        time.sleep(0.1)


@then("router-a2 no longer reports that its configuration may be stale")
def _(context):
    wait_until(lambda: not context.configuration_status("router-a2")["possibly_stale"])
