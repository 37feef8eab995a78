"""Chooses the target of a request."""

import heapq
import math
import random
from collections import OrderedDict
from collections.abc import Collection, Sequence

import attrs

from citrondock_core.rendezvous import RendezvousScores
from citrondock_core.routing.engine_load_view import EngineLoadView
from citrondock_core.routing.prefix_cache_view import PrefixCacheView
from citrondock_core.routing.request_facts import PromptFacts
from citrondock_core.routing.target_load import TargetLoad


@attrs.frozen(kw_only=True)
class PlacementOptions:
    """Trade-offs between delay, zone and prefix cache affinity.

    Parameters
    ----------
    other_zone_cost_s : float
        Extra delay up to which an engine of this router's zone is chosen over one of
        another zone.
    affinity_slack_s : float
        Extra delay up to which a prompt's preferred engine is chosen over another.
    """

    other_zone_cost_s: float = 0.01
    affinity_slack_s: float = 0.1


@attrs.frozen
class PlacementChoice:
    """A chosen target, the tokens to prefill there and the time to the first answer."""

    load: TargetLoad
    prefill_tokens: int
    first_answer_s: float


MAX_REMEMBERED_KEYS = 1024
"""Affinity keys whose preferred engines are remembered."""

RANKED_ENGINES = 8
"""Engines that are remembered for each key, the most preferred ones."""

OVERFLOW_ENGINES = 3
"""Engines behind the preferred one to which all routers send what finds no room there,
so that shared parts are cached on few engines."""

SAMPLED_ENGINES = 2
"""Further engines that are considered, chosen at random. Among many engines, the one
that looks best to all routers would be overrun."""

OVERFLOW_CACHED_SHARE = 0.5
"""Share of the shared parts that an overflow engine is expected to hold already, as
other routers send prompts with them there, too."""


