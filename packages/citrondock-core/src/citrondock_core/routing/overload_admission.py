"""Decides which requests a router takes while it is short of processor time."""

import math

RATE_TIME_S = 1.0
"""Time constant of the averages by which rates of requests are measured."""

SENT_SHARE = 0.7
"""Share of the requests taken that is sent while the router can take more."""

GROWTH_FACTOR = 2.0
"""Rate of requests taken, as a multiple of those sent, while `SENT_SHARE` is sent."""

PROBE_FACTOR = 1.2
"""The same factor otherwise. It is above 1, so that a router that can serve more finds
out."""

RELIEF_FACTOR = 0.8
"""The same factor while the event loop is later than `MAX_LAG_S`."""

MAX_LAG_S = 0.2
"""Event loop lag up to which the rate is not cut: clients that leave have to be noticed
within half a second, and the loop notices them once an iteration."""

MIN_RATE_PER_S = 10.0
"""Rate of requests that an overloaded router takes in any case."""

MAX_BURST_S = 1.0
"""Time for which an unused rate accumulates: a late event loop reads in bursts."""

REFRESH_S = 0.1
"""Period in which old requests are weighted down."""

FORGOTTEN_COUNT = 0.05
"""Average count below which an account is forgotten."""


class OverloadAdmission:
    """Admits requests at the rate at which the router sends requests to targets.

    A router that refuses all it reads while it is late serves far fewer requests than
    it could, as refusals take most of its time. Accounts that were admitted less often
    than the others may overdraw the rate, so that an account that asks for more than
    the router can carry does not take the place of the others.
    """

    def __init__(self) -> None:
        self._sent_count = 0.0
        self._admitted_by_account: dict[str, float] = {}
        self._admitted_count = 0.0
        self._mean_admitted = 0.0
        self._refreshed_at_s = -math.inf
        self._is_far_behind = False
        self._credit = 0.0
        self._credited_at_s = 0.0

    def begin(self, *, now_s: float) -> None:
        """Begin an overload."""
        self._credit = 0.0
        self._credited_at_s = now_s

    def observe_lag(self, lag_s: float) -> None:
        """Adapt the rate to how late the event loop is."""
        self._is_far_behind = lag_s > MAX_LAG_S

    def record_sent(self, *, now_s: float) -> None:
        """Record that a request was sent to a target."""
        self._refresh(now_s)
        self._sent_count += 1

    def record_admitted(self, account: str, *, now_s: float) -> None:
        """Record a request of an account that is taken."""
        self._refresh(now_s)
        admitted = self._admitted_by_account
        admitted[account] = admitted.get(account, 0.0) + 1
        self._admitted_count += 1

    def admit(self, account: str, *, now_s: float) -> bool:
        """Return whether to take a request of an account during an overload."""
        self._refresh(now_s)
        sent_per_s = self._sent_count / RATE_TIME_S
        rate_per_s = max(self._factor * sent_per_s, MIN_RATE_PER_S)
        burst = rate_per_s * MAX_BURST_S
        gained = rate_per_s * max(now_s - self._credited_at_s, 0.0)
        self._credit = min(self._credit + gained, burst)
        self._credited_at_s = now_s
        has_less = self._admitted_by_account.get(account, 0.0) < self._mean_admitted
        if self._credit < (1.0 - burst if has_less else 1.0):
            return False
        self._credit -= 1
        self.record_admitted(account, now_s=now_s)
        return True

    @property
    def _factor(self) -> float:
        if self._is_far_behind:
            return RELIEF_FACTOR
        is_sent = self._sent_count >= SENT_SHARE * self._admitted_count
        return GROWTH_FACTOR if is_sent else PROBE_FACTOR

    def _refresh(self, now_s: float) -> None:
        """Weight down what was counted earlier."""
        age_s = now_s - self._refreshed_at_s
        if age_s < REFRESH_S:
            return
        self._refreshed_at_s = now_s
        weight = math.exp(-age_s / RATE_TIME_S)
        self._sent_count *= weight
        self._admitted_by_account = {
            account: count * weight
            for account, count in self._admitted_by_account.items()
            if count * weight > FORGOTTEN_COUNT
        }
        admitted = self._admitted_by_account
        self._admitted_count = sum(admitted.values())
        self._mean_admitted = self._admitted_count / max(len(admitted), 1)
