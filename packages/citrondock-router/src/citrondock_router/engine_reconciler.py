"""Brings engines to the state that the configuration asks for."""

import time
import uuid
from collections.abc import Callable, Mapping

import attrs
from attrs.validators import gt
from loguru import logger

from citrondock_core.audit_record import AuditKind, AuditRecord
from citrondock_core.clocks import boot_time_s
from citrondock_core.configuration import Configuration, Pool, PoolKind, Target
from citrondock_core.engine_control import (
    EngineControl,
    EngineControlError,
    EngineOrder,
    EngineState,
    OrderFencedError,
    OrderLimitedError,
)
from citrondock_core.engine_plan import missing_orders
from citrondock_core.lease import Lease, LeaseLostError, LeaseOptions
from citrondock_core.lease_holder import LeaseHolder
from citrondock_core.object_store import ObjectStore

LEASE_PREFIX = "orders/"


@attrs.frozen(kw_only=True)
class ReconcilerOptions:
    """Timing of orders to engines.

    Parameters
    ----------
    load_period_s : float
        Shortest time between two orders in one pool that load weights.
    timeout_s : float
        Timeout of one call to an engine.
    lease : LeaseOptions
        Timing of the lease of each pool.
    """

    load_period_s: float = attrs.field(default=1.0, validator=gt(0))
    timeout_s: float = attrs.field(default=2.0, validator=gt(0))
    lease: LeaseOptions = attrs.field(factory=LeaseOptions)


class EngineReconciler:
    """Sends orders to the engines of each pool whose lease this router holds.

    One thread calls `step` periodically; the calls block on the store and on engines.

    Parameters
    ----------
    store : ObjectStore
        Store that holds the leases.
    control : EngineControl
        Reads the state of engines and sends orders to them.
    vm_name, incarnation : str, int
        VM and incarnation of this router.
    audit : callable
        Called with the audit record of each order and of each takeover of a lease.
    options : ReconcilerOptions or None
        Timing.
    clock, wall_clock : callable
        Return monotonic seconds and Unix seconds.
    """

    def __init__(
        self,
        store: ObjectStore,
        control: EngineControl,
        vm_name: str,
        incarnation: int,
        *,
        audit: Callable[[AuditRecord], None],
        options: ReconcilerOptions | None = None,
        clock: Callable[[], float] = boot_time_s,
        wall_clock: Callable[[], float] = time.time,
    ) -> None:
        self._store = store
        self._control = control
        self._vm_name = vm_name
        self._holder_name = f"{vm_name}/{incarnation}"
        self._audit = audit
        self._options = options or ReconcilerOptions()
        self._clock = clock
        self._wall_clock = wall_clock
        self._lease_holders: dict[str, LeaseHolder] = {}
        self._fencing_tokens: dict[str, int] = {}
        self._next_load_s: dict[str, float] = {}
        self._states: dict[str, EngineState] = {}

    def states(self) -> Mapping[str, EngineState]:
        """Return the last known state of each engine, by target name."""
        return dict(self._states)

    def step(
        self, configuration: Configuration, *, is_candidate: Callable[[str], bool]
    ) -> None:
        """Compare the engines of each pool with the configuration and send orders.

        Parameters
        ----------
        configuration : Configuration
            Configuration in force.
        is_candidate : callable
            Given the name of a pool, returns whether this router should compete for
            its lease. One router per pool does, to save calls to the store.
        """
        for pool in configuration.pools.values():
            if pool.kind is PoolKind.ENGINE and (pool.model or pool.role):
                self._reconcile_pool(
                    pool, configuration.revision, is_candidate(pool.name)
                )

    def release(self) -> None:
        """Release all leases; call it only when no order is under way."""
        for holder in self._lease_holders.values():
            holder.release()
        self._lease_holders.clear()

    def _reconcile_pool(self, pool: Pool, revision: int, candidate: bool) -> None:
        if not candidate and pool.name not in self._lease_holders:
            return
        holder = self._lease_holder(pool)
        if not candidate:
            holder.release()
            del self._lease_holders[pool.name]
            return
        for target in pool.targets:
            lease = holder.acquire_or_renew()
            if lease is None:
                return
            self._audit_takeover(pool, lease)
            try:
                self._reconcile_engine(pool, target, lease, revision)
            except (OrderFencedError, LeaseLostError) as error:
                logger.warning("event=order_lease_lost pool={} {}", pool.name, error)
                holder.mark_lost()
                return
            except EngineControlError as error:
                logger.warning("event=order_failed pool={} {}", pool.name, error)

    def _reconcile_engine(
        self, pool: Pool, target: Target, lease: Lease, revision: int
    ) -> None:
        timeout_s = self._options.timeout_s
        state = self._control.state(target, timeout_s=timeout_s)
        self._states[target.name] = state
        for order in missing_orders(pool, state):
            if not self._may_order(pool, order, lease):
                continue
            self._send_order(pool, target, order, lease, revision)
            return

    def _may_order(self, pool: Pool, order: EngineOrder, lease: Lease) -> bool:
        now_s = self._clock()
        if not pool.checks_fencing and now_s < lease.orders_from_s:
            return False
        if not order.kind.loads_weights:
            return True
        return now_s >= self._next_load_s.get(pool.name, 0.0)

    def _send_order(
        self,
        pool: Pool,
        target: Target,
        order: EngineOrder,
        lease: Lease,
        revision: int,
    ) -> None:
        timeout_s = self._options.timeout_s
        order_id = uuid.uuid4().hex
        if order.kind.loads_weights:
            self._next_load_s[pool.name] = self._clock() + self._options.load_period_s
        lease.check(now_s=self._clock(), needed_s=timeout_s)
        try:
            self._control.order(
                target,
                order,
                fencing_token=lease.fencing_token,
                order_id=order_id,
                timeout_s=timeout_s,
            )
        except OrderLimitedError:
            return
        self._audit_order(pool, target, order, lease, revision)

    def _audit_order(
        self,
        pool: Pool,
        target: Target,
        order: EngineOrder,
        lease: Lease,
        revision: int,
    ) -> None:
        version = f" {order.version}" if order.version else ""
        self._audit(
            AuditRecord(
                at_unix_s=self._wall_clock(),
                kind=AuditKind.ORDER,
                who=self._vm_name,
                what=f"{order.kind.value} {order.name}{version} on {target.name}, "
                f"fencing token {lease.fencing_token}",
                why=f"pool {pool.name} asks for it in revision {revision}",
                subject=target.name,
                to_revision=revision,
                step="order",
                peer=target.name,
            )
        )

    def _audit_takeover(self, pool: Pool, lease: Lease) -> None:
        if self._fencing_tokens.get(pool.name) == lease.fencing_token:
            return
        self._fencing_tokens[pool.name] = lease.fencing_token
        self._audit(
            AuditRecord(
                at_unix_s=self._wall_clock(),
                kind=AuditKind.TAKEOVER,
                who=self._vm_name,
                what=f"took the lease for orders to pool {pool.name}, "
                f"fencing token {lease.fencing_token}",
                why="the lease was free or its holder stopped renewing it",
                subject=pool.name,
                step="lease",
            )
        )

    def _lease_holder(self, pool: Pool) -> LeaseHolder:
        if pool.name not in self._lease_holders:
            self._lease_holders[pool.name] = LeaseHolder(
                self._store,
                f"{LEASE_PREFIX}{pool.name}",
                self._holder_name,
                self._options.lease,
                clock=self._clock,
            )
        return self._lease_holders[pool.name]
