"""Departures of targets that routers tell each other about."""

import attrs

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
    """

    target_id: str
    started_at_ms: int
    registry_revision: int | None
    age_s: float


@attrs.define
class _KnownDeparture:
    registry_revision: int | None
    known_at_s: float


class RecentDepartures:
    """Departures that became known lately, to repeat them to other routers."""

    def __init__(self) -> None:
        # By target, start of the incarnation, and whether the target itself said so.
        self._known: dict[tuple[str, int, bool], _KnownDeparture] = {}

    def record(self, departure: TargetDeparture, *, now_s: float) -> bool:
        """Record a departure; return whether it is news."""
        revision = departure.registry_revision
        key = (departure.target_id, departure.started_at_ms, revision is None)
        known = self._known.get(key)
        if known is not None and (known.registry_revision or 0) >= (revision or 0):
            return False
        self._known[key] = _KnownDeparture(revision, now_s - departure.age_s)
        return True

    def reports(self, *, now_s: float) -> list[TargetDeparture]:
        """Return the newest departures, and forget the old ones."""
        self._known = {
            key: known
            for key, known in self._known.items()
            if now_s - known.known_at_s <= REPORT_S
        }
        newest = sorted(self._known.items(), key=lambda item: -item[1].known_at_s)
        return [
            TargetDeparture(
                target_id=target_id,
                started_at_ms=started_at_ms,
                registry_revision=known.registry_revision,
                age_s=now_s - known.known_at_s,
            )
            for (target_id, started_at_ms, _), known in newest[:MAX_REPORTED]
        ]
