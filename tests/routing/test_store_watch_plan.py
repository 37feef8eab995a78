"""Few calls of the store by the whole fleet, and no router left behind."""

import random

from hypothesis import given, settings
from hypothesis import strategies as st

from citrondock_core.routing.store_position import StorePosition
from citrondock_core.routing.store_watch_plan import (
    BEHIND_GRACE_S,
    CATCH_UP_WAIT_S,
    LONG_WAIT_S,
    NEW_ERA_WAIT_S,
    SHORT_WAIT_S,
    STATEMENT_MAX_AGE_S,
    STATEMENT_PERIOD_S,
    WATCHERS_PER_ZONE,
    StoreView,
    StoreWatchPlan,
    watchers,
)

KIND = "servers"


OTHER_KIND = "config"


def view(revision, is_lost=False, era=0, kind=KIND):
    return StoreView(kind=kind, changed_revision=revision, is_lost=is_lost, era=era)


def saw(plan, revision, *, era=0, kind=KIND, asked_at_s=-1.0, now_s=0.0):
    plan.record_seen(
        kind,
        position=StorePosition(era, revision),
        changed_revision=revision,
        asked_at_s=asked_at_s,
        now_s=now_s,
    )


def follower(seen=10, era=0):
    plan = StoreWatchPlan()
    plan.is_watcher = False
    saw(plan, seen, era=era)
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
        saw(plan, 11, now_s=0.2)
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


class TestStoreThatCameBackFromAnOlderCopy:
    """Its revisions went back, and its era rose by one."""

    def is_behind(self, plan, now_s, kind=KIND):
        plan.must_ask_now(kind, wait_s=LONG_WAIT_S, asked_at_s=0.0, now_s=now_s)
        return plan.must_ask_now(
            kind, wait_s=LONG_WAIT_S, asked_at_s=0.0, now_s=now_s + BEHIND_GRACE_S
        )

    def test_a_lower_revision_of_the_new_era_is_asked_for(self):
        plan = follower(seen=50, era=1)
        plan.record_statement("w", view(45, era=2), now_s=1.0)
        assert self.is_behind(plan, now_s=1.0)

    def test_a_change_after_a_listing_at_a_lower_revision_is_asked_for(self):
        plan = follower(seen=50, era=1)
        saw(plan, 40, era=2, asked_at_s=1.0, now_s=1.0)
        assert plan.statements() == [view(40, era=2)]
        plan.record_statement("w", view(45, era=2), now_s=2.0)
        assert self.is_behind(plan, now_s=2.0)

    def test_a_statement_of_the_old_era_does_not_shorten_waits(self):
        plan = follower(seen=40, era=2)
        plan.record_statement("w", view(50, era=1), now_s=1.0)
        assert plan.wait_s(KIND, now_s=1.0) == LONG_WAIT_S

    def test_a_statement_about_another_kind_shows_the_era(self):
        plan = follower(seen=50, era=1)
        plan.record_statement("w", view(3, era=2, kind=OTHER_KIND), now_s=1.0)
        assert self.is_behind(plan, now_s=1.0)
        assert plan.wait_s(KIND, now_s=1.0) == NEW_ERA_WAIT_S

    def test_the_routers_own_answers_for_another_kind_show_the_era(self):
        plan = follower(seen=50, era=1)
        saw(plan, 3, era=2, kind=OTHER_KIND, asked_at_s=1.0, now_s=1.0)
        assert self.is_behind(plan, now_s=1.0)
        saw(plan, 45, era=2, asked_at_s=2.0, now_s=2.0)
        assert not self.is_behind(plan, now_s=2.0)

    def test_an_answer_to_a_call_before_the_era_was_known_does_not_settle_it(self):
        plan = follower(seen=50, era=1)
        plan.record_statement("w", view(45, era=2), now_s=1.0)
        saw(plan, 51, era=1, asked_at_s=0.9, now_s=1.1)
        assert self.is_behind(plan, now_s=1.1)


class TestStatementOfAProcessThatStatesNoEra:
    def test_its_revision_is_compared_within_the_own_era(self):
        plan = follower(seen=50, era=2)
        plan.record_statement("w", view(50, era=None), now_s=1.0)
        assert plan.wait_s(KIND, now_s=1.0) == LONG_WAIT_S
        plan.record_statement("w", view(51, era=None), now_s=1.0)
        assert plan.wait_s(KIND, now_s=1.0) == CATCH_UP_WAIT_S

    def test_a_revision_of_the_old_era_is_asked_for_once(self):
        plan = follower(seen=40, era=2)
        plan.record_statement("w", view(50, era=None), now_s=1.0)
        saw(plan, 40, era=2, asked_at_s=0.9, now_s=1.1)
        assert plan.wait_s(KIND, now_s=1.2) == CATCH_UP_WAIT_S
        saw(plan, 40, era=2, asked_at_s=1.2, now_s=1.3)
        assert plan.wait_s(KIND, now_s=1.4) == LONG_WAIT_S
        plan.record_statement("w", view(50, era=None), now_s=3.0)
        assert plan.wait_s(KIND, now_s=3.0) == LONG_WAIT_S
        plan.record_statement("w", view(52, era=None), now_s=4.0)
        assert plan.wait_s(KIND, now_s=4.0) == CATCH_UP_WAIT_S


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

OBJECT_NAMES = "abc"


