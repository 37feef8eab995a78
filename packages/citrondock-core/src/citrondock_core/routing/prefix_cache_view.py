"""Estimated contents of a target's prefix cache."""

from collections import OrderedDict
from collections.abc import Iterable

from citrondock_core.routing.request_facts import PromptPart


class PrefixCacheView:
    """Models a target's prefix cache as an LRU cache of the prompt parts sent to it.

    Parameters
    ----------
    capacity_tokens : int
        Capacity of the target's cache.
    """

    def __init__(self, capacity_tokens: int) -> None:
        self._capacity_tokens = capacity_tokens
        self._tokens_by_part: OrderedDict[str, int] = OrderedDict()
        self._held_tokens = 0

    def cached_tokens(self, parts: Iterable[PromptPart]) -> int:
        """Return how many leading tokens of a prompt need no prefill."""
        cached = 0
        for part in parts:
            if part.part_id not in self._tokens_by_part:
                break
            cached += part.token_count
        return cached

    def add(self, parts: Iterable[PromptPart]) -> None:
        """Add the parts of a prompt that was sent; evict the least recently used."""
        for part in parts:
            held = self._tokens_by_part.pop(part.part_id, None)
            if held is None:
                self._held_tokens += part.token_count
            self._tokens_by_part[part.part_id] = part.token_count
        while self._held_tokens > self._capacity_tokens and self._tokens_by_part:
            _, tokens = self._tokens_by_part.popitem(last=False)
            self._held_tokens -= tokens
