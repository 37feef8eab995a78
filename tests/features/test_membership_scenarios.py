import threading
import time
from concurrent.futures import ThreadPoolExecutor

import pytest
import urllib3
from pytest_bdd import given, parsers, scenarios, then, when

from citrondock_core.vm_directory import Vm, VmState
from citrondock_standins.fleet import Fleet, FleetPlan
from citrondock_standins.small_deployment import (
    account_api_key,
    configuration_publisher,
)

scenarios("membership.feature")

NAMES = {"router-a1", "router-b1", "router-c1"}
PLAN = FleetPlan(
    router_zones=("a", "b", "c"),
    application_zones=("a", "b"),
    is_proxied=True,
    settings={"shutdown": {"drain_grace_s": 0.5, "deadline_s": 20}},
)
HTTP = urllib3.PoolManager(retries=False, timeout=30.0, maxsize=50)
POLL_PERIOD_S = 0.05


def wait_until(condition, timeout_s):
    deadline_s = time.monotonic() + timeout_s
    while not condition():
        assert time.monotonic() < deadline_s, f"it took longer than {timeout_s} s"
        time.sleep(POLL_PERIOD_S)


class ScenarioContext:
    """A fleet, and what one scenario observed of it."""

    def __init__(self, fleet):
        self.fleet = fleet
        self.old_incarnation = 0
        self.statuses = []
        self.member_sets = set()
        self.calls = []
        self.ended = threading.Event()
        self.pool = ThreadPoolExecutor(30)

    def end(self):
        self.ended.set()
        self.pool.shutdown()
        for each in self.fleet.applications:
            each.process.set_faults()
        self.fleet.vm_list_process.set_faults()
        self.fleet.heal()
        for name, router in self.fleet.routers.items():
            if not router.process.is_running:
                self.fleet.restart_router(name)
            self.fleet.register_router(name)
        self.fleet.wait_ready()
        self.fleet.wait_joined()

    def call(self, router):
        url = self.fleet.routers[router].callers_url + "/works"
        headers = {"Authorization": f"Bearer {account_api_key('alice')}"}
        return HTTP.request("GET", url, headers=headers)

    def call_until_ended(self, router):
        while not self.ended.is_set():
            self.statuses.append(self.call(router).status)

    def incarnations(self, name):
        return {
            member["incarnation"]
            for router in self.fleet.routers
            for member in self.fleet.status(router)["members"]
            if member["vm_name"] == name
        }

    def record_members(self, duration_s):
        deadline_s = time.monotonic() + duration_s
        while time.monotonic() < deadline_s:
            self.member_sets |= {
                frozenset(self.fleet.member_names(name)) for name in NAMES
            }
            time.sleep(POLL_PERIOD_S)

    def all_have_members(self, names, routers=NAMES):
        return all(self.fleet.member_names(router) == names for router in routers)


@pytest.fixture(scope="module")
def running_fleet():
    with Fleet(PLAN, publish=configuration_publisher()) as fleet:
        fleet.wait_ready()
        fleet.wait_joined()
        yield fleet


@pytest.fixture
def context(running_fleet):
    context = ScenarioContext(running_fleet)
    yield context
    context.end()


@given("three routers in three zones, two of which have an application server")
def _(context):
    assert context.fleet.routers.keys() == NAMES


@given("callers keep sending calls to all routers")
def _(context):
    for router in (*NAMES, *NAMES):
        context.pool.submit(context.call_until_ended, router)


@given("callers send slow calls to all routers")
def _(context):
    for each in context.fleet.applications:
        each.process.set_faults(delay_ms=1500)
    routers = [*NAMES, *NAMES, *NAMES]
    context.calls = [context.pool.submit(context.call, router) for router in routers]
    status = context.fleet.status
    wait_until(lambda: sum(status(name)["live_call_count"] for name in NAMES) == 9, 10)


@when(parsers.parse('the VM list names "{name}", which does not run, for 5 seconds'))
def _(context, name):
    dead = Vm(name=name, availability_zone="a", host="127.0.0.1", port=9)
    context.fleet.register_vm(dead)
    context.record_members(5)


@when(parsers.parse('the VM list lacks "{name}" for 8 seconds'))
def _(context, name):
    context.fleet.vm_list_process.delete(f"/control/vms?name={name}")
    context.record_members(8)


@when(parsers.parse('"{name}" is killed'))
def _(context, name):
    (context.old_incarnation,) = context.incarnations(name)
    context.fleet.routers[name].process.kill()


@when(parsers.parse('"{name}" is restarted'))
def _(context, name):
    context.fleet.restart_router(name)
    context.fleet.wait_ready()


@when(parsers.parse('"{name}" is paused for 12 seconds and resumed'))
def _(context, name):
    context.fleet.routers[name].process.pause()
    time.sleep(12)
    context.fleet.routers[name].process.resume()
    wait_until(lambda: context.fleet.is_ready(name), 5)


@when(
    parsers.parse('zone "{zone}" is cut off from the other zones and from the platform')
)
def _(context, zone):
    context.fleet.cut_zone(zone, with_platform=True)


@when("the cut ends")
def _(context):
    context.fleet.heal()


@when(parsers.parse('the VM list says that the target in zone "{zone}" is leaving'))
def _(context, zone):
    target = context.fleet.applications[0].target
    assert target.availability_zone == zone
    time.sleep(1)
    context.fleet.register_vm(
        Vm(
            name=target.name,
            availability_zone=zone,
            host=target.host,
            port=target.port,
            state=VmState.LEAVING,
        )
    )


@when(parsers.parse('"{name}" is asked to stop'))
def _(context, name):
    context.fleet.routers[name].process.terminate()


@then("every router counted exactly the three routers as members throughout")
def _(context):
    assert context.member_sets == {frozenset(NAMES)}


@then("every router counts the three routers as members within 10 seconds")
def _(context):
    wait_until(lambda: context.all_have_members(NAMES), 10)


@then("each router answers a caller")
def _(context):
    assert {context.call(name).status for name in NAMES} == {200}


@then(parsers.parse('the others drop "{name}" from their members within 10 seconds'))
def _(context, name):
    others = NAMES - {name}
    wait_until(lambda: context.all_have_members(others, others), 10)


@then(
    parsers.parse(
        'every router knows the new incarnation of "{name}" and not the old one'
    )
)
def _(context, name):
    (incarnation,) = context.incarnations(name)
    assert incarnation > context.old_incarnation


@then(parsers.parse('"{name}" still counts the others as members'))
def _(context, name):
    assert context.fleet.member_names(name) == NAMES


@then("3 seconds later that target gets no new call for 3 seconds")
def _(context):
    journal = context.fleet.applications[0].process
    time.sleep(3)
    before = len(journal.read("/control/runs")["runs"])
    time.sleep(3)
    assert before > 0
    assert len(journal.read("/control/runs")["runs"]) == before


@then("every call succeeded")
def _(context):
    assert set(context.statuses) == {200}


@then("each of these calls gets its complete answer")
def _(context):
    answers = [call.result() for call in context.calls]
    assert {answer.status for answer in answers} == {200}
    assert all(answer.json()["path"] == "/works" for answer in answers)


@then(
    parsers.parse(
        'the others drop "{name}" from their members within 3 seconds of its exit'
    )
)
def _(context, name):
    process = context.fleet.routers[name].process
    wait_until(lambda: not process.is_running, 20)
    others = NAMES - {name}
    wait_until(lambda: context.all_have_members(others, others), 3)
