"""Tests of the admission control of one engine."""

from citrondock_core.routing.account_usage import DecayingUsage
from citrondock_core.routing.engine_admission import (
    EngineAdmission,
    EngineAdmissionOptions,
)
from citrondock_core.routing.engine_speed import (
    FIRST_TOKEN_BASE_S,
    NOMINAL_PREFILL_TOKENS_PER_S,
    EngineSpeed,
)
from citrondock_core.routing.grant import (
    OUTPUT_TOKEN_WEIGHT,
    GrantKey,
    GrantRequest,
    RefusalReason,
    Stage,
    Verdict,
)
from citrondock_core.routing.request_facts import PromptPart
from citrondock_core.routing.route import ModelEngineOptions

ENGINE = ModelEngineOptions(max_batch_size=64, memory_tokens=300_000)


def grant_request(
    number, *, account="a", kind="k", prompt=6000, target_s=1.0, now_s=0.0, **kw
):
    parts = kw.pop("parts", ())
    return GrantRequest(
        key=GrantKey(incarnation=1, number=number),
        target_id="e",
        account=account,
        kind=kind,
        prompt_tokens=prompt,
        output_tokens=50,
        shared_parts=parts,
        on_time_until_s=now_s + target_s,
        wait_until_s=now_s + kw.pop("wait_s", target_s),
        **kw,
    )


def new_admission(**options):
    usage = DecayingUsage(half_life_s=2)
    return EngineAdmission(
        "e", ENGINE, usage, options=EngineAdmissionOptions(**options)
    )


def fill_backlog(admission, count=4, now_s=0.0):
    """Submit requests of 6000 tokens, which fill the engine's backlog and the queue."""
    return [
        admission.submit(grant_request(1000 + n, account="filler"), now_s=now_s).verdict
        for n in range(count)
    ]


def fill_and_queue(*, served_tokens):
    """Return an admission control with a full engine, on which both accounts wait.

    The request of "refused" is late, as it was refused before; that of "served" is not.
    """
    admission = new_admission()
    fill_backlog(admission, count=2)
    for account, tokens in served_tokens.items():
        admission._usage.add(account, tokens, now_s=0)
    for number, account, target_s in ((1, "served", 3.0), (2, "refused", -0.5)):
        request = grant_request(number, account=account, target_s=target_s, wait_s=3.0)
        assert admission.submit(request, now_s=0).verdict is Verdict.QUEUED
    return admission


def granted_numbers(admission):
    granted = []
    for step in range(1, 200):
        for answer in admission.process_queue(now_s=step * 0.01):
            assert answer.verdict is Verdict.GRANTED
            granted.append(answer.key.number)
            admission.record_progress(answer.key, Stage.STARTED, now_s=step * 0.01)
    return [number for number in granted if number < 1000]


class TestPromptsThatComeBackLate:
    def test_those_of_an_account_below_three_quarters_of_another_go_before(self):
        admission = fill_and_queue(served_tokens={"served": 90_000, "refused": 60_000})
        assert granted_numbers(admission) == [2, 1]

    def test_those_of_an_account_that_got_its_share_go_last(self):
        admission = fill_and_queue(served_tokens={"served": 90_000, "refused": 75_000})
        assert granted_numbers(admission) == [1, 2]


class TestStreamsThatGoOn:
    def test_they_go_before_new_prompts_of_their_account(self):
        admission = new_admission()
        fill_backlog(admission, count=2)
        for number in (1, 2, 3):
            request = grant_request(number, target_s=3.0, continues_stream=number == 3)
            assert admission.submit(request, now_s=0).verdict is Verdict.QUEUED
        assert granted_numbers(admission) == [3, 1, 2]

    def test_they_are_not_late(self):
        admission = fill_and_queue(served_tokens={"served": 90_000, "refused": 75_000})
        late = grant_request(
            3, account="refused", target_s=-0.5, wait_s=3.0, continues_stream=True
        )
        assert admission.submit(late, now_s=0).verdict is Verdict.QUEUED
        assert granted_numbers(admission)[0] == 3

    def test_a_full_queue_of_their_account_does_not_refuse_them(self):
        admission = new_admission(max_account_queue_s=0.2)
        fill_backlog(admission)
        new, begun = (
            grant_request(number, account="filler", continues_stream=number == 2)
            for number in (1, 2)
        )
        assert admission.submit(new, now_s=0).verdict is Verdict.REFUSED
        assert admission.submit(begun, now_s=0).verdict is Verdict.QUEUED


