"""Grants the prompts of all routers to one engine."""

import attrs

from citrondock_core.routing.account_usage import UsageTracker
from citrondock_core.routing.admission_queue import AdmissionQueue
from citrondock_core.routing.engine_speed import FIRST_TOKEN_BASE_S, EngineSpeed
from citrondock_core.routing.grant import (
    EngineBacklog,
    GrantAnswer,
    GrantKey,
    GrantRequest,
    Stage,
    Verdict,
)
from citrondock_core.routing.prefix_cache_view import PrefixCacheView
from citrondock_core.routing.request_facts import PromptPart
from citrondock_core.routing.route import ModelEngineOptions
from citrondock_core.routing.served_ratios import ServedRatios

SERVED_RATIOS_HALF_LIFE_S = 3.0
"""Some seconds, so that a burst of one kind of request is evened out within it."""

OUTPUT_TOKEN_WEIGHT = 2
"""A generated token counts as so many tokens of a prompt in what accounts receive."""


@attrs.frozen(kw_only=True)
class EngineAdmissionOptions:
    """How a home fills its engine.

    Parameters
    ----------
    max_backlog_s : float
        Prefill that the engine is given ahead; the rest waits where its order can
        still change.
    max_account_queue_s : float
        Prefill of one account that may wait; its further asks are refused at once.
    prefill_share : float
        Part of the engine's time that prompts may take; the rest lets running answers
        keep their pace.
    max_unstarted_s : float
        Time after which a grant that is not told to have started no longer counts as
        backlog; its asker may be gone, or the news of it lost.
    max_grant_s : float
        Time after which a grant is forgotten whose end was not told.
    """

    max_backlog_s: float = 0.12
    max_account_queue_s: float = 0.5
    prefill_share: float = 0.97
    max_unstarted_s: float = 1.0
    max_grant_s: float = 20.0


@attrs.define
class _Grant:
    request: GrantRequest
    prefill_tokens: int
    ahead_tokens: float
    granted_at_s: float
    started: bool = False


@attrs.define(eq=False)
class _WaitingRequest:
    request: GrantRequest
    account: str
    kind: str
    arrived_at_s: float
    on_time_until_s: float
    cost_tokens: int


