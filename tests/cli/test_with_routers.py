import io
import json
from pathlib import Path

import pytest

from citrondock_cli.exit_code import ExitCode
from citrondock_cli.main import execute
from citrondock_core.object_store import ObjectStore
from citrondock_standins.fleet import CUT, STORE, Fleet, FleetPlan

EXAMPLE = "examples/nairobi-casting.jsonc"
TEXT = Path(EXAMPLE).read_text()


class Operator:
    """Runs commands against a fleet of real routers."""

    def __init__(self, fleet: Fleet) -> None:
        self.fleet = fleet
        self.store: ObjectStore = fleet.store

    def run(self, *arguments):
        router = self.fleet.routers["router-a1"].operators_url
        self.out, self.err = io.StringIO(), io.StringIO()
        return execute(
            ["citrondock", f"--router={router}", "--wait_timeout_s=30", *arguments],
            environment={},
            out=self.out,
            err=self.err,
            make_store=lambda _options: self.store,
        )

    def members(self):
        assert self.run("status", "--json") == ExitCode.DONE
        members = json.loads(self.out.getvalue())["fleet"]["members"]
        return {each["vm_name"]: each["configuration_revision"] for each in members}


@pytest.fixture
def operator():
    with Fleet(FleetPlan(router_zones=("a", "b", "c"), is_proxied=True)) as fleet:
        fleet.wait_joined()
        yield Operator(fleet)


@pytest.fixture
def edited(tmp_path):
    path = tmp_path / "edited.jsonc"
    path.write_text(TEXT.replace('"weight": 6', '"weight": 7', 1))
    return str(path)


class TestWithRouters:
    def test_store_cut_off_during_a_restart_and_an_edit(self, operator, edited):
        fleet = operator.fleet
        assert operator.run("apply", EXAMPLE, "--wait") == ExitCode.DONE
        fleet.wait_ready()
        assert set(operator.members().values()) == {1}

        fleet.set_faults(STORE, CUT)
        fleet.routers["router-b1"].process.kill()
        fleet.restart_router("router-b1")
        fleet.wait_ready()
        status = fleet.status("router-b1")
        assert status["configuration_revision"] == 1
        assert status["configuration"]["source"] == "peer"
        assert status["configuration"]["possibly_stale"]

        hurried = ("--wait", "--wait_timeout_s=0.2")
        code = operator.run("apply", edited, "--base=1", *hurried)
        assert code == ExitCode.NOT_EVERYWHERE
        assert "not yet in force: router-a1" in operator.out.getvalue()

        fleet.set_faults(STORE)
        fleet.wait_joined()
        assert operator.run("apply", edited, "--wait") == ExitCode.DONE
        assert "on 3 routers" in operator.out.getvalue()
