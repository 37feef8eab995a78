"""Acquires, renews and releases a lease in the object store."""

import uuid
from collections.abc import Callable

import attrs
from cattrs.preconf.json import make_converter

from citrondock_core.lease import Lease, LeaseOptions, LeaseRecord, first_token
from citrondock_core.object_store import (
    AnswerLostError,
    ObjectNotFoundError,
    ObjectStore,
    ObjectStoreError,
    VersionConflictError,
)
from citrondock_core.store_version import era_of

LEASE_PREFIX = "leases/"

_converter = make_converter()


@attrs.frozen(kw_only=True)
class _ObservedRecord:
    record: LeaseRecord
    version: int
    takeover_deadline_s: float

    @property
    def era(self) -> int:
        return era_of(self.version)


class LeaseHolder:
    """Competes with other routers for one lease.

    Wall clocks are never compared: a router takes over a lease after it has seen no
    renewal for the lease's time to live plus a margin, on its own monotonic clock.
    A lease is void once the store came back from a copy, which may lack it.

    All calls come from one thread; they may block on the store.

    Parameters
    ----------
    store : ObjectStore
        Store that holds the lease.
    name : str
        Name of the lease.
    holder : str
        This router and its incarnation.
    options : LeaseOptions or None
        Timing of the lease.
    clock : callable
        Returns monotonic seconds that also count suspended time.
    """

    def __init__(
        self,
        store: ObjectStore,
        name: str,
        holder: str,
        options: LeaseOptions | None = None,
        *,
        clock: Callable[[], float],
    ) -> None:
        self._store = store
        self._name = name
        self._holder = holder
        self._options = options or LeaseOptions()
        self._clock = clock
        self._observed: _ObservedRecord | None = None
        self._lease: Lease | None = None
        self._renewal_due_s = 0.0

    def current(self) -> Lease | None:
        """Return the lease, or None if it is not held or has expired."""
        lease = self._lease
        if lease is not None and self._clock() < lease.deadline_s:
            return lease
        return None

    def acquire_or_renew(self) -> Lease | None:
        """Acquire or renew the lease if that is due; return it if it is held.

        Errors of the store are not raised: the lease expires if they persist.
        """
        now_s = self._clock()
        if now_s < self._renewal_due_s:
            return self.current()
        self._renewal_due_s = now_s + self._options.renewal_period_s
        try:
            self._contend()
        except ObjectStoreError:
            self._observed = None if self._lease is None else self._observed
        return self.current()

    def mark_lost(self) -> None:
        """Drop the lease, because a target has seen a later holder."""
        self._lease = None

    def release(self) -> None:
        """Release the lease in the store, after the last order under it has ended."""
        lease, self._lease = self.current(), None
        if lease is None or self._observed is None:
            return
        record = self._new_record("", lease.fencing_token)
        try:
            self._write(record, self._observed.version)
        except ObjectStoreError:
            return

    def _contend(self) -> None:
        began_s = self._clock()
        if self._lease is not None and self._observed is not None:
            token = self._lease.fencing_token
            if self._try_write(
                self._new_record(self._holder, token), self._observed.version
            ):
                self._set_lease(token, began_s, self._lease.orders_from_s)
                return
        self._read_record()
        observed = self._observed
        if observed is None:
            self._acquire(None, version=0, began_s=began_s)
        elif observed.record.holder == "" or observed.takeover_deadline_s <= began_s:
            self._acquire(observed.record, version=observed.version, began_s=began_s)
        elif observed.record.holder != self._holder:
            self._lease = None

    def _acquire(
        self, former: LeaseRecord | None, *, version: int, began_s: float
    ) -> None:
        self._lease = None
        era = era_of(version)
        token = former.next_token(era=era) if former else first_token(era)
        if not self._try_write(self._new_record(self._holder, token), version):
            return
        if self._observed is not None and self._observed.era != era:
            # The era of a record that did not exist is known only from the answer.
            era, version = self._observed.era, self._observed.version
            token = first_token(era)
            if not self._try_write(self._new_record(self._holder, token), version):
                return
        wait_s = self._options.margin_s
        if not _is_surely_free(former, era):
            wait_s += self._options.ttl_s
        self._set_lease(token, began_s, self._clock() + wait_s)

    def _set_lease(self, token: int, began_s: float, orders_from_s: float) -> None:
        self._lease = Lease(
            name=self._name,
            fencing_token=token,
            deadline_s=began_s + self._options.ttl_s - self._options.margin_s,
            orders_from_s=orders_from_s,
        )

    def _read_record(self) -> None:
        try:
            found = self._store.get(self._key, timeout_s=self._options.store_timeout_s)
        except ObjectNotFoundError:
            self._observed = None
            return
        if self._observed is not None and self._observed.version == found.version:
            return
        if self._lease is not None and self._lease.era != era_of(found.version):
            self._lease = None
        self._observed = self._observation_of(
            _converter.loads(found.value, LeaseRecord), found.version
        )

    def _observation_of(self, record: LeaseRecord, version: int) -> _ObservedRecord:
        wait_s = self._options.ttl_s + self._options.margin_s
        return _ObservedRecord(
            record=record,
            version=version,
            takeover_deadline_s=self._clock() + wait_s,
        )

    def _try_write(self, record: LeaseRecord, version: int) -> bool:
        try:
            written = self._write(record, version)
        except VersionConflictError:
            return False
        except AnswerLostError:
            self._read_record()
            observed = self._observed
            if observed is None or observed.record != record:
                return False
            return version == 0 or observed.era == era_of(version)
        self._observed = self._observation_of(record, written)
        return True

    def _write(self, record: LeaseRecord, version: int) -> int:
        value = _converter.dumps(record).encode()
        timeout_s = self._options.store_timeout_s
        if version == 0:
            return self._store.create(self._key, value, timeout_s=timeout_s)
        return self._store.update(
            self._key, value, if_version=version, timeout_s=timeout_s
        )

    def _new_record(self, holder: str, token: int) -> LeaseRecord:
        return LeaseRecord(
            holder=holder, fencing_token=token, renewal_id=uuid.uuid4().hex
        )

    @property
    def _key(self) -> str:
        return f"{LEASE_PREFIX}{self._name}"


def _is_surely_free(former: LeaseRecord | None, era: int) -> bool:
    """Whether no router can rely on a lease that the store has lost.

    A record without a holder shows this only if it is of the present era. One that was
    not renewed for the time to live shows it in any.
    """
    if era == 0 or (former is not None and former.holder):
        return True
    return former is not None and former.era == era
