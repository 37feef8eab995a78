"""Runs a fleet under a mixed load for a few seconds: ``make demo``."""

import signal
import sys
import time
from collections.abc import Sequence
from types import FrameType

import attrs
from absl import app, flags

from citrondock_bench.bench_fleet import BenchFleet, FleetOptions
from citrondock_bench.deployment import (
    NAIROBI_CASTING,
    PLUME_NORDIQUE,
    Deployment,
    account_key,
)
from citrondock_bench.load_run import START_DELAY_S, run_load
from citrondock_bench.measures import AccountService, fairness_gap, utilisation
from citrondock_bench.node_usage import NodeUsage, UsageMeter
from citrondock_bench.plan import AccountLoad, LoadPlan, RequestShape
from citrondock_bench.recorder import BUCKET_S
from citrondock_bench.report import AccountReport, LoadReport
from citrondock_bench.report_measures import (
    account_services,
    largest_request_tokens,
    work_waited,
)
from citrondock_bench.scenario import chat_shapes
from citrondock_bench.table import format_table
from citrondock_bench.timeline import TimedAction, Timeline
from citrondock_core.configuration import Service, ServiceKind

EXIT_INTERRUPTED = 130
EXIT_TERMINATED = 143
DRAIN_S = 5.0
METER_MARGIN_S = 0.5
LARGE_BACKLOG_COUNT = 40
SMALL_RATE_PER_S = 4.0
PLAIN_RATE_PER_S = 1.5
PERCENT = 100

_SECONDS = flags.DEFINE_float("seconds", 10.0, "Seconds of load.")
_DEPLOYMENT = flags.DEFINE_enum(
    "deployment",
    PLUME_NORDIQUE,
    [PLUME_NORDIQUE, NAIROBI_CASTING],
    "Example configuration to run.",
)


def _plain_shape(service: Service) -> RequestShape:
    return RequestShape(
        name=service.name,
        kind=ServiceKind.PLAIN,
        path=service.path,
        idempotency_keys=not service.idempotent,
    )


def _account_loads(
    deployment: Deployment, chat: Sequence[str], plain: Sequence[str]
) -> list[AccountLoad]:
    """Return loads that keep large accounts backlogged and small ones at a low rate.

    Only small accounts also send plain calls.
    """
    loads = []
    for name, account in deployment.configuration.accounts.items():
        is_large = name in deployment.large_accounts
        loads.append(
            AccountLoad(
                name=name,
                key=account_key(name),
                weight=account.weight,
                backlog_count=LARGE_BACKLOG_COUNT if is_large else 0,
                rate_per_s=0.0 if is_large else SMALL_RATE_PER_S + PLAIN_RATE_PER_S,
                shapes=list(chat) if is_large else [*chat, *plain],
            )
        )
    return loads


def demo_plan(fleet: BenchFleet, *, duration_s: float) -> LoadPlan:
    """Return the load plan of the demo."""
    deployment = fleet.options.deployment
    chat = chat_shapes(deployment)
    plain = [_plain_shape(each) for each in deployment.services(ServiceKind.PLAIN)]
    return LoadPlan(
        endpoints=fleet.routers,
        accounts=_account_loads(
            deployment,
            [shape.name for shape in chat],
            [shape.name for shape in plain],
        ),
        shapes=[*chat, *plain],
        duration_s=duration_s,
        drain_s=DRAIN_S,
    )


def _format_gap(
    account: AccountReport, services: Sequence[AccountService], largest: float
) -> str:
    """Format the account's largest gap to any other; a dash if never backlogged."""
    own = next(each for each in services if each.account == account.account)
    if not any(own.backlogged):
        return "-"
    gaps = [
        fairness_gap([own, other], largest_request_tokens=largest)
        for other in services
        if other is not own
    ]
    return f"{max(gap.gap_requests for gap in gaps):.2f}"


def account_table(report: LoadReport) -> str:
    """Return a table of the service and latency of each account."""
    services = account_services(report)
    largest = largest_request_tokens(report)
    rows = [
        (
            account.account,
            f"{account.weight:g}",
            str(account.sent_count),
            f"{sum(account.series.service_tokens):,.0f}",
            _format_gap(account, services, largest),
            f"{account.first_token.p50_ms:,.0f}",
            f"{account.first_token.p95_ms:,.0f}",
        )
        for account in report.accounts
    ]
    header = (
        "account", "weight", "sent", "service (tokens)", "gap (largest request)",
        "first p50 ms", "first p95 ms",
    )  # fmt: skip
    return format_table(header, rows)


def control_table(usage: Sequence[NodeUsage]) -> str:
    """Return a table of the control traffic and resource usage of each router."""
    rows = [
        (
            node.node,
            f"{node.sent_bytes_per_s:,.0f}",
            f"{node.received_bytes_per_s:,.0f}",
            f"{sum(rate.per_s for rate in node.store_calls):.2f}",
            f"{PERCENT * node.cpu_share:.1f}",
            f"{node.memory_mb:.0f}",
        )
        for node in usage
    ]
    header = ("router", "sent B/s", "received B/s", "store calls/s", "CPU %", "MB")
    return format_table(header, rows)


def _format_utilisation(fleet: BenchFleet, report: LoadReport) -> str:
    share = utilisation(
        fleet.busy_slots(),
        work_waited(report),
        slot_count=fleet.slot_count,
        started_at_s=report.started_at_s,
        bucket_s=BUCKET_S,
    )
    return "no work waited" if share is None else f"{PERCENT * share:.1f} %"


def run_demo(options: FleetOptions, *, duration_s: float) -> None:
    """Start a fleet, send the load, print the results, and stop the fleet."""
    usage: list[NodeUsage] = []
    print("starting the fleet", flush=True)
    with BenchFleet(options) as fleet:
        print(
            f"{len(fleet.routers)} routers ready, {duration_s:g} s of load", flush=True
        )
        meter = UsageMeter(fleet.nodes)
        actions = [
            TimedAction(at_s=METER_MARGIN_S, action=meter.start),
            TimedAction(
                at_s=duration_s - METER_MARGIN_S,
                action=lambda: usage.extend(meter.stop()),
            ),
        ]
        starts_at_s = time.monotonic() + START_DELAY_S
        plan = demo_plan(fleet, duration_s=duration_s)
        with Timeline(actions, starts_at_s=starts_at_s):
            report = run_load(plan, starts_at_s=starts_at_s)
        share = _format_utilisation(fleet, report)
    print(account_table(report))
    print(f"\nutilisation while work waited: {share}\n")
    print(control_table(usage))
    print()
    print(report.outcome_table())


def _terminate(_signal: int, _frame: FrameType | None) -> None:
    sys.exit(EXIT_TERMINATED)


def main(argv: Sequence[str]) -> int:
    """Run the demo with the settings of the flags."""
    signal.signal(signal.SIGTERM, _terminate)
    options = attrs.evolve(
        FleetOptions(deployment=Deployment.read(_DEPLOYMENT.value)), step_ms=15.0
    )
    try:
        run_demo(options, duration_s=_SECONDS.value)
    except KeyboardInterrupt:
        print("interrupted; all processes were stopped", file=sys.stderr)
        return EXIT_INTERRUPTED
    return 0


if __name__ == "__main__":
    app.run(main)
