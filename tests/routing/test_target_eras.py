"""The registry comes back from a copy, and its old entries bring back no target."""

import random

import attrs
from hypothesis import example, given, settings
from hypothesis import strategies as st

from citrondock_core.routing.store_position import StorePosition
from citrondock_core.routing.target_departure import REPORT_S, TargetDeparture
from citrondock_core.routing.target_directory import TargetDirectory
from citrondock_core.routing.target_entry import TargetEntry

GRACE_S = 2.0
ENTRY = TargetEntry(
    target_id="e1",
    service="llm",
    host="10.0.0.1",
    port=1,
    availability_zone="z1",
    max_concurrency=8,
    is_leaving=False,
    started_at_ms=1000,
    registered_revision=30,
)
LEAVING = attrs.evolve(ENTRY, is_leaving=True, registered_revision=48)
OTHERS = [
    attrs.evolve(ENTRY, target_id=target_id, port=port)
    for port, target_id in enumerate(("e2", "e3", "e4"), start=2)
]
OWN_WORD = TargetDeparture(
    target_id="e1", started_at_ms=1000, registry_revision=None, age_s=0.0
)


def departure(era, revision):
    return attrs.evolve(OWN_WORD, registry_revision=revision, registry_era=era)


def at(era, revision):
    return StorePosition(era, revision)


def known(entries=(ENTRY, *OTHERS), revision=50):
    directory = TargetDirectory(grace_s=GRACE_S)
    directory.replace(entries, position=at(1, revision), now_s=0.0)
    return directory


def restore(directory, entries=(ENTRY, *OTHERS), era=2, revision=40):
    return directory.replace(entries, position=at(era, revision), now_s=10.0)


def is_used(directory):
    return "e1" in {entry.target_id for entry in directory.usable()}


class TestTargetThatTheRegistryShowedAsLeaving:
    def test_an_old_copy_does_not_bring_it_back(self):
        directory = known([LEAVING, *OTHERS])
        restore(directory)
        assert not is_used(directory)
        directory.expire(now_s=10.0 + GRACE_S)
        directory.replace([ENTRY, *OTHERS], position=at(2, 60), now_s=20.0)
        restore(directory, era=3)
        assert not is_used(directory)

    def test_a_departure_of_the_new_era_does_not_let_a_copy_bring_it_back(self):
        directory = known([LEAVING, *OTHERS])
        directory.depart(departure(2, 39))
        restore(directory)
        assert not is_used(directory)

    def test_a_write_of_the_new_era_does(self):
        for is_watched in (True, False):
            directory = known([LEAVING, *OTHERS])
            restore(directory)
            written = attrs.evolve(ENTRY, registered_revision=41)
            if is_watched:
                directory.apply(
                    put=[written], deleted=(), position=at(2, 41), now_s=10.1
                )
            else:
                directory.replace([written, *OTHERS], position=at(2, 41), now_s=10.1)
            assert is_used(directory)

    def test_its_next_incarnation_is_used(self):
        directory = known([LEAVING, *OTHERS])
        restore(directory, [attrs.evolve(ENTRY, started_at_ms=2000), *OTHERS])
        assert is_used(directory)


class TestTargetThatSaidThatItLeaves:
    def test_an_old_copy_does_not_bring_it_back_after_the_registry_confirmed_it(self):
        directory = known()
        directory.depart(OWN_WORD)
        directory.apply(put=[LEAVING], deleted=(), position=at(1, 52), now_s=1.0)
        restore(directory)
        directory.expire(now_s=10.0 + GRACE_S)
        written = attrs.evolve(ENTRY, registered_revision=41)
        directory.apply(put=[written], deleted=(), position=at(2, 41), now_s=13.0)
        assert not is_used(directory)
        directory.apply(put=[LEAVING], deleted=(), position=at(2, 42), now_s=14.0)
        directory.apply(put=[ENTRY], deleted=(), position=at(2, 43), now_s=15.0)
        assert is_used(directory)


