"""What a home router learns of an engine's speed, and what it reports of its slots."""

import random

import pytest

from citrondock_core.routing.account_usage import DecayingUsage
from citrondock_core.routing.engine_admission import EngineAdmission
from citrondock_core.routing.engine_speed import FIRST_TOKEN_BASE_S, EngineSpeed
from citrondock_core.routing.grant import GrantKey, GrantRequest, Stage, Verdict
from citrondock_core.routing.route import ModelEngineOptions

SAMPLES = 60


def learned(base_s, tokens_per_s, report_delay_s=0.0, seed=1):
    """Return the speed learned from prompts that found an engine idle."""
    rng = random.Random(seed)
    speed = EngineSpeed()
    for _ in range(SAMPLES):
        tokens = rng.randrange(300, 6_000)
        late_s = rng.uniform(0, report_delay_s)
        delay_s = base_s + tokens / tokens_per_s + late_s
        speed.learn_base(tokens, delay_s)
        speed.learn(tokens, delay_s)
    return speed


class TestBaseTime:
    @pytest.mark.parametrize("base_s", [0.005, 0.03, 0.07, 0.25])
    @pytest.mark.parametrize("tokens_per_s", [25_000, 43_000, 70_000])
    def test_it_is_learned_apart_from_the_rate(self, base_s, tokens_per_s):
        speed = learned(base_s, tokens_per_s)
        assert speed.first_token_base_s == pytest.approx(base_s, abs=0.005)
        assert speed.tokens_per_s == pytest.approx(tokens_per_s, rel=0.15)

    def test_late_reports_change_it_little(self):
        speed = learned(0.03, 43_000, report_delay_s=0.02)
        assert speed.first_token_base_s == pytest.approx(0.03, abs=0.015)

    @pytest.mark.parametrize("base_s", [0.1, 0.12, 0.15])
    def test_engines_near_the_usual_base_time_keep_it(self, base_s):
        assert learned(base_s, 48_000).first_token_base_s == FIRST_TOKEN_BASE_S

    def test_prompts_of_one_size_teach_nothing(self):
        speed = EngineSpeed()
        for _ in range(SAMPLES):
            speed.learn_base(2_000, 0.5)
        assert speed.first_token_base_s == FIRST_TOKEN_BASE_S


class TestSlots:
    """Short prompts with long answers: slots run out long before reading does."""

    def setup_method(self):
        engine = ModelEngineOptions(max_batch_size=4, memory_tokens=10**6)
        self.admission = EngineAdmission("e1", engine, DecayingUsage(half_life_s=2.0))
        self.number = 0

    def submit(self, now_s):
        self.number += 1
        request = GrantRequest(
            key=GrantKey(incarnation=1, number=self.number),
            target_id="e1",
            account="a",
            kind="k",
            prompt_tokens=10,
            output_tokens=300,
            shared_parts=(),
            on_time_until_s=now_s + 1,
            wait_until_s=now_s + 1,
        )
        return self.admission.submit(request, now_s=now_s)

    def fill_after_answers_of(self, hold_s):
        keys = [self.submit(0.0).key for _ in range(4)]
        for key in keys:
            self.admission.record_progress(key, Stage.STARTED, now_s=0.1)
            self.admission.record_progress(key, Stage.ENDED, now_s=hold_s)
        for _ in range(4):
            assert self.submit(hold_s).verdict is Verdict.GRANTED

    def test_a_free_slot_is_no_backlog(self):
        assert self.admission.backlog(now_s=0.0).backlog_s < 0.01

    def test_full_slots_are_reported_as_a_backlog(self):
        self.fill_after_answers_of(2.0)
        assert self.admission.backlog(now_s=4.0).backlog_s == pytest.approx(0.5)

    def test_what_waits_for_a_slot_counts_too(self):
        self.fill_after_answers_of(2.0)
        answer = self.submit(4.0)
        assert answer.verdict is Verdict.QUEUED
        assert answer.first_answer_s >= 0.5
        assert self.admission.backlog(now_s=4.0).backlog_s == pytest.approx(1.0)