class SimulatedStore:
    """Objects whose history the store keeps, except what a restore takes away."""

    def __init__(self):
        self.era = 1
        self.revision = 1
        self.restored_at_s = 0.0
        self.writes = [("a", 0, 1)]
        self.written = 0

    @property
    def position(self):
        return StorePosition(self.era, self.revision)

    def write(self, name):
        self.revision += 1
        self.written += 1
        self.writes.append((name, self.written, self.revision))

    def restore(self, lost, now_s):
        """Come back from a copy that lacks the last revisions."""
        self.era += 1
        self.restored_at_s = now_s
        self.revision = max(1, self.revision - lost)
        self.writes = [write for write in self.writes if write[2] <= self.revision]

    def objects(self, after_revision=0):
        return {
            name: (value, revision)
            for name, value, revision in self.writes
            if revision > after_revision
        }


class SimulatedRouter:
    """A router's watch of a store whose answers may be lost."""

    def __init__(self, name, names):
        self.name = name
        self.names = names
        self.restart(0.0)

    def restart(self, now_s):
        self.plan = StoreWatchPlan()
        self.seen = StorePosition()
        self.objects = {}
        self.must_list = True
        self.stated_at_s = -STATEMENT_PERIOD_S
        self.stated = []
        self.ask(now_s)

    def ask(self, now_s):
        self.asked_at_s = now_s
        self.wait_s = 0.0 if self.must_list else self.plan.wait_s(KIND, now_s=now_s)
        self.is_dead = False

    def lose(self, now_s):
        self.plan.record_lost(KIND)
        self.must_list = True
        self.ask(now_s)

    def step(self, now_s, store, is_store_up):
        self.plan.is_watcher = self.name in watchers(self.names, "z1")
        after = 0 if self.must_list else self.seen.revision
        objects = store.objects(after)
        is_answered = is_store_up and not self.is_dead
        is_over = now_s - self.asked_at_s >= self.wait_s
        # A watch that waited through a restore hears of it at its end.
        is_gone = after > store.revision and self.asked_at_s >= store.restored_at_s
        if is_answered and is_gone:
            self.must_list = True
            self.ask(now_s)
        elif is_answered and (objects or is_over):
            self.receive(objects, store.position, now_s)
        elif now_s - self.asked_at_s >= self.wait_s + 1.0:
            self.lose(now_s)
        elif self.plan.must_ask_now(
            KIND, wait_s=self.wait_s, asked_at_s=self.asked_at_s, now_s=now_s
        ):
            self.ask(now_s)

    def receive(self, objects, position, now_s):
        if not self.must_list and position.era != self.seen.era:
            # The objects may lack changes; they are listed instead.
            self.must_list = True
            self.ask(now_s)
            return
        assert position >= self.seen
        self.objects = objects if self.must_list else {**self.objects, **objects}
        self.seen, self.must_list = position, False
        self.plan.record_seen(
            KIND,
            position=position,
            changed_revision=max((item[1] for item in objects.values()), default=0),
            asked_at_s=self.asked_at_s,
            now_s=now_s,
        )
        self.ask(now_s)

    def statements(self, now_s):
        views = self.plan.statements()
        is_due = now_s - self.stated_at_s >= STATEMENT_PERIOD_S or views != self.stated
        if not (self.plan.is_watcher and is_due):
            return []
        self.stated, self.stated_at_s = views, now_s
        return views


class TestFleet:
    """Any order of changes, restores, lost answers, outages and restarts."""

    @settings(max_examples=100, deadline=None)
    @given(
        seed=st.integers(0, 2**32),
        change_share=st.floats(0, 0.5),
        dead_share=st.floats(0, 0.3),
        lost_share=st.floats(0, 0.6),
        restart_share=st.floats(0, 0.05),
        restore_share=st.floats(0, 0.1),
        cut_share=st.floats(0, 1.0),
    )
    def test_all_routers_reach_the_newest_state(
        self,
        seed,
        change_share,
        dead_share,
        lost_share,
        restart_share,
        restore_share,
        cut_share,
    ):
        rng = random.Random(seed)
        names = [f"v{number}" for number in range(8)]
        routers = [SimulatedRouter(name, names) for name in names]
        store, is_up, now_s = SimulatedStore(), True, 0.0
        trouble_s, quiet_s = 60.0, 2 * SHORT_WAIT_S + STATEMENT_MAX_AGE_S
        while now_s < trouble_s + quiet_s:
            now_s += STEP_S
            is_trouble = now_s < trouble_s
            if is_trouble:
                if rng.random() < restore_share:
                    store.restore(rng.randrange(10), now_s)
                    for router in routers:
                        if rng.random() < cut_share:
                            router.lose(now_s)
                # Several changes between two steps may pass what a router had seen.
                while rng.random() < change_share:
                    store.write(rng.choice(OBJECT_NAMES))
                if rng.random() < 0.02:
                    is_up = not is_up
            else:
                is_up = True
            for router in routers:
                if is_trouble and rng.random() < dead_share:
                    router.is_dead = True
                if is_trouble and rng.random() < restart_share:
                    router.restart(now_s)
                router.step(now_s, store, is_up)
                for sent in router.statements(now_s):
                    for other in routers:
                        is_lost = is_trouble and rng.random() < lost_share
                        if other is not router and not is_lost:
                            other.plan.record_statement(router.name, sent, now_s=now_s)
        assert {router.seen for router in routers} == {store.position}
        assert all(router.objects == store.objects() for router in routers)

    def test_calls_in_calm_do_not_grow_with_the_zone(self):
        def calls(count):
            names = [f"v{number}" for number in range(count)]
            routers = [SimulatedRouter(name, names) for name in names]
            store, asked, now_s = SimulatedStore(), 0, 0.0
            while now_s < 60.0:
                now_s += STEP_S
                for router in routers:
                    before = router.asked_at_s
                    router.step(now_s, store, True)
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
