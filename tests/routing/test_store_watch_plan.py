"""Few calls of the store by the whole fleet, and no router left behind."""

import random

from hypothesis import given, settings
from hypothesis import strategies as st

from citrondock_core.routing.store_watch_plan import (
    BEHIND_GRACE_S,
    CATCH_UP_WAIT_S,
    LONG_WAIT_S,
    SHORT_WAIT_S,
    STATEMENT_MAX_AGE_S,
    STATEMENT_PERIOD_S,
    WATCHERS_PER_ZONE,
    StoreView,
    StoreWatchPlan,
    watchers,
)

KIND = "servers"


def view(revision, is_lost=False):
    return StoreView(kind=KIND, changed_revision=revision, is_lost=is_lost)


def follower(seen=10):
    plan = StoreWatchPlan()
    plan.is_watcher = False
    plan.record_seen(KIND, revision=seen, changed_revision=seen)
    return plan


class TestWait:
    def test_it_is_long_while_a_watcher_is_heard(self):
        plan = follower()
        assert plan.wait_s(KIND, now_s=0.0) == SHORT_WAIT_S
        plan.record_statement("w", view(10), now_s=0.0)
        assert plan.wait_s(KIND, now_s=1.0) == LONG_WAIT_S
        assert plan.wait_s(KIND, now_s=STATEMENT_MAX_AGE_S + 1) == SHORT_WAIT_S

    def test_watchers_wait_shortly(self):
        plan = follower()
        plan.is_watcher = True
        plan.record_statement("w", view(10), now_s=0.0)
        assert plan.wait_s(KIND, now_s=0.1) == SHORT_WAIT_S

    def test_a_router_that_is_behind_waits_shortly(self):
        plan = follower()
        plan.record_statement("w", view(11), now_s=0.0)
        assert plan.wait_s(KIND, now_s=0.1) == CATCH_UP_WAIT_S
        plan.record_seen(KIND, revision=11, changed_revision=11)
        assert plan.wait_s(KIND, now_s=0.2) == LONG_WAIT_S


class TestReplacedWatch:
    def must_ask(self, plan, now_s, asked_at_s=0.0):
        return plan.must_ask_now(
            KIND, wait_s=LONG_WAIT_S, asked_at_s=asked_at_s, now_s=now_s
        )

    def test_a_change_that_a_watcher_saw_is_asked_for_after_a_grace(self):
        plan = follower()
        plan.record_statement("w", view(11), now_s=0.0)
        assert not self.must_ask(plan, now_s=0.0)
        assert self.must_ask(plan, now_s=BEHIND_GRACE_S)

    def test_an_older_statement_changes_nothing(self):
        plan = follower(seen=10)
        plan.record_statement("w", view(9), now_s=0.0)
        assert not self.must_ask(plan, now_s=1.0)
        assert plan.statements() == [view(10)]

    def test_a_long_watch_ends_once_no_watcher_is_heard(self):
        plan = follower()
        plan.record_statement("w", view(10), now_s=0.0)
        assert not self.must_ask(plan, now_s=STATEMENT_MAX_AGE_S - 0.1)
        assert self.must_ask(plan, now_s=STATEMENT_MAX_AGE_S + 0.1)


class TestOutageThatOnlyWatchersNotice:
    def test_its_end_is_reported_once(self):
        plan = follower()
        for vm_name in ("w1", "w2"):
            assert not plan.record_statement(vm_name, view(10, True), now_s=0.0)
        assert not plan.record_statement("w1", view(10, True), now_s=1.0)
        assert plan.record_statement("w1", view(10), now_s=2.0)
        assert not plan.record_statement("w2", view(10), now_s=2.1)

    def test_one_watcher_that_is_turned_away_is_no_outage(self):
        plan = follower()
        plan.record_statement("w1", view(10), now_s=0.0)
        plan.record_statement("w2", view(10, True), now_s=0.0)
        assert not plan.record_statement("w2", view(10), now_s=1.0)

    def test_a_router_that_notices_it_itself_is_not_told(self):
        plan = follower()
        plan.record_lost(KIND)
        plan.record_statement("w1", view(10, True), now_s=0.0)
        plan.record_statement("w1", view(10, True), now_s=0.5)
        assert not plan.record_statement("w1", view(10), now_s=1.0)


