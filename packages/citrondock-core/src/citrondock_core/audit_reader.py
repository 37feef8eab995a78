"""Reads the audit trail from the object store."""

from collections import deque
from collections.abc import Iterator, Sequence

from citrondock_core.audit_record import AuditKind, AuditRecord
from citrondock_core.audit_segment import (
    AUDIT_PREFIX,
    MAX_SEGMENT_AGE_S,
    decode_records,
    key_prefix_at,
)
from citrondock_core.object_store import ObjectStore

SEGMENTS_PER_PAGE = 20


def read_audit(
    store: ObjectStore,
    *,
    since: float = 0.0,
    until: float | None = None,
    limit: int = 200,
    kind: AuditKind | None = None,
    subject: str | None = None,
    who: str | None = None,
) -> Sequence[AuditRecord]:
    """Return the newest matching records of the audit trail, oldest first.

    Parameters
    ----------
    store : ObjectStore
        Store that holds the audit trail.
    since, until : float
        First and last Unix time in seconds at which the changes were made.
    limit : int
        Most records to return.
    kind : AuditKind or None
        Only records of this kind.
    subject, who : str or None
        Only changes of this subject, or made by this operator or router.

    Raises
    ------
    ObjectStoreError
        The store could not be read.
    """
    found: list[AuditRecord] = []
    for record in _read_records(store, since):
        in_time = record.at_unix_s >= since and (
            until is None or record.at_unix_s <= until
        )
        matches = (
            in_time
            and kind in (None, record.kind)
            and subject in (None, record.subject)
            and who in (None, record.who)
        )
        if matches:
            found.append(record)
    found.sort(key=lambda record: record.at_unix_s)
    return list(deque(found, maxlen=limit))


def _read_records(store: ObjectStore, since: float) -> Iterator[AuditRecord]:
    after_key = key_prefix_at(since - 2 * MAX_SEGMENT_AGE_S)
    while True:
        page = store.list(AUDIT_PREFIX, after_key=after_key, limit=SEGMENTS_PER_PAGE)
        for stored in page:
            yield from decode_records(stored.value)
        if len(page) < SEGMENTS_PER_PAGE:
            return
        after_key = page[-1].key
