"""Finds an engine for each prompt by requesting grants from home routers.

The home router of an engine queues the prompts of all routers for that engine and
grants them one by one. A prompt is sent only after it was granted.
"""

import asyncio
from abc import ABC, abstractmethod
from collections.abc import Collection, Sequence
from functools import partial

import attrs

from citrondock_core.routing.engine_load_view import EngineLoadView
from citrondock_core.routing.grant import (
    PLAIN_REQUEST_TOKENS,
    GrantAnswer,
    GrantKey,
    GrantRequest,
    Stage,
    Verdict,
)
from citrondock_core.routing.placement import Placement, PlacementChoice
from citrondock_core.routing.request_facts import PromptFacts, PromptPart
from citrondock_core.routing.route import ModelEngineOptions
from citrondock_core.routing.target_entry import TargetEntry
from citrondock_core.routing.target_load import TargetLoad
from citrondock_router.gateway.crash_exchange import CrashExchange
from citrondock_router.gateway.exchange import Exchange
from citrondock_router.gateway.grant_broker import GrantBroker
from citrondock_router.gateway.overload_guard import OverloadGuard
from citrondock_router.log import log_event

MAX_ASKED_ENGINES = 3
"""Most engines asked for a grant in one attempt before the request is refused."""

STAY_SHARE = 0.5
"""Where reports are passed on, a queued prompt stays where its parts are cached if it
is expected to be answered within this share of the time until it is late. The rest is
for predictions that are too short."""

MIN_MOVE_GAIN_S = 0.1
"""A queued prompt moves to another engine only if it gains more time than this."""


@attrs.define(eq=False)
class _EngineSearch:
    """Grant requests for one attempt of one client request.

    Parameters
    ----------
    exchange, prompt : Exchange, PromptFacts or None
        The client request and its prompt; None for a plain request, which needs a slot.
    shared_parts : tuple of PromptPart
        Parts of the prompt that other prompts share, hashed as in grant requests.
    wait_until_s : float
        Loop time at which the search ends without an engine.
    key : GrantKey or None
        Grant request that is queued at its home router, or was granted.
    first_answer_at_s : float
        Loop time at which the home router of ``key`` expects the first token.
    trial_key : GrantKey or None
        Grant request to another engine that is granted at once or refused, while
        ``key`` stays queued.
    charged_tokens : int
        Tokens that the account is charged for the last grant request, if granted.
    asked : set of str
        Target ids of the engines that were asked.
    """

    exchange: Exchange
    prompt: PromptFacts | None
    shared_parts: tuple[PromptPart, ...]
    wait_until_s: float
    key: GrantKey | None = None
    first_answer_at_s: float = 0.0
    trial_key: GrantKey | None = None
    charged_tokens: int = 0
    asked: set[str] = attrs.field(factory=set)

    @property
    def part_ids(self) -> list[str]:
        """Hashed ids of the shared parts."""
        return [part.part_id for part in self.shared_parts]

    @property
    def may_ask_another(self) -> bool:
        """Whether one more engine may be asked."""
        return len(self.asked) < MAX_ASKED_ENGINES


class EnginePool(ABC):
    """Knows the engines of each service and sends granted requests to them."""

    @abstractmethod
    def loads(self, service: str) -> Sequence[TargetLoad]:
        """Return the engines of a service with their loads."""

    @abstractmethod
    def engine(self, service: str) -> ModelEngineOptions | None:
        """Return the capacity of a service's engines; None if it has no engines."""

    @abstractmethod
    def start(self, exchange: Exchange, choice: PlacementChoice) -> None:
        """Send a request that was granted to the engine that was chosen for it."""


