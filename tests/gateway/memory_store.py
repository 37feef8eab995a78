"""A store in memory whose outages tests decide on."""

import asyncio
import copy
import functools

from citrondock_router.gateway.store_era import StoreEra
from citrondock_router.gateway.watched_store import (
    HistoryGoneError,
    Snapshot,
    WatchedObject,
    WatchedStoreError,
    WritableStore,
)


class MemoryStore(WritableStore):
    """Objects of all kinds with one counter of revisions.

    Attributes
    ----------
    is_down : bool
        Whether all calls fail.
    calls : list of str
        Names of the calls, in order.
    may_write : asyncio.Event
        Writes wait for it.
    max_watched : int
        Most changes that one answer to a watch has; the rest comes with the next.
    lost_writes : int
        How many of the next writes are not answered; `do_late` does them.
    era : int
        Rises with each `restore`.
    """

    def __init__(self):
        self.is_down = False
        self.calls = []
        self.max_watched = 1000
        self.lost_writes = 0
        self.era = 0
        self._late = []
        self.may_write = asyncio.Event()
        self.may_write.set()
        self._objects = {}
        self._revision = 0
        self._first_revision = 0

    def door(self):
        """Return the same store as another router reaches it."""
        return StoreDoor(self)

    def names(self, prefix):
        """Return the names of all objects that begin with ``prefix``."""
        return [
            name
            for (_, name), item in self._objects.items()
            if name.startswith(prefix) and not item.is_deleted
        ]

    def forget_history(self):
        self._first_revision = self._revision

    def _call(self, name):
        self.calls.append(name)
        if self.is_down:
            raise WatchedStoreError("store is down", step=name)

    def copy(self):
        """Return a copy that the store may come back from."""
        return dict(self._objects), self._revision

    def restore(self, copied):
        """Come back from a copy, without what was written since."""
        objects, self._revision = copied
        self._objects = dict(objects)
        self._first_revision = 0
        self.era += 1

    async def do_late(self):
        """Do the writes whose answers were lost, as far as their conditions hold."""
        late, self._late = self._late, []
        for write in late:
            await write()

    def _lose(self, write):
        """Lose a write and its answer, if the next one is to be lost."""
        if self.lost_writes:
            self.lost_writes -= 1
            self._late.append(write)
            raise WatchedStoreError("no answer", step="write")

    def _write(self, kind, name, value, *, is_deleted=False):
        self._revision += 1
        self._objects[kind, name] = WatchedObject(
            name=name, revision=self._revision, value=value, is_deleted=is_deleted
        )
        return self._revision

    def _snapshot(self, kind, after_revision, *, with_deleted):
        objects = [
            item
            for (item_kind, _), item in self._objects.items()
            if item_kind == kind
            and item.revision > after_revision
            and (with_deleted or not item.is_deleted)
        ]
        return Snapshot(objects=objects, revision=self._revision, era=self.era)

    def _known(self, kind, name):
        item = self._objects.get((kind, name))
        return None if item is None or item.is_deleted else item

    async def list(self, kind):
        self._call("list")
        return self._snapshot(kind, 0, with_deleted=False)

    async def watch(self, kind, *, after_revision, wait_s):
        self._call("watch")
        if not self._first_revision <= after_revision <= self._revision:
            raise HistoryGoneError("history is gone", step="watch")
        snapshot = self._snapshot(kind, after_revision, with_deleted=True)
        changes = sorted(snapshot.objects, key=lambda item: item.revision)
        if len(changes) <= self.max_watched:
            return snapshot
        changes = changes[: self.max_watched]
        revision = changes[-1].revision
        return Snapshot(objects=changes, revision=revision, era=self.era)

    async def create(self, kind, name, value):
        self._call("create")
        value = copy.deepcopy(value)
        self._lose(functools.partial(self.create, kind, name, value))
        await self.may_write.wait()
        if self._known(kind, name) is not None:
            return None
        return self._write(kind, name, value)

    async def replace(self, kind, name, value, *, revision=None):
        self._call("replace")
        value = copy.deepcopy(value)
        self._lose(
            functools.partial(self.replace, kind, name, value, revision=revision)
        )
        await self.may_write.wait()
        known = self._known(kind, name)
        if known is None or revision not in (None, known.revision):
            return None
        return self._write(kind, name, value)

    async def delete(self, kind, name):
        self._call("delete")
        self._lose(functools.partial(self.delete, kind, name))
        if self._known(kind, name) is not None:
            self._write(kind, name, None, is_deleted=True)


class StoreDoor(WritableStore):
    """A store as one router reaches it, which may be turned away alone.

    Attributes
    ----------
    is_closed : bool
        Whether all calls through this door fail.
    era : StoreEra
        Latest era that an answer through this door showed.
    """

    def __init__(self, store):
        self.is_closed = False
        self.era = StoreEra()
        self._store = store

    async def _answer(self, call):
        if self.is_closed:
            call.close()
            raise WatchedStoreError("store turns this router away", step="call")
        answer = await call
        self.era.observe(self._store.era)
        return answer

    async def list(self, kind):
        return await self._answer(self._store.list(kind))

    async def watch(self, kind, *, after_revision, wait_s):
        return await self._answer(
            self._store.watch(kind, after_revision=after_revision, wait_s=wait_s)
        )

    async def create(self, kind, name, value):
        return await self._answer(self._store.create(kind, name, value))

    async def replace(self, kind, name, value, *, revision=None):
        return await self._answer(
            self._store.replace(kind, name, value, revision=revision)
        )

    async def delete(self, kind, name):
        await self._answer(self._store.delete(kind, name))
