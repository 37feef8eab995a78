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


def wait_until(name, condition, timeout_s):
    began_s = time.monotonic()
    while not condition():
        assert time.monotonic() < began_s + timeout_s, f"{name} took over {timeout_s} s"
        time.sleep(0.05)
    print(f"event=recovered what={name!r} after_s={time.monotonic() - began_s:.1f}")


class ScenarioContext:
    """A fleet, and the idempotency key of the scenario's booking."""

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

    def send_call(self, router, path, key=None):
        headers = {"Authorization": f"Bearer {account_api_key('alice')}"}
        if key:
            headers["Idempotency-Key"] = key
        url = self.fleet.routers[router].callers_url + path
        return HTTP.request("POST", url, body=b"{}", headers=headers)

    def send_booking(self, router, key=None):
        return self.send_call(router, "/bookings", key or uuid.uuid4().hex)

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
def context(running_fleet):
    context = ScenarioContext(running_fleet)
    yield context
    context.end()


@given("routers in three zones, two of which have a booking service")
def _(context):
    assert context.fleet.routers.keys() == NAMES


@given("the store drops the answers to the next 3 writes of claims")
def _(context):
    context.fleet.store_process.set_faults(
        lose_answers_count=3, lose_answers_prefix="claims/"
    )


@when("the store refuses all calls")
def _(context):
    context.fleet.store_process.set_faults(outage="refuse")


@when("the store is available again")
def _(context):
    context.fleet.store_process.set_faults()


@when(parsers.parse('"{name}" is killed and restarted'))
def _(context, name):
    context.fleet.routers[name].process.kill()
    context.fleet.restart_router(name)


@when(
    parsers.parse(
        '"{name}" sends a booking that takes 2 seconds and is killed while it runs'
    )
)
def _(context, name):
    for each in context.fleet.applications:
        each.process.set_faults(delay_ms=2000)
    with ThreadPoolExecutor(1) as pool:
        call = pool.submit(context.send_booking, name, context.key)
        wait_until("sending", lambda: context.runs()[context.key] == 1, 15)
        context.fleet.routers[name].process.kill()
        assert isinstance(call.exception(), urllib3.exceptions.HTTPError)


@then("each router answers a call that may be retried")
def _(context):
    answers = {name: context.send_call(name, "/works") for name in NAMES}
    statuses = {name: answer.status for name, answer in answers.items()}
    assert statuses == dict.fromkeys(NAMES, 200)


@then('each router rejects a booking with ran="no" and none runs')
def _(context):
    before = context.runs()
    errors = [context.send_booking(name).json()["error"] for name in NAMES]
    assert {error["ran"] for error in errors} == {"no"}
    assert context.runs() == before


@then("each router accepts a booking again within 15 seconds")
def _(context):
    answers = {}

    def all_accept():
        answers.update({name: context.send_booking(name) for name in NAMES})
        return all(answer.status == 200 for answer in answers.values())

    try:
        wait_until("bookings", all_accept, 15)
    finally:
        print({name: answer.data for name, answer in answers.items()})


@then("no booking has run more than once")
def _(context):
    assert set(context.runs().values()) <= {1}


@then(
    parsers.parse('"{name}" is ready within 15 seconds with the others\' configuration')
)
def _(context, name):
    wait_until("readiness", lambda: context.fleet.is_ready(name), 15)
    revisions = {context.fleet.status(each)["configuration_revision"] for each in NAMES}
    assert len(revisions) == 1


@then(parsers.parse('a retry of the booking at "{name}" is rejected with ran="{ran}"'))
def _(context, name, ran):
    assert context.send_booking(name, context.key).json()["error"]["ran"] == ran
