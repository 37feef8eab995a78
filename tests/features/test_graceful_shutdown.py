import json
from collections import Counter
from concurrent.futures import ThreadPoolExecutor

import pytest
from pytest_bdd import given, scenarios, then, when

from citrondock_standins.fleet import EnginePlan, Fleet, FleetPlan
from citrondock_standins.small_deployment import configuration_publisher
from tests.features.callers import (
    Balancer,
    Load,
    ask,
    chat_body,
    check_answer,
    send,
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


class Scene:
    def __init__(self, fleet):
        self.fleet = fleet
        self.load = None
        self.balancer = None
        self.pool = ThreadPoolExecutor(40)
        self.asked = {}

    def end(self):
        if self.load is not None:
            self.load.stop()
            self.balancer.stop()
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

    def ask_at(self, router, count, *, max_tokens):
        url = self.fleet.routers[router].callers_url
        bodies = [
            chat_body(content=f"{router} {n}", max_tokens=max_tokens, stream=n % 3 > 0)
            for n in range(count)
        ]
        self.asked[router] = [(self.pool.submit(ask, url, b), b) for b in bodies]

    def answers(self, router):
        return [(future.result(), body) for future, body in self.asked[router]]

    def homes(self, router):
        return set(self.fleet.status(router)["limit_by_target"])

    def engine_runs(self):
        runs = [
            run
            for each in self.fleet.engines
            for run in each.process.read("/control/runs", index=each.index)["runs"]
        ]
        return Counter(run["outcome"] for run in runs)


def request_of_load(url, number, turn, http):
    account = ("alice", "bob")[number % 2]
    if number % 4 == 0:
        path = f"/bookings/{number}-{turn}"
        return path, send(url, path, b"seat 7", account=account, http=http)
    body = chat_body(
        content=f"caller {number}, {turn}",
        max_tokens=250 if number % 8 == 7 else 10 + 10 * (number % 5),
        stream=number % 4 > 1,
    )
    return body, ask(url, body, account=account, http=http)


@pytest.fixture(scope="module")
def fleet():
    with Fleet(PLAN, publish=configuration_publisher(max_in_flight=6)) as running:
        running.wait_ready()
        running.wait_joined()
        yield running


@pytest.fixture
def scene(fleet):
    scene = Scene(fleet)
    yield scene
    scene.end()


@given("three routers before two engines and two application servers")
def _(scene):
    assert len(scene.fleet.routers) == 3


@given(
    "24 callers that ask for streams, answers in one piece and bookings all the time"
)
def _(scene):
    scene.balancer = Balancer(scene.fleet)
    scene.load = Load(scene.balancer.url, caller_count=24, requests=request_of_load)
    wait_until(lambda: len(scene.load.answers) > 24)


@given("30 callers that wait at router-a1")
def _(scene):
    scene.ask_at("router-a1", 30, max_tokens=150)
    wait_until(lambda: scene.fleet.status("router-a1")["waiting_count_by_account"])


@given("10 callers that read streams at router-a1 and 10 at router-b1")
def _(scene):
    scene.cancelled_before = scene.engine_runs()["cancelled"]
    for router in ("router-a1", "router-b1"):
        scene.ask_at(router, 10, max_tokens=100)
    wait_until(lambda: scene.engine_runs()["running"] > 2)


@when("each router is stopped, waited for and started anew, one after the other")
def _(scene):
    for name, router in scene.fleet.routers.items():
        assert router.process.stop(timeout_s=40.0) == 0
        scene.fleet.restart_router(name)
        scene.fleet.wait_ready()
        scene.fleet.wait_joined()
    count = len(scene.load.answers)
    wait_until(lambda: len(scene.load.answers) > count + 24)
    scene.load.stop()


@when("router-a1 is told to stop")
def _(scene):
    scene.fleet.routers["router-a1"].process.terminate()


@when("router-a1 is killed")
def _(scene):
    scene.fleet.routers["router-a1"].process.kill()


@then("every answer was whole and the caller's own")
def _(scene):
    if scene.load is None:
        for got, body in scene.answers("router-a1"):
            assert got.is_whole, got
            check_answer(got, body)
        return
    for asked, got in scene.load.answers:
        assert got.is_whole, (asked, got)
        if isinstance(asked, dict):
            check_answer(got, asked)
        else:
            assert json.loads(got.data)["path"] == asked


@then("no call was refused")
def _(scene):
    assert [got for _, got in scene.load.answers if got.status != 200] == []


@then("no booking ran twice")
def _(scene):
    runs = Counter(
        run["path"]
        for each in scene.fleet.applications
        for run in each.process.read("/control/runs")["runs"]
    )
    assert runs
    assert set(runs.values()) == {1}


@then("the other routers are home of all targets between them")
def _(scene):
    others = [name for name in scene.fleet.routers if name != "router-a1"]

    def are_homes():
        homes = [target for name in others for target in scene.homes(name)]
        return len(homes) == len(set(homes)) == TARGET_COUNT

    wait_until(are_homes)


@then("the leaving router is home of none")
def _(scene):
    wait_until(lambda: not scene.homes("router-a1"))
    assert any(not future.done() for future, _ in scene.asked["router-a1"])


@then("the callers of router-a1 are told to close their connections")
def _(scene):
    latest = scene.answers("router-a1")[-1][0]
    assert latest.headers["Connection"].lower() == "close"


@then("router-a1 ends by itself")
def _(scene):
    wait_until(lambda: not scene.fleet.routers["router-a1"].process.is_running)


@then("each caller of router-a1 sees an error")
def _(scene):
    for got, body in scene.answers("router-a1"):
        check_answer(got, body)
    assert any(not got.is_whole for got, _ in scene.answers("router-a1"))


@then("every answer of router-b1 was whole and the caller's own")
def _(scene):
    for got, body in scene.answers("router-b1"):
        assert got.is_whole, got
        check_answer(got, body)


@then("the engines end the runs of router-a1")
def _(scene):
    wait_until(lambda: not scene.engine_runs()["running"])
    assert scene.engine_runs()["cancelled"] > scene.cancelled_before
