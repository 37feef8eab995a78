"""Asks the homes of engines for leave to send prompts."""

import asyncio
from abc import ABC, abstractmethod
from collections.abc import Sequence
from functools import partial

import attrs

from citrondock_core.routing.engine_load_view import EngineLoadView
from citrondock_core.routing.grant import (
    GrantAnswer,
    GrantKey,
    GrantRequest,
    Stage,
    Verdict,
)
from citrondock_core.routing.placement import Placement, PlacementChoice
from citrondock_core.routing.request_facts import PromptFacts, PromptPart
from citrondock_core.routing.route import ModelEngineOptions
from citrondock_core.routing.target_load import TargetLoad
from citrondock_router.gateway.exchange import Exchange
from citrondock_router.gateway.grant_broker import GrantBroker
from citrondock_router.log import log_event

MAX_ASKS = 3
"""Engines that are asked for one attempt before it is refused."""

MOVE_GAIN_S = 0.1
"""A queued prompt goes to another engine's queue if that gains more time than this."""


@attrs.define(eq=False)
class _Asking:
    """Asks of one request for one attempt.

    Parameters
    ----------
    exchange, prompt : Exchange, PromptFacts
        Whose they are.
    shared_parts : tuple of PromptPart
        The prompt's shared parts as homes know them.
    wait_until_s : float
        When it gives up.
    key : GrantKey or None
        The ask that waits or was granted.
    first_answer_at_s : float
        When its first token is expected, as its home said.
    trial_key : GrantKey or None
        An ask at another engine that is granted at once or not at all.
    asked : set of str
        Engines that were asked.
    """

    exchange: Exchange
    prompt: PromptFacts
    shared_parts: tuple[PromptPart, ...]
    wait_until_s: float
    key: GrantKey | None = None
    first_answer_at_s: float = 0.0
    trial_key: GrantKey | None = None
    asked: set[str] = attrs.field(factory=set)

    @property
    def may_ask(self) -> bool:
        """Whether one more engine may be asked."""
        return len(self.asked) < MAX_ASKS


class EnginePool(ABC):
    """Whoever knows the engines and sends the requests."""

    @abstractmethod
    def loads(self, service: str) -> Sequence[TargetLoad]:
        """Return the engines of a service."""

    @abstractmethod
    def engine(self, service: str) -> ModelEngineOptions | None:
        """Return the size of a service's engines."""

    @abstractmethod
    def start(self, exchange: Exchange, choice: PlacementChoice) -> None:
        """Send a request that was granted."""


