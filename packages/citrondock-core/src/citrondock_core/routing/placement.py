"""Chooses the target of a request."""

from collections.abc import Collection, Sequence

import attrs

from citrondock_core.rendezvous import score
from citrondock_core.routing.request_facts import PromptFacts
from citrondock_core.routing.target_load import FIRST_ANSWER_BASE_S, TargetLoad


@attrs.frozen(kw_only=True)
class PlacementOptions:
    """Weights of a placement.

    Parameters
    ----------
    max_backlog_s : float
        Prefill that an engine is given ahead; the rest waits in the router, where its
        order can still change.
    other_zone_cost_s : float
        Delay that a target of the own zone may have beyond one of another zone.
    affinity_slack_s : float
        Delay that the engine which keeps a prompt's parts may have beyond another.
    """

    max_backlog_s: float = 0.35
    other_zone_cost_s: float = 0.02
    affinity_slack_s: float = 0.05


@attrs.frozen
class PlacementChoice:
    """A target, the tokens that it must read and the predicted first answer."""

    load: TargetLoad
    prefill_tokens: int
    memory_tokens: int
    first_answer_s: float


class Placement:
    """Sends prompts where their parts are kept, and others to the least loaded.

    Parameters
    ----------
    availability_zone : str
        Zone of this router.
    options : PlacementOptions
        Weights.
    """

    def __init__(
        self, availability_zone: str, options: PlacementOptions | None = None
    ) -> None:
        self._zone = availability_zone
        self.options = options or PlacementOptions()

    def choose(
        self,
        prompt: PromptFacts | None,
        loads: Sequence[TargetLoad],
        *,
        excluded: Collection[str] = (),
        now_s: float,
    ) -> PlacementChoice | None:
        """Return the best target with room now, or None.

        Targets that failed lately are used when no other is there.
        """
        candidates = [
            load for load in loads if load.entry.target_id not in excluded
        ] or list(loads)
        sound = [load for load in candidates if not load.is_suspended(now_s=now_s)]
        pool = sound or candidates
        if prompt is None:
            return self._least_loaded(pool)
        return self._best_for_prompt(prompt, pool)

    def _least_loaded(self, pool: Sequence[TargetLoad]) -> PlacementChoice | None:
        free = [load for load in pool if load.has_room(0)]
        if not free:
            return None
        best = min(free, key=self._plain_cost)
        return PlacementChoice(best, 0, 0, 0.0)

    def _plain_cost(self, load: TargetLoad) -> tuple[float, bool]:
        busy_share = load.running_count / load.entry.max_concurrency
        return busy_share, load.entry.availability_zone != self._zone

    def _best_for_prompt(
        self, prompt: PromptFacts, pool: Sequence[TargetLoad]
    ) -> PlacementChoice | None:
        key = prompt.affinity_key
        favourite = max(pool, key=lambda load: score(key, load.entry.target_id), default=None)
        best: PlacementChoice | None = None
        best_cost_s = 0.0
        for load in pool:
            choice = self._choice(prompt, load, is_favourite=load is favourite)
            if choice is None:
                continue
            cost_s = choice.first_answer_s
            if load.entry.availability_zone != self._zone:
                cost_s += self.options.other_zone_cost_s
            if load is favourite:
                cost_s -= self.options.affinity_slack_s
            if best is None or cost_s < best_cost_s:
                best, best_cost_s = choice, cost_s
        return best

    def _choice(
        self, prompt: PromptFacts, load: TargetLoad, *, is_favourite: bool
    ) -> PlacementChoice | None:
        output = prompt.expected_output_token_count or prompt.max_output_token_count
        memory = prompt.prompt_token_count + output
        if load.backlog_s > self.options.max_backlog_s or not load.has_room(memory):
            return None
        shared = prompt.parts[:-1]
        if is_favourite:
            cached = sum(part.token_count for part in shared)
        else:
            cached = load.cache.cached_tokens(shared)
        prefill = max(prompt.prompt_token_count - cached, 0)
        first_s = FIRST_ANSWER_BASE_S + load.backlog_s + load.prefill_s(prefill)
        return PlacementChoice(load, prefill, memory, first_s)
