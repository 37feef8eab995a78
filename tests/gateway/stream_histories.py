"""Histories of a fleet whose streams begin, break and are taken up, on simulated time.

The logs of stream versions are the real ones. Targets, their registry, the lists of it
at the routers, the troubles of the store and the clients are models.
"""

import asyncio
import itertools
import random

import attrs
from troubled_store import Door, TroubledStore

from citrondock_core.routing.stream_versions import StreamVersions, count_versions
from citrondock_router.gateway.stream_record_writer import StreamNotRecordedError
from citrondock_router.gateway.stream_version_log import StreamVersionLog

SERVICE = "llm"
ROUTER_COUNT = 4
FIRST_TARGETS = 5
STREAMS_PER_S = 12.0
DEADLINES_S = (4.0, 6.0, 15.0, 30.0)
BREAK_RATIO = 0.7
IN_TOUCH_S = 3.0
"""Time without trouble after which a router and the store count as sound."""

PEER_TIMEOUT_S = 3.0
ENTRY_TIMEOUT_S = 3.6
MAX_COPY_AGE_S = 9.0

PROFILES = (
    # Everything.
    (5, 2, 4, 3, 2, 4, 3, 3, 2, 1, 1, 2, 1),
    # Versions that take each other's place, and come back.
    (4, 6, 1, 1, 0, 2, 2, 1, 2, 0, 0, 0, 0),
    # Two versions side by side, and a store that loses answers and records.
    (0, 0, 0, 0, 1, 3, 0, 1, 8, 0, 1, 1, 1),
    (0, 0, 0, 0, 1, 5, 1, 1, 1, 1, 0, 5, 1),
    # Planned work, and routers that are out of step.
    (6, 2, 4, 0, 1, 0, 6, 6, 0, 0, 0, 0, 1),
)
"""Weights of the troubles in `Fleet._trouble`; a seed chooses one."""


@attrs.define(eq=False)
class Target:
    """One incarnation of a target, and its entry."""

    target_id: str
    version: str
    is_running: bool = True
    is_registered: bool = True


@attrs.define
class Counts:
    """What clients saw."""

    begun: int = 0
    not_begun: int = 0
    taken_up: int = 0
    gone_on: int = 0
    refused: int = 0
    sound_taken_up: int = 0
    sound_gone_on: int = 0
    joined: list[str] = attrs.field(factory=list)


class Peers:
    """What a router believes of the others; it may be wrong about who is the keeper."""

    def __init__(self, fleet, vm_name):
        self.vm_name = vm_name
        self.is_alone = False
        self._fleet = fleet

    def __len__(self):
        return ROUTER_COUNT - 1

    def home_router_of(self, _key, _zone, *, now_s):
        if self.is_alone:
            return self.vm_name
        return min(
            (
                router.vm_name
                for router in self._fleet.routers
                if router.is_running or now_s < router.ended_at_s + PEER_TIMEOUT_S
            ),
            default=self.vm_name,
        )


class Router:
    """One VM's router; `start` begins another incarnation of it."""

    def __init__(self, fleet, vm_name):
        self.fleet = fleet
        self.vm_name = vm_name
        self.door = Door(fleet.store)
        self.peers = Peers(fleet, vm_name)
        self.is_running = False
        self.is_cut = False
        self.ended_at_s = -PEER_TIMEOUT_S
        self.incarnation = 0
        self.targets = {}
        self._task = None

    def start(self):
        self.incarnation += 1
        self.is_running = True
        self.door = Door(self.fleet.store)
        self.versions = StreamVersions()
        self.log = StreamVersionLog(
            self.versions,
            self.peers,
            writer_name=f"{self.vm_name}.{self.incarnation}",
            loop=asyncio.get_running_loop(),
        )
        self.log.use_store(self.door, writes_per_s=400, era=self.door.era)
        self.see_targets()
        self._task = asyncio.ensure_future(self.log.run())

    def end(self):
        self.is_running = False
        self.ended_at_s = self.fleet.now_s
        self._task.cancel()

    def see_targets(self):
        """Bring the list of targets up to date, as far as the store can be reached."""
        if self.is_cut or self.door.is_closed or self.door.is_silent:
            return
        if not (self.is_running and self.fleet.store.is_up.is_set()):
            return
        registered = [target for target in self.fleet.targets if target.is_registered]
        self.targets = {target.target_id: target.version for target in registered}
        entries = [(SERVICE, version) for version in self.targets.values()]
        self.versions.set_live(count_versions(entries), now_s=self.fleet.now_s)

    @property
    def is_sound(self):
        """Whether the router has been in touch with a sound store."""
        sound_from_s = max(
            self.door.troubled_until_s,
            self.fleet.store_troubled_until_s,
            self.started_at_s,
        )
        return self.fleet.now_s >= sound_from_s + IN_TOUCH_S

    @property
    def started_at_s(self):
        return self.ended_at_s


