"""Keeps in the store which software version began each stream, and reads it there.

The store outlives all routers: after a loss of power it is the only one who knows. Only
streams that did not begin at the base version of their service are written, in batches
and before their first event is passed on; the store is read only for streams that
clients take up while a service has, or lately had, several versions.
"""

import asyncio
import time
from collections.abc import Mapping
from typing import Any

import attrs

from citrondock_core.routing.peer_table import PeerTable
from citrondock_core.routing.stream_versions import (
    MAX_LIFETIME_S,
    StreamRecord,
    StreamVersions,
    stream_key,
)
from citrondock_router.gateway.store_era import StoreEra
from citrondock_router.gateway.watched_store import (
    HistoryGoneError,
    Snapshot,
    WatchedObject,
    WatchedStoreError,
    WritableStore,
)
from citrondock_router.log import log_event

STREAM_VERSION_KIND = "stream-versions"

HOUSEKEEPING_S = 0.2
"""Period in which base versions are checked and old records are dropped."""

RETRY_S = 1.0
"""Pause of these checks after a call of the store that failed."""

KEEPER_DELAY_S = 2.0
"""Time from the start until a router may act as keeper; it knows its peers by then."""

SEGMENT_S = 5.0
"""Time whose records share one object, which grows with each batch."""

CLOCK_MARGIN_S = 10.0
"""How far the times of day of two routers may be apart."""

WRITE_SHARE = 0.2
"""Share of the store's write calls that all routers together use for records."""

MIN_WRITE_PERIOD_S = 0.05
"""A router writes records at most this often."""

READ_WAIT_S = 0.001
"""Wait of a watch that only brings what has changed until now."""

FAILED_PAUSE_S = 0.5
"""Time after a failed write in which no stream is begun that has to be recorded."""

_BASE_PREFIX = "base."
_SEGMENT_PREFIX = "streams."
_MS_PER_S = 1000


class StreamNotRecordedError(ConnectionError):
    """A stream may not begin, as its version could not be written to the store."""


@attrs.define
class _Segment:
    """Records of some seconds, which are one object in the store."""

    number: int
    name: str
    ends_at_s: float
    expires_at_s: float
    records: list[tuple[str, str]] = attrs.field(factory=list)
    is_created: bool = False


