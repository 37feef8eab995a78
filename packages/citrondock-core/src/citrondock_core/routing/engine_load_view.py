"""Estimated load of the engines, from the reports of their home routers."""

import attrs

from citrondock_core.routing.engine_speed import NOMINAL_PREFILL_TOKENS_PER_S
from citrondock_core.routing.grant import EngineBacklog


@attrs.define
class _LoadEstimate:
    idle_at_s: float
    speed_percent: int


class EngineLoadView:
    """Backlog and speed of each engine, as its home router last reported them.

    A reported backlog shrinks as time passes, until the next report replaces it.

    Attributes
    ----------
    speed_version : int
        Changes whenever the speed of an engine does.
    """

    def __init__(self) -> None:
        self.speed_version = 0
        self._by_target: dict[str, _LoadEstimate] = {}

    def update(self, backlog: EngineBacklog, *, now_s: float) -> None:
        """Apply a report from an engine's home router."""
        if self.speed(backlog.target_id) != backlog.speed_percent / 100:
            self.speed_version += 1
        idle_at_s = now_s + backlog.backlog_s
        self._by_target[backlog.target_id] = _LoadEstimate(
            idle_at_s, backlog.speed_percent
        )

    def backlog_s(self, target_id: str, *, now_s: float) -> float:
        """Return the estimated backlog of an engine; 0 for an unknown one."""
        estimate = self._by_target.get(target_id)
        return max(estimate.idle_at_s - now_s, 0.0) if estimate else 0.0

    def add_prompt(self, target_id: str, prefill_s: float, *, now_s: float) -> None:
        """Add a prompt from this router that no report may include yet."""
        estimate = self._by_target.get(target_id)
        if estimate is not None:
            estimate.idle_at_s = max(estimate.idle_at_s, now_s) + prefill_s

    def speed(self, target_id: str) -> float:
        """Return the engine's prefill rate as a multiple of the nominal rate."""
        estimate = self._by_target.get(target_id)
        return estimate.speed_percent / 100 if estimate else 1.0

    def prefill_tokens_per_s(self, target_id: str) -> float:
        """Return the engine's estimated prefill rate."""
        return NOMINAL_PREFILL_TOKENS_PER_S * self.speed(target_id)

    def keep_only(self, target_ids: set[str]) -> None:
        """Forget all engines but those named."""
        for target_id in set(self._by_target) - target_ids:
            del self._by_target[target_id]
            self.speed_version += 1
