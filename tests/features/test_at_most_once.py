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
from tests.features.callers import WAIT_TIMEOUT_S, wait_until

scenarios("at_most_once.feature")

CLAIM_LEASE_S = 2.5
CLAIM_MARGIN_S = 1.0
PAST_DEADLINE_S = 1.75
"""Time after a call at which its claim's send deadline (lease - margin) is past."""
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


class ScenarioContext:
    """A fleet with one booking service, and the state of the current scenario."""

    def __init__(self, fleet):
        self.fleet = fleet
        self.services = [each.process for each in fleet.applications]
        self.pool = ThreadPoolExecutor(4)
        self.begin()

    def begin(self):
        self.key = uuid.uuid4().hex
        self.body = json.dumps({"slot": self.key})
        self.first_answer = None
        self.answer = None
        self.elapsed_s = 0.0
        self.sent_at_s = 0.0
        self.pending: Future | None = None
        self.concurrent_answers = {}

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
            wait_until(lambda name=name: self.accepts_bookings(name))

    def accepts_bookings(self, router):
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
        self.elapsed_s = time.monotonic() - began_s
        return answer

    def send_in_background(self, router):
        self.sent_at_s = time.monotonic()
        self.pending = self.pool.submit(self.send, router)

    def run_count(self, key=None):
        journals = [each.read("/control/runs")["runs"] for each in self.services]
        runs = itertools.chain.from_iterable(journals)
        return Counter(run["idempotency_key"] for run in runs)[key or self.key]

    def set_service_faults(self, **faults):
        for service in self.services:
            service.set_faults(**faults)

    def has_stored_claim(self):
        try:
            claims = self.fleet.store.list("claims/")
        except ObjectStoreError:
            return False
        return any(self.key.encode() in stored.value for stored in claims)


def ran_field(answer):
    """Return whether the call ran, as its error says: "no" or "maybe"."""
    return answer.json()["error"]["ran"]


@pytest.fixture(scope="module")
def shared_context():
    with Fleet(PLAN, publish=configuration_publisher()) as fleet:
        fleet.wait_ready()
        fleet.wait_joined()
        yield ScenarioContext(fleet)


@pytest.fixture
def context(shared_context):
    shared_context.begin()
    yield shared_context
    shared_context.end()


@given("two routers in front of a booking service")
def _(context):
    assert len(context.fleet.routers) == 2


@given("a booking that router-a1 has answered")
def _(context):
    def is_answered():
        context.first_answer = context.send("router-a1")
        if context.first_answer.status != 200:
            # The circuit of the store limits the calls after an earlier scenario.
            assert context.first_answer.status == 503, context.first_answer.data
            assert ran_field(context.first_answer) == "no"
        return context.first_answer.status == 200

    wait_until(is_answered)


@given("a booking that takes 2 seconds and that router-a1 has sent to the service")
def _(context):
    context.set_service_faults(delay_ms=2000)
    context.send_in_background("router-a1")
    wait_until(lambda: context.run_count() == 1)


@given("the service runs the next booking and closes the connection without an answer")
def _(context):
    context.set_service_faults(close_after_count=1)


@given("the service refuses bookings without running them")
def _(context):
    context.set_service_faults(refuse_count=100_000)


@when("the service accepts bookings again")
def _(context):
    context.set_service_faults()


@given("the object store refuses all calls")
def _(context):
    context.fleet.store_process.set_faults(outage="refuse")


@given("the object store never answers")
def _(context):
    context.fleet.store_process.set_faults(outage="hang")


@given("the object store drops the answers to the next 2 writes of claims")
def _(context):
    context.fleet.store_process.set_faults(
        lose_answers_count=2, lose_answers_prefix="claims/"
    )


@given("a copy of the object store")
def _(context):
    context.fleet.store_process.take_copy()


@when("the object store comes back from the copy")
def _(context):
    context.fleet.store_process.restore()


@given("the object store's answers to router-a1 take 0.8 seconds")
def _(context):
    late = Fault(kind=FaultKind.DELAY, direction=Direction.TO_CLIENT, delay_ms=800)
    context.fleet.set_faults(STORE, late, sender="router-a1")


@given("the calls of router-a1 to the object store take 0.3 seconds")
def _(context):
    late = Fault(kind=FaultKind.DELAY, direction=Direction.TO_TARGET, delay_ms=300)
    context.fleet.set_faults(STORE, late, sender="router-a1")


