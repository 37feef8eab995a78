"""Detects that the router is short of processor time, and limits what it takes."""

from collections.abc import Callable

from citrondock_core.routing.overload_admission import OverloadAdmission
from citrondock_router.log import log_event

SHED_LAG_S = 0.15
"""If requests waited longer than this for the event loop, those beyond what the router
can serve are refused at once; clients give up on a router that has not read their
request within 0.5 to 1 s."""

BUSY_LAG_S = 0.05
"""Lag from which on a router has no processor time to spare."""

RECOVERY_S = 1.0
"""An overload has ended when the event loop was never late for this long."""

SUSTAINED_S = 1.0
"""An overload that lasts longer than this is sustained."""


class OverloadGuard:
    """Measures how late the event loop runs a timer, and decides whether to shed load.

    Parameters
    ----------
    clock : callable
        Monotonic time in seconds.
    period_s : float
        Period of the timer that calls `timer_fired`.
    shed_lag_s : float
        Event loop lag above which requests are refused.

    Attributes
    ----------
    is_sustained : bool
        Whether an overload has lasted so long that clients should go elsewhere.
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
        self._fired_at_s: float | None = None
        self._shed_until_s = 0.0
        self._recovered_at_s: float | None = None
        self._sustained_at_s = 0.0
        self._busy_until_s = 0.0
        self._admission = OverloadAdmission()
        self.is_sustained = False

    @property
    def is_overloaded(self) -> bool:
        """Whether requests had to be shed within the last `RECOVERY_S`."""
        return self._recovered_at_s is not None

    @property
    def is_busy(self) -> bool:
        """Whether the lag was above `BUSY_LAG_S` within the last `RECOVERY_S`."""
        return self._clock() < self._busy_until_s

    def must_shed(self) -> bool:
        """Return whether what is read now waited too long for the loop."""
        now_s = self._clock()
        return self._lag_s(now_s) > self._shed_lag_s or now_s < self._shed_until_s

    def may_admit(self, account: str) -> bool:
        """Return whether to take a request of an account that is read now.

        An overloaded router takes no more than it can serve, see `OverloadAdmission`.
        """
        now_s = self._clock()
        if self.is_overloaded or self.must_shed():
            return self._admission.admit(account, now_s=now_s)
        self._admission.record_admitted(account, now_s=now_s)
        return True

    def record_sent(self) -> None:
        """Record that a request was sent to a target."""
        self._admission.record_sent(now_s=self._clock())

    def timer_fired(self) -> float:
        """Record a run of the timer and return its lag in seconds."""
        now_s = self._clock()
        lag_s = self._lag_s(now_s)
        self._fired_at_s = now_s
        self._admission.observe_lag(lag_s)
        if lag_s > BUSY_LAG_S:
            self._busy_until_s = now_s + RECOVERY_S
        if lag_s > self._shed_lag_s:
            # Requests that came during the long loop iteration are read in this one.
            self._shed_until_s = now_s + self._shed_lag_s / 2
            if self._recovered_at_s is None:
                self._admission.begin(now_s=now_s)
                log_event("overloaded", level="WARNING", lag_s=lag_s)
                self._sustained_at_s = now_s + SUSTAINED_S
            elif now_s >= self._sustained_at_s and not self.is_sustained:
                self.is_sustained = True
                log_event("overload_sustained", level="WARNING", lag_s=lag_s)
            self._recovered_at_s = now_s + RECOVERY_S
        elif self._recovered_at_s is not None and now_s >= self._recovered_at_s:
            self._recovered_at_s = None
            self.is_sustained = False
            log_event("overload_ended")
        return lag_s

    def _lag_s(self, now_s: float) -> float:
        if self._fired_at_s is None:
            return 0.0
        return max(now_s - self._fired_at_s - self._period_s, 0.0)
