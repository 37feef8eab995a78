"""Measures a fleet of real router processes at one size on one axis."""

import functools
import statistics
import time
from collections.abc import Callable, Mapping, Sequence

import attrs

from citrondock_bench.bench_fleet import BenchFleet
from citrondock_bench.capacity_axes import Axis, CapacityPoint
from citrondock_bench.load_run import START_DELAY_S, run_load
from citrondock_bench.node_usage import NodeUsage, UsageMeter
from citrondock_bench.slope import Slope
from citrondock_bench.timeline import TimedAction, Timeline

SETTLE_S = 2.0
COMMAND = "make capacity"
METER_MARGIN_S = 0.2
PERCENT = 100.0
WRITE_KINDS = ("create", "update", "delete", "write")
SLOT_KINDS = ("SlotGrant", "SlotReturn", "InFlight")
SUMMARY_KINDS = ("Summary",)
ENVELOPE_KINDS = ("Envelope",)
SIZE_UNITS: Mapping[Axis, str] = {
    Axis.NODES: "nodes",
    Axis.ACCOUNTS: "accounts, a tenth backlogged",
    Axis.REQUESTS: "requests per node and second",
    Axis.CHANGES: "configuration changes per second",
}


@attrs.frozen(kw_only=True)
class Figure:
    """A figure of a run and how it is computed from the usage of all nodes."""

    name: str
    unit: str
    compute: Callable[[Sequence[NodeUsage]], float]


def _store_rate(node: NodeUsage, *, writes: bool) -> float:
    return sum(
        rate.per_s for rate in node.store_calls if (rate.kind in WRITE_KINDS) is writes
    )


def _sent_rate(node: NodeUsage, kinds: Sequence[str]) -> float:
    return sum(rate.per_s for rate in node.sent_by_kind if rate.kind in kinds)


def _mean(
    figure: Callable[[NodeUsage], float],
) -> Callable[[Sequence[NodeUsage]], float]:
    return lambda nodes: statistics.fmean(figure(node) for node in nodes)


FIGURES = (
    Figure(
        name="control_bytes",
        unit="B/s per node, mean",
        compute=_mean(lambda node: node.control_bytes_per_s),
    ),
    Figure(
        name="busiest_control_bytes",
        unit="B/s at the busiest node",
        compute=lambda nodes: max(node.control_bytes_per_s for node in nodes),
    ),
    Figure(
        name="slot_bytes",
        unit="B/s of slot messages sent per node, mean",
        compute=_mean(lambda node: _sent_rate(node, SLOT_KINDS)),
    ),
    Figure(
        name="summary_bytes",
        unit="B/s of summaries sent per node, mean",
        compute=_mean(lambda node: _sent_rate(node, SUMMARY_KINDS)),
    ),
    Figure(
        name="envelope_bytes",
        unit="B/s of envelopes sent per node, mean",
        compute=_mean(lambda node: _sent_rate(node, ENVELOPE_KINDS)),
    ),
    Figure(
        name="cpu",
        unit="% of a core per node, mean",
        compute=_mean(lambda node: PERCENT * node.cpu_share),
    ),
    Figure(
        name="memory",
        unit="MB at the largest node",
        compute=lambda nodes: max(node.memory_mb for node in nodes),
    ),
    Figure(
        name="store_reads",
        unit="calls/s per node, mean",
        compute=_mean(lambda node: _store_rate(node, writes=False)),
    ),
    Figure(
        name="store_writes",
        unit="calls/s per node, mean",
        compute=_mean(lambda node: _store_rate(node, writes=True)),
    ),
)


@attrs.frozen(kw_only=True)
class PointRuns:
    """Usage of every node in each run at one point."""

    point: CapacityPoint
    runs: list[list[NodeUsage]]


def _edits(
    point: CapacityPoint, fleet: BenchFleet, duration_s: float
) -> list[TimedAction]:
    if not point.changes_per_s:
        return []
    account = next(iter(fleet.options.deployment.configuration.accounts))
    return [
        TimedAction(
            at_s=number / point.changes_per_s,
            action=functools.partial(fleet.change_weight, account, 1.0 + number % 2),
        )
        for number in range(int(duration_s * point.changes_per_s))
    ]


def _run_once(
    point: CapacityPoint, fleet: BenchFleet, *, seed: int, duration_s: float
) -> list[NodeUsage]:
    usage: list[NodeUsage] = []
    meter = UsageMeter(fleet.nodes)
    whole_s = SETTLE_S + duration_s
    actions = [
        TimedAction(at_s=SETTLE_S, action=meter.start),
        TimedAction(
            at_s=whole_s - METER_MARGIN_S, action=lambda: usage.extend(meter.stop())
        ),
        *_edits(point, fleet, whole_s),
    ]
    plan = point.load_plan(fleet, seed=seed, duration_s=whole_s)
    starts_at_s = time.monotonic() + START_DELAY_S
    with Timeline(actions, starts_at_s=starts_at_s):
        run_load(plan, starts_at_s=starts_at_s)
    return usage


def measure_point(
    point: CapacityPoint, *, run_count: int, duration_s: float
) -> PointRuns:
    """Start the fleet of a point and measure it in several runs."""
    with BenchFleet(point.fleet_options()) as fleet:
        runs = [
            _run_once(point, fleet, seed=seed, duration_s=duration_s)
            for seed in range(1, run_count + 1)
        ]
    return PointRuns(point=point, runs=runs)


def fit_slopes(measured: Sequence[PointRuns]) -> list[Slope]:
    """Fit a slope for each figure on each axis with at least two sizes."""
    slopes = []
    for axis in Axis:
        on_axis = [each for each in measured if each.point.axis is axis]
        if len(on_axis) < 2:
            continue
        for figure in FIGURES:
            runs = {
                each.point.size: [figure.compute(nodes) for nodes in each.runs]
                for each in on_axis
            }
            slopes.append(
                Slope.fit(
                    f"{figure.name}_by_{axis.value}",
                    runs,
                    size_unit=SIZE_UNITS[axis],
                    figure_unit=figure.unit,
                    command=COMMAND,
                )
            )
    return slopes
