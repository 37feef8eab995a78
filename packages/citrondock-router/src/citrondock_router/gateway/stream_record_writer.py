"""Writes to the store which software version began each stream, in batches."""

import asyncio
import time
from collections.abc import Collection

import attrs

from citrondock_core.routing.peer_table import PeerTable
from citrondock_core.routing.stream_versions import (
    StreamRecord,
    StreamVersions,
    stream_key,
)
from citrondock_router.gateway.watched_store import WatchedStoreError, WritableStore
from citrondock_router.log import log_event

STREAM_VERSION_KIND = "stream-versions"
SEGMENT_PREFIX = "streams."

SEGMENT_S = 5.0
"""Time whose records share one object, which grows with each batch."""

WRITE_SHARE = 0.2
"""Share of the store's write calls that all routers together use for records."""

MIN_WRITE_PERIOD_S = 0.05
"""A router writes records at most this often."""

FAILED_PAUSE_S = 0.5
"""Time after a failed write in which no stream is begun that has to be recorded."""

_MS_PER_S = 1000


class StreamNotRecordedError(ConnectionError):
    """A stream may not begin, as its version could not be written to the store."""


@attrs.define(eq=False)
class _Segment:
    """Records of some seconds, which are one object in the store.

    Each write has the condition that the object is as the write before left it, so that
    one whose answer was lost cannot undo a later one. After such a write the object's
    revision is unknown and the segment gets no more records.
    """

    number: int
    name: str
    ends_at_s: float
    expires_at_s: float
    records: list[tuple[str, str]] = attrs.field(factory=list)
    revision: int | None = None
    is_closed: bool = False


