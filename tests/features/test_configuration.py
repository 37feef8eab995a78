import io
import json
import time
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

import pytest
from pytest_bdd import given, parsers, scenarios, then, when

from citrondock_cli.exit_code import ExitCode
from citrondock_cli.main import execute
from citrondock_standins.fleet import CUT, STORE, Fleet, FleetPlan

scenarios("configuration.feature")

EXAMPLE_TEXT = Path("examples/nairobi-casting.jsonc").read_text()
FIVE_FAULTS = EXAMPLE_TEXT.replace('"accounts"', '"acounts"', 1)
FIVE_FAULTS = FIVE_FAULTS.replace('"max_in_flight": 8', '"max_in_flight": 0', 1)
FIVE_FAULTS = FIVE_FAULTS.replace('"port": 9302', '"port": "9302"', 1)
FIVE_FAULTS = FIVE_FAULTS.replace('"pool": "casting"', '"pool": "castin"', 1)
FIVE_FAULTS = FIVE_FAULTS.replace('"path": "/notices"', '"path": "/bookings"', 1)
WAIT_S = 30.0


class Operator:
    """Runs the command line as one author; keeps the output of the last command."""

    def __init__(self, fleet, folder, name="asha"):
        self.fleet = fleet
        self.name = name
        self.path = folder / f"{name}.jsonc"
        self.weight = 6
        self.code = None
        self.output = ""

    def run(self, *arguments):
        out = io.StringIO()
        urls = [router.operators_url for router in self.fleet.routers.values()]
        self.code = execute(
            [
                "citrondock",
                f"--store={self.fleet.store_process.url}",
                f"--router={','.join(urls)}",
                f"--author={self.name}",
                "--timeout_s=2",
                *arguments,
            ],
            environment={},
            out=out,
            err=out,
        )
        self.output = out.getvalue()
        return self.code

    def apply(self, weight, base, *flags):
        """Apply the example file with another weight of its largest account."""
        self.weight = weight
        self.path.write_text(
            EXAMPLE_TEXT.replace('"weight": 6', f'"weight": {weight}', 1)
        )
        return self.run("apply", str(self.path), f"--base={base}", *flags)

    def history(self):
        self.run("history", "--json", "--limit=100")
        return json.loads(self.output)

    def revisions(self):
        self.run("status", "--json")
        members = json.loads(self.output)["fleet"]["members"]
        return [member["configuration_revision"] for member in members]


class Deployment:
    """The fleet of all scenarios, and the revision that is accepted in it."""

    def __init__(self, fleet, folder):
        self.fleet = fleet
        self.folder = folder
        self.revision = 0
        self.weight = 10
        self.operator = Operator(fleet, folder)

    def apply_next_edit(self, *flags):
        self.weight += 1
        return self.operator.apply(self.weight, self.revision, *flags)

    def heal(self):
        self.fleet.store_process.set_faults()
        self.fleet.set_faults(STORE)

    def wait_revision(self, revision):
        deadline_s = time.monotonic() + WAIT_S
        while self.operator.revisions() != [revision] * 3:
            assert time.monotonic() < deadline_s, self.operator.output
            time.sleep(0.1)


@pytest.fixture(scope="module")
def shared_deployment(tmp_path_factory):
    plan = FleetPlan(router_zones=("a", "b", "c"), is_proxied=True)
    with Fleet(plan) as fleet:
        fleet.wait_joined()
        yield Deployment(fleet, tmp_path_factory.mktemp("texts"))


@pytest.fixture
def deployment(shared_deployment):
    yield shared_deployment
    shared_deployment.heal()


@given("three routers with an accepted configuration")
def accepted_configuration(deployment):
    history = deployment.operator.history()
    deployment.revision = history[-1]["revision"] if history else 0
    deployment.weight += 10
    assert deployment.apply_next_edit("--wait", "--wait_timeout_s=30") == ExitCode.DONE
    deployment.revision += 1
    deployment.wait_revision(deployment.revision)


