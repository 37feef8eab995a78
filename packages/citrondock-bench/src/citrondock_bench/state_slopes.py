"""Measures the cost of claims and membership and writes it as JSON.

Run as ``python -m citrondock_bench.state_slopes --out=FILE``.
"""

import json
import sys
from collections.abc import Sequence
from pathlib import Path

import attrs
from absl import app, flags

from citrondock_bench.claim_slopes import (
    ONE_OBJECT_PER_KEY,
    ClaimLoad,
    ClaimPoint,
    measure_claims,
)
from citrondock_bench.membership_slopes import MembershipPoint, measure_membership

FLEET_SIZES = (7, 12, 48, 380)
CLAIM_LOADS = tuple(
    ClaimLoad(router_count=routers, caller_count=callers, shard_count=shards)
    for routers, callers in ((1, 32), (7, 2), (7, 8))
    for shards in (ONE_OBJECT_PER_KEY, 4096, 256, 16)
)


@attrs.frozen(kw_only=True)
class StateSlopes:
    """Measured cost of claims and membership."""

    claims: tuple[ClaimPoint, ...]
    membership: tuple[MembershipPoint, ...]


def measure_state(
    *,
    claim_loads: Sequence[ClaimLoad] = CLAIM_LOADS,
    fleet_sizes: Sequence[int] = FLEET_SIZES,
) -> StateSlopes:
    """Measure all claim loads and fleet sizes, one after the other."""
    return StateSlopes(
        claims=tuple(measure_claims(load) for load in claim_loads),
        membership=tuple(measure_membership(count) for count in fleet_sizes),
    )


def _main(_arguments: Sequence[str]) -> None:
    text = json.dumps(attrs.asdict(measure_state()), indent=2)
    if flags.FLAGS.out:
        Path(flags.FLAGS.out).write_text(text + "\n")
    else:
        sys.stdout.write(text + "\n")


if __name__ == "__main__":
    flags.DEFINE_string("out", "", "File to write; empty for standard output.")
    app.run(_main)
