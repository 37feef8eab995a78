"""Adaptive limit of the requests that a target runs at the same time."""

SLOW_FIRST_TOKEN_FACTOR = 3.0
FIRST_TOKEN_SLACK_S = 0.1
"""A first token is late after the best time times the factor, plus the slack."""

DECREASE_FRACTION = 0.05
"""Part of the limit by which one late first token lowers it."""

DECREASE_PAUSE_S = 0.5
"""Shortest time between two decreases."""

BASELINE_GROWTH = 1.001
"""Growth of the best first-token time per observation, so that it can rise again."""

CEILING_VALID_S = 60.0
"""How long growth stays slow above a limit that was just lowered."""

SLOW_GROWTH_FACTOR = 0.125
"""Factor that slows growth during that time."""


class ConcurrencyLimit:
    """Adapts the concurrency of one target, between 1 and ``max_count``.

    It starts at the upper bound, so that no target idles. It is lowered when first
    tokens are late or when the target reports requests in its own queue. It grows
    again while all slots are in use and first tokens are on time.

    Parameters
    ----------
    max_count : int
        Upper bound from the configuration.
    """

    def __init__(self, max_count: int) -> None:
        self._max_count = max_count
        self._limit = float(max_count)
        self._best_first_token_s: float | None = None
        self._decrease_after_s = 0.0
        self._lowered_at_s = 0.0
        self._ceiling = float("inf")
        self._ceiling_until_s = 0.0

    @property
    def count(self) -> int:
        """Requests that may be in flight."""
        return int(self._limit)

    def set_max_count(self, max_count: int) -> None:
        """Set a new upper bound."""
        self._max_count = max_count
        self._limit = min(self._limit, float(max_count))

    def observe_first_token(
        self, first_token_s: float, *, in_flight_count: int, now_s: float
    ) -> None:
        """Adjust the limit to the time between a start and its first token.

        A late first token of a request that was started before the last decrease is
        ignored, as it says nothing about the lowered limit.

        Parameters
        ----------
        first_token_s : float
            Time from the start of a request to its first token.
        in_flight_count : int
            Requests in flight at the target.
        now_s : float
            Current monotonic time.
        """
        best = self._best_first_token_s
        if best is None or first_token_s < best:
            best = first_token_s
        self._best_first_token_s = best * BASELINE_GROWTH
        late_s = SLOW_FIRST_TOKEN_FACTOR * best + FIRST_TOKEN_SLACK_S
        if first_token_s > late_s:
            if now_s - first_token_s >= self._lowered_at_s:
                self._decrease(now_s)
        elif in_flight_count >= self.count:
            self._increase(now_s)

    def observe_load(
        self, *, running_count: int, queued_count: int, now_s: float
    ) -> None:
        """Adjust the limit to the target's report of running and queued requests."""
        if queued_count > 0 and running_count > 0:
            if now_s >= self._decrease_after_s:
                self._lower_to(min(self._limit, running_count + 0.5), now_s)
        elif running_count >= self.count:
            self._increase(now_s)

    def _increase(self, now_s: float) -> None:
        step = 1.0 / self._limit
        if self._limit + step >= self._ceiling and now_s < self._ceiling_until_s:
            step *= SLOW_GROWTH_FACTOR
        self._limit = min(self._limit + step, float(self._max_count))

    def _decrease(self, now_s: float) -> None:
        if now_s < self._decrease_after_s:
            return
        step = max(1.0, self._limit * DECREASE_FRACTION)
        self._lower_to(max(1.0, self._limit - step), now_s)

    def _lower_to(self, limit: float, now_s: float) -> None:
        """Set a lower limit; growth above it is slow for `CEILING_VALID_S`."""
        self._lowered_at_s = now_s
        self._decrease_after_s = now_s + DECREASE_PAUSE_S
        self._ceiling = float(int(limit)) + 1.0
        self._ceiling_until_s = now_s + CEILING_VALID_S
        self._limit = limit
