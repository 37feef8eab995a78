"""What an engine serves as demand rises from half to four times its capacity.

The load pattern: prompts of a few sizes arrive at random, at an engine that reads
faster than a router assumes at first, and whose starts are reported late, as by routers
that are short of processor time. An engine must not idle while prompts wait.
"""

import heapq
import itertools
import random

import pytest

from citrondock_core.routing.account_usage import DecayingUsage
from citrondock_core.routing.engine_admission import EngineAdmission
from citrondock_core.routing.grant import GrantKey, GrantRequest, Stage, Verdict
from citrondock_core.routing.route import ModelEngineOptions

ENGINE_TOKENS_PER_S = 70_000
FIRST_TOKEN_S = 0.15
REPORT_DELAYS_S = (0.005, 0.2)
"""Delays of grants and reports between a router and the home router, at random."""

PROMPT_TOKENS = (600, 2_400, 4_000, 9_000)
AIM_S = 1.0
TICK_S = 0.01
LENGTH_S = 20.0
WARM_UP_S = 4.0


class Engine:
    """Reads prompts one after the other."""

    def __init__(self):
        self.busy_until_s = 0.0
        self.read_tokens = 0

    def first_token_at_s(self, tokens, now_s):
        self.busy_until_s = max(self.busy_until_s, now_s) + tokens / ENGINE_TOKENS_PER_S
        if now_s >= WARM_UP_S:
            self.read_tokens += tokens
        return self.busy_until_s + FIRST_TOKEN_S


class Play:
    """Requests at one engine for `LENGTH_S`."""

    def __init__(self, load, seed=1):
        self.random = random.Random(seed)
        self.engine = Engine()
        self.admission = EngineAdmission(
            "e",
            ModelEngineOptions(max_batch_size=256, memory_tokens=10**9),
            DecayingUsage(half_life_s=2),
        )
        self.events = []
        self.order = itertools.count()
        self.requests = {}
        self.asked_tokens = 0
        self.refused_after_s = []
        self.on_time_tokens = 0
        self.load = load

    def at(self, at_s, action, *args):
        heapq.heappush(self.events, (at_s, next(self.order), action, args))

    def run(self):
        mean = sum(PROMPT_TOKENS) / len(PROMPT_TOKENS)
        arrival_s = 0.0
        while arrival_s < LENGTH_S:
            arrival_s += self.random.expovariate(self.load * ENGINE_TOKENS_PER_S / mean)
            self.at(arrival_s, self.arrive, arrival_s)
        for step in range(int((LENGTH_S + 2) / TICK_S)):
            self.at(step * TICK_S, self.tick, step * TICK_S)
        while self.events:
            _, _, action, args = heapq.heappop(self.events)
            action(*args)
        return self

    def arrive(self, now_s):
        tokens = self.random.choice(PROMPT_TOKENS)
        key = GrantKey(incarnation=1, number=next(self.order))
        self.requests[key] = (tokens, now_s)
        if now_s >= WARM_UP_S:
            self.asked_tokens += tokens
        request = GrantRequest(
            key=key,
            target_id="e",
            account=f"a{key.number % 8}",
            kind="k",
            prompt_tokens=tokens,
            output_tokens=0,
            shared_parts=(),
            on_time_until_s=now_s + AIM_S,
            wait_until_s=now_s + AIM_S,
        )
        self.answered([self.admission.submit(request, now_s=now_s)], now_s)

    def tick(self, now_s):
        self.answered(self.admission.process_queue(now_s=now_s), now_s)

    def answered(self, answers, now_s):
        for answer in answers:
            tokens, arrived_at_s = self.requests[answer.key]
            if answer.verdict is Verdict.REFUSED and arrived_at_s >= WARM_UP_S:
                self.refused_after_s.append(now_s - arrived_at_s)
            elif answer.verdict is Verdict.GRANTED:
                at_s = now_s + self.random.uniform(*REPORT_DELAYS_S)
                self.at(at_s, self.send, answer.key, tokens, arrived_at_s, at_s)

    def send(self, key, tokens, arrived_at_s, now_s):
        first_at_s = self.engine.first_token_at_s(tokens, now_s)
        if first_at_s <= arrived_at_s + AIM_S and arrived_at_s >= WARM_UP_S:
            self.on_time_tokens += tokens
        reported_at_s = first_at_s + self.random.uniform(*REPORT_DELAYS_S)
        self.at(reported_at_s, self.report, key, reported_at_s)

    def report(self, key, now_s):
        for stage in (Stage.STARTED, Stage.ENDED):
            self.admission.record_progress(key, stage, now_s=now_s)
        self.answered(self.admission.process_queue(now_s=now_s), now_s)

    @property
    def served_share(self):
        """Share of the engine's capacity that was used."""
        capacity = ENGINE_TOKENS_PER_S * (LENGTH_S - WARM_UP_S)
        return self.engine.read_tokens / capacity


class TestLoadCurve:
    def test_what_is_served_rises_and_stays_flat(self):
        shares = [Play(load).run().served_share for load in (0.5, 1, 2, 3, 4)]
        assert shares[0] > 0.45
        assert min(shares[2:]) > 0.9
        assert shares[-1] > shares[2] - 0.1

    @pytest.mark.parametrize("load", [2, 4])
    def test_most_of_what_is_served_is_on_time(self, load):
        play = Play(load).run()
        assert play.on_time_tokens > 0.8 * play.engine.read_tokens

    def test_prompts_that_come_too_late_are_refused_early(self):
        play = Play(4).run()
        refused_after_s = sorted(play.refused_after_s)
        assert refused_after_s[len(refused_after_s) // 2] < AIM_S / 2