class GrantRequester:
    """Keeps each prompt in the queue of one engine and tries others meanwhile.

    A prompt that has to wait at the best engine stays in its queue while other engines
    are tried. It leaves that queue only for an engine that takes it at once, or whose
    queue is shorter by more than `MIN_MOVE_GAIN_S`. A router without processor
    time to spare tries no others for a queued prompt, as it serves more without.

    Parameters
    ----------
    pool : EnginePool
        Engines, and the way to send requests to them.
    placement : Placement
        Chooses the engine to ask.
    engine_loads : EngineLoadView
        Backlogs of engines as last reported by their home routers.
    broker : GrantBroker
        Sends grant requests to home routers and passes on their answers.
    crashes : CrashExchange
        Tells which prompts are withheld, as they crash engines.
    overload : OverloadGuard
        Tells whether this router is short of processor time.
    loop : asyncio.AbstractEventLoop
        Event loop whose clock all times are on.
    """

    def __init__(
        self,
        pool: EnginePool,
        *,
        placement: Placement,
        engine_loads: EngineLoadView,
        broker: GrantBroker,
        crashes: CrashExchange,
        overload: OverloadGuard,
        loop: asyncio.AbstractEventLoop,
    ) -> None:
        self._pool = pool
        self._placement = placement
        self._engine_loads = engine_loads
        self._broker = broker
        self._crashes = crashes
        self._overload = overload
        self._loop = loop
        # The search of a request that waits, and that which led to its present engine;
        # a request at a silent engine has both, or one that led to another engine.
        self._searches: dict[int, _EngineSearch] = {}
        self._granted: dict[int, _EngineSearch] = {}
        self._takeovers: dict[int, _EngineSearch] = {}

    def submit(
        self, exchange: Exchange, prompt: PromptFacts | None, *, wait_until_s: float
    ) -> None:
        """Find a target for one attempt of a request; refuse it if none is found.

        Parameters
        ----------
        exchange : Exchange
            The request.
        prompt : PromptFacts or None
            Its prompt; None for a plain request.
        wait_until_s : float
            Loop time at which it is refused.
        """
        search = _EngineSearch(
            exchange,
            prompt,
            prompt.hashed_shared_parts if prompt is not None else (),
            max(wait_until_s, self._loop.time()),
        )
        request_id = exchange.facts.request_id
        if not self._crashes.may_send(search.part_ids, request_id=request_id):
            exchange.refuse("prompt_withheld")
            return
        self._searches[id(exchange)] = search
        self._ask_best_engine(search)

    def withdraw(self, exchange: Exchange) -> None:
        """Withdraw the grant requests of a request that waits."""
        self._finish(self._searches.pop(id(exchange), None), Stage.WITHDRAWN)

    def first_byte_received(self, exchange: Exchange) -> None:
        """Report to the home router that the first bytes of the response arrived."""
        search = self._granted.get(id(exchange))
        if search is not None and search.key is not None:
            self._broker.report_progress(search.key, Stage.STARTED)

    def response_begun(self, exchange: Exchange) -> None:
        """Clear the parts of a prompt whose response has begun."""
        search = self._granted.get(id(exchange))
        if search is not None:
            self._crashes.response_begun(search.part_ids)

    def connection_lost(self, exchange: Exchange, entry: TargetEntry) -> None:
        """Suspect the parts of a prompt whose connection ended before it had begun."""
        search = self._granted.get(id(exchange))
        if search is not None:
            self._crashes.connection_lost(entry, search.part_ids)

    def give_up(self, part_ids: Collection[str]) -> None:
        """End the unbegun requests whose prompts have one of these parts."""
        for search in [*self._searches.values(), *self._granted.values()]:
            if not set(part_ids).isdisjoint(search.part_ids):
                search.exchange.give_up("prompt_withheld")

    def attempt_ended(self, exchange: Exchange, *, failed: bool) -> None:
        """Report to the home router that its engine no longer works on a request."""
        search = self._granted.pop(id(exchange), None)
        self._finish(search, Stage.FAILED if failed else Stage.ENDED)

    def takeover_won(self, exchange: Exchange) -> None:
        """Record that a request is now at the engine that was to take it over."""
        search = self._takeovers.pop(id(exchange), None)
        if search is not None:
            self._granted[id(exchange)] = search

    def takeover_ended(self, exchange: Exchange, *, failed: bool) -> None:
        """Report to the home router that its engine does not take a request over."""
        search = self._takeovers.pop(id(exchange), None)
        self._finish(search, Stage.FAILED if failed else Stage.ENDED)

    def _finish(self, search: _EngineSearch | None, stage: Stage) -> None:
        if search is None:
            return
        self._withdraw_trial(search)
        if search.key is not None:
            self._broker.report_progress(search.key, stage)
            search.key = None

    def _choose(self, search: _EngineSearch) -> PlacementChoice | None:
        exchange = search.exchange
        loads = [
            load
            for load in self._pool.loads(exchange.service)
            if load.entry.target_id != exchange.silent_target_id
            and exchange.accepts(load.entry)
        ]
        excluded = exchange.excluded | search.asked
        now_s = self._loop.time()
        if search.prompt is None:
            return self._placement.choose_slot(loads, excluded=excluded, now_s=now_s)
        return self._placement.choose_engine(
            search.prompt, loads, excluded=excluded, now_s=now_s
        )

    def _ask_best_engine(self, search: _EngineSearch) -> None:
        """Join the queue of the best engine that was not asked yet."""
        choice = self._choose(search)
        if choice is None:
            self._refuse(search, "no_target_known")
            return
        self._join_queue(search, choice)

    def _join_queue(self, search: _EngineSearch, choice: PlacementChoice) -> None:
        search.key = self._broker.new_key()
        self._request_grant(
            search, search.key, choice, wait_until_s=search.wait_until_s
        )

    def _stays(self, search: _EngineSearch) -> bool:
        """Return whether a queued prompt is on time without reading parts again."""
        if not self._engine_loads.is_shared or search.prompt is None:
            return False
        now_s = self._loop.time()
        until_s = search.exchange.on_time_until_s
        return search.first_answer_at_s <= now_s + STAY_SHARE * (until_s - now_s)

    def _try_another_engine(self, search: _EngineSearch) -> None:
        """Ask one more engine, without leaving the queue."""
        if self._overload.is_busy:
            return
        choice = self._choose(search)
        if choice is None or choice.load.entry.target_id in search.asked:
            return
        now_s = self._loop.time()
        if now_s + choice.first_answer_s + MIN_MOVE_GAIN_S >= search.first_answer_at_s:
            return
        search.trial_key = self._broker.new_key()
        self._request_grant(search, search.trial_key, choice, wait_until_s=now_s)

    def _request_grant(
        self,
        search: _EngineSearch,
        key: GrantKey,
        choice: PlacementChoice,
        *,
        wait_until_s: float,
    ) -> None:
        now_s = self._loop.time()
        exchange, prompt = search.exchange, search.prompt
        entry = choice.load.entry
        search.asked.add(entry.target_id)
        exchange.grant_request_count += 1
        prompt_tokens, output_tokens = 0, PLAIN_REQUEST_TOKENS
        if prompt is not None:
            prompt_tokens = prompt.prompt_token_count
            output_tokens = (
                prompt.expected_output_token_count or prompt.max_output_token_count
            )
        request = GrantRequest(
            key=key,
            target_id=entry.target_id,
            account=exchange.account,
            kind=exchange.kind,
            prompt_tokens=prompt_tokens,
            output_tokens=output_tokens,
            shared_parts=search.shared_parts,
            on_time_until_s=exchange.on_time_until_s,
            wait_until_s=wait_until_s,
            continues_stream=exchange.continues_stream,
        )
        search.charged_tokens = request.charged_tokens
        log_event(
            "engine_asked",
            request_id=exchange.facts.request_id,
            target=entry.target_id,
            ask=exchange.grant_request_count,
            may_wait=key is search.key,
            prefill_tokens=choice.prefill_tokens,
            believed_backlog_s=self._engine_loads.backlog_s(
                entry.target_id, now_s=now_s
            ),
            predicted_s=choice.first_answer_s,
        )
        rate = self._engine_loads.prefill_tokens_per_s(entry.target_id)
        self._engine_loads.add_prompt(
            entry.target_id, choice.prefill_tokens / rate, now_s=now_s
        )
        self._broker.request_grant(
            request, entry, partial(self._handle_answer, search, choice)
        )

    def _handle_answer(
        self, search: _EngineSearch, choice: PlacementChoice, answer: GrantAnswer
    ) -> None:
        try:
            self._apply_answer(search, choice, answer)
        except Exception as error:
            search.exchange.end_after_error(error)

    def _apply_answer(
        self, search: _EngineSearch, choice: PlacementChoice, answer: GrantAnswer
    ) -> None:
        exchange = search.exchange
        is_trial = answer.key == search.trial_key
        if not exchange.is_waiting or not (is_trial or answer.key == search.key):
            if answer.verdict is Verdict.GRANTED:
                self._broker.report_progress(answer.key, Stage.WITHDRAWN)
            return
        now_s = self._loop.time()
        log_event(
            "engine_answered",
            request_id=exchange.facts.request_id,
            target=choice.load.entry.target_id,
            account=exchange.account,
            verdict=answer.verdict.name.lower(),
            refused=answer.refusal_reason and answer.refusal_reason.name.lower(),
            account_tokens=answer.account_tokens,
            request_tokens=search.charged_tokens,
            on_time_left_s=exchange.on_time_until_s - now_s,
            predicted_s=answer.first_answer_s,
            waited_s=now_s - exchange.arrived_at_s,
        )
        if answer.verdict is Verdict.GRANTED:
            self._handle_grant(search, choice, answer)
        elif is_trial:
            search.trial_key = None
            self._handle_trial_refusal(search, choice, answer)
        elif answer.verdict is Verdict.QUEUED:
            search.first_answer_at_s = self._loop.time() + answer.first_answer_s
            if search.may_ask_another and not self._stays(search):
                self._try_another_engine(search)
        else:
            self._handle_refusal(search)

    def _handle_grant(
        self, search: _EngineSearch, choice: PlacementChoice, answer: GrantAnswer
    ) -> None:
        exchange = search.exchange
        target_id = choice.load.entry.target_id
        if answer.key == search.trial_key:
            search.trial_key = None
            self._leave_queue(search)
            search.key = answer.key
        self._withdraw_trial(search)
        loads = self._pool.loads(exchange.service)
        if not any(load is choice.load for load in loads):
            # The engine was removed or restarted while the prompt waited.
            self._leave_queue(search)
            self._ask_best_engine(search)
            return
        engine = self._pool.engine(exchange.service)
        if engine is not None and search.prompt is not None:
            self._placement.record_sent(search.prompt, target_id, engine.memory_tokens)
        predicted = attrs.evolve(choice, first_answer_s=answer.first_answer_s)
        is_takeover = exchange.silent_target_id is not None
        granted = self._takeovers if is_takeover else self._granted
        granted[id(exchange)] = self._searches.pop(id(exchange))
        self._pool.start(exchange, predicted)

    def _handle_trial_refusal(
        self, search: _EngineSearch, choice: PlacementChoice, answer: GrantAnswer
    ) -> None:
        if search.key is None:
            self._handle_refusal(search)
            return
        first_answer_at_s = self._loop.time() + answer.first_answer_s
        if first_answer_at_s + MIN_MOVE_GAIN_S < search.first_answer_at_s:
            self._leave_queue(search)
            self._join_queue(search, choice)
        elif search.may_ask_another:
            self._try_another_engine(search)

    def _handle_refusal(self, search: _EngineSearch) -> None:
        search.key = None
        if search.trial_key is not None:
            # The trial may still be granted.
            return
        if search.may_ask_another and self._loop.time() < search.wait_until_s:
            self._ask_best_engine(search)
        else:
            self._refuse(search, "no_room_in_time")

    def _refuse(self, search: _EngineSearch, reason: str) -> None:
        self._searches.pop(id(search.exchange), None)
        search.exchange.refuse(reason)

    def _leave_queue(self, search: _EngineSearch) -> None:
        if search.key is not None:
            self._broker.report_progress(search.key, Stage.WITHDRAWN)
            search.key = None

    def _withdraw_trial(self, search: _EngineSearch) -> None:
        if search.trial_key is not None:
            self._broker.report_progress(search.trial_key, Stage.WITHDRAWN)
            search.trial_key = None
