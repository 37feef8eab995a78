"""The home of an engine grants the prompts of all routers."""

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
from citrondock_core.routing.grant import GrantKey, GrantRequest, Stage, Verdict
from citrondock_core.routing.request_facts import PromptPart
from citrondock_core.routing.route import ModelEngineOptions

ENGINE = ModelEngineOptions(max_batch_size=64, memory_tokens=300_000)


def ask(number, *, account="a", kind="k", prompt=6000, target_s=1.0, now_s=0.0, **kw):
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
    )


def home(**options):
    shares = DecayingUsage(half_life_s=2)
    return EngineAdmission(
        "e", ENGINE, shares, options=EngineAdmissionOptions(**options)
    )


def fill(engine_home, count=4, now_s=0.0):
    """Ask until the engine has all it is given ahead."""
    return [
        engine_home.submit(ask(1000 + n, account="filler"), now_s=now_s).verdict
        for n in range(count)
    ]


class TestGranting:
    def test_an_idle_engine_is_granted_at_once(self):
        assert home().submit(ask(1), now_s=0).verdict is Verdict.GRANTED

    def test_prompts_wait_once_the_engine_has_enough_ahead(self):
        verdicts = fill(home())
        assert verdicts[0] is Verdict.GRANTED
        assert verdicts[-1] is Verdict.QUEUED

    def test_an_ask_that_does_not_wait_is_refused_and_told_of_the_queue(self):
        engine_home = home()
        fill(engine_home)
        answer = engine_home.submit(ask(1, wait_s=0.0), now_s=0)
        assert answer.verdict is Verdict.REFUSED
        queue_s = 2 * 6000 / NOMINAL_PREFILL_TOKENS_PER_S
        assert answer.first_answer_s > FIRST_TOKEN_BASE_S + queue_s
        assert GrantKey(incarnation=1, number=1) not in engine_home.keys()

    def test_a_repeated_ask_is_granted_once(self):
        engine_home = home()
        engine_home.submit(ask(1), now_s=0)
        assert engine_home.submit(ask(1), now_s=0.1).verdict is Verdict.GRANTED
        assert engine_home.running_count == 1

    def test_an_engine_that_starts_nothing_is_given_no_more(self):
        engine_home = home()
        granted = 0
        for step in range(200):
            now_s = step * 0.05
            answer = engine_home.submit(ask(step, now_s=now_s), now_s=now_s)
            granted += answer.verdict is Verdict.GRANTED
            granted += sum(
                due.verdict is Verdict.GRANTED
                for due in engine_home.process_queue(now_s=now_s)
            )
        ahead_s = granted * 6050 / NOMINAL_PREFILL_TOKENS_PER_S
        assert (
            ahead_s < FIRST_TOKEN_BASE_S + EngineAdmissionOptions().max_backlog_s + 0.3
        )

    def test_waiting_prompts_are_granted_as_the_engine_reads(self):
        engine_home = home()
        fill(engine_home)
        for number in (1000, 1001):
            key = GrantKey(incarnation=1, number=number)
            engine_home.record_progress(key, Stage.STARTED, now_s=0.3)
        due = engine_home.process_queue(now_s=0.4)
        assert any(answer.verdict is Verdict.GRANTED for answer in due)

    def test_an_ask_is_refused_when_its_patience_ends(self):
        engine_home = home()
        fill(engine_home)
        engine_home.submit(ask(1, wait_s=0.2), now_s=0)
        due = engine_home.process_queue(now_s=0.25)
        refused = [a.key.number for a in due if a.verdict is Verdict.REFUSED]
        assert refused == [1]

    def test_a_short_patience_is_no_reason_to_refuse_at_once(self):
        engine_home = home()
        fill(engine_home, count=8)
        verdict = engine_home.submit(ask(1, prompt=500, target_s=0.4), now_s=0).verdict
        assert verdict is Verdict.QUEUED

    def test_a_withdrawn_ask_is_forgotten(self):
        engine_home = home()
        fill(engine_home)
        engine_home.submit(ask(1), now_s=0)
        waiting = engine_home.waiting_count
        key = GrantKey(incarnation=1, number=1)
        engine_home.record_progress(key, Stage.WITHDRAWN, now_s=0)
        assert engine_home.waiting_count == waiting - 1

    def test_a_grant_whose_end_was_lost_is_forgotten(self):
        engine_home = home(max_grant_s=5)
        engine_home.submit(ask(1), now_s=0)
        engine_home.expire(now_s=5.1)
        assert engine_home.running_count == 0
        assert engine_home.submit(ask(2), now_s=5.2).verdict is Verdict.GRANTED

    def test_grants_of_a_router_that_is_gone_do_not_block_the_engine(self):
        engine_home = home()
        fill(engine_home, count=12)
        for step in range(1, 60):
            now_s = step * 0.05
            engine_home.expire(now_s=now_s)
            engine_home.process_queue(now_s=now_s)
        assert (
            engine_home.submit(ask(1, now_s=3.0), now_s=3.0).verdict is Verdict.GRANTED
        )

    def test_a_restarted_router_has_no_grants(self):
        engine_home = home()
        fill(engine_home)
        engine_home.forget_router(1, now_s=0.1)
        assert (engine_home.running_count, engine_home.waiting_count) == (0, 0)

    def test_a_prompt_that_does_not_fit_beside_the_others_waits(self):
        engine_home = home(max_backlog_s=100)
        engine_home.submit(ask(1, prompt=200_000), now_s=0)
        assert (
            engine_home.submit(ask(2, prompt=150_000), now_s=0).verdict
            is Verdict.QUEUED
        )


