"""Circuit breaker for calls to the object store."""

import random
import threading
from collections.abc import Callable

import attrs
from attrs.validators import ge, gt

from citrondock_core.backoff import backoff_s


@attrs.frozen(kw_only=True)
class CircuitBreakerOptions:
    """Thresholds and delays of a circuit breaker.

    Parameters
    ----------
    failure_count : int
        Consecutive failures that open the circuit.
    min_open_s, max_open_s : float
        Longest delay before the first probe, and before any probe.
    recovery_s : float
        Time after an outage during which the rate of calls is limited.
    recovery_calls_per_s : float
        Rate limit at the start of the recovery; it grows fourfold by its end.
    """

    failure_count: int = attrs.field(default=3, validator=ge(1))
    min_open_s: float = attrs.field(default=0.5, validator=gt(0))
    max_open_s: float = attrs.field(default=5.0, validator=gt(0))
    recovery_s: float = attrs.field(default=5.0, validator=ge(0))
    recovery_calls_per_s: float = attrs.field(default=10.0, validator=gt(0))


class CircuitBreaker:
    """Opens after consecutive failures, and then lets only single probe calls through.

    Parameters
    ----------
    options : CircuitBreakerOptions or None
        Thresholds and delays.
    clock : callable
        Returns the monotonic time in seconds.
    rng : random.Random
        Source of the jitter, which keeps routers from probing at the same time.
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
        """Whether the circuit is open: the store counts as unavailable."""
        return self._failure_count >= self._options.failure_count

    def allow_call(self) -> bool:
        """Return whether a call may be sent now."""
        with self._lock:
            now_s = self._clock()
            if not self.is_open:
                return self._allow_in_recovery(now_s)
            if now_s < self._probe_at_s:
                return False
            self._probe_at_s = now_s + self._open_duration_s()
            return True

    def record_success(self) -> None:
        """Record that the store answered; this closes the circuit."""
        with self._lock:
            if self.is_open:
                self._recovered_at_s = self._clock()
            self._failure_count = 0

    def record_failure(self) -> None:
        """Record that the store did not answer or was unavailable."""
        with self._lock:
            self._failure_count += 1
            if self.is_open:
                self._recovered_at_s = None
                self._probe_at_s = self._clock() + self._open_duration_s()

    def _open_duration_s(self) -> float:
        extra_failure_count = max(self._failure_count - self._options.failure_count, 0)
        return backoff_s(
            extra_failure_count,
            min_s=self._options.min_open_s,
            max_s=self._options.max_open_s,
            rng=self._rng,
        )

    def _allow_in_recovery(self, now_s: float) -> bool:
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
