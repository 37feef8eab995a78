"""Retries that are spread in time and limited in number."""

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
    """Limits of retries.

    Parameters
    ----------
    min_backoff_s, max_backoff_s : float
        Longest wait before the first retry, and before any.
    rate_per_s : float
        Retries that are earned with time.
    burst_count : int
        Most retries that can be saved up.
    """

    min_backoff_s: float = attrs.field(default=0.1, validator=gt(0))
    max_backoff_s: float = attrs.field(default=5.0, validator=gt(0))
    rate_per_s: float = attrs.field(default=1.0, validator=gt(0))
    burst_count: int = attrs.field(default=10, validator=ge(1))


class RetryBudget:
    """Retries left to one router, whatever they are for.

    Parameters
    ----------
    options : RetryOptions or None
        Limits.
    clock : callable
        Monotonic time in seconds.
    """

    def __init__(
        self, options: RetryOptions | None = None, *, clock: Callable[[], float]
    ) -> None:
        self.options = options or RetryOptions()
        self._clock = clock
        self._saved = float(self.options.burst_count)
        self._counted_at_s = clock()
        self._lock = threading.Lock()

    def take(self) -> bool:
        """Spend one retry, or return False when none is left."""
        with self._lock:
            now_s = self._clock()
            earned = (now_s - self._counted_at_s) * self.options.rate_per_s
            self._counted_at_s = now_s
            self._saved = min(self._saved + earned, self.options.burst_count)
            if self._saved < 1:
                return False
            self._saved -= 1
            return True

    def call(
        self,
        operation: Callable[[], T],
        *,
        timeout_s: float,
        rng: random.Random | None = None,
        sleep: Callable[[float], None] = tenacity.nap.sleep,
    ) -> T:
        """Return what an operation returns, repeating it while the store is out.

        Only `StoreUnavailableError` is repeated, as such a call took no effect.

        Parameters
        ----------
        operation : callable
            What to do.
        timeout_s : float
            Time after which no retry is begun.
        rng : random.Random or None
            Spreads the waits.
        sleep : callable
            Waits for a number of seconds.
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
