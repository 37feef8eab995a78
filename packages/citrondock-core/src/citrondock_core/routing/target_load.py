"""Load and speed of one target, as far as this router can tell."""

import attrs

from citrondock_core.routing.prefix_cache_view import PrefixCacheView
from citrondock_core.routing.route import ModelEngineOptions
from citrondock_core.routing.target_entry import TargetEntry

DEFAULT_PREFILL_TOKENS_PER_S = 60_000.0
"""Prefill rate that is assumed until answers tell; a large accelerator's."""

FIRST_ANSWER_BASE_S = 0.12
"""Time to the first token of an empty prompt at an idle engine."""

_MIN_RATE_FACTOR = 0.25
_MAX_RATE_FACTOR = 2.5
_RATE_GAIN = 0.08
"""Weight of one answer in the learned rate; some twelve answers replace it."""

_MIN_SAMPLE_TOKENS = 1500
"""Prompts below this size say little about the prefill rate."""

_FIRST_SUSPENSION_S = 0.5
_MAX_SUSPENSION_S = 4.0


@attrs.define
class _SentRequest:
    prefill_tokens: int
    memory_tokens: int
    sent_at_s: float
    backlog_tokens: float
    started: bool = False


class TargetLoad:
    """Requests that this router has at a target, and how fast it takes them.

    Parameters
    ----------
    entry : TargetEntry
        The target.
    engine : ModelEngineOptions or None
        Size of a model engine; None for a plain target.
    """

    def __init__(self, entry: TargetEntry, engine: ModelEngineOptions | None) -> None:
        self.entry = entry
        self.engine = engine
        self.cache = PrefixCacheView(engine.memory_tokens if engine else 0)
        self.prefill_tokens_per_s = DEFAULT_PREFILL_TOKENS_PER_S
        self.peer_prefill_tokens = 0.0
        self.peer_running_count = 0
        self.peer_memory_tokens = 0.0
        self.own_prefill_tokens = 0
        self.own_memory_tokens = 0
        self.suspended_until_s = 0.0
        self._failure_count = 0
        self._sent: dict[str, _SentRequest] = {}

    @property
    def own_running_count(self) -> int:
        """Requests of this router that have not ended."""
        return len(self._sent)

    @property
    def running_count(self) -> int:
        """Requests of all routers, as far as known."""
        return len(self._sent) + self.peer_running_count

    @property
    def backlog_s(self) -> float:
        """Time until the prompts sent so far are read."""
        tokens = self.own_prefill_tokens + self.peer_prefill_tokens
        return tokens / self.prefill_tokens_per_s

    def prefill_s(self, tokens: int) -> float:
        """Return how long a prompt takes to be read."""
        return tokens / self.prefill_tokens_per_s

    def has_room(self, memory_tokens: int) -> bool:
        """Return whether a request fits beside those that run."""
        if self.running_count >= self.entry.max_concurrency:
            return False
        if self.engine is None:
            return True
        used = self.own_memory_tokens + self.peer_memory_tokens
        return used == 0 or used + memory_tokens <= self.engine.memory_tokens

    def is_suspended(self, *, now_s: float) -> bool:
        """Return whether failures keep new requests away for a while."""
        return now_s < self.suspended_until_s

    def sent(
        self, key: str, *, prefill_tokens: int, memory_tokens: int, now_s: float
    ) -> None:
        """Count a request that is sent now."""
        backlog = self.own_prefill_tokens + self.peer_prefill_tokens
        self._sent[key] = _SentRequest(prefill_tokens, memory_tokens, now_s, backlog)
        self.own_prefill_tokens += prefill_tokens
        self.own_memory_tokens += memory_tokens

    def first_answer(self, key: str, *, now_s: float) -> None:
        """Take the first bytes of an answer, and learn from their time."""
        sent = self._sent.get(key)
        if sent is None or sent.started:
            return
        sent.started = True
        self.own_prefill_tokens -= sent.prefill_tokens
        self._learn(sent, now_s - sent.sent_at_s)

    def ended(self, key: str) -> None:
        """Forget a request that ended or was given up."""
        sent = self._sent.pop(key, None)
        if sent is None:
            return
        self.own_memory_tokens -= sent.memory_tokens
        if not sent.started:
            self.own_prefill_tokens -= sent.prefill_tokens

    def failed(self, *, now_s: float) -> None:
        """Keep new requests away, longer with each failure in a row."""
        suspension_s = _FIRST_SUSPENSION_S * 2.0**self._failure_count
        self.suspended_until_s = now_s + min(suspension_s, _MAX_SUSPENSION_S)
        self._failure_count = min(self._failure_count + 1, 8)

    def succeeded(self) -> None:
        """Forget earlier failures."""
        self._failure_count = 0
        self.suspended_until_s = 0.0

    def _learn(self, sent: _SentRequest, delay_s: float) -> None:
        tokens = sent.prefill_tokens + sent.backlog_tokens
        if self.engine is None or tokens < _MIN_SAMPLE_TOKENS:
            return
        prefill_s = max(delay_s - FIRST_ANSWER_BASE_S, 0.01)
        low = DEFAULT_PREFILL_TOKENS_PER_S * _MIN_RATE_FACTOR
        high = DEFAULT_PREFILL_TOKENS_PER_S * _MAX_RATE_FACTOR
        rate = min(max(tokens / prefill_s, low), high)
        self.prefill_tokens_per_s += (rate - self.prefill_tokens_per_s) * _RATE_GAIN
