"""Reads revisions of the configuration from the object store."""

from collections.abc import Sequence

import attrs

from citrondock_core.configuration import Configuration
from citrondock_core.configuration_codec import inflate
from citrondock_core.configuration_entries import (
    ConfigurationDecodeError,
    apply_delta,
    configuration_of,
    decode_entries,
    load,
)
from citrondock_core.configuration_parts import Part, digest_of
from citrondock_core.configuration_revisions import (
    EDITS_PREFIX,
    HEAD_KEY,
    Edit,
    EditRecord,
    Head,
    Manifest,
    chain_to,
    edits_after_key,
    manifest_key,
)
from citrondock_core.errors import CitrondockError
from citrondock_core.object_store import (
    ObjectNotFoundError,
    ObjectStore,
    StoredObject,
)

PAGE_SIZE = 500
MAX_DELTA_COUNT = 200
"""Most edits that are caught up with by deltas; beyond, the snapshot is read."""


class RevisionMissingError(CitrondockError):
    """A revision or a part of it is not, or no longer, in the store."""


@attrs.frozen(kw_only=True)
class VersionedHead:
    """The head together with the version of its object in the store.

    Parameters
    ----------
    head : Head
        The head; its revision is 0 before the first accepted edit.
    version : int
        Store version; 0 if there is no head object.
    """

    head: Head = attrs.field(factory=Head)
    version: int = 0


@attrs.frozen(kw_only=True)
class HeadWatch:
    """Result of a watch of the head.

    Parameters
    ----------
    newer_head : VersionedHead or None
        The newer head; None if there was none.
    version : int
        Store version up to which the result is complete.
    """

    newer_head: VersionedHead | None
    version: int


class ConfigurationReader:
    """Reads the head, deltas, snapshots, texts and the history of the configuration.

    Parameters
    ----------
    store : ObjectStore
        The platform's store.
    call_timeout_s : float
        Timeout of one call in seconds.

    Attributes
    ----------
    call_count : int
        Store calls made so far.
    """

    def __init__(self, store: ObjectStore, *, call_timeout_s: float = 2.0) -> None:
        self.call_count = 0
        self._store = store
        self._call_timeout_s = call_timeout_s
        self._snapshot_parts: dict[str, bytes] = {}

    def read_head(self) -> VersionedHead:
        """Return the current head."""
        try:
            return decode_head(self._get(HEAD_KEY))
        except ObjectNotFoundError:
            return VersionedHead()

    def wait_for_head(self, *, after_version: int, wait_s: float) -> HeadWatch:
        """Wait up to ``wait_s`` for a head that is newer than a store version."""
        self.call_count += 1
        result = self._store.watch(HEAD_KEY, after_version=after_version, wait_s=wait_s)
        heads = [
            change
            for change in result.changes
            if change.key == HEAD_KEY and not change.deleted
        ]
        newer_head = decode_head(heads[-1]) if heads else None
        return HeadWatch(newer_head=newer_head, version=result.version)

    def advance(self, configuration: Configuration, head: Head) -> Configuration:
        """Return the configuration of ``head``, given an older one.

        It takes the cheapest way. The head holds the deltas of recent edits, at no
        call; those of further edits cost one list call. If the deltas do not reach
        back to ``configuration``, the snapshot is read.
        """
        if configuration.edit_id == head.edit_id:
            return configuration
        advanced = _apply_chain(configuration, head, list(head.recent))
        behind = head.revision - configuration.revision
        if advanced is None and configuration.revision and behind <= MAX_DELTA_COUNT:
            edits = [
                record.edit for record in self._read_records(configuration.revision)
            ]
            advanced = _apply_chain(configuration, head, edits)
        return advanced or self.read_snapshot(head.revision, head.edit_id)

    def read_snapshot(self, revision: int, edit_id: str) -> Configuration:
        """Return the configuration of one revision, read from its snapshot.

        After a failure of the store, the next call does not read again the parts that
        were already read.

        Raises
        ------
        RevisionMissingError
            The revision is no longer in the store.
        """
        manifest = self.read_manifest(revision, edit_id)
        for part in manifest.snapshot:
            if part.digest not in self._snapshot_parts:
                self._snapshot_parts[part.digest] = self._read_part(part)
        parts = (self._snapshot_parts[part.digest] for part in manifest.snapshot)
        entries = decode_entries(b"".join(parts).split(b"\n"))
        self._snapshot_parts.clear()
        return configuration_of(entries, revision=revision, edit_id=edit_id)

    def read_text(self, revision: int, edit_id: str) -> bytes:
        """Return the configuration text of one revision, with its comments.

        Raises
        ------
        RevisionMissingError
            The revision is no longer in the store.
        """
        manifest = self.read_manifest(revision, edit_id)
        return b"".join(map(self._read_part, manifest.text))

    def read_manifest(self, revision: int, edit_id: str) -> Manifest:
        """Return the manifest that lists a revision's parts; empty for revision 0."""
        if revision == 0:
            return Manifest(revision=0, edit_id="")
        manifest: Manifest = load(
            inflate(self._get_kept(manifest_key(revision, edit_id))), Manifest
        )
        return manifest

    def history(self, head: Head, *, after_revision: int = 0) -> Sequence[Edit]:
        """Return the accepted edits after a revision, oldest first."""
        edits = [record.edit for record in self._read_records(after_revision)]
        return chain_to(head.edit_id, edits)

    def _read_records(self, after_revision: int) -> list[EditRecord]:
        records: list[EditRecord] = []
        after_key = edits_after_key(after_revision)
        while True:
            self.call_count += 1
            page = self._store.list(
                EDITS_PREFIX,
                after_key=after_key,
                limit=PAGE_SIZE,
                timeout_s=self._call_timeout_s,
            )
            records += [load(inflate(found.value), EditRecord) for found in page]
            if len(page) < PAGE_SIZE:
                return records
            after_key = page[-1].key

    def _read_part(self, part: Part) -> bytes:
        content = inflate(self._get_kept(part.key))
        if digest_of(content) != part.digest:
            raise ConfigurationDecodeError(
                f"{part.key}: the content does not have the digest {part.digest}",
                step="read",
            )
        return content

    def _get_kept(self, key: str) -> bytes:
        """Return an object that is removed once its revision is old."""
        try:
            return self._get(key).value
        except ObjectNotFoundError as error:
            raise RevisionMissingError(
                f"{key} is not in the store; old revisions are removed", step="read"
            ) from error

    def _get(self, key: str) -> StoredObject:
        self.call_count += 1
        return self._store.get(key, timeout_s=self._call_timeout_s)


def decode_head(found: StoredObject) -> VersionedHead:
    """Decode the head object.

    Raises
    ------
    ConfigurationDecodeError
        The object is not a valid head.
    """
    return VersionedHead(head=load(found.value, Head), version=found.version)


def _apply_chain(
    configuration: Configuration, head: Head, edits: list[Edit]
) -> Configuration | None:
    """Apply the deltas up to ``head``; return None if any of them is missing."""
    chain = [
        edit
        for edit in chain_to(head.edit_id, edits)
        if edit.revision > configuration.revision
    ]
    if not chain or chain[0].parent_edit_id != configuration.edit_id:
        return None
    for edit in chain:
        if edit.delta is None:
            return None
        configuration = apply_delta(
            configuration, edit.delta, revision=edit.revision, edit_id=edit.edit_id
        )
    return configuration
