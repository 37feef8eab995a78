"""Cold targets get few requests until they are warm (FAILBACK)."""

from citrondock_core.routing.account_usage import DecayingUsage
from citrondock_core.routing.engine_admission import EngineAdmission
from citrondock_core.routing.grant import GrantKey, GrantRequest, Stage, Verdict
from citrondock_core.routing.route import ModelEngineOptions
from citrondock_core.routing.target_limits import TargetLimit, TargetLimits
from citrondock_core.routing.warm_up import WarmUpOptions, WarmUps
from citrondock_router.gateway.grant_home import ACTING_HOME_SHARE

OPTIONS = WarmUpOptions(requests_per_s=10.0, expected_s=3.0)
MAX_IN_ONE_S = 10.0 * 1.5 + 5
"""The users' rule for these options, summed over all routers."""


def cold(*target_ids):
    warm_ups = WarmUps()
    warm_ups.set_options({target_id: OPTIONS for target_id in target_ids})
    return warm_ups


class TestWarmUps:
    def test_a_target_is_cold_until_the_time_in_its_entry(self):
        warm_ups = cold("e1")
        warm_ups.record_entry("e1", until_s=5.0, registered_revision=1)
        assert warm_ups.requests_per_s("e1", now_s=4.9) == 10.0
        assert warm_ups.requests_per_s("e1", now_s=5.0) is None

    def test_listing_an_old_entry_again_does_not_begin_the_period_anew(self):
        warm_ups = cold("e1")
        warm_ups.record_entry("e1", until_s=5.0, registered_revision=1)
        warm_ups.record_entry("e1", until_s=95.0, registered_revision=1)
        assert warm_ups.requests_per_s("e1", now_s=6.0) is None

    def test_a_warm_target_may_become_cold_again(self):
        warm_ups = cold("e1")
        warm_ups.record_entry("e1", until_s=0.0, registered_revision=1)
        warm_ups.record_entry("e1", until_s=9.0, registered_revision=2)
        assert warm_ups.requests_per_s("e1", now_s=8.0) == 10.0

    def test_targets_of_services_without_a_warm_up_are_never_cold(self):
        warm_ups = cold("e1")
        warm_ups.record_entry("app1", until_s=9.0, registered_revision=1)
        warm_ups.expect("app1", until_s=9.0)
        assert warm_ups.requests_per_s("app1", now_s=1.0) is None

    def test_a_crashed_target_is_cold_when_it_is_back(self):
        warm_ups = cold("e1")
        warm_ups.record_entry("e1", until_s=0.0, registered_revision=7)
        warm_ups.expect_restart("e1", back_at_s=4.0)
        assert warm_ups.requests_per_s("e1", now_s=6.9) == 10.0
        assert warm_ups.requests_per_s("e1", now_s=7.0) is None

    def test_a_newer_entry_ends_an_expected_period(self):
        warm_ups = cold("e1")
        warm_ups.record_entry("e1", until_s=0.0, registered_revision=7)
        warm_ups.expect("e1", until_s=9.0)
        warm_ups.record_entry("e1", until_s=1.0, registered_revision=8)
        assert warm_ups.requests_per_s("e1", now_s=2.0) is None


class TestLimitsOfColdTargets:
    def test_the_lower_of_both_limits_applies(self):
        warm_ups = cold("e1")
        warm_ups.record_entry("e1", until_s=5.0, registered_revision=1)
        limits = TargetLimits(warm_ups)
        assert limits.allowed_per_s("e1", now_s=1.0) == 10.0
        named = TargetLimit(target_id="e1", requests_per_s=4.0, age_s=0.0)
        limits.merge(named, now_s=1.0)
        assert limits.allowed_per_s("e1", now_s=1.0) == 4.0
        assert limits.allowed_per_s("e1", now_s=6.0) == 4.0

    def test_a_response_without_a_limit_does_not_end_a_warm_up(self):
        warm_ups = cold("e1")
        warm_ups.record_entry("e1", until_s=5.0, registered_revision=1)
        limits = TargetLimits(warm_ups)
        limits.record_response("e1", None, sent_at_s=1.0, now_s=2.0)
        assert limits.allowed_per_s("e1", now_s=2.0) == 10.0

    def test_other_routers_are_not_told_of_a_warm_up_as_a_limit(self):
        warm_ups = cold("e1")
        warm_ups.record_entry("e1", until_s=5.0, registered_revision=1)
        assert TargetLimits(warm_ups).reports(now_s=1.0) == []


class TestAdmissionOfAColdEngine:
    """A backlog of short prompts from many routers, at an engine with room for all."""

    def granted_at_s(self, rate_per_s, for_s):
        engine = ModelEngineOptions(max_batch_size=500, memory_tokens=10**9)
        admission = EngineAdmission("e1", engine, DecayingUsage(half_life_s=2.0))
        granted = []
        now_s = number = 0
        while now_s < for_s:
            admission.set_limit(rate_per_s, now_s=now_s)
            number += 1
            request = GrantRequest(
                key=GrantKey(incarnation=1, number=number),
                target_id="e1",
                account=f"a{number % 5}",
                kind="k",
                prompt_tokens=50,
                output_tokens=10,
                shared_parts=(),
                on_time_until_s=now_s + 1,
                wait_until_s=now_s + 1,
            )
            answers = [admission.submit(request, now_s=now_s)]
            answers += admission.process_queue(now_s=now_s)
            for answer in answers:
                if answer.verdict is Verdict.GRANTED:
                    granted.append(now_s)
                    admission.record_progress(answer.key, Stage.ENDED, now_s=now_s)
            now_s += 0.01
        return granted

    def test_it_gets_no_more_in_any_second_than_it_bears(self):
        granted = self.granted_at_s(OPTIONS.requests_per_s, for_s=4.0)
        most = max(sum(at <= s < at + 1.0 for s in granted) for at in granted)
        assert len(granted) >= 30
        assert most <= MAX_IN_ONE_S

    def test_nor_beside_a_router_that_stands_in_for_its_home(self):
        usual = self.granted_at_s(OPTIONS.requests_per_s, for_s=4.0)
        acting = self.granted_at_s(OPTIONS.requests_per_s * ACTING_HOME_SHARE, 4.0)
        granted = sorted(usual + acting)
        most = max(sum(at <= s < at + 1.0 for s in granted) for at in granted)
        assert most <= MAX_IN_ONE_S
