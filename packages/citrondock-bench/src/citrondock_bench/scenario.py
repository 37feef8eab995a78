"""Scenarios of the experiment and the load plan of each."""

import enum
import math
from collections.abc import Sequence

import attrs

from citrondock_bench.deployment import Deployment, account_key
from citrondock_bench.plan import (
    EVEN_PLACEMENT,
    AccountLoad,
    Endpoint,
    LoadPlan,
    RequestShape,
    TokenDistribution,
)
from citrondock_core.configuration import ServiceKind

EVEN_SPEEDS = (1.0,)
UNEVEN_SPEEDS = (1.0, 3.0, 8.0)
BACKLOG_FACTOR = 1.5
EXTRA_BACKLOG_COUNT = 6
FLOOD_BACKLOG_COUNT = 600
ZONE_SEPARATOR = "@"


class Disturbance(enum.Enum):
    """Failure that is caused in the middle of a run."""

    NONE = "none"
    ROUTER_RESTART = "router_restart"
    ZONE_CUT = "zone_cut"


@attrs.frozen(kw_only=True)
class Scenario:
    """Load, engines and failure of one scenario.

    Parameters
    ----------
    name : str
        Name on the command line.
    deployment : str
        Example configuration that it runs with.
    engine_speeds : tuple of float
        Speed factors, assigned to the engines round-robin.
    uneven : bool
        Whether each large account sends all its requests to one router.
    flood : bool
        Whether one small account keeps hundreds of requests outstanding.
    heavy_tail : bool
        Whether costs have a heavy tail and cost hints are far off.
    disturbance : Disturbance
        Failure in the middle of the run.
    """

    name: str
    deployment: str
    engine_speeds: tuple[float, ...] = EVEN_SPEEDS
    uneven: bool = False
    flood: bool = False
    heavy_tail: bool = False
    disturbance: Disturbance = Disturbance.NONE


SCENARIOS = (
    Scenario(name="even", deployment="plume-nordique"),
    Scenario(name="uneven", deployment="plume-nordique", uneven=True),
    Scenario(name="flood", deployment="nairobi-casting", flood=True),
    Scenario(name="speeds", deployment="nairobi-casting", engine_speeds=UNEVEN_SPEEDS),
    Scenario(name="heavy_tail", deployment="plume-nordique", heavy_tail=True),
    Scenario(
        name="router_restart",
        deployment="nairobi-casting",
        disturbance=Disturbance.ROUTER_RESTART,
    ),
    Scenario(
        name="zone_cut",
        deployment="plume-nordique",
        disturbance=Disturbance.ZONE_CUT,
    ),
)


def scenario_named(name: str) -> Scenario:
    """Return the scenario with this name."""
    return next(scenario for scenario in SCENARIOS if scenario.name == name)


def _token_distribution(median_tokens: int, *, heavy_tail: bool) -> TokenDistribution:
    return TokenDistribution(
        median_tokens=median_tokens,
        sigma=1.2 if heavy_tail else 0.4,
        max_tokens=median_tokens * (10 if heavy_tail else 3),
    )


def chat_shapes(
    deployment: Deployment, *, heavy_tail: bool = False
) -> list[RequestShape]:
    """Return one request shape for each chat service, each with other answer sizes."""
    return [
        RequestShape(
            name=service.name,
            model=service.model,
            prompt_tokens=_token_distribution(40, heavy_tail=heavy_tail),
            generated_tokens=_token_distribution(
                30 + 10 * number, heavy_tail=heavy_tail
            ),
            hint_factor=6.0 if heavy_tail else 1.5,
        )
        for number, service in enumerate(deployment.services(ServiceKind.CHAT))
    ]


def _backlog_count(weight: float, total_weight: float, slot_count: int) -> int:
    share = slot_count * weight / total_weight
    return math.ceil(share * BACKLOG_FACTOR) + EXTRA_BACKLOG_COUNT


def _placement(
    scenario: Scenario, account: str, large: Sequence[str], routers: Sequence[Endpoint]
) -> str:
    if not scenario.uneven or account not in large:
        return EVEN_PLACEMENT
    return routers[large.index(account) % len(routers)].name


def backlogged_accounts(
    scenario: Scenario,
    deployment: Deployment,
    routers: Sequence[Endpoint],
    *,
    slot_count: int,
) -> list[AccountLoad]:
    """Return loads that keep every account backlogged."""
    accounts = deployment.configuration.accounts
    total_weight = sum(account.weight for account in accounts.values())
    large = deployment.large_accounts
    flooding = next(name for name in accounts if name not in large)
    shapes = [shape.name for shape in chat_shapes(deployment)]
    loads = []
    for name, account in accounts.items():
        count = _backlog_count(account.weight, total_weight, slot_count)
        if scenario.flood and name == flooding:
            count = FLOOD_BACKLOG_COUNT
        load = AccountLoad(
            name=name,
            key=account_key(name),
            weight=account.weight,
            backlog_count=count,
            placement=_placement(scenario, name, large, routers),
            shapes=shapes,
        )
        if scenario.disturbance is Disturbance.ZONE_CUT:
            loads += _split_by_zone(load, deployment.zones)
        else:
            loads.append(load)
    return loads


def _split_by_zone(load: AccountLoad, zones: Sequence[str]) -> list[AccountLoad]:
    """Split an account's load into one for each zone, to measure them separately."""
    return [
        attrs.evolve(load, name=f"{load.name}{ZONE_SEPARATOR}{zone}", placement=zone)
        for zone in zones
    ]


def scenario_plan(
    scenario: Scenario,
    deployment: Deployment,
    routers: Sequence[Endpoint],
    *,
    slot_count: int,
    seed: int,
    duration_s: float,
    worker_count: int = 3,
) -> LoadPlan:
    """Return the load plan of a scenario."""
    accounts = backlogged_accounts(scenario, deployment, routers, slot_count=slot_count)
    return LoadPlan(
        endpoints=routers,
        accounts=accounts,
        shapes=chat_shapes(deployment, heavy_tail=scenario.heavy_tail),
        seed=seed,
        duration_s=duration_s,
        worker_count=worker_count,
    )