class TestTargetWhoseEntryWasRemoved:
    def removed(self):
        directory = known()
        directory.apply(put=(), deleted=["e1"], position=at(1, 52), now_s=1.0)
        assert directory.get("e1") is None
        return directory

    def test_an_old_copy_brings_it_back_only_after_the_grace(self):
        directory = self.removed()
        restore(directory)
        assert not is_used(directory)
        assert directory.expire(now_s=9.9 + GRACE_S).changed == ()
        assert not is_used(directory)
        changed = directory.expire(now_s=10.0 + GRACE_S).changed
        assert [entry.is_leaving for entry in changed] == [False]
        assert is_used(directory)

    def test_its_removal_may_be_written_again_within_the_grace(self):
        directory = self.removed()
        restore(directory)
        change = directory.apply(put=(), deleted=["e1"], position=at(2, 41), now_s=10.5)
        assert [entry.target_id for entry in change.removed] == ["e1"]
        directory.expire(now_s=10.0 + GRACE_S)
        assert directory.get("e1") is None

    def test_it_is_used_when_it_was_removed_again_and_a_later_copy_has_it(self):
        directory = self.removed()
        restore(directory)
        directory.apply(put=(), deleted=["e1"], position=at(2, 41), now_s=10.5)
        directory.expire(now_s=10.0 + GRACE_S)
        written = attrs.evolve(ENTRY, registered_revision=42)
        directory.replace([written, *OTHERS], position=at(3, 42), now_s=20.0)
        assert not is_used(directory)
        directory.expire(now_s=20.0 + GRACE_S)
        assert is_used(directory)

    def test_a_write_of_the_new_era_brings_it_back_at_once(self):
        directory = self.removed()
        restore(directory)
        written = attrs.evolve(ENTRY, registered_revision=41)
        directory.apply(put=[written], deleted=(), position=at(2, 41), now_s=10.1)
        assert is_used(directory)


class TestTargetThatRestarted:
    def test_an_old_copy_does_not_bring_back_its_earlier_incarnation(self):
        directory = known([attrs.evolve(ENTRY, started_at_ms=2000), *OTHERS])
        restore(directory)
        assert not is_used(directory)
        again = attrs.evolve(ENTRY, started_at_ms=2000, registered_revision=41)
        directory.apply(put=[again], deleted=(), position=at(2, 41), now_s=10.5)
        assert is_used(directory)


class TestTargetThatTheCopyLacks:
    def test_it_stays_until_it_has_had_time_to_write_again(self):
        directory = known()
        restore(directory, OTHERS)
        assert is_used(directory)
        directory.expire(now_s=9.9 + GRACE_S)
        assert is_used(directory)
        directory.expire(now_s=10.0 + GRACE_S)
        assert not is_used(directory)


class TestDepartureInTheRegistryOfAnotherRouter:
    def test_one_of_the_old_era_does_not_hold_a_ready_target_after_the_grace(self):
        directory = known()
        directory.depart(departure(1, 60))
        assert not is_used(directory)
        restore(directory)
        assert not is_used(directory)
        directory.expire(now_s=10.0 + GRACE_S)
        assert is_used(directory)
        assert directory.depart(departure(1, 60)).changed == ()
        assert is_used(directory)

    def test_it_does_not_hold_a_target_that_was_removed_meanwhile_for_good(self):
        directory = known()
        directory.depart(departure(1, 60))
        restore(directory)
        directory.apply(put=(), deleted=["e1"], position=at(2, 41), now_s=10.5)
        directory.expire(now_s=10.0 + GRACE_S)
        directory.replace([ENTRY, *OTHERS], position=at(3, 40), now_s=20.0)
        assert not is_used(directory)
        directory.expire(now_s=20.0 + GRACE_S)
        assert is_used(directory)

    def test_one_of_the_old_era_counts_until_the_new_era_is_settled(self):
        directory = known()
        restore(directory)
        directory.depart(departure(1, 60))
        assert not is_used(directory)
        directory.expire(now_s=10.0 + GRACE_S)
        assert is_used(directory)

    def test_one_of_the_old_era_is_not_believed_over_a_write_of_the_new_era(self):
        directory = known()
        restore(directory)
        written = attrs.evolve(ENTRY, registered_revision=41)
        directory.apply(put=[written], deleted=(), position=at(2, 41), now_s=10.1)
        assert directory.depart(departure(1, 60)).changed == ()
        assert is_used(directory)

    def test_one_of_the_new_era_is_believed_although_its_revision_is_lower(self):
        directory = known()
        directory.depart(departure(2, 45))
        assert not is_used(directory)
        restore(directory, revision=46)
        assert is_used(directory)

    def test_one_of_the_new_era_heard_before_the_listing_outlasts_the_grace(self):
        directory = known()
        directory.depart(departure(2, 45))
        restore(directory, revision=44)
        directory.expire(now_s=10.0 + GRACE_S)
        assert not is_used(directory)
        directory.apply(put=[ENTRY], deleted=(), position=at(2, 46), now_s=13.0)
        assert is_used(directory)


