import threading
from concurrent.futures import ThreadPoolExecutor

import pytest

from citrondock_core.claim import Claim, ClaimKey, ClaimOutcome
from citrondock_core.claim_errors import (
    ClaimHeldError,
    ClaimKeyError,
    ClaimLapsedError,
    ClaimUnavailableError,
    ClaimUnresolvedError,
)
from citrondock_core.claim_manager import ClaimManager
from citrondock_core.claim_memory import ClaimMemory
from citrondock_core.claim_options import ClaimOptions
from citrondock_core.claim_shard import ClaimRecord, ClaimShard
from citrondock_core.object_store import (
    AnswerLostError,
    ObjectNotFoundError,
    ObjectStore,
    StoredObject,
    StoreUnavailableError,
    VersionConflictError,
)
from citrondock_core.request import Ran
from citrondock_core.store_version import version_in
from citrondock_standins.memory_object_store import MemoryObjectStore
from citrondock_standins.store_core import StoreCore

BOOKED = ClaimOutcome(status=201, body=b"booked")
OPTIONS = ClaimOptions(
    shard_count=1, acquire_timeout_s=5.0, min_backoff_s=0.01, max_backoff_s=0.05
)


class ScriptedStore(ObjectStore):
    """Objects in a dict; ``faults`` lists the faults of the next writes."""

    def __init__(self):
        self.objects = {}
        self.version = 0
        self.faults = []
        self.is_down = False
        self.gate = threading.Event()
        self.gate.set()
        self.write_count = 0
        self._lock = threading.Lock()

    def get(self, key, *, timeout_s=2.0):
        with self._lock:
            if self.is_down:
                raise StoreUnavailableError("down", step="get", peer="store")
            if key not in self.objects:
                raise ObjectNotFoundError("none", step="get", peer="store")
            return self.objects[key]

    def create(self, key, value, *, timeout_s=2.0):
        return self.update(key, value, if_version=0, timeout_s=timeout_s)

    def update(self, key, value, *, if_version, timeout_s=2.0):
        self.gate.wait(5)
        with self._lock:
            if self.is_down:
                raise StoreUnavailableError("down", step="update", peer="store")
            fault = self.faults.pop(0) if self.faults else None
            found = self.objects.get(key)
            if (found.version if found else 0) != if_version:
                raise VersionConflictError("other", step="update", peer="store")
            if fault != "lost before":
                self.version += 1
                self.write_count += 1
                self.objects[key] = StoredObject(
                    key=key, version=self.version, value=value
                )
            if fault == "down after":
                self.is_down = True
            if fault:
                raise AnswerLostError("lost", step="update", peer="store")
            return self.version

    def delete(self, key, *, if_version, timeout_s=2.0):
        raise AssertionError("claims are never deleted object by object")

    def list(self, prefix, *, after_key="", limit=500, timeout_s=2.0):
        return []

    def watch(self, prefix, *, after_version, wait_s):
        raise AssertionError("claims are not watched")


class Clock:
    def __init__(self):
        self.now_s = 1000.0

    def __call__(self):
        return self.now_s


@pytest.fixture
def store():
    return ScriptedStore()


@pytest.fixture
def clock():
    return Clock()


@pytest.fixture
def make_manager(store, clock):
    managers = []

    def make(holder="router-a", options=OPTIONS):
        managers.append(ClaimManager(store, holder, options, clock, wall_clock=clock))
        return managers[-1]

    yield make
    store.is_down = False
    for manager in managers:
        manager.close(2.0)


def acquire(manager, key="k", digest="d"):
    return manager.acquire("acme", "bookings", key, digest)


class TestOutcome:
    def test_a_retry_at_another_router_gets_the_first_response(self, make_manager):
        first, second = make_manager("a"), make_manager("b")
        claim = acquire(first)
        first.authorise_send(claim)
        first.finish(claim, BOOKED)
        assert first.flush(5)
        assert acquire(second) == BOOKED

    def test_a_long_body_is_not_kept_but_the_status_is(self, make_manager):
        manager = make_manager()
        claim = acquire(manager)
        manager.authorise_send(claim)
        manager.finish(claim, ClaimOutcome(status=200, body=b"x" * 5000))
        assert manager.flush(5)
        outcome = acquire(manager)
        assert (outcome.status, outcome.body, outcome.body_kept) == (200, b"", False)

    def test_a_released_key_may_be_claimed_again(self, make_manager):
        first, second = make_manager("a"), make_manager("b")
        first.release(acquire(first))
        assert first.flush(5)
        assert isinstance(acquire(second), Claim)

    def test_the_same_key_for_another_request_is_refused(self, make_manager):
        first, second = make_manager("a"), make_manager("b")
        acquire(first)
        with pytest.raises(ClaimKeyError):
            acquire(second, digest="other")
        with pytest.raises(ClaimKeyError):
            acquire(second, key="x" * 256)


