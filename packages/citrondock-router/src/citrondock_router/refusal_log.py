"""Logs refusals at a limited rate."""

import threading
import time
from collections import Counter
from collections.abc import Callable

from citrondock_core.request import RefusalReason, RequestRefusedError
from citrondock_router.log import log_event

_PERIOD_S = 1.0


class RefusalLog:
    """Logs the first refusals of each reason in a second, and counts the others.

    Parameters
    ----------
    max_lines_per_s : int
        Maximum number of lines for each reason.
    clock : callable
        Returns monotonic seconds.
    """

    def __init__(
        self,
        *,
        max_lines_per_s: int = 20,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._max_lines = max_lines_per_s
        self._clock = clock
        self._counts: Counter[RefusalReason] = Counter()
        self._ends_at_s = clock() + _PERIOD_S
        self._lock = threading.Lock()

    def write(
        self, error: RequestRefusedError, *, request_id: str, caller: str | None
    ) -> None:
        """Log a refusal, or count it for a later summary line."""
        with self._lock:
            ended = self._end_period()
            self._counts[error.cause] += 1
            is_logged = self._counts[error.cause] <= self._max_lines
        for cause, count in ended.items():
            if count > self._max_lines:
                unlogged = count - self._max_lines
                log_event("refusals_unlogged", cause=cause.value, count=unlogged)
        if is_logged:
            log_event(
                "request_refused",
                request_id=request_id,
                cause=error.cause.value,
                step=error.step,
                ran=error.ran.value,
                caller=caller,
                detail=error.reason,
            )

    def _end_period(self) -> Counter[RefusalReason]:
        now_s = self._clock()
        if now_s < self._ends_at_s:
            return Counter()
        ended, self._counts = self._counts, Counter()
        self._ends_at_s = now_s + _PERIOD_S
        return ended
