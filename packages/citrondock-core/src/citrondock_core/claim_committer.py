"""Threads that write claim changes of one router to the store, batched by shard."""

import random
import threading
import time
from collections import deque
from collections.abc import Callable, Sequence

import attrs
from loguru import logger

from citrondock_core.backoff import backoff_s
from citrondock_core.claim_change import (
    AcquireChange,
    ClaimChange,
    ReleaseChange,
    RestoreChange,
)
from citrondock_core.claim_errors import ClaimUnavailableError
from citrondock_core.claim_options import ClaimOptions
from citrondock_core.claim_shard import ClaimShard
from citrondock_core.object_store import (
    AnswerLostError,
    ObjectNotFoundError,
    ObjectStore,
    ObjectStoreError,
    StoreUnavailableError,
    VersionConflictError,
)
from citrondock_core.shard_cache import LoadedShard, ShardCache
from citrondock_core.store_version import era_of

CLAIM_PREFIX = "claims/"
MAX_CONFLICT_DELAY_S = 0.02
MAX_ATTEMPT_COUNT = 20


@attrs.define(kw_only=True)
class CommitStatistics:
    """Counts of the calls to the store made for claims.

    Parameters
    ----------
    read_count, write_count, conflict_count, failed_count : int
        Reads, writes, writes that met a version conflict, and failed commits.
    change_count : int
        Claim changes in successful writes.
    dropped_count : int
        Claim changes dropped because too many were pending.
    """

    read_count: int = 0
    write_count: int = 0
    conflict_count: int = 0
    failed_count: int = 0
    change_count: int = 0
    dropped_count: int = 0


@attrs.define
class _ShardQueue:
    changes: deque[ClaimChange] = attrs.field(factory=deque)
    busy: bool = False
    failure_count: int = 0
    not_before_s: float = 0.0


