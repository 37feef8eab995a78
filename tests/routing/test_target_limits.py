"""Limits that targets name begin, end and are kept to."""

from citrondock_core.routing.account_usage import DecayingUsage
from citrondock_core.routing.engine_admission import EngineAdmission
from citrondock_core.routing.grant import GrantKey, GrantRequest, Stage, Verdict
from citrondock_core.routing.request_limiter import MIN_REQUESTS_PER_S, RequestLimiter
from citrondock_core.routing.route import ModelEngineOptions
from citrondock_core.routing.target_limits import (
    MAX_AGE_S,
    TargetLimit,
    TargetLimits,
)

LIMIT_PER_S = 5.0
ENGINE = ModelEngineOptions(max_batch_size=64, memory_tokens=300_000)


def limits_with_one():
    limits = TargetLimits()
    limits.record_response("e1", LIMIT_PER_S, sent_at_s=0.5, now_s=1.0)
    return limits


def report(requests_per_s, age_s):
    return TargetLimit(target_id="e1", requests_per_s=requests_per_s, age_s=age_s)


class TestTargetLimits:
    def test_the_first_naming_is_news_and_a_repetition_is_not(self):
        limits = TargetLimits()
        for expected in (True, False):
            news = limits.record_response("e1", LIMIT_PER_S, sent_at_s=0.5, now_s=1.0)
            assert (news is not None) is expected

    def test_a_response_to_a_later_request_ends_the_limit(self):
        limits = limits_with_one()
        assert limits.record_response("e1", None, sent_at_s=1.5, now_s=2.0) is not None
        assert limits.requests_per_s("e1", now_s=2.0) is None

    def test_a_late_response_to_an_earlier_request_does_not_end_it(self):
        limits = limits_with_one()
        assert limits.record_response("e1", None, sent_at_s=0.9, now_s=2.0) is None
        assert limits.requests_per_s("e1", now_s=2.0) == LIMIT_PER_S

    def test_the_latest_knowledge_of_other_routers_counts(self):
        limits = limits_with_one()
        assert not limits.merge(report(None, age_s=1.5), now_s=2.0)
        assert limits.merge(report(3.0, age_s=0.5), now_s=2.0)
        assert limits.requests_per_s("e1", now_s=2.0) == 3.0

    def test_a_limit_that_nobody_names_any_more_is_forgotten(self):
        limits = limits_with_one()
        now_s = 1.1 + MAX_AGE_S
        assert limits.requests_per_s("e1", now_s=now_s) is None
        assert limits.reports(now_s=now_s) == []

    def test_a_restarted_target_has_no_limit(self):
        limits = limits_with_one()
        limits.forget("e1")
        assert limits.requests_per_s("e1", now_s=1.0) is None


class TestRequestLimiter:
    def passed(self, limiter, from_s, until_s):
        count, now_s = 0, from_s
        while now_s < until_s:
            if limiter.has_room(now_s=now_s):
                limiter.take(now_s=now_s)
                count += 1
            now_s += 0.01
        return count

    def test_requests_pass_at_the_rate(self):
        limiter = RequestLimiter(LIMIT_PER_S, now_s=0.0)
        assert abs(self.passed(limiter, 0.0, 10.0) - 10 * LIMIT_PER_S) <= 2

    def test_a_pause_saves_up_little(self):
        limiter = RequestLimiter(LIMIT_PER_S, now_s=0.0)
        assert self.passed(limiter, 60.0, 61.0) <= LIMIT_PER_S + 2

    def test_a_limit_of_zero_lets_a_request_pass_now_and_then(self):
        limiter = RequestLimiter(0.0, now_s=0.0)
        assert 0 < self.passed(limiter, 0.0, 20.0) <= 20 * MIN_REQUESTS_PER_S + 1


class TestLimitedEngine:
    def admission(self):
        admission = EngineAdmission("e", ENGINE, DecayingUsage(half_life_s=2))
        admission.set_limit(LIMIT_PER_S, now_s=0.0)
        return admission

    def submit(self, admission, number, now_s, *, tokens=100, account="a", wait_s=1.0):
        request = GrantRequest(
            key=GrantKey(incarnation=1, number=number),
            target_id="e",
            account=account,
            kind="k",
            prompt_tokens=tokens,
            output_tokens=0,
            shared_parts=(),
            on_time_until_s=now_s + wait_s,
            wait_until_s=now_s + wait_s,
        )
        return admission.submit(request, now_s=now_s)

    def test_prompts_are_granted_at_the_limit(self):
        admission = self.admission()
        granted = 0
        for number in range(400):
            now_s = number * 0.01
            answers = [self.submit(admission, number, now_s)]
            answers += admission.process_queue(now_s=now_s)
            for answer in answers:
                if answer.verdict is Verdict.GRANTED:
                    granted += 1
                    admission.record_progress(answer.key, Stage.ENDED, now_s=now_s)
        assert abs(granted - 4 * LIMIT_PER_S) <= 2

    def test_prompts_that_the_limit_leaves_no_time_for_are_refused_at_once(self):
        admission = self.admission()
        for number in range(20):
            self.submit(admission, number, 0.0, wait_s=1.0)
        answers = admission.process_queue(now_s=0.01)
        refused = [item for item in answers if item.verdict is Verdict.REFUSED]
        # One was granted, and within a second the limit lets about five pass.
        assert len(refused) >= 20 - LIMIT_PER_S - 2
        assert admission.waiting_count <= LIMIT_PER_S

    def test_an_account_with_less_usage_goes_first_within_the_limit(self):
        admission = self.admission()
        for number in range(10):
            self.submit(admission, number, 0.0, account="large")
        self.submit(admission, 99, 0.0, account="small")
        admission.process_queue(now_s=0.01)
        [answer] = admission.process_queue(now_s=0.21)
        assert answer.key.number == 99

    def test_a_withdrawn_grant_does_not_count(self):
        admission = self.admission()
        answer = self.submit(admission, 1, 0.0)
        admission.record_progress(answer.key, Stage.WITHDRAWN, now_s=0.0)
        assert self.submit(admission, 2, 0.0).verdict is Verdict.GRANTED

    def test_the_backlog_tells_when_the_limit_lets_a_prompt_pass(self):
        admission = self.admission()
        self.submit(admission, 1, 0.0)
        backlog_s = admission.backlog(now_s=0.0).backlog_s
        assert abs(backlog_s - 1 / LIMIT_PER_S) < 0.01

    def test_permits_count_together_with_prompts(self):
        admission = self.admission()
        self.submit(admission, 1, 0.0)
        refused = self.submit(admission, 2, 0.0, tokens=0)
        assert refused.verdict is Verdict.REFUSED
        assert 0 < refused.first_answer_s <= 1 / LIMIT_PER_S
        later = self.submit(admission, 3, 1 / LIMIT_PER_S, tokens=0)
        assert later.verdict is Verdict.GRANTED
