"""Token bucket for the requests that a target takes."""

MIN_REQUESTS_PER_S = 0.25
"""Least rate: the end of a limit shows only in the response to a request."""

BURST_S = 0.25
"""Time whose requests may be sent at once after a pause; at least one request."""


class RequestLimiter:
    """Lets requests pass at a rate that may change.

    Parameters
    ----------
    requests_per_s : float
        Rate.
    now_s : float
        Monotonic time.
    """

    def __init__(self, requests_per_s: float, *, now_s: float) -> None:
        self._rate_per_s = max(requests_per_s, MIN_REQUESTS_PER_S)
        self._tokens = 1.0
        self._filled_at_s = now_s

    def set_rate(self, requests_per_s: float, *, now_s: float) -> None:
        """Change the rate from now on."""
        self._fill(now_s)
        self._rate_per_s = max(requests_per_s, MIN_REQUESTS_PER_S)

    def has_room(self, *, now_s: float) -> bool:
        """Return whether a request may pass now."""
        self._fill(now_s)
        return self._tokens >= 1.0

    def take(self, *, now_s: float) -> None:
        """Count a request that passes now."""
        self._fill(now_s)
        self._tokens -= 1.0

    def give_back(self) -> None:
        """Undo the count of a request that was not sent."""
        self._tokens += 1.0

    def wait_s(self, ahead_count: int, *, now_s: float) -> float:
        """Return when a request may pass that has some ahead of it, from now."""
        self._fill(now_s)
        return max((ahead_count + 1 - self._tokens) / self._rate_per_s, 0.0)

    def _fill(self, now_s: float) -> None:
        burst = max(self._rate_per_s * BURST_S, 1.0)
        filled = self._tokens + (now_s - self._filled_at_s) * self._rate_per_s
        self._tokens = min(filled, burst)
        self._filled_at_s = now_s
