"""Departures of targets that routers tell each other about."""

import attrs

from citrondock_core.routing.store_position import StorePosition

REPORT_S = 10.0
"""Time for which other routers are told of a departure."""

MAX_REPORTED = 32
"""Most departures in one report; the newest ones."""


@attrs.frozen(kw_only=True)
class TargetDeparture:
    """Statement that one incarnation of a target is leaving or gone.

    Parameters
    ----------
    target_id : str
        Id of the target.
    started_at_ms : int
        Start of the incarnation in Unix milliseconds; 0 if unknown.
    registry_revision : int or None
        Revision of the registry that shows it; None if the target itself said so.
    age_s : float
        Time since this became known.
    registry_era : int or None
        Era of that revision; None if it is not stated.
    """

    target_id: str
    started_at_ms: int
    registry_revision: int | None
    age_s: float
    registry_era: int | None = None

    def position_in(self, era: int) -> StorePosition | None:
        """Return the registry's position; an era that is not stated is ``era``."""
        if self.registry_revision is None:
            return None
        stated = era if self.registry_era is None else self.registry_era
        return StorePosition(stated, self.registry_revision)


@attrs.define
class _KnownDeparture:
    departure: TargetDeparture
    known_at_s: float


class RecentDepartures:
    """Departures that became known lately, to repeat them to other routers."""

    def __init__(self) -> None:
        # By target, start of the incarnation, and whether the target itself said so.
        self._known: dict[tuple[str, int, bool], _KnownDeparture] = {}

    def record(self, departure: TargetDeparture, *, now_s: float) -> bool:
        """Record a departure; return whether it is news."""
        is_own_word = departure.registry_revision is None
        key = (departure.target_id, departure.started_at_ms, is_own_word)
        known = self._known.get(key)
        if known is not None and _order(known.departure) >= _order(departure):
            return False
        self._known[key] = _KnownDeparture(departure, now_s - departure.age_s)
        return True

    def reports(self, *, now_s: float) -> list[TargetDeparture]:
        """Return the newest departures, and forget the old ones."""
        self._known = {
            key: known
            for key, known in self._known.items()
            if now_s - known.known_at_s <= REPORT_S
        }
        newest = sorted(self._known.values(), key=lambda known: -known.known_at_s)
        return [
            attrs.evolve(known.departure, age_s=now_s - known.known_at_s)
            for known in newest[:MAX_REPORTED]
        ]


def _order(departure: TargetDeparture) -> StorePosition:
    return departure.position_in(0) or StorePosition()