@given("the store drops the answer to the next write of the configuration head")
def store_drops_answer(deployment):
    deployment.fleet.store_process.set_faults(
        lose_answers_count=1, lose_answers_prefix="configuration/head"
    )


@given("the routers are cut off from the store")
def cut_off_from_store(deployment):
    deployment.fleet.set_faults(STORE, CUT)


@given("the store refuses all calls")
def store_refuses_calls(deployment):
    deployment.fleet.store_process.set_faults(outage="refuse")


@when("an operator applies an edit and waits")
def apply_and_wait(deployment):
    deployment.apply_next_edit("--wait", "--wait_timeout_s=30")


@when("the operator applies the edit again and waits")
def apply_again(deployment):
    deployment.weight -= 1
    deployment.apply_next_edit("--wait", "--wait_timeout_s=30")


@when("an operator applies an edit and waits half a second")
def apply_and_wait_a_moment(deployment):
    deployment.apply_next_edit("--wait", "--wait_timeout_s=0.5")


@when("the store is reachable again")
@when("the store accepts calls again")
def store_is_back(deployment):
    deployment.heal()


@when("router-b1 is killed and restarted")
def restart(deployment):
    deployment.fleet.routers["router-b1"].process.kill()
    deployment.fleet.restart_router("router-b1")
    deployment.fleet.wait_ready()


@when("an operator applies a configuration file with five faults")
def apply_faulty_file(deployment):
    path = deployment.folder / "faults.jsonc"
    path.write_text(FIVE_FAULTS)
    deployment.operator.run("apply", str(path), f"--base={deployment.revision}")


@when(
    "two operators apply different edits of the same revision at once, ten times",
    target_fixture="races",
)
def race(deployment):
    operators = [
        Operator(deployment.fleet, deployment.folder, name)
        for name in ("asha", "otieno")
    ]
    races = []
    with ThreadPoolExecutor(2) as pool:
        for turn in range(10):
            base = deployment.revision + turn
            weights = (1000 + turn, 2000 + turn)
            codes = pool.map(
                lambda operator, weight, base=base: operator.apply(weight, base),
                operators,
                weights,
            )
            races.append(
                [(o, code, o.output) for o, code in zip(operators, codes, strict=True)]
            )
    return races


@then(parsers.parse("the command exits with {name}"))
def exits_with(deployment, name):
    operator = deployment.operator
    assert operator.code is ExitCode[name.upper()], operator.output


@then("the edit takes effect on every router")
def edit_takes_effect(deployment):
    deployment.wait_revision(deployment.revision + 1)


@then("every router still has the previous revision")
def previous_revision_is_kept(deployment):
    deployment.heal()
    assert deployment.operator.revisions() == [deployment.revision] * 3


@then("the history shows the edit once")
def history_shows_edit_once(deployment):
    revisions = [edit["revision"] for edit in deployment.operator.history()]
    assert revisions == list(range(1, deployment.revision + 2))


@then("each time one edit is accepted and shown to the other operator as a conflict")
def one_winner(races):
    for race in races:
        winner, loser = sorted(race, key=lambda each: each[1])
        assert (winner[1], loser[1]) == (ExitCode.DONE, ExitCode.CONFLICT)
        assert f"by {winner[0].name}: accounts/meter-readers" in loser[2]


@then(
    "router-b1 has the accepted revision from a peer and reports that it may be stale"
)
def has_revision_from_peer(deployment):
    status = deployment.fleet.status("router-b1")
    assert status["configuration_revision"] == deployment.revision
    assert status["configuration"]["source"] == "peer"
    assert status["configuration"]["possibly_stale"]


@then("it names the three routers on which the edit has not taken effect")
def lagging_routers_are_named(deployment):
    expected = "not yet in force: router-a1, router-b1, router-c1"
    assert expected in deployment.operator.output


@then("each of the five faults is shown with its line and a remedy")
def five_faults_are_shown(deployment):
    *faults, count = deployment.operator.output.splitlines()
    assert count == "5 faults"
    assert all(fault.split(":")[1].isdigit() and "; " in fault for fault in faults)