class TestUnusedGrants:
    def test_an_account_is_not_charged_for_a_grant_that_was_not_used(self):
        admission = new_admission()
        used, unused = grant_request(1, prompt=2000), grant_request(2, prompt=2000)
        for request in (used, unused):
            assert admission.submit(request, now_s=0).verdict is Verdict.GRANTED
        admission.record_progress(unused.key, Stage.WITHDRAWN, now_s=1.0)
        admission.record_progress(used.key, Stage.ENDED, now_s=1.0)
        expected = DecayingUsage(half_life_s=2)
        expected.add("a", 2000 + OUTPUT_TOKEN_WEIGHT * 50, now_s=0)
        left = admission._usage.received_tokens("a", now_s=1.0)
        assert abs(left - expected.received_tokens("a", now_s=1.0)) < 1


class TestRefusalReasons:
    def test_an_answer_names_the_reason_and_the_usage_of_the_account(self):
        admission = new_admission(max_account_queue_s=0.2)
        admission.submit(grant_request(1, account="a"), now_s=0)
        fill_backlog(admission)
        trial = admission.submit(grant_request(2, account="a", wait_s=0.0), now_s=0)
        assert trial.refusal_reason is RefusalReason.WAITED_OUT
        assert trial.account_tokens == 6000 + OUTPUT_TOKEN_WEIGHT * 50
        flood = [
            admission.submit(grant_request(10 + n, account="b"), now_s=0)
            for n in range(5)
        ]
        assert flood[-1].refusal_reason is RefusalReason.ACCOUNT_QUEUE_FULL
        assert flood[-1].account_tokens == 0

    def test_what_waits_for_an_engine_that_is_dropped_is_told_so(self):
        admission = new_admission()
        fill_backlog(admission)
        [answer, *_] = admission.refuse_waiting(now_s=0)
        assert answer.refusal_reason is RefusalReason.TARGET_GONE

    def test_a_grant_has_neither(self):
        answer = new_admission().submit(grant_request(1), now_s=0)
        assert (answer.refusal_reason, answer.account_tokens) == (None, None)


