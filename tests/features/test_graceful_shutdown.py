import json
from collections import Counter
from concurrent.futures import ThreadPoolExecutor

import pytest
from pytest_bdd import given, scenarios, then, when

from citrondock_standins.fleet import EnginePlan, Fleet, FleetPlan
from citrondock_standins.small_deployment import configuration_publisher
from tests.features.callers import (
    LoadBalancer,
    LoadGenerator,
    chat_body,
    check_answer,
    send,
    send_chat_request,
    wait_until,
)

scenarios("graceful_shutdown.feature")

PLAN = FleetPlan(
    router_zones=("a", "a", "b"),
    engines=(EnginePlan(availability_zone="a"), EnginePlan(availability_zone="b")),
    application_zones=("a", "b"),
    engine_flags={"step_ms": 10, "step_per_sequence_ms": 0.1},
    settings={
        "peers": {"heartbeat_period_s": 0.3},
        "platform": {"vm_poll_period_s": 0.3},
        "shutdown": {"drain_grace_s": 0.8, "deadline_s": 30},
    },
)
TARGET_COUNT = 4


class ScenarioContext:
    """A fleet, and the callers of one scenario."""

    def __init__(self, fleet):
        self.fleet = fleet
        self.load = None
        self.load_balancer = None
        self.pool = ThreadPoolExecutor(40)
        self.requests = {}

    def end(self):
        if self.load is not None:
            self.load.stop()
            self.load_balancer.stop()
        self.pool.shutdown()
        for name, router in self.fleet.routers.items():
            if not router.process.is_running:
                self.fleet.restart_router(name)
        self.fleet.wait_ready()
        self.fleet.wait_joined()
        wait_until(self.is_idle)

    def is_idle(self):
        pages = [self.fleet.status(name) for name in self.fleet.routers]
        return not any(p["live_call_count"] or p["busy_slot_count"] for p in pages)

    def send_chat_requests(self, router, count, *, max_tokens):
        url = self.fleet.routers[router].callers_url
        bodies = [
            chat_body(content=f"{router} {n}", max_tokens=max_tokens, stream=n % 3 > 0)
            for n in range(count)
        ]
        self.requests[router] = [
            (self.pool.submit(send_chat_request, url, b), b) for b in bodies
        ]

    def answers(self, router):
        return [(future.result(), body) for future, body in self.requests[router]]

    def home_targets(self, router):
        return set(self.fleet.status(router)["limit_by_target"])

    def engine_runs(self):
        runs = [
            run
            for each in self.fleet.engines
            for run in each.process.read("/control/runs", index=each.index)["runs"]
        ]
        return Counter(run["outcome"] for run in runs)


def send_load_request(url, number, turn, http):
    """Send a booking or a chat request; return its path or body, and the answer."""
    account = ("alice", "bob")[number % 2]
    if number % 4 == 0:
        path = f"/bookings/{number}-{turn}"
        return path, send(url, path, b"seat 7", account=account, http=http)
    body = chat_body(
        content=f"caller {number}, {turn}",
        max_tokens=250 if number % 8 == 7 else 10 + 10 * (number % 5),
        stream=number % 4 > 1,
    )
    return body, send_chat_request(url, body, account=account, http=http)


@pytest.fixture(scope="module")
def fleet():
    with Fleet(PLAN, publish=configuration_publisher(max_in_flight=6)) as running:
        running.wait_ready()
        running.wait_joined()
        yield running


@pytest.fixture
def context(fleet):
    context = ScenarioContext(fleet)
    yield context
    context.end()


@given("three routers in front of two engines and two application servers")
def _(context):
    assert len(context.fleet.routers) == 3


@given("24 callers that keep requesting streams, non-streamed answers and bookings")
def _(context):
    context.load_balancer = LoadBalancer(context.fleet)
    context.load = LoadGenerator(
        context.load_balancer.url, caller_count=24, send_request=send_load_request
    )
    wait_until(lambda: len(context.load.answers) > 24)


@given("30 callers that wait at router-a1")
def _(context):
    context.send_chat_requests("router-a1", 30, max_tokens=150)
    wait_until(lambda: context.fleet.status("router-a1")["waiting_count_by_account"])


@given("10 callers with requests at router-a1 and 10 at router-b1")
def _(context):
    context.cancelled_before = context.engine_runs()["cancelled"]
    for router in ("router-a1", "router-b1"):
        context.send_chat_requests(router, 10, max_tokens=100)
    wait_until(lambda: context.engine_runs()["running"] > 2)


@when("the routers are stopped gracefully and restarted, one after the other")
def _(context):
    for name, router in context.fleet.routers.items():
        assert router.process.stop(timeout_s=40.0) == 0
        context.fleet.restart_router(name)
        context.fleet.wait_ready()
        context.fleet.wait_joined()
    count = len(context.load.answers)
    wait_until(lambda: len(context.load.answers) > count + 24)
    context.load.stop()


@when("router-a1 is asked to stop")
def _(context):
    context.fleet.routers["router-a1"].process.terminate()


@when("router-a1 is killed")
def _(context):
    context.fleet.routers["router-a1"].process.kill()


@then("every caller got its own complete answer")
def _(context):
    if context.load is None:
        for answer, body in context.answers("router-a1"):
            assert answer.is_complete, answer
            check_answer(answer, body)
        return
    for request, answer in context.load.answers:
        assert answer.is_complete, (request, answer)
        if isinstance(request, dict):
            check_answer(answer, request)
        else:
            assert json.loads(answer.data)["path"] == request


@then("no call was refused")
def _(context):
    assert [answer for _, answer in context.load.answers if answer.status != 200] == []


@then("no booking ran more than once")
def _(context):
    runs = Counter(
        run["path"]
        for each in context.fleet.applications
        for run in each.process.read("/control/runs")["runs"]
    )
    assert runs
    assert set(runs.values()) == {1}


@then("each target has one of the other routers as its home router")
def _(context):
    others = [name for name in context.fleet.routers if name != "router-a1"]

    def each_target_has_one_home():
        home_targets = [
            target for name in others for target in context.home_targets(name)
        ]
        return len(home_targets) == len(set(home_targets)) == TARGET_COUNT

    wait_until(each_target_has_one_home)


@then("the leaving router is home router of no target while callers still wait there")
def _(context):
    wait_until(lambda: not context.home_targets("router-a1"))
    assert any(not future.done() for future, _ in context.requests["router-a1"])


@then("the callers of router-a1 are told to close their connections")
def _(context):
    latest = context.answers("router-a1")[-1][0]
    assert latest.headers["Connection"].lower() == "close"


@then("router-a1 exits on its own")
def _(context):
    wait_until(lambda: not context.fleet.routers["router-a1"].process.is_running)


@then("each caller of router-a1 sees whether its answer is complete, and some are not")
def _(context):
    for answer, body in context.answers("router-a1"):
        check_answer(answer, body)
    assert any(not answer.is_complete for answer, _ in context.answers("router-a1"))


@then("every caller of router-b1 got its own complete answer")
def _(context):
    for answer, body in context.answers("router-b1"):
        assert answer.is_complete, answer
        check_answer(answer, body)


@then("the engines cancel the runs of router-a1")
def _(context):
    wait_until(lambda: not context.engine_runs()["running"])
    assert context.engine_runs()["cancelled"] > context.cancelled_before
