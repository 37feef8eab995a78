"""A store on simulated time that is slow, away, or loses answers and records."""

import asyncio
import copy
import math

from memory_store import MemoryStore, StoreDoor

from citrondock_router.gateway.watched_store import WatchedStoreError

CALL_TIMEOUT_S = 1.5


class TroubledStore(MemoryStore):
    """A store that is slow, away, loses answers and comes back from a copy."""

    def __init__(self, rng):
        super().__init__()
        self.rng = rng
        self.is_up = asyncio.Event()
        self.is_up.set()
        self.slowness = 1.0
        self.lost_ratio = 0.0
        self.late_tasks = set()

    async def pass_time(self):
        await asyncio.sleep(self.rng.uniform(0.002, 0.06) * self.slowness)


class Door(StoreDoor):
    """The store as one router reaches it, over a network with delays."""

    def __init__(self, store):
        super().__init__(store)
        self.is_silent = False
        self.troubled_until_s = -math.inf

    async def _answer(self, call):
        if self.is_closed:
            call.close()
            raise WatchedStoreError("turned away", step="call")
        try:
            async with asyncio.timeout(CALL_TIMEOUT_S):
                return await self._carry_out(call)
        except TimeoutError:
            raise WatchedStoreError("no answer", step="call") from None
        finally:
            call.close()

    async def _carry_out(self, call):
        store = self._store
        await store.pass_time()
        while self.is_silent:
            await asyncio.sleep(0.05)
        await store.is_up.wait()
        is_write = call.__name__ in ("create", "replace", "delete")
        if is_write and store.rng.random() < store.lost_ratio:
            late = asyncio.ensure_future(self._do_late(call))
            store.late_tasks.add(late)
            late.add_done_callback(store.late_tasks.discard)
            await asyncio.sleep(CALL_TIMEOUT_S + 1.0)
        answer, era = await call, store.era
        await store.pass_time()
        self.era.observe(era)
        return answer

    async def _do_late(self, call):
        store = self._store
        # The caller goes on to change what it has sent, and closes its call.
        frame = call.cr_frame.f_locals
        arguments = copy.deepcopy(
            {name: frame[name] for name in frame if name != "self"}
        )
        await asyncio.sleep(store.rng.choice((0.0, store.rng.uniform(1.0, 6.0))))
        await getattr(store, call.__name__)(**arguments)
