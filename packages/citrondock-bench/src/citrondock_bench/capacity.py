"""Measures capacity with real routers and renders the page: ``make capacity``."""

import datetime
from collections.abc import Sequence
from pathlib import Path

from absl import app, flags

from citrondock_bench.capacity_axes import capacity_points
from citrondock_bench.capacity_document import CapacityDocument, Machine
from citrondock_bench.capacity_page import (
    PAGE_PATH,
    TEMPLATE_PATH,
    budget_table,
    render_page,
)
from citrondock_bench.capacity_run import fit_slopes, measure_point
from citrondock_bench.configuration_slopes import measure_configuration
from citrondock_bench.data_path_bench import run_bench, summarise
from citrondock_bench.slope_plot import plot_slope
from citrondock_bench.state_slopes import measure_state
from citrondock_bench.two_year import REQUESTS_PER_NODE_S

DOCUMENT_PATH = Path("docs/capacity/full.json")
OUTPUT_DIRECTORY = Path("out/capacity")
DATA_PATH_SECONDS = 8.0

_NODES = flags.DEFINE_list(
    "nodes", ["7", "14", "28", "56"], "Numbers of routers to measure."
)
_ACCOUNTS = flags.DEFINE_list(
    "accounts", ["16", "160", "1600", "5000"], "Numbers of accounts to measure."
)
_REQUESTS = flags.DEFINE_list(
    "requests", ["2", "8", "16"], "Rates of requests per node and second to measure."
)
_CHANGES = flags.DEFINE_list(
    "changes",
    ["0", "0.5", "2"],
    "Rates of configuration changes per second to measure.",
)
_RUNS = flags.DEFINE_integer("runs", 3, "Runs at each size.", lower_bound=1)
_SECONDS = flags.DEFINE_float("seconds", 6.0, "Measured seconds of a run.")
_DATA_PATH = flags.DEFINE_bool("data_path", True, "Also measure the data path.")
_KEEP = flags.DEFINE_bool(
    "keep", True, "Store the JSON under docs/capacity and render the page from it."
)
_TRIAL = flags.DEFINE_bool(
    "trial", False, "Mark the results as a trial: other work runs on the machine."
)
_RENDER = flags.DEFINE_bool(
    "render", False, "Only render the page from the stored JSON."
)


def measure() -> CapacityDocument:
    """Measure everything that the flags select."""
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
            full_rate_s=DATA_PATH_SECONDS,
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
    document.write(OUTPUT_DIRECTORY / "full.json")
    for slope in document.slopes:
        plot_slope(slope, OUTPUT_DIRECTORY)
    if _KEEP.value:
        document.write(DOCUMENT_PATH)
        PAGE_PATH.write_text(render_page(document, TEMPLATE_PATH.read_text()))


def main(argv: Sequence[str]) -> None:
    """Measure or read the results, write JSON, plots and page, and print a table."""
    if _RENDER.value:
        document = CapacityDocument.read(DOCUMENT_PATH)
        PAGE_PATH.write_text(render_page(document, TEMPLATE_PATH.read_text()))
    else:
        document = measure()
        _write(document)
    print(budget_table(document))


if __name__ == "__main__":
    app.run(main)
