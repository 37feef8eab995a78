"""Many routers that choose at the same moment by old reports spread their prompts.

The load pattern: 40 routers send prompts to 40 engines of unequal speed, at three
quarters of what these can read. A router hears of an engine with the answers to its own
requests, late, and of some other engines with each of them. The baseline passes on no
reports and takes the engine that looks best, as routers with few engines do.
"""

import heapq
import itertools
import random
import statistics

import attrs
import pytest

from citrondock_core.routing import engine_load_view
from citrondock_core.routing.engine_load_view import EngineLoadView
from citrondock_core.routing.engine_speed import NOMINAL_PREFILL_TOKENS_PER_S
from citrondock_core.routing.grant import EngineBacklog
from citrondock_core.routing.placement import Placement
from citrondock_core.routing.request_facts import PromptFacts, PromptPart
from citrondock_core.routing.target_entry import TargetEntry
from citrondock_core.routing.target_load import TargetLoad

ROUTERS = ENGINES = 40
SPEEDS = (0.5, 1.0, 1.5)
LENGTH_S = 12.0
WARM_UP_S = 4.0
LOAD = 0.75
SHARED_TOKENS, OWN_TOKENS, KEYS = 3_800, 2_900, 600
REPORTS_WITH_AN_ANSWER = 6
BASE_S = 0.05


@attrs.define
class Engine:
    """Reads prompts one after the other, and keeps the shared parts for a while."""

    target_id: str
    speed: float
    busy_until_s: float = 0.0
    read_s: float = 0.0
    cached_at_s: dict = attrs.field(factory=dict)

    def read(self, key, now_s):
        tokens = OWN_TOKENS
        if now_s - self.cached_at_s.get(key, -99.0) > 8.0:
            tokens += SHARED_TOKENS
        self.cached_at_s[key] = now_s
        reading_s = tokens / (NOMINAL_PREFILL_TOKENS_PER_S * self.speed)
        start_s = max(self.busy_until_s, now_s)
        self.busy_until_s = start_s + reading_s
        self.read_s += reading_s if now_s >= WARM_UP_S else 0.0
        return start_s - now_s + reading_s


class Play:
    """One run; `report_ages_s` bounds how old a report is when it arrives."""

    def __init__(self, report_ages_s, lost_share=0.0, seed=1, late_router_s=0.0):
        self.random = random.Random(seed)
        self.report_ages_s, self.lost_share = report_ages_s, lost_share
        self.late_router_s = late_router_s
        self.engines = {
            f"e{n}": Engine(f"e{n}", SPEEDS[n % len(SPEEDS)]) for n in range(ENGINES)
        }
        entries = [
            TargetEntry(
                target_id=name,
                service="s",
                host="10.0.0.1",
                port=1,
                availability_zone="z",
                max_concurrency=64,
                is_leaving=False,
            )
            for name in self.engines
        ]
        self.routers = []
        for number in range(ROUTERS):
            view = EngineLoadView(random.Random(seed * 100 + number))
            view.keep_only(set(self.engines))
            place = Placement("z", view, rng=random.Random(seed * 777 + number))
            self.routers.append((view, place, [TargetLoad(entry) for entry in entries]))
        self.delays_s = []
        self.events, self.order = [], itertools.count()

    def at(self, at_s, action, *args):
        heapq.heappush(self.events, (at_s, next(self.order), action, args))

    def run(self):
        mean_tokens = OWN_TOKENS
        capacity = NOMINAL_PREFILL_TOKENS_PER_S * sum(
            engine.speed for engine in self.engines.values()
        )
        rate_per_s = LOAD * capacity / mean_tokens * 0.8
        now_s = 0.0
        while now_s < LENGTH_S:
            now_s += self.random.expovariate(rate_per_s)
            self.at(now_s, self.arrive, now_s)
        while self.events:
            _, _, action, args = heapq.heappop(self.events)
            action(*args)
        return self

    def arrive(self, now_s):
        number = self.random.randrange(ROUTERS)
        key = int(KEYS * self.random.random() ** 1.3)
        if number == 0 and self.late_router_s:
            self.at(now_s + self.late_router_s, self.send, number, key, now_s)
        else:
            self.send(number, key, now_s)

    def send(self, number, key, arrived_at_s):
        now_s = arrived_at_s + (self.late_router_s if number == 0 else 0.0)
        view, place, loads = self.routers[number]
        prompt = PromptFacts(
            model="m",
            prompt_token_count=SHARED_TOKENS + OWN_TOKENS,
            max_output_token_count=10,
            parts=(PromptPart(f"k{key}", SHARED_TOKENS), PromptPart("x", OWN_TOKENS)),
        )
        choice = place.choose_engine(prompt, loads, now_s=now_s)
        target_id = choice.load.entry.target_id
        engine = self.engines[target_id]
        delay_s = engine.read(key, now_s)
        if now_s >= WARM_UP_S:
            self.delays_s.append(now_s - arrived_at_s + delay_s)
        rate = view.prefill_tokens_per_s(target_id)
        view.add_prompt(target_id, choice.prefill_tokens / rate, now_s=now_s)
        place.record_sent(prompt, target_id, 200_000)
        if self.random.random() >= self.lost_share:
            report = self.report(target_id, now_s)
            at_s = now_s + self.random.uniform(*self.report_ages_s)
            helper = self.routers[self.random.randrange(ROUTERS)][0]
            self.at(at_s, self.answered, view, helper, report, now_s, at_s)

    def report(self, target_id, now_s):
        engine = self.engines[target_id]
        return EngineBacklog(
            target_id=target_id,
            backlog_s=max(engine.busy_until_s - now_s, 0.0),
            speed_percent=round(engine.speed * 100),
            first_token_base_s=BASE_S,
        )

    def answered(self, view, helper, report, reported_at_s, now_s):
        view.update(attrs.evolve(report, age_s=now_s - reported_at_s), now_s=now_s)
        for relayed in helper.reports(REPORTS_WITH_AN_ANSWER, now_s=now_s):
            view.update(relayed, now_s=now_s)

    @property
    def busiest_over_mean(self):
        read = [engine.read_s for engine in self.engines.values()]
        return max(read) / statistics.mean(read)

    @property
    def read_s(self):
        return sum(engine.read_s for engine in self.engines.values())

    @property
    def late_share(self):
        return sum(delay > 0.5 for delay in self.delays_s) / len(self.delays_s)


@pytest.fixture
def baseline(monkeypatch):
    """Let routers choose as they do with few engines."""

    def play(*args, **options):
        with monkeypatch.context() as patched:
            patched.setattr(engine_load_view, "MIN_SHARED_ENGINES", ENGINES + 1)
            return Play(*args, **options).run()

    return play


CASES = {
    "fresh": ((0.005, 0.05), {}),
    "old": ((0.2, 1.0), {}),
    "half_lost": ((0.05, 0.2), {"lost_share": 0.5}),
    "late_router": ((0.05, 0.2), {"late_router_s": 0.5}),
}


class TestEvenLoad:
    @pytest.mark.parametrize("case", CASES)
    def test_fewer_prompts_wait_than_with_the_baseline(self, baseline, case):
        ages_s, options = CASES[case]
        before, after = baseline(ages_s, **options), Play(ages_s, **options).run()
        assert after.late_share < before.late_share / 1.5
        assert after.busiest_over_mean < before.busiest_over_mean + 0.1
        # Shared parts are read on fewer engines.
        assert after.read_s < before.read_s