class Placement:
    """Places prompts by prefix cache affinity and delay, other requests by load.

    All routers prefer the same engine for prompts that share parts, so that the parts
    stay in its prefix cache. Faster engines are preferred for more prompts.

    Parameters
    ----------
    availability_zone : str
        Zone of this router.
    load_view : EngineLoadView
        Estimated load of the engines.
    options : PlacementOptions
        Trade-offs.
    rng : random.Random, optional
        Samples engines.
    """

    def __init__(
        self,
        availability_zone: str,
        load_view: EngineLoadView,
        options: PlacementOptions | None = None,
        rng: random.Random | None = None,
    ) -> None:
        self._rng = rng or random.Random()
        self._zone = availability_zone
        self._load_view = load_view
        self.options = options or PlacementOptions()
        self._caches: dict[str, PrefixCacheView] = {}
        self._rankings: OrderedDict[str, list[str]] = OrderedDict()
        self._ranked_by: tuple[int, tuple[str, ...]] = (0, ())

    def choose_plain(
        self,
        loads: Sequence[TargetLoad],
        *,
        excluded: Collection[str] = (),
        now_s: float,
    ) -> PlacementChoice | None:
        """Return the least loaded target that has a free slot.

        Parameters
        ----------
        loads : sequence of TargetLoad
            Targets of the service.
        excluded : collection of str
            Ids of targets that are chosen only if there are no others.
        now_s : float
            Monotonic time.

        Returns
        -------
        PlacementChoice or None
            None without a target that has a free slot.
        """
        free = [load for load in loads if load.has_free_slot]
        pool = _eligible_targets(free, excluded, now_s)
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
        """Return the engine for a prompt, or None without engines.

        It is the preferred engine unless another one is expected to answer earlier by
        more than the affinity slack. See `choose_plain` for the parameters. Of many
        engines, only the overflow engines of the prompt's key and a random sample are
        considered.
        """
        pool = _eligible_targets(loads, excluded, now_s)
        if not pool:
            return None
        ranking = self._ranking(prompt.affinity_key, loads)
        ranked = _in_order_of(ranking, pool)
        preferred = ranked[0] if ranked else self._best_ranked(prompt, pool)
        shared_tokens = sum(part.token_count for part in prompt.parts[:-1])
        own_tokens = max(prompt.prompt_token_count - shared_tokens, 0)
        overflow_ids: set[str] = set()
        others = pool
        if self._load_view.is_shared:
            overflow = ranked[1 : OVERFLOW_ENGINES + 1]
            sample = self._rng.sample(pool, min(SAMPLED_ENGINES, len(pool)))
            others = [*overflow, *sample]
            overflow_ids = {load.entry.target_id for load in overflow}
            if preferred.entry.target_id != ranking[0]:
                # The engine that holds the shared parts may not be used now.
                overflow_ids.add(preferred.entry.target_id)
        prefill_tokens = own_tokens
        if preferred.entry.target_id in overflow_ids:
            prefill_tokens = self._overflow_tokens(prompt, preferred, own_tokens)
        best = self._choice(preferred, prefill_tokens, now_s)
        best_cost_s = self._cost_s(best) - self.options.affinity_slack_s
        for load in others:
            if load is preferred:
                continue
            target_id = load.entry.target_id
            backlog_s = self._load_view.backlog_s(target_id, now_s=now_s)
            base_s = self._load_view.first_token_base_s(target_id)
            if base_s + backlog_s >= best_cost_s:
                continue
            if target_id in overflow_ids:
                prefill_tokens = self._overflow_tokens(prompt, load, own_tokens)
            else:
                prefill_tokens = self._prefill_tokens(prompt, load)
            choice = self._choice(load, prefill_tokens, now_s)
            cost_s = self._cost_s(choice)
            if cost_s < best_cost_s:
                best, best_cost_s = choice, cost_s
        return best

    def choose_slot(
        self,
        loads: Sequence[TargetLoad],
        *,
        excluded: Collection[str] = (),
        now_s: float,
    ) -> PlacementChoice | None:
        """Return the target that is expected to have a free slot first.

        See `choose_plain` for the parameters; routers get the slots from home routers.
        """
        pool = _eligible_targets(loads, excluded, now_s)
        if not pool:
            return None
        choices = [self._choice(load, 0, now_s) for load in pool]
        return min(
            choices,
            key=lambda choice: (
                self._cost_s(choice),
                choice.load.busy_share,
                self._rng.random(),
            ),
        )

    def record_sent(
        self, prompt: PromptFacts, target_id: str, memory_tokens: int
    ) -> None:
        """Record that an engine with this much memory now caches a prompt's parts."""
        cache = self._caches.get(target_id)
        if cache is None:
            cache = self._caches[target_id] = PrefixCacheView(memory_tokens)
        cache.add(prompt.parts[:-1])

    def keep_only(self, target_ids: set[str]) -> None:
        """Forget the cache contents of all engines but those named."""
        for target_id in set(self._caches) - target_ids:
            del self._caches[target_id]

    def _plain_cost(self, load: TargetLoad) -> tuple[float, bool]:
        return load.busy_share, load.entry.availability_zone != self._zone

    def _best_ranked(
        self, prompt: PromptFacts, pool: Sequence[TargetLoad]
    ) -> TargetLoad:
        """Return the winner of weighted rendezvous hashing among some engines."""
        scores = RendezvousScores(prompt.affinity_key)
        return max(pool, key=lambda load: self._weight(scores, load.entry.target_id))

    def _ranking(self, key: str, loads: Sequence[TargetLoad]) -> list[str]:
        """Return the engines that a key prefers most, best first."""
        target_ids = tuple([load.entry.target_id for load in loads])
        ranked_by = (self._load_view.speed_version, target_ids)
        if ranked_by != self._ranked_by:
            self._ranked_by = ranked_by
            self._rankings.clear()
        ranking = self._rankings.get(key)
        if ranking is None:
            scores = RendezvousScores(key)
            ranking = heapq.nlargest(
                RANKED_ENGINES,
                target_ids,
                key=lambda target_id: self._weight(scores, target_id),
            )
            self._rankings[key] = ranking
            if len(self._rankings) > MAX_REMEMBERED_KEYS:
                self._rankings.popitem(last=False)
        else:
            self._rankings.move_to_end(key)
        return ranking

    def _weight(self, scores: RendezvousScores, target_id: str) -> float:
        speed = self._load_view.speed(target_id)
        return -speed / math.log(scores.unit_score(target_id))

    def _cost_s(self, choice: PlacementChoice) -> float:
        is_local = choice.load.entry.availability_zone == self._zone
        other_zone_s = 0.0 if is_local else self.options.other_zone_cost_s
        return choice.first_answer_s + other_zone_s

    def _prefill_tokens(self, prompt: PromptFacts, load: TargetLoad) -> int:
        cache = self._caches.get(load.entry.target_id)
        cached = cache.cached_tokens(prompt.parts[:-1]) if cache else 0
        return max(prompt.prompt_token_count - cached, 0)

    def _overflow_tokens(
        self, prompt: PromptFacts, load: TargetLoad, own_tokens: int
    ) -> int:
        """Return the tokens that an overflow engine is expected to read."""
        uncached = max(self._prefill_tokens(prompt, load) - own_tokens, 0)
        return own_tokens + int(uncached * (1 - OVERFLOW_CACHED_SHARE))

    def _choice(
        self, load: TargetLoad, prefill_tokens: int, now_s: float
    ) -> PlacementChoice:
        target_id = load.entry.target_id
        backlog_s = self._load_view.backlog_s(target_id, now_s=now_s)
        prefill_s = prefill_tokens / self._load_view.prefill_tokens_per_s(target_id)
        base_s = self._load_view.first_token_base_s(target_id)
        first_s = base_s + backlog_s + prefill_s
        return PlacementChoice(load, prefill_tokens, first_s)


def _in_order_of(
    target_ids: Sequence[str], pool: Sequence[TargetLoad]
) -> list[TargetLoad]:
    """Return the targets among a pool that are named, in the order of their names."""
    wanted = set(target_ids)
    found = {
        load.entry.target_id: load for load in pool if load.entry.target_id in wanted
    }
    return [found[target_id] for target_id in target_ids if target_id in found]


def _eligible_targets(
    loads: Sequence[TargetLoad], excluded: Collection[str], now_s: float
) -> Sequence[TargetLoad]:
    """Leave out excluded and suspended targets, each unless none would be left."""
    candidates = [
        load for load in loads if load.entry.target_id not in excluded
    ] or loads
    return [
        load for load in candidates if not load.is_suspended(now_s=now_s)
    ] or candidates
