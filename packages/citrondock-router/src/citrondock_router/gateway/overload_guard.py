"""Notices that the router is short of processor time."""

from collections.abc import Callable

from citrondock_router.log import log_event

SHED_LAG_S = 0.15
"""Requests that waited so long for the event loop are refused at once; clients give up
on a router that has not read their request for half a second to a second."""

CALM_S = 1.0
"""An overload has ended after so long without a late turn."""


class OverloadGuard:
    """Watches how late the event loop is.

    Parameters
    ----------
    clock : callable
        Monotonic time in seconds.
    period_s : float
        Period of the timer that calls `timer_fired`.
    shed_lag_s : float
        Lag from which on requests are refused.
    """

    def __init__(
        self,
        clock: Callable[[], float],
        *,
        period_s: float,
        shed_lag_s: float = SHED_LAG_S,
    ) -> None:
        self._clock = clock
        self._shed_lag_s = shed_lag_s
        self._period_s = period_s
        self._ran_at_s: float | None = None
        self._late_until_s = 0.0
        self._calm_at_s: float | None = None

    def must_shed(self) -> bool:
        """Return whether a request that is read now has waited for too long."""
        now_s = self._clock()
        return self._lag_s(now_s) > self._shed_lag_s or now_s < self._late_until_s

    def timer_fired(self) -> float:
        """Take a run of the timer, and return how late it was."""
        now_s = self._clock()
        lag_s = self._lag_s(now_s)
        self._ran_at_s = now_s
        if lag_s > self._shed_lag_s:
            # What came during a long turn of the loop is read in this one.
            self._late_until_s = now_s + self._shed_lag_s / 2
            if self._calm_at_s is None:
                log_event("overloaded", level="WARNING", lag_s=lag_s)
            self._calm_at_s = now_s + CALM_S
        elif self._calm_at_s is not None and now_s >= self._calm_at_s:
            self._calm_at_s = None
            log_event("overload_ended")
        return lag_s

    def _lag_s(self, now_s: float) -> float:
        if self._ran_at_s is None:
            return 0.0
        return max(now_s - self._ran_at_s - self._period_s, 0.0)
