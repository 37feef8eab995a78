import itertools
import json
import time
import uuid
from collections import Counter
from concurrent.futures import Future, ThreadPoolExecutor

import pytest
import urllib3
from pytest_bdd import given, parsers, scenarios, then, when

from citrondock_core.object_store import ObjectStoreError
from citrondock_standins.fault import Direction, Fault, FaultKind
from citrondock_standins.fleet import STORE, Fleet, FleetPlan
from citrondock_standins.small_deployment import (
    account_api_key,
    configuration_publisher,
)
from tests.features.callers import WAIT_S, wait_until

scenarios("at_most_once.feature")

CLAIM_LEASE_S = 2.5
CLAIM_MARGIN_S = 1.0
PAST_DEADLINE_S = 1.75
CALL_DEADLINE_MS = 6000
PLAN = FleetPlan(
    router_zones=("a", "b"),
    application_zones=("a", "b"),
    is_proxied=True,
    settings={
        "claims": {"lease_s": CLAIM_LEASE_S, "margin_s": CLAIM_MARGIN_S},
        "shutdown": {"drain_grace_s": 0.1, "deadline_s": 5},
    },
)
HTTP = urllib3.PoolManager(retries=False, timeout=30.0, maxsize=50)


class Town:
    """A fleet with one booking service, and the calls of one scenario."""

    def __init__(self, fleet):
        self.fleet = fleet
        self.services = [each.process for each in fleet.applications]
        self.pool = ThreadPoolExecutor(4)
        self.begin()

    def begin(self):
        self.key = uuid.uuid4().hex
        self.body = json.dumps({"slot": self.key})
        self.first = None
        self.answer = None
        self.took_s = 0.0
        self.sent_at_s = 0.0
        self.pending: Future | None = None
        self.together = {}

    def end(self):
        self.set_service_faults()
        self.fleet.store_process.set_faults()
        self.fleet.heal()
        for name, router in self.fleet.routers.items():
            if router.process.is_running:
                router.process.resume()
            else:
                self.fleet.restart_router(name)
        self.fleet.wait_ready()
        self.fleet.wait_joined()
        for name in self.fleet.routers:
            wait_until(lambda name=name: self.takes_bookings(name))

    def takes_bookings(self, router):
        return self.send(router, key=uuid.uuid4().hex).status == 200

    def send(self, router, *, key=None, body=None, path="/bookings"):
        headers = {
            "Authorization": f"Bearer {account_api_key('alice')}",
            "X-Deadline-Ms": str(CALL_DEADLINE_MS),
        }
        if path == "/bookings":
            headers["Idempotency-Key"] = key or self.key
        url = self.fleet.routers[router].callers_url + path
        began_s = time.monotonic()
        answer = HTTP.request("POST", url, body=body or self.body, headers=headers)
        self.took_s = time.monotonic() - began_s
        return answer

    def send_later(self, router):
        self.sent_at_s = time.monotonic()
        self.pending = self.pool.submit(self.send, router)

    def runs(self, key=None):
        journals = [each.read("/control/runs")["runs"] for each in self.services]
        runs = itertools.chain.from_iterable(journals)
        return Counter(run["idempotency_key"] for run in runs)[key or self.key]

    def set_service_faults(self, **faults):
        for service in self.services:
            service.set_faults(**faults)

    def holds_claim(self):
        try:
            claims = self.fleet.store.list("claims/")
        except ObjectStoreError:
            return False
        return any(self.key.encode() in stored.value for stored in claims)


def said(answer):
    return answer.json()["error"]["ran"]


@pytest.fixture(scope="module")
def shared_town():
    with Fleet(PLAN, publish=configuration_publisher()) as fleet:
        fleet.wait_ready()
        fleet.wait_joined()
        yield Town(fleet)


@pytest.fixture
def town(shared_town):
    shared_town.begin()
    yield shared_town
    shared_town.end()


@given("two routers before a booking service")
def _(town):
    assert len(town.fleet.routers) == 2


@given("a booking that was answered at router-a1")
def _(town):
    town.first = town.send("router-a1")
    assert town.first.status == 200, town.first.data


@given("a booking that takes 2 seconds and that router-a1 has sent")
def _(town):
    town.set_service_faults(delay_ms=2000)
    town.send_later("router-a1")
    wait_until(lambda: town.runs() == 1)


@given("the service closes the connection after it ran the next booking")
def _(town):
    town.set_service_faults(close_after_count=1)