class TestOrder:
    def granted(self, engine_home, now_s):
        for number in range(1000, 1004):
            key = GrantKey(incarnation=1, number=number)
            engine_home.record_progress(key, Stage.ENDED, now_s=now_s)
        due = engine_home.process_queue(now_s=now_s)
        return [a.key.number for a in due if a.verdict is Verdict.GRANTED]

    def test_the_account_that_received_least_goes_first(self):
        engine_home = home()
        engine_home.submit(ask(1, account="large", prompt=20_000), now_s=0)
        fill(engine_home)
        engine_home.submit(ask(2, account="large", target_s=3), now_s=0)
        engine_home.submit(ask(3, account="small", target_s=3), now_s=0)
        key = GrantKey(incarnation=1, number=1)
        engine_home.record_progress(key, Stage.ENDED, now_s=0.9)
        granted = self.granted(engine_home, 1.0)
        assert granted.index(3) < (granted.index(2) if 2 in granted else 99)

    def test_a_prompt_that_can_be_on_time_goes_before_one_that_cannot(self):
        engine_home = home()
        fill(engine_home)
        engine_home.submit(ask(1, target_s=0.2, wait_s=5), now_s=0)
        engine_home.submit(ask(2, target_s=5), now_s=0)
        granted = self.granted(engine_home, 1.0)
        assert granted[0] == 2

    def test_within_an_account_the_kind_served_least_goes_first(self):
        engine_home = home()
        engine_home.submit(ask(1, kind="long"), now_s=0)
        fill(engine_home)
        engine_home.submit(ask(2, kind="long", target_s=2), now_s=0)
        engine_home.submit(ask(3, kind="short", target_s=4), now_s=0)
        engine_home.record_progress(
            GrantKey(incarnation=1, number=1), Stage.ENDED, now_s=0.9
        )
        assert self.granted(engine_home, 1.0)[0] == 3

    def test_shares_even_out_between_accounts_of_unequal_demand(self):
        engine_home = home()
        received = {"large": 0, "small": 0}
        number = 0
        live: list[tuple[float, GrantKey]] = []
        for step in range(400):
            now_s = step * 0.02
            answers = []
            for account, count in (("large", 6), ("small", 1)):
                for _ in range(count):
                    number += 1
                    wish = ask(number, account=account, prompt=2000, now_s=now_s)
                    accounts[wish.key] = account
                    answers.append(engine_home.submit(wish, now_s=now_s))
            answers += engine_home.process_queue(now_s=now_s)
            for answer in answers:
                if answer.verdict is Verdict.GRANTED:
                    received[accounts[answer.key]] += 1
                    live.append((now_s + FIRST_TOKEN_BASE_S, answer.key))
            for due_s, key in [item for item in live if item[0] <= now_s]:
                live.remove((due_s, key))
                engine_home.record_progress(key, Stage.STARTED, now_s=now_s)
                engine_home.record_progress(key, Stage.ENDED, now_s=now_s)
        # Each may have half; the small account asks for more than that.
        assert received["small"] > 0.8 * received["large"]


accounts: dict[GrantKey, str] = {}


class TestCacheModel:
    def test_a_part_that_was_read_before_costs_nothing_again(self):
        engine_home = home()
        part = PromptPart("1", 5000)
        engine_home.submit(ask(1, parts=(part,)), now_s=0)
        before_s = engine_home.backlog(now_s=0).backlog_s
        engine_home.submit(ask(2, parts=(part,)), now_s=0)
        added_s = engine_home.backlog(now_s=0).backlog_s - before_s
        assert added_s < before_s / 3

    def test_parts_that_no_longer_fit_are_read_again(self):
        engine_home = home(max_backlog_s=1000)
        part = PromptPart("1", 5000)
        engine_home.submit(ask(0, parts=(part,)), now_s=0)
        for number in range(1, 60):
            engine_home.submit(ask(number, prompt=8000), now_s=0)
            key = GrantKey(incarnation=1, number=number)
            engine_home.record_progress(key, Stage.ENDED, now_s=0)
        assert engine_home.cache.cached_tokens([part]) == 0


class TestEngineSpeed:
    def test_the_rate_of_an_engine_is_learned(self):
        for rate in (27_000, 48_000, 75_000):
            speed = EngineSpeed()
            for _ in range(60):
                speed.learn(6000, FIRST_TOKEN_BASE_S + 6000 / rate)
            assert abs(speed.tokens_per_s / rate - 1) < 0.1

    def test_the_coarse_speed_stays_while_the_rate_wavers(self):
        speed = EngineSpeed()
        seen = set()
        for step in range(200):
            rate = NOMINAL_PREFILL_TOKENS_PER_S * (1.1 if step % 2 else 0.9)
            speed.learn(6000, FIRST_TOKEN_BASE_S + 6000 / rate)
            seen.add(speed.percent)
        assert seen == {100}
