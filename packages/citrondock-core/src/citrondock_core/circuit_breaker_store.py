"""An object store behind a circuit breaker, so that calls fail fast in an outage."""

import random
from collections.abc import Callable, Sequence
from typing import TypeVar

from citrondock_core.circuit_breaker import CircuitBreaker, CircuitBreakerOptions
from citrondock_core.object_store import (
    AnswerLostError,
    ObjectStore,
    ObjectStoreError,
    StoredObject,
    StoreUnavailableError,
    WatchResult,
)

T = TypeVar("T")


class CircuitBreakerStore(ObjectStore):
    """Fails calls at once while the store is unavailable, except occasional probes.

    Parameters
    ----------
    store : ObjectStore
        Store that gets the calls.
    options : CircuitBreakerOptions or None
        Thresholds and delays of the circuit breaker.
    clock : callable
        Returns the monotonic time in seconds.
    rng : random.Random or None
        Source of the jitter, which keeps routers from probing at the same time.
    """

    def __init__(
        self,
        store: ObjectStore,
        options: CircuitBreakerOptions | None = None,
        *,
        clock: Callable[[], float],
        rng: random.Random | None = None,
    ) -> None:
        self._store = store
        self._breaker = CircuitBreaker(options, clock=clock, rng=rng or random.Random())

    @property
    def is_open(self) -> bool:
        """Whether the circuit is open: the store counts as unavailable."""
        return self._breaker.is_open

    def get(self, key: str, *, timeout_s: float = 2.0) -> StoredObject:
        """Return the object."""
        return self._call(lambda: self._store.get(key, timeout_s=timeout_s))

    def create(self, key: str, value: bytes, *, timeout_s: float = 2.0) -> int:
        """Write a new object and return its version."""
        return self._call(lambda: self._store.create(key, value, timeout_s=timeout_s))

    def update(
        self, key: str, value: bytes, *, if_version: int, timeout_s: float = 2.0
    ) -> int:
        """Replace the value if the object still has ``if_version``."""
        return self._call(
            lambda: self._store.update(
                key, value, if_version=if_version, timeout_s=timeout_s
            )
        )

    def delete(self, key: str, *, if_version: int, timeout_s: float = 2.0) -> None:
        """Delete the object if it still has ``if_version``."""
        self._call(
            lambda: self._store.delete(key, if_version=if_version, timeout_s=timeout_s)
        )

    def list(
        self,
        prefix: str,
        *,
        after_key: str = "",
        limit: int = 500,
        timeout_s: float = 2.0,
    ) -> Sequence[StoredObject]:
        """Return the objects under a prefix, sorted by key."""
        return self._call(
            lambda: self._store.list(
                prefix, after_key=after_key, limit=limit, timeout_s=timeout_s
            )
        )

    def watch(self, prefix: str, *, after_version: int, wait_s: float) -> WatchResult:
        """Wait until something under ``prefix`` is newer than ``after_version``."""
        return self._call(
            lambda: self._store.watch(
                prefix, after_version=after_version, wait_s=wait_s
            )
        )

    def _call(self, operation: Callable[[], T]) -> T:
        if not self._breaker.allow_call():
            raise StoreUnavailableError(
                "the circuit breaker is open; the call was not sent",
                step="store circuit",
                peer="object store",
            )
        try:
            result = operation()
        except (StoreUnavailableError, AnswerLostError):
            self._breaker.record_failure()
            raise
        except ObjectStoreError:
            self._breaker.record_success()
            raise
        self._breaker.record_success()
        return result
