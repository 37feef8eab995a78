import time
import uuid
from collections import Counter
from concurrent.futures import ThreadPoolExecutor

import pytest
import urllib3
from pytest_bdd import given, parsers, scenarios, then, when

from citrondock_standins.fleet import Fleet, FleetPlan
from citrondock_standins.small_deployment import (
    account_api_key,
    configuration_publisher,
)

scenarios("faults.feature")

NAMES = {"router-a1", "router-b1", "router-c1"}
PLAN = FleetPlan(
    router_zones=("a", "b", "c"),
    application_zones=("a", "b"),
    is_proxied=True,
    settings={"shutdown": {"drain_grace_s": 0.1, "deadline_s": 5}},
)
HTTP = urllib3.PoolManager(retries=False, timeout=30.0, maxsize=50)


def wait_until(what, condition, timeout_s):
    began_s = time.monotonic()
    while not condition():
        assert time.monotonic() < began_s + timeout_s, f"{what} took over {timeout_s} s"
        time.sleep(0.05)
    print(f"event=recovered what={what!r} after_s={time.monotonic() - began_s:.1f}")


class Scene:
    def __init__(self, fleet):
        self.fleet = fleet
        self.key = uuid.uuid4().hex

    def end(self):
        for each in self.fleet.applications:
            each.process.set_faults()
        self.fleet.store_process.set_faults()
        for name, router in self.fleet.routers.items():
            if not router.process.is_running:
                self.fleet.restart_router(name)
        self.fleet.wait_ready()
        self.fleet.wait_joined()

    def call(self, router, path, key=None):
        headers = {"Authorization": f"Bearer {account_api_key('alice')}"}
        if key:
            headers["Idempotency-Key"] = key
        url = self.fleet.routers[router].callers_url + path
        return HTTP.request("POST", url, body=b"{}", headers=headers)

    def book(self, router, key=None):
        return self.call(router, "/bookings", key or uuid.uuid4().hex)

    def runs(self):
        runs = Counter()
        for each in self.fleet.applications:
            journal = each.process.read("/control/runs")["runs"]
            runs.update(run["idempotency_key"] for run in journal)
        del runs[""]
        return runs


@pytest.fixture(scope="module")
def running_fleet():
    with Fleet(PLAN, publish=configuration_publisher()) as fleet:
        fleet.wait_ready()
        fleet.wait_joined()
        yield fleet


@pytest.fixture
def scene(running_fleet):
    scene = Scene(running_fleet)
    yield scene
    scene.end()


@given("routers in three zones, two of which have a booking service")
def _(scene):
    assert scene.fleet.routers.keys() == NAMES


@given("the store loses the answers of the next 3 writes of claims")
def _(scene):
    scene.fleet.store_process.set_faults(
        lose_answers_count=3, lose_answers_prefix="claims/"
    )


@when("the store refuses all calls")
def _(scene):
    scene.fleet.store_process.set_faults(outage="refuse")


@when("the store comes back")
def _(scene):
    scene.fleet.store_process.set_faults()


@when(parsers.parse('"{name}" is killed and started again'))
def _(scene, name):
    scene.fleet.routers[name].process.kill()
    scene.fleet.restart_router(name)


@when(
    parsers.parse(
        'a booking that takes 2 seconds is sent by "{name}", which is killed then'
    )
)
def _(scene, name):
    for each in scene.fleet.applications:
        each.process.set_faults(delay_ms=2000)
    with ThreadPoolExecutor(1) as pool:
        call = pool.submit(scene.book, name, scene.key)
        wait_until("sending", lambda: scene.runs()[scene.key] == 1, 15)
        scene.fleet.routers[name].process.kill()
        assert isinstance(call.exception(), urllib3.exceptions.HTTPError)


@then("each router answers a call that may be repeated")
def _(scene):
    answers = {name: scene.call(name, "/works") for name in NAMES}
    statuses = {name: answer.status for name, answer in answers.items()}
    assert statuses == dict.fromkeys(NAMES, 200)


@then('each router refuses a keyed booking with "no"')
def _(scene):
    before = scene.runs()
    errors = [scene.book(name).json()["error"] for name in NAMES]
    assert {error["ran"] for error in errors} == {"no"}
    assert scene.runs() == before


@then("each router takes a keyed booking again within 15 seconds")
def _(scene):
    answers = {}

    def takes():
        answers.update({name: scene.book(name) for name in NAMES})
        return all(answer.status == 200 for answer in answers.values())

    try:
        wait_until("keyed bookings", takes, 15)
    finally:
        print({name: answer.data for name, answer in answers.items()})


@then("no booking has run twice")
def _(scene):
    assert set(scene.runs().values()) <= {1}


@then(
    parsers.parse('"{name}" is ready within 15 seconds with the others\' configuration')
)
def _(scene, name):
    wait_until("readiness", lambda: scene.fleet.is_ready(name), 15)
    revisions = {scene.fleet.status(each)["configuration_revision"] for each in NAMES}
    assert len(revisions) == 1


@then(parsers.parse('the booking repeated at "{name}" is refused with "{ran}"'))
def _(scene, name, ran):
    assert scene.book(name, scene.key).json()["error"]["ran"] == ran
