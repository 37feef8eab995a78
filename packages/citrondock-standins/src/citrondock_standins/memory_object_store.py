"""In-memory object store for fast tests."""

import time
from collections.abc import Callable, Sequence
from typing import TypeVar

import attrs

from citrondock_core.object_store import (
    AnswerLostError,
    ObjectStore,
    StoreCallKind,
    StoredObject,
    StoreUnavailableError,
    WatchResult,
)
from citrondock_core.store_version import era_of, number_of, version_in
from citrondock_standins.store_core import PEER, Outage, StoreCore, StoreFaults

T = TypeVar("T")


class MemoryObjectStore(ObjectStore):
    """Client of a `StoreCore` in the same process, with the same faults as over HTTP.

    Parameters
    ----------
    core : StoreCore, optional
        Core to share with other clients; a new one by default.
    client : str
        Name under which the core counts the calls.

    Examples
    --------
    >>> store = MemoryObjectStore()
    >>> store.create("head", b"1")
    1
    """

    def __init__(self, core: StoreCore | None = None, *, client: str = "") -> None:
        self.core = core or StoreCore()
        self._client = client

    def set_faults(self, faults: StoreFaults) -> None:
        """Replace the faults, for all clients of the core."""
        with self.core.changed:
            self.core.set_faults(faults)
            self.core.changed.notify_all()

    def take_copy(self) -> None:
        """Copy the objects, for a later `restore`."""
        with self.core.changed:
            self.core.take_copy()

    def restore(self) -> None:
        """Come back from the copy, for all clients of the core."""
        with self.core.changed:
            self.core.restore()
            self.core.changed.notify_all()

    def get(self, key: str, *, timeout_s: float = 2.0) -> StoredObject:
        """Return the object."""

        def find() -> StoredObject:
            return self._with_era(self.core.get(key))

        return self._call(StoreCallKind.GET, timeout_s, find)

    def create(self, key: str, value: bytes, *, timeout_s: float = 2.0) -> int:
        """Write a new object."""

        def put() -> int:
            return self._version(self.core.put(key, value, if_version=0))

        return self._call(StoreCallKind.CREATE, timeout_s, put, written_key=key)

    def update(
        self, key: str, value: bytes, *, if_version: int, timeout_s: float = 2.0
    ) -> int:
        """Replace the value of an object."""

        def put() -> int:
            number = self.core.put(
                key,
                value,
                if_version=number_of(if_version),
                if_era=_era_wanted(if_version),
            )
            return self._version(number)

        return self._call(StoreCallKind.UPDATE, timeout_s, put, written_key=key)

    def delete(self, key: str, *, if_version: int, timeout_s: float = 2.0) -> None:
        """Delete an object."""

        def delete() -> None:
            self.core.delete(
                key, if_version=number_of(if_version), if_era=_era_wanted(if_version)
            )

        self._call(StoreCallKind.DELETE, timeout_s, delete, written_key=key)

    def list(
        self,
        prefix: str,
        *,
        after_key: str = "",
        limit: int = 500,
        timeout_s: float = 2.0,
    ) -> Sequence[StoredObject]:
        """Return objects under a prefix."""

        def find() -> Sequence[StoredObject]:
            found = self.core.list(prefix, after_key=after_key, limit=limit)
            return [self._with_era(each) for each in found]

        return self._call(StoreCallKind.LIST, timeout_s, find)

    def watch(self, prefix: str, *, after_version: int, wait_s: float) -> WatchResult:
        """Wait for a change under a prefix."""
        deadline_s = time.monotonic() + wait_s

        def wait() -> WatchResult:
            while True:
                result = self.core.changes(
                    prefix,
                    after_version=number_of(after_version),
                    era=_era_wanted(after_version),
                )
                left_s = deadline_s - time.monotonic()
                if result.changes or left_s <= 0:
                    return WatchResult(
                        version=self._version(result.version),
                        changes=[self._with_era(each) for each in result.changes],
                    )
                self.core.changed.wait(left_s)
                if self.core.faults.outage is not Outage.NONE:
                    raise StoreUnavailableError("outage", step="watch", peer=PEER)

        return self._call(StoreCallKind.WATCH, wait_s, wait)

    def _version(self, number: int) -> int:
        return version_in(self.core.era, number)

    def _with_era(self, found: StoredObject) -> StoredObject:
        return attrs.evolve(found, version=self._version(found.version))

    def _call(
        self,
        kind: StoreCallKind,
        timeout_s: float,
        operation: Callable[[], T],
        *,
        written_key: str | None = None,
    ) -> T:
        deadline_s = time.monotonic() + timeout_s
        with self.core.changed:
            self.core.admit(kind, client=self._client, now_s=time.monotonic())
            while self.core.faults.outage is Outage.HANG:
                if not self.core.changed.wait(deadline_s - time.monotonic()):
                    raise AnswerLostError("timeout", step=kind.value, peer=PEER)
            if self.core.faults.outage is Outage.CLOSE:
                raise AnswerLostError("closed", step=kind.value, peer=PEER)
            result = operation()
            is_lost = False
            if written_key is not None:
                is_lost = self.core.loses_answer(written_key)
                self.core.changed.notify_all()
        slow_s = self.core.faults.slow_ms / 1000
        time.sleep(min(slow_s, timeout_s))
        if is_lost or slow_s > timeout_s:
            raise AnswerLostError("answer lost", step=kind.value, peer=PEER)
        return result


def _era_wanted(version: int) -> int | None:
    return era_of(version) if version else None