class ClaimCommitter:
    """Writes claim changes to the store, batched into one update per shard.

    Changes that arrive while their shard is being written go into its next batch.

    Parameters
    ----------
    store : ObjectStore
        Store that holds the shards.
    options : ClaimOptions
        Limits and periods.
    wall_clock : callable
        Returns the Unix time in seconds.
    rng : random.Random
        Source of the jitter of retries.
    clock : callable
        Returns monotonic seconds that also count suspended time.
    on_era : callable
        Called when a new era of the store is noticed, with its number.
    """

    def __init__(
        self,
        store: ObjectStore,
        options: ClaimOptions,
        *,
        wall_clock: Callable[[], float],
        rng: random.Random,
        clock: Callable[[], float],
        on_era: Callable[[int], None],
    ) -> None:
        self._store = store
        self._options = options
        self._wall_clock = wall_clock
        self._rng = rng
        self._clock = clock
        self._on_era = on_era
        self._era = 0
        self._settled_at_s = 0.0
        self._cache = ShardCache(max_bytes=options.max_cached_bytes)
        self._queues: dict[int, _ShardQueue] = {}
        self._pending_count = 0
        self._condition = threading.Condition()
        self._closed = False
        self.statistics = CommitStatistics()
        self._threads = [
            threading.Thread(target=self._run, name=f"claims-{number}", daemon=True)
            for number in range(options.committer_count)
        ]
        for thread in self._threads:
            thread.start()

    @property
    def pending_count(self) -> int:
        """Number of changes not yet written to the store."""
        return self._pending_count

    def cached(self, shard_number: int) -> ClaimShard | None:
        """Return the cached shard, which another router may have changed since."""
        loaded = self._cache.get(shard_number)
        return loaded.shard if loaded else None

    def note_era(self, era: int) -> None:
        """Refuse new claims for a while if the store is in a new era."""
        with self._condition:
            if era <= self._era:
                return
            self._era = era
            settle_s = max(self._options.settle_s, self._options.send_within_s)
            self._settled_at_s = self._clock() + settle_s
        self._on_era(era)

    def check_settled(self) -> None:
        """Raise `ClaimUnavailableError` while the store may lack claims."""
        if self._clock() < self._settled_at_s:
            raise _unsettled_error()

    def submit(self, change: ClaimChange) -> None:
        """Queue a change to be written; drop it if too many are pending."""
        number = change.key.shard(self._options.shard_count)
        with self._condition:
            if self._pending_count >= self._options.max_pending_count:
                self._drop(change)
                return
            self._queues.setdefault(number, _ShardQueue()).changes.append(change)
            self._pending_count += 1
            self._condition.notify()

    def flush(self, timeout_s: float) -> bool:
        """Wait until all changes are written; return False on timeout."""
        with self._condition:
            return self._condition.wait_for(lambda: self._pending_count == 0, timeout_s)

    def close(self, timeout_s: float) -> None:
        """Stop the threads, waiting up to ``timeout_s`` seconds for each."""
        with self._condition:
            self._closed = True
            self._condition.notify_all()
        for thread in self._threads:
            thread.join(timeout_s)

    def _drop(self, change: ClaimChange) -> None:
        self.statistics.dropped_count += 1
        if isinstance(change, AcquireChange):
            change.complete(
                ClaimUnavailableError.of(
                    "too many claim changes are waiting to be written"
                )
            )

    def _run(self) -> None:
        while True:
            batch = self._next_batch()
            if batch is None:
                return
            number, changes = batch
            try:
                self._commit(number, changes)
                retained: Sequence[ClaimChange] = ()
            except ObjectStoreError as error:
                retained = self._handle_failure(changes, error)
            except Exception as error:
                logger.opt(exception=error).error("event=claim_commit_failed")
                retained = self._handle_failure(changes, error)
            self._finish_batch(number, changes, retained)

    def _next_batch(self) -> tuple[int, list[ClaimChange]] | None:
        with self._condition:
            while not self._closed:
                number = self._next_ready_shard()
                if number is not None:
                    queue = self._queues[number]
                    queue.busy = True
                    count = min(len(queue.changes), self._options.max_batch_size)
                    return number, [queue.changes.popleft() for _ in range(count)]
                self._condition.wait(self._wait_timeout_s())
            return None

    def _next_ready_shard(self) -> int | None:
        now_s = time.monotonic()
        for number, queue in self._queues.items():
            urgent = any(isinstance(c, AcquireChange) for c in queue.changes)
            due = urgent or queue.not_before_s <= now_s
            if queue.changes and not queue.busy and due:
                return number
        return None

    def _wait_timeout_s(self) -> float | None:
        waits = [
            queue.not_before_s
            for queue in self._queues.values()
            if queue.changes and not queue.busy
        ]
        if not waits:
            return None
        return max(0.01, min(waits) - time.monotonic())

    def _finish_batch(
        self, number: int, batch: Sequence[ClaimChange], retained: Sequence[ClaimChange]
    ) -> None:
        with self._condition:
            queue = self._queues.pop(number)
            queue.busy = False
            queue.changes.extendleft(reversed(retained))
            self._pending_count -= len(batch) - len(retained)
            self._back_off(queue, failed=bool(retained))
            if queue.changes:
                self._queues[number] = queue
            self._condition.notify_all()

    def _back_off(self, queue: _ShardQueue, *, failed: bool) -> None:
        if not failed:
            queue.failure_count = 0
            return
        delay_s = backoff_s(
            queue.failure_count,
            min_s=self._options.min_backoff_s,
            max_s=self._options.max_backoff_s,
            rng=self._rng,
        )
        queue.failure_count += 1
        queue.not_before_s = time.monotonic() + delay_s

    def _handle_failure(
        self, changes: Sequence[ClaimChange], error: Exception
    ) -> list[ClaimChange]:
        self.statistics.failed_count += 1
        retained: list[ClaimChange] = []
        for change in changes:
            if not isinstance(change, AcquireChange):
                retained.append(change)
                continue
            change.complete(
                ClaimUnavailableError.of(
                    f"the claim could not be written to the store: {error}",
                    peer="object store",
                )
            )
            if change.maybe_written:
                retained.append(ReleaseChange(change.key, change.token))
        return retained

    def _commit(self, number: int, changes: Sequence[ClaimChange]) -> None:
        loaded = self._cache.get(number)
        if loaded is not None and (
            era_of(loaded.version) < self._era or any(map(_is_restoration, changes))
        ):
            loaded = None
        is_fresh = loaded is None
        loaded = loaded or self._load(number)
        for _ in range(MAX_ATTEMPT_COUNT):
            wanted = [change for change in changes if not _is_abandoned(change)]
            shard = loaded.shard.copy()
            must_write = self._apply(shard, wanted)
            if is_fresh or not any(_is_refused(change) for change in wanted):
                if not must_write or self._write(number, loaded, shard, wanted):
                    self._complete_acquires(changes)
                    return
                self._wait_after_conflict()
            loaded, is_fresh = self._load(number), True
        raise StoreUnavailableError(
            f"claim shard {number} could not be written",
            step="claim",
            peer="object store",
        )

    def _apply(self, shard: ClaimShard, changes: Sequence[ClaimChange]) -> bool:
        now_unix_s = self._wall_clock()
        shard.remove_expired(now_unix_s=now_unix_s)
        must_write = False
        for change in changes:
            must_write |= change.apply(shard, now_unix_s=now_unix_s)
        return must_write

    def _load(self, number: int) -> LoadedShard:
        self.statistics.read_count += 1
        self._cache.drop(number)
        try:
            stored = self._store.get(
                _object_key(number), timeout_s=self._options.store_timeout_s
            )
        except ObjectNotFoundError:
            return LoadedShard(shard=ClaimShard())
        self.note_era(era_of(stored.version))
        loaded = LoadedShard(
            shard=ClaimShard.decode(stored.value),
            version=stored.version,
            size_bytes=len(stored.value),
        )
        self._cache.put(number, loaded)
        return loaded

    def _write(
        self,
        number: int,
        loaded: LoadedShard,
        shard: ClaimShard,
        changes: Sequence[ClaimChange],
    ) -> bool:
        value = shard.encode(max_bytes=self._options.max_shard_bytes)
        if value is None:
            self._refuse_when_full(changes)
            return False
        self.statistics.write_count += 1
        try:
            version = self._put(_object_key(number), value, loaded.version)
        except VersionConflictError:
            self.statistics.conflict_count += 1
            return False
        except AnswerLostError:
            self._cache.drop(number)
            for change in _acquires(changes):
                change.maybe_written |= change.added
            return False
        self.note_era(era_of(version))
        self.statistics.change_count += len(changes)
        for change in _acquires(changes):
            change.maybe_written |= change.added
        self._cache.put(
            number, LoadedShard(shard=shard, version=version, size_bytes=len(value))
        )
        return True

    def _put(self, key: str, value: bytes, version: int) -> int:
        timeout_s = self._options.store_timeout_s
        if version == 0:
            return self._store.create(key, value, timeout_s=timeout_s)
        return self._store.update(key, value, if_version=version, timeout_s=timeout_s)

    def _refuse_when_full(self, changes: Sequence[ClaimChange]) -> None:
        acquires = _acquires(changes)
        if not acquires:
            raise StoreUnavailableError(
                "the claim shard is full", step="claim", peer="object store"
            )
        for change in acquires:
            change.refuse(ClaimUnavailableError.of("the claim shard is full"))

    def _wait_after_conflict(self) -> None:
        with self._condition:
            self._condition.wait_for(
                lambda: self._closed, self._rng.uniform(0, MAX_CONFLICT_DELAY_S)
            )

    def _complete_acquires(self, changes: Sequence[ClaimChange]) -> None:
        is_settled = self._clock() >= self._settled_at_s
        for change in _acquires(changes):
            is_acquired = change.error is None and change.outcome is None
            if is_acquired and not is_settled and not change.abandoned:
                change.refuse(_unsettled_error())
            if not change.complete() and change.maybe_written:
                self.submit(ReleaseChange(change.key, change.token))


def _unsettled_error() -> ClaimUnavailableError:
    return ClaimUnavailableError.of(
        "the store came back from a copy and may lack claims", peer="object store"
    )


def _object_key(number: int) -> str:
    return f"{CLAIM_PREFIX}{number:05}"


def _acquires(changes: Sequence[ClaimChange]) -> list[AcquireChange]:
    return [change for change in changes if isinstance(change, AcquireChange)]


def _is_restoration(change: ClaimChange) -> bool:
    return isinstance(change, RestoreChange)


def _is_abandoned(change: ClaimChange) -> bool:
    return isinstance(change, AcquireChange) and change.abandoned


def _is_refused(change: ClaimChange) -> bool:
    return isinstance(change, AcquireChange) and change.error is not None
