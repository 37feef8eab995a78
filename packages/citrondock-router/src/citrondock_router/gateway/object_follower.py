"""Follows one kind of objects in a store: lists them, then watches for changes."""

import asyncio
import math
import random
from abc import ABC, abstractmethod
from collections import deque

import attrs

from citrondock_core.backoff import backoff_s
from citrondock_core.routing.store_changes import StoreChanges
from citrondock_core.routing.store_position import StorePosition
from citrondock_core.routing.store_watch_plan import LONG_WAIT_S, StoreWatchPlan
from citrondock_router.gateway.store_era import StoreEra
from citrondock_router.gateway.watched_store import (
    HistoryGoneError,
    ObjectSink,
    Snapshot,
    WatchedStore,
    WatchedStoreError,
)
from citrondock_router.log import log_event


@attrs.frozen(kw_only=True)
class FollowerOptions:
    """Timing of a follower.

    Parameters
    ----------
    wait_s : float
        Time in seconds that a watch waits for a change, without a plan. A dead
        connection is noticed after it.
    settle_s : float
        Pause after a change, in seconds, so that the next response brings related
        changes together. Each of them would otherwise end the watches of the whole
        fleet.
    min_backoff_s, max_backoff_s : float
        Longest pause after the first failure and after any failure, in seconds.
    """

    wait_s: float = 3.0
    settle_s: float = 0.3
    min_backoff_s: float = 0.1
    max_backoff_s: float = 0.5


MAX_PENDING_CHANGES = 16
"""Relayed changes that are kept while a follower cannot apply them yet."""


class ChangeListener(ABC):
    """Is told of changes that a follower has watched in the store itself."""

    @abstractmethod
    def changes_watched(
        self, kind: str, changes: Snapshot, *, after_revision: int
    ) -> None:
        """Handle all changes of a kind after a revision."""


@attrs.define
class _Watch:
    """A call of the store that waits for changes, or the wait for a relay of them."""

    call: "asyncio.Future[Snapshot]"
    wait_s: float
    asked_at_s: float
    is_replaced: bool = False
    is_for_relay: bool = False


