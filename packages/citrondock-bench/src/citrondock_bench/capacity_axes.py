"""Axes and sizes for measurements of a fleet of real router processes."""

import enum
from collections.abc import Sequence

import attrs

from citrondock_bench.bench_fleet import BenchFleet, FleetOptions
from citrondock_bench.capacity_estimates import REFERENCE_SIZES
from citrondock_bench.deployment import PLUME_NORDIQUE, Deployment, account_key
from citrondock_bench.plan import (
    AccountLoad,
    LoadPlan,
    RequestShape,
    TokenDistribution,
)
from citrondock_core.configuration import ServiceKind

BACKLOGGED_FRACTION = 0.1
OUTSTANDING_PER_ACCOUNT = 3
STEP_MS = 33.0
ANSWER_TOKENS = 30
PROMPT_TOKENS = 40
SLOTS_PER_NODE = 4


class Axis(enum.Enum):
    """Quantity that is varied while the others keep their reference size."""

    NODES = "nodes"
    ACCOUNTS = "accounts"
    REQUESTS = "requests"
    CHANGES = "changes"


@attrs.frozen(kw_only=True)
class CapacityPoint:
    """A fleet and its load, at one size on one axis.

    Parameters
    ----------
    axis : Axis
        Quantity that is varied.
    size : float
        Value of that quantity.
    node_count, account_count : int
        Routers and configured accounts, a tenth of them backlogged.
    requests_per_node_s : float
        Rate of answered requests; determines how many slots the engines have.
    changes_per_s : float
        Configuration edits per second.
    """

    axis: Axis
    size: float
    node_count: int = REFERENCE_SIZES.node_count
    account_count: int = REFERENCE_SIZES.account_count
    requests_per_node_s: float = REFERENCE_SIZES.requests_per_node_s
    changes_per_s: float = 0.0

    def fleet_options(self) -> FleetOptions:
        """Return the options of a fleet with one engine per router."""
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
        """Return a load in which a tenth of the accounts always have a backlog."""
        deployment = fleet.options.deployment
        backlogged_count = max(2, round(self.account_count * BACKLOGGED_FRACTION))
        slots_per_account = fleet.slot_count / backlogged_count
        shape = RequestShape(
            name="chat",
            model=deployment.services(ServiceKind.CHAT)[0].model,
            prompt_tokens=TokenDistribution(median_tokens=PROMPT_TOKENS),
            generated_tokens=TokenDistribution(
                median_tokens=ANSWER_TOKENS, sigma=0.5, max_tokens=5 * ANSWER_TOKENS
            ),
        )
        names = list(deployment.configuration.accounts)[:backlogged_count]
        return LoadPlan(
            endpoints=fleet.routers,
            accounts=[
                AccountLoad(
                    name=name,
                    key=account_key(name),
                    backlog_count=OUTSTANDING_PER_ACCOUNT + round(slots_per_account),
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
    """Return the points of all axes; each point varies one axis only."""
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
