"""Shards of claims as a router last read or wrote them."""

import threading
from collections import OrderedDict

import attrs

from citrondock_core.claim_shard import ClaimShard


@attrs.frozen(kw_only=True)
class LoadedShard:
    """A shard and the version of its object, 0 when there is none."""

    shard: ClaimShard
    version: int = 0
    size_bytes: int = 0


class ShardCache:
    """The shards used last, within a bound on their bytes.

    Parameters
    ----------
    max_bytes : int
        Most bytes of encoded shards.
    """

    def __init__(self, *, max_bytes: int) -> None:
        self._max_bytes = max_bytes
        self._loaded: OrderedDict[int, LoadedShard] = OrderedDict()
        self._lock = threading.Lock()

    def get(self, shard_number: int) -> LoadedShard | None:
        """Return the shard as last known; others may have changed it since."""
        with self._lock:
            return self._loaded.get(shard_number)

    def put(self, shard_number: int, loaded: LoadedShard) -> None:
        """Keep a shard, and drop those used longest ago to make room."""
        with self._lock:
            self._loaded[shard_number] = loaded
            self._loaded.move_to_end(shard_number)
            while sum(kept.size_bytes for kept in self._loaded.values()) > (
                self._max_bytes
            ):
                self._loaded.popitem(last=False)

    def drop(self, shard_number: int) -> None:
        """Forget a shard."""
        with self._lock:
            self._loaded.pop(shard_number, None)
