"""An object store inside the process, for fast tests."""

import time
from collections.abc import Callable, Iterator, Sequence
from contextlib import contextmanager
from typing import TypeVar

from citrondock_core.object_store import (
    AnswerLostError,
    ObjectStore,
    StoreCallKind,
    StoredObject,
    StoreUnavailableError,
    WatchResult,
)
from citrondock_standins.store_core import PEER, Outage, StoreCore, StoreFaults

T = TypeVar("T")


class MemoryObjectStore(ObjectStore):
    """One client's view of a `StoreCore`, with the faults of the HTTP stand-in.

    Parameters
    ----------
    core : StoreCore, optional
        Shared by the clients of one store.
    client : str
        Name under which calls are counted.

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
        """Replace the faults in force for all clients of the core."""
        with self.core.changed:
            self.core.set_faults(faults)
            self.core.changed.notify_all()

    def get(self, key: str, *, timeout_s: float = 2.0) -> StoredObject:
        """Return the object."""
        with self._call(StoreCallKind.GET, timeout_s):
            found = self.core.get(key)
        self._delay(StoreCallKind.GET, timeout_s)
        return found

    def create(self, key: str, value: bytes, *, timeout_s: float = 2.0) -> int:
        """Write a new object."""
        return self._write(
            StoreCallKind.CREATE,
            key,
            lambda: self.core.put(key, value, if_version=0),
            timeout_s,
        )

    def update(
        self, key: str, value: bytes, *, if_version: int, timeout_s: float = 2.0
    ) -> int:
        """Replace the value of an object."""
        return self._write(
            StoreCallKind.UPDATE,
            key,
            lambda: self.core.put(key, value, if_version=if_version),
            timeout_s,
        )

    def delete(self, key: str, *, if_version: int, timeout_s: float = 2.0) -> None:
        """Delete an object."""
        self._write(
            StoreCallKind.DELETE,
            key,
            lambda: self.core.delete(key, if_version=if_version),
            timeout_s,
        )

    def list(
        self,
        prefix: str,
        *,
        after_key: str = "",
        limit: int = 500,
        timeout_s: float = 2.0,
    ) -> Sequence[StoredObject]:
        """Return objects under a prefix."""
        with self._call(StoreCallKind.LIST, timeout_s):
            found = self.core.list(prefix, after_key=after_key, limit=limit)
        self._delay(StoreCallKind.LIST, timeout_s)
        return found

    def watch(self, prefix: str, *, after_version: int, wait_s: float) -> WatchResult:
        """Wait for a change under a prefix."""
        deadline_s = time.monotonic() + wait_s
        with self._call(StoreCallKind.WATCH, wait_s):
            while True:
                result = self.core.changes(prefix, after_version=after_version)
                left_s = deadline_s - time.monotonic()
                if result.changes or left_s <= 0:
                    return result
                self.core.changed.wait(left_s)
                if self.core.faults.outage is not Outage.NONE:
                    raise StoreUnavailableError("outage", step="watch", peer=PEER)

    def _write(
        self,
        kind: StoreCallKind,
        key: str,
        write: Callable[[], T],
        timeout_s: float,
    ) -> T:
        with self._call(kind, timeout_s):
            written = write()
            is_lost = self.core.loses_answer(key)
            self.core.changed.notify_all()
        self._delay(kind, timeout_s)
        if is_lost:
            raise AnswerLostError("answer lost", step=kind.value, peer=PEER)
        return written

    @contextmanager
    def _call(self, kind: StoreCallKind, timeout_s: float) -> Iterator[None]:
        deadline_s = time.monotonic() + timeout_s
        with self.core.changed:
            self.core.admit(kind, client=self._client, now_s=time.monotonic())
            while self.core.faults.outage is Outage.HANG:
                if not self.core.changed.wait(deadline_s - time.monotonic()):
                    raise AnswerLostError("timeout", step=kind.value, peer=PEER)
            if self.core.faults.outage is Outage.CLOSE:
                raise AnswerLostError("closed", step=kind.value, peer=PEER)
            yield

    def _delay(self, kind: StoreCallKind, timeout_s: float) -> None:
        slow_s = self.core.faults.slow_ms / 1000
        time.sleep(min(slow_s, timeout_s))
        if slow_s > timeout_s:
            raise AnswerLostError("timeout", step=kind.value, peer=PEER)
