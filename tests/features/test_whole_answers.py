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
    chat_body,
    check_answer,
    send,
    send_chat_request,
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
FORMS = {"a stream": True, "a non-streamed answer": False}
LONG_BYTES = 16_000_000
CHAT = "/v1/chat/completions"


class ScenarioContext:
    """A fleet, and the request and answers of the current scenario."""

    def __init__(self, fleet):
        self.fleet = fleet
        self.router = fleet.routers["router-a1"]
        self.url = self.router.callers_url
        self.begin()

    def begin(self):
        self.body = chat_body(content=uuid.uuid4().hex, max_tokens=30)
        self.path = f"/bookings/{uuid.uuid4().hex}"
        self.answer = None
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

    def charged_tokens(self):
        url = self.router.operators_url + "/metrics"
        text = urllib3.request("GET", url).data.decode()
        name = "citrondock_service_tokens"
        lines = [li for li in text.splitlines() if li.startswith(name) and "bob" in li]
        return sum(float(line.rsplit(" ", 1)[1]) for line in lines)

    def send_on_plain_socket(self, path, document, *, account, receive_bytes=None):
        """Send a request on a plain socket and leave its answer unread."""
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

    def running_runs(self):
        runs = [
            run
            for each in self.fleet.engines
            for run in each.process.read("/control/runs", index=each.index)["runs"]
        ]
        return [run for run in runs if run["outcome"] == "running"]


@pytest.fixture(scope="module")
def shared_context():
    with Fleet(PLAN, publish=configuration_publisher()) as fleet:
        fleet.wait_ready()
        yield ScenarioContext(fleet)


@given("a router in front of two engines and two application servers")
def _(context):
    assert len(context.fleet.engines) == len(context.fleet.applications) == 2


@given("the engines drop the next stream after 3 tokens")
def _(context):
    context.engine_faults(die_after_tokens=3, die_count=1)


@given("the engines answer the next request with another id")
def _(context):
    context.engine_faults(wrong_id_count=1)


@given(parsers.parse("each connection from the {targets} is cut after {count:d} bytes"))
def _(context, targets, count):
    direction = Direction.TO_CLIENT
    cut = Fault(kind=FaultKind.CUT_AFTER, direction=direction, byte_count=count)
    targets_by_name = {
        "engines": context.fleet.engines,
        "application servers": context.fleet.applications,
    }
    for each in targets_by_name[targets]:
        context.fleet.set_faults(each.target.name, cut)


@given("an application server whose answers are length-delimited")
def _(context):
    context.application_faults()


@given("an application server whose answers are chunked")
def _(context):
    context.application_faults(slow_body_ms=200)


@given("the application servers run the next call and close the connection unanswered")
def _(context):
    context.application_faults(close_after_count=1)


@given("an application server refuses the next booking without running it")
def _(context):
    context.application_faults(refuse_count=1)


@given("all application servers refuse bookings without running them")
def _(context):
    context.application_faults(refuse_count=50)


@given("all application servers refuse the calls after it")
def _(context):
    context.refuses_after = True


@when(parsers.re(r"a caller requests (?P<form>a stream|a non-streamed answer)"))
def _(context, form):
    context.body["stream"] = FORMS[form]
    context.answer = send_chat_request(
        context.url, context.body, **{"X-Deadline-Ms": "3000"}
    )


@when("a caller requests a stream that its engine cancels halfway")
def _(context):
    context.body |= {"stream": True, "max_tokens": 400}
    with ThreadPoolExecutor(1) as pool:
        future = pool.submit(send_chat_request, context.url, context.body)
        wait_until(
            lambda: any(run["generated_tokens"] > 3 for run in context.running_runs())
        )
        (run,) = context.running_runs()
        for each in context.fleet.engines:
            if context.running_runs():
                cancel = each.process.http_url(each.index)
                cancel += f"/v1/requests/{run['request_id']}/cancel"
                urllib3.request("POST", cancel)
        context.answer = future.result()


