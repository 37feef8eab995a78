"""Cache of claim shards as a router last read or wrote them."""

import threading
from collections import OrderedDict

import attrs

from citrondock_core.claim_shard import ClaimShard


@attrs.frozen(kw_only=True)
class LoadedShard:
    """A shard with the version of its stored object; 0 if it is not stored yet."""

    shard: ClaimShard
    version: int = 0
    size_bytes: int = 0


class ShardCache:
    """The most recently stored shards, up to a total encoded size.

    Parameters
    ----------
    max_bytes : int
        Largest total encoded size of the shards.
    """

    def __init__(self, *, max_bytes: int) -> None:
        self._max_bytes = max_bytes
        self._loaded: OrderedDict[int, LoadedShard] = OrderedDict()
        self._lock = threading.Lock()

    def get(self, shard_number: int) -> LoadedShard | None:
        """Return a shard or None; another router may have changed it since."""
        with self._lock:
            return self._loaded.get(shard_number)

    def put(self, shard_number: int, loaded: LoadedShard) -> None:
        """Store a shard; evict those stored longest ago to keep within the limit."""
        with self._lock:
            self._loaded[shard_number] = loaded
            self._loaded.move_to_end(shard_number)
            while sum(kept.size_bytes for kept in self._loaded.values()) > (
                self._max_bytes
            ):
                self._loaded.popitem(last=False)

    def drop(self, shard_number: int) -> None:
        """Remove a shard, if present."""
        with self._lock:
            self._loaded.pop(shard_number, None)