class StreamVersionLog:
    """Records the versions of streams that clients may take up, and looks them up.

    Parameters
    ----------
    versions : StreamVersions
        What is known here.
    peers : PeerTable
        Other routers.
    writer_name : str
        Name of this incarnation of the router; its objects bear it.
    loop : asyncio.AbstractEventLoop
        Event loop whose clock all times are on.
    """

    def __init__(
        self,
        versions: StreamVersions,
        peers: PeerTable,
        *,
        writer_name: str,
        loop: asyncio.AbstractEventLoop,
    ) -> None:
        self.versions = versions
        self._peers = peers
        self._writer_name = writer_name
        self._loop = loop
        self._store: WritableStore | None = None
        self._writes_per_s: float | None = None
        self._read_lock = asyncio.Lock()
        self._next_read: asyncio.Task[None] | None = None
        self._revision: int | None = None
        self._era = 0
        self._base_revisions: dict[str, int] = {}
        self._pending: list[tuple[str, str, asyncio.Future[None]]] = []
        self._writer: asyncio.Task[None] | None = None
        self._write_at_s = 0.0
        self._failed_until_s = 0.0
        self._segments: list[_Segment] = []
        self._segment_count = 0

    def use_store(
        self,
        store: WritableStore,
        *,
        writes_per_s: float | None = None,
        era: StoreEra | None = None,
    ) -> None:
        """Keep records in a store.

        Parameters
        ----------
        store : WritableStore
            Store that all routers share.
        writes_per_s : float or None
            Write calls that it takes from all routers together, if that is known.
        era : StoreEra, optional
            Latest era of the store; a new one may lack records.
        """
        self._store = store
        self._writes_per_s = writes_per_s
        if era is not None:
            era.on_change(self._handle_new_era)

    @property
    def can_record(self) -> bool:
        """Whether streams that have to be recorded may begin."""
        return self._store is not None and self._loop.time() >= self._failed_until_s

    def known_version(self, service: str) -> str | None:
        """Return the version that began all streams of a service, if there is one."""
        if self.versions.is_mixed(service, now_s=self._loop.time()):
            return None
        return self.versions.base(service)

    async def find_version(self, service: str, request_id: str | None) -> str | None:
        """Return the version that began a stream; None if it cannot be known."""
        if request_id is None or not await self._read():
            return None
        return self.versions.recorded_version(request_id) or self.versions.base(service)

    def record(self, version: str, request_id: str) -> "asyncio.Future[None]":
        """Record the version at which a stream is about to begin.

        Returns
        -------
        asyncio.Future
            Done once the store has it; raises `StreamNotRecordedError` if it may not.
        """
        written: asyncio.Future[None] = self._loop.create_future()
        # Nobody waits for it any more if the client has left.
        written.add_done_callback(_retrieve_error)
        if not self.can_record:
            written.set_exception(StreamNotRecordedError("records cannot be written"))
            return written
        self._pending.append((stream_key(request_id), version, written))
        if self._writer is None:
            self._writer = self._loop.create_task(self._write_pending())
        return written

    async def run(self) -> None:
        """Keep base versions up to date, and drop old records, until cancelled."""
        keeps_from_s = self._loop.time() + KEEPER_DELAY_S
        while True:
            await asyncio.sleep(HOUSEKEEPING_S)
            if self._store is None or not self.versions.services():
                continue
            now_s = self._loop.time()
            self.versions.expire(now_s=now_s)
            must_read = self.versions.must_read
            if now_s >= keeps_from_s + KEEPER_DELAY_S:
                # The keeper has written all base versions by then.
                must_read = must_read or self.versions.lacks_base
            if must_read and not await self._read():
                await asyncio.sleep(RETRY_S)
                continue
            try:
                if now_s >= keeps_from_s:
                    await self._update_bases(self._store)
                await self._drop_old_segments(self._store)
            except WatchedStoreError as error:
                log_event("stream_versions_unchanged", detail=str(error))
                await asyncio.sleep(RETRY_S)

    # Reading.

    async def _read(self) -> bool:
        """Read what was written until now; return whether that succeeded.

        Calls share a read that begins after them.
        """
        if self._store is None:
            return False
        if self._next_read is None:
            self._next_read = self._loop.create_task(self._read_in_turn(self._store))
            self._next_read.add_done_callback(_retrieve_error)
        try:
            await asyncio.shield(self._next_read)
        except WatchedStoreError as error:
            log_event("stream_versions_unread", level="WARNING", detail=str(error))
            return False
        return True

    async def _read_in_turn(self, store: WritableStore) -> None:
        async with self._read_lock:
            self._next_read = None
            snapshot = await self._changes(store)
            if snapshot is None:
                snapshot = await store.list(STREAM_VERSION_KIND)
                self._base_revisions.clear()
            self._era = snapshot.era
            for item in snapshot.objects:
                self._apply(item)
            self._revision = snapshot.revision
            self.versions.is_read = True

    async def _changes(self, store: WritableStore) -> Snapshot | None:
        """Return what has changed since the last read; None if all has to be listed."""
        if self._revision is None:
            return None
        try:
            snapshot = await store.watch(
                STREAM_VERSION_KIND,
                after_revision=self._revision,
                wait_s=READ_WAIT_S,
            )
        except HistoryGoneError:
            return None
        return snapshot if snapshot.era == self._era else None

    def _apply(self, item: WatchedObject) -> None:
        if item.is_deleted:
            return
        try:
            value = item.value or {}
            if item.name.startswith(_BASE_PREFIX):
                self._apply_base(item, value)
            elif item.name.startswith(_SEGMENT_PREFIX):
                self._apply_segment(value)
        except (KeyError, TypeError, ValueError) as error:
            problem = repr(error)
            log_event("stream_versions_unreadable", object=item.name, detail=problem)

    def _apply_base(self, item: WatchedObject, value: Mapping[str, Any]) -> None:
        service, version = str(value["service"]), str(value["version"])
        self._base_revisions[service] = item.revision
        self.versions.set_base(service, version, now_s=self._loop.time())

    def _apply_segment(self, value: Mapping[str, Any]) -> None:
        left_s = float(value["expiresAtMs"]) / _MS_PER_S - time.time()
        left_s = min(left_s + CLOCK_MARGIN_S, MAX_LIFETIME_S + CLOCK_MARGIN_S)
        if left_s <= 0:
            return
        number = int(value["number"])
        records = [
            StreamRecord(key=str(key), version=str(version), order=(number, index))
            for index, (key, version) in enumerate(value["records"])
        ]
        self.versions.add(records, expires_at_s=self._loop.time() + left_s)

    # Writing.

    @property
    def _write_period_s(self) -> float:
        if self._writes_per_s is None:
            return MIN_WRITE_PERIOD_S
        shared_per_s = WRITE_SHARE * self._writes_per_s
        return max((len(self._peers) + 1) / shared_per_s, MIN_WRITE_PERIOD_S)

    async def _write_pending(self) -> None:
        assert self._store is not None
        try:
            while self._pending:
                pause_s = self._write_at_s - self._loop.time()
                if pause_s > 0:
                    await asyncio.sleep(pause_s)
                self._write_at_s = self._loop.time() + self._write_period_s
                await self._write_batch(self._store)
        finally:
            self._writer = None

    async def _write_batch(self, store: WritableStore) -> None:
        batch, self._pending = self._pending, []
        segment = self._current_segment()
        first = len(segment.records)
        segment.records += [(key, version) for key, version, _ in batch]
        segment.expires_at_s = max(
            segment.expires_at_s, self._loop.time() + self.versions.lifetime_s
        )
        self.versions.add(
            [
                StreamRecord(key=key, version=version, order=(segment.number, index))
                for index, (key, version, _) in enumerate(batch, start=first)
            ],
            expires_at_s=segment.expires_at_s,
        )
        reason = "write was not finished"
        is_written = False
        try:
            await self._write_segment(store, segment)
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

    async def _write_segment(self, store: WritableStore, segment: _Segment) -> None:
        left_s = segment.expires_at_s - self._loop.time()
        value = {
            "number": segment.number,
            "expiresAtMs": int((time.time() + left_s) * _MS_PER_S),
            "records": segment.records,
        }
        kind, name = STREAM_VERSION_KIND, segment.name
        if segment.is_created and await store.replace(kind, name, value):
            return
        # An earlier call whose answer was lost may have created it.
        await store.put(kind, name, value)
        segment.is_created = True

    def _current_segment(self) -> _Segment:
        now_s = self._loop.time()
        if self._segments and now_s < self._segments[-1].ends_at_s:
            return self._segments[-1]
        self._segment_count += 1
        ends_at_s = now_s + SEGMENT_S
        segment = _Segment(
            number=self._segment_count,
            name=f"{_SEGMENT_PREFIX}{self._writer_name}.{self._segment_count}",
            ends_at_s=ends_at_s,
            expires_at_s=ends_at_s + self.versions.lifetime_s,
        )
        self._segments.append(segment)
        return segment

    async def _drop_old_segments(self, store: WritableStore) -> None:
        now_s = self._loop.time()
        while self._segments and now_s >= self._segments[0].expires_at_s:
            await store.delete(STREAM_VERSION_KIND, self._segments[0].name)
            del self._segments[0]

    async def _update_bases(self, store: WritableStore) -> None:
        for service in self.versions.services():
            if not self._is_keeper(service):
                continue
            before = self.versions.base(service)
            version = self.versions.new_base(service, now_s=self._loop.time())
            if version is None or version == before:
                continue
            value = {"service": service, "version": version}
            kind, name = STREAM_VERSION_KIND, _BASE_PREFIX + service
            if before is None:
                is_done = await store.create(kind, name, value)
            else:
                revision = self._base_revisions.get(service)
                is_done = await store.replace(kind, name, value, revision=revision)
            log_event(
                "stream_base_changed",
                service=service,
                version=version,
                before=before or "",
                done=is_done,
            )
            await self._read()

    def _is_keeper(self, service: str) -> bool:
        """Return whether this router changes the base version of a service."""
        key, now_s = f"stream-versions/{service}", self._loop.time()
        keeper = self._peers.home_router_of(key, "", now_s=now_s)
        return keeper == self._peers.vm_name

    def _handle_new_era(self) -> None:
        """Read and write everything again, as the store is back from a copy."""
        self._revision = None
        self.versions.is_read = False
        for segment in self._segments:
            segment.is_created = False
        if self._store is not None and self._segments:
            self._loop.create_task(self._write_segments_again(self._store))

    async def _write_segments_again(self, store: WritableStore) -> None:
        try:
            for segment in list(self._segments):
                await self._write_segment(store, segment)
        except WatchedStoreError as error:
            log_event("streams_not_recorded", level="WARNING", detail=str(error))


def _retrieve_error(done: "asyncio.Future[None]") -> None:
    """Mark the error of a future as seen; those that wait for it handle it."""
    if not done.cancelled():
        done.exception()
