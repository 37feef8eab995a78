"""Prompt parts are withheld for the crashes that they have in common."""

import random

from citrondock_core.routing.engine_crash import EngineCrash
from citrondock_core.routing.part_quarantine import (
    CLEARED_S,
    FIRST_PROBE_S,
    JUDGEMENT_DELAY_S,
    MAX_SUSPECTED_PARTS,
    MAX_WITHHELD_PARTS,
    MIN_CRASHES,
    PROBE_JITTER,
    PartQuarantine,
    PartState,
)

FIRST_PROBE_END_S = FIRST_PROBE_S * (1 + PROBE_JITTER)


class Router:
    """A quarantine on a clock of its own."""

    def __init__(self, seed=1):
        self.quarantine = PartQuarantine(random.Random(seed))
        self.now_s = 100.0
        self.crash_count = 0

    def crash(self, *reports, engine=None, after_s=3.0):
        """Let an engine crash; each report is a router's list of suspected parts."""
        self.now_s += after_s
        self.crash_count += 1
        name = engine or f"e{self.crash_count}"
        for report in reports:
            crash = EngineCrash(
                target_id=f"{name}-{self.crash_count}",
                address=name,
                suspected_parts=report,
            )
            self.quarantine.record_crash(crash, now_s=self.now_s)
        self.now_s += JUDGEMENT_DELAY_S
        return [state.part_id for state in self.quarantine.judge(now_s=self.now_s)]

    def begin(self, *part_ids):
        return self.quarantine.record_begun(part_ids, now_s=self.now_s)

    def withheld(self, *part_ids):
        return self.quarantine.withheld_parts(part_ids)


class TestEvidence:
    def test_a_part_is_withheld_after_crashes_of_three_engines(self):
        router = Router()
        found = [router.crash(("first", "dead")) for _ in range(MIN_CRASHES)]
        assert found == [[], [], ["dead"]]
        assert router.withheld("first", "dead", "own") == ("dead",)

    def test_a_part_that_begins_in_between_is_not_withheld(self):
        router = Router()
        for _ in range(10):
            assert router.crash(("rare",)) == []
            router.begin("rare")

    def test_a_part_is_not_suspected_right_after_it_began(self):
        router = Router()
        for _ in range(10):
            router.begin("popular")
            assert router.crash(("popular",), after_s=CLEARED_S / 2) == []

    def test_a_sound_part_of_the_same_prompts_stays_free(self):
        router = Router()
        for _ in range(MIN_CRASHES):
            router.crash(("companion", "dead"))
        # A prompt that was already under way crashes one more engine, at which
        # another router had a sound prompt.
        assert router.crash(("companion", "other"), ("companion", "dead")) == []
        assert router.withheld("companion", "other") == ()

    def test_a_sound_prompt_reported_before_the_deadly_one_stays_free(self):
        router = Router()
        found = [
            router.crash(("companion",), ("companion", "dead"))
            for _ in range(MIN_CRASHES)
        ]
        assert found[-1] == ["dead"]

    def test_the_first_of_two_parts_is_withheld_if_it_alone_is_deadly(self):
        router = Router()
        for _ in range(MIN_CRASHES):
            router.crash(("dead", "companion"))
        assert router.withheld("companion") == ("companion",)
        assert router.crash(("dead", "other")) == []
        assert router.crash(("dead", "another")) == ["dead"]

    def test_one_engine_that_crashes_often_needs_more_evidence(self):
        router = Router()
        found = [router.crash(("part",), engine="e1") for _ in range(5)]
        assert found == [[], [], [], [], ["part"]]

    def test_reports_of_several_routers_count_as_one_crash(self):
        router = Router()
        assert router.crash(("dead",), ("dead",), ("dead",), ("dead",)) == []

    def test_two_parts_one_after_the_other_are_both_found(self):
        router = Router()
        for _ in range(MIN_CRASHES):
            router.crash(("first", "dead1"))
        found = []
        for _ in range(MIN_CRASHES):
            router.begin("first")
            found.append(router.crash(("first", "dead2")))
        assert found[-1] == ["dead2"]
        assert router.withheld("dead1", "dead2") == ("dead1", "dead2")

    def test_the_tables_are_bounded(self):
        router = Router()
        for number in range(3 * MAX_SUSPECTED_PARTS):
            router.crash((f"p{number}",))
        assert len(router.quarantine._evidence) <= MAX_SUSPECTED_PARTS
        states = [
            PartState(part_id=f"s{number}", generation=1, evidence_age_s=1.0)
            for number in range(3 * MAX_WITHHELD_PARTS)
        ]
        router.quarantine.merge(states, now_s=router.now_s)
        assert router.quarantine.withheld_count <= MAX_WITHHELD_PARTS


class TestProbes:
    def router_with_withheld_part(self):
        router = Router()
        for _ in range(MIN_CRASHES):
            router.crash(("dead",))
        return router

    def test_a_probe_whose_response_begins_releases_the_part(self):
        router = self.router_with_withheld_part()
        router.now_s += FIRST_PROBE_END_S
        assert router.quarantine.probe_at_s(["dead"]) <= router.now_s
        router.quarantine.begin_probe(["dead"], now_s=router.now_s)
        assert [state.part_id for state in router.begin("dead")] == ["dead"]
        assert router.withheld("dead") == ()

    def test_at_most_three_probes_are_made_in_four_hours(self):
        router = self.router_with_withheld_part()
        probes = 0
        for _ in range(4 * 3600):
            router.now_s += 1.0
            if router.now_s >= router.quarantine.probe_at_s(["dead"]):
                router.quarantine.begin_probe(["dead"], now_s=router.now_s)
                router.crash(("dead",), after_s=0.0)
                probes += 1
        assert 1 <= probes <= 3
        assert router.withheld("dead") == ("dead",)


class TestMerging:
    def test_a_router_learns_what_others_withhold_and_release(self):
        first, second = Router(), Router()
        for _ in range(MIN_CRASHES):
            first.crash(("dead",))
        states = first.quarantine.states(now_s=first.now_s)
        assert second.quarantine.merge(states, now_s=second.now_s).adopted
        assert second.withheld("dead") == ("dead",)
        assert not second.quarantine.merge(states, now_s=second.now_s).adopted
        released = first.begin("dead")
        second.quarantine.merge(released, now_s=second.now_s)
        assert second.withheld("dead") == ()

    def test_an_old_state_does_not_withhold_a_released_part_again(self):
        router = Router()
        for _ in range(MIN_CRASHES):
            router.crash(("part",))
        old = router.quarantine.states(now_s=router.now_s)
        router.begin("part")
        result = router.quarantine.merge(old, now_s=router.now_s)
        assert not result.adopted
        assert [state.is_withheld for state in result.newer] == [False]

    def test_a_router_at_which_the_part_began_meanwhile_objects(self):
        accuser, witness = Router(), Router()
        for _ in range(MIN_CRASHES):
            accuser.crash(("rare",))
        witness.begin("rare")
        states = accuser.quarantine.states(now_s=accuser.now_s)
        objection = witness.quarantine.merge(states, now_s=witness.now_s).newer
        accuser.quarantine.merge(objection, now_s=accuser.now_s)
        assert witness.withheld("rare") == accuser.withheld("rare") == ()
