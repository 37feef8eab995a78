"""Objects in the store that make up the history of the configuration.

``configuration/head`` names the revision in force; an edit is accepted by updating it.
The objects that it refers to are written before it and never overwritten: a record of
each edit, a manifest of each revision, and the parts of the text and of the snapshot.
"""

import attrs

from citrondock_core.configuration_entries import Delta, dump
from citrondock_core.configuration_parts import Part

HEAD_KEY = "configuration/head"
COLLECTED_KEY = "configuration/collected"
EDITS_PREFIX = "configuration/edits/"
MANIFESTS_PREFIX = "configuration/manifests/"
PARTS_PREFIX = "configuration/parts/"

MAX_RECENT_COUNT = 8
"""Most edits that the head holds."""
MAX_RECENT_BYTES = 4_000
"""Most bytes of the edits in the head."""
MAX_RECORD_DELTA_BYTES = 200_000
"""Most bytes of a delta that the record of an edit holds."""
MAX_LOST_REVISIONS = 1_000
"""More revisions than the store can lose when it comes back from a copy."""
MAX_SHOWN_CHANGES = 12
"""Most keys of changed entries that an edit lists."""


@attrs.frozen(kw_only=True)
class Edit:
    """An edit of the configuration: who changed what, why and when.

    Parameters
    ----------
    revision : int
        Revision that the edit made.
    edit_id : str
        Unique id, chosen by the author.
    parent_edit_id : str
        Edit that it was based on; empty for the first.
    author, reason : str
        Who made the edit, and why.
    written_at_epoch_s : float
        Time of the edit by the author's clock, in seconds since 1970.
    changed : tuple of str
        Keys of the first few changed entries.
    changed_count : int
        Number of changed entries; 0 if only comments or formatting changed.
    delta : Delta or None
        The changes; None if they are too large to be stored with the edit.
    parent_revision : int
        Revision that it was based on.
    """

    revision: int
    edit_id: str
    parent_edit_id: str
    author: str
    reason: str
    written_at_epoch_s: float
    changed: tuple[str, ...]
    changed_count: int
    delta: Delta | None = None
    parent_revision: int = attrs.field(
        default=attrs.Factory(lambda edit: edit.revision - 1, takes_self=True)
    )

    def __str__(self) -> str:
        more = self.changed_count - len(self.changed)
        changes = ", ".join(self.changed) or "comments only"
        suffix = f" and {more} more" if more > 0 else ""
        why = f" ({self.reason})" if self.reason else ""
        return f"revision {self.revision} by {self.author}{why}: {changes}{suffix}"


@attrs.frozen(kw_only=True)
class EditRecord:
    """The stored record of an edit, accepted or not.

    Parameters
    ----------
    edit : Edit
        The edit.
    dropped_parts : tuple of Part
        Parts of the parent revision that this one no longer uses.
    written_keys : tuple of str
        Keys of the parts that the edit adds.
    """

    edit: Edit
    dropped_parts: tuple[Part, ...] = ()
    written_keys: tuple[str, ...] = ()


@attrs.frozen(kw_only=True)
class Manifest:
    """The list of the parts that make up one revision.

    Parameters
    ----------
    revision, edit_id : int, str
        The revision, and the edit that made it.
    text : tuple of Part
        Parts of the configuration text, with comments.
    snapshot : tuple of Part
        Parts of the snapshot: the entries, one per line.
    """

    revision: int
    edit_id: str
    text: tuple[Part, ...] = ()
    snapshot: tuple[Part, ...] = ()


@attrs.frozen(kw_only=True)
class Head:
    """Content of the head object: the revision in force and the edits that led to it.

    Parameters
    ----------
    revision, edit_id : int, str
        The revision, and the edit that made it.
    recent : tuple of Edit
        The most recent edits, oldest first; the last one made this revision.
    era : int
        Era of the store in which this head was written.
    """

    revision: int = 0
    edit_id: str = ""
    recent: tuple[Edit, ...] = ()
    era: int = 0

    def next_revision(self, *, era: int) -> int:
        """Return the revision of the next edit, in the store's present era.

        A store that came back from a copy may have lost edits that routers have in
        force, so that its next revision leaves theirs out.
        """
        return self.revision + 1 + (era - self.era) * MAX_LOST_REVISIONS

    def has_deltas_since(self, edit_id: str) -> bool:
        """Whether the head holds the deltas of all edits after ``edit_id``."""
        remaining = iter(self.recent)
        for edit in remaining:
            if edit.parent_edit_id == edit_id:
                later_edits = [edit, *remaining]
                return all(later.delta is not None for later in later_edits)
        return False

    def with_edit(self, edit: Edit, *, era: int = 0) -> "Head":
        """Return the head with an edit appended, within the limits on recent edits."""
        recent = [*self.recent, edit][-MAX_RECENT_COUNT:]
        sizes = [len(dump(item)) for item in recent]
        while len(recent) > 1 and sum(sizes) > MAX_RECENT_BYTES:
            recent.pop(0)
            sizes.pop(0)
        if sizes[0] > MAX_RECENT_BYTES:
            recent = [attrs.evolve(recent[0], delta=None)]
        return Head(
            revision=edit.revision,
            edit_id=edit.edit_id,
            recent=tuple(recent),
            era=era,
        )


def edit_key(revision: int, edit_id: str) -> str:
    """Return the key of an edit's record."""
    return f"{EDITS_PREFIX}{revision:012d}-{edit_id}"


def edits_after_key(revision: int) -> str:
    """Return the key after which the records of later revisions are listed."""
    return f"{EDITS_PREFIX}{revision:012d}~"


def manifest_key(revision: int, edit_id: str) -> str:
    """Return the key of a revision's manifest."""
    return f"{MANIFESTS_PREFIX}{revision:012d}-{edit_id}"


def part_key(revision: int, edit_id: str, index: int) -> str:
    """Return the key of a part that an edit adds."""
    return f"{PARTS_PREFIX}{revision:012d}-{edit_id}-{index:04d}"


def chain_to(edit_id: str, edits: list[Edit]) -> list[Edit]:
    """Return the accepted edits that lead to ``edit_id``, oldest first.

    ``edits`` may also hold edits that were rejected because another one was accepted
    first; they are left out.
    """
    by_id = {edit.edit_id: edit for edit in edits}
    chain: list[Edit] = []
    while edit_id in by_id:
        edit = by_id.pop(edit_id)
        chain.append(edit)
        edit_id = edit.parent_edit_id
    return chain[::-1]
