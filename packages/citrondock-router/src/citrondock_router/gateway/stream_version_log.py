"""Keeps in the store which software version began each stream, and reads it there.

The store outlives all routers: after a loss of power it is the only one who knows. Only
streams that did not begin at the base version of their service are written, in batches
and before their first event is passed on. The store is read for each stream that a
client takes up, once for all that wait, as nothing else shows that there is no record.
"""

import asyncio
import math
import time
from collections.abc import Mapping
from typing import Any

from citrondock_core.routing.peer_table import PeerTable
from citrondock_core.routing.stream_versions import (
    MAX_BASE_AGE_S,
    MAX_LIFETIME_S,
    BaseState,
    BaseVersion,
    StreamRecord,
    StreamVersions,
)
from citrondock_router.gateway.store_era import StoreEra
from citrondock_router.gateway.stream_record_writer import (
    SEGMENT_PREFIX,
    STREAM_VERSION_KIND,
    StreamRecordWriter,
    retrieve_error,
)
from citrondock_router.gateway.watched_store import (
    HistoryGoneError,
    Snapshot,
    WatchedObject,
    WatchedStoreError,
    WritableStore,
)
from citrondock_router.log import log_event

HOUSEKEEPING_S = 0.2
"""Period in which base versions are checked and old records are dropped."""

RETRY_S = 1.0
"""Pause of these checks after a call of the store that failed."""

KEEPER_DELAY_S = 2.0
"""Time from the start until a router may act as keeper; it knows its peers by then."""

CLOCK_MARGIN_S = 10.0
"""How far the times of day of two routers may be apart."""

MAX_CATCH_UP_S = 2.0
"""Time since the last read up to which only changes are read. They have each batch of
all routers; after a longer time a listing is shorter."""

UNREAD_PAUSE_S = 0.5
"""Time after a failed read in which no other one is begun for streams taken up."""

READ_WAIT_S = 0.001
"""Wait of a watch that only brings what has changed until now."""

