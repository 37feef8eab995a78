"""Targets that requests may be sent to."""

from collections.abc import Iterable

import attrs

from citrondock_core.routing.target_entry import TargetEntry

_SUSPECT_SHARE = 0.5
"""Share of a service's targets that, gone together, are taken for lapsed entries."""


@attrs.frozen(kw_only=True)
class DirectoryChange:
    """What an update changed: entries that came, changed or went."""

    added: tuple[TargetEntry, ...] = ()
    changed: tuple[TargetEntry, ...] = ()
    removed: tuple[TargetEntry, ...] = ()


class TargetDirectory:
    """Targets by id, kept over outages of the registry.

    Entries may lapse while the registry is out although their targets live. An entry
    that is missing afterwards is kept for ``grace_s`` from the registry's return.

    Parameters
    ----------
    grace_s : float
        Time within which living targets are back in the registry.
    """

    def __init__(self, *, grace_s: float) -> None:
        self._grace_s = grace_s
        self._entries: dict[str, TargetEntry] = {}
        self._missing_until_s: dict[str, float] = {}
        self._trusted_from_s = 0.0
        self.revision = 0

    def __len__(self) -> int:
        return len(self._entries)

    def get(self, target_id: str) -> TargetEntry | None:
        """Return the entry of a target."""
        return self._entries.get(target_id)

    def usable(self, service: str | None = None) -> list[TargetEntry]:
        """Return the targets that take new work, of one service or of all."""
        return [
            entry
            for entry in self._entries.values()
            if service in (None, entry.service) and not entry.is_leaving
        ]

    def registry_recovered(self, *, now_s: float) -> None:
        """Note that the registry answers again after an outage."""
        self._trusted_from_s = now_s + self._grace_s

    def replace(
        self, entries: Iterable[TargetEntry], *, revision: int, now_s: float
    ) -> DirectoryChange:
        """Take a whole listing."""
        listed = {entry.target_id: entry for entry in entries}
        change = self._put(listed.values())
        gone = [entry for key, entry in self._entries.items() if key not in listed]
        removed = self._remove(gone, now_s=now_s)
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
        """Take changes that were watched."""
        change = self._put(put)
        gone = [self._entries[key] for key in deleted if key in self._entries]
        removed = self._remove(gone, now_s=now_s)
        self.revision = max(self.revision, revision)
        return attrs.evolve(change, removed=removed)

    def expire(self, *, now_s: float) -> DirectoryChange:
        """Remove entries whose time of grace has passed."""
        due = [
            key for key, until_s in self._missing_until_s.items() if until_s <= now_s
        ]
        removed = []
        for key in due:
            del self._missing_until_s[key]
            removed.append(self._entries.pop(key))
        return DirectoryChange(removed=tuple(removed))

    def _put(self, entries: Iterable[TargetEntry]) -> DirectoryChange:
        added, changed = [], []
        for entry in entries:
            self._missing_until_s.pop(entry.target_id, None)
            known = self._entries.get(entry.target_id)
            self._entries[entry.target_id] = entry
            if known is None:
                added.append(entry)
            elif known != entry:
                changed.append(entry)
        return DirectoryChange(added=tuple(added), changed=tuple(changed))

    def _remove(
        self, gone: list[TargetEntry], *, now_s: float
    ) -> tuple[TargetEntry, ...]:
        removed = []
        for entry in gone:
            if entry.is_leaving or not self._may_have_lapsed(entry, gone, now_s):
                self._missing_until_s.pop(entry.target_id, None)
                removed.append(self._entries.pop(entry.target_id))
            else:
                until_s = max(now_s, self._trusted_from_s)
                if now_s >= self._trusted_from_s:
                    until_s = now_s + self._grace_s
                self._missing_until_s.setdefault(entry.target_id, until_s)
        return tuple(removed)

    def _may_have_lapsed(
        self, entry: TargetEntry, gone: list[TargetEntry], now_s: float
    ) -> bool:
        if now_s < self._trusted_from_s:
            return True
        same = sum(other.service == entry.service for other in self._entries.values())
        lost = sum(other.service == entry.service for other in gone)
        return lost > 1 and lost > same * _SUSPECT_SHARE
