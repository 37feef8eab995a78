"""Retries with backoff and a token bucket, to limit the load on the store."""

import random
import threading
from collections.abc import Callable
from typing import TypeVar

import attrs
import tenacity
from attrs.validators import ge, gt

from citrondock_core.object_store import StoreUnavailableError

T = TypeVar("T")


@attrs.frozen(kw_only=True)
class RetryOptions:
    """Backoff and rate limit of retries.

    Parameters
    ----------
    min_backoff_s, max_backoff_s : float
        Upper bounds of the random wait before the first retry, and before any retry.
    rate_per_s : float
        Retries per second in the long run.
    burst_count : int
        Retries allowed in a burst.
    """

    min_backoff_s: float = attrs.field(default=0.1, validator=gt(0))
    max_backoff_s: float = attrs.field(default=5.0, validator=gt(0))
    rate_per_s: float = attrs.field(default=1.0, validator=gt(0))
    burst_count: int = attrs.field(default=10, validator=ge(1))


class RetryBudget:
    """Token bucket for the retries of one router, shared by all operations.

    Parameters
    ----------
    options : RetryOptions or None
        Backoff and rate limit.
    clock : callable
        Returns the monotonic time in seconds.
    """

    def __init__(
        self, options: RetryOptions | None = None, *, clock: Callable[[], float]
    ) -> None:
        self.options = options or RetryOptions()
        self._clock = clock
        self._available = float(self.options.burst_count)
        self._refilled_at_s = clock()
        self._lock = threading.Lock()

    def take(self) -> bool:
        """Take one retry from the budget; return whether one was available."""
        with self._lock:
            now_s = self._clock()
            refilled = (now_s - self._refilled_at_s) * self.options.rate_per_s
            self._refilled_at_s = now_s
            self._available = min(self._available + refilled, self.options.burst_count)
            if self._available < 1:
                return False
            self._available -= 1
            return True

    def call(
        self,
        operation: Callable[[], T],
        *,
        timeout_s: float,
        rng: random.Random | None = None,
        sleep: Callable[[float], None] = tenacity.nap.sleep,
    ) -> T:
        """Call an operation, with retries while the store is unavailable.

        Only `StoreUnavailableError` is retried, because such a call had no effect.

        Parameters
        ----------
        operation : callable
            Operation to call; its result is returned.
        timeout_s : float
            Time after which no retry is started.
        rng : random.Random or None
            Source of randomness for the backoff.
        sleep : callable
            Function that waits for a number of seconds.
        """
        rng = rng or random.Random()

        def wait_s(state: tenacity.RetryCallState) -> float:
            longest_s = self.options.min_backoff_s * 2.0 ** min(
                state.attempt_number - 1, 20
            )
            return rng.uniform(0, min(longest_s, self.options.max_backoff_s))

        deadline_s = self._clock() + timeout_s
        retrying = tenacity.Retrying(
            retry=tenacity.retry_if_exception_type(StoreUnavailableError),
            stop=lambda _state: self._clock() >= deadline_s or not self.take(),
            wait=wait_s,
            sleep=sleep,
            reraise=True,
        )
        return retrying(operation)