class StreamRecordWriter:
    """Writes records of streams, those that come during a write together.

    Parameters
    ----------
    store : WritableStore
        Store that all routers share.
    versions : StreamVersions
        Gets the records, too.
    peers : PeerTable
        Other routers, which share the store's write calls.
    writer_name : str
        Name of this incarnation of the router; its objects bear it.
    writes_per_s : float or None
        Write calls that the store takes from all routers, if that is known.
    loop : asyncio.AbstractEventLoop
        Event loop whose clock all times are on.
    """

    def __init__(
        self,
        store: WritableStore,
        versions: StreamVersions,
        peers: PeerTable,
        *,
        writer_name: str,
        writes_per_s: float | None,
        loop: asyncio.AbstractEventLoop,
    ) -> None:
        self._store = store
        self._versions = versions
        self._peers = peers
        self._writer_name = writer_name
        self._writes_per_s = writes_per_s
        self._loop = loop
        self._pending: list[tuple[str, str, asyncio.Future[None]]] = []
        self._task: asyncio.Task[None] | None = None
        self._write_at_s = 0.0
        self._failed_until_s = 0.0
        self._segments: list[_Segment] = []
        self._lost_segments: list[_Segment] = []
        self._segment_count = 0

    @property
    def can_record(self) -> bool:
        """Whether the last write did not fail just now."""
        return self._loop.time() >= self._failed_until_s

    def record(self, version: str, request_id: str) -> "asyncio.Future[None]":
        """Record the version at which a stream is about to begin.

        Returns
        -------
        asyncio.Future
            Done once the store has it; `StreamNotRecordedError` if it may not.
        """
        written: asyncio.Future[None] = self._loop.create_future()
        # Nobody waits for it any more if the client has left.
        written.add_done_callback(retrieve_error)
        if not self.can_record:
            written.set_exception(StreamNotRecordedError("records cannot be written"))
            return written
        self._pending.append((stream_key(request_id), version, written))
        if self._task is None:
            self._task = self._loop.create_task(self._write_pending())
        return written

    async def maintain(self) -> None:
        """Write lost segments again, and delete those that nobody needs any more.

        Raises
        ------
        WatchedStoreError
            If there is no usable answer.
        """
        while self._lost_segments:
            lost = self._lost_segments.pop(0)
            try:
                await self._write_segment(self._copy_of(lost))
            except WatchedStoreError:
                self._lost_segments.append(lost)
                raise
        now_s = self._loop.time()
        for segment in list(self._segments):
            if now_s >= segment.expires_at_s:
                await self._store.delete(STREAM_VERSION_KIND, segment.name)
                self._segments.remove(segment)

    def write_again(self, further: Collection[tuple[str, str]] = ()) -> None:
        """Write all records once more, as the store may have lost them.

        Parameters
        ----------
        further : collection of (str, str)
            Keys and versions of streams that were not recorded before.
        """
        for segment in self._segments:
            segment.is_closed = True
        self._lost_segments = list(self._segments)
        if further:
            now_s = self._loop.time()
            self._lost_segments.append(
                _Segment(
                    number=0,
                    name="",
                    ends_at_s=now_s,
                    expires_at_s=now_s + self._versions.lifetime_s,
                    records=list(further),
                    is_closed=True,
                )
            )

    def _copy_of(self, segment: _Segment) -> _Segment:
        """Return a new segment with the records of another one."""
        copy = self._new_segment()
        copy.is_closed = True
        copy.expires_at_s = segment.expires_at_s
        copy.records = segment.records
        return copy

    @property
    def _write_period_s(self) -> float:
        if self._writes_per_s is None:
            return MIN_WRITE_PERIOD_S
        shared_per_s = WRITE_SHARE * self._writes_per_s
        return max((len(self._peers) + 1) / shared_per_s, MIN_WRITE_PERIOD_S)

    async def _write_pending(self) -> None:
        try:
            while self._pending:
                pause_s = self._write_at_s - self._loop.time()
                if pause_s > 0:
                    await asyncio.sleep(pause_s)
                self._write_at_s = self._loop.time() + self._write_period_s
                await self._write_batch()
        finally:
            self._task = None

    async def _write_batch(self) -> None:
        batch, self._pending = self._pending, []
        segment = self._current_segment()
        first = len(segment.records)
        segment.records += [(key, version) for key, version, _ in batch]
        segment.expires_at_s = max(
            segment.expires_at_s, self._loop.time() + self._versions.lifetime_s
        )
        self._versions.add(
            [
                StreamRecord(key=key, version=version, order=(segment.number, index))
                for index, (key, version, _) in enumerate(batch, start=first)
            ],
            expires_at_s=segment.expires_at_s,
        )
        reason = "write was not finished"
        is_written = False
        try:
            await self._write_segment(segment)
            is_written = True
        except WatchedStoreError as error:
            reason = str(error)
            self._failed_until_s = self._loop.time() + FAILED_PAUSE_S
            log_event("streams_not_recorded", level="WARNING", detail=reason)
        finally:
            for _, _, written in batch:
                if written.done():
                    continue
                if is_written:
                    written.set_result(None)
                else:
                    written.set_exception(StreamNotRecordedError(reason))

    async def _write_segment(self, segment: _Segment) -> None:
        left_s = segment.expires_at_s - self._loop.time()
        value = {
            "number": segment.number,
            "expiresAtMs": int((time.time() + left_s) * _MS_PER_S),
            "records": segment.records,
        }
        kind, name, before = STREAM_VERSION_KIND, segment.name, segment.revision
        was_closed, segment.is_closed = segment.is_closed, True
        if before is None:
            segment.revision = await self._store.create(kind, name, value)
        else:
            segment.revision = await self._store.replace(
                kind, name, value, revision=before
            )
        if segment.revision is None:
            # Only this router writes the object, so the store has lost it.
            if segment not in self._lost_segments:
                self._lost_segments.append(segment)
            raise WatchedStoreError(
                f"object was not at revision {before}", step=f"write {kind}/{name}"
            )
        segment.is_closed = was_closed

    def _current_segment(self) -> _Segment:
        last = self._segments[-1] if self._segments else None
        if last is None or last.is_closed or self._loop.time() >= last.ends_at_s:
            return self._new_segment()
        return last

    def _new_segment(self) -> _Segment:
        self._segment_count += 1
        ends_at_s = self._loop.time() + SEGMENT_S
        segment = _Segment(
            number=self._segment_count,
            name=f"{SEGMENT_PREFIX}{self._writer_name}.{self._segment_count}",
            ends_at_s=ends_at_s,
            expires_at_s=ends_at_s + self._versions.lifetime_s,
        )
        self._segments.append(segment)
        return segment


def retrieve_error(done: "asyncio.Future[None]") -> None:
    """Mark the error of a future as seen; those that wait for it handle it."""
    if not done.cancelled():
        done.exception()
