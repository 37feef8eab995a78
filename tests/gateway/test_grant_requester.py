"""A prompt stays in the queue of one engine while other engines are tried.

The broker is a stub: tests answer the grant requests themselves.
"""

import asyncio

import attrs
from harness import run

from citrondock_core.routing.engine_load_view import EngineLoadView
from citrondock_core.routing.grant import EngineBacklog, GrantAnswer, Stage, Verdict
from citrondock_core.routing.placement import Placement
from citrondock_core.routing.request_facts import PromptFacts, PromptPart
from citrondock_core.routing.route import ModelEngineOptions
from citrondock_core.routing.target_entry import TargetEntry
from citrondock_core.routing.target_load import TargetLoad
from citrondock_router.gateway.grant_requester import (
    MAX_ASKED_ENGINES,
    EnginePool,
    GrantRequester,
)
from citrondock_router.gateway.overload_guard import BUSY_LAG_S, OverloadGuard

PROMPT = PromptFacts(
    model="m",
    prompt_token_count=3000,
    max_output_token_count=50,
    parts=(PromptPart("shared", 2000), PromptPart("own", 1000)),
)


def load(number):
    entry = TargetEntry(
        target_id=f"e{number}",
        service="llm",
        host="127.0.0.1",
        port=1,
        availability_zone="z1",
        max_concurrency=8,
        is_leaving=False,
    )
    return TargetLoad(entry)


@attrs.define
class Facts:
    request_id: str = "r1"


@attrs.define(eq=False)
class StubExchange:
    """The attributes of an exchange that the grant requester uses."""

    arrived_at_s: float
    on_time_until_s: float
    facts: Facts = attrs.field(factory=Facts)
    service: str = "llm"
    account: str = "a"
    kind: str = "k"
    grant_request_count: int = 0
    is_waiting: bool = True
    excluded: set[str] = attrs.field(factory=set)
    silent_target_id: str | None = None
    continues_stream: bool = False
    refused: str = ""

    def accepts(self, _entry):
        return True

    def refuse(self, reason):
        self.is_waiting = False
        self.refused = reason


class StubBroker:
    """Records grant requests and progress reports; tests answer the requests."""

    def __init__(self):
        self.requests = []
        self.progress = []
        self._keys = iter(range(1, 1000))

    def new_key(self):
        return next(self._keys)

    def request_grant(self, request, entry, on_answer):
        self.requests.append((request, on_answer))

    def report_progress(self, key, stage):
        self.progress.append((key, stage))


class StubCrashes:
    """Withholds nothing."""

    def may_send(self, part_ids, *, request_id):
        return True


class Scenario(EnginePool):
    """A grant requester that has submitted one prompt, with idle engines."""

    def __init__(self, engine_count=5):
        self.now_s = asyncio.get_running_loop().time()
        self.engines = [load(number) for number in range(engine_count)]
        self.started = []
        self.broker = StubBroker()
        self.engine_loads = EngineLoadView()
        self.loop_now_s = self.now_s
        self.overload = OverloadGuard(lambda: self.loop_now_s, period_s=0.0)
        self.requester = GrantRequester(
            self,
            placement=Placement("z1", self.engine_loads),
            engine_loads=self.engine_loads,
            broker=self.broker,
            crashes=StubCrashes(),
            overload=self.overload,
            loop=asyncio.get_running_loop(),
        )
        self.exchange = StubExchange(self.now_s, self.now_s + 1.0)
        self.requester.submit(self.exchange, PROMPT, wait_until_s=self.now_s + 1.0)

    def delay_router(self):
        self.overload.timer_fired()
        self.loop_now_s += 2 * BUSY_LAG_S
        self.overload.timer_fired()

    def loads(self, service):
        return self.engines

    def engine(self, service):
        return ModelEngineOptions(max_batch_size=8, memory_tokens=100_000)

    def start(self, exchange, choice):
        exchange.is_waiting = False
        self.started.append(choice.load.entry.target_id)

    def answer(self, number, verdict, first_answer_s=0.15):
        request, on_answer = self.broker.requests[number]
        on_answer(
            GrantAnswer(key=request.key, verdict=verdict, first_answer_s=first_answer_s)
        )

    def asked_targets(self):
        return [request.target_id for request, _ in self.broker.requests]

    def withdrawn(self):
        return [key for key, stage in self.broker.progress if stage is Stage.WITHDRAWN]


def run_scenario(check):
    """Run ``check`` with a new scenario on a running event loop."""

    async def main():
        check(Scenario())

    run(main())


class TestBusyRouter:
    def test_it_tries_no_other_engine_for_a_queued_prompt(self):
        def check(scenario):
            scenario.delay_router()
            scenario.answer(0, Verdict.QUEUED, first_answer_s=0.9)
            assert len(scenario.broker.requests) == 1
            scenario.answer(0, Verdict.GRANTED)
            assert scenario.started == scenario.asked_targets()

        run_scenario(check)

    def test_it_asks_another_engine_for_a_prompt_that_is_refused(self):
        def check(scenario):
            scenario.delay_router()
            scenario.answer(0, Verdict.REFUSED)
            assert len(scenario.broker.requests) == 2

        run_scenario(check)


