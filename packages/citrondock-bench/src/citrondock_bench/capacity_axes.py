"""Sizes along which a fleet of real routers is measured."""

import enum
from collections.abc import Sequence

import attrs

from citrondock_bench.bench_fleet import BenchFleet, FleetOptions
from citrondock_bench.capacity_lines import REFERENCES
from citrondock_bench.deployment import PLUME_NORDIQUE, Deployment, account_key
from citrondock_bench.plan import (
    AccountLoad,
    LoadPlan,
    RequestShape,
    TokenDistribution,
)
from citrondock_core.configuration import ServiceKind

BACKLOGGED_PART = 0.1
OUTSTANDING_PER_ACCOUNT = 3
STEP_MS = 33.0
ANSWER_TOKENS = 30
PROMPT_TOKENS = 40
SLOTS_PER_NODE = 4


class Axis(enum.Enum):
    """What varies."""

    NODES = "nodes"
    ACCOUNTS = "accounts"
    REQUESTS = "requests"
    CHANGES = "changes"


@attrs.frozen(kw_only=True)
class CapacityPoint:
    """One size along one axis.

    Parameters
    ----------
    axis : Axis
        What varies.
    size : float
        Value on the axis.
    node_count, account_count : int
        Routers and configured accounts, a tenth of them backlogged.
    requests_per_node_s : float
        Rate of answered requests; the engines' slots are sized for it.
    changes_per_s : float
        Accepted edits of the configuration.
    """

    axis: Axis
    size: float
    node_count: int = REFERENCES.node_count
    account_count: int = REFERENCES.account_count
    requests_per_node_s: float = REFERENCES.requests_per_node_s
    changes_per_s: float = 0.0

    def fleet_options(self) -> FleetOptions:
        """Return the fleet: one engine for each router."""
        answer_s = ANSWER_TOKENS * STEP_MS / 1000
        return FleetOptions(
            deployment=Deployment.read(PLUME_NORDIQUE).with_accounts(
                self.account_count
            ),
            router_count=self.node_count,
            engine_count=self.node_count,
            application_count=1,
            batch_size=max(1, round(self.requests_per_node_s * answer_s)),
            step_ms=STEP_MS,
        )

    def load_plan(self, fleet: BenchFleet, *, seed: int, duration_s: float) -> LoadPlan:
        """Return a load that keeps a tenth of the accounts backlogged."""
        deployment = fleet.options.deployment
        backlogged = max(2, round(self.account_count * BACKLOGGED_PART))
        share = fleet.slot_count / backlogged
        shape = RequestShape(
            name="chat",
            model=deployment.services(ServiceKind.CHAT)[0].model,
            prompt_tokens=TokenDistribution(median_tokens=PROMPT_TOKENS),
            generated_tokens=TokenDistribution(
                median_tokens=ANSWER_TOKENS, sigma=0.5, max_tokens=5 * ANSWER_TOKENS
            ),
        )
        names = list(deployment.configuration.accounts)[:backlogged]
        return LoadPlan(
            endpoints=fleet.routers,
            accounts=[
                AccountLoad(
                    name=name,
                    key=account_key(name),
                    backlog_count=OUTSTANDING_PER_ACCOUNT + round(share),
                    shapes=[shape.name],
                )
                for name in names
            ],
            shapes=[shape],
            seed=seed,
            duration_s=duration_s,
            drain_s=0.0,
            worker_count=2,
        )


def capacity_points(
    *,
    nodes: Sequence[int],
    accounts: Sequence[int],
    requests_per_node_s: Sequence[float],
    changes_per_s: Sequence[float],
) -> list[CapacityPoint]:
    """Return all points; each axis varies alone."""
    points = [
        CapacityPoint(axis=Axis.NODES, size=count, node_count=count) for count in nodes
    ]
    points += [
        CapacityPoint(axis=Axis.ACCOUNTS, size=count, account_count=count)
        for count in accounts
    ]
    points += [
        CapacityPoint(axis=Axis.REQUESTS, size=rate, requests_per_node_s=rate)
        for rate in requests_per_node_s
    ]
    points += [
        CapacityPoint(axis=Axis.CHANGES, size=rate, changes_per_s=rate)
        for rate in changes_per_s
    ]
    return points
