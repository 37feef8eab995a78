"""Runs a load plan in several client processes."""

import multiprocessing
import signal
import time

from citrondock_bench.plan import LoadPlan
from citrondock_bench.report import LoadReport, merge_records
from citrondock_bench.worker import WorkerTask, new_run_id, run_worker

START_DELAY_S = 1.5
WORKER_MARGIN_S = 30.0


def _ignore_interrupts() -> None:
    """Ignore Ctrl-C in a worker; the parent process stops its workers."""
    signal.signal(signal.SIGINT, signal.SIG_IGN)


def run_load(plan: LoadPlan, *, starts_at_s: float | None = None) -> LoadReport:
    """Run a plan to its end and return the report.

    Parameters
    ----------
    plan : LoadPlan
        Requests to send.
    starts_at_s : float or None
        Monotonic time of the start; by default `START_DELAY_S` from now, which is time
        for the client processes to start.

    Raises
    ------
    multiprocessing.TimeoutError
        A client process did not finish in time.
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
