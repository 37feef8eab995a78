"""Runs router processes with stand-in engines and services for the benchmarks."""

import itertools
import time
import uuid
from collections.abc import Generator, Sequence
from concurrent.futures import Future, ThreadPoolExecutor
from types import TracebackType
from typing import Self

import attrs

from citrondock_bench.deployment import Deployment
from citrondock_bench.measures import BusySlot
from citrondock_bench.node_usage import Node
from citrondock_bench.plan import DEFAULT_PROMPT_TOKEN_WEIGHT, Endpoint
from citrondock_bench.proxied_fleet import ProxiedFleet
from citrondock_core.configuration import Target
from citrondock_core.configuration_repository import (
    ConfigurationRepository,
    EditRequest,
)
from citrondock_core.object_store import ObjectStore
from citrondock_standins.fleet import HOST, EnginePlan, Fleet, FleetPlan, FleetTarget
from citrondock_standins.processes import ChildError

READY_TIMEOUT_S = 60.0
POLL_PERIOD_S = 0.1
DEFAULT_BATCH_SIZE = 8


@attrs.frozen(kw_only=True)
class FleetOptions:
    """Size, speed and dispatch settings of a fleet.

    Parameters
    ----------
    deployment : Deployment
        Configuration of its accounts and services.
    router_count, engine_count, application_count : int
        Numbers of routers and targets; zones are assigned round-robin.
    engine_speeds : tuple of float
        Speed factors, assigned to the engines round-robin.
    batch_size : int
        Requests that an engine processes at once.
    configured_slot_count : int or None
        Slots of an engine in the configuration; None uses `batch_size`.
    step_ms : float
        Time that an engine takes for one token, in milliseconds.
    dispatch_policy : str
        Dispatch policy of the routers.
    dispatch_settings : dict of str
        Further settings of the dispatcher.
    is_proxied : bool
        Whether connections go through proxies that can inject network faults.
    """

    deployment: Deployment
    router_count: int = 7
    engine_count: int = 9
    application_count: int = 3
    engine_speeds: tuple[float, ...] = (1.0,)
    batch_size: int = DEFAULT_BATCH_SIZE
    configured_slot_count: int | None = None
    step_ms: float = 10.0
    dispatch_policy: str = "fair"
    dispatch_settings: dict[str, float] = attrs.field(factory=dict)
    is_proxied: bool = False

    def plan(self) -> FleetPlan:
        """Return the plan with which the processes are launched."""
        zones = self.deployment.zones
        speeds = self.engine_speeds
        return FleetPlan(
            router_zones=tuple(_assign_zones(zones, self.router_count)),
            engines=tuple(
                EnginePlan(availability_zone=zone, speed=speeds[index % len(speeds)])
                for index, zone in enumerate(_assign_zones(zones, self.engine_count))
            ),
            application_zones=tuple(_assign_zones(zones, self.application_count)),
            is_proxied=self.is_proxied,
            dispatch_policy=self.dispatch_policy,
            settings={
                "dispatch": {"prompt_token_weight": DEFAULT_PROMPT_TOKEN_WEIGHT}
                | self.dispatch_settings,
            },
            engine_flags={
                "max_batch": self.batch_size,
                "step_ms": self.step_ms,
                "step_per_sequence_ms": 0.0,
            },
        )


def _assign_zones(zones: Sequence[str], count: int) -> list[str]:
    return [zones[index % len(zones)] for index in range(count)]