class TestExclusion:
    def test_only_one_of_many_simultaneous_attempts_gets_the_claim(self, make_manager):
        managers = [make_manager(name) for name in "abc"]

        def attempt(number):
            try:
                return isinstance(acquire(managers[number % 3], key="same"), Claim)
            except ClaimHeldError as error:
                assert error.ran is Ran.MAYBE
                return False

        with ThreadPoolExecutor(12) as pool:
            assert sum(pool.map(attempt, range(24))) == 1

    def test_a_claim_of_a_dead_holder_is_unresolved(self, make_manager, clock):
        first, second = make_manager("a"), make_manager("b")
        acquire(first)
        with pytest.raises(ClaimHeldError):
            acquire(second)
        clock.now_s += OPTIONS.answer_within_s + 1
        with pytest.raises(ClaimUnresolvedError) as caught:
            acquire(second)
        assert caught.value.ran is Ran.MAYBE

    def test_a_claim_given_up_is_unresolved_at_once(self, make_manager):
        first, second = make_manager("a"), make_manager("b")
        claim = acquire(first)
        first.authorise_send(claim)
        first.give_up(claim)
        assert first.flush(5)
        with pytest.raises(ClaimUnresolvedError):
            acquire(second)


class TestPausedHolder:
    @pytest.mark.parametrize("pause_s", [9.0, 10.0, 4000.0])
    def test_it_must_not_send_after_the_deadline(self, make_manager, clock, pause_s):
        manager = make_manager()
        claim = acquire(manager)
        clock.now_s += pause_s
        with pytest.raises(ClaimLapsedError) as caught:
            manager.authorise_send(claim)
        assert caught.value.ran is Ran.NO

    def test_a_claim_permits_one_send(self, make_manager):
        manager = make_manager()
        claim = acquire(manager)
        manager.authorise_send(claim)
        with pytest.raises(ClaimLapsedError):
            manager.authorise_send(claim)


class TestStoreFaults:
    @pytest.mark.parametrize("fault", ["lost after", "lost before"])
    def test_a_lost_answer_is_resolved_by_reading_back(
        self, make_manager, store, fault
    ):
        manager, other = make_manager("a"), make_manager("b")
        store.faults = [fault]
        claim = acquire(manager)
        manager.authorise_send(claim)
        with pytest.raises(ClaimHeldError):
            acquire(other)
        assert store.write_count == 1

    def test_an_outage_refuses_as_not_run_and_leaves_no_claim(
        self, make_manager, store
    ):
        manager = make_manager()
        store.is_down = True
        with pytest.raises(ClaimUnavailableError) as caught:
            acquire(manager)
        assert caught.value.ran is Ran.NO
        store.is_down = False
        assert isinstance(acquire(manager), Claim)

    def test_a_claim_written_before_an_outage_is_released_after_it(
        self, make_manager, store
    ):
        manager, other = make_manager("a"), make_manager("b")
        store.faults = ["down after"]
        with pytest.raises(ClaimUnavailableError):
            acquire(manager)
        store.is_down = False
        assert manager.flush(5)
        assert isinstance(acquire(other), Claim)

    def test_a_request_does_not_wait_past_its_timeout(self, make_manager, store):
        manager = make_manager(
            options=ClaimOptions(shard_count=1, acquire_timeout_s=0.05)
        )
        other = make_manager("b")
        store.gate.clear()
        with pytest.raises(ClaimUnavailableError):
            acquire(manager)
        store.gate.set()
        assert manager.flush(5)
        assert isinstance(acquire(other), Claim)

    def test_an_outcome_is_written_after_an_outage(self, make_manager, store):
        first, second = make_manager("a"), make_manager("b")
        claim = acquire(first)
        first.authorise_send(claim)
        store.is_down = True
        first.finish(claim, BOOKED)
        assert not first.flush(0.1)
        store.is_down = False
        assert first.flush(5)
        assert acquire(second) == BOOKED


class TestBatches:
    def test_claims_that_wait_together_share_a_write(self, make_manager, store):
        manager = make_manager()
        store.gate.clear()
        with ThreadPoolExecutor(20) as pool:
            waiting = [pool.submit(acquire, manager, f"k{n}") for n in range(20)]
            while manager.pending_count < 20:
                pass
            store.gate.set()
            assert all(isinstance(f.result(), Claim) for f in waiting)
        assert store.write_count <= 3


class TestShard:
    def record(self, number, body=b""):
        return ClaimRecord(
            key=ClaimKey(account="a", service="s", idempotency_key=f"k{number}"),
            request_digest="d",
            token=f"t{number}",
            holder="h",
            answer_deadline_unix_s=10.0,
            expiry_deadline_unix_s=100.0 + number,
            outcome=ClaimOutcome(status=200, body=body),
        )

    def test_bodies_are_dropped_to_fit_and_a_full_shard_encodes_to_none(self):
        shard = ClaimShard(self.record(n, b"x" * 2000) for n in range(50))
        value = shard.encode(max_bytes=50_000)
        assert value is not None and len(value) <= 50_000
        kept = [shard.find(self.record(n).key) for n in range(50)]
        assert [r.outcome.body_kept for r in kept] == sorted(
            r.outcome.body_kept for r in kept
        )
        assert ClaimShard.decode(value).find(self.record(3).key) == kept[3]
        assert shard.encode(max_bytes=1000) is None

    def test_expired_claims_are_removed_with_a_margin(self):
        shard = ClaimShard([self.record(0), self.record(1)])
        shard.remove_expired(now_unix_s=160.5)
        assert shard.find(self.record(0).key) is None
        assert shard.find(self.record(1).key) is not None


