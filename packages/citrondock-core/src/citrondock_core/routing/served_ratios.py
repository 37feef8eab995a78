"""Recent ratio of served to arrived requests, by kind of request."""

import math

import attrs


@attrs.define
class _Count:
    arrived: float = 0.0
    served: float = 0.0
    at_s: float = 0.0


class ServedRatios:
    """Exponentially decaying counts of arrived and served requests by kind.

    Parameters
    ----------
    half_life_s : float
        Time in which a count decays to half of its size.
    """

    def __init__(self, *, half_life_s: float) -> None:
        self._decay_per_s = math.log(2) / half_life_s
        self._counts: dict[str, _Count] = {}

    def record_request(self, kind: str, *, now_s: float) -> None:
        """Count a request that arrived."""
        self._count(kind, now_s).arrived += 1

    def record_served(self, kind: str, *, now_s: float) -> None:
        """Count a request that was sent to a target."""
        self._count(kind, now_s).served += 1

    def ratio(self, kind: str) -> float:
        """Return the served ratio of a kind; 1 if no request of it was counted."""
        count = self._counts.get(kind)
        if count is None or count.arrived <= 0:
            return 1.0
        return count.served / count.arrived

    def _count(self, kind: str, now_s: float) -> _Count:
        count = self._counts.setdefault(kind, _Count(at_s=now_s))
        factor = math.exp((count.at_s - now_s) * self._decay_per_s)
        count.arrived *= factor
        count.served *= factor
        count.at_s = now_s
        return count
