"""Versioned objects, rates and faults, shared by both object store stand-ins."""

import enum
import random
import threading
from collections import Counter
from collections.abc import Sequence

import attrs
from sortedcontainers import SortedDict

from citrondock_core.object_store import (
    MAX_VALUE_BYTES,
    ObjectNotFoundError,
    ObjectStoreError,
    StoreCallKind,
    StoredObject,
    StoreUnavailableError,
    VersionConflictError,
    WatchResult,
)

WRITE_KINDS = (StoreCallKind.CREATE, StoreCallKind.UPDATE, StoreCallKind.DELETE)
PEER = "object-store"


class Outage(enum.Enum):
    """How the store is out.

    ``REFUSE`` answers 503, ``HANG`` never answers, ``CLOSE`` closes the connection.
    None of them lets a write take effect.
    """

    NONE = "none"
    REFUSE = "refuse"
    HANG = "hang"
    CLOSE = "close"


@attrs.frozen(kw_only=True)
class StoreFaults:
    """Faults in force.

    Parameters
    ----------
    outage : Outage
        How the store is out.
    slow_ms : float
        Time between a call's effect and its answer.
    lose_answers_count : int
        Answers lost among the next writes that take effect.
    lose_answers_probability : float
        Chance of losing the answer of each write that takes effect.
    lose_answers_prefix : str
        Only answers of writes under this prefix are lost.
    seed : int
        Seed of the chance.
    stale_reads : bool
        Reads and watches see the objects as they were when this was set.
    """

    outage: Outage = attrs.field(default=Outage.NONE, converter=Outage)
    slow_ms: float = 0.0
    lose_answers_count: int = 0
    lose_answers_probability: float = 0.0
    lose_answers_prefix: str = ""
    seed: int = 0
    stale_reads: bool = False


class RateLimit:
    """A token bucket that holds one second's worth."""

    def __init__(self, rate_per_s: float) -> None:
        self._rate_per_s = rate_per_s
        self._tokens = rate_per_s
        self._filled_at_s = 0.0

    def take(self, *, now_s: float) -> bool:
        """Take one token if there is one."""
        filled = self._tokens + (now_s - self._filled_at_s) * self._rate_per_s
        self._tokens = min(self._rate_per_s, filled)
        self._filled_at_s = now_s
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True


@attrs.frozen(kw_only=True)
class CallCount:
    """Calls of one kind by one client."""

    client: str
    kind: str
    count: int
    refused_count: int


class _Objects:
    """Latest version of each object, deletions included."""

    def __init__(self) -> None:
        self.version = 0
        self.by_key: SortedDict[str, StoredObject] = SortedDict()
        self.by_version: SortedDict[int, StoredObject] = SortedDict()

    def copy(self) -> "_Objects":
        twin = _Objects()
        twin.version = self.version
        twin.by_key = self.by_key.copy()
        twin.by_version = self.by_version.copy()
        return twin

    def write(self, key: str, value: bytes, *, deleted: bool = False) -> int:
        self.version += 1
        old = self.by_key.get(key)
        if old is not None:
            del self.by_version[old.version]
        new = StoredObject(key=key, version=self.version, value=value, deleted=deleted)
        self.by_key[key] = new
        self.by_version[new.version] = new
        return new.version


