"""Limits retries to a share of the requests, fleet-wide and without coordination."""

from collections import deque

import attrs
from attrs.validators import ge, gt


@attrs.frozen(kw_only=True)
class RetryRatioBudgetOptions:
    """Limits of retries.

    Parameters
    ----------
    ratio : float
        Retries allowed for each request.
    window_s : float
        Sliding window over which requests and retries are counted.
    spare_count : float
        Retries beyond the ratio that this router may use in each window; its part of
        the fleet's spare retries.
    """

    ratio: float = attrs.field(validator=ge(0))
    window_s: float = attrs.field(validator=gt(0))
    spare_count: float = attrs.field(validator=ge(0))


MIN_SHARING_ROUTERS = 16
"""Least number of routers that share the fleet's spare retries, as some routers may not
be known yet."""

SHARING_MARGIN = 1.25
"""Factor on the number of known routers, as the fleet may be growing."""


def spare_count_per_router(fleet_spare_count: float, known_router_count: int) -> float:
    """Return one router's part of the fleet's retries beyond the ratio."""
    sharing = max(MIN_SHARING_ROUTERS, SHARING_MARGIN * known_router_count)
    return fleet_spare_count / sharing


class RetryRatioBudget:
    """Retry budget of one service on one router.

    Each router keeps to the ratio for its own requests, so the fleet keeps to it too.
    """

    def __init__(self, options: RetryRatioBudgetOptions) -> None:
        self.options = options
        self._requests_at_s: deque[float] = deque()
        self._retries_at_s: deque[float] = deque()

    def count_request(self, *, now_s: float) -> None:
        """Count a request from a client, which adds to the budget."""
        self._requests_at_s.append(now_s)
        self._forget(now_s)

    def left(self, *, now_s: float) -> float:
        """Return how many retries are left now."""
        self._forget(now_s)
        allowed = self.options.ratio * len(self._requests_at_s)
        return allowed + self.options.spare_count - len(self._retries_at_s)

    def take(self, *, now_s: float) -> bool:
        """Spend one retry; return False if none is left."""
        if self.left(now_s=now_s) < 1:
            return False
        self._retries_at_s.append(now_s)
        return True

    def give_back(self) -> None:
        """Return the retry that was spent last, as nothing was sent for it."""
        if self._retries_at_s:
            self._retries_at_s.pop()

    def _forget(self, now_s: float) -> None:
        start_s = now_s - self.options.window_s
        for times_s in (self._requests_at_s, self._retries_at_s):
            while times_s and times_s[0] < start_s:
                times_s.popleft()