class Fleet:
    """Routers, targets and the store of one history.

    Parameters
    ----------
    seed : int
        Decides on everything that happens.
    entry_lag_s : float
        Time after which a target that has crashed is back under its id, perhaps with
        another version, while its entry is still the old one. By default the old
        entry is gone from all lists by then.
    """

    def __init__(self, seed, *, entry_lag_s=None):
        self.rng = random.Random(seed)
        self.entry_lag_s = entry_lag_s
        self.weights = PROFILES[seed % len(PROFILES)]
        self.store = TroubledStore(self.rng)
        self.store_troubled_until_s = -IN_TOUCH_S
        self.counts = Counts()
        self.routers = [Router(self, f"v{number}") for number in range(ROUTER_COUNT)]
        self.targets = []
        self.numbers = itertools.count()
        self.version_count = 0
        self.copies = []
        self.events = []
        self._tasks = set()
        self._errors = []

    @property
    def now_s(self):
        return asyncio.get_running_loop().time()

    def note(self, event):
        self.events.append(f"{self.now_s:8.3f} {event}")

    def spawn(self, coroutine):
        task = asyncio.ensure_future(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._ended)
        return task

    def _ended(self, task):
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            self._errors.append(task.exception())

    async def play(self, *, calm_s, troubled_s):
        """Play a history: a calm start, troubles, and the end of all streams."""
        self.join(FIRST_TARGETS)
        if not self.weights[0]:
            self.join(FIRST_TARGETS)
        for router in self.routers:
            router.start()
        keeping = [self.spawn(self._keep_copies()), self.spawn(self._keep_lists())]
        await asyncio.sleep(4.0)
        clients = self.spawn(self._run_clients())
        await asyncio.sleep(calm_s)
        end_s = self.now_s + troubled_s
        while self.now_s < end_s:
            self._trouble()
            await asyncio.sleep(self.rng.choice((0.1, 0.5, 1.0, 2.0, 4.0, 12.0)))
        clients.cancel()
        await asyncio.sleep(max(DEADLINES_S))
        for task in (*keeping, *self._tasks):
            task.cancel()
        await asyncio.sleep(0)
        if self._errors:
            raise self._errors[0]
        for router in self.routers:
            router.end()
        return self.counts

    # Troubles.

    def _trouble(self):
        action = self.rng.choices(
            (
                self._rollout,
                self._go_back,
                self._leave,
                self._crash,
                self._return_to_old,
                self._kill_router,
                self._cut_router,
                self._turn_router_away,
                self._lose_writes,
                self._store_away,
                self._store_slow,
                self._restore,
                self._forget_history,
            ),
            self.weights,
        )[0]
        self.spawn(action())

    def join(self, count, version=None):
        if version is None:
            self.version_count += 1
            version = f"s{self.version_count}"
        for _ in range(count):
            self.targets.append(Target(f"t{next(self.numbers)}", version))
        self.note(f"{count} targets of {version} join")

    async def _rollout(self):
        """Replace some or all targets by ones of the next version."""
        old = [target for target in self.targets if target.is_registered]
        self.join(self.rng.choice((1, 2, len(old))))
        replaced = self.rng.choice((0, len(old) // 2, len(old)))
        for target in self.rng.sample(old, replaced):
            await asyncio.sleep(self.rng.uniform(0.0, 0.8))
            self.spawn(self._remove(target))

    async def _go_back(self):
        """Replace all targets, and bring the former version back after a while."""
        old = [target for target in self.targets if target.is_registered]
        versions = sorted({target.version for target in old})
        self.join(3)
        for target in old:
            self.spawn(self._remove(target))
        await asyncio.sleep(self.rng.uniform(1.0, 85.0))
        self.join(3, self.rng.choice(versions))

    async def _leave(self):
        versions = sorted(
            {target.version for target in self.targets if target.is_registered}
        )
        if len(versions) > 1:
            # A version leaves altogether, perhaps after a quiet time.
            version = self.rng.choice(versions)
            for target in list(self.targets):
                if target.version == version and target.is_registered:
                    self.spawn(self._remove(target))

    async def _remove(self, target):
        if sum(other.is_registered for other in self.targets) <= 2:
            return
        target.is_registered = False
        self.note(f"entry of {target.target_id} {target.version} goes")
        await asyncio.sleep(self.rng.uniform(2.0, 9.0))
        target.is_running = False

    async def _crash(self):
        running = [target for target in self.targets if target.is_registered]
        self.rng.shuffle(running)
        for target in running[: self.rng.choice((1, 2, 8))]:
            target.is_running = False
            self.note(f"{target.target_id} {target.version} crashes")
        if self.entry_lag_s is not None:
            await self._restart([target for target in running if not target.is_running])
            return
        await asyncio.sleep(ENTRY_TIMEOUT_S)
        for target in running:
            target.is_registered = target.is_registered and target.is_running
        if not any(target.is_registered for target in self.targets):
            self.join(2)

    async def _restart(self, crashed):
        """Start crashed targets again at another version, before their entries say so.

        The routers' lists have the old entries for `entry_lag_s`.
        """
        await asyncio.sleep(0.5)
        self.version_count += 1
        version = f"s{self.version_count}"
        restarted = [
            Target(target.target_id, version, is_registered=False) for target in crashed
        ]
        self.targets += restarted
        self.note(f"{len(crashed)} targets restart under their ids as {version}")
        await asyncio.sleep(self.entry_lag_s)
        for before, target in zip(crashed, restarted, strict=True):
            target.is_registered, before.is_registered = before.is_registered, False

    async def _return_to_old(self):
        """Let targets of an earlier version join."""
        version = f"s{self.rng.randint(1, self.version_count)}"
        self.join(self.rng.choice((1, 3)), version)

    async def _kill_router(self):
        running = [router for router in self.routers if router.is_running]
        count = self.rng.choice((1, 1, 1, len(running)))
        killed = self.rng.sample(running, min(count, len(running)))
        for router in killed:
            self.note(f"{router.vm_name} is killed")
            router.end()
        await asyncio.sleep(self.rng.uniform(0.5, 4.0))
        for router in killed:
            router.ended_at_s = self.now_s
            router.start()

    def _choose_router(self):
        return self.rng.choice(self.routers)

    async def _cut_router(self):
        """Cut a router off from the store and from the other routers."""
        router = self._choose_router()
        door, for_s = router.door, self.rng.uniform(1.0, 14.0)
        self.note(f"{router.vm_name} is cut off for {for_s:.1f} s")
        router.is_cut = router.peers.is_alone = door.is_silent = True
        await self._trouble_door(door, for_s)
        router.is_cut = router.peers.is_alone = door.is_silent = False

    async def _turn_router_away(self):
        router = self._choose_router()
        door, for_s = router.door, self.rng.uniform(1.0, 12.0)
        self.note(f"{router.vm_name} is turned away for {for_s:.1f} s")
        door.is_closed = True
        await self._trouble_door(door, for_s)
        door.is_closed = False

    async def _trouble_door(self, door, for_s):
        door.troubled_until_s = max(door.troubled_until_s, self.now_s + for_s)
        await asyncio.sleep(for_s)

    def _trouble_store(self, for_s):
        until_s = self.now_s + for_s
        self.store_troubled_until_s = max(self.store_troubled_until_s, until_s)

    async def _lose_writes(self):
        self.note("the store loses answers to writes")
        self._trouble_store(4.5)
        self.store.lost_ratio = self.rng.choice((0.1, 0.35))
        await asyncio.sleep(4.5)
        self.store.lost_ratio = 0.0

    async def _store_slow(self):
        self._trouble_store(4.0)
        self.store.slowness = 15.0
        await asyncio.sleep(4.0)
        self.store.slowness = 1.0

    async def _store_away(self):
        for_s = self.rng.uniform(0.5, 6.0)
        self.note(f"the store is away for {for_s:.1f} s")
        self._trouble_store(for_s)
        self.store.is_up.clear()
        await asyncio.sleep(for_s)
        self.store.is_up.set()

    async def _restore(self):
        copied_at_s, copied = self.rng.choice(self.copies)
        for_s = self.rng.uniform(0.2, 2.5)
        self.note(f"the store goes, back in {for_s:.1f} s as of {copied_at_s:.1f}")
        self._trouble_store(for_s)
        self.store.is_up.clear()
        await asyncio.sleep(for_s)
        self.store.restore(copied)
        self.store.is_up.set()

    async def _forget_history(self):
        self.store.forget_history()

    async def _keep_copies(self):
        while True:
            self.copies.append((self.now_s, self.store.copy()))
            oldest_s = self.now_s - MAX_COPY_AGE_S
            self.copies = [kept for kept in self.copies if kept[0] >= oldest_s]
            await asyncio.sleep(0.5)

    async def _keep_lists(self):
        """Bring the routers' lists of targets up to date, at times late."""
        while True:
            for router in self.routers:
                if self.rng.random() < 0.3:
                    router.see_targets()
            await asyncio.sleep(0.15)

    # Clients.

    async def _run_clients(self):
        while True:
            await asyncio.sleep(self.rng.expovariate(STREAMS_PER_S))
            router = self._choose_router()
            if router.is_running:
                self.spawn(self._run_client(router, f"r{next(self.numbers)}"))

    def _choose_target(self, router, version=None):
        """Return a running target that a router knows, perhaps at one version."""
        known = [
            target
            for target in self.targets
            if target.is_running
            and target.target_id in router.targets
            and version in (None, router.targets[target.target_id])
        ]
        return self.rng.choice(known) if known else None

    async def _run_client(self, router, request_id):
        deadline_s = self.now_s + self.rng.choice(DEADLINES_S)
        target = await self._begin(router, request_id, deadline_s)
        if target is None:
            self.counts.not_begun += 1
            return
        self.counts.begun += 1
        while await self._runs_until_broken(router, target, deadline_s):
            await asyncio.sleep(self.rng.choice((0.0, 0.05, 0.5)))
            router = self._choose_router()
            if not router.is_running or self.now_s >= deadline_s:
                return
            target = await self._take_up(router, request_id, target.version, deadline_s)
            if target is None:
                return

    async def _begin(self, router, request_id, deadline_s):
        """Return the target that a stream has begun at; None if it has not begun."""
        target = self._choose_target(router)
        incarnation = router.incarnation
        if target is None:
            return None
        version = router.targets[target.target_id]
        left_s = deadline_s - self.now_s
        router.versions.observe_deadline(left_s)
        written = None
        if router.versions.needs_record(
            SERVICE, version, time_left_s=left_s, now_s=self.now_s
        ):
            if not router.log.can_record:
                return None
            written = router.log.record(version, request_id)
        await asyncio.sleep(self.rng.uniform(0.05, 0.8))
        if written is not None:
            try:
                await written
            except StreamNotRecordedError:
                return None
        if not (router.is_running and router.incarnation == incarnation):
            return None
        if not target.is_running:
            return None
        router.versions.remember(request_id, version, now_s=self.now_s)
        return target

    async def _runs_until_broken(self, router, target, deadline_s):
        """Return whether a stream breaks before its end."""
        incarnation = router.incarnation
        end_s = self.now_s + self.rng.random() * (deadline_s - self.now_s)
        is_broken_then = self.rng.random() < BREAK_RATIO
        while self.now_s < end_s:
            await asyncio.sleep(min(0.2, end_s - self.now_s))
            is_same = router.is_running and router.incarnation == incarnation
            if not (is_same and target.is_running):
                return True
        return is_broken_then

    async def _take_up(self, router, request_id, version, deadline_s):
        """Return the target at which a stream goes on; None if it does not."""
        incarnation = router.incarnation
        router.versions.observe_deadline(deadline_s - self.now_s)
        is_sound = router.is_sound
        found = router.versions.remembered_version(request_id)
        if found is None:
            found = await router.log.find_version(SERVICE, request_id)
        if not (router.is_running and router.incarnation == incarnation):
            return None
        # The rule counts streams while two targets of their version serve.
        serving = [
            target.version
            for target in self.targets
            if target.is_running and target.target_id in router.targets
        ]
        is_counted = is_sound and router.is_sound and serving.count(version) > 1
        self.counts.taken_up += 1
        self.counts.sound_taken_up += is_counted
        target = None if found is None else self._choose_target(router, found)
        if target is None:
            self.counts.refused += 1
            return None
        self.counts.gone_on += 1
        self.counts.sound_gone_on += is_counted
        if target.version != version:
            line = f"{request_id} of {version} goes on at {target.version}"
            self.note(f"{line} at {router.vm_name}")
            self.counts.joined.append(line)
            return None
        return target
