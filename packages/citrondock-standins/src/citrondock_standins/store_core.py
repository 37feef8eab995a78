"""Versioned objects, rate limits and faults of both object store stand-ins."""

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
    StoreRestoredError,
    StoreUnavailableError,
    VersionConflictError,
    WatchResult,
)

WRITE_KINDS = (StoreCallKind.CREATE, StoreCallKind.UPDATE, StoreCallKind.DELETE)
PEER = "object-store"


class Outage(enum.Enum):
    """Way in which a service is unavailable.

    ``REFUSE`` responds with status 503, ``HANG`` does not respond, ``CLOSE`` closes the
    connection. No write takes effect in any of them.
    """

    NONE = "none"
    REFUSE = "refuse"
    HANG = "hang"
    CLOSE = "close"


@attrs.frozen(kw_only=True)
class StoreFaults:
    """Faults of an object store.

    Parameters
    ----------
    outage : Outage
        Way in which the store is unavailable, if it is.
    slow_ms : float
        Time between the effect of a call and its response.
    lose_answers_count : int
        Number of next writes that take effect but whose response is lost.
    lose_answers_probability : float
        Probability that the response of any other write is lost after its effect.
    lose_answers_prefix : str
        Prefix of the keys whose responses can be lost.
    seed : int
        Seed for that probability.
    stale_reads : bool
        Whether reads and watches see the objects as they were when this was set.
    """

    outage: Outage = attrs.field(default=Outage.NONE, converter=Outage)
    slow_ms: float = 0.0
    lose_answers_count: int = 0
    lose_answers_probability: float = 0.0
    lose_answers_prefix: str = ""
    seed: int = 0
    stale_reads: bool = False


class RateLimit:
    """Token bucket that holds the tokens of one second."""

    def __init__(self, rate_per_s: float) -> None:
        self._rate_per_s = rate_per_s
        self._tokens = rate_per_s
        self._filled_at_s = 0.0

    def take(self, *, now_s: float) -> bool:
        """Take a token; return whether there was one."""
        filled = self._tokens + (now_s - self._filled_at_s) * self._rate_per_s
        self._tokens = min(self._rate_per_s, filled)
        self._filled_at_s = now_s
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True


@attrs.frozen(kw_only=True)
class CallCount:
    """Number of calls of one kind by one client, and of those refused."""

    client: str
    kind: str
    count: int
    refused_count: int


