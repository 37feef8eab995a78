"""Garbage collection of the configuration's history in the object store."""

import attrs

from citrondock_core.configuration_codec import inflate
from citrondock_core.configuration_entries import dump, load
from citrondock_core.configuration_parts import Part
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
"""How many of the newest revisions keep their text and snapshot."""
KEPT_EDIT_COUNT = 600_000
"""How many of the newest edits keep their record."""
MAX_REVISIONS_PER_RUN = 16
"""Most revisions that one run collects."""


@attrs.frozen(kw_only=True)
class CollectionProgress:
    """How far the garbage of the history has been collected.

    Parameters
    ----------
    revision : int
        Last collected revision: what it or an earlier revision stopped using has
        been removed.
    """

    revision: int = 0


class ConfigurationGarbageCollector:
    """Removes objects that only old revisions refer to; runs after accepted edits.

    A part is removed once the revision that stopped using it is `KEPT_REVISION_COUNT`
    revisions old: no later revision can refer to it, since an edit reuses only parts
    of its parent. If the history has a gap, as a stale read of the store can show it,
    nothing is removed.

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
        """Collect the garbage of at most `MAX_REVISIONS_PER_RUN` old revisions.

        Returns
        -------
        int
            Number of removed objects.

        Raises
        ------
        ObjectStoreError
            The store failed; the next run resumes at the last collected revision.
        """
        head = self._reader.read_head().head
        progress, version = self._read_progress()
        last = min(
            head.revision - KEPT_REVISION_COUNT,
            progress.revision + MAX_REVISIONS_PER_RUN,
        )
        if last <= progress.revision:
            return 0
        history = self._reader.history(head, after_revision=progress.revision)
        if not history or history[0].parent_revision > progress.revision:
            return 0
        accepted_ids = {edit.edit_id for edit in history}
        removed_count = 0
        for revision in range(progress.revision + 1, last + 1):
            removed_count += self._collect_revision(revision, accepted_ids)
        self._write_progress(CollectionProgress(revision=last), version)
        return removed_count

    def _collect_revision(self, revision: int, accepted_ids: set[str]) -> int:
        removed_count = 0
        for found in self._store.list(f"{EDITS_PREFIX}{revision:012d}-"):
            record: EditRecord = load(inflate(found.value), EditRecord)
            if record.edit.edit_id in accepted_ids:
                for part in record.dropped_parts:
                    removed_count += self._remove_part(part)
                parent = manifest_key(
                    record.edit.parent_revision, record.edit.parent_edit_id
                )
                removed_count += self._remove(parent)
            else:
                for key in record.written_keys:
                    removed_count += self._remove(key)
                removed_count += self._remove(
                    manifest_key(revision, record.edit.edit_id)
                )
                removed_count += self._remove(found.key, version=found.version)
        return removed_count + self._remove_edit_records(revision - KEPT_EDIT_COUNT)

    def _remove_edit_records(self, revision: int) -> int:
        if revision <= 0:
            return 0
        prefix = edit_key(revision, "")
        return sum(
            self._remove(found.key, version=found.version)
            for found in self._store.list(prefix)
        )

    def _remove_part(self, part: Part) -> int:
        """Remove a part; its recorded version is void if the store was restored.

        Parts are never overwritten, so that the version read now is the same part's.
        """
        return self._remove(part.key, version=part.version) or self._remove(part.key)

    def _remove(self, key: str, *, version: int | None = None) -> int:
        """Remove an object; return 1, or 0 if it was removed or changed since."""
        try:
            if version is None:
                version = self._store.get(key).version
            self._store.delete(key, if_version=version)
        except (ObjectNotFoundError, VersionConflictError):
            return 0
        return 1

    def _read_progress(self) -> tuple[CollectionProgress, int]:
        try:
            found = self._store.get(COLLECTED_KEY)
        except ObjectNotFoundError:
            return CollectionProgress(), 0
        return load(found.value, CollectionProgress), found.version

    def _write_progress(self, progress: CollectionProgress, version: int) -> None:
        try:
            if version == 0:
                self._store.create(COLLECTED_KEY, dump(progress))
            else:
                self._store.update(COLLECTED_KEY, dump(progress), if_version=version)
        except VersionConflictError:
            return
