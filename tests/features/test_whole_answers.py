import json
import socket
import threading
import time
import uuid
from concurrent.futures import ThreadPoolExecutor

import pytest
import urllib3
from pytest_bdd import given, parsers, scenarios, then, when

from citrondock_standins.fault import Direction, Fault, FaultKind
from citrondock_standins.fleet import EnginePlan, Fleet, FleetPlan
from citrondock_standins.small_deployment import (
    account_api_key,
    configuration_publisher,
)
from tests.features.callers import (
    ask,
    chat_body,
    check_answer,
    send,
    wait_until,
)

scenarios("whole_answers.feature")

PLAN = FleetPlan(
    router_zones=("a",),
    engines=(EnginePlan(availability_zone="a"), EnginePlan(availability_zone="a")),
    application_zones=("a", "a"),
    is_proxied=True,
    engine_flags={"step_ms": 5, "step_per_sequence_ms": 0.05, "resume_grace_s": 0.5},
    settings={
        "limits": {"slow_reader_timeout_s": 1.0},
        "shutdown": {"drain_grace_s": 0.1, "deadline_s": 5},
    },
)
FORMS = {"a stream": True, "an answer in one piece": False}
LONG_BYTES = 16_000_000
CHAT = "/v1/chat/completions"


class Scene:
    """A fleet and the request of one scenario."""

    def __init__(self, fleet):
        self.fleet = fleet
        self.router = fleet.routers["router-a1"]
        self.url = self.router.callers_url
        self.begin()

    def begin(self):
        self.body = chat_body(content=uuid.uuid4().hex, max_tokens=30)
        self.path = f"/bookings/{uuid.uuid4().hex}"
        self.got = None
        self.answers = []
        self.socket = None

    def end(self):
        if self.socket is not None:
            self.socket.close()
        self.fleet.heal()
        for target in (*self.fleet.engines, *self.fleet.applications):
            target.process.set_faults(index=target.index)
        wait_until(self.is_idle)

    def is_idle(self):
        page = self.fleet.status("router-a1")
        return not page["live_call_count"] and not page["busy_slot_count"]

    def engine_faults(self, **faults):
        for each in self.fleet.engines:
            each.process.set_faults(index=each.index, **faults)

    def application_faults(self, **faults):
        for each in self.fleet.applications:
            each.process.set_faults(**faults)

    def engine_runs(self, request_id):
        runs = [
            run
            for each in self.fleet.engines
            for run in each.process.read("/control/runs", index=each.index)["runs"]
        ]
        return [run for run in runs if run["request_id"] == request_id]

    def application_runs(self):
        runs = [
            run
            for each in self.fleet.applications
            for run in each.process.read("/control/runs")["runs"]
        ]
        return [run for run in runs if run["path"] == self.path]

    def charged(self):
        url = self.router.operators_url + "/metrics"
        text = urllib3.request("GET", url).data.decode()
        name = "citrondock_service_tokens"
        lines = [li for li in text.splitlines() if li.startswith(name) and "bob" in li]
        return sum(float(line.rsplit(" ", 1)[1]) for line in lines)

    def open_by_hand(self, path, document, *, account, receive_bytes=None):
        """Send a request on a socket and leave its answer unread."""
        self.socket = socket.socket()
        if receive_bytes:
            self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_bytes)
        self.socket.settimeout(30.0)
        self.socket.connect(("127.0.0.1", self.router.process.callers_port))
        head = (
            f"POST {path} HTTP/1.1\r\nHost: router\r\n"
            f"Authorization: Bearer {account_api_key(account)}\r\n"
            f"Content-Length: {len(document)}\r\n\r\n"
        )
        self.socket.sendall(head.encode() + document)

    def running(self):
        runs = [
            run
            for each in self.fleet.engines
            for run in each.process.read("/control/runs", index=each.index)["runs"]
        ]
        return [run for run in runs if run["outcome"] == "running"]


@pytest.fixture(scope="module")
def shared_scene():
    with Fleet(PLAN, publish=configuration_publisher()) as fleet:
        fleet.wait_ready()
        yield Scene(fleet)


@given("a router before two engines and two application servers")
def _(scene):
    assert len(scene.fleet.engines) == len(scene.fleet.applications) == 2


@given("the engines drop the next stream after 3 tokens")
def _(scene):
    scene.engine_faults(die_after_tokens=3, die_count=1)


@given("the engines answer the next request under another id")
def _(scene):
    scene.engine_faults(wrong_id_count=1)


@given(
    parsers.parse(
        "the way from the {targets} is cut after {count:d} bytes of each connection"
    )
)
def _(scene, targets, count):
    direction = Direction.TO_CLIENT
    cut = Fault(kind=FaultKind.CUT_AFTER, direction=direction, byte_count=count)
    concerned = {
        "engines": scene.fleet.engines,
        "application servers": scene.fleet.applications,
    }
    for each in concerned[targets]:
        scene.fleet.set_faults(each.target.name, cut)


@given("an application server whose answers are counted")
def _(scene):
    scene.application_faults()


@given("an application server whose answers are chunked")
def _(scene):
    scene.application_faults(slow_body_ms=200)


@given("the application servers close the connection after the next run")
def _(scene):
    scene.application_faults(close_after_count=1)


@given("an application server refuses the next booking without running it")
def _(scene):
    scene.application_faults(refuse_count=1)