class TestGranting:
    def test_a_request_to_an_idle_engine_is_granted_at_once(self):
        assert (
            new_admission().submit(grant_request(1), now_s=0).verdict is Verdict.GRANTED
        )

    def test_prompts_wait_once_the_engine_backlog_is_full(self):
        verdicts = fill_backlog(new_admission())
        assert verdicts[0] is Verdict.GRANTED
        assert verdicts[-1] is Verdict.QUEUED

    def test_a_request_without_wait_time_is_refused_with_the_predicted_delay(self):
        admission = new_admission()
        fill_backlog(admission)
        answer = admission.submit(grant_request(1, wait_s=0.0), now_s=0)
        assert answer.verdict is Verdict.REFUSED
        queue_s = 2 * 6000 / NOMINAL_PREFILL_TOKENS_PER_S
        assert answer.first_answer_s > FIRST_TOKEN_BASE_S + queue_s
        assert GrantKey(incarnation=1, number=1) not in admission.keys()

    def test_a_repeated_request_is_granted_once(self):
        admission = new_admission()
        admission.submit(grant_request(1), now_s=0)
        assert admission.submit(grant_request(1), now_s=0.1).verdict is Verdict.GRANTED
        assert admission.running_count == 1

    def test_an_engine_that_starts_nothing_gets_no_further_prompts(self):
        admission = new_admission()
        granted = 0
        for step in range(200):
            now_s = step * 0.05
            answer = admission.submit(grant_request(step, now_s=now_s), now_s=now_s)
            granted += answer.verdict is Verdict.GRANTED
            granted += sum(
                decision.verdict is Verdict.GRANTED
                for decision in admission.process_queue(now_s=now_s)
            )
        ahead_s = granted * 6050 / NOMINAL_PREFILL_TOKENS_PER_S
        assert (
            ahead_s < FIRST_TOKEN_BASE_S + EngineAdmissionOptions().max_backlog_s + 0.3
        )

    def test_waiting_prompts_are_granted_as_earlier_ones_start(self):
        admission = new_admission()
        fill_backlog(admission)
        for number in (1000, 1001):
            key = GrantKey(incarnation=1, number=number)
            admission.record_progress(key, Stage.STARTED, now_s=0.3)
        decisions = admission.process_queue(now_s=0.4)
        assert any(answer.verdict is Verdict.GRANTED for answer in decisions)

    def test_a_waiting_request_is_refused_when_its_wait_time_ends(self):
        admission = new_admission()
        fill_backlog(admission)
        admission.submit(grant_request(1, wait_s=0.2), now_s=0)
        decisions = admission.process_queue(now_s=0.25)
        refused = [a.key.number for a in decisions if a.verdict is Verdict.REFUSED]
        assert refused == [1]

    def test_a_request_with_a_short_wait_time_is_queued(self):
        admission = new_admission()
        fill_backlog(admission, count=8)
        verdict = admission.submit(
            grant_request(1, prompt=500, target_s=0.4), now_s=0
        ).verdict
        assert verdict is Verdict.QUEUED

    def test_a_withdrawn_request_leaves_the_queue(self):
        admission = new_admission()
        fill_backlog(admission)
        admission.submit(grant_request(1), now_s=0)
        waiting = admission.waiting_count
        key = GrantKey(incarnation=1, number=1)
        admission.record_progress(key, Stage.WITHDRAWN, now_s=0)
        assert admission.waiting_count == waiting - 1

    def test_a_grant_without_a_reported_end_expires(self):
        admission = new_admission(max_grant_s=5)
        admission.submit(grant_request(1), now_s=0)
        expired = admission.expire(now_s=5.1)
        assert expired == [grant_request(1).key]
        assert admission.running_count == 0
        assert admission.submit(grant_request(2), now_s=5.2).verdict is Verdict.GRANTED

    def test_grants_are_confirmed_periodically_until_they_end(self):
        admission = new_admission(max_unstarted_s=1, confirm_period_s=5)
        answer = admission.submit(grant_request(1), now_s=0)
        assert admission.unconfirmed_grants(now_s=0.9) == []
        [again] = admission.unconfirmed_grants(now_s=1.1)
        assert (again.key, again.verdict) == (answer.key, Verdict.GRANTED)
        admission.record_progress(answer.key, Stage.STARTED, now_s=1.2)
        assert admission.unconfirmed_grants(now_s=6.1) == []
        assert len(admission.unconfirmed_grants(now_s=6.3)) == 1
        admission.record_progress(answer.key, Stage.ENDED, now_s=6.4)
        assert admission.unconfirmed_grants(now_s=20.0) == []

    def test_grants_of_a_dead_router_do_not_block_the_engine(self):
        admission = new_admission()
        fill_backlog(admission, count=12)
        for step in range(1, 60):
            now_s = step * 0.05
            admission.expire(now_s=now_s)
            admission.process_queue(now_s=now_s)
        assert (
            admission.submit(grant_request(1, now_s=3.0), now_s=3.0).verdict
            is Verdict.GRANTED
        )

    def test_a_restarted_router_holds_no_grants(self):
        admission = new_admission()
        fill_backlog(admission)
        admission.forget_router(1, now_s=0.1)
        assert (admission.running_count, admission.waiting_count) == (0, 0)

    def test_a_prompt_that_exceeds_the_free_memory_waits(self):
        admission = new_admission(max_backlog_s=100)
        admission.submit(grant_request(1, prompt=200_000), now_s=0)
        assert (
            admission.submit(grant_request(2, prompt=150_000), now_s=0).verdict
            is Verdict.QUEUED
        )


