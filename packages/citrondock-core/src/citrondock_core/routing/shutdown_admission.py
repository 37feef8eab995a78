"""Decides which requests a router that is about to stop can still answer."""

from collections import deque

import attrs

from citrondock_core.routing.route import Route

SAMPLE_COUNT = 64
"""Most recent requests of a route that its usual duration is taken from."""

MARGIN_SHARE = 0.25
"""Time to spare, as a share of the longest recent duration."""


@attrs.define
class _Durations:
    total_s: deque[float] = attrs.field(factory=lambda: deque(maxlen=SAMPLE_COUNT))
    served_s: deque[float] = attrs.field(factory=lambda: deque(maxlen=SAMPLE_COUNT))


class ShutdownAdmission:
    """Compares the time that requests of a route need with the time that is left.

    It answers a planned stop under load: a request that was passed on and is cut at the
    end of the grace period may have run, so its client cannot repeat it.

    Attributes
    ----------
    stops_at_s : float or None
        When the last requests are given up; None while no stop is planned.
    """

    def __init__(self) -> None:
        self.stops_at_s: float | None = None
        self._durations: dict[str, _Durations] = {}

    def record_answered(self, route: Route, *, total_s: float, served_s: float) -> None:
        """Record an answered request: its time in all, and that at its target."""
        durations = self._durations.setdefault(route.name, _Durations())
        durations.total_s.append(total_s)
        durations.served_s.append(served_s)

    def may_accept(self, route: Route, *, now_s: float) -> bool:
        """Return whether a request that arrives now can be answered in time."""
        if self.stops_at_s is None:
            return True
        durations = self._durations.get(route.name)
        samples = durations.total_s if durations else ()
        if route.kind.may_run_again:
            # Its client may repeat or resume it elsewhere.
            needed_s = sorted(samples)[len(samples) // 2] if samples else 0.0
        else:
            needed_s = _longest_s(samples, route)
        return now_s + needed_s <= self.stops_at_s

    def may_send(self, route: Route, *, now_s: float) -> bool:
        """Return whether a request that waited may still be sent to a target."""
        if self.stops_at_s is None or route.kind.may_run_again:
            return True
        durations = self._durations.get(route.name)
        samples = durations.served_s if durations else ()
        return now_s + _longest_s(samples, route) <= self.stops_at_s

    def keep_only(self, route_names: set[str]) -> None:
        """Forget all routes but those named."""
        for name in set(self._durations) - route_names:
            del self._durations[name]


def _longest_s(samples: deque[float] | tuple[()], route: Route) -> float:
    """Return the longest duration with a margin; the route's timeout if unknown."""
    if not samples:
        return route.timeout_s
    return min(max(samples) * (1 + MARGIN_SHARE), route.timeout_s)
