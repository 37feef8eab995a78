"""Fairness gap and control traffic for several tolerance bands of dispatch.

Run as ``python -m citrondock_bench.band_tradeoff``; it prints a table and plots both
figures over the band.
"""

import contextlib
from collections.abc import Sequence
from pathlib import Path

import attrs
from absl import app, flags
from matplotlib.figure import Figure

from citrondock_bench.bench_fleet import prestarted_fleets
from citrondock_bench.experiment_run import RunFigures, ScenarioRun, fleet_options
from citrondock_bench.scenario import SCENARIOS, scenario_named
from citrondock_bench.slope_plot import SIZE_INCHES, save_svg
from citrondock_bench.spread import Spread
from citrondock_bench.table import format_table

SCHEME = "fair"
PERCENT = 100

_BANDS = flags.DEFINE_list(
    "bands",
    ["0", "250", "500", "1000", "2000", "8000"],
    "Tolerance bands to measure, in tokens.",
)
_SCENARIO = flags.DEFINE_enum(
    "scenario", "uneven", [one.name for one in SCENARIOS], "Scenario to run."
)
_RUNS = flags.DEFINE_integer("runs", 3, "Runs of each band.", lower_bound=1)
_SECONDS = flags.DEFINE_float("seconds", 6.0, "Seconds of load in a run.")
_PLOT = flags.DEFINE_string(
    "plot", "docs/design/band-tradeoff.svg", "File for the plot; empty for none."
)


@attrs.frozen(kw_only=True)
class BandFigures:
    """Figures of the runs with one tolerance band."""

    band_tokens: float
    runs: list[RunFigures]

    @property
    def gap_requests(self) -> Spread:
        """Fairness gap as a multiple of the largest request."""
        return Spread.of([run.gap.gap_requests for run in self.runs])

    @property
    def control_bytes_per_s(self) -> Spread:
        """Control bytes per second and node, mean over the nodes."""
        return Spread.of([run.mean_control_bytes_per_s for run in self.runs])

    @property
    def utilisation_percent(self) -> Spread:
        """Share of slots that were busy while requests waited."""
        return Spread.of([PERCENT * (run.utilisation or 0.0) for run in self.runs])


def measure_bands(
    bands: Sequence[float], *, scenario_name: str, run_count: int, duration_s: float
) -> list[BandFigures]:
    """Run a scenario several times with each band."""
    scenario = scenario_named(scenario_name)
    options = [
        attrs.evolve(
            fleet_options(scenario, SCHEME), dispatch_settings={"band_tokens": band}
        )
        for band in bands
    ]
    measured = []
    with contextlib.closing(prestarted_fleets(options)) as fleets:
        for band, fleet in zip(bands, fleets, strict=True):
            runs = [
                ScenarioRun(scenario, fleet, seed=seed, duration_s=duration_s).run()
                for seed in range(1, run_count + 1)
            ]
            measured.append(BandFigures(band_tokens=band, runs=runs))
    return measured


def plot_bands(measured: Sequence[BandFigures], path: Path) -> None:
    """Plot gap and control traffic over the band."""
    bands = [each.band_tokens for each in measured]
    figure = Figure(figsize=SIZE_INCHES)
    gap_axes = figure.subplots()
    gap_axes.plot(bands, [each.gap_requests.median for each in measured], "o-")
    gap_axes.set_xlabel("tolerance band (tokens)")
    gap_axes.set_ylabel("gap (largest request), line")
    gap_axes.set_ylim(bottom=0)
    traffic_axes = gap_axes.twinx()
    traffic = [each.control_bytes_per_s.median for each in measured]
    traffic_axes.plot(bands, traffic, "s--", color="tab:orange")
    traffic_axes.set_ylabel("control B/s per node, dashes")
    traffic_axes.set_ylim(bottom=0)
    save_svg(figure, path)


def bands_table(measured: Sequence[BandFigures]) -> str:
    """Return a plain text table with a row for each band."""
    rows = [
        (
            f"{each.band_tokens:g}",
            each.gap_requests.text(2),
            each.utilisation_percent.text(),
            each.control_bytes_per_s.text(0),
        )
        for each in measured
    ]
    header = ("band", "gap (largest request)", "utilisation %", "control B/node/s")
    return format_table(header, rows)


def main(argv: Sequence[str]) -> None:
    """Measure the bands, print the table and write the plot."""
    measured = measure_bands(
        [float(band) for band in _BANDS.value],
        scenario_name=_SCENARIO.value,
        run_count=_RUNS.value,
        duration_s=_SECONDS.value,
    )
    print(bands_table(measured))
    if _PLOT.value:
        plot_bands(measured, Path(_PLOT.value))


if __name__ == "__main__":
    app.run(main)