class EngineAdmission:
    """Knows all that was sent to one engine, and decides what is sent next.

    The account that received least goes first; prompts that can still be on time go
    before those that cannot.

    Parameters
    ----------
    target_id : str
        Engine.
    engine : ModelEngineOptions
        Its size.
    usage : UsageTracker
        What accounts received at all engines.
    options : EngineAdmissionOptions
        How full the engine is kept.
    """

    def __init__(
        self,
        target_id: str,
        engine: ModelEngineOptions,
        usage: UsageTracker,
        *,
        options: EngineAdmissionOptions | None = None,
    ) -> None:
        self.target_id = target_id
        self.engine = engine
        self.options = options or EngineAdmissionOptions()
        self.speed = EngineSpeed()
        self.cache = PrefixCacheView(engine.memory_tokens)
        self._usage = usage
        self._ratios = ServedRatios(half_life_s=SERVED_RATIOS_HALF_LIFE_S)
        self._queue: AdmissionQueue[_WaitingRequest] = AdmissionQueue(
            usage, self._ratios
        )
        self._waiting: dict[GrantKey, _WaitingRequest] = {}
        self._grants: dict[GrantKey, _Grant] = {}
        self._busy_until_s = 0.0
        self._unstarted_tokens = 0
        self._memory_tokens = 0

    @property
    def waiting_count(self) -> int:
        """Asks that wait."""
        return len(self._queue)

    @property
    def running_count(self) -> int:
        """Requests that were granted and have not ended."""
        return len(self._grants)

    def keys(self) -> list[GrantKey]:
        """Return the asks that wait or were granted and have not ended."""
        return [*self._waiting, *self._grants]

    def backlog(self, *, now_s: float) -> EngineBacklog:
        """Return the engine's load."""
        waiting_s = self._prefill_s(self._queue.waiting_tokens)
        backlog_s = self._ahead_s(now_s) + waiting_s
        return EngineBacklog(
            target_id=self.target_id,
            backlog_s=backlog_s,
            speed_percent=self.speed.percent,
        )

    def submit(self, request: GrantRequest, *, now_s: float) -> GrantAnswer:
        """Grant an ask, let it wait, or refuse it.

        An ask that is repeated gets the same answer again.
        """
        if request.key in self._grants:
            return self._answer(request.key, Verdict.GRANTED, now_s)
        if request.key in self._waiting:
            return self._answer(request.key, Verdict.QUEUED, now_s)
        self._ratios.record_request(request.kind, now_s=now_s)
        if not self._queue and self._has_room(request, now_s):
            return self._grant(request, now_s)
        prefill_tokens = self._prefill_tokens(request)
        waiting_tokens = self._queue.waiting_tokens_of(request.account)
        is_too_much = self._prefill_s(waiting_tokens) > self.options.max_account_queue_s
        if is_too_much or now_s >= request.wait_until_s:
            return self._answer(request.key, Verdict.REFUSED, now_s)
        waiting = _WaitingRequest(
            request=request,
            account=request.account,
            kind=request.kind,
            arrived_at_s=now_s,
            on_time_until_s=self._grant_by_s(request, prefill_tokens),
            cost_tokens=prefill_tokens,
        )
        answer = self._answer(request.key, Verdict.QUEUED, now_s)
        self._waiting[request.key] = waiting
        self._queue.push(waiting)
        return answer

    def process_queue(self, *, now_s: float) -> list[GrantAnswer]:
        """Return grants and refusals that are due."""
        answers: list[GrantAnswer] = []
        for waiting in list(self._waiting.values()):
            if now_s >= waiting.request.wait_until_s:
                self._forget_waiting(waiting)
                answers.append(
                    self._answer(waiting.request.key, Verdict.REFUSED, now_s)
                )
        if not self._queue or self._ahead_s(now_s) > self.options.max_backlog_s:
            return answers
        for waiting in self._queue.in_order(now_s=now_s):
            if not self._has_room(waiting.request, now_s):
                break
            self._forget_waiting(waiting)
            answers.append(self._grant(waiting.request, now_s))
        return answers

    def record_progress(self, key: GrantKey, stage: Stage, *, now_s: float) -> None:
        """Take news of a request."""
        waiting = self._waiting.get(key)
        if waiting is not None:
            self._forget_waiting(waiting)
            return
        grant = self._grants.get(key)
        if grant is None:
            return
        if stage is Stage.STARTED:
            if not grant.started:
                self._start(grant, now_s)
            return
        del self._grants[key]
        self._memory_tokens -= grant.request.memory_tokens
        if not grant.started:
            self._unstarted_tokens -= grant.prefill_tokens

    def expire(self, *, now_s: float) -> None:
        """Forget grants whose start or end was not told."""
        for key, grant in list(self._grants.items()):
            age_s = now_s - grant.granted_at_s
            if age_s > self.options.max_grant_s:
                self.record_progress(key, Stage.ENDED, now_s=now_s)
            elif age_s > self.options.max_unstarted_s and not grant.started:
                grant.started = True
                self._unstarted_tokens -= grant.prefill_tokens

    def forget_router(self, incarnation: int, *, now_s: float) -> None:
        """Forget all asks and grants of a router's life that has ended."""
        for key in self.keys():
            if key.incarnation == incarnation:
                self.record_progress(key, Stage.ENDED, now_s=now_s)

    def refuse_waiting(self, *, now_s: float) -> list[GrantAnswer]:
        """Refuse all that waits; the engine takes no more."""
        answers = []
        for waiting in list(self._waiting.values()):
            self._forget_waiting(waiting)
            answers.append(self._answer(waiting.request.key, Verdict.REFUSED, now_s))
        return answers

    def _ahead_s(self, now_s: float) -> float:
        """Return the engine's prefill backlog.

        It is the larger of what the model expects and of what was granted and has not
        started, less what is on its way between prefill and first token.
        """
        unstarted_s = self._unstarted_tokens / self.speed.tokens_per_s
        late_s = unstarted_s - FIRST_TOKEN_BASE_S
        return max(self._busy_until_s - now_s, late_s, 0.0)

    def _has_room(self, request: GrantRequest, now_s: float) -> bool:
        if self._ahead_s(now_s) > self.options.max_backlog_s:
            return False
        if len(self._grants) >= self.engine.max_batch_size:
            return False
        used = self._memory_tokens
        return used == 0 or used + request.memory_tokens <= self.engine.memory_tokens

    def _grant(self, request: GrantRequest, now_s: float) -> GrantAnswer:
        tokens = self._prefill_tokens(request)
        self.cache.add((*request.shared_parts, self._own_part(request)))
        ahead_tokens = max(self._busy_until_s - now_s, 0.0) * self._paced_rate
        start_s = max(self._busy_until_s, now_s)
        self._busy_until_s = start_s + self._prefill_s(tokens)
        self._grants[request.key] = _Grant(request, tokens, ahead_tokens, now_s)
        self._unstarted_tokens += tokens
        self._ratios.record_served(request.kind, now_s=now_s)
        self._memory_tokens += request.memory_tokens
        received = request.prompt_tokens + OUTPUT_TOKEN_WEIGHT * request.output_tokens
        self._usage.add(request.account, received, now_s=now_s)
        return self._answer(request.key, Verdict.GRANTED, now_s)

    def _start(self, grant: _Grant, now_s: float) -> None:
        grant.started = True
        self._unstarted_tokens -= grant.prefill_tokens
        read_tokens = grant.prefill_tokens + grant.ahead_tokens
        self.speed.learn(read_tokens, now_s - grant.granted_at_s)

    def _answer(self, key: GrantKey, verdict: Verdict, now_s: float) -> GrantAnswer:
        first_s = FIRST_TOKEN_BASE_S + self._ahead_s(now_s)
        if verdict is not Verdict.GRANTED:
            first_s += self._prefill_s(self._queue.waiting_tokens)
        return GrantAnswer(key=key, verdict=verdict, first_answer_s=first_s)

    def _prefill_tokens(self, request: GrantRequest) -> int:
        cached = self.cache.cached_tokens(request.shared_parts)
        return max(request.prompt_tokens - cached, 0)

    def _grant_by_s(self, request: GrantRequest, prefill_tokens: int) -> float:
        """Return when an ask must be granted for its first token to be on time."""
        ahead_s = FIRST_TOKEN_BASE_S + self.options.max_backlog_s
        prefill_s = prefill_tokens / self.speed.tokens_per_s
        return request.on_time_until_s - ahead_s - prefill_s

    @staticmethod
    def _own_part(request: GrantRequest) -> PromptPart:
        """Return what no other prompt shares; it takes room in the cache too."""
        shared = sum(part.token_count for part in request.shared_parts)
        own_tokens = max(request.memory_tokens - shared, 0)
        return PromptPart(f"{request.key.incarnation}/{request.key.number}", own_tokens)

    @property
    def _paced_rate(self) -> float:
        return self.speed.tokens_per_s * self.options.prefill_share

    def _prefill_s(self, tokens: float) -> float:
        return tokens / self._paced_rate

    def _forget_waiting(self, waiting: _WaitingRequest) -> None:
        del self._waiting[waiting.request.key]
        self._queue.remove(waiting)
