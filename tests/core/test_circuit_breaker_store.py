import random

import pytest

from citrondock_core.circuit_breaker_store import CircuitBreakerStore
from citrondock_core.object_store import (
    ObjectNotFoundError,
    StoreUnavailableError,
)
from citrondock_core.retry_budget import RetryBudget, RetryOptions
from citrondock_standins.memory_object_store import MemoryObjectStore
from citrondock_standins.store_core import StoreCore, StoreFaults


class Clock:
    now_s = 50.0

    def __call__(self):
        return self.now_s


class CountingStore(MemoryObjectStore):
    call_count = 0

    def __init__(self):
        super().__init__(StoreCore(reads_per_s=1e9))

    def get(self, key, *, timeout_s=2.0):
        self.call_count += 1
        return super().get(key, timeout_s=timeout_s)


@pytest.fixture
def clock():
    return Clock()


def call_store(store):
    try:
        store.get("nothing")
    except (ObjectNotFoundError, StoreUnavailableError) as error:
        return type(error)


class TestCircuitBreaker:
    def test_probes_are_rare_in_an_outage_and_find_its_end(self, clock):
        inner = CountingStore()
        store = CircuitBreakerStore(inner, clock=clock, rng=random.Random(1))
        inner.set_faults(StoreFaults(outage="refuse"))
        for _ in range(3000):
            assert call_store(store) is StoreUnavailableError
            clock.now_s += 0.01
        assert store.is_open
        assert 6 <= inner.call_count <= 20
        inner.set_faults(StoreFaults())
        clock.now_s += 5.1
        assert call_store(store) is ObjectNotFoundError
        assert not store.is_open

    def test_a_fleet_recovers_without_a_burst_of_calls(self, clock):
        inner = CountingStore()
        fleet = [
            CircuitBreakerStore(inner, clock=clock, rng=random.Random(n))
            for n in range(7)
        ]
        inner.set_faults(StoreFaults(outage="refuse"))
        calls_by_second = []
        for second in range(40):
            if second == 20:
                inner.set_faults(StoreFaults())
            before = inner.call_count
            for _ in range(50):
                for store in fleet:
                    call_store(store)
                clock.now_s += 0.02
            calls_by_second.append(inner.call_count - before)
        assert max(calls_by_second[1:22]) <= 7 * 12
        assert calls_by_second[39] == 7 * 50

    def test_other_errors_of_the_store_do_not_open_it(self, clock):
        store = CircuitBreakerStore(MemoryObjectStore(), clock=clock)
        assert {call_store(store) for _ in range(10)} == {ObjectNotFoundError}
        assert not store.is_open


class TestRetryBudget:
    def test_retries_stop_when_the_budget_is_spent_and_resume_as_it_refills(
        self, clock
    ):
        budget = RetryBudget(RetryOptions(rate_per_s=1.0, burst_count=3), clock=clock)
        attempts = []

        def fail():
            attempts.append(1)
            raise StoreUnavailableError("down", step="get", peer="store")

        for expected in (4, 5, 6):
            with pytest.raises(StoreUnavailableError):
                budget.call(fail, timeout_s=9.0, sleep=lambda _s: None)
            assert len(attempts) == expected
        clock.now_s += 1.0
        assert budget.take()
        assert not budget.take()
