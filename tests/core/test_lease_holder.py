import pytest

from citrondock_core.lease import LeaseLostError, LeaseOptions
from citrondock_core.lease_holder import LeaseHolder
from citrondock_core.object_store import AnswerLostError
from citrondock_standins.memory_object_store import MemoryObjectStore
from citrondock_standins.store_core import StoreFaults

OPTIONS = LeaseOptions(ttl_s=15.0, renewal_period_s=5.0, margin_s=2.0)


class Clock:
    now_s = 100.0

    def __call__(self):
        return self.now_s


@pytest.fixture
def store():
    return MemoryObjectStore()


@pytest.fixture
def clock():
    return Clock()


@pytest.fixture
def contend(store, clock):
    return lambda holder: LeaseHolder(store, "p", holder, OPTIONS, clock=clock)


class TestLease:
    def test_only_one_of_two_holds_it(self, contend):
        first, second = contend("a"), contend("b")
        assert first.acquire_or_renew().fencing_token == 1
        assert second.acquire_or_renew() is None

    def test_renewal_keeps_the_lease_and_its_token(self, contend, clock):
        first, second = contend("a"), contend("b")
        for _ in range(10):
            assert first.acquire_or_renew().fencing_token == 1
            assert second.acquire_or_renew() is None
            clock.now_s += 5.0

    def test_a_paused_holder_loses_it_to_a_successor_and_notices(self, contend, clock):
        first, second = contend("a"), contend("b")
        old = first.acquire_or_renew()
        second.acquire_or_renew()
        clock.now_s += 13.0
        with pytest.raises(LeaseLostError):
            old.check(now_s=clock())
        assert first.current() is None
        assert second.acquire_or_renew() is None
        clock.now_s += 5.0
        new = second.acquire_or_renew()
        assert new.fencing_token == 2
        assert new.orders_from_s > old.deadline_s
        assert first.acquire_or_renew() is None

    def test_a_check_leaves_time_for_the_operation(self, contend, clock):
        lease = contend("a").acquire_or_renew()
        clock.now_s += 12.0
        lease.check(now_s=clock())
        with pytest.raises(LeaseLostError):
            lease.check(now_s=clock(), needed_s=2.0)

    def test_a_released_lease_is_free_and_its_next_token_is_larger(self, contend):
        first, second = contend("a"), contend("b")
        first.acquire_or_renew()
        first.release()
        assert second.acquire_or_renew().fencing_token == 2


class TestStoreFaults:
    def test_a_lost_answer_is_resolved_by_reading_back(self, contend, store, clock):
        store.set_faults(StoreFaults(lose_answers_count=1))
        first = contend("a")
        assert first.acquire_or_renew().fencing_token == 1
        store.set_faults(StoreFaults(lose_answers_count=1))
        clock.now_s += 5.0
        assert first.acquire_or_renew().deadline_s > clock.now_s + 12.0

    def test_it_expires_in_an_outage_without_an_error(self, contend, store, clock):
        first, second = contend("a"), contend("b")
        first.acquire_or_renew()
        store.set_faults(StoreFaults(outage="refuse"))
        for _ in range(5):
            clock.now_s += 5.0
            held = first.acquire_or_renew()
            assert second.acquire_or_renew() is None
        assert held is None
        store.set_faults(StoreFaults())
        clock.now_s += 5.0
        assert (first.acquire_or_renew() is None) != (second.acquire_or_renew() is None)


class TestRestoredStore:
    def test_a_lease_from_before_is_void_until_it_is_acquired_again(
        self, contend, store, clock
    ):
        first = contend("a")
        old = first.acquire_or_renew()
        store.take_copy()
        store.restore()
        clock.now_s += OPTIONS.renewal_period_s

        assert first.acquire_or_renew() is None

        clock.now_s += OPTIONS.ttl_s + OPTIONS.margin_s
        assert first.acquire_or_renew().fencing_token > old.fencing_token

    def test_a_token_that_was_lost_is_not_given_out_again(self, contend, store, clock):
        contend("a").acquire_or_renew()
        store.take_copy()
        tokens = [1]
        for holder in ("b", "c", "d"):
            clock.now_s += 100.0
            contender = contend(holder)
            contender.acquire_or_renew()
            clock.now_s += OPTIONS.ttl_s + OPTIONS.margin_s
            tokens.append(contender.acquire_or_renew().fencing_token)
            store.restore()

        assert tokens == sorted(set(tokens))

    def test_a_lease_lost_from_the_store_gets_a_later_token(self, contend, store):
        old = contend("a").acquire_or_renew()
        store.restore()

        new = contend("b").acquire_or_renew()

        assert new.fencing_token > old.fencing_token

    @pytest.mark.parametrize("released_before_the_copy", [False, True])
    def test_orders_wait_for_a_holder_whose_renewal_was_lost(
        self, contend, store, clock, released_before_the_copy
    ):
        if released_before_the_copy:
            earlier = contend("x")
            earlier.acquire_or_renew()
            earlier.release()
        store.take_copy()
        old = contend("a").acquire_or_renew()
        store.restore()

        new = contend("b").acquire_or_renew()

        assert new.orders_from_s > old.deadline_s

    def test_a_renewal_with_a_number_given_out_again_is_noticed(
        self, contend, store, clock
    ):
        first, second = contend("a"), contend("b")
        first.acquire_or_renew()
        store.take_copy()
        clock.now_s += OPTIONS.renewal_period_s
        first.acquire_or_renew()
        second.acquire_or_renew()
        store.restore()
        clock.now_s += OPTIONS.ttl_s + OPTIONS.margin_s
        third = contend("a")
        third.acquire_or_renew()

        assert second.acquire_or_renew() is None

    def test_a_lost_answer_across_a_restore_renews_nothing(self, store, clock):
        class RestoringStore(MemoryObjectStore):
            def update(self, key, value, *, if_version, timeout_s=2.0):
                super().update(key, value, if_version=if_version)
                self.take_copy()
                self.restore()
                raise AnswerLostError("lost", step="update")

        holder = LeaseHolder(RestoringStore(store.core), "p", "a", OPTIONS, clock=clock)
        holder.acquire_or_renew()
        clock.now_s += OPTIONS.renewal_period_s

        assert holder.acquire_or_renew() is None
