"""Keeps up with one kind of objects of a store."""

import asyncio
import math
import random

import attrs

from citrondock_core.backoff import backoff_s
from citrondock_router.gateway.watched_store import (
    HistoryGoneError,
    ObjectSink,
    WatchedStore,
    WatchedStoreError,
)
from citrondock_router.log import log_event


@attrs.frozen(kw_only=True)
class FollowerOptions:
    """Times of a follower.

    Parameters
    ----------
    wait_s : float
        Time for which a watch waits; a silent connection is noticed after it.
    settle_s : float
        Pause after a change, so that one answer brings the changes that come with
        it: each of them would end the watches of the whole fleet.
    min_backoff_s, max_backoff_s : float
        Longest pause after the first failure, and after any.
    """

    wait_s: float = 3.0
    settle_s: float = 0.3
    min_backoff_s: float = 0.1
    max_backoff_s: float = 1.0


class ObjectFollower:
    """Lists a kind, then watches it, and lists again after gaps and outages.

    Parameters
    ----------
    store : WatchedStore
        Where the objects are.
    kind : str
        Kind to follow.
    sink : ObjectSink
        Gets the objects.
    options : FollowerOptions
        Times.
    rng : random.Random
        Spreads the retries of many routers.
    """

    def __init__(
        self,
        store: WatchedStore,
        kind: str,
        sink: ObjectSink,
        *,
        options: FollowerOptions | None = None,
        rng: random.Random | None = None,
    ) -> None:
        self._store = store
        self._kind = kind
        self._sink = sink
        self._options = options or FollowerOptions()
        self._rng = rng or random.Random()
        self._revision: int | None = None
        self._failure_count = 0
        self._answered_at_s: float | None = None

    @property
    def kind(self) -> str:
        """Kind of objects that is followed."""
        return self._kind

    def age_s(self, *, now_s: float) -> float:
        """Return the time since the store last answered; infinite if it never did."""
        if self._answered_at_s is None:
            return math.inf
        return now_s - self._answered_at_s

    async def run(self) -> None:
        """Follow until cancelled."""
        while True:
            try:
                await self._step()
            except HistoryGoneError as error:
                log_event("history_gone", kind=self._kind, detail=str(error))
                self._revision = None
            except WatchedStoreError as error:
                await self._pause(error)

    async def _step(self) -> None:
        pause_s = 0.0
        if self._revision is None:
            snapshot = await self._store.list(self._kind)
            self._answered()
            self._sink.listed(snapshot)
        else:
            snapshot = await self._store.watch(
                self._kind, after_revision=self._revision, wait_s=self._options.wait_s
            )
            if snapshot.objects:
                self._sink.changed(snapshot)
                pause_s = self._options.settle_s
        self._revision = snapshot.revision
        self._answered_at_s = asyncio.get_running_loop().time()
        if pause_s:
            await asyncio.sleep(pause_s)

    def _answered(self) -> None:
        if self._failure_count:
            log_event("store_returned", kind=self._kind, failures=self._failure_count)
            self._failure_count = 0
            self._sink.store_returned()

    async def _pause(self, error: WatchedStoreError) -> None:
        if self._failure_count == 0:
            log_event("store_lost", level="WARNING", kind=self._kind, detail=str(error))
            self._sink.store_lost()
        self._revision = None
        pause_s = backoff_s(
            self._failure_count,
            min_s=self._options.min_backoff_s,
            max_s=self._options.max_backoff_s,
            rng=self._rng,
        )
        self._failure_count += 1
        await asyncio.sleep(pause_s)