class _Objects:
    """Latest version of each object, with markers of deleted ones."""

    def __init__(self) -> None:
        self.version = 0
        self.by_key: SortedDict[str, StoredObject] = SortedDict()
        self.by_version: SortedDict[int, StoredObject] = SortedDict()

    def copy(self) -> "_Objects":
        clone = _Objects()
        clone.version = self.version
        clone.by_key = self.by_key.copy()
        clone.by_version = self.by_version.copy()
        return clone

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
    """Objects, rate limits, faults and call counts of an object store.

    Parameters
    ----------
    writes_per_s, reads_per_s : float
        Rate limits; calls above them are refused.

    Attributes
    ----------
    changed : Condition
        Lock for use from several threads; `MemoryObjectStore` notifies it after writes
        and changes of the faults.
    faults : StoreFaults
        Current faults.
    era : int
        How often the store has come back from a copy.
    """

    def __init__(
        self, *, writes_per_s: float = 400.0, reads_per_s: float = 2000.0
    ) -> None:
        self.changed = threading.Condition()
        self.faults = StoreFaults()
        self.era = 0
        self._objects = _Objects()
        self._copy = self._objects.copy()
        self._stale: _Objects | None = None
        self._writes = RateLimit(writes_per_s)
        self._reads = RateLimit(reads_per_s)
        self._counts: Counter[tuple[str, StoreCallKind]] = Counter()
        self._refused: Counter[tuple[str, StoreCallKind]] = Counter()
        self._lost_answers_left = 0
        self._random = random.Random(0)

    def set_faults(self, faults: StoreFaults) -> None:
        """Replace the faults."""
        self.faults = faults
        self._lost_answers_left = faults.lose_answers_count
        self._random = random.Random(faults.seed)
        if not faults.stale_reads:
            self._stale = None
        elif self._stale is None:
            self._stale = self._objects.copy()

    def take_copy(self) -> None:
        """Copy the objects, for a later `restore`."""
        self._copy = self._objects.copy()

    def restore(self) -> None:
        """Come back from the copy: later writes are lost, their versions free again."""
        self._objects = self._copy.copy()
        self._stale = None
        self.era += 1

    def admit(self, kind: StoreCallKind, *, client: str, now_s: float) -> None:
        """Count a call and check that it is allowed.

        Raises
        ------
        StoreUnavailableError
            If an outage refuses calls, or the call is above the rate limit.
        """
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
        """Return the call counts by client and kind."""
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
        """Decide whether to lose the response of a write that took effect."""
        faults = self.faults
        if not key.startswith(faults.lose_answers_prefix):
            return False
        if self._lost_answers_left > 0:
            self._lost_answers_left -= 1
            return True
        return self._random.random() < faults.lose_answers_probability

    def version_of(self, key: str) -> int:
        """Return the current version of an object, 0 if it does not exist."""
        found = self._objects.by_key.get(key)
        return 0 if found is None or found.deleted else int(found.version)

    def get(self, key: str) -> StoredObject:
        """Return an object."""
        found: StoredObject | None = self._visible_objects().by_key.get(key)
        if found is None or found.deleted:
            raise ObjectNotFoundError(key, step="get", peer=PEER)
        return found

    def put(
        self, key: str, value: bytes, *, if_version: int, if_era: int | None = None
    ) -> int:
        """Write an object if its version is ``if_version``, 0 for a new object.

        The write is refused too if the version is of another era than this one.
        """
        if len(value) > MAX_VALUE_BYTES:
            raise ObjectStoreError("value too large", step="put", peer=PEER)
        self._check_version(key, if_version, if_era)
        return self._objects.write(key, value)

    def delete(self, key: str, *, if_version: int, if_era: int | None = None) -> None:
        """Delete an object if its version is ``if_version`` in this era."""
        if self.version_of(key) == 0:
            raise ObjectNotFoundError(key, step="delete", peer=PEER)
        self._check_version(key, if_version, if_era)
        self._objects.write(key, b"", deleted=True)

    def list(
        self, prefix: str, *, after_key: str, limit: int
    ) -> Sequence[StoredObject]:
        """Return up to ``limit`` objects under a prefix, in the order of their keys."""
        by_key = self._visible_objects().by_key
        found: list[StoredObject] = []
        for key in by_key.irange(minimum=max(prefix, after_key)):
            if not key.startswith(prefix) or len(found) == limit:
                break
            if key != after_key and not by_key[key].deleted:
                found.append(by_key[key])
        return found

    def changes(
        self, prefix: str, *, after_version: int, era: int | None = None
    ) -> WatchResult:
        """Return the objects under a prefix that changed after a version.

        Raises `StoreRestoredError` if the version is of another era than this one.
        """
        if era is not None and era != self.era:
            raise StoreRestoredError(
                f"version {after_version} is of era {era}, the store is in {self.era}",
                step="watch",
                peer=PEER,
            )
        objects = self._visible_objects()
        newer = objects.by_version.irange(minimum=after_version + 1)
        found = [objects.by_version[version] for version in newer]
        return WatchResult(
            version=max(objects.version, after_version),
            changes=[each for each in found if each.key.startswith(prefix)],
        )

    def _check_version(self, key: str, if_version: int, if_era: int | None) -> None:
        if if_era is not None and if_era != self.era:
            raise VersionConflictError(
                f"version {if_version} of {key} is of era {if_era}, "
                f"the store is in {self.era}",
                step="put",
                peer=PEER,
            )
        version = self.version_of(key)
        if version != if_version:
            raise VersionConflictError(
                f"{key} has version {version}, not {if_version}", step="put", peer=PEER
            )

    def _visible_objects(self) -> _Objects:
        return self._objects if self._stale is None else self._stale
