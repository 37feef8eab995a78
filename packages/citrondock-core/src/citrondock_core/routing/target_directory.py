"""Directory of the targets that requests may be sent to."""

from collections.abc import Iterable

import attrs

from citrondock_core.routing.target_departure import TargetDeparture
from citrondock_core.routing.target_entry import TargetEntry

_MASS_EXPIRY_SHARE = 0.5
"""If more than this share of a service's targets go missing together, their entries are
taken to have expired in the registry while the targets live."""


MAX_DEPARTED = 4096
"""Most departures that are remembered; the oldest targets have ended long ago."""


@attrs.frozen(kw_only=True)
class DirectoryChange:
    """Entries that an update added, changed or removed."""

    added: tuple[TargetEntry, ...] = ()
    changed: tuple[TargetEntry, ...] = ()
    removed: tuple[TargetEntry, ...] = ()


class TargetDirectory:
    """Targets by id, kept through outages of the registry.

    Entries may expire during an outage of the registry although their targets live. An
    entry that is missing afterwards is kept for ``grace_s`` from the registry's
    recovery. The same time is given to targets of a service of which most go missing
    at once.

    A target may also leave by its own word, or by that of another router whose registry
    is ahead; the registry's older entries do not bring it back.

    Parameters
    ----------
    grace_s : float
        Time in which live targets register again after the registry's recovery.
    """

    def __init__(self, *, grace_s: float) -> None:
        self._grace_s = grace_s
        self._entries: dict[str, TargetEntry] = {}
        self._missing_until_s: dict[str, float] = {}
        self._trusted_from_s = 0.0
        # The departed entry, and the registry revision that shows its departure; None
        # if the target itself said so.
        self._departed: dict[str, tuple[TargetEntry, int | None]] = {}
        self.revision = 0

    def __len__(self) -> int:
        return len(self._entries)

    def get(self, target_id: str) -> TargetEntry | None:
        """Return the entry of a target, or None."""
        return self._entries.get(target_id)

    def usable(self, service: str | None = None) -> list[TargetEntry]:
        """Return the targets that take new requests, of one service or of all."""
        return [
            entry
            for entry in self._entries.values()
            if service in (None, entry.service) and not entry.is_leaving
        ]

    def registry_recovered(self, *, now_s: float) -> None:
        """Start the grace period, as an outage of the registry has ended."""
        self._trusted_from_s = now_s + self._grace_s

    def replace(
        self, entries: Iterable[TargetEntry], *, revision: int, now_s: float
    ) -> DirectoryChange:
        """Replace all entries by a full listing of the registry."""
        listed = {entry.target_id: entry for entry in entries}
        change = self._put(listed.values(), revision)
        missing = [entry for key, entry in self._entries.items() if key not in listed]
        removed = self._remove_missing(missing, now_s=now_s)
        self.revision = revision
        return attrs.evolve(change, removed=removed)

    def apply(
        self,
        *,
        put: Iterable[TargetEntry],
        deleted: Iterable[str],
        revision: int,
        now_s: float,
    ) -> DirectoryChange:
        """Apply changes from a watch of the registry."""
        change = self._put(put, revision)
        missing = [self._entries[key] for key in deleted if key in self._entries]
        removed = self._remove_missing(missing, now_s=now_s)
        self.revision = max(self.revision, revision)
        return attrs.evolve(change, removed=removed)

    def depart(self, departure: TargetDeparture) -> DirectoryChange:
        """Mark a target as leaving, unless the registry is known to say otherwise."""
        target_id, revision = departure.target_id, departure.registry_revision
        entry = self._entries.get(target_id)
        if entry is None or entry.started_at_ms != departure.started_at_ms:
            return DirectoryChange()
        is_missing = target_id in self._missing_until_s
        if revision is not None and revision <= self.revision and not is_missing:
            return DirectoryChange()
        known, known_revision = self._departed.get(target_id, (entry, 0))
        if known_revision is None and not entry.is_other_incarnation_of(known):
            # The registry of another router does not overrule the target's own word.
            revision = None
        self._departed[target_id] = (entry, revision)
        if len(self._departed) > MAX_DEPARTED:
            del self._departed[next(iter(self._departed))]
        if entry.is_leaving:
            return DirectoryChange()
        leaving = attrs.evolve(entry, is_leaving=True)
        self._entries[target_id] = leaving
        return DirectoryChange(changed=(leaving,))

    def expire(self, *, now_s: float) -> DirectoryChange:
        """Remove missing entries whose grace period has passed."""
        due = [
            key for key, until_s in self._missing_until_s.items() if until_s <= now_s
        ]
        removed = []
        for key in due:
            del self._missing_until_s[key]
            removed.append(self._entries.pop(key))
        return DirectoryChange(removed=tuple(removed))

    def _put(self, entries: Iterable[TargetEntry], revision: int) -> DirectoryChange:
        added, changed = [], []
        for registered in entries:
            entry = self._with_departure(registered, revision)
            self._missing_until_s.pop(entry.target_id, None)
            known = self._entries.get(entry.target_id)
            self._entries[entry.target_id] = entry
            if known is None:
                added.append(entry)
            elif known != entry:
                changed.append(entry)
        return DirectoryChange(added=tuple(added), changed=tuple(changed))

    def _with_departure(self, entry: TargetEntry, revision: int) -> TargetEntry:
        """Return an entry of the registry, marked as leaving if its target departed."""
        departed = self._departed.get(entry.target_id)
        if departed is None:
            return entry
        departed_entry, departed_revision = departed
        is_overruled = departed_revision is not None and departed_revision < revision
        if (
            entry.is_leaving
            or is_overruled
            or entry.is_other_incarnation_of(departed_entry)
        ):
            del self._departed[entry.target_id]
            return entry
        return attrs.evolve(entry, is_leaving=True)

    def _remove_missing(
        self, missing: list[TargetEntry], *, now_s: float
    ) -> tuple[TargetEntry, ...]:
        removed = []
        for entry in missing:
            if entry.is_leaving or not self._may_have_expired(entry, missing, now_s):
                self._missing_until_s.pop(entry.target_id, None)
                removed.append(self._entries.pop(entry.target_id))
            else:
                until_s = max(now_s, self._trusted_from_s)
                if now_s >= self._trusted_from_s:
                    until_s = now_s + self._grace_s
                self._missing_until_s.setdefault(entry.target_id, until_s)
        return tuple(removed)

    def _may_have_expired(
        self, entry: TargetEntry, missing: list[TargetEntry], now_s: float
    ) -> bool:
        if now_s < self._trusted_from_s:
            return True
        known_count = sum(
            other.service == entry.service for other in self._entries.values()
        )
        missing_count = sum(other.service == entry.service for other in missing)
        return missing_count > 1 and missing_count > known_count * _MASS_EXPIRY_SHARE
