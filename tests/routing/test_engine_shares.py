"""Shares of an engine between accounts that always have prompts waiting for it."""

import heapq
import itertools

import pytest

from citrondock_core.routing.account_usage import DecayingUsage
from citrondock_core.routing.engine_admission import EngineAdmission
from citrondock_core.routing.grant import GrantKey, GrantRequest, Stage, Verdict
from citrondock_core.routing.route import ModelEngineOptions
from citrondock_router.gateway.grant_home import USAGE_HALF_LIFE_S

ENGINE_TOKENS_PER_S = 60_000
PROMPT_TOKENS = 1_000
FIRST_TOKEN_S = 0.1
TICK_S = 0.01
WINDOW_S = 6
"""Users judge the shares over windows of this length."""

WAITING_PROMPTS = 5


class Contention:
    """Accounts at one engine whose home router knows all usage."""

    def __init__(self):
        self.admission = EngineAdmission(
            "e",
            ModelEngineOptions(max_batch_size=256, memory_tokens=10**9),
            DecayingUsage(half_life_s=USAGE_HALF_LIFE_S),
        )
        self.received = {}
        self._numbers = itertools.count()
        self._accounts = {}
        self._waiting = {}
        self._account_by_key = {}
        self._reports = []
        self._busy_until_s = 0.0
        self._now_s = 0.0

    def add(self, account, *, is_late=False):
        """Let an account have prompts waiting at all times from now on."""
        self._accounts[account] = is_late
        self.received[account] = 0
        self._waiting[account] = 0

    def run(self, seconds):
        end_s = self._now_s + seconds
        while self._now_s < end_s:
            for account in self._accounts:
                while self._waiting[account] < WAITING_PROMPTS:
                    self._submit(account)
            while self._reports and self._reports[0][0] <= self._now_s:
                _, _, key = heapq.heappop(self._reports)
                for stage in (Stage.STARTED, Stage.ENDED):
                    self.admission.record_progress(key, stage, now_s=self._now_s)
            self._apply(self.admission.process_queue(now_s=self._now_s))
            self._now_s += TICK_S

    def _submit(self, account):
        number = next(self._numbers)
        on_time_s = -1.0 if self._accounts[account] else 100.0
        request = GrantRequest(
            key=GrantKey(incarnation=1, number=number),
            target_id="e",
            account=account,
            kind="k",
            prompt_tokens=PROMPT_TOKENS,
            output_tokens=0,
            shared_parts=(),
            on_time_until_s=self._now_s + on_time_s,
            wait_until_s=self._now_s + 100.0,
        )
        self._waiting[account] += 1
        self._account_by_key[request.key] = account
        self._apply([self.admission.submit(request, now_s=self._now_s)])

    def _apply(self, answers):
        for answer in answers:
            assert answer.verdict is not Verdict.REFUSED
            if answer.verdict is Verdict.GRANTED:
                account = self._account_by_key.pop(answer.key)
                self._waiting[account] -= 1
                self.received[account] += PROMPT_TOKENS
                start_s = max(self._busy_until_s, self._now_s)
                self._busy_until_s = start_s + PROMPT_TOKENS / ENGINE_TOKENS_PER_S
                at_s = self._busy_until_s + FIRST_TOKEN_S
                heapq.heappush(self._reports, (at_s, next(self._numbers), answer.key))


class TestAccountServedBeforeABurst:
    @pytest.mark.parametrize("burst_count", [1, 2, 4, 8, 12])
    def test_gets_half_of_what_each_new_account_gets(self, burst_count):
        contention = Contention()
        contention.add("steady")
        contention.run(8)
        before = contention.received["steady"]
        for number in range(burst_count):
            contention.add(f"burst{number}")
        contention.run(WINDOW_S)
        received = contention.received["steady"] - before
        assert received >= contention.received["burst0"] / 2


class TestAccountWithLatePromptsOnly:
    def test_gets_clearly_more_than_half_of_what_others_get(self):
        contention = Contention()
        contention.add("late", is_late=True)
        contention.add("on_time")
        contention.run(2)
        before = dict(contention.received)
        contention.run(WINDOW_S)
        late, on_time = (
            contention.received[account] - before[account]
            for account in ("late", "on_time")
        )
        assert 0.65 * on_time <= late <= on_time
