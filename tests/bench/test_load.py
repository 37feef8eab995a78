import pytest

from citrondock_bench.answer import Outcome
from citrondock_bench.data_path import EngineRun, path_delays
from citrondock_bench.load_run import run_load
from citrondock_bench.plan import (
    AccountLoad,
    Endpoint,
    LoadPlan,
    RequestShape,
    TokenDistribution,
)
from citrondock_standins.processes import StandinProcess

SHAPES = [
    RequestShape(
        name="streamed",
        model="m",
        generated_tokens=TokenDistribution(median_tokens=10, sigma=0.5, max_tokens=30),
    ),
    RequestShape(
        name="whole",
        model="m",
        stream=False,
        generated_tokens=TokenDistribution(median_tokens=5),
    ),
]


@pytest.fixture
def engine():
    with StandinProcess.start("engine", step_ms=2.0, max_batch=4) as process:
        yield process


def make_plan(engine):
    return LoadPlan(
        endpoints=[Endpoint(name="e", host="127.0.0.1", port=engine.port)],
        shapes=SHAPES,
        accounts=[
            AccountLoad(name="open", rate_per_s=20, shapes=["streamed", "whole"]),
            AccountLoad(name="backlog", backlog_count=8, shapes=["streamed"]),
        ],
        duration_s=1.5,
        drain_s=30.0,
        keeps_calls=True,
    )


class TestRunLoad:
    def test_every_answer_is_complete_and_in_the_engine_journal(self, engine):
        report = run_load(make_plan(engine))
        runs = engine.read("/control/runs")["runs"]
        sent = sum(account.sent_count for account in report.accounts)
        assert report.count(Outcome.WHOLE) == sent == len(runs) > 0
        journal = {
            ("e", run["request_id"]): EngineRun(
                arrived_s=run["arrived_s"], first_token_s=run["first_token_s"]
            )
            for run in runs
        }
        calls = report.accounts[1].calls
        assert path_delays(calls, journal).stream_count == len(calls) > 0
        assert sum(report.accounts[1].series.service_tokens) > 0
        assert max(report.accounts[1].series.least_waiting) > 0

    def test_engine_faults_are_counted_by_outcome(self, engine):
        engine.set_faults(refuse_count=1, die_count=2, die_after_tokens=2)
        report = run_load(make_plan(engine))
        counts = {outcome: report.count(outcome) for outcome in Outcome}
        assert counts[Outcome.REFUSED] == 1
        assert counts[Outcome.CUT] + counts[Outcome.FAILED] == 2
        assert counts[Outcome.WRONG] == 0
        assert counts[Outcome.WHOLE] > 0
