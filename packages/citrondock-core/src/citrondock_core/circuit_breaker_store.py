"""An object store whose outages cost no waiting."""

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
    """Refuses calls at once while the store is out, but for spread probes.

    Parameters
    ----------
    store : ObjectStore
        The store itself.
    options : CircuitBreakerOptions or None
        When calls are refused, and for how long.
    clock : callable
        Monotonic time in seconds.
    rng : random.Random or None
        Spreads the probes of the fleet.
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
        self._circuit = CircuitBreaker(options, clock=clock, rng=rng or random.Random())

    @property
    def is_open(self) -> bool:
        """Whether the store counts as unavailable."""
        return self._circuit.is_open

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
        """Return objects under a prefix, in the order of their keys."""
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
        if not self._circuit.admit():
            raise StoreUnavailableError(
                "the store failed just now, the call was not sent",
                step="store circuit",
                peer="object store",
            )
        try:
            result = operation()
        except (StoreUnavailableError, AnswerLostError):
            self._circuit.failed()
            raise
        except ObjectStoreError:
            self._circuit.succeeded()
            raise
        self._circuit.succeeded()
        return result
