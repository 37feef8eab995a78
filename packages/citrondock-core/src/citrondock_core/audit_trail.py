"""Writes the audit trail, buffering records while the store is unavailable."""

import threading
import time
from collections import deque
from collections.abc import Callable

import attrs
from attrs.validators import ge, gt, le

from citrondock_core.audit_record import AuditKind, AuditRecord
from citrondock_core.audit_segment import (
    AUDIT_PREFIX,
    MAX_SEGMENT_AGE_S,
    AuditSegment,
    encode_record,
    opened_at_unix_s,
)
from citrondock_core.object_store import (
    MAX_VALUE_BYTES,
    AnswerLostError,
    ObjectNotFoundError,
    ObjectStore,
    ObjectStoreError,
    VersionConflictError,
)

MAX_DELETIONS_PER_SEGMENT = 5


@attrs.frozen(kw_only=True)
class AuditOptions:
    """Limits of the audit trail.

    Parameters
    ----------
    max_segment_bytes : int
        Size from which a new segment is started.
    max_buffered_bytes : int
        Most bytes buffered in memory while the store is unavailable.
    retention_s : float
        Age in seconds beyond which segments are deleted.
    store_timeout_s : float
        Timeout of one call to the store.
    """

    max_segment_bytes: int = attrs.field(
        default=200_000, validator=[ge(1000), le(MAX_VALUE_BYTES)]
    )
    max_buffered_bytes: int = attrs.field(default=1_000_000, validator=ge(1000))
    retention_s: float = attrs.field(default=90 * 86_400.0, validator=gt(0))
    store_timeout_s: float = attrs.field(default=2.0, validator=gt(0))


@attrs.define(kw_only=True)
class _OpenSegment:
    segment: AuditSegment
    value: bytes = b""
    version: int = 0


class AuditTrail:
    """Buffers audit records and appends them to this router's own segments.

    `record` never waits for the store and may be called from any thread. `write` is
    called periodically by a single thread.

    Parameters
    ----------
    store : ObjectStore
        Store that holds the segments.
    vm_name, incarnation : str, int
        VM and incarnation of this router.
    options : AuditOptions or None
        Limits.
    wall_clock : callable
        Returns the Unix time in seconds.
    """

    def __init__(
        self,
        store: ObjectStore,
        vm_name: str,
        incarnation: int,
        options: AuditOptions | None = None,
        *,
        wall_clock: Callable[[], float] = time.time,
    ) -> None:
        self._store = store
        self._vm_name = vm_name
        self._incarnation = incarnation
        self._options = options or AuditOptions()
        self._wall_clock = wall_clock
        self._lock = threading.Lock()
        self._buffer: deque[bytes] = deque()
        self._buffered_bytes = 0
        self._dropped_count = 0
        self._total_dropped_count = 0
        self._segment_count = 0
        self._open_segment: _OpenSegment | None = None

    @property
    def dropped_count(self) -> int:
        """Number of records dropped since the start because the buffer was full."""
        return self._total_dropped_count

    def record(self, record: AuditRecord) -> None:
        """Buffer a record for the next `write`.

        If the buffer is full, the record is dropped and counted.
        """
        line = encode_record(record)
        with self._lock:
            if self._buffered_bytes + len(line) > self._options.max_buffered_bytes:
                self._dropped_count += 1
                self._total_dropped_count += 1
                return
            self._buffer.append(line)
            self._buffered_bytes += len(line)

    def write(self) -> bool:
        """Write all buffered records; return False if the store could not take them."""
        try:
            while self._has_unwritten():
                self._write_batch()
        except ObjectStoreError:
            return False
        return True

    def _has_unwritten(self) -> bool:
        with self._lock:
            return bool(self._buffer) or self._dropped_count > 0

    def _write_batch(self) -> None:
        opened = self._segment_to_write()
        lines, dropped = self._next_lines(len(opened.value))
        value = opened.value + b"".join(lines)
        if dropped:
            value += encode_record(self._dropped_record(dropped))
        opened.version = self._put(opened, value)
        opened.value = value
        with self._lock:
            for line in lines:
                self._buffer.popleft()
                self._buffered_bytes -= len(line)
            self._dropped_count -= dropped

    def _next_lines(self, used_bytes: int) -> tuple[list[bytes], int]:
        free_bytes = self._options.max_segment_bytes - used_bytes
        lines: list[bytes] = []
        with self._lock:
            for line in self._buffer:
                if lines and len(line) > free_bytes:
                    break
                lines.append(line)
                free_bytes -= len(line)
            dropped = self._dropped_count if len(lines) == len(self._buffer) else 0
        return lines, dropped

    def _segment_to_write(self) -> _OpenSegment:
        now_unix_s = self._wall_clock()
        opened = self._open_segment
        if opened is not None:
            age_s = now_unix_s - opened.segment.opened_at_unix_s
            full = len(opened.value) >= self._options.max_segment_bytes
            if not full and age_s < MAX_SEGMENT_AGE_S:
                return opened
        self._delete_expired(now_unix_s)
        self._open_segment = _OpenSegment(
            segment=AuditSegment(
                opened_at_unix_s=now_unix_s,
                vm_name=self._vm_name,
                incarnation=self._incarnation,
                number=self._segment_count,
            )
        )
        self._segment_count += 1
        return self._open_segment

    def _put(self, opened: _OpenSegment, value: bytes) -> int:
        key, timeout_s = opened.segment.key, self._options.store_timeout_s
        try:
            if opened.version == 0:
                return self._store.create(key, value, timeout_s=timeout_s)
            return self._store.update(
                key, value, if_version=opened.version, timeout_s=timeout_s
            )
        except (AnswerLostError, VersionConflictError):
            return self._read_back(opened, value)

    def _read_back(self, opened: _OpenSegment, value: bytes) -> int:
        """Check whether a write with a lost answer took effect; else write again.

        Returns the version of the segment's object with the new value.
        """
        key, timeout_s = opened.segment.key, self._options.store_timeout_s
        try:
            found = self._store.get(key, timeout_s=timeout_s)
        except ObjectNotFoundError:
            return self._store.create(key, value, timeout_s=timeout_s)
        opened.version = found.version
        if found.value == value:
            return found.version
        return self._store.update(
            key, value, if_version=found.version, timeout_s=timeout_s
        )

    def _dropped_record(self, count: int) -> AuditRecord:
        return AuditRecord(
            at_unix_s=self._wall_clock(),
            kind=AuditKind.DROPPED,
            who=self._vm_name,
            what=f"{count} records were dropped",
            why="the store was out and the buffer was full",
            subject=self._vm_name,
            step="audit",
        )

    def _delete_expired(self, now_unix_s: float) -> None:
        oldest = self._store.list(
            AUDIT_PREFIX,
            limit=MAX_DELETIONS_PER_SEGMENT,
            timeout_s=self._options.store_timeout_s,
        )
        for stored in oldest:
            age_s = now_unix_s - opened_at_unix_s(stored.key)
            if age_s <= self._options.retention_s:
                return
            self._delete(stored.key, stored.version)

    def _delete(self, key: str, version: int) -> None:
        try:
            self._store.delete(
                key, if_version=version, timeout_s=self._options.store_timeout_s
            )
        except (ObjectNotFoundError, VersionConflictError):
            return
