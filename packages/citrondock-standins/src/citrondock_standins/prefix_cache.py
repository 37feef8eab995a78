"""An engine's cache of prompt prefixes, and the events it publishes late."""

import random
from collections import OrderedDict, deque
from collections.abc import Sequence

import attrs
import xxhash

BLOCK_CHARACTERS = 256
MAX_EVENTS = 10_000


@attrs.frozen(kw_only=True)
class CacheEvent:
    """A block that was stored or evicted."""

    index: int
    kind: str
    block: str
    happened_at_s: float


def block_ids(prompt: str) -> Sequence[str]:
    """Return the ids of a prompt's whole blocks, each covering all before it."""
    digest = xxhash.xxh64()
    ids = []
    for start in range(0, len(prompt) - BLOCK_CHARACTERS + 1, BLOCK_CHARACTERS):
        digest.update(prompt[start : start + BLOCK_CHARACTERS].encode())
        ids.append(digest.hexdigest())
    return ids


class PrefixCache:
    """Blocks of prompts, the least recently used evicted first.

    Parameters
    ----------
    capacity_blocks : int
        Blocks that fit.
    event_lag_s : float
        Time until an event can be read.
    event_gap_probability : float
        Chance that an event is never published.
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
        """Return how many leading blocks are held."""
        for count, block in enumerate(blocks):
            if block not in self._blocks:
                return count
        return len(blocks)

    def store(self, blocks: Sequence[str], *, now_s: float) -> None:
        """Hold blocks as the most recently used."""
        for block in blocks:
            if block not in self._blocks:
                self._publish("stored", block, now_s)
            self._blocks[block] = None
            self._blocks.move_to_end(block)
        while len(self._blocks) > self._capacity_blocks:
            evicted, _ = self._blocks.popitem(last=False)
            self._publish("evicted", evicted, now_s)

    def events(self, *, after: int, now_s: float) -> Sequence[CacheEvent]:
        """Return the published events after an index."""
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