class BenchFleet:
    """A running fleet whose configuration is committed; a context manager.

    Parameters
    ----------
    options : FleetOptions
        Size and settings of the fleet.

    Attributes
    ----------
    fleet : Fleet
        Processes of the fleet.
    options : FleetOptions
        Options that it was started with.
    """

    def __init__(self, options: FleetOptions) -> None:
        self.options = options
        kind = ProxiedFleet if options.is_proxied else Fleet
        self.fleet: Fleet = kind(options.plan(), publish=self._publish)
        self._revision = 0

    def __enter__(self) -> Self:
        self.fleet.__enter__()
        try:
            self.fleet.wait_ready(timeout_s=READY_TIMEOUT_S)
        except BaseException:
            self.stop()
            raise
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        self.stop()

    def stop(self) -> None:
        """Kill all processes; benchmarks need no graceful shutdown."""
        for router in self.fleet.routers.values():
            router.process.kill()
        self.fleet.stop()

    @property
    def routers(self) -> list[Endpoint]:
        """Addresses on which the routers accept callers."""
        return [
            Endpoint(
                name=name,
                host=HOST,
                port=router.process.callers_port,
                availability_zone=router.availability_zone,
            )
            for name, router in self.fleet.routers.items()
        ]

    @property
    def engines(self) -> list[Endpoint]:
        """Addresses of the engines, for calls that bypass the routers."""
        return [
            Endpoint(name=each.target.name, host=HOST, port=each.target.port)
            for each in self.fleet.engines
        ]

    @property
    def nodes(self) -> list[Node]:
        """Operators' ports and process ids of the running routers."""
        return [
            Node(
                name=name,
                host=HOST,
                operators_port=router.process.operators_port,
                pid=router.process.pid,
            )
            for name, router in self.fleet.routers.items()
        ]

    @property
    def slot_count(self) -> int:
        """Requests that all engines together process at once."""
        return self.options.batch_size * len(self.fleet.engines)

    def wait_for_models(self, *, timeout_s: float = READY_TIMEOUT_S) -> None:
        """Wait until every engine has loaded all models and adapters of the pools."""
        pools = self.options.deployment.configuration.pools.values()
        wanted = {
            name for pool in pools for name in (pool.model, *pool.adapters) if name
        }
        deadline_s = time.monotonic() + timeout_s
        for engine in self.fleet.engines:
            while not wanted <= _loaded_models(engine):
                if time.monotonic() > deadline_s:
                    raise ChildError(
                        f"{engine.target.name} did not load all of {wanted} "
                        f"in {timeout_s:g} s"
                    )
                time.sleep(POLL_PERIOD_S)

    def busy_slots(self) -> list[BusySlot]:
        """Return the times in which slots were busy, as the engines logged them."""
        now_s = time.monotonic()
        return [
            BusySlot(started_s=run["started_s"], ended_s=run["ended_s"] or now_s)
            for engine in self.fleet.engines
            for run in engine.process.read("/control/runs", index=engine.index)["runs"]
            if run["started_s"] is not None
        ]

    def change_weight(self, account: str, weight: float) -> None:
        """Commit a configuration edit that changes the weight of one account."""
        configuration = self.options.deployment.configuration
        changed = attrs.evolve(configuration.accounts[account], weight=weight)
        deployment = attrs.evolve(
            self.options.deployment,
            configuration=attrs.evolve(
                configuration, accounts={**configuration.accounts, account: changed}
            ),
        )
        self._commit(self.fleet.store, deployment)

    def _publish(self, store: ObjectStore, fleet: Fleet) -> None:
        self.fleet = fleet
        self._commit(store, self.options.deployment)

    def _commit(self, store: ObjectStore, deployment: Deployment) -> None:
        slot_count = self.options.configured_slot_count or self.options.batch_size
        text = deployment.with_targets(
            [_with_slot_count(each, slot_count) for each in self.fleet.engines],
            [each.target for each in self.fleet.applications],
        ).text()
        commit = ConfigurationRepository(store, pause=time.sleep).commit(
            EditRequest(
                edit_id=uuid.uuid4().hex,
                author="bench",
                reason="measurement",
                base_revision=self._revision,
                text=text.encode(),
                file=f"{deployment.name}.json",
                now_epoch_s=time.time(),
            )
        )
        self._revision = commit.configuration.revision


def prestarted_fleets(
    all_options: Sequence[FleetOptions],
) -> Generator[BenchFleet, None, None]:
    """Yield a running fleet for each of the options, and stop it afterwards.

    The next fleet starts in the background while the current one is in use, unless the
    current one has proxies: they run in this process and would be slowed down. Close
    the generator to stop the fleets that still run.
    """
    executor = ThreadPoolExecutor(1)
    upcoming: Future[BenchFleet] | None = None
    try:
        for options, following in itertools.zip_longest(all_options, all_options[1:]):
            fleet = _start_fleet(options) if upcoming is None else upcoming.result()
            upcoming = None
            if following is not None and not options.is_proxied:
                upcoming = executor.submit(_start_fleet, following)
            try:
                yield fleet
            finally:
                fleet.stop()
    finally:
        if upcoming is not None:
            upcoming.result().stop()
        executor.shutdown()


def _start_fleet(options: FleetOptions) -> BenchFleet:
    return BenchFleet(options).__enter__()


def _loaded_models(engine: FleetTarget) -> set[str]:
    state = engine.process.read("/v1/state", index=engine.index)
    return {*state["models"], *state["adapters"]}


def _with_slot_count(engine: FleetTarget, slot_count: int) -> Target:
    return attrs.evolve(engine.target, max_in_flight=slot_count)