class TestGrantRequests:
    def test_a_queued_prompt_stays_queued_while_another_engine_is_tried(self):
        def check(scenario):
            scenario.answer(0, Verdict.QUEUED, first_answer_s=0.4)
            first, trial = (request for request, _ in scenario.broker.requests)
            assert trial.target_id != first.target_id
            assert trial.wait_until_s < first.wait_until_s
            assert scenario.withdrawn() == []

        run_scenario(check)

    def test_an_engine_that_grants_the_trial_gets_the_prompt(self):
        def check(scenario):
            scenario.answer(0, Verdict.QUEUED, first_answer_s=0.4)
            scenario.answer(1, Verdict.GRANTED)
            assert scenario.started == [scenario.asked_targets()[1]]
            assert scenario.withdrawn() == [scenario.broker.requests[0][0].key]

        run_scenario(check)

    def test_a_refused_trial_leaves_the_prompt_in_its_queue(self):
        def check(scenario):
            scenario.answer(0, Verdict.QUEUED, first_answer_s=0.4)
            scenario.answer(1, Verdict.REFUSED, first_answer_s=0.39)
            scenario.answer(2, Verdict.REFUSED, first_answer_s=0.39)
            assert len(scenario.broker.requests) == MAX_ASKED_ENGINES
            assert scenario.withdrawn() == []
            scenario.answer(0, Verdict.GRANTED)
            assert scenario.started == [scenario.asked_targets()[0]]

        run_scenario(check)

    def test_a_prompt_moves_to_a_much_shorter_queue(self):
        def check(scenario):
            scenario.answer(0, Verdict.QUEUED, first_answer_s=0.8)
            scenario.answer(1, Verdict.REFUSED, first_answer_s=0.3)
            moved = scenario.broker.requests[2][0]
            assert moved.target_id == scenario.asked_targets()[1]
            assert moved.wait_until_s > scenario.now_s + 0.9
            assert scenario.withdrawn() == [scenario.broker.requests[0][0].key]

        run_scenario(check)

    def test_a_grant_of_the_queued_request_withdraws_the_trial(self):
        def check(scenario):
            scenario.answer(0, Verdict.QUEUED, first_answer_s=0.4)
            scenario.answer(0, Verdict.GRANTED)
            trial = scenario.broker.requests[1][0]
            assert scenario.withdrawn() == [trial.key]
            scenario.answer(1, Verdict.GRANTED)
            assert scenario.started == [scenario.asked_targets()[0]]
            assert scenario.withdrawn() == [trial.key, trial.key]

        run_scenario(check)

    def test_a_refusal_of_the_queued_request_waits_for_the_trial(self):
        def check(scenario):
            scenario.answer(0, Verdict.QUEUED, first_answer_s=0.4)
            scenario.answer(0, Verdict.REFUSED)
            assert scenario.exchange.refused == ""
            scenario.answer(1, Verdict.GRANTED)
            assert scenario.started == [scenario.asked_targets()[1]]

        run_scenario(check)

    def test_the_exchange_is_refused_after_the_last_engine_refused(self):
        def check(scenario):
            for number in range(MAX_ASKED_ENGINES):
                scenario.answer(number, Verdict.REFUSED)
            assert scenario.exchange.refused == "no_room_in_time"
            assert len(set(scenario.asked_targets())) == MAX_ASKED_ENGINES

        run_scenario(check)

    def test_engines_known_to_be_busy_are_not_tried(self):
        def check(scenario):
            for engine in scenario.engines:
                backlog = EngineBacklog(
                    target_id=engine.entry.target_id, backlog_s=2.0, speed_percent=100
                )
                scenario.engine_loads.update(backlog, now_s=scenario.now_s)
            scenario.answer(0, Verdict.QUEUED, first_answer_s=0.4)
            assert len(scenario.broker.requests) == 1

        run_scenario(check)

    def test_a_client_that_disconnects_withdraws_both_requests(self):
        def check(scenario):
            scenario.answer(0, Verdict.QUEUED, first_answer_s=0.4)
            scenario.requester.withdraw(scenario.exchange)
            keys = {request.key for request, _ in scenario.broker.requests}
            assert set(scenario.withdrawn()) == keys

        run_scenario(check)

    def test_a_grant_of_a_removed_engine_is_not_used(self):
        def check(scenario):
            removed = scenario.asked_targets()[0]
            scenario.engines = [
                e for e in scenario.engines if e.entry.target_id != removed
            ]
            scenario.answer(0, Verdict.GRANTED)
            assert scenario.started == []
            assert scenario.asked_targets()[1] != removed

        run_scenario(check)
