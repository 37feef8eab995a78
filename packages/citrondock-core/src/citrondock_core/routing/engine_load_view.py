"""Estimated load of the engines, from reports that are always a little old.

It answers many routers that choose at the same moment by the same old reports: engines
that looked idle are overrun in turns while others idle.
"""

import random
from collections import deque

import attrs

from citrondock_core.routing.engine_speed import (
    FIRST_TOKEN_BASE_S,
    NOMINAL_PREFILL_TOKENS_PER_S,
)
from citrondock_core.routing.grant import EngineBacklog

MIN_SHARED_ENGINES = 16
"""Engines from which on reports are passed on. A router that sends to fewer hears of
each of them from its own requests."""

MAX_RELAY_AGE_S = 0.5
"""Age up to which a report is passed on to other routers."""

MAX_OWN_PROMPTS = 32
"""Own prompts that are counted on top of a report, the latest ones."""


@attrs.define
class _LoadEstimate:
    backlog_s: float
    reported_at_s: float
    speed_percent: int
    first_token_base_s: float
    # When own prompts were added since, and how long the engine reads them.
    own: deque[tuple[float, float]] = attrs.field(
        factory=lambda: deque(maxlen=MAX_OWN_PROMPTS)
    )

    def backlog_at(self, now_s: float) -> float:
        """Return the backlog if nobody else has sent anything since the report."""
        idle_at_s = self.reported_at_s + self.backlog_s
        for added_at_s, prefill_s in self.own:
            idle_at_s = max(idle_at_s, added_at_s) + prefill_s
        return max(idle_at_s - now_s, 0.0)


class EngineLoadView:
    """Backlog and speed of each engine, as its home router last reported them.

    A reported backlog shrinks as time passes, until the next report replaces it, and
    own prompts are added to it. With `MIN_SHARED_ENGINES` or more, reports are passed
    on, so that each router hears of most engines within a second.

    Parameters
    ----------
    rng : random.Random, optional
        Chooses the reports that are passed on.

    Attributes
    ----------
    speed_version : int
        Changes whenever the speed of an engine does.
    """

    def __init__(self, rng: random.Random | None = None) -> None:
        self.speed_version = 0
        self._rng = rng or random.Random()
        self._by_target: dict[str, _LoadEstimate] = {}
        self._engine_count = 0
        # The keys of `_by_target`, to choose from.
        self._names: list[str] = []

    @property
    def is_shared(self) -> bool:
        """Whether there are enough engines that reports are passed on."""
        return self._engine_count >= MIN_SHARED_ENGINES

    def update(self, backlog: EngineBacklog, *, now_s: float) -> None:
        """Apply a report on an engine, unless a newer one is known."""
        reported_at_s = now_s - backlog.age_s
        known = self._by_target.get(backlog.target_id)
        is_relayed = backlog.age_s > 0
        if is_relayed and known is not None and known.reported_at_s >= reported_at_s:
            return
        if self.speed(backlog.target_id) != backlog.speed_percent / 100:
            self.speed_version += 1
        estimate = _LoadEstimate(
            backlog.backlog_s,
            reported_at_s,
            backlog.speed_percent,
            backlog.first_token_base_s,
        )
        if known is not None:
            estimate.own.extend(own for own in known.own if own[0] > reported_at_s)
        self._by_target[backlog.target_id] = estimate

    def reports(self, count: int, *, now_s: float) -> list[EngineBacklog]:
        """Return fresh reports, chosen at random, to pass on to another router."""
        if not self.is_shared or not self._by_target:
            return []
        if len(self._names) != len(self._by_target):
            self._names = list(self._by_target)
        found: dict[str, EngineBacklog] = {}
        # More are looked at, as some of the reports are old.
        for target_id in self._rng.choices(self._names, k=4 * count):
            known = self._by_target[target_id]
            if now_s - known.reported_at_s <= MAX_RELAY_AGE_S and len(found) < count:
                found[target_id] = EngineBacklog(
                    target_id=target_id,
                    backlog_s=known.backlog_s,
                    speed_percent=known.speed_percent,
                    first_token_base_s=known.first_token_base_s,
                    age_s=now_s - known.reported_at_s,
                )
        return list(found.values())

    def backlog_s(self, target_id: str, *, now_s: float) -> float:
        """Return the estimated backlog of an engine; 0 for an unknown one."""
        estimate = self._by_target.get(target_id)
        return estimate.backlog_at(now_s) if estimate else 0.0

    def add_prompt(self, target_id: str, prefill_s: float, *, now_s: float) -> None:
        """Add a prompt from this router that no report may include yet."""
        estimate = self._by_target.get(target_id)
        if estimate is not None:
            estimate.own.append((now_s, prefill_s))

    def speed(self, target_id: str) -> float:
        """Return the engine's prefill rate as a multiple of the nominal rate."""
        estimate = self._by_target.get(target_id)
        return estimate.speed_percent / 100 if estimate else 1.0

    def prefill_tokens_per_s(self, target_id: str) -> float:
        """Return the engine's estimated prefill rate."""
        return NOMINAL_PREFILL_TOKENS_PER_S * self.speed(target_id)

    def first_token_base_s(self, target_id: str) -> float:
        """Return the time to the first token of an empty prompt on an idle engine."""
        estimate = self._by_target.get(target_id)
        return estimate.first_token_base_s if estimate else FIRST_TOKEN_BASE_S

    def knows(self, target_id: str) -> bool:
        """Return whether there was a report on an engine."""
        return target_id in self._by_target

    def keep_only(self, target_ids: set[str]) -> None:
        """Forget all engines but those named."""
        self._engine_count = len(target_ids)
        for target_id in set(self._by_target) - target_ids:
            del self._by_target[target_id]
            self.speed_version += 1
        self._names = list(self._by_target)