class ObjectFollower:
    """Passes the objects of one kind, and their changes, to a sink.

    It lists the kind, then watches it from the revision of the listing, and lists again
    after gaps in the history, outages of the store and its return from a copy.

    Parameters
    ----------
    store : WatchedStore
        Store that holds the objects.
    kind : str
        Kind of objects to follow.
    sink : ObjectSink
        Receives the objects, their changes and outages of the store.
    options : FollowerOptions
        Timing.
    rng : random.Random
        Source of the jitter that spreads the retries of many routers.
    plan : StoreWatchPlan, optional
        Decides how long watches wait.
    era : StoreEra, optional
        Latest era of the store, shared by all that call it.
    """

    def __init__(
        self,
        store: WatchedStore,
        kind: str,
        sink: ObjectSink,
        *,
        options: FollowerOptions | None = None,
        rng: random.Random | None = None,
        plan: StoreWatchPlan | None = None,
        era: StoreEra | None = None,
    ) -> None:
        self._store = store
        self._kind = kind
        self._sink = sink
        self._options = options or FollowerOptions()
        self._rng = rng or random.Random()
        self._plan = plan
        self._era = era or StoreEra()
        self._era.on_change(self._handle_new_era)
        self._watch: _Watch | None = None
        self.listener: ChangeListener | None = None
        # Relayed changes with the revision that they continue.
        self._pending: deque[tuple[int, Snapshot]] = deque(maxlen=MAX_PENDING_CHANGES)
        # Whether the next watch has to be one of the store.
        self._must_ask = False
        # Revision to watch from; None if the kind has to be listed.
        self._revision: int | None = None
        # Position of the last answer that was passed on.
        self._position: StorePosition | None = None
        self._failure_count = 0
        self._answered_at_s: float | None = None

    @property
    def kind(self) -> str:
        """Kind of objects that is followed."""
        return self._kind

    def age_s(self, *, now_s: float) -> float:
        """Return the seconds since the store last answered; infinity if never."""
        if self._answered_at_s is None:
            return math.inf
        return now_s - self._answered_at_s

    def check_watch(self, *, now_s: float) -> None:
        """Replace the current watch if the plan says so."""
        watch = self._watch
        if watch is None or self._plan is None or watch.is_replaced:
            return
        has_no_relay = watch.is_for_relay and not self._plan.may_wait_for_relay(
            self._kind, now_s=now_s
        )
        if has_no_relay or self._plan.must_ask_now(
            self._kind, wait_s=watch.wait_s, asked_at_s=watch.asked_at_s, now_s=now_s
        ):
            log_event("watch_replaced", kind=self._kind, revision=self._revision)
            self._must_ask = True
            self._replace_watch()

    def may_continue(self, changes: StoreChanges) -> bool:
        """Return whether relayed changes bring news of the era that is followed."""
        position = self._position
        if self._revision is None or position is None:
            return False
        return changes.era == position.era and changes.revision > self._revision

    def continue_with(self, changes: Snapshot, *, after_revision: int) -> None:
        """Apply relayed changes once they continue what was applied before."""
        self._pending.append((after_revision, changes))
        watch = self._watch
        if watch is not None and watch.is_for_relay and not watch.call.done():
            applicable = self._next_pending()
            if applicable is not None:
                watch.call.set_result(applicable)

    def _next_pending(self) -> Snapshot | None:
        """Return relayed changes that continue the last revision; drop old ones."""
        revision, position = self._revision, self._position
        if revision is None or position is None:
            return None
        news = [
            (after_revision, changes)
            for after_revision, changes in self._pending
            if changes.era == position.era and changes.revision > revision
        ]
        self._pending.clear()
        self._pending.extend(news)
        for after_revision, changes in news:
            if after_revision <= revision:
                objects = [item for item in changes.objects if item.revision > revision]
                return attrs.evolve(changes, objects=objects)
        return None

    def store_returned_for_others(self) -> None:
        """Handle the end of an outage that only other routers noticed."""
        if self._failure_count == 0:
            self._sink.store_returned()

    async def run(self) -> None:
        """Follow until cancelled; an unexpected error leads to a new listing."""
        self._revision = None
        while True:
            try:
                await self._step()
            except HistoryGoneError as error:
                log_event("history_gone", kind=self._kind, detail=str(error))
                self._revision = None
            except WatchedStoreError as error:
                await self._back_off(error)

    async def _step(self) -> None:
        pause_s = 0.0
        asked_at_s = asyncio.get_running_loop().time()
        after_revision = self._revision
        if after_revision is None:
            snapshot = await self._store.list(self._kind)
            self._check_era(snapshot)
            self._handle_return(snapshot)
            self._sink.listed(snapshot)
        else:
            if self._may_wait_for_relay(asked_at_s):
                watched = await self._wait_for_relay(asked_at_s)
                asked_at_s = -math.inf
            else:
                watched = await self._watch_from(after_revision)
                self._must_ask = False
            if watched is None:
                return
            snapshot = watched
            self._check_era(snapshot)
            if self._revision is None:
                # What the answer leaves out may have changed in the new era, too.
                return
            if snapshot.objects:
                self._explain_deletions(snapshot)
                self._sink.changed(snapshot)
                pause_s = self._options.settle_s
                if self.listener is not None and asked_at_s > -math.inf:
                    self.listener.changes_watched(
                        self._kind, snapshot, after_revision=after_revision
                    )
        self._revision = snapshot.revision
        self._position = snapshot.position
        self._answered_at_s = asyncio.get_running_loop().time()
        if self._plan is not None:
            self._plan.record_seen(
                self._kind,
                position=snapshot.position,
                changed_revision=snapshot.changed_revision,
                asked_at_s=asked_at_s,
                now_s=self._answered_at_s,
            )
        if pause_s:
            await asyncio.sleep(pause_s)

    def _may_wait_for_relay(self, now_s: float) -> bool:
        if self._plan is None or self._must_ask:
            return False
        return self._plan.may_wait_for_relay(self._kind, now_s=now_s)

    async def _wait_for_relay(self, now_s: float) -> Snapshot | None:
        """Wait for relayed changes; return None if the store has to be asked."""
        pending = self._next_pending()
        if pending is not None:
            return pending
        call: asyncio.Future[Snapshot] = asyncio.get_running_loop().create_future()
        watch = self._watch = _Watch(
            call, wait_s=LONG_WAIT_S, asked_at_s=now_s, is_for_relay=True
        )
        try:
            async with asyncio.timeout(LONG_WAIT_S):
                return await call
        except TimeoutError:
            self._must_ask = True
            return None
        except asyncio.CancelledError:
            if not watch.is_replaced:
                raise
            return None
        finally:
            self._watch = None

    async def _watch_from(self, revision: int) -> Snapshot | None:
        """Watch for changes; return None if the watch was replaced meanwhile."""
        now_s = asyncio.get_running_loop().time()
        wait_s = self._options.wait_s
        if self._plan is not None:
            wait_s = self._plan.wait_s(self._kind, now_s=now_s)
        call = asyncio.ensure_future(
            self._store.watch(self._kind, after_revision=revision, wait_s=wait_s)
        )
        watch = self._watch = _Watch(call, wait_s=wait_s, asked_at_s=now_s)
        try:
            return await call
        except asyncio.CancelledError:
            if not watch.is_replaced:
                call.cancel()
                raise
            return None
        finally:
            self._watch = None

    def _check_era(self, snapshot: Snapshot) -> None:
        """Report the era of an answer.

        Raises
        ------
        WatchedStoreError
            If a later era has begun meanwhile.
        """
        self._era.observe(snapshot.era)
        if snapshot.era < self._era.latest:
            raise WatchedStoreError(
                f"answer is of era {snapshot.era}, before era {self._era.latest}",
                step=self._kind,
            )

    def _handle_new_era(self) -> None:
        """List again, as revisions of the former era mean nothing in the new one."""
        self._revision = None
        self._replace_watch()

    def _replace_watch(self) -> None:
        watch = self._watch
        if watch is not None:
            watch.is_replaced = True
            watch.call.cancel()

    def _handle_return(self, listing: Snapshot) -> None:
        """Tell the sink if the store was lost or restored before a listing."""
        before = self._position
        is_restored = before is not None and before.era != listing.era
        if before is not None and is_restored:
            log_event(
                "store_restored",
                level="WARNING",
                kind=self._kind,
                era=listing.era,
                era_before=before.era,
                revision=listing.revision,
                revision_before=before.revision,
            )
        if self._failure_count:
            log_event("store_returned", kind=self._kind, failures=self._failure_count)
        if self._failure_count or is_restored:
            self._failure_count = 0
            self._sink.store_returned()

    def _explain_deletions(self, changes: Snapshot) -> None:
        """Tell the sink of an outage that only others noticed before deletions."""
        deleted_count = sum(item.is_deleted for item in changes.objects)
        if self._plan is None or not deleted_count:
            return
        if self._plan.is_outage_known(now_s=asyncio.get_running_loop().time()):
            log_event("store_returned", kind=self._kind, deleted=deleted_count)
            self._sink.store_returned()

    async def _back_off(self, error: WatchedStoreError) -> None:
        if self._failure_count == 0:
            log_event("store_lost", level="WARNING", kind=self._kind, detail=str(error))
            self._sink.store_lost()
        self._revision = None
        if self._plan is not None:
            self._plan.record_lost(self._kind)
        pause_s = backoff_s(
            self._failure_count,
            min_s=self._options.min_backoff_s,
            max_s=self._options.max_backoff_s,
            rng=self._rng,
        )
        self._failure_count += 1
        await asyncio.sleep(pause_s)
