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
from tests.features.callers import Load, ask, chat_body, check_answer, wait_until

scenarios("leaving_targets.feature")

STOPS_WITHIN_S = 3.0
PLAN = FleetPlan(
    router_zones=("a", "b"),
    engines=(EnginePlan(availability_zone="a"), EnginePlan(availability_zone="b")),
    engine_flags={"step_ms": 5, "load_lag_s": 0.1},
    settings={"shutdown": {"drain_grace_s": 0.1, "deadline_s": 10}},
)


def request_of_load(url, number, turn, http):
    body = chat_body(content=f"{number} {turn}", max_tokens=15, stream=True)
    return body, ask(url, body, account=("alice", "bob")[number % 2], http=http)


class Scene:
    def __init__(self, fleet):
        self.fleet = fleet
        self.engine = fleet.engines[0]
        self.edit_ids = itertools.count()
        self.revision = 1

    def begin(self):
        urls = [router.callers_url for router in self.fleet.routers.values()]
        turn = itertools.count()
        self.load = Load(
            lambda: urls[next(turn) % 2], caller_count=24, requests=request_of_load
        )

    def end(self):
        self.load.stop()
        self.put_in(leaves=False)

    def run_count(self):
        runs = self.engine.process.read("/control/runs", index=self.engine.index)
        return len(runs["runs"])

    def put_in(self, *, leaves, reason="all"):
        if reason in ("the list of VMs says so", "all"):
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
def shared_scene():
    with Fleet(PLAN, publish=configuration_publisher()) as fleet:
        fleet.wait_ready()
        fleet.wait_joined()
        yield Scene(fleet)


@given("two routers before two engines")
def _(scene):
    assert len(scene.fleet.routers) == len(scene.fleet.engines) == 2


@given("callers that keep both engines busy through both routers")
def _(scene):
    before = scene.run_count()
    wait_until(lambda: scene.run_count() > before + 20)


@when(parsers.parse("engine-a1 leaves because {reason}"))
def _(scene, reason):
    scene.reason = reason
    scene.put_in(leaves=True, reason=reason)
    scene.left_s = time.monotonic()


@then("3 seconds later engine-a1 gets no new work while callers are served")
def _(scene):
    time.sleep(STOPS_WITHIN_S)
    started, answered = scene.run_count(), len(scene.load.answers)
    wait_until(lambda: len(scene.load.answers) > answered + 60)
    assert scene.run_count() == started


@then("the callers' answers were whole")
def _(scene):
    for body, got in scene.load.answers:
        assert got.is_whole, got
        check_answer(got, body)


@when("engine-a1 is back")
def _(scene):
    scene.put_in(leaves=False, reason=scene.reason)


@then("engine-a1 gets work again")
def _(scene):
    before = scene.run_count()
    wait_until(lambda: scene.run_count() > before)
