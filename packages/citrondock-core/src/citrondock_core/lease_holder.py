"""Taking, renewing and losing a lease in the object store."""

import uuid
from collections.abc import Callable

import attrs
from cattrs.preconf.json import make_converter

from citrondock_core.lease import Lease, LeaseOptions, LeaseRecord
from citrondock_core.object_store import (
    AnswerLostError,
    ObjectNotFoundError,
    ObjectStore,
    ObjectStoreError,
    VersionConflictError,
)

LEASE_PREFIX = "leases/"

_converter = make_converter()


@attrs.frozen(kw_only=True)
class _Seen:
    record: LeaseRecord
    version: int
    takeover_deadline_s: float


class LeaseHolder:
    """Contends for one lease; called by one thread, which may wait for the store.

    No wall clocks are compared: a contender takes a lease over when it has seen no
    renewal for the lease's whole time and a margin on its own monotonic clock.

    Parameters
    ----------
    store : ObjectStore
        Where the lease is.
    name : str
        What the lease is for.
    holder : str
        This router and its incarnation.
    options : LeaseOptions or None
        Periods.
    clock : callable
        Monotonic time in seconds, also while the process is stopped.
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
        self._seen: _Seen | None = None
        self._lease: Lease | None = None
        self._renewal_due_s = 0.0

    def current(self) -> Lease | None:
        """Return the lease while it may be relied on."""
        lease = self._lease
        if lease is not None and self._clock() < lease.deadline_s:
            return lease
        return None

    def acquire_or_renew(self) -> Lease | None:
        """Take or renew the lease if it is time to; return it if it is held.

        An unavailable store raises nothing: the lease lapses if that lasts.
        """
        now_s = self._clock()
        if now_s < self._renewal_due_s:
            return self.current()
        self._renewal_due_s = now_s + self._options.renewal_period_s
        try:
            self._contend()
        except ObjectStoreError:
            self._seen = None if self._lease is None else self._seen
        return self.current()

    def mark_lost(self) -> None:
        """Stop relying on the lease, as a target knows of a later holder."""
        self._lease = None

    def release(self) -> None:
        """Give the lease up, after the last order under it has ended."""
        lease, self._lease = self.current(), None
        if lease is None or self._seen is None:
            return
        record = self._new_record("", lease.fencing_token)
        try:
            self._write(record, self._seen.version)
        except ObjectStoreError:
            return

    def _contend(self) -> None:
        began_s = self._clock()
        if self._lease is not None and self._seen is not None:
            token = self._lease.fencing_token
            if self._try(self._new_record(self._holder, token), self._seen.version):
                self._hold(token, began_s, self._lease.orders_from_s)
                return
        self._observe()
        seen = self._seen
        if seen is None:
            self._take(None, version=0, began_s=began_s)
        elif seen.record.holder == "" or seen.takeover_deadline_s <= began_s:
            self._take(seen.record, version=seen.version, began_s=began_s)
        elif seen.record.holder != self._holder:
            self._lease = None

    def _take(
        self, former: LeaseRecord | None, *, version: int, began_s: float
    ) -> None:
        self._lease = None
        token = former.fencing_token + 1 if former else 1
        if self._try(self._new_record(self._holder, token), version):
            self._hold(token, began_s, self._clock() + self._options.margin_s)

    def _hold(self, token: int, began_s: float, orders_from_s: float) -> None:
        self._lease = Lease(
            name=self._name,
            fencing_token=token,
            deadline_s=began_s + self._options.ttl_s - self._options.margin_s,
            orders_from_s=orders_from_s,
        )

    def _observe(self) -> None:
        try:
            found = self._store.get(self._key, timeout_s=self._options.store_timeout_s)
        except ObjectNotFoundError:
            self._seen = None
            return
        if self._seen is not None and self._seen.version == found.version:
            return
        self._seen = self._seen_now(
            _converter.loads(found.value, LeaseRecord), found.version
        )

    def _seen_now(self, record: LeaseRecord, version: int) -> _Seen:
        wait_s = self._options.ttl_s + self._options.margin_s
        return _Seen(
            record=record,
            version=version,
            takeover_deadline_s=self._clock() + wait_s,
        )

    def _try(self, record: LeaseRecord, version: int) -> bool:
        try:
            written = self._write(record, version)
        except VersionConflictError:
            return False
        except AnswerLostError:
            self._observe()
            return self._seen is not None and self._seen.record == record
        self._seen = self._seen_now(record, written)
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