_BASE_PREFIX = "base."
_MS_PER_S = 1000


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
        self._writer: StreamRecordWriter | None = None
        self._read_lock = asyncio.Lock()
        self._next_read: asyncio.Task[None] | None = None
        self._revision: int | None = None
        self._read_at_s = -math.inf
        self._unread_until_s = -math.inf
        self._era = 0
        self._base_revisions: dict[str, int] = {}
        # When the objects with records of other routers may be deleted.
        self._deletable_at_s: dict[str, float] = {}

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
        self._writer = StreamRecordWriter(
            store,
            self.versions,
            self._peers,
            writer_name=self._writer_name,
            writes_per_s=writes_per_s,
            loop=self._loop,
        )
        if era is not None:
            era.on_change(lambda: self._handle_new_era(era.latest))

    @property
    def can_record(self) -> bool:
        """Whether streams that have to be recorded may begin."""
        return self._writer is not None and self._writer.can_record

    async def find_version(self, service: str, request_id: str | None) -> str | None:
        """Return the version that began a stream; None if it cannot be known.

        A record was written before the stream's first event was passed on, so a read
        that begins now has it, whatever this router knew before.
        """
        if request_id is None or self._loop.time() < self._unread_until_s:
            return None
        if not await self._read():
            self._unread_until_s = self._loop.time() + UNREAD_PAUSE_S
            return None
        recorded = self.versions.recorded_version(request_id)
        version = recorded or self.versions.unrecorded_version(
            service, now_s=self._loop.time()
        )
        log_event(
            "stream_version_found",
            begun_by=request_id,
            service=service,
            version=version or "",
            source="base" if recorded is None else "record",
            revision=self._revision,
            era=self._era,
        )
        return version

    def record(self, version: str, request_id: str) -> "asyncio.Future[None]":
        """Record the version at which a stream is about to begin.

        See `StreamRecordWriter.record`; to be called only if `can_record`.
        """
        assert self._writer is not None
        return self._writer.record(version, request_id)

    async def run(self) -> None:
        """Keep base versions up to date, and drop old records, until cancelled."""
        keeps_from_s = self._loop.time() + KEEPER_DELAY_S
        # The keeper has written the base versions by then, but for those of services
        # that began with several versions.
        look_for_bases_at_s = keeps_from_s + KEEPER_DELAY_S
        while True:
            await asyncio.sleep(HOUSEKEEPING_S)
            if (
                self._store is None
                or self._writer is None
                or not self.versions.services()
            ):
                continue
            now_s = self._loop.time()
            self.versions.expire(now_s=now_s)
            must_read = self.versions.must_read
            if now_s >= look_for_bases_at_s and self.versions.lacks_base:
                must_read = True
                look_for_bases_at_s = now_s + KEEPER_DELAY_S
            if self.versions.knows_several:
                must_read |= now_s >= self._read_at_s + MAX_BASE_AGE_S
            try:
                await self._writer.maintain()
                if must_read and not await self._read():
                    await asyncio.sleep(RETRY_S)
                elif now_s >= keeps_from_s:
                    await self._update_bases(self._store)
                    await self._delete_left_behind(self._store)
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
            self._next_read.add_done_callback(retrieve_error)
        try:
            await asyncio.shield(self._next_read)
        except WatchedStoreError as error:
            log_event("stream_versions_unread", level="WARNING", detail=str(error))
            return False
        return True

    async def _read_in_turn(self, store: WritableStore) -> None:
        async with self._read_lock:
            self._next_read = None
            began_s = self._loop.time()
            is_recent = began_s - self._read_at_s < MAX_CATCH_UP_S
            if not is_recent or not await self._read_changes(store):
                snapshot = await store.list(STREAM_VERSION_KIND)
                self._base_revisions.clear()
                self._deletable_at_s.clear()
                self._apply_snapshot(snapshot)
                self.versions.keep_bases(self._base_revisions.keys())
            self._read_at_s = began_s
            self.versions.is_read = True

    async def _read_changes(self, store: WritableStore) -> bool:
        """Read what has changed since the last read; return False if it cannot be."""
        while self._revision is not None:
            try:
                snapshot = await store.watch(
                    STREAM_VERSION_KIND,
                    after_revision=self._revision,
                    wait_s=READ_WAIT_S,
                )
            except HistoryGoneError:
                return False
            if snapshot.era != self._era:
                return False
            self._apply_snapshot(snapshot)
            # One answer may have only some of the changes.
            if not snapshot.objects:
                return True
        return False

    def _apply_snapshot(self, snapshot: Snapshot) -> None:
        self.versions.era = max(self.versions.era, snapshot.era)
        for item in snapshot.objects:
            self._apply(item)
        self._revision, self._era = snapshot.revision, snapshot.era

    def _apply(self, item: WatchedObject) -> None:
        if item.is_deleted:
            self._deletable_at_s.pop(item.name, None)
            return
        try:
            value = item.value or {}
            if item.name.startswith(_BASE_PREFIX):
                self._apply_base(item, value)
            elif item.name.startswith(SEGMENT_PREFIX):
                self._apply_segment(item.name, value)
        except (KeyError, TypeError, ValueError) as error:
            problem = repr(error)
            log_event("stream_versions_unreadable", object=item.name, detail=problem)

    def _apply_base(self, item: WatchedObject, value: Mapping[str, Any]) -> None:
        service = str(value["service"])
        # Routers of an earlier release name no state and no era.
        state = BaseState(value.get("state", BaseState.SETTLED.value))
        era = int(value.get("era", self.versions.era))
        base = BaseVersion(version=str(value["version"]), state=state, era=era)
        self._base_revisions[service] = item.revision
        self.versions.set_base(service, base, now_s=self._loop.time())

    def _apply_segment(self, name: str, value: Mapping[str, Any]) -> None:
        left_s = float(value["expiresAtMs"]) / _MS_PER_S - time.time()
        left_s = min(left_s + CLOCK_MARGIN_S, MAX_LIFETIME_S + CLOCK_MARGIN_S)
        self._deletable_at_s[name] = self._loop.time() + left_s
        if left_s <= 0:
            return
        number = int(value["number"])
        records = [
            StreamRecord(key=str(key), version=str(version), order=(number, index))
            for index, (key, version) in enumerate(value["records"])
        ]
        self.versions.add(records, expires_at_s=self._loop.time() + left_s)

    # Base versions.

    async def _update_bases(self, store: WritableStore) -> None:
        for service in self.versions.services():
            if not self._is_keeper(service):
                continue
            before = self.versions.base(service)
            base = self.versions.next_base(service, now_s=self._loop.time())
            if base is None:
                continue
            value = {
                "service": service,
                "version": base.version,
                "state": base.state.value,
                "era": base.era,
            }
            kind, name = STREAM_VERSION_KIND, _BASE_PREFIX + service
            revision = self._base_revisions.get(service)
            if revision is None:
                written = await store.create(kind, name, value)
            else:
                written = await store.replace(kind, name, value, revision=revision)
            log_event(
                "stream_base_changed",
                service=service,
                version=base.version,
                state=base.state.value,
                era=base.era,
                before=before.version if before is not None else "",
                done=written is not None,
            )
            await self._read()

    async def _delete_left_behind(self, store: WritableStore) -> None:
        """Delete the records that routers which ended have left in the store."""
        if not any(self._is_keeper(service) for service in self.versions.services()):
            return
        now_s = self._loop.time()
        if all(now_s < at_s for at_s in self._deletable_at_s.values()):
            return
        # Routers that run have deleted theirs.
        if not await self._read():
            return
        for name, at_s in list(self._deletable_at_s.items()):
            if now_s >= at_s:
                await store.delete(STREAM_VERSION_KIND, name)
                self._deletable_at_s.pop(name, None)

    def _is_keeper(self, service: str) -> bool:
        """Return whether this router changes the base version of a service."""
        key, now_s = f"stream-versions/{service}", self._loop.time()
        keeper = self._peers.home_router_of(key, "", now_s=now_s)
        return keeper == self._peers.vm_name

    def _handle_new_era(self, era: int) -> None:
        """Read and write everything again, as the store is back from a copy."""
        self._revision = None
        self.versions.is_read = False
        self.versions.era = era
        if self._writer is None:
            return
        # Others cannot know that a stream without a record had none before.
        is_mixed = self.versions.was_mixed(now_s=self._loop.time())
        self._writer.write_again(self.versions.remembered() if is_mixed else [])
