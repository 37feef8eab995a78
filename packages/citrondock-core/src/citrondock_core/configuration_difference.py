"""Differences between two configurations, formatted for operators."""

import enum
from collections.abc import Sequence

import attrs

from citrondock_core.configuration import Configuration
from citrondock_core.configuration_entries import Entry, entries_of

HIDDEN_FIELDS = frozenset({"key_hashes"})
"""Fields whose values are never shown, only that they changed."""


class ChangeKind(enum.Enum):
    """How an entry differs between two configurations."""

    ADDED = "added"
    REMOVED = "removed"
    CHANGED = "changed"


_SIGNS = {ChangeKind.ADDED: "+", ChangeKind.REMOVED: "-", ChangeKind.CHANGED: "~"}


@attrs.frozen
class FieldChange:
    """One changed field of an entry."""

    name: str
    before: str
    after: str

    def __str__(self) -> str:
        if self.name in HIDDEN_FIELDS:
            return f"{self.name} changed"
        return f"{self.name}: {self.before} -> {self.after}"


@attrs.frozen
class Change:
    """An entry that is added, removed or changed.

    Parameters
    ----------
    key : str
        For example ``"accounts/kudos"`` or ``"targets/engines/engine-1"``.
    kind : ChangeKind
        Whether it was added, removed or changed.
    fields : tuple of FieldChange
        Changed fields; empty unless the entry was changed.
    """

    key: str
    kind: ChangeKind
    fields: tuple[FieldChange, ...] = ()

    def __str__(self) -> str:
        fields = "; ".join(map(str, self.fields))
        return f"{_SIGNS[self.kind]} {self.key}{': ' if fields else ''}{fields}"


def difference(before: Configuration, after: Configuration) -> Sequence[Change]:
    """Return the changes from one configuration to another, sorted by key."""
    old, new = entries_of(before), entries_of(after)
    changes = []
    for key in sorted({*old, *new}):
        if key not in old:
            changes.append(Change(key, ChangeKind.ADDED))
        elif key not in new:
            changes.append(Change(key, ChangeKind.REMOVED))
        elif old[key] != new[key]:
            fields = _changed_fields(old[key], new[key])
            changes.append(Change(key, ChangeKind.CHANGED, fields))
    return changes


def _changed_fields(before: Entry, after: Entry) -> tuple[FieldChange, ...]:
    changed = []
    for field in attrs.fields(type(before)):
        old, new = getattr(before, field.name), getattr(after, field.name)
        if old != new:
            changed.append(
                FieldChange(field.name, _format_value(old), _format_value(new))
            )
    return tuple(changed)


def _format_value(value: object) -> str:
    if isinstance(value, enum.Enum):
        return str(value.value)
    if isinstance(value, tuple):
        return f"[{', '.join(map(str, value))}]"
    return str(value)