@given("the service refuses bookings without running them")
def _(town):
    town.set_service_faults(refuse_count=100_000)


@when("the service takes bookings again")
def _(town):
    town.set_service_faults()


@given("the object store refuses all calls")
def _(town):
    town.fleet.store_process.set_faults(outage="refuse")


@given("the object store answers no call")
def _(town):
    town.fleet.store_process.set_faults(outage="hang")


@given("the object store loses the answers of the next 2 writes of claims")
def _(town):
    town.fleet.store_process.set_faults(
        lose_answers_count=2, lose_answers_prefix="claims/"
    )


@given("the object store's answers to router-a1 take 0.8 seconds")
def _(town):
    late = Fault(kind=FaultKind.DELAY, direction=Direction.TO_CLIENT, delay_ms=800)
    town.fleet.set_faults(STORE, late, sender="router-a1")


@when("a caller sends ten bookings, each four times at once to both routers")
def _(town):
    keys = [uuid.uuid4().hex for _ in range(10)]
    routers = ("router-a1", "router-b1") * 2
    with ThreadPoolExecutor(len(keys) * len(routers)) as pool:
        calls = {
            key: [pool.submit(town.send, router, key=key) for router in routers]
            for key in keys
        }
    town.together = {
        key: [call.result() for call in pending] for key, pending in calls.items()
    }


@when(parsers.parse("a caller sends a booking to {router}"))
def _(town, router):
    town.answer = None
    town.send_later(router)


@when(parsers.re(r"the caller repeats the booking at (?P<router>\S+)"))
def _(town, router):
    town.answer = town.send(router)


@when(parsers.re(r"the caller repeats the booking at (?P<router>\S+) until it is \w+"))
def _(town, router):
    def is_answered():
        town.answer = town.send(router)
        return town.answer.status == 200

    wait_until(is_answered)


@when("the caller sends another booking with the same key to router-b1")
def _(town):
    town.answer = town.send("router-b1", body='{"slot": "another"}')


@when("a caller reads a work at router-a1")
def _(town):
    town.answer = town.send("router-a1", path="/works")


@when("router-a1 is killed")
def _(town):
    town.fleet.routers["router-a1"].process.kill()


@when("router-a1 is stopped as soon as its claim is in the store")
def _(town):
    wait_until(town.holds_claim)
    town.fleet.routers["router-a1"].process.pause()
    assert not town.pending.done()
    assert town.runs() == 0


@when("router-a1 runs again after the deadline of its claim")
def _(town):
    time.sleep(max(0.0, town.sent_at_s + PAST_DEADLINE_S - time.monotonic()))
    town.fleet.routers["router-a1"].process.resume()


@when("the object store refuses all calls until the booking is answered")
def _(town):
    town.fleet.store_process.set_faults(outage="refuse")
    town.first = town.pending.result(WAIT_S)
    assert town.first.status == 200, town.first.data
    time.sleep(0.5)
    town.fleet.store_process.set_faults()


@then("the journal shows each of these bookings once")
def _(town):
    assert {key: town.runs(key) for key in town.together} == dict.fromkeys(
        town.together, 1
    )


@then('each answer is the booking\'s own answer or says "maybe"')
def _(town):
    for key, answers in town.together.items():
        own = [answer for answer in answers if answer.status == 200]
        assert own
        assert {answer.json()["idempotency_key"] for answer in own} == {key}
        others = [answer for answer in answers if answer.status != 200]
        assert {said(answer) for answer in others} <= {"maybe"}


@then("the caller gets an answer")
def _(town):
    answer = latest(town)
    assert answer.status == 200, answer.data
    town.first = answer


@then("the caller gets the first answer again")
def _(town):
    assert (town.answer.status, town.answer.data) == (200, town.first.data)


@then(parsers.re(r'the caller is refused with "(?P<ran>\w+)"'))
def _(town, ran):
    assert said(latest(town)) == ran


@then(parsers.parse('the caller is refused with "{ran}" within 10 seconds'))
def _(town, ran):
    assert said(latest(town)) == ran
    assert town.took_s < 10


@then(parsers.parse('router-a1 answers "{ran}"'))
def _(town, ran):
    assert said(town.pending.result(WAIT_S)) == ran


@then("the journal shows the booking once")
def _(town):
    assert town.runs() == 1


@then("the journal does not show the booking")
def _(town):
    assert town.runs() == 0


def latest(town):
    if town.answer is None:
        town.answer = town.pending.result(WAIT_S)
    return town.answer
