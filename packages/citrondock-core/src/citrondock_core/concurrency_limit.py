"""How many requests a target runs at once without queueing them inside."""

SLOW_FIRST_TOKEN_FACTOR = 3.0
FIRST_TOKEN_SLACK_S = 0.1
DECREASE_FRACTION = 0.05
DECREASE_PAUSE_S = 0.5
BASELINE_GROWTH = 1.001
CEILING_VALID_S = 60.0
SLOW_GROWTH_FACTOR = 0.125


class ConcurrencyLimit:
    """Learned limit of one target, between 1 and ``max_count``.

    It starts at the bound, so that no target idles. It shrinks when first tokens are
    late, or when the target says that requests queue inside it, and grows again while
    all slots are in use and first tokens come as fast as they did at best.

    Parameters
    ----------
    max_count : int
        Upper bound given by the operators.
    """

    def __init__(self, max_count: int) -> None:
        self._max_count = max_count
        self._limit = float(max_count)
        self._best_first_token_s: float | None = None
        self._decrease_after_s = 0.0
        self._shrunk_at_s = 0.0
        self._ceiling = float("inf")
        self._ceiling_until_s = 0.0

    @property
    def count(self) -> int:
        """Requests that may be in flight."""
        return int(self._limit)

    def set_max_count(self, max_count: int) -> None:
        """Take a new upper bound."""
        self._max_count = max_count
        self._limit = min(self._limit, float(max_count))

    def observe_first_token(
        self, first_token_s: float, *, in_flight_count: int, now_s: float
    ) -> None:
        """Learn from the time between a start and its first token, in seconds.

        Requests that were started before the limit last shrank tell nothing of it.
        """
        best = self._best_first_token_s
        if best is None or first_token_s < best:
            best = first_token_s
        self._best_first_token_s = best * BASELINE_GROWTH
        late_s = SLOW_FIRST_TOKEN_FACTOR * best + FIRST_TOKEN_SLACK_S
        if first_token_s > late_s:
            if now_s - first_token_s >= self._shrunk_at_s:
                self._decrease(now_s)
        elif in_flight_count >= self.count:
            self._increase(now_s)

    def observe_load(
        self, *, running_count: int, queued_count: int, now_s: float
    ) -> None:
        """Learn from the target's own report of running and queued requests."""
        if queued_count > 0 and running_count > 0:
            if now_s >= self._decrease_after_s:
                self._shrink(min(self._limit, running_count + 0.5), now_s)
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
        self._shrink(max(1.0, self._limit - step), now_s)

    def _shrink(self, limit: float, now_s: float) -> None:
        """Take a smaller limit, and come back slowly to where it was too large."""
        self._shrunk_at_s = now_s
        self._decrease_after_s = now_s + DECREASE_PAUSE_S
        self._ceiling = float(int(limit)) + 1.0
        self._ceiling_until_s = now_s + CEILING_VALID_S
        self._limit = limit
