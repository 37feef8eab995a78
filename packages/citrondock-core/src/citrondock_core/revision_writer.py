"""Writes the stored objects of a new revision of the configuration."""

import zlib
from collections.abc import Sequence

from citrondock_core.configuration import Configuration
from citrondock_core.configuration_entries import dump, encode_entry, entries_of
from citrondock_core.configuration_parts import Part, digest_of, split_into_parts
from citrondock_core.configuration_revisions import (
    Edit,
    EditRecord,
    Manifest,
    edit_key,
    manifest_key,
    part_key,
)
from citrondock_core.object_store import (
    ObjectStore,
    ObjectStoreError,
    VersionConflictError,
)
from citrondock_core.store_retrier import StoreRetrier


class RevisionWriter:
    """Writes the record, the new parts and the manifest of an edit.

    Parameters
    ----------
    store : ObjectStore
        The platform's store.
    retrier : StoreRetrier
        Retries calls that failed or whose answers were lost.
    call_timeout_s : float
        Timeout of one call in seconds.
    """

    def __init__(
        self, store: ObjectStore, retrier: StoreRetrier, *, call_timeout_s: float
    ) -> None:
        self._store = store
        self._retrier = retrier
        self._call_timeout_s = call_timeout_s

    def write(
        self,
        edit: Edit,
        text_parts: Sequence[bytes],
        configuration: Configuration,
        parent: Manifest,
    ) -> list[Part]:
        """Write everything that the new head refers to, the edit's record first.

        Returns
        -------
        list of Part
            The parts that this edit added.
        """
        entries = entries_of(configuration)
        lines = (encode_entry(key, entries[key]) for key in sorted(entries))
        contents = [text_parts, list(split_into_parts(lines))]
        parent_parts = [*parent.text, *parent.snapshot]
        stored = {part.digest: part for part in parent_parts}
        needed = {digest_of(c): c for group in contents for c in group}
        keys = {
            digest: part_key(edit.revision, edit.edit_id, index)
            for index, digest in enumerate(needed)
            if digest not in stored
        }
        record = EditRecord(
            edit=edit,
            dropped_parts=tuple(p for p in parent_parts if p.digest not in needed),
            written_keys=tuple(keys.values()),
        )
        self._create(edit_key(edit.revision, edit.edit_id), dump(record))
        for digest, key in keys.items():
            version = self._create(key, needed[digest])
            stored[digest] = Part(key=key, version=version, digest=digest)
        text, snapshot = (
            tuple(stored[digest] for digest in digests_of(group)) for group in contents
        )
        manifest = Manifest(
            revision=edit.revision, edit_id=edit.edit_id, text=text, snapshot=snapshot
        )
        self._create(manifest_key(edit.revision, edit.edit_id), dump(manifest))
        return [stored[digest] for digest in keys]

    def remove(self, edit: Edit, written: list[Part]) -> None:
        """Remove the objects of a rejected edit.

        If the store fails, the rest is left to the garbage collector.
        """
        try:
            for part in written:
                self._store.delete(part.key, if_version=part.version)
            for key in (manifest_key, edit_key):
                found = self._store.get(
                    key(edit.revision, edit.edit_id), timeout_s=self._call_timeout_s
                )
                self._store.delete(found.key, if_version=found.version)
        except ObjectStoreError:
            return

    def _create(self, key: str, content: bytes) -> int:
        """Create an object and return its version, also when answers get lost.

        Only this edit writes the key. If the object exists already, an earlier attempt
        created it.
        """
        value = zlib.compress(content)
        try:
            return self._retrier.retry(
                lambda: self._store.create(key, value, timeout_s=self._call_timeout_s)
            )
        except VersionConflictError:
            return self._retrier.retry(
                lambda: self._store.get(key, timeout_s=self._call_timeout_s)
            ).version


def split_text(text: bytes) -> list[bytes]:
    """Split the configuration text into parts."""
    return list(split_into_parts(text.splitlines(keepends=True)))


def digests_of(contents: Sequence[bytes]) -> list[str]:
    """Return the digests of parts, in their order."""
    return [digest_of(content) for content in contents]
