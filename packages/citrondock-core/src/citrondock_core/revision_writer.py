"""Writes the objects that a new revision of the configuration refers to."""

import zlib
from collections.abc import Sequence

from citrondock_core.configuration import Configuration
from citrondock_core.configuration_entries import dump, encode_entry, entries_of
from citrondock_core.configuration_parts import Part, cut, digest_of
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
        Repeats calls whose answers are lost.
    call_timeout_s : float
        Longest time for one call.
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
        """Write everything that the new head refers to, the record first."""
        entries = entries_of(configuration)
        lines = (encode_entry(key, entries[key]) for key in sorted(entries))
        contents = [text_parts, list(cut(lines))]
        parent_parts = [*parent.text, *parent.snapshot]
        kept = {part.digest: part for part in parent_parts}
        new = {digest_of(c): c for group in contents for c in group}
        keys = {
            digest: part_key(edit.revision, edit.edit_id, index)
            for index, digest in enumerate(new)
            if digest not in kept
        }
        record = EditRecord(
            edit=edit,
            dropped_parts=tuple(p for p in parent_parts if p.digest not in new),
            written_keys=tuple(keys.values()),
        )
        self._create(edit_key(edit.revision, edit.edit_id), dump(record))
        for digest, key in keys.items():
            version = self._create(key, new[digest])
            kept[digest] = Part(key=key, version=version, digest=digest)
        text, snapshot = (
            tuple(kept[digest] for digest in digests(group)) for group in contents
        )
        manifest = Manifest(
            revision=edit.revision, edit_id=edit.edit_id, text=text, snapshot=snapshot
        )
        self._create(manifest_key(edit.revision, edit.edit_id), dump(manifest))
        return [kept[digest] for digest in keys]

    def remove(self, edit: Edit, written: list[Part]) -> None:
        """Remove what a lost race left; what stays is collected later."""
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
        """Write an object that only this edit writes, whatever answers get lost."""
        value = zlib.compress(content)
        try:
            return self._retrier.retry(
                lambda: self._store.create(key, value, timeout_s=self._call_timeout_s)
            )
        except VersionConflictError:
            return self._retrier.retry(
                lambda: self._store.get(key, timeout_s=self._call_timeout_s)
            ).version


def cut_text(text: bytes) -> list[bytes]:
    """Cut the operators' text into parts."""
    return list(cut(text.splitlines(keepends=True)))


def digests(contents: Sequence[bytes]) -> list[str]:
    """Return the hashes of parts."""
    return [digest_of(content) for content in contents]
