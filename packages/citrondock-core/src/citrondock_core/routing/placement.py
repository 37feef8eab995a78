"""Chooses the target of a request."""

import math
from collections.abc import Collection, Sequence

import attrs

from citrondock_core.rendezvous import RendezvousScores
from citrondock_core.routing.engine_load_view import EngineLoadView
from citrondock_core.routing.engine_speed import FIRST_TOKEN_BASE_S
from citrondock_core.routing.prefix_cache_view import PrefixCacheView
from citrondock_core.routing.request_facts import PromptFacts
from citrondock_core.routing.target_load import TargetLoad


@attrs.frozen(kw_only=True)
class PlacementOptions:
    """Weights of a placement.

    Parameters
    ----------
    other_zone_cost_s : float
        Delay that a target of the own zone may have beyond one of another zone.
    affinity_slack_s : float
        Delay that the engine which keeps a prompt's parts may have beyond another.
    """

    other_zone_cost_s: float = 0.01
    affinity_slack_s: float = 0.1


@attrs.frozen
class PlacementChoice:
    """A target, the tokens that it must read and the predicted first answer."""

    load: TargetLoad
    prefill_tokens: int
    first_answer_s: float


class Placement:
    """Sends prompts where their parts are kept, and others to the least loaded.

    All routers prefer the same engine for prompts that share parts, so that it keeps
    them; faster engines are preferred for more.

    Parameters
    ----------
    availability_zone : str
        Zone of this router.
    hints : EngineLoadView
        Load of engines.
    options : PlacementOptions
        Weights.
    """

    def __init__(
        self,
        availability_zone: str,
        hints: EngineLoadView,
        options: PlacementOptions | None = None,
    ) -> None:
        self._zone = availability_zone
        self._hints = hints
        self.options = options or PlacementOptions()
        self._caches: dict[str, PrefixCacheView] = {}

    def choose_plain(
        self,
        loads: Sequence[TargetLoad],
        *,
        excluded: Collection[str] = (),
        now_s: float,
    ) -> PlacementChoice | None:
        """Return the least loaded target with room, or None."""
        free = [load for load in loads if load.has_free_slot]
        pool = _preferred(free, excluded, now_s)
        if not pool:
            return None
        best = min(pool, key=self._plain_cost)
        return PlacementChoice(best, 0, 0.0)

    def choose_engine(
        self,
        prompt: PromptFacts,
        loads: Sequence[TargetLoad],
        *,
        excluded: Collection[str] = (),
        now_s: float,
    ) -> PlacementChoice | None:
        """Return the engine with the earliest first token, or None without engines."""
        pool = _preferred(loads, excluded, now_s)
        if not pool:
            return None
        favourite = self._favourite(prompt.affinity_key, pool)
        shared_tokens = sum(part.token_count for part in prompt.parts[:-1])
        own_tokens = max(prompt.prompt_token_count - shared_tokens, 0)
        best = self._choice(prompt, favourite, own_tokens, now_s)
        best_cost_s = self._cost_s(best) - self.options.affinity_slack_s
        for load in pool:
            if load is favourite:
                continue
            target_id = load.entry.target_id
            backlog_s = self._hints.backlog_s(target_id, now_s=now_s)
            if FIRST_TOKEN_BASE_S + backlog_s >= best_cost_s:
                continue
            prefill_tokens = self._prefill_tokens(prompt, load)
            choice = self._choice(prompt, load, prefill_tokens, now_s)
            cost_s = self._cost_s(choice)
            if cost_s < best_cost_s:
                best, best_cost_s = choice, cost_s
        return best

    def record_sent(
        self, prompt: PromptFacts, target_id: str, memory_tokens: int
    ) -> None:
        """Note where a prompt went."""
        cache = self._caches.get(target_id)
        if cache is None:
            cache = self._caches[target_id] = PrefixCacheView(memory_tokens)
        cache.add(prompt.parts[:-1])

    def keep_only(self, target_ids: set[str]) -> None:
        """Forget engines that are gone or started anew."""
        for target_id in set(self._caches) - target_ids:
            del self._caches[target_id]

    def _plain_cost(self, load: TargetLoad) -> tuple[float, bool]:
        busy_share = load.running_count / load.entry.max_concurrency
        return busy_share, load.entry.availability_zone != self._zone

    def _favourite(self, key: str, pool: Sequence[TargetLoad]) -> TargetLoad:
        """Return the engine of a weighted rendezvous, the same on all routers."""
        scores = RendezvousScores(key)
        best, best_weight = pool[0], -1.0
        for load in pool:
            target_id = load.entry.target_id
            weight = -self._hints.speed(target_id) / math.log(
                scores.unit_score(target_id)
            )
            if weight > best_weight:
                best, best_weight = load, weight
        return best

    def _cost_s(self, choice: PlacementChoice) -> float:
        is_local = choice.load.entry.availability_zone == self._zone
        other_zone_s = 0.0 if is_local else self.options.other_zone_cost_s
        return choice.first_answer_s + other_zone_s

    def _prefill_tokens(self, prompt: PromptFacts, load: TargetLoad) -> int:
        cache = self._caches.get(load.entry.target_id)
        cached = cache.cached_tokens(prompt.parts[:-1]) if cache else 0
        return max(prompt.prompt_token_count - cached, 0)

    def _choice(
        self, prompt: PromptFacts, load: TargetLoad, prefill_tokens: int, now_s: float
    ) -> PlacementChoice:
        target_id = load.entry.target_id
        backlog_s = self._hints.backlog_s(target_id, now_s=now_s)
        prefill_s = prefill_tokens / self._hints.prefill_tokens_per_s(target_id)
        first_s = FIRST_TOKEN_BASE_S + backlog_s + prefill_s
        return PlacementChoice(load, prefill_tokens, first_s)


def _preferred(
    loads: Sequence[TargetLoad], excluded: Collection[str], now_s: float
) -> Sequence[TargetLoad]:
    """Leave out targets that failed lately, unless none would be left."""
    fresh = [load for load in loads if load.entry.target_id not in excluded] or loads
    return [load for load in fresh if not load.is_suspended(now_s=now_s)] or fresh
