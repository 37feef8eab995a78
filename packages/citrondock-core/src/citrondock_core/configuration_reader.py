"""Reads revisions of the configuration from the store."""

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
    chain_from,
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
"""Most edits that a follower makes up by deltas before it takes the snapshot."""


class RevisionMissingError(CitrondockError):
    """A revision, or a part of it, is not in the store (any more)."""


@attrs.frozen(kw_only=True)
class VersionedHead:
    """The head as it stands in the store.

    Parameters
    ----------
    head : Head
        Revision 0 when nothing was accepted yet.
    version : int
        Store version; 0 when there is no head object.
    """

    head: Head = attrs.field(factory=Head)
    version: int = 0


@attrs.frozen(kw_only=True)
class HeadWatch:
    """What a watch of the head saw.

    Parameters
    ----------
    newer_head : VersionedHead or None
        A newer head.
    version : int
        Store version up to which the answer is complete.
    """

    newer_head: VersionedHead | None
    version: int


class ConfigurationReader:
    """Reads the head, deltas, snapshots, texts and the history.

    Parameters
    ----------
    store : ObjectStore
        The platform's store.
    call_timeout_s : float
        Longest time for one call.

    Attributes
    ----------
    call_count : int
        Calls made so far.
    """

    def __init__(self, store: ObjectStore, *, call_timeout_s: float = 2.0) -> None:
        self.call_count = 0
        self._store = store
        self._call_timeout_s = call_timeout_s
        self._snapshot_parts: dict[str, bytes] = {}

    def read_head(self) -> VersionedHead:
        """Return the head in force."""
        try:
            return decode_head(self._get(HEAD_KEY))
        except ObjectNotFoundError:
            return VersionedHead()

    def wait_for_head(self, *, after_version: int, wait_s: float) -> HeadWatch:
        """Wait for a head that is newer than a store version."""
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
        """Return the configuration of ``head``, in the cheapest way from an older one.

        Recent edits stand in the head; further ones cost one list call; where these
        do not reach back, the snapshot is read.
        """
        if configuration.revision == head.revision:
            return configuration
        advanced = _apply_chain(configuration, head, list(head.recent))
        behind = head.revision - configuration.revision
        if advanced is None and configuration.revision and behind <= MAX_DELTA_COUNT:
            edits = [record.edit for record in self._records(configuration.revision)]
            advanced = _apply_chain(configuration, head, edits)
        return advanced or self.read_snapshot(head.revision, head.edit_id)

    def read_snapshot(self, revision: int, edit_id: str) -> Configuration:
        """Return one revision from its parts.

        Parts that were read before the store failed are not read again.

        Raises
        ------
        RevisionMissingError
            The revision is not kept any more.
        """
        manifest = self.read_manifest(revision, edit_id)
        for part in manifest.snapshot:
            if part.digest not in self._snapshot_parts:
                self._snapshot_parts[part.digest] = self._content(part)
        parts = (self._snapshot_parts[part.digest] for part in manifest.snapshot)
        entries = decode_entries(b"".join(parts).split(b"\n"))
        self._snapshot_parts.clear()
        return configuration_of(entries, revision=revision, edit_id=edit_id)

    def read_text(self, revision: int, edit_id: str) -> bytes:
        """Return the operators' text of one revision, with comments.

        Raises
        ------
        RevisionMissingError
            The revision is not kept any more.
        """
        manifest = self.read_manifest(revision, edit_id)
        return b"".join(map(self._content, manifest.text))

    def read_manifest(self, revision: int, edit_id: str) -> Manifest:
        """Return the list of a revision's parts; empty for revision 0."""
        if revision == 0:
            return Manifest(revision=0, edit_id="")
        manifest: Manifest = load(
            inflate(self._get_part(manifest_key(revision, edit_id))), Manifest
        )
        return manifest

    def history(self, head: Head, *, after_revision: int = 0) -> Sequence[Edit]:
        """Return accepted edits after a revision, oldest first."""
        edits = [record.edit for record in self._records(after_revision)]
        return chain_from(head.edit_id, edits)

    def _records(self, after_revision: int) -> list[EditRecord]:
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

    def _content(self, part: Part) -> bytes:
        content = inflate(self._get_part(part.key))
        if digest_of(content) != part.digest:
            raise ConfigurationDecodeError(f"{part.key} is damaged", step="read")
        return content

    def _get_part(self, key: str) -> bytes:
        try:
            return self._get(key).value
        except ObjectNotFoundError as error:
            raise RevisionMissingError(f"{key} is not kept", step="read") from error

    def _get(self, key: str) -> StoredObject:
        self.call_count += 1
        return self._store.get(key, timeout_s=self._call_timeout_s)


def decode_head(found: StoredObject) -> VersionedHead:
    """Read the head object.

    Raises
    ------
    ConfigurationDecodeError
        The object is no head.
    """
    return VersionedHead(head=load(found.value, Head), version=found.version)


def _apply_chain(
    configuration: Configuration, head: Head, edits: list[Edit]
) -> Configuration | None:
    chain = [
        edit
        for edit in chain_from(head.edit_id, edits)
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