class TestWatchFromTheOldEra:
    def test_its_changes_are_left_to_the_listing(self):
        directory = known()
        change = directory.apply(put=(), deleted=["e1"], position=at(2, 55), now_s=10.0)
        assert change.removed == ()
        assert directory.position == at(1, 50)


STEP_S = 0.25
REWRITE_S = 1.5


class SimulatedTarget:
    """A target that writes its state, and again after the registry lost it."""

    def __init__(self, number):
        self.target_id = f"e{number}"
        self.port = number
        self.started_at_ms = 1000
        self.state = "ready"
        self.writes_at_s = 0.0

    def enter(self, state, now_s):
        self.state = state
        self.writes_at_s = now_s

    @property
    def incarnation(self):
        return self.target_id, self.started_at_ms

    @property
    def entry(self):
        if self.state == "gone":
            return None
        return attrs.evolve(
            ENTRY,
            target_id=self.target_id,
            port=self.port,
            started_at_ms=self.started_at_ms,
            is_leaving=self.state == "draining",
        )


class SimulatedRegistry:
    """Entries with their history, which a restore takes back."""

    def __init__(self):
        self.position = StorePosition(1, 1)
        self.writes = []

    def entries(self, after_revision=0):
        """Return the last entry of each name that changed; None if it is deleted."""
        return {
            name: entry
            for name, entry, revision in self.writes
            if revision > after_revision
        }

    def write(self, name, entry):
        if self.entries().get(name) == entry:
            return
        revision = self.position.revision + 1
        self.position = attrs.evolve(self.position, revision=revision)
        if entry is not None:
            entry = attrs.evolve(entry, registered_revision=revision)
        self.writes.append((name, entry, revision))

    def restore(self, lost):
        revision = max(1, self.position.revision - lost)
        self.position = StorePosition(self.position.era + 1, revision)
        self.writes = [write for write in self.writes if write[2] <= revision]


class SimulatedRouter:
    """A router's directory, which is listed again in each new era."""

    def __init__(self):
        self.directory = TargetDirectory(grace_s=GRACE_S)
        self.must_list = True
        self.entered_era_at_s = 0.0
        self.departures = []
        self.known = set()
        self.known_to_have_left = set()

    def follow(self, registry, now_s):
        position, directory = registry.position, self.directory
        if self.must_list or position.era != directory.position.era:
            if position.era != directory.position.era:
                self.entered_era_at_s = now_s
            entries = [entry for entry in registry.entries().values() if entry]
            change = directory.replace(entries, position=position, now_s=now_s)
            self.must_list = False
        else:
            changes = registry.entries(directory.revision)
            change = directory.apply(
                put=[entry for entry in changes.values() if entry],
                deleted=[name for name, entry in changes.items() if entry is None],
                position=position,
                now_s=now_s,
            )
        self.report(change, now_s)

    def report(self, change, now_s):
        position = self.directory.position
        leaving = [
            entry
            for entry in change.changed
            if self.directory.is_shown_as_leaving(entry.target_id)
        ]
        for entry in (*leaving, *change.removed):
            sent = TargetDeparture(
                target_id=entry.target_id,
                started_at_ms=entry.started_at_ms,
                registry_revision=position.revision,
                age_s=0.0,
                registry_era=position.era,
            )
            self.departures.append((sent, now_s))

    def usable(self):
        return {
            (entry.target_id, entry.started_at_ms) for entry in self.directory.usable()
        }


