"""Directory of the targets that requests may be sent to."""

import math
from collections.abc import Iterable, Mapping

import attrs

from citrondock_core.routing.store_position import StorePosition
from citrondock_core.routing.target_departure import TargetDeparture
from citrondock_core.routing.target_entry import TargetEntry

_MASS_EXPIRY_SHARE = 0.5
"""If more than this share of a service's targets go missing together, their entries may
have expired in an outage of the registry that is not known yet."""

UNEXPLAINED_GRACE_S = 0.5
"""Time for which such targets are kept without an outage. They may as well have left,
and serve for two seconds then."""

MAX_DEPARTED = 4096
"""Most departures, and most removed entries, that are remembered; the oldest targets
have ended long ago."""


@attrs.frozen(kw_only=True)
class DirectoryChange:
    """Entries that an update added, changed or removed."""

    added: tuple[TargetEntry, ...] = ()
    changed: tuple[TargetEntry, ...] = ()
    removed: tuple[TargetEntry, ...] = ()


@attrs.define(kw_only=True)
class _Departure:
    """Why a target is taken to be leaving whatever its entry says.

    Parameters
    ----------
    entry : TargetEntry
        The incarnation that departed.
    position : StorePosition or None
        Position of the registry that shows it; None if the target itself said so.
    is_registered : bool
        Whether this router's own registry said leaving, in an earlier era.
    is_provisional : bool
        Whether it counts only until the registry's new era is settled.
    shown_in_era : int or None
        Era in which the registry confirmed the target's own word.
    """

    entry: TargetEntry
    position: StorePosition | None
    is_registered: bool = False
    is_provisional: bool = False
    shown_in_era: int | None = None

    def is_overruled(self, position: StorePosition, *, is_written: bool) -> bool:
        """Return whether an entry that says ready brings the target back.

        Parameters
        ----------
        position : StorePosition
            Position of the registry that shows the entry.
        is_written : bool
            Whether the entry was written in that era.
        """
        if self.position is None:
            return self.shown_in_era == position.era
        if self.position.era < position.era:
            return is_written
        return self.position < position