class TestWatchers:
    def test_all_routers_choose_the_same_few(self):
        names = [f"v{number}" for number in range(40)]
        chosen = watchers(names, "z1")
        assert len(chosen) == WATCHERS_PER_ZONE
        random.Random(1).shuffle(names)
        assert watchers(names, "z1") == chosen

    def test_the_end_of_another_router_changes_nothing(self):
        names = [f"v{number}" for number in range(40)]
        chosen = watchers(names, "z1")
        left = [name for name in names if name in chosen or name != "v7"]
        assert watchers(left, "z1") == chosen


STEP_S = 0.25


class SimulatedRouter:
    """A router's watch of a store whose answers may be lost."""

    def __init__(self, name, names):
        self.name = name
        self.names = names
        self.restart(0.0)

    def restart(self, now_s):
        self.plan = StoreWatchPlan()
        self.seen = 0
        self.stated_at_s = -STATEMENT_PERIOD_S
        self.stated = []
        self.ask(now_s)

    def ask(self, now_s):
        self.asked_at_s = now_s
        self.wait_s = self.plan.wait_s(KIND, now_s=now_s)
        self.is_dead = False

    def step(self, now_s, revision, is_store_up):
        self.plan.is_watcher = self.name in watchers(self.names, "z1")
        has_news = revision > self.seen
        is_over = now_s - self.asked_at_s >= self.wait_s
        if is_store_up and not self.is_dead and (has_news or is_over):
            assert revision >= self.seen
            self.seen = revision
            self.plan.record_seen(KIND, revision=revision, changed_revision=revision)
            self.ask(now_s)
        elif now_s - self.asked_at_s >= self.wait_s + 1.0:
            self.plan.record_lost(KIND)
            self.ask(now_s)
        elif self.plan.must_ask_now(
            KIND, wait_s=self.wait_s, asked_at_s=self.asked_at_s, now_s=now_s
        ):
            self.ask(now_s)

    def statements(self, now_s):
        views = self.plan.statements()
        is_due = now_s - self.stated_at_s >= STATEMENT_PERIOD_S or views != self.stated
        if not (self.plan.is_watcher and is_due):
            return []
        self.stated, self.stated_at_s = views, now_s
        return views


class TestFleet:
    """Any order of changes, lost answers, lost statements, outages and restarts."""

    @settings(max_examples=60, deadline=None)
    @given(
        seed=st.integers(0, 2**32),
        change_share=st.floats(0, 0.5),
        dead_share=st.floats(0, 0.3),
        lost_share=st.floats(0, 0.6),
        restart_share=st.floats(0, 0.05),
    )
    def test_all_routers_reach_the_newest_state(
        self, seed, change_share, dead_share, lost_share, restart_share
    ):
        rng = random.Random(seed)
        names = [f"v{number}" for number in range(8)]
        routers = [SimulatedRouter(name, names) for name in names]
        revision, is_up, now_s = 1, True, 0.0
        trouble_s, quiet_s = 60.0, 2 * SHORT_WAIT_S + STATEMENT_MAX_AGE_S
        while now_s < trouble_s + quiet_s:
            now_s += STEP_S
            is_trouble = now_s < trouble_s
            if is_trouble:
                revision += rng.random() < change_share
                if rng.random() < 0.02:
                    is_up = not is_up
            else:
                is_up = True
            for router in routers:
                if is_trouble and rng.random() < dead_share:
                    router.is_dead = True
                if is_trouble and rng.random() < restart_share:
                    router.restart(now_s)
                router.step(now_s, revision, is_up)
                for sent in router.statements(now_s):
                    for other in routers:
                        is_lost = is_trouble and rng.random() < lost_share
                        if other is not router and not is_lost:
                            other.plan.record_statement(router.name, sent, now_s=now_s)
        assert {router.seen for router in routers} == {revision}

    def test_calls_in_calm_do_not_grow_with_the_zone(self):
        def calls(count):
            names = [f"v{number}" for number in range(count)]
            routers = [SimulatedRouter(name, names) for name in names]
            asked, now_s = 0, 0.0
            while now_s < 60.0:
                now_s += STEP_S
                for router in routers:
                    before = router.asked_at_s
                    router.step(now_s, 1, True)
                    asked += router.asked_at_s != before
                    for sent in router.statements(now_s):
                        for other in routers:
                            if other is not router:
                                other.plan.record_statement(
                                    router.name, sent, now_s=now_s
                                )
            return asked

        watcher_calls = WATCHERS_PER_ZONE * 60 / SHORT_WAIT_S
        for count in (10, 40):
            assert calls(count) <= watcher_calls + 5 * count