@given("all application servers refuse bookings without running them")
def _(scene):
    scene.application_faults(refuse_count=50)


@given("all application servers refuse what comes after it")
def _(scene):
    scene.refuses_after = True


@when(parsers.re(r"a caller asks for (?P<form>a stream|an answer in one piece)"))
def _(scene, form):
    scene.body["stream"] = FORMS[form]
    scene.got = ask(scene.url, scene.body, **{"X-Deadline-Ms": "3000"})


@when("a caller asks for a stream that its engine cancels half-way")
def _(scene):
    scene.body |= {"stream": True, "max_tokens": 400}
    with ThreadPoolExecutor(1) as pool:
        future = pool.submit(ask, scene.url, scene.body)
        wait_until(lambda: any(run["generated_tokens"] > 3 for run in scene.running()))
        (run,) = scene.running()
        for each in scene.fleet.engines:
            if scene.running():
                cancel = each.process.http_url(each.index)
                cancel += f"/v1/requests/{run['request_id']}/cancel"
                urllib3.request("POST", cancel)
        scene.got = future.result()


@when("40 callers ask while the ways from the engines are cut 10 times")
def _(scene):
    bodies = [
        chat_body(content=f"caller {n}", max_tokens=20 + n, stream=n % 2 == 0)
        for n in range(40)
    ]
    with ThreadPoolExecutor(len(bodies)) as pool:
        futures = [pool.submit(ask, scene.url, body) for body in bodies]
        for n in range(10):
            name = scene.fleet.engines[n % 2].target.name
            scene.fleet.set_faults(name, Fault(kind=FaultKind.CUT))
            time.sleep(0.02)
            scene.fleet.set_faults(name)
            time.sleep(0.05)
        scene.answers = [(f.result(), b) for f, b in zip(futures, bodies, strict=True)]


@when("a caller sends a booking")
def _(scene):
    scene.got = send(scene.url, scene.path, b"seat 7")


@when("a caller reads a work")
def _(scene):
    scene.path = scene.path.replace("bookings", "works")

    def refuse_after_the_run():
        wait_until(scene.application_runs)
        scene.application_faults(refuse_count=50)

    # The fault is changed while the call runs, before its connection is closed.
    for each in scene.fleet.applications:
        each.process.set_faults(close_after_count=1, delay_ms=500)
    thread = threading.Thread(target=refuse_after_the_run)
    thread.start()
    scene.got = send(scene.url, scene.path, method="GET")
    thread.join()


@when(parsers.parse("a caller asks for {form} and goes away"))
def _(scene, form):
    scene.charged_before = scene.charged()
    scene.body |= {"stream": FORMS[form], "max_tokens": 5000}
    scene.open_by_hand(CHAT, json.dumps(scene.body).encode(), account="bob")
    wait_until(lambda: any(run["generated_tokens"] > 20 for run in scene.running()))
    (scene.run,) = scene.running()
    time.sleep(0.6)
    scene.socket.close()
    scene.socket = None


@when("a caller reads nothing of a very long answer")
def _(scene):
    scene.application_faults(body_bytes=LONG_BYTES)
    scene.open_by_hand(scene.path, b"", account="bob", receive_bytes=4096)
    wait_until(scene.application_runs)


@then("the caller gets the whole text")
def _(scene):
    assert scene.got.is_whole, scene.got
    check_answer(scene.got, scene.body)


@then("the engines ran it once")
def _(scene):
    assert len(scene.engine_runs(scene.got.headers["X-Request-Id"])) == 1


@then("the caller sees an error event and no end mark")
def _(scene):
    check_answer(scene.got, scene.body)
    assert not scene.got.is_whole
    assert scene.got.text
    assert scene.got.error["ran"] == "maybe"


@then("the caller sees that the answer is not whole")
def _(scene):
    if scene.got is not None:
        assert not scene.got.is_whole
        assert scene.got.error is not None or scene.got.fault
        return
    data = b""
    try:
        while part := scene.socket.recv(1_000_000):
            data += part
    except OSError:
        pass
    assert data.startswith(b"HTTP/1.1 200")
    assert len(data) < LONG_BYTES


@then("each answer is the caller's own and whole, or its caller sees that it is not")
def _(scene):
    for got, body in scene.answers:
        check_answer(got, body)
    assert any(got.is_whole for got, _ in scene.answers)


@then("the engine's run is cancelled")
def _(scene):
    request_id = scene.run["request_id"]
    wait_until(lambda: scene.engine_runs(request_id)[0]["outcome"] == "cancelled")


@then("the account is charged for it")
def _(scene):
    least = scene.run["generated_tokens"]
    wait_until(lambda: scene.charged() - scene.charged_before >= least)


@then("no slot is busy")
def _(scene):
    wait_until(scene.is_idle)


@then(parsers.parse('the caller is refused with "{ran}"'))
def _(scene, ran):
    assert scene.got.status >= 400, scene.got
    assert scene.got.error["ran"] == ran


@then("the caller gets the application server's answer")
def _(scene):
    assert scene.got.is_whole
    answered = json.loads(scene.got.data)
    assert answered["path"] == scene.path
    assert answered["request_id"] == scene.got.headers["X-Request-Id"]


@then("the journal shows the booking once")
def _(scene):
    assert len(scene.application_runs()) == 1


@then("the journal does not show the booking")
def _(scene):
    assert scene.application_runs() == []