class StoreCore:
    """The objects of a store with its rates, faults and counts of calls.

    Parameters
    ----------
    writes_per_s, reads_per_s : float
        Rates above which calls are refused.

    Notes
    -----
    `changed` guards the core when several threads use it.
    """

    def __init__(
        self, *, writes_per_s: float = 400.0, reads_per_s: float = 2000.0
    ) -> None:
        self.changed = threading.Condition()
        self.faults = StoreFaults()
        self._objects = _Objects()
        self._stale: _Objects | None = None
        self._writes = RateLimit(writes_per_s)
        self._reads = RateLimit(reads_per_s)
        self._counts: Counter[tuple[str, StoreCallKind]] = Counter()
        self._refused: Counter[tuple[str, StoreCallKind]] = Counter()
        self._losses_left_count = 0
        self._random = random.Random(0)

    def set_faults(self, faults: StoreFaults) -> None:
        """Replace the faults in force."""
        self.faults = faults
        self._losses_left_count = faults.lose_answers_count
        self._random = random.Random(faults.seed)
        if not faults.stale_reads:
            self._stale = None
        elif self._stale is None:
            self._stale = self._objects.copy()

    def admit(self, kind: StoreCallKind, *, client: str, now_s: float) -> None:
        """Count a call, and refuse it when the store is out or above its rates."""
        self._counts[client, kind] += 1
        limit = self._writes if kind in WRITE_KINDS else self._reads
        if self.faults.outage is Outage.REFUSE:
            reason = "outage"
        elif not limit.take(now_s=now_s):
            reason = "rate limit"
        else:
            return
        self._refused[client, kind] += 1
        raise StoreUnavailableError(reason, step=kind.value, peer=PEER)

    def calls(self) -> Sequence[CallCount]:
        """Return the calls counted so far."""
        return [
            CallCount(
                client=client,
                kind=kind.value,
                count=count,
                refused_count=self._refused[client, kind],
            )
            for (client, kind), count in self._counts.items()
        ]

    def loses_answer(self, key: str) -> bool:
        """Decide whether the answer of a write that took effect is lost."""
        faults = self.faults
        if not key.startswith(faults.lose_answers_prefix):
            return False
        if self._losses_left_count > 0:
            self._losses_left_count -= 1
            return True
        return self._random.random() < faults.lose_answers_probability

    def version_of(self, key: str) -> int:
        """Return the version of an object, 0 if there is none."""
        found = self._objects.by_key.get(key)
        return 0 if found is None or found.deleted else int(found.version)

    def get(self, key: str) -> StoredObject:
        """Return one object."""
        found: StoredObject | None = self._readable().by_key.get(key)
        if found is None or found.deleted:
            raise ObjectNotFoundError(key, step="get", peer=PEER)
        return found

    def put(self, key: str, value: bytes, *, if_version: int) -> int:
        """Write one object if it has ``if_version``, where 0 is none."""
        if len(value) > MAX_VALUE_BYTES:
            raise ObjectStoreError("value too large", step="put", peer=PEER)
        self._check_version(key, if_version)
        return self._objects.write(key, value)

    def delete(self, key: str, *, if_version: int) -> None:
        """Delete one object if it has ``if_version``."""
        if self.version_of(key) == 0:
            raise ObjectNotFoundError(key, step="delete", peer=PEER)
        self._check_version(key, if_version)
        self._objects.write(key, b"", deleted=True)

    def list(
        self, prefix: str, *, after_key: str, limit: int
    ) -> Sequence[StoredObject]:
        """Return objects under a prefix, in the order of their keys."""
        by_key = self._readable().by_key
        found: list[StoredObject] = []
        for key in by_key.irange(minimum=max(prefix, after_key)):
            if not key.startswith(prefix) or len(found) == limit:
                break
            if key != after_key and not by_key[key].deleted:
                found.append(by_key[key])
        return found

    def changes(self, prefix: str, *, after_version: int) -> WatchResult:
        """Return what changed under a prefix."""
        objects = self._readable()
        newer = objects.by_version.irange(minimum=after_version + 1)
        found = [objects.by_version[version] for version in newer]
        return WatchResult(
            version=max(objects.version, after_version),
            changes=[each for each in found if each.key.startswith(prefix)],
        )

    def _check_version(self, key: str, if_version: int) -> None:
        version = self.version_of(key)
        if version != if_version:
            raise VersionConflictError(
                f"{key} has version {version}, not {if_version}", step="put", peer=PEER
            )

    def _readable(self) -> _Objects:
        return self._objects if self._stale is None else self._stale
