"""Runs a plan in several client processes: ``python -m citrondock_bench load``."""

import multiprocessing
import signal
import time
from collections.abc import Sequence
from pathlib import Path

from absl import app, flags
from loguru import logger

from citrondock_bench.answer import Outcome
from citrondock_bench.plan import LoadPlan, PlanError, read_plan
from citrondock_bench.report import LoadReport, merge_records
from citrondock_bench.worker import WorkerTask, new_run_id, run_worker

START_DELAY_S = 1.5
WORKER_MARGIN_S = 30.0
EXIT_BAD_PLAN = 2
EXIT_WRONG_ANSWERS = 1

_PLAN = flags.DEFINE_string("plan", None, "JSON file of the load plan.")
_REPORT = flags.DEFINE_string("report", "", "File for the JSON report; empty is none.")


def _ignore_interrupts() -> None:
    """Leave Ctrl-C to the parent, which ends its workers."""
    signal.signal(signal.SIGINT, signal.SIG_IGN)


def run_load(plan: LoadPlan, *, starts_at_s: float | None = None) -> LoadReport:
    """Run a plan to its end and return the report.

    Parameters
    ----------
    plan : LoadPlan
        What to send.
    starts_at_s : float or None
        Monotonic time of the start; by default `START_DELAY_S` from now, in which the
        client processes start.

    Raises
    ------
    multiprocessing.TimeoutError
        A client process did not come to its end.
    """
    run_id = new_run_id()
    if starts_at_s is None:
        starts_at_s = time.monotonic() + START_DELAY_S
    tasks = [
        WorkerTask(
            plan=plan, worker_index=index, starts_at_s=starts_at_s, run_id=run_id
        )
        for index in range(plan.worker_count)
    ]
    latest_end_s = plan.duration_s + plan.drain_s + WORKER_MARGIN_S
    context = multiprocessing.get_context("spawn")
    with context.Pool(plan.worker_count, _ignore_interrupts) as pool:
        running = pool.map_async(run_worker, tasks, chunksize=1)
        records = running.get(starts_at_s - time.monotonic() + latest_end_s)
    return merge_records(plan, records, run_id=run_id, started_at_s=starts_at_s)


def main(argv: Sequence[str]) -> int:
    """Run the plan of the flags and print its tables."""
    if not _PLAN.value:
        raise app.UsageError("--plan=FILE is required")
    try:
        plan = read_plan(Path(_PLAN.value))
    except PlanError as error:
        logger.error("event=bad_plan {}", error)
        return EXIT_BAD_PLAN
    report = run_load(plan)
    if _REPORT.value:
        report.write(Path(_REPORT.value))
    print(report.table())
    print()
    print(report.outcome_table())
    return EXIT_WRONG_ANSWERS if report.count(Outcome.WRONG) else 0
