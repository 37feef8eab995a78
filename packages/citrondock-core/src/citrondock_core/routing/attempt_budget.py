"""Limits how often requests are sent again, fleet-wide and without talk."""

from collections import deque

import attrs
from attrs.validators import ge, gt


@attrs.frozen(kw_only=True)
class AttemptBudgetOptions:
    """Limits of repeated sends.

    Parameters
    ----------
    ratio : float
        Repeats for each request.
    window_s : float
        Time over which both are counted.
    spare_count : float
        Repeats beyond the ratio that this router may use in each window; its part of
        what the whole fleet may use.
    """

    ratio: float = attrs.field(validator=ge(0))
    window_s: float = attrs.field(validator=gt(0))
    spare_count: float = attrs.field(validator=ge(0))


MIN_SHARING_ROUTERS = 16
"""Routers that the fleet's spare repeats are divided by at least, as some may not be
known yet."""

SHARING_MARGIN = 1.25
"""The same for a fleet whose routers are known, as it may be growing."""


def spare_count_per_router(fleet_spare_count: float, known_router_count: int) -> float:
    """Return this router's part of the fleet's repeats beyond the ratio."""
    sharing = max(MIN_SHARING_ROUTERS, SHARING_MARGIN * known_router_count)
    return fleet_spare_count / sharing


class AttemptBudget:
    """Repeats of requests for one service on one router.

    Each router keeps the ratio for its own requests, so that the fleet keeps it too.
    """

    def __init__(self, options: AttemptBudgetOptions) -> None:
        self.options = options
        self._requests_at_s: deque[float] = deque()
        self._repeats_at_s: deque[float] = deque()

    def count_request(self, *, now_s: float) -> None:
        """Count a request that a client sent."""
        self._requests_at_s.append(now_s)
        self._forget(now_s)

    def left(self, *, now_s: float) -> float:
        """Return how many repeats are left now."""
        self._forget(now_s)
        allowed = self.options.ratio * len(self._requests_at_s)
        return allowed + self.options.spare_count - len(self._repeats_at_s)

    def take(self, *, now_s: float) -> bool:
        """Spend one repeat, or return False when none is left."""
        if self.left(now_s=now_s) < 1:
            return False
        self._repeats_at_s.append(now_s)
        return True

    def _forget(self, now_s: float) -> None:
        start_s = now_s - self.options.window_s
        for times_s in (self._requests_at_s, self._repeats_at_s):
            while times_s and times_s[0] < start_s:
                times_s.popleft()