class TestOrder:
    def granted(self, admission, now_s):
        for number in range(1000, 1004):
            key = GrantKey(incarnation=1, number=number)
            admission.record_progress(key, Stage.ENDED, now_s=now_s)
        decisions = admission.process_queue(now_s=now_s)
        return [a.key.number for a in decisions if a.verdict is Verdict.GRANTED]

    def test_the_account_with_the_lowest_usage_goes_first(self):
        admission = new_admission()
        admission.submit(grant_request(1, account="large", prompt=20_000), now_s=0)
        fill_backlog(admission)
        admission.submit(grant_request(2, account="large", target_s=3), now_s=0)
        admission.submit(grant_request(3, account="small", target_s=3), now_s=0)
        key = GrantKey(incarnation=1, number=1)
        admission.record_progress(key, Stage.ENDED, now_s=0.9)
        granted = self.granted(admission, 1.0)
        assert granted.index(3) < (granted.index(2) if 2 in granted else 99)

    def test_a_prompt_that_can_be_on_time_goes_before_a_late_one(self):
        admission = new_admission()
        fill_backlog(admission)
        admission.submit(grant_request(1, target_s=0.2, wait_s=5), now_s=0)
        admission.submit(grant_request(2, target_s=5), now_s=0)
        granted = self.granted(admission, 1.0)
        assert granted[0] == 2

    def test_within_an_account_the_kind_with_the_lowest_served_ratio_goes_first(self):
        admission = new_admission()
        admission.submit(grant_request(1, kind="long"), now_s=0)
        fill_backlog(admission)
        admission.submit(grant_request(2, kind="long", target_s=2), now_s=0)
        admission.submit(grant_request(3, kind="short", target_s=4), now_s=0)
        admission.record_progress(
            GrantKey(incarnation=1, number=1), Stage.ENDED, now_s=0.9
        )
        assert self.granted(admission, 1.0)[0] == 3

    def test_accounts_of_unequal_demand_receive_similar_shares(self):
        admission = new_admission()
        received = {"large": 0, "small": 0}
        number = 0
        live: list[tuple[float, GrantKey]] = []
        for step in range(400):
            now_s = step * 0.02
            answers = []
            for account, count in (("large", 6), ("small", 1)):
                for _ in range(count):
                    number += 1
                    request = grant_request(
                        number, account=account, prompt=2000, now_s=now_s
                    )
                    accounts[request.key] = account
                    answers.append(admission.submit(request, now_s=now_s))
            answers += admission.process_queue(now_s=now_s)
            for answer in answers:
                if answer.verdict is Verdict.GRANTED:
                    received[accounts[answer.key]] += 1
                    live.append((now_s + FIRST_TOKEN_BASE_S, answer.key))
            for due_s, key in [item for item in live if item[0] <= now_s]:
                live.remove((due_s, key))
                admission.record_progress(key, Stage.STARTED, now_s=now_s)
                admission.record_progress(key, Stage.ENDED, now_s=now_s)
        # A fair share is half; the small account asks for more than that.
        assert received["small"] > 0.8 * received["large"]


accounts: dict[GrantKey, str] = {}


class TestCacheModel:
    def test_a_cached_part_needs_no_prefill(self):
        admission = new_admission()
        part = PromptPart("1", 5000)
        admission.submit(grant_request(1, parts=(part,)), now_s=0)
        before_s = admission.backlog(now_s=0).backlog_s
        admission.submit(grant_request(2, parts=(part,)), now_s=0)
        added_s = admission.backlog(now_s=0).backlog_s - before_s
        assert added_s < before_s / 3

    def test_parts_evicted_from_the_cache_need_prefill_again(self):
        admission = new_admission(max_backlog_s=1000)
        part = PromptPart("1", 5000)
        admission.submit(grant_request(0, parts=(part,)), now_s=0)
        for number in range(1, 60):
            admission.submit(grant_request(number, prompt=8000), now_s=0)
            key = GrantKey(incarnation=1, number=number)
            admission.record_progress(key, Stage.ENDED, now_s=0)
        assert admission.cache.cached_tokens([part]) == 0


class TestEngineSpeed:
    def test_the_prefill_rate_of_an_engine_is_learned(self):
        for rate in (27_000, 48_000, 75_000):
            speed = EngineSpeed()
            for _ in range(60):
                speed.learn(6000, FIRST_TOKEN_BASE_S + 6000 / rate)
            assert abs(speed.tokens_per_s / rate - 1) < 0.1

    def test_the_rounded_speed_stays_while_the_rate_fluctuates(self):
        speed = EngineSpeed()
        seen = set()
        for step in range(200):
            rate = NOMINAL_PREFILL_TOKENS_PER_S * (1.1 if step % 2 else 0.9)
            speed.learn(6000, FIRST_TOKEN_BASE_S + 6000 / rate)
            seen.add(speed.percent)
        assert seen == {100}