class TestAnyOrderOfRestores:
    """Any order of starts, departures, expiries, restores and late listings."""

    @settings(max_examples=150, deadline=None)
    @example(
        seed=3085919098,
        change_share=0.11035156514977192,
        expiry_share=0.003774725827821046,
        restore_share=0.09884223713636583,
        late_share=0.7533280660070851,
        gossip_share=0.4584971687232809,
    )
    @example(
        seed=4102,
        change_share=0.0,
        expiry_share=0.046875,
        restore_share=0.0625,
        late_share=0.0,
        gossip_share=0.0625,
    )
    @example(
        seed=2537,
        change_share=0.0625,
        expiry_share=0.04296875,
        restore_share=0.04296875,
        late_share=0.046875,
        gossip_share=0.25,
    )
    @given(
        seed=st.integers(0, 2**32),
        change_share=st.floats(0, 0.2),
        expiry_share=st.floats(0, 0.05),
        restore_share=st.floats(0, 0.1),
        late_share=st.floats(0, 0.9),
        gossip_share=st.floats(0, 0.5),
    )
    def test_no_target_that_left_comes_back_and_all_live_ones_do(
        self, seed, change_share, expiry_share, restore_share, late_share, gossip_share
    ):
        rng = random.Random(seed)
        registry = SimulatedRegistry()
        targets = [SimulatedTarget(number) for number in range(1, 7)]
        routers = [SimulatedRouter() for _ in range(2)]
        now_s, trouble_s, quiet_s = 0.0, 40.0, REPORT_S + REWRITE_S + 2 * GRACE_S
        while now_s < trouble_s + quiet_s:
            now_s += STEP_S
            is_trouble = now_s < trouble_s
            if is_trouble and rng.random() < restore_share:
                registry.restore(rng.randrange(12))
                for target in targets:
                    target.writes_at_s = now_s + rng.uniform(0, REWRITE_S)
            for target in targets:
                if is_trouble and rng.random() < change_share:
                    self.change(target, rng, now_s)
                if is_trouble and rng.random() < expiry_share:
                    # A live target that was silent for a while.
                    registry.write(target.target_id, None)
                    target.writes_at_s = now_s + rng.uniform(0, REWRITE_S)
                if now_s >= target.writes_at_s:
                    registry.write(target.target_id, target.entry)
            left = self.left(targets)
            for router in routers:
                is_settled = now_s - router.entered_era_at_s > GRACE_S
                if not (is_trouble and is_settled and rng.random() < late_share):
                    router.must_list |= rng.random() < 0.1
                    router.follow(registry, now_s)
                    used = self.ready(registry) | router.usable()
                    router.known_to_have_left |= (router.known & left) - used
                router.report(router.directory.expire(now_s=now_s), now_s)
                self.gossip(router, routers, rng, gossip_share, now_s)
                self.hear(router, targets, rng)
                router.known |= router.usable()
                assert not router.usable() & router.known_to_have_left
        ready = {target.incarnation for target in targets if target.state == "ready"}
        assert all(router.usable() == ready for router in routers)

    def change(self, target, rng, now_s):
        if target.state == "gone":
            target.started_at_ms += 1
            target.enter("ready", now_s)
        elif target.state == "ready" and rng.random() < 0.5:
            target.enter("draining", now_s)
        else:
            target.enter("gone", now_s)

    def gossip(self, router, routers, rng, share, now_s):
        for sent, at_s in router.departures:
            if now_s - at_s <= REPORT_S and rng.random() < share:
                for other in routers:
                    if other is not router:
                        other.directory.depart(sent)

    def hear(self, router, targets, rng):
        """Let a target that is used say that it leaves."""
        for target in targets:
            if (
                target.state == "draining"
                and target.incarnation in router.usable()
                and rng.random() < 0.5
            ):
                router.directory.depart(
                    attrs.evolve(
                        OWN_WORD,
                        target_id=target.target_id,
                        started_at_ms=target.started_at_ms,
                    )
                )
                router.known_to_have_left.add(target.incarnation)

    def ready(self, registry):
        """Return the incarnations that the registry shows as ready."""
        return {
            (entry.target_id, entry.started_at_ms)
            for entry in registry.entries().values()
            if entry is not None and not entry.is_leaving
        }

    def left(self, targets):
        """Return all incarnations that have left."""
        return {
            (target.target_id, started_at_ms)
            for target in targets
            for started_at_ms in range(1000, target.started_at_ms + 1)
            if started_at_ms < target.started_at_ms or target.state != "ready"
        }
