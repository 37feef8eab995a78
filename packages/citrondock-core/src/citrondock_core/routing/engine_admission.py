"""Admission control for one engine, which runs on the engine's home router."""

import attrs

from citrondock_core.routing.account_usage import UsageTracker
from citrondock_core.routing.admission_queue import AdmissionQueue
from citrondock_core.routing.engine_speed import EngineSpeed
from citrondock_core.routing.grant import (
    EngineBacklog,
    GrantAnswer,
    GrantKey,
    GrantRequest,
    RefusalReason,
    Stage,
    Verdict,
)
from citrondock_core.routing.prefix_cache_view import PrefixCacheView
from citrondock_core.routing.request_facts import PromptPart
from citrondock_core.routing.request_limiter import RequestLimiter
from citrondock_core.routing.route import ModelEngineOptions
from citrondock_core.routing.served_ratios import ServedRatios

SERVED_RATIOS_HALF_LIFE_S = 3.0
"""Half-life of the counts by which the kinds of requests are served in equal ratios; a
burst of one kind is evened out within a few seconds."""

HOLD_GAIN = 0.1
"""Weight of one request in the mean time for which a slot is held."""


@attrs.frozen(kw_only=True)
class EngineAdmissionOptions:
    """Limits of what is sent to an engine and of what waits for it.

    Parameters
    ----------
    max_backlog_s : float
        Prefill time that may be queued at the engine; further prompts wait here, where
        their order can still change.
    max_account_queue_s : float
        Prefill time of one account that may wait here; its further requests are refused
        at once.
    prefill_share : float
        Share of the engine's time that prefill may take; the rest lets running requests
        keep their pace.
    max_unstarted_s : float
        Time after which a grant without a reported start no longer counts as backlog:
        the requesting router may be gone, or its report lost.
    confirm_period_s : float
        Period in which routers are reminded of their grants; they return those that
        they do not use. A grant without a reported start is first confirmed after
        ``max_unstarted_s``.
    max_grant_s : float
        Time after which a grant without a reported end is dropped.
    """

    max_backlog_s: float = 0.12
    max_account_queue_s: float = 0.5
    prefill_share: float = 0.97
    max_unstarted_s: float = 1.0
    confirm_period_s: float = 5.0
    max_grant_s: float = 20.0


@attrs.define
class _Grant:
    request: GrantRequest
    prefill_tokens: int
    backlog_tokens: float
    granted_at_s: float
    confirm_at_s: float
    found_idle: bool
    """Whether nothing else was to be read when it was granted."""
    started: bool = False


@attrs.define(eq=False)
class _WaitingRequest:
    request: GrantRequest
    account: str
    kind: str
    arrived_at_s: float
    on_time_until_s: float
    cost_tokens: int
    continues_stream: bool


