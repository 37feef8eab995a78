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
PERIOD_S = 0.05


def wait_until(condition, timeout_s):
    deadline_s = time.monotonic() + timeout_s
    while not condition():
        assert time.monotonic() < deadline_s, f"it took longer than {timeout_s} s"
        time.sleep(PERIOD_S)


class Watched:
    """A fleet, and what one scenario knows of it."""

    def __init__(self, fleet):
        self.fleet = fleet
        self.former_incarnation = 0
        self.answers = []
        self.seen = set()
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

    def call_all_the_time(self, router):
        while not self.ended.is_set():
            self.answers.append(self.call(router).status)

    def incarnations(self, name):
        return {
            member["incarnation"]
            for router in self.fleet.routers
            for member in self.fleet.status(router)["members"]
            if member["vm_name"] == name
        }

    def look_for(self, duration_s):
        deadline_s = time.monotonic() + duration_s
        while time.monotonic() < deadline_s:
            self.seen |= {frozenset(self.fleet.member_names(name)) for name in NAMES}
            time.sleep(PERIOD_S)

    def all_count(self, names, routers=NAMES):
        return all(self.fleet.member_names(router) == names for router in routers)


@pytest.fixture(scope="module")
def running_fleet():
    with Fleet(PLAN, publish=configuration_publisher()) as fleet:
        fleet.wait_ready()
        fleet.wait_joined()
        yield fleet


@pytest.fixture
def watched(running_fleet):
    scene = Watched(running_fleet)
    yield scene
    scene.end()


@given("three routers in three zones, two of which have a service")
def _(watched):
    assert watched.fleet.routers.keys() == NAMES


@given("callers send calls to all routers all the time")
def _(watched):
    for router in (*NAMES, *NAMES):
        watched.pool.submit(watched.call_all_the_time, router)


@given("callers send slow calls to all routers")
def _(watched):
    for each in watched.fleet.applications:
        each.process.set_faults(delay_ms=1500)
    routers = [*NAMES, *NAMES, *NAMES]
    watched.calls = [watched.pool.submit(watched.call, router) for router in routers]
    operators = watched.fleet.status
    wait_until(
        lambda: sum(operators(name)["live_call_count"] for name in NAMES) == 9, 10
    )


@when(parsers.parse('the VM list names "{name}", which is dead, for 5 seconds'))
def _(watched, name):
    dead = Vm(name=name, availability_zone="a", host="127.0.0.1", port=9)
    watched.fleet.register_vm(dead)
    watched.look_for(5)


@when(parsers.parse('the VM list lacks "{name}" for 8 seconds'))
def _(watched, name):
    watched.fleet.vm_list_process.delete(f"/control/vms?name={name}")
    watched.look_for(8)


@when(parsers.parse('"{name}" is killed'))
def _(watched, name):
    (watched.former_incarnation,) = watched.incarnations(name)
    watched.fleet.routers[name].process.kill()


@when(parsers.parse('"{name}" is started again'))
def _(watched, name):
    watched.fleet.restart_router(name)
    watched.fleet.wait_ready()


@when(parsers.parse('"{name}" is stopped for 12 seconds and runs again'))
def _(watched, name):
    watched.fleet.routers[name].process.pause()
    time.sleep(12)
    watched.fleet.routers[name].process.resume()
    wait_until(lambda: watched.fleet.is_ready(name), 5)


@when(parsers.parse('zone "{zone}" is cut off from the others and from the platform'))
def _(watched, zone):
    watched.fleet.cut_zone(zone, with_platform=True)


@when("the cut ends")
def _(watched):
    watched.fleet.heal()


@when(parsers.parse('the VM list says that the target in zone "{zone}" is leaving'))
def _(watched, zone):
    target = watched.fleet.applications[0].target
    assert target.availability_zone == zone
    time.sleep(1)
    watched.fleet.register_vm(
        Vm(
            name=target.name,
            availability_zone=zone,
            host=target.host,
            port=target.port,
            state=VmState.LEAVING,
        )
    )


@when(parsers.parse('"{name}" is told to stop'))
def _(watched, name):
    watched.fleet.routers[name].process.terminate()


@then("every router counts the three routers as members all the while")
def _(watched):
    assert watched.seen == {frozenset(NAMES)}


@then("every router counts the three routers as members within 10 seconds")
def _(watched):
    wait_until(lambda: watched.all_count(NAMES), 10)


@then("each router answers a caller")
def _(watched):
    assert {watched.call(name).status for name in NAMES} == {200}


@then(parsers.parse('the others lose "{name}" within 10 seconds'))
def _(watched, name):
    others = NAMES - {name}
    wait_until(lambda: watched.all_count(others, others), 10)


@then(parsers.parse('every router knows the new "{name}" and not the former'))
def _(watched, name):
    (incarnation,) = watched.incarnations(name)
    assert incarnation > watched.former_incarnation


@then(parsers.parse('"{name}" has not lost the others'))
def _(watched, name):
    assert watched.fleet.member_names(name) == NAMES


@then("3 seconds later that target gets no new call for 3 seconds")
def _(watched):
    journal = watched.fleet.applications[0].process
    time.sleep(3)
    before = len(journal.read("/control/runs")["runs"])
    time.sleep(3)
    assert before > 0
    assert len(journal.read("/control/runs")["runs"]) == before


@then("no caller was refused")
def _(watched):
    assert set(watched.answers) == {200}


@then("every one of these calls gets its whole answer")
def _(watched):
    answers = [call.result() for call in watched.calls]
    assert {answer.status for answer in answers} == {200}
    assert all(answer.json()["path"] == "/works" for answer in answers)


@then(parsers.parse('the others lose "{name}" within 3 seconds of its end'))
def _(watched, name):
    process = watched.fleet.routers[name].process
    wait_until(lambda: not process.is_running, 20)
    others = NAMES - {name}
    wait_until(lambda: watched.all_count(others, others), 3)
