"""Measures what a router adds to direct calls of an engine: ``make bench``."""

import json
from collections.abc import Sequence
from pathlib import Path

import attrs
import cattrs
from absl import app, flags

from citrondock_bench import two_year
from citrondock_bench.capacity_document import DataPathFigures
from citrondock_bench.data_path_bench import BenchRun, PathRun, run_bench, summarise
from citrondock_bench.spread import Spread
from citrondock_bench.table import format_table

EXIT_MISSED = 1

_RUNS = flags.DEFINE_integer(
    "runs", 3, "Number of runs, each both direct and through a router.", lower_bound=1
)
_SECONDS = flags.DEFINE_float("seconds", 8.0, "Seconds at the full rate in each run.")
_RATE = flags.DEFINE_float(
    "rate", two_year.REQUESTS_PER_NODE_S, "Requests per second through the router."
)
_REPORT = flags.DEFINE_string(
    "report", "out/bench.json", "File for the JSON report; empty for none."
)


def _path_row(name: str, path_runs: Sequence[PathRun]) -> tuple[str, ...]:
    def text(values: Sequence[float], digits: int = 1) -> str:
        return Spread.of(values).text(digits)

    return (
        name,
        text([run.tokens_per_s for run in path_runs], 0),
        text([run.stream_count for run in path_runs], 0),
        text([run.delays.first_token_p50_ms for run in path_runs]),
        text([run.delays.first_token_p95_ms for run in path_runs]),
        text([run.delays.longest_pause_p95_ms for run in path_runs]),
        text([run.cpu_s_per_1000_tokens for run in path_runs], 4),
        text([run.peak_memory_mb for run in path_runs]),
        str(sum(run.not_whole_count for run in path_runs)),
    )


def path_table(runs: Sequence[BenchRun]) -> str:
    """Return the figures of direct and routed requests as a table."""
    header = (
        "path", "tokens/s", "streams", "first p50 ms", "first p95 ms",
        "longest pause p95 ms", "CPU s/1000 tokens", "peak MB", "not whole",
    )  # fmt: skip
    rows = [
        _path_row("direct", [run.direct for run in runs]),
        _path_row("routed", [run.routed for run in runs]),
    ]
    return format_table(header, rows)


@attrs.frozen(kw_only=True)
class BoundCheck:
    """A measured value compared with its bound."""

    name: str
    measured: float
    bound: float
    is_met: bool


def check_bounds(figures: DataPathFigures, not_whole_count: int) -> list[BoundCheck]:
    """Compare the medians of the runs with their bounds."""
    overhead = figures.first_token_overhead_p95_ms.median
    pause = figures.pause_overhead_p95_ms.median
    rate = figures.tokens_per_s.median
    needed_rate = 0.95 * two_year.TOKENS_PER_NODE_S
    return [
        BoundCheck(
            name="first-token overhead p95 (ms)",
            measured=overhead,
            bound=two_year.FIRST_TOKEN_OVERHEAD_MS,
            is_met=overhead < two_year.FIRST_TOKEN_OVERHEAD_MS,
        ),
        BoundCheck(
            name="pause beyond the engine's step p95 (ms)",
            measured=pause,
            bound=two_year.PAUSE_OVERHEAD_MS,
            is_met=pause < two_year.PAUSE_OVERHEAD_MS,
        ),
        BoundCheck(
            name="streamed tokens/s, at least",
            measured=rate,
            bound=needed_rate,
            is_met=rate >= needed_rate,
        ),
        BoundCheck(
            name="answers that were not whole",
            measured=not_whole_count,
            bound=0,
            is_met=not_whole_count == 0,
        ),
    ]


def bounds_table(checks: Sequence[BoundCheck]) -> str:
    """Return the measured values, their bounds and whether they hold as a table."""
    rows = [
        (
            each.name,
            f"{each.measured:,.1f}",
            f"{each.bound:,.1f}",
            "holds" if each.is_met else "MISSED",
        )
        for each in checks
    ]
    return format_table(("bound", "median", "bound value", "verdict"), rows)


def main(argv: Sequence[str]) -> int:
    """Run the benchmark, print its tables, and return 1 if a bound was missed."""
    runs = run_bench(
        run_count=_RUNS.value, rate_per_s=_RATE.value, full_rate_s=_SECONDS.value
    )
    figures = summarise(runs)
    not_whole = sum(run.routed.not_whole_count for run in runs)
    checks = check_bounds(figures, not_whole)
    print(path_table(runs))
    print()
    print(bounds_table(checks))
    if _REPORT.value:
        path = Path(_REPORT.value)
        path.parent.mkdir(parents=True, exist_ok=True)
        path.write_text(json.dumps(cattrs.unstructure([figures, runs]), indent=1))
    return 0 if all(each.is_met for each in checks) else EXIT_MISSED


if __name__ == "__main__":
    app.run(main)