@when("a caller sends ten bookings, each twice to both routers at the same time")
def _(context):
    keys = [uuid.uuid4().hex for _ in range(10)]
    routers = ("router-a1", "router-b1") * 2
    with ThreadPoolExecutor(len(keys) * len(routers)) as pool:
        calls = {
            key: [pool.submit(context.send, router, key=key) for router in routers]
            for key in keys
        }
    context.concurrent_answers = {
        key: [call.result() for call in pending] for key, pending in calls.items()
    }


@when(parsers.parse("a caller sends a booking to {router}"))
def _(context, router):
    context.answer = None
    context.send_in_background(router)


@when(parsers.re(r"the caller retries the booking at (?P<router>\S+)"))
def _(context, router):
    context.answer = context.send(router)


@when(
    parsers.re(r"the caller retries the booking at (?P<router>\S+) until it succeeds")
)
def _(context, router):
    def is_answered():
        context.answer = context.send(router)
        return context.answer.status == 200

    wait_until(is_answered)


@when(
    parsers.re(
        r"the caller retries the booking at (?P<router>\S+) while its claim is held"
    )
)
def _(context, router):
    def has_ended():
        context.answer = context.send(router)
        if context.answer.status == 409:
            # The outcome is written after the caller got its answer.
            assert context.answer.json()["error"]["reason"] == "claim_held"
            assert ran_field(context.answer) == "maybe"
            assert float(context.answer.headers["Retry-After"]) > 0
        return context.answer.status != 409

    wait_until(has_ended)


@when("the caller sends another booking with the same key to router-b1")
def _(context):
    context.answer = context.send("router-b1", body='{"slot": "another"}')


@when("a caller requests /works at router-a1")
def _(context):
    context.answer = context.send("router-a1", path="/works")


@when("router-a1 is killed")
def _(context):
    context.fleet.routers["router-a1"].process.kill()


@when("router-a1 is paused as soon as its claim is in the store")
def _(context):
    wait_until(context.has_stored_claim)
    context.fleet.routers["router-a1"].process.pause()
    assert not context.pending.done()
    assert context.run_count() == 0


@when("router-a1 is resumed after the send deadline of its claim")
def _(context):
    time.sleep(max(0.0, context.sent_at_s + PAST_DEADLINE_S - time.monotonic()))
    context.fleet.routers["router-a1"].process.resume()


@when("the object store refuses all calls until the booking is answered")
def _(context):
    context.fleet.store_process.set_faults(outage="refuse")
    context.first_answer = context.pending.result(WAIT_TIMEOUT_S)
    assert context.first_answer.status == 200, context.first_answer.data
    time.sleep(0.5)
    context.fleet.store_process.set_faults()


@then("the service ran each of these bookings once")
def _(context):
    assert {
        key: context.run_count(key) for key in context.concurrent_answers
    } == dict.fromkeys(context.concurrent_answers, 1)


@then('each answer is the booking\'s own or an error with ran="maybe"')
def _(context):
    for key, answers in context.concurrent_answers.items():
        own = [answer for answer in answers if answer.status == 200]
        assert own
        assert {answer.json()["idempotency_key"] for answer in own} == {key}
        others = [answer for answer in answers if answer.status != 200]
        assert {ran_field(answer) for answer in others} <= {"maybe"}


@then("the caller gets a successful answer")
def _(context):
    answer = latest_answer(context)
    assert answer.status == 200, answer.data
    context.first_answer = answer


@then("the caller gets the first answer again")
def _(context):
    assert (context.answer.status, context.answer.data) == (
        200,
        context.first_answer.data,
    )


@then(parsers.re(r'the caller gets an error with ran="(?P<ran>\w+)"'))
def _(context, ran):
    assert ran_field(latest_answer(context)) == ran


@then(parsers.parse('the caller gets an error with ran="{ran}" within 10 seconds'))
def _(context, ran):
    assert ran_field(latest_answer(context)) == ran
    assert context.elapsed_s < 10


@then(parsers.parse('router-a1 returns an error with ran="{ran}"'))
def _(context, ran):
    assert ran_field(context.pending.result(WAIT_TIMEOUT_S)) == ran


@then("the service ran the booking once")
def _(context):
    assert context.run_count() == 1


@then("the service did not run the booking")
def _(context):
    assert context.run_count() == 0


def latest_answer(context):
    if context.answer is None:
        context.answer = context.pending.result(WAIT_TIMEOUT_S)
    return context.answer