@when(
    "40 callers send requests while the connections from the engines are cut 10 times"
)
def _(context):
    bodies = [
        chat_body(content=f"caller {n}", max_tokens=20 + n, stream=n % 2 == 0)
        for n in range(40)
    ]
    with ThreadPoolExecutor(len(bodies)) as pool:
        futures = [pool.submit(send_chat_request, context.url, body) for body in bodies]
        for n in range(10):
            name = context.fleet.engines[n % 2].target.name
            context.fleet.set_faults(name, Fault(kind=FaultKind.CUT))
            time.sleep(0.02)
            context.fleet.set_faults(name)
            time.sleep(0.05)
        context.answers = [
            (f.result(), b) for f, b in zip(futures, bodies, strict=True)
        ]


@when("a caller sends a booking")
def _(context):
    context.answer = send(context.url, context.path, b"seat 7")


@when("a caller requests /works")
def _(context):
    context.path = context.path.replace("bookings", "works")

    def refuse_after_the_run():
        wait_until(context.application_runs)
        context.application_faults(refuse_count=50)

    # The 500 ms leave time to switch the fault before the connection closes.
    for each in context.fleet.applications:
        each.process.set_faults(close_after_count=1, delay_ms=500)
    thread = threading.Thread(target=refuse_after_the_run)
    thread.start()
    context.answer = send(context.url, context.path, method="GET")
    thread.join()


@when(parsers.parse("a caller requests {form} and disconnects"))
def _(context, form):
    context.charged_before = context.charged_tokens()
    context.body |= {"stream": FORMS[form], "max_tokens": 5000}
    context.send_on_plain_socket(CHAT, json.dumps(context.body).encode(), account="bob")
    wait_until(
        lambda: any(run["generated_tokens"] > 20 for run in context.running_runs())
    )
    (context.run,) = context.running_runs()
    time.sleep(0.6)
    context.socket.close()
    context.socket = None


@when("a caller reads nothing of a very long answer")
def _(context):
    context.application_faults(body_bytes=LONG_BYTES)
    context.send_on_plain_socket(context.path, b"", account="bob", receive_bytes=4096)
    wait_until(context.application_runs)


@then("the caller gets the complete text")
def _(context):
    assert context.answer.is_complete, context.answer
    check_answer(context.answer, context.body)


@then("the engines ran it once")
def _(context):
    assert len(context.engine_runs(context.answer.headers["X-Request-Id"])) == 1


@then("the caller gets an error event and no end-of-stream event")
def _(context):
    check_answer(context.answer, context.body)
    assert not context.answer.is_complete
    assert context.answer.text
    assert context.answer.error["ran"] == "maybe"


@then("the caller can tell that the answer is incomplete")
def _(context):
    if context.answer is not None:
        assert not context.answer.is_complete
        assert context.answer.error is not None or context.answer.transport_error
        return
    data = b""
    try:
        while part := context.socket.recv(1_000_000):
            data += part
    except OSError:
        pass
    assert data.startswith(b"HTTP/1.1 200")
    assert len(data) < LONG_BYTES


@then("each caller gets its own complete answer or can tell that it is incomplete")
def _(context):
    for answer, body in context.answers:
        check_answer(answer, body)
    assert any(answer.is_complete for answer, _ in context.answers)


@then("the engine's run is cancelled")
def _(context):
    request_id = context.run["request_id"]
    wait_until(lambda: context.engine_runs(request_id)[0]["outcome"] == "cancelled")


@then("the account is charged for it")
def _(context):
    generated_tokens = context.run["generated_tokens"]
    wait_until(
        lambda: context.charged_tokens() - context.charged_before >= generated_tokens
    )


@then("no slot is busy")
def _(context):
    wait_until(context.is_idle)


@then(parsers.parse('the caller gets an error with ran="{ran}"'))
def _(context, ran):
    assert context.answer.status >= 400, context.answer
    assert context.answer.error["ran"] == ran


@then("the caller gets the application server's answer")
def _(context):
    assert context.answer.is_complete
    answered = json.loads(context.answer.data)
    assert answered["path"] == context.path
    assert answered["request_id"] == context.answer.headers["X-Request-Id"]


@then("the application servers ran the booking once")
def _(context):
    assert len(context.application_runs()) == 1


@then("the application servers did not run the booking")
def _(context):
    assert context.application_runs() == []
