"""Computes what common failures cost a fleet of the size planned in two years."""

from collections.abc import Sequence

import attrs

from citrondock_bench import two_year
from citrondock_bench.capacity_document import CapacityDocument
from citrondock_core.dispatch_options import DispatchOptions
from citrondock_core.membership_options import MembershipOptions

NODES_PER_RACK = 8
DAYS_PER_YEAR = 365
HEADER = (
    "failure",
    "times a year",
    "routers lost at once",
    "targets that change home",
    "seconds until duties are placed again",
    "store reads when they return",
    "seconds of the store's read rate",
    "largest gap built up",
)


@attrs.frozen(kw_only=True)
class OrdinaryFailure:
    """One kind of failure and how often it occurs.

    Parameters
    ----------
    name : str
        What fails, as the table shows it.
    times_per_year : float
        Expected occurrences in a year.
    lost_count : int
        Number of routers lost or cut off at once.
    """

    name: str
    times_per_year: float
    lost_count: int


FAILURES = (
    OrdinaryFailure(
        name="a VM fails",
        times_per_year=DAYS_PER_YEAR * two_year.VM_FAILURES_PER_DAY,
        lost_count=1,
    ),
    OrdinaryFailure(
        name="a VM is restarted or replaced",
        times_per_year=DAYS_PER_YEAR * two_year.VM_REPLACEMENTS_PER_DAY,
        lost_count=1,
    ),
    OrdinaryFailure(
        name="a rack or switch", times_per_year=8, lost_count=NODES_PER_RACK
    ),
    OrdinaryFailure(
        name="an availability zone",
        times_per_year=1.5,
        lost_count=round(two_year.NODE_COUNT / two_year.ZONE_COUNT),
    ),
    OrdinaryFailure(
        name="a region cut off for an hour",
        times_per_year=4,
        lost_count=round(two_year.NODE_COUNT / two_year.REGION_COUNT),
    ),
)


def _row(failure: OrdinaryFailure, start_calls: int | None) -> tuple[str, ...]:
    placed_s = MembershipOptions().expiry_s + MembershipOptions().heartbeat_period_s
    reads = None if start_calls is None else start_calls * failure.lost_count
    return (
        failure.name,
        f"{failure.times_per_year:,.1f}",
        str(failure.lost_count),
        f"{failure.lost_count * two_year.TARGETS_PER_NODE:.0f}",
        f"{placed_s:g}",
        "not measured" if reads is None else str(reads),
        "-" if reads is None else f"{reads / two_year.STORE_READS_PER_S:.2g}",
        f"{DispatchOptions().clamp_tokens:,.0f} tokens (clamp)",
    )


def failure_rows(
    document: CapacityDocument,
) -> tuple[Sequence[str], list[tuple[str, ...]]]:
    """Return the header and the rows of the table of common failures."""
    costs = document.configuration
    start_calls = costs.start_calls if costs else None
    return HEADER, [_row(failure, start_calls) for failure in FAILURES]
