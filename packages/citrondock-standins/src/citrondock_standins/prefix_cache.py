"""Simulated prefix cache of an engine, with delayed and lossy cache events."""

import random
from collections import OrderedDict, deque
from collections.abc import Sequence

import attrs
import xxhash

BLOCK_CHARACTERS = 256
MAX_EVENTS = 10_000


@attrs.frozen(kw_only=True)
class CacheEvent:
    """Event for a block that was stored or evicted."""

    index: int
    kind: str
    block: str
    happened_at_s: float


def block_ids(prompt: str) -> Sequence[str]:
    """Return the ids of a prompt's full blocks; an id also hashes all blocks before."""
    digest = xxhash.xxh64()
    ids = []
    for start in range(0, len(prompt) - BLOCK_CHARACTERS + 1, BLOCK_CHARACTERS):
        digest.update(prompt[start : start + BLOCK_CHARACTERS].encode())
        ids.append(digest.hexdigest())
    return ids


class PrefixCache:
    """LRU cache of prompt blocks.

    Parameters
    ----------
    capacity_blocks : int
        Maximum number of blocks.
    event_lag_s : float
        Seconds until an event can be read.
    event_gap_probability : float
        Probability that an event is never published, which leaves a gap in the indices.
    seed : int
        Seed of the gaps.
    """

    def __init__(
        self,
        *,
        capacity_blocks: int,
        event_lag_s: float,
        event_gap_probability: float,
        seed: int,
    ) -> None:
        self._capacity_blocks = capacity_blocks
        self._event_lag_s = event_lag_s
        self._event_gap_probability = event_gap_probability
        self._random = random.Random(seed)
        self._blocks: OrderedDict[str, None] = OrderedDict()
        self._events: deque[CacheEvent] = deque(maxlen=MAX_EVENTS)
        self._next_index = 0

    def hit_count(self, blocks: Sequence[str]) -> int:
        """Return the number of leading blocks that are cached."""
        for count, block in enumerate(blocks):
            if block not in self._blocks:
                return count
        return len(blocks)

    def store(self, blocks: Sequence[str], *, now_s: float) -> None:
        """Store blocks or mark them as used, and evict the least recently used ones."""
        for block in blocks:
            if block not in self._blocks:
                self._publish("stored", block, now_s)
            self._blocks[block] = None
            self._blocks.move_to_end(block)
        while len(self._blocks) > self._capacity_blocks:
            evicted, _ = self._blocks.popitem(last=False)
            self._publish("evicted", evicted, now_s)

    def events(self, *, after: int, now_s: float) -> Sequence[CacheEvent]:
        """Return the events after an index that are visible by now."""
        latest_s = now_s - self._event_lag_s
        return [
            event
            for event in self._events
            if event.index > after and event.happened_at_s <= latest_s
        ]

    def _publish(self, kind: str, block: str, now_s: float) -> None:
        index = self._next_index
        self._next_index += 1
        if self._random.random() >= self._event_gap_probability:
            self._events.append(
                CacheEvent(index=index, kind=kind, block=block, happened_at_s=now_s)
            )
