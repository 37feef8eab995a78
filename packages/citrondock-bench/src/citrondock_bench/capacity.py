"""Slopes with real routers, and the capacity page from them: ``make capacity``."""

import datetime
from collections.abc import Sequence
from pathlib import Path

from absl import app, flags

from citrondock_bench.capacity_axes import capacity_points
from citrondock_bench.capacity_document import CapacityDocument, Machine
from citrondock_bench.capacity_page import PAGE, TEMPLATE, lines_table, render_page
from citrondock_bench.capacity_run import fit_slopes, measure_point
from citrondock_bench.configuration_slopes import measure_configuration
from citrondock_bench.data_path_bench import run_bench, summarise
from citrondock_bench.slope_plot import plot_slope
from citrondock_bench.state_slopes import measure_state
from citrondock_bench.two_year import REQUESTS_PER_NODE_S

KEPT = Path("docs/capacity/full.json")
OUT = Path("out/capacity")
BENCH_SECONDS = 8.0

_NODES = flags.DEFINE_list("nodes", ["7", "14", "28", "56"], "Counts of routers.")
_ACCOUNTS = flags.DEFINE_list(
    "accounts", ["16", "160", "1600", "5000"], "Counts of accounts."
)
_REQUESTS = flags.DEFINE_list(
    "requests", ["2", "8", "16"], "Requests per node and second."
)
_CHANGES = flags.DEFINE_list(
    "changes", ["0", "0.5", "2"], "Configuration changes per second."
)
_RUNS = flags.DEFINE_integer("runs", 3, "Runs at each size.", lower_bound=1)
_SECONDS = flags.DEFINE_float("seconds", 6.0, "Seconds measured in a run.")
_DATA_PATH = flags.DEFINE_bool("data_path", True, "Measure the data path too.")
_KEEP = flags.DEFINE_bool(
    "keep", True, "Keep the JSON under docs/capacity and fill the page from it."
)
_TRIAL = flags.DEFINE_bool("trial", False, "Other work runs on the machine.")
_RENDER = flags.DEFINE_bool("render", False, "Only fill the page from the kept JSON.")


def measure() -> CapacityDocument:
    """Measure all that the flags name."""
    points = capacity_points(
        nodes=[int(size) for size in _NODES.value],
        accounts=[int(size) for size in _ACCOUNTS.value],
        requests_per_node_s=[float(size) for size in _REQUESTS.value],
        changes_per_s=[float(size) for size in _CHANGES.value],
    )
    measured = []
    for point in points:
        print(f"measuring {point.axis.value} {point.size:g}", flush=True)
        measured.append(
            measure_point(point, run_count=_RUNS.value, duration_s=_SECONDS.value)
        )
    data_path = None
    if _DATA_PATH.value:
        print("measuring the data path", flush=True)
        runs = run_bench(
            run_count=_RUNS.value,
            rate_per_s=REQUESTS_PER_NODE_S,
            full_rate_s=BENCH_SECONDS,
        )
        data_path = summarise(runs)
    print("measuring configuration and state", flush=True)
    return CapacityDocument(
        measured_on=datetime.datetime.now(datetime.UTC).date().isoformat(),
        is_trial=_TRIAL.value,
        run_count=_RUNS.value,
        machine=Machine.here(),
        slopes=fit_slopes(measured),
        data_path=data_path,
        configuration=measure_configuration(),
        state=measure_state(),
    )


def _write(document: CapacityDocument) -> None:
    document.write(OUT / "full.json")
    for slope in document.slopes:
        plot_slope(slope, OUT)
    if _KEEP.value:
        document.write(KEPT)
        PAGE.write_text(render_page(document, TEMPLATE.read_text()))


def main(argv: Sequence[str]) -> None:
    """Measure, write JSON, plots and page, and print the table."""
    if _RENDER.value:
        document = CapacityDocument.read(KEPT)
        PAGE.write_text(render_page(document, TEMPLATE.read_text()))
    else:
        document = measure()
        _write(document)
    print(lines_table(document))


if __name__ == "__main__":
    app.run(main)