class GrantRequester:
    """Keeps each prompt in the queue of one engine, and tries others meanwhile.

    A prompt that has to wait at its favourite stays in line there while other engines
    are tried; it leaves the line only for an engine that takes it at once, or whose
    queue is shorter by more than `MOVE_GAIN_S`.
    """

    def __init__(
        self,
        pool: EnginePool,
        *,
        placement: Placement,
        hints: EngineLoadView,
        broker: GrantBroker,
        loop: asyncio.AbstractEventLoop,
    ) -> None:
        self._pool = pool
        self._placement = placement
        self._hints = hints
        self._broker = broker
        self._loop = loop
        self._askings: dict[int, _Asking] = {}

    def submit(
        self, exchange: Exchange, prompt: PromptFacts, *, wait_until_s: float
    ) -> None:
        """Find an engine for an attempt of a request."""
        asking = _Asking(
            exchange,
            prompt,
            prompt.hashed_shared_parts,
            max(wait_until_s, self._loop.time()),
        )
        self._askings[id(exchange)] = asking
        self._ask(asking)

    def withdraw(self, exchange: Exchange) -> None:
        """Forget a request that waits."""
        self._ended(exchange, Stage.WITHDRAWN)

    def started(self, exchange: Exchange) -> None:
        """Tell of the first bytes of an answer."""
        asking = self._askings.get(id(exchange))
        if asking is not None and asking.key is not None:
            self._broker.progress(asking.key, Stage.STARTED)

    def attempt_ended(self, exchange: Exchange, *, failed: bool) -> None:
        """Tell that an engine works on a request no more."""
        self._ended(exchange, Stage.FAILED if failed else Stage.ENDED)

    def _ended(self, exchange: Exchange, stage: Stage) -> None:
        asking = self._askings.pop(id(exchange), None)
        if asking is None:
            return
        self._drop_trial(asking)
        if asking.key is not None:
            self._broker.progress(asking.key, stage)
            asking.key = None

    def _choose(self, asking: _Asking) -> PlacementChoice | None:
        exchange = asking.exchange
        return self._placement.choose_engine(
            asking.prompt,
            self._pool.loads(exchange.service),
            excluded=exchange.excluded | asking.asked,
            now_s=self._loop.time(),
        )

    def _ask(self, asking: _Asking) -> None:
        """Get in line at the best engine that was not asked yet."""
        choice = self._choose(asking)
        if choice is None:
            self._refuse(asking, "no_target_known")
            return
        self._get_in_line(asking, choice)

    def _get_in_line(self, asking: _Asking, choice: PlacementChoice) -> None:
        asking.key = self._broker.new_key()
        self._send_ask(asking, asking.key, choice, wait_until_s=asking.wait_until_s)

    def _try(self, asking: _Asking) -> None:
        """Ask one more engine, without leaving the line."""
        choice = self._choose(asking)
        if choice is None or choice.load.entry.target_id in asking.asked:
            return
        now_s = self._loop.time()
        if now_s + choice.first_answer_s + MOVE_GAIN_S >= asking.first_answer_at_s:
            return
        asking.trial_key = self._broker.new_key()
        self._send_ask(asking, asking.trial_key, choice, wait_until_s=now_s)

    def _send_ask(
        self,
        asking: _Asking,
        key: GrantKey,
        choice: PlacementChoice,
        *,
        wait_until_s: float,
    ) -> None:
        now_s = self._loop.time()
        exchange, prompt = asking.exchange, asking.prompt
        entry = choice.load.entry
        asking.asked.add(entry.target_id)
        exchange.ask_count += 1
        output = prompt.expected_output_token_count or prompt.max_output_token_count
        ask = GrantRequest(
            key=key,
            target_id=entry.target_id,
            account=exchange.account,
            kind=exchange.kind,
            prompt_tokens=prompt.prompt_token_count,
            output_tokens=output,
            shared_parts=asking.shared_parts,
            on_time_until_s=exchange.on_time_until_s,
            wait_until_s=wait_until_s,
        )
        log_event(
            "engine_asked",
            request_id=exchange.facts.request_id,
            target=entry.target_id,
            ask=exchange.ask_count,
            may_wait=key is asking.key,
            prefill_tokens=choice.prefill_tokens,
            believed_backlog_s=self._hints.backlog_s(entry.target_id, now_s=now_s),
            predicted_s=choice.first_answer_s,
        )
        rate = self._hints.prefill_tokens_per_s(entry.target_id)
        self._hints.add_prompt(
            entry.target_id, choice.prefill_tokens / rate, now_s=now_s
        )
        self._broker.ask(ask, entry, partial(self._answered, asking, choice))

    def _answered(
        self, asking: _Asking, choice: PlacementChoice, answer: GrantAnswer
    ) -> None:
        exchange = asking.exchange
        is_trial = answer.key == asking.trial_key
        if not exchange.is_waiting or not (is_trial or answer.key == asking.key):
            if answer.verdict is Verdict.GRANTED:
                self._broker.progress(answer.key, Stage.WITHDRAWN)
            return
        target_id = choice.load.entry.target_id
        log_event(
            "engine_answered",
            request_id=exchange.facts.request_id,
            target=target_id,
            verdict=answer.verdict.name.lower(),
            predicted_s=answer.first_answer_s,
            waited_s=self._loop.time() - exchange.arrived_at_s,
        )
        if answer.verdict is Verdict.GRANTED:
            self._granted(asking, choice, answer)
        elif is_trial:
            asking.trial_key = None
            self._trial_refused(asking, choice, answer)
        elif answer.verdict is Verdict.QUEUED:
            asking.first_answer_at_s = self._loop.time() + answer.first_answer_s
            if asking.may_ask:
                self._try(asking)
        else:
            self._refused(asking)

    def _granted(
        self, asking: _Asking, choice: PlacementChoice, answer: GrantAnswer
    ) -> None:
        exchange = asking.exchange
        target_id = choice.load.entry.target_id
        if answer.key == asking.trial_key:
            asking.trial_key = None
            self._leave_line(asking)
            asking.key = answer.key
        self._drop_trial(asking)
        loads = self._pool.loads(exchange.service)
        if not any(load is choice.load for load in loads):
            # It left or started anew while the prompt waited.
            self._leave_line(asking)
            self._ask(asking)
            return
        engine = self._pool.engine(exchange.service)
        if engine is not None:
            self._placement.record_sent(asking.prompt, target_id, engine.memory_tokens)
        predicted = attrs.evolve(choice, first_answer_s=answer.first_answer_s)
        self._pool.start(exchange, predicted)

    def _trial_refused(
        self, asking: _Asking, choice: PlacementChoice, answer: GrantAnswer
    ) -> None:
        if asking.key is None:
            self._refused(asking)
            return
        there_at_s = self._loop.time() + answer.first_answer_s
        if there_at_s + MOVE_GAIN_S < asking.first_answer_at_s:
            self._leave_line(asking)
            self._get_in_line(asking, choice)
        elif asking.may_ask:
            self._try(asking)

    def _refused(self, asking: _Asking) -> None:
        asking.key = None
        if asking.trial_key is not None:
            # It may still be granted.
            return
        if asking.may_ask and self._loop.time() < asking.wait_until_s:
            self._ask(asking)
        else:
            self._refuse(asking, "no_room_in_time")

    def _refuse(self, asking: _Asking, reason: str) -> None:
        self._askings.pop(id(asking.exchange), None)
        asking.exchange.refuse(reason)

    def _leave_line(self, asking: _Asking) -> None:
        if asking.key is not None:
            self._broker.progress(asking.key, Stage.WITHDRAWN)
            asking.key = None

    def _drop_trial(self, asking: _Asking) -> None:
        if asking.trial_key is not None:
            self._broker.progress(asking.trial_key, Stage.WITHDRAWN)
            asking.trial_key = None