class TargetDirectory:
    """Targets by id, kept through outages of the registry.

    Entries may expire during an outage of the registry although their targets live. An
    entry that is missing afterwards is kept for ``grace_s`` from the registry's
    recovery. Targets of a service of which most go missing at once are kept for
    `UNEXPLAINED_GRACE_S`, and for the whole grace if an outage becomes known meanwhile.

    A target may also leave by its own word, or by that of another router whose registry
    is ahead; the registry's older entries do not bring it back.

    The first listing of a new era of the registry may be a copy that is seconds old.
    Its entries do not bring back targets that were known to be leaving; only a write of
    the new era does. Targets that were removed, or that only another router's registry
    shows as departed, come back once the grace is over, as live targets have written
    again by then; so do incarnations before the one that was known. Entries that the
    copy lacks get the grace, too. An outage within the grace begins it anew.

    Parameters
    ----------
    grace_s : float
        Time in which live targets register again after the registry's recovery.
    """

    def __init__(self, *, grace_s: float) -> None:
        self._grace_s = grace_s
        self._entries: dict[str, TargetEntry] = {}
        self._missing_until_s: dict[str, float] = {}
        # Missing targets without a known outage.
        self._unexplained: set[str] = set()
        self._trusted_from_s = 0.0
        self._departed: dict[str, _Departure] = {}
        self._removed: dict[str, TargetEntry] = {}
        # Position of the first listing of the era; None before any.
        self._era_start: StorePosition | None = None
        self._era_settles_at_s: float | None = None
        self.position = StorePosition()

    def __len__(self) -> int:
        return len(self._entries)

    @property
    def revision(self) -> int:
        """Revision of the registry, within the era of `position`."""
        return self.position.revision

    def get(self, target_id: str) -> TargetEntry | None:
        """Return the entry of a target, or None."""
        return self._entries.get(target_id)

    def entries(self) -> list[TargetEntry]:
        """Return the entries of all targets, those that are leaving included."""
        return list(self._entries.values())

    def usable(self, service: str | None = None) -> list[TargetEntry]:
        """Return the targets that take new requests, of one service or of all."""
        return [
            entry
            for entry in self._entries.values()
            if service in (None, entry.service) and not entry.is_leaving
        ]

    def is_shown_as_leaving(self, target_id: str) -> bool:
        """Return whether the registry itself says that a target is leaving."""
        entry = self._entries.get(target_id)
        if entry is None or not entry.is_leaving:
            return False
        known = self._departed.get(target_id)
        return known is None or known.shown_in_era == self.position.era

    def registry_lost(self) -> None:
        """Wait with settling a new era until the registry answers again."""
        if self._era_settles_at_s is not None:
            self._era_settles_at_s = math.inf

    def registry_recovered(self, *, now_s: float) -> None:
        """Start the grace period, as an outage of the registry has ended."""
        self._trusted_from_s = now_s + self._grace_s
        for target_id in self._unexplained & set(self._missing_until_s):
            self._missing_until_s[target_id] = self._trusted_from_s
        self._unexplained.clear()
        if self._era_settles_at_s is not None:
            self._era_settles_at_s = self._trusted_from_s

    def replace(
        self, entries: Iterable[TargetEntry], *, position: StorePosition, now_s: float
    ) -> DirectoryChange:
        """Replace all entries by a full listing of the registry."""
        listed = {entry.target_id: entry for entry in entries}
        if self._era_start is None or position.era != self.position.era:
            self._enter_era(listed, position, now_s=now_s)
        change = self._put(listed.values(), position)
        missing = [entry for key, entry in self._entries.items() if key not in listed]
        removed = self._remove_missing(missing, now_s=now_s)
        self.position = position
        return attrs.evolve(change, removed=removed)

    def apply(
        self,
        *,
        put: Iterable[TargetEntry],
        deleted: Iterable[str],
        position: StorePosition,
        now_s: float,
    ) -> DirectoryChange:
        """Apply changes from a watch of the registry.

        Changes of another era than the last listing's are ignored. They may lack some,
        so that the registry must be listed again.
        """
        if position.era != self.position.era:
            return DirectoryChange()
        change = self._put(put, position, is_watched=True)
        missing = [self._entries[key] for key in deleted if key in self._entries]
        removed = self._remove_missing(missing, now_s=now_s)
        self.position = max(self.position, position)
        return attrs.evolve(change, removed=removed)

    def depart(self, departure: TargetDeparture) -> DirectoryChange:
        """Mark a target as leaving, unless the registry is known to say otherwise."""
        target_id = departure.target_id
        entry = self._entries.get(target_id)
        if entry is None or entry.started_at_ms != departure.started_at_ms:
            return DirectoryChange()
        position = departure.position_in(self.position.era)
        is_known_here = position is not None and position <= self.position
        is_provisional = is_known_here and target_id not in self._missing_until_s
        if is_provisional and not self._may_be_outdated(entry, position):
            return DirectoryChange()
        known = self._departed.get(target_id)
        if known is not None and entry.is_other_incarnation_of(known.entry):
            known = None
        # The registry of another router does not overrule the target's own word.
        if known is None or known.position is not None or position is None:
            self._remember_departure(
                _Departure(
                    entry=entry,
                    position=position,
                    is_registered=known.is_registered if known else entry.is_leaving,
                    is_provisional=is_provisional,
                )
            )
        if entry.is_leaving:
            return DirectoryChange()
        leaving = attrs.evolve(entry, is_leaving=True)
        self._entries[target_id] = leaving
        return DirectoryChange(changed=(leaving,))

    def expire(self, *, now_s: float) -> DirectoryChange:
        """Remove missing entries, and settle a new era, once their grace has passed."""
        due = [
            key for key, until_s in self._missing_until_s.items() if until_s <= now_s
        ]
        removed = []
        for key in due:
            del self._missing_until_s[key]
            self._unexplained.discard(key)
            removed.append(self._remove(key))
        changed: tuple[TargetEntry, ...] = ()
        if self._era_settles_at_s is not None and self._era_settles_at_s <= now_s:
            self._era_settles_at_s = None
            changed = self._end_provisional_departures()
        return DirectoryChange(changed=changed, removed=tuple(removed))

    def _enter_era(
        self,
        listed: Mapping[str, TargetEntry],
        position: StorePosition,
        *,
        now_s: float,
    ) -> None:
        if self._era_start is not None:
            self.registry_recovered(now_s=now_s)
        self._era_start = position
        self._era_settles_at_s = now_s + self._grace_s
        for known in self._departed.values():
            if known.position is None:
                continue
            is_earlier = known.position.era < position.era
            known.is_provisional = is_earlier and not known.is_registered
            if known.is_registered:
                # Shown here in the former era, whatever another router's registry says.
                known.position = min(known.position, self.position)
        gone = [entry for entry in self._entries.values() if entry.is_leaving]
        gone += [self._removed[key] for key in listed if key in self._removed]
        for entry in gone:
            known_departure = self._departed.get(entry.target_id)
            if known_departure is None or entry.is_other_incarnation_of(
                known_departure.entry
            ):
                self._remember_departure(
                    _Departure(
                        entry=entry,
                        position=self.position,
                        is_registered=entry.is_leaving,
                        is_provisional=not entry.is_leaving,
                    )
                )
        for entry in listed.values():
            if self._is_known_as_restarted(entry):
                later = self._entries.get(entry.target_id)
                if later is not None:
                    self._remember_removed(later)
                self._remember_departure(
                    _Departure(entry=entry, position=self.position, is_provisional=True)
                )

    def _is_known_as_restarted(self, entry: TargetEntry) -> bool:
        """Return whether a later incarnation of the target was known."""
        departure = self._departed.get(entry.target_id)
        known = (
            self._entries.get(entry.target_id),
            self._removed.get(entry.target_id),
            departure.entry if departure else None,
        )
        return any(
            other is not None and other.started_at_ms > entry.started_at_ms
            for other in known
        )

    def _may_be_outdated(
        self, entry: TargetEntry, position: StorePosition | None
    ) -> bool:
        """Return whether an entry may lack a change at a position before its era."""
        return (
            position is not None
            and position.era < self.position.era
            and self._era_settles_at_s is not None
            and not entry.is_leaving
            and not self._is_written_in_era(entry)
        )

    def _is_written_in_era(self, entry: TargetEntry) -> bool:
        start = self._era_start or StorePosition()
        return entry.registered_revision > start.revision

    def _remember_departure(self, departure: _Departure) -> None:
        self._departed[departure.entry.target_id] = departure
        if len(self._departed) > MAX_DEPARTED:
            del self._departed[next(iter(self._departed))]

    def _end_provisional_departures(self) -> tuple[TargetEntry, ...]:
        ended = [key for key, known in self._departed.items() if known.is_provisional]
        changed = []
        for key in ended:
            departed = self._departed.pop(key).entry
            entry = self._entries.get(key)
            if entry is not None and not entry.is_other_incarnation_of(departed):
                self._entries[key] = attrs.evolve(entry, is_leaving=False)
                changed.append(self._entries[key])
            removed = self._removed.get(key)
            if removed is not None and not removed.is_other_incarnation_of(departed):
                self._removed[key] = attrs.evolve(removed, is_leaving=False)
        return tuple(changed)

    def _put(
        self,
        entries: Iterable[TargetEntry],
        position: StorePosition,
        *,
        is_watched: bool = False,
    ) -> DirectoryChange:
        added, changed = [], []
        for registered in entries:
            if registered is self._entries.get(registered.target_id):
                # Kept in place of an unreadable one, which says nothing new.
                self._missing_until_s.pop(registered.target_id, None)
                continue
            is_written = is_watched or self._is_written_in_era(registered)
            entry = self._with_departure(registered, position, is_written=is_written)
            self._missing_until_s.pop(entry.target_id, None)
            gone = self._removed.get(entry.target_id)
            if gone is not None and gone.started_at_ms <= entry.started_at_ms:
                del self._removed[entry.target_id]
            known = self._entries.get(entry.target_id)
            self._entries[entry.target_id] = entry
            if known is None:
                added.append(entry)
            elif known != entry:
                changed.append(entry)
        return DirectoryChange(added=tuple(added), changed=tuple(changed))

    def _with_departure(
        self, entry: TargetEntry, position: StorePosition, *, is_written: bool
    ) -> TargetEntry:
        """Return an entry of the registry, marked as leaving if its target departed."""
        known = self._departed.get(entry.target_id)
        if known is None:
            return entry
        if entry.is_leaving and known.position is None:
            known.shown_in_era = position.era
            return entry
        if (
            entry.is_leaving
            or entry.is_other_incarnation_of(known.entry)
            or known.is_overruled(position, is_written=is_written)
        ):
            del self._departed[entry.target_id]
            return entry
        return attrs.evolve(entry, is_leaving=True)

    def _remove(self, target_id: str) -> TargetEntry:
        entry = self._entries.pop(target_id)
        known = self._departed.get(target_id)
        gone = entry
        if known is not None and known.position is not None and not known.is_registered:
            # The mark is not the registry's, and must not outlast the departure.
            gone = attrs.evolve(entry, is_leaving=False)
        self._remember_removed(gone)
        return entry

    def _remember_removed(self, entry: TargetEntry) -> None:
        latest = self._removed.get(entry.target_id)
        if latest is None or latest.started_at_ms <= entry.started_at_ms:
            self._removed[entry.target_id] = entry
        if len(self._removed) > MAX_DEPARTED:
            del self._removed[next(iter(self._removed))]

    def _remove_missing(
        self, missing: list[TargetEntry], *, now_s: float
    ) -> tuple[TargetEntry, ...]:
        removed = []
        for entry in missing:
            if entry.is_leaving or not self._may_have_expired(entry, missing, now_s):
                self._missing_until_s.pop(entry.target_id, None)
                removed.append(self._remove(entry.target_id))
            else:
                until_s = self._trusted_from_s
                if now_s >= self._trusted_from_s:
                    until_s = now_s + min(UNEXPLAINED_GRACE_S, self._grace_s)
                    self._unexplained.add(entry.target_id)
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
