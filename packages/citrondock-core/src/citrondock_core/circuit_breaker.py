"""Whether calls to an unavailable store are worth their wait."""

import random
import threading
from collections.abc import Callable

import attrs
from attrs.validators import ge, gt

from citrondock_core.backoff import backoff_s


@attrs.frozen(kw_only=True)
class CircuitBreakerOptions:
    """When a circuit opens, and for how long.

    Parameters
    ----------
    failure_count : int
        Failures in a row that open it.
    min_open_s, max_open_s : float
        Longest wait before the first probe, and before any.
    recovery_s : float
        Time after an outage in which calls are let through bit by bit.
    recovery_calls_per_s : float
        Calls let through at the start of the recovery; grows fourfold by its end.
    """

    failure_count: int = attrs.field(default=3, validator=ge(1))
    min_open_s: float = attrs.field(default=0.5, validator=gt(0))
    max_open_s: float = attrs.field(default=5.0, validator=gt(0))
    recovery_s: float = attrs.field(default=5.0, validator=ge(0))
    recovery_calls_per_s: float = attrs.field(default=10.0, validator=gt(0))


class CircuitBreaker:
    """Opens after failures in a row, and lets single probes through from then on.

    Parameters
    ----------
    options : CircuitBreakerOptions or None
        When it opens, and for how long.
    clock : callable
        Monotonic time in seconds.
    rng : random.Random
        Spreads the probes of the fleet.
    """

    def __init__(
        self,
        options: CircuitBreakerOptions | None = None,
        *,
        clock: Callable[[], float],
        rng: random.Random,
    ) -> None:
        self._options = options or CircuitBreakerOptions()
        self._clock = clock
        self._rng = rng
        self._lock = threading.Lock()
        self._failure_count = 0
        self._probe_at_s = 0.0
        self._recovered_at_s: float | None = None
        self._next_call_s = 0.0

    @property
    def is_open(self) -> bool:
        """Whether the store counts as unavailable."""
        return self._failure_count >= self._options.failure_count

    def admit(self) -> bool:
        """Return whether a call may go out now."""
        with self._lock:
            now_s = self._clock()
            if not self.is_open:
                return self._admit_in_recovery(now_s)
            if now_s < self._probe_at_s:
                return False
            self._probe_at_s = now_s + self._open_s()
            return True

    def succeeded(self) -> None:
        """Note that the store answered."""
        with self._lock:
            if self.is_open:
                self._recovered_at_s = self._clock()
            self._failure_count = 0

    def failed(self) -> None:
        """Note that the store did not answer or refused for its own reasons."""
        with self._lock:
            self._failure_count += 1
            if self.is_open:
                self._recovered_at_s = None
                self._probe_at_s = self._clock() + self._open_s()

    def _open_s(self) -> float:
        beyond = max(self._failure_count - self._options.failure_count, 0)
        return backoff_s(
            beyond,
            min_s=self._options.min_open_s,
            max_s=self._options.max_open_s,
            rng=self._rng,
        )

    def _admit_in_recovery(self, now_s: float) -> bool:
        if self._recovered_at_s is None:
            return True
        passed_s = now_s - self._recovered_at_s
        if passed_s >= self._options.recovery_s:
            self._recovered_at_s = None
            return True
        if now_s < self._next_call_s:
            return False
        growth = 1 + 3 * passed_s / self._options.recovery_s
        self._next_call_s = now_s + 1 / (self._options.recovery_calls_per_s * growth)
        return True
