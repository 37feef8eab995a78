import itertools
import json
import time

import pytest
from pytest_bdd import given, parsers, scenarios, then, when

from citrondock_core.configuration_repository import (
    ConfigurationRepository,
    EditRequest,
)
from citrondock_core.vm_directory import Vm, VmState
from citrondock_standins.fleet import EnginePlan, Fleet, FleetPlan
from citrondock_standins.small_deployment import (
    configuration_publisher,
    small_configuration_text,
)
from tests.features.callers import (
    LoadGenerator,
    chat_body,
    check_answer,
    send_chat_request,
    wait_until,
)

scenarios("leaving_targets.feature")

STOPS_WITHIN_S = 3.0
PLAN = FleetPlan(
    router_zones=("a", "b"),
    engines=(EnginePlan(availability_zone="a"), EnginePlan(availability_zone="b")),
    engine_flags={"step_ms": 5, "load_lag_s": 0.1},
    settings={"shutdown": {"drain_grace_s": 0.1, "deadline_s": 10}},
)


def send_load_request(url, number, turn, http):
    """Send a chat request; return its body and the answer."""
    body = chat_body(content=f"{number} {turn}", max_tokens=15, stream=True)
    return body, send_chat_request(
        url, body, account=("alice", "bob")[number % 2], http=http
    )


class ScenarioContext:
    """A fleet under load, and the engine that leaves it."""

    def __init__(self, fleet):
        self.fleet = fleet
        self.engine = fleet.engines[0]
        self.edit_ids = itertools.count()
        self.revision = 1

    def begin(self):
        urls = [router.callers_url for router in self.fleet.routers.values()]
        turn = itertools.count()
        self.load = LoadGenerator(
            lambda: urls[next(turn) % 2],
            caller_count=24,
            send_request=send_load_request,
        )

    def end(self):
        self.load.stop()
        self.set_leaving(leaves=False)

    def run_count(self):
        runs = self.engine.process.read("/control/runs", index=self.engine.index)
        return len(runs["runs"])

    def set_leaving(self, *, leaves, reason="all"):
        if reason in ("the VM list says so", "all"):
            target = self.engine.target
            vm = Vm(
                name=target.name,
                availability_zone=target.availability_zone,
                host=target.host,
                port=target.port,
                state=VmState.LEAVING if leaves else VmState.LIVE,
            )
            self.fleet.register_vm(vm)
        if reason in ("it says so itself", "all"):
            index = self.engine.index
            self.engine.process.set_faults(index=index, says_leaving=leaves)
        if reason in ("the configuration drains it", "all"):
            self.commit(draining=leaves)

    def commit(self, *, draining):
        document = json.loads(small_configuration_text(self.fleet))
        target = document["pools"]["engines"]["targets"][self.engine.target.name]
        target["draining"] = draining
        request = EditRequest(
            edit_id=f"edit-{time.monotonic_ns()}",
            author="operator",
            reason="drain",
            base_revision=self.revision,
            text=json.dumps(document).encode(),
            file="small",
            now_epoch_s=time.time(),
        )
        repository = ConfigurationRepository(self.fleet.store, pause=time.sleep)
        self.revision = repository.commit(request).configuration.revision


@pytest.fixture(scope="module")
def shared_context():
    with Fleet(PLAN, publish=configuration_publisher()) as fleet:
        fleet.wait_ready()
        fleet.wait_joined()
        yield ScenarioContext(fleet)


@given("two routers in front of two engines")
def _(context):
    assert len(context.fleet.routers) == len(context.fleet.engines) == 2


@given("callers that keep both engines busy through both routers")
def _(context):
    before = context.run_count()
    wait_until(lambda: context.run_count() > before + 20)


@when(parsers.parse("engine-a1 leaves because {reason}"))
def _(context, reason):
    context.reason = reason
    context.set_leaving(leaves=True, reason=reason)
    context.leaves_since_s = time.monotonic()


@then("3 seconds later engine-a1 gets no new work while callers are served")
def _(context):
    time.sleep(STOPS_WITHIN_S)
    started, answered = context.run_count(), len(context.load.answers)
    wait_until(lambda: len(context.load.answers) > answered + 60)
    assert context.run_count() == started


@then("every caller got its own complete answer")
def _(context):
    for body, answer in context.load.answers:
        assert answer.is_complete, answer
        check_answer(answer, body)


@when("engine-a1 no longer leaves")
def _(context):
    context.set_leaving(leaves=False, reason=context.reason)


@then("engine-a1 gets work again")
def _(context):
    before = context.run_count()
    wait_until(lambda: context.run_count() > before)