class LateAnswerStore(MemoryObjectStore):
    """Comes back from its copy between the effect of an update and the answer."""

    is_down = False

    def update(self, key, value, *, if_version, timeout_s=2.0):
        number = super().update(key, value, if_version=if_version)
        if self.core.era:
            return number
        self.restore()
        return version_in(1, number)


class TestLateAnswer:
    @pytest.fixture
    def store(self):
        return LateAnswerStore(StoreCore(writes_per_s=1e6, reads_per_s=1e6))

    def test_a_lost_write_answered_after_a_restore_is_written_again(
        self, make_manager, store, clock
    ):
        first, second = make_manager("a"), make_manager("b")
        claim = acquire(first)
        first.authorise_send(claim)
        first.finish(claim, BOOKED)
        assert first.flush(5)

        second.note_store_era(1)
        clock.now_s += OPTIONS.settle_s
        assert acquire(second) == BOOKED


class TestRestoredStore:
    @pytest.fixture
    def store(self):
        store = MemoryObjectStore(StoreCore(writes_per_s=1e6, reads_per_s=1e6))
        store.is_down = False
        return store

    @pytest.fixture
    def finished(self, make_manager, store):
        """A router that ran a call whose claim is then lost from the store."""
        first = make_manager("a")
        claim = acquire(first)
        first.authorise_send(claim)
        first.finish(claim, BOOKED)
        assert first.flush(5)
        store.restore()
        return first

    def test_its_router_does_not_run_a_call_again(self, finished):
        assert acquire(finished) == BOOKED

    def test_its_router_does_not_run_a_call_of_unknown_outcome_again(
        self, make_manager, store
    ):
        first = make_manager("a")
        claim = acquire(first)
        first.authorise_send(claim)
        first.give_up(claim)
        assert first.flush(5)
        store.restore()

        with pytest.raises(ClaimUnresolvedError):
            acquire(first)

    def test_a_peer_does_not_run_a_call_again(self, finished, make_manager, clock):
        second = make_manager("b")
        with pytest.raises(ClaimUnavailableError) as caught:
            acquire(second)
        assert caught.value.ran is Ran.NO
        finished.note_store_era(1)
        assert finished.flush(5)
        assert second.flush(5)

        clock.now_s += OPTIONS.settle_s
        assert acquire(second) == BOOKED

    def test_a_peer_does_not_run_a_call_under_way(self, make_manager, store, clock):
        first, second = make_manager("a"), make_manager("b")
        first.authorise_send(acquire(first))
        store.restore()
        first.note_store_era(1)
        second.note_store_era(1)
        assert first.flush(5)

        with pytest.raises(ClaimUnavailableError):
            acquire(second, key="other")
        clock.now_s += OPTIONS.settle_s
        with pytest.raises(ClaimHeldError):
            acquire(second)
        assert isinstance(acquire(second, key="other"), Claim)

    def test_a_claim_from_before_does_not_permit_a_send_after_it_settled(
        self, make_manager, store, clock
    ):
        first = make_manager("a")
        claim = acquire(first)
        store.restore()
        clock.now_s += OPTIONS.settle_s

        with pytest.raises(ClaimLapsedError):
            first.authorise_send(claim)

    def test_a_call_that_did_not_run_may_be_claimed_again(
        self, make_manager, store, clock
    ):
        first, second = make_manager("a"), make_manager("b")
        claim = acquire(first)
        store.take_copy()
        first.release(claim)
        assert first.flush(5)
        store.restore()
        first.note_store_era(1)
        second.note_store_era(1)
        clock.now_s += OPTIONS.settle_s
        assert first.flush(5)

        assert isinstance(acquire(second), Claim)

    def test_claims_settle_once_an_era(self, make_manager, store, clock):
        manager = make_manager()
        store.restore()
        manager.note_store_era(1)
        clock.now_s += OPTIONS.settle_s
        manager.note_store_era(1)

        assert isinstance(acquire(manager), Claim)

    def test_what_is_remembered_is_limited(self, clock):
        memory = ClaimMemory(remember_s=60.0, max_count=2)
        records = [TestShard().record(number) for number in range(3)]
        for record in records:
            memory.add(record, now_s=0.0)

        assert memory.records(now_s=1.0) == records[1:]
        assert memory.find(records[0].key, now_s=1.0) is None
        assert memory.find(records[2].key, now_s=1.0) == records[2]
        assert memory.records(now_s=60.0) == []
