"""Reading the audit trail."""

from collections import deque
from collections.abc import Iterator, Sequence

from citrondock_core.audit_record import AuditKind, AuditRecord
from citrondock_core.audit_segment import (
    AUDIT_PREFIX,
    MAX_SEGMENT_AGE_S,
    decode_records,
    key_from,
)
from citrondock_core.object_store import ObjectStore

PAGE_COUNT = 20


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
    """Return the newest records that match, oldest first.

    Parameters
    ----------
    store : ObjectStore
        Where the trail is.
    since, until : float
        Unix times in seconds between which the changes were made.
    limit : int
        Most records.
    kind : AuditKind or None
        Only this kind.
    subject, who : str or None
        Only changes of this subject, or by this operator or router.

    Raises
    ------
    ObjectStoreError
        The store can't be read.
    """
    found: list[AuditRecord] = []
    for record in _records(store, since):
        in_time = record.at_unix_s >= since and (
            until is None or record.at_unix_s <= until
        )
        fits = (
            in_time
            and kind in (None, record.kind)
            and subject in (None, record.subject)
            and who in (None, record.who)
        )
        if fits:
            found.append(record)
    found.sort(key=lambda record: record.at_unix_s)
    return list(deque(found, maxlen=limit))


def _records(store: ObjectStore, since: float) -> Iterator[AuditRecord]:
    after_key = key_from(since - 2 * MAX_SEGMENT_AGE_S)
    while True:
        page = store.list(AUDIT_PREFIX, after_key=after_key, limit=PAGE_COUNT)
        for stored in page:
            yield from decode_records(stored.value)
        if len(page) < PAGE_COUNT:
            return
        after_key = page[-1].key
