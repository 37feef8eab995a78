"""Removes parts of the configuration's history that are no longer needed."""

import attrs

from citrondock_core.configuration_codec import inflate
from citrondock_core.configuration_entries import dump, load
from citrondock_core.configuration_reader import ConfigurationReader
from citrondock_core.configuration_revisions import (
    COLLECTED_KEY,
    EDITS_PREFIX,
    EditRecord,
    edit_key,
    manifest_key,
)
from citrondock_core.object_store import (
    ObjectNotFoundError,
    ObjectStore,
    VersionConflictError,
)

KEPT_REVISION_COUNT = 64
"""Revisions whose text and snapshot stay readable."""
KEPT_EDIT_COUNT = 600_000
"""Edits that stay in the history."""
MAX_COLLECTED_PER_RUN = 16


@attrs.frozen(kw_only=True)
class Collected:
    """How far the history is collected.

    Parameters
    ----------
    revision : int
        Parts that this or an earlier revision dropped are gone.
    """

    revision: int = 0


class ConfigurationGarbageCollector:
    """Collects old parts after an edit was accepted.

    A part may go once the revision that dropped it is `KEPT_REVISION_COUNT` old: no
    later revision can refer to it, since an edit reuses only parts of its parent. With
    a gap in the history, as an old read shows it, nothing is removed.

    Parameters
    ----------
    store : ObjectStore
        The platform's store.
    reader : ConfigurationReader
        Reads the history.
    """

    def __init__(self, store: ObjectStore, reader: ConfigurationReader) -> None:
        self._store = store
        self._reader = reader

    def collect(self) -> int:
        """Remove what a bounded number of old revisions left.

        Returns
        -------
        int
            Objects removed.

        Raises
        ------
        ObjectStoreError
            The store failed; the next run goes on from there.
        """
        head = self._reader.read_head().head
        collected, version = self._read_collected()
        last = min(
            head.revision - KEPT_REVISION_COUNT,
            collected.revision + MAX_COLLECTED_PER_RUN,
        )
        if last <= collected.revision:
            return 0
        history = self._reader.history(head, after_revision=collected.revision)
        if len(history) != head.revision - collected.revision:
            return 0
        accepted = {edit.edit_id for edit in history}
        removed = 0
        for revision in range(collected.revision + 1, last + 1):
            removed += self._collect_revision(revision, accepted)
        self._write_collected(Collected(revision=last), version)
        return removed

    def _collect_revision(self, revision: int, accepted: set[str]) -> int:
        removed = 0
        for found in self._store.list(f"{EDITS_PREFIX}{revision:012d}-"):
            record: EditRecord = load(inflate(found.value), EditRecord)
            if record.edit.edit_id in accepted:
                for part in record.dropped_parts:
                    removed += self._remove(part.key, version=part.version)
                parent = manifest_key(revision - 1, record.edit.parent_edit_id)
                removed += self._remove(parent)
            else:
                for key in record.written_keys:
                    removed += self._remove(key)
                removed += self._remove(manifest_key(revision, record.edit.edit_id))
                removed += self._remove(found.key, version=found.version)
        return removed + self._forget_edit(revision - KEPT_EDIT_COUNT)

    def _forget_edit(self, revision: int) -> int:
        if revision <= 0:
            return 0
        prefix = edit_key(revision, "")
        return sum(
            self._remove(found.key, version=found.version)
            for found in self._store.list(prefix)
        )

    def _remove(self, key: str, *, version: int | None = None) -> int:
        try:
            if version is None:
                version = self._store.get(key).version
            self._store.delete(key, if_version=version)
        except (ObjectNotFoundError, VersionConflictError):
            return 0
        return 1

    def _read_collected(self) -> tuple[Collected, int]:
        try:
            found = self._store.get(COLLECTED_KEY)
        except ObjectNotFoundError:
            return Collected(), 0
        return load(found.value, Collected), found.version

    def _write_collected(self, collected: Collected, version: int) -> None:
        try:
            if version == 0:
                self._store.create(COLLECTED_KEY, dump(collected))
            else:
                self._store.update(COLLECTED_KEY, dump(collected), if_version=version)
        except VersionConflictError:
            return
