"""Sends the requests of a load plan: ``python -m citrondock_bench load``."""

from collections.abc import Sequence
from pathlib import Path

from absl import app, flags
from loguru import logger

from citrondock_bench.answer import Outcome
from citrondock_bench.load_run import run_load
from citrondock_bench.plan import PlanError, read_plan

EXIT_BAD_PLAN = 2
EXIT_WRONG_ANSWERS = 1

_PLAN = flags.DEFINE_string("plan", None, "JSON file of the load plan.")
_REPORT = flags.DEFINE_string("report", "", "File for the JSON report; empty for none.")


def main(argv: Sequence[str]) -> int:
    """Run the plan, print its tables, and return 1 if an answer was wrong."""
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
