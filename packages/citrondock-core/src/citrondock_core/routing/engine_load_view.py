"""Load of engines as their homes told it last."""

import attrs

from citrondock_core.routing.engine_speed import NOMINAL_PREFILL_TOKENS_PER_S
from citrondock_core.routing.grant import EngineBacklog


@attrs.define
class _Hint:
    idle_at_s: float
    speed_percent: int


class EngineLoadView:
    """What a router believes of engines that others are homes of.

    A backlog that was told shrinks with time until it is told anew.
    """

    def __init__(self) -> None:
        self._by_target: dict[str, _Hint] = {}

    def update(self, backlog: EngineBacklog, *, now_s: float) -> None:
        """Take what a home says."""
        idle_at_s = now_s + backlog.backlog_s
        self._by_target[backlog.target_id] = _Hint(idle_at_s, backlog.speed_percent)

    def backlog_s(self, target_id: str, *, now_s: float) -> float:
        """Return the expected backlog of an engine."""
        hint = self._by_target.get(target_id)
        return max(hint.idle_at_s - now_s, 0.0) if hint else 0.0

    def add(self, target_id: str, prefill_s: float, *, now_s: float) -> None:
        """Count a prompt of this router that its home may not have told yet."""
        hint = self._by_target.get(target_id)
        if hint is not None:
            hint.idle_at_s = max(hint.idle_at_s, now_s) + prefill_s

    def speed(self, target_id: str) -> float:
        """Return the engine's speed against the usual one."""
        hint = self._by_target.get(target_id)
        return hint.speed_percent / 100 if hint else 1.0

    def prefill_tokens_per_s(self, target_id: str) -> float:
        """Return the rate at which an engine reads prompts."""
        return NOMINAL_PREFILL_TOKENS_PER_S * self.speed(target_id)

    def keep_only(self, target_ids: set[str]) -> None:
        """Forget engines that are gone."""
        for target_id in set(self._by_target) - target_ids:
            del self._by_target[target_id]