class EngineAdmission:
    """Grants, queues or refuses the prompts that routers want to send to one engine.

    The account with the lowest recent usage goes first, see `AdmissionQueue`.

    Parameters
    ----------
    target_id : str
        Id of the engine.
    engine : ModelEngineOptions
        Its batch size and memory.
    usage : UsageTracker
        Recent usage by account, at all engines.
    options : EngineAdmissionOptions
        Limits of the backlog and of the queue.
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
        self._mean_hold_s = 0.0
        self._limiter: RequestLimiter | None = None

    @property
    def waiting_count(self) -> int:
        """Number of requests in the queue."""
        return len(self._queue)

    @property
    def running_count(self) -> int:
        """Number of granted requests that have not ended."""
        return len(self._grants)

    def set_limit(self, requests_per_s: float | None, *, now_s: float) -> None:
        """Limit the rate of granted requests, or lift the limit."""
        if requests_per_s is None:
            self._limiter = None
        elif self._limiter is None:
            self._limiter = RequestLimiter(requests_per_s, now_s=now_s)
        else:
            self._limiter.set_rate(requests_per_s, now_s=now_s)

    def keys(self) -> list[GrantKey]:
        """Return the keys of all waiting and granted requests that have not ended."""
        return [*self._waiting, *self._grants]

    def backlog(self, *, now_s: float) -> EngineBacklog:
        """Return the engine's load, the queue here included."""
        waiting_s = self._prefill_s(self._queue.waiting_tokens)
        backlog_s = self._backlog_s(now_s) + waiting_s
        ahead_count = len(self._queue)
        backlog_s = max(
            backlog_s,
            self._limit_wait_s(ahead_count, now_s),
            self._slot_wait_s(ahead_count),
        )
        return EngineBacklog(
            target_id=self.target_id,
            backlog_s=backlog_s,
            speed_percent=self.speed.percent,
            first_token_base_s=self.speed.first_token_base_s,
        )

    def submit(self, request: GrantRequest, *, now_s: float) -> GrantAnswer:
        """Grant, queue or refuse a request.

        A repeated request, such as a resent datagram, gets the same verdict again.
        """
        if request.is_permit:
            return self._submit_permit(request, now_s)
        if request.key in self._grants:
            return self._answer(request, Verdict.GRANTED, now_s)
        if request.key in self._waiting:
            return self._answer(request, Verdict.QUEUED, now_s)
        self._ratios.record_request(request.kind, now_s=now_s)
        if not self._queue and self._has_capacity(request, now_s):
            return self._grant(request, now_s)
        prefill_tokens = self._prefill_tokens(request)
        waiting_tokens = self._queue.waiting_tokens_of(request.account)
        is_account_queue_full = (
            self._prefill_s(waiting_tokens) > self.options.max_account_queue_s
        )
        if is_account_queue_full and not request.continues_stream:
            return self._refuse(request, RefusalReason.ACCOUNT_QUEUE_FULL, now_s)
        if now_s >= request.wait_until_s:
            return self._refuse(request, RefusalReason.WAITED_OUT, now_s)
        waiting = _WaitingRequest(
            request=request,
            account=request.account,
            kind=request.kind,
            arrived_at_s=now_s,
            on_time_until_s=self._grant_deadline_s(request, prefill_tokens),
            cost_tokens=prefill_tokens,
            continues_stream=request.continues_stream,
        )
        answer = self._answer(request, Verdict.QUEUED, now_s)
        self._waiting[request.key] = waiting
        self._queue.push(waiting)
        return answer

    def process_queue(self, *, now_s: float) -> list[GrantAnswer]:
        """Grant queued requests while there is capacity, and refuse expired ones."""
        answers: list[GrantAnswer] = []
        for waiting in list(self._waiting.values()):
            if now_s >= waiting.request.wait_until_s:
                self._remove_waiting(waiting)
                reason = RefusalReason.WAITED_OUT
                answers.append(self._refuse(waiting.request, reason, now_s))
        answers += self._refuse_beyond_limit(now_s)
        if not self._queue or self._backlog_s(now_s) > self.options.max_backlog_s:
            return answers
        for waiting in self._queue.in_order(now_s=now_s):
            if not self._has_capacity(waiting.request, now_s):
                break
            self._remove_waiting(waiting)
            answers.append(self._grant(waiting.request, now_s))
        return answers

    def _refuse_beyond_limit(self, now_s: float) -> list[GrantAnswer]:
        """Refuse the queued requests that the limit does not let pass in time."""
        answers: list[GrantAnswer] = []
        if self._limiter is None or not self._queue:
            return answers
        ahead_count = 0
        for waiting in self._queue.in_order(now_s=now_s):
            wait_s = self._limiter.wait_s(ahead_count, now_s=now_s)
            if now_s + wait_s < waiting.request.wait_until_s:
                ahead_count += 1
                continue
            self._remove_waiting(waiting)
            reason = RefusalReason.LIMIT_REACHED
            answers.append(self._refuse(waiting.request, reason, now_s))
        return answers

    def _submit_permit(self, request: GrantRequest, now_s: float) -> GrantAnswer:
        if self._limiter is not None:
            if not self._limiter.has_room(now_s=now_s):
                return GrantAnswer(
                    key=request.key,
                    verdict=Verdict.REFUSED,
                    first_answer_s=self._limit_wait_s(len(self._queue), now_s),
                    refusal_reason=RefusalReason.LIMIT_REACHED,
                )
            self._limiter.take(now_s=now_s)
        return GrantAnswer(key=request.key, verdict=Verdict.GRANTED, first_answer_s=0.0)

    def record_progress(self, key: GrantKey, stage: Stage, *, now_s: float) -> None:
        """Apply a report about a waiting or granted request."""
        waiting = self._waiting.get(key)
        if waiting is not None:
            self._remove_waiting(waiting)
            return
        grant = self._grants.get(key)
        if grant is None:
            return
        if stage is Stage.STARTED:
            if not grant.started:
                self._record_start(grant, now_s)
            return
        if stage is Stage.WITHDRAWN:
            # It was not sent.
            if self._limiter is not None:
                self._limiter.give_back()
            self._usage.give_back(
                grant.request.account,
                grant.request.charged_tokens,
                charged_at_s=grant.granted_at_s,
                now_s=now_s,
            )
        else:
            hold_s = now_s - grant.granted_at_s
            gain = HOLD_GAIN if self._mean_hold_s else 1.0
            self._mean_hold_s += (hold_s - self._mean_hold_s) * gain
        del self._grants[key]
        self._memory_tokens -= grant.request.memory_tokens
        if not grant.started:
            self._unstarted_tokens -= grant.prefill_tokens

    def unconfirmed_grants(self, *, now_s: float) -> list[GrantAnswer]:
        """Return an answer for each grant that its router may no longer use."""
        answers = []
        for grant in self._grants.values():
            if now_s >= grant.confirm_at_s:
                grant.confirm_at_s = now_s + self.options.confirm_period_s
                answers.append(self._answer(grant.request, Verdict.GRANTED, now_s))
        return answers

    def expire(self, *, now_s: float) -> list[GrantKey]:
        """Release grants whose start or end was not reported in time.

        Returns
        -------
        list of GrantKey
            Grants whose end was not reported.
        """
        expired: list[GrantKey] = []
        for key, grant in list(self._grants.items()):
            age_s = now_s - grant.granted_at_s
            if age_s > self.options.max_grant_s:
                self.record_progress(key, Stage.ENDED, now_s=now_s)
                expired.append(key)
            elif age_s > self.options.max_unstarted_s and not grant.started:
                grant.started = True
                self._unstarted_tokens -= grant.prefill_tokens
        return expired

    def forget_router(self, incarnation: int, *, now_s: float) -> None:
        """Drop all requests and grants of a former incarnation of a router."""
        for key in self.keys():
            if key.incarnation == incarnation:
                self.record_progress(key, Stage.ENDED, now_s=now_s)

    def refuse_waiting(self, *, now_s: float) -> list[GrantAnswer]:
        """Refuse all queued requests, as the engine takes no more."""
        answers = []
        for waiting in list(self._waiting.values()):
            self._remove_waiting(waiting)
            reason = RefusalReason.TARGET_GONE
            answers.append(self._refuse(waiting.request, reason, now_s))
        return answers

    def _backlog_s(self, now_s: float) -> float:
        """Return the engine's estimated prefill backlog.

        It is the larger of two estimates: the time until the engine has read all
        granted prompts at its learned rate, and the time to read those that have not
        started. The base time to a first token is subtracted from the latter: for that
        long, a prompt that was read is not yet reported as started.
        """
        unstarted_s = self._unstarted_tokens / self.speed.tokens_per_s
        overdue_s = unstarted_s - self.speed.first_token_base_s
        return max(self._busy_until_s - now_s, overdue_s, 0.0)

    def _limit_wait_s(self, ahead_count: int, now_s: float) -> float:
        """Return when the limit lets one more request pass, from now."""
        if self._limiter is None:
            return 0.0
        return self._limiter.wait_s(ahead_count, now_s=now_s)

    def _slot_wait_s(self, ahead_count: int) -> float:
        """Return when one more request finds a free slot, from now."""
        slots = self.engine.max_batch_size
        lacking = ahead_count + 1 - (slots - len(self._grants))
        return max(lacking, 0) * self._mean_hold_s / slots

    def _has_capacity(self, request: GrantRequest, now_s: float) -> bool:
        if self._backlog_s(now_s) > self.options.max_backlog_s:
            return False
        if len(self._grants) >= self.engine.max_batch_size:
            return False
        if self._limiter is not None and not self._limiter.has_room(now_s=now_s):
            return False
        used = self._memory_tokens
        return used == 0 or used + request.memory_tokens <= self.engine.memory_tokens

    def _grant(self, request: GrantRequest, now_s: float) -> GrantAnswer:
        if self._limiter is not None:
            self._limiter.take(now_s=now_s)
        tokens = self._prefill_tokens(request)
        self.cache.add((*request.shared_parts, self._unshared_part(request)))
        backlog_tokens = max(self._busy_until_s - now_s, 0.0) * self._prefill_rate
        start_s = max(self._busy_until_s, now_s)
        self._busy_until_s = start_s + self._prefill_s(tokens)
        confirm_at_s = now_s + self.options.max_unstarted_s
        self._grants[request.key] = _Grant(
            request,
            tokens,
            backlog_tokens,
            now_s,
            confirm_at_s,
            found_idle=not backlog_tokens and not self._unstarted_tokens,
        )
        self._unstarted_tokens += tokens
        self._ratios.record_served(request.kind, now_s=now_s)
        self._memory_tokens += request.memory_tokens
        self._usage.add(request.account, request.charged_tokens, now_s=now_s)
        return self._answer(request, Verdict.GRANTED, now_s)

    def _record_start(self, grant: _Grant, now_s: float) -> None:
        grant.started = True
        grant.confirm_at_s = now_s + self.options.confirm_period_s
        self._unstarted_tokens -= grant.prefill_tokens
        delay_s = now_s - grant.granted_at_s
        if grant.found_idle:
            self.speed.learn_base(grant.prefill_tokens, delay_s)
        self.speed.learn(grant.prefill_tokens + grant.backlog_tokens, delay_s)

    def _refuse(
        self, request: GrantRequest, reason: RefusalReason, now_s: float
    ) -> GrantAnswer:
        return self._answer(request, Verdict.REFUSED, now_s, reason)

    def _answer(
        self,
        request: GrantRequest,
        verdict: Verdict,
        now_s: float,
        refusal_reason: RefusalReason | None = None,
    ) -> GrantAnswer:
        base_s = self.speed.first_token_base_s
        first_token_s = base_s + self._backlog_s(now_s)
        account_tokens = None
        if verdict is not Verdict.GRANTED:
            first_token_s += self._prefill_s(self._queue.waiting_tokens)
            ahead_count = len(self._queue)
            wait_s = max(
                self._limit_wait_s(ahead_count, now_s), self._slot_wait_s(ahead_count)
            )
            first_token_s = max(first_token_s, base_s + wait_s)
            account_tokens = int(
                self._usage.received_tokens(request.account, now_s=now_s)
            )
        return GrantAnswer(
            key=request.key,
            verdict=verdict,
            first_answer_s=first_token_s,
            refusal_reason=refusal_reason,
            account_tokens=account_tokens,
        )

    def _prefill_tokens(self, request: GrantRequest) -> int:
        cached = self.cache.cached_tokens(request.shared_parts)
        return max(request.prompt_tokens - cached, 0)

    def _grant_deadline_s(self, request: GrantRequest, prefill_tokens: int) -> float:
        """Return when a request must be granted for its first token to be on time."""
        ahead_s = self.speed.first_token_base_s + self.options.max_backlog_s
        prefill_s = prefill_tokens / self.speed.tokens_per_s
        return request.on_time_until_s - ahead_s - prefill_s

    @staticmethod
    def _unshared_part(request: GrantRequest) -> PromptPart:
        """Return the part that no other prompt shares; it takes up cache space too."""
        shared_tokens = sum(part.token_count for part in request.shared_parts)
        unshared_tokens = max(request.memory_tokens - shared_tokens, 0)
        return PromptPart(
            f"{request.key.incarnation}/{request.key.number}", unshared_tokens
        )

    @property
    def _prefill_rate(self) -> float:
        return self.speed.tokens_per_s * self.options.prefill_share

    def _prefill_s(self, tokens: float) -> float:
        return tokens / self._prefill_rate

    def _remove_waiting(self, waiting: _WaitingRequest) -> None:
        del self._waiting[waiting.request.key]
        self._queue.remove(waiting)
