"""A prompt stays in line at one engine while others are tried."""

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
    MAX_ASKS,
    EnginePool,
    GrantRequester,
)

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
class Request:
    """What the asker uses of an exchange."""

    arrived_at_s: float
    on_time_until_s: float
    facts: Facts = attrs.field(factory=Facts)
    service: str = "llm"
    account: str = "a"
    kind: str = "k"
    ask_count: int = 0
    is_waiting: bool = True
    excluded: set[str] = attrs.field(factory=set)
    refused: str = ""

    def refuse(self, reason):
        self.is_waiting = False
        self.refused = reason


class Broker:
    """Keeps what is asked; tests answer."""

    def __init__(self):
        self.asks = []
        self.news = []
        self._keys = iter(range(1, 1000))

    def new_key(self):
        return next(self._keys)

    def ask(self, ask, entry, answered):
        self.asks.append((ask, answered))

    def progress(self, key, stage):
        self.news.append((key, stage))


class World(EnginePool):
    def __init__(self, engine_count=5):
        self.now_s = asyncio.get_running_loop().time()
        self.engines = [load(number) for number in range(engine_count)]
        self.started = []
        self.broker = Broker()
        self.hints = EngineLoadView()
        self.asker = GrantRequester(
            self,
            placement=Placement("z1", self.hints),
            hints=self.hints,
            broker=self.broker,
            loop=asyncio.get_running_loop(),
        )
        self.request = Request(self.now_s, self.now_s + 1.0)
        self.asker.submit(self.request, PROMPT, wait_until_s=self.now_s + 1.0)

    def loads(self, service):
        return self.engines

    def engine(self, service):
        return ModelEngineOptions(max_batch_size=8, memory_tokens=100_000)

    def start(self, exchange, choice):
        exchange.is_waiting = False
        self.started.append(choice.load.entry.target_id)

    def answer(self, number, verdict, first_answer_s=0.15):
        ask, answered = self.broker.asks[number]
        answered(
            GrantAnswer(key=ask.key, verdict=verdict, first_answer_s=first_answer_s)
        )

    def targets(self):
        return [ask.target_id for ask, _ in self.broker.asks]

    def withdrawn(self):
        return [key for key, stage in self.broker.news if stage is Stage.WITHDRAWN]


def played(play):
    async def check():
        play(World())

    run(check())


class TestAsking:
    def test_a_prompt_that_waits_is_tried_elsewhere_and_stays_in_line(self):
        def play(world):
            world.answer(0, Verdict.QUEUED, first_answer_s=0.4)
            first, trial = (ask for ask, _ in world.broker.asks)
            assert trial.target_id != first.target_id
            assert trial.wait_until_s < first.wait_until_s
            assert world.withdrawn() == []

        played(play)

    def test_an_engine_that_takes_it_at_once_gets_it(self):
        def play(world):
            world.answer(0, Verdict.QUEUED, first_answer_s=0.4)
            world.answer(1, Verdict.GRANTED)
            assert world.started == [world.targets()[1]]
            assert world.withdrawn() == [world.broker.asks[0][0].key]

        played(play)

    def test_a_full_engine_leaves_it_where_it_was(self):
        def play(world):
            world.answer(0, Verdict.QUEUED, first_answer_s=0.4)
            world.answer(1, Verdict.REFUSED, first_answer_s=0.39)
            world.answer(2, Verdict.REFUSED, first_answer_s=0.39)
            assert len(world.broker.asks) == MAX_ASKS
            assert world.withdrawn() == []
            world.answer(0, Verdict.GRANTED)
            assert world.started == [world.targets()[0]]

        played(play)

    def test_it_moves_to_a_much_shorter_line(self):
        def play(world):
            world.answer(0, Verdict.QUEUED, first_answer_s=0.8)
            world.answer(1, Verdict.REFUSED, first_answer_s=0.3)
            moved = world.broker.asks[2][0]
            assert moved.target_id == world.targets()[1]
            assert moved.wait_until_s > world.now_s + 0.9
            assert world.withdrawn() == [world.broker.asks[0][0].key]

        played(play)

    def test_a_grant_in_line_ends_the_trial(self):
        def play(world):
            world.answer(0, Verdict.QUEUED, first_answer_s=0.4)
            world.answer(0, Verdict.GRANTED)
            trial = world.broker.asks[1][0]
            assert world.withdrawn() == [trial.key]
            world.answer(1, Verdict.GRANTED)
            assert world.started == [world.targets()[0]]
            assert world.withdrawn() == [trial.key, trial.key]

        played(play)

    def test_a_line_that_is_given_up_leaves_the_trial_its_chance(self):
        def play(world):
            world.answer(0, Verdict.QUEUED, first_answer_s=0.4)
            world.answer(0, Verdict.REFUSED)
            assert world.request.refused == ""
            world.answer(1, Verdict.GRANTED)
            assert world.started == [world.targets()[1]]

        played(play)

    def test_it_is_refused_after_the_last_engine_refused(self):
        def play(world):
            for number in range(MAX_ASKS):
                world.answer(number, Verdict.REFUSED)
            assert world.request.refused == "no_room_in_time"
            assert len(set(world.targets())) == MAX_ASKS

        played(play)

    def test_no_other_engine_is_tried_that_is_known_to_be_busy(self):
        def play(world):
            for engine in world.engines:
                told = EngineBacklog(
                    target_id=engine.entry.target_id, backlog_s=2.0, speed_percent=100
                )
                world.hints.update(told, now_s=world.now_s)
            world.answer(0, Verdict.QUEUED, first_answer_s=0.4)
            assert len(world.broker.asks) == 1

        played(play)

    def test_a_client_that_leaves_gives_up_both(self):
        def play(world):
            world.answer(0, Verdict.QUEUED, first_answer_s=0.4)
            world.asker.withdraw(world.request)
            keys = {ask.key for ask, _ in world.broker.asks}
            assert set(world.withdrawn()) == keys

        played(play)

    def test_an_engine_that_left_meanwhile_gets_nothing(self):
        def play(world):
            gone = world.targets()[0]
            world.engines = [e for e in world.engines if e.entry.target_id != gone]
            world.answer(0, Verdict.GRANTED)
            assert world.started == []
            assert world.targets()[1] != gone

        played(play)
