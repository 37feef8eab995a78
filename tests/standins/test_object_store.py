import threading
import time

import pytest
import urllib3

from citrondock_core.object_store import (
    MAX_VALUE_BYTES,
    AnswerLostError,
    ObjectNotFoundError,
    ObjectStoreError,
    StoreRestoredError,
    StoreUnavailableError,
    VersionConflictError,
)
from citrondock_core.store_version import era_of
from citrondock_standins.memory_object_store import MemoryObjectStore
from citrondock_standins.processes import StandinProcess
from citrondock_standins.store_core import StoreCore, StoreFaults
from citrondock_wire.http_object_store import HttpObjectStore


class MemoryStoreUnderTest:
    def __init__(self):
        self.store = MemoryObjectStore(client="a")
        self.take_copy = self.store.take_copy
        self.restore = self.store.restore

    def set_faults(self, **faults):
        self.store.set_faults(StoreFaults(**faults))


class HttpStoreUnderTest:
    def __init__(self, process):
        self.store = HttpObjectStore(process.url, client="a")
        self.set_faults = process.set_faults
        self.take_copy = process.take_copy
        self.restore = process.restore


@pytest.fixture(params=["memory", "http"])
def under_test(request):
    if request.param == "memory":
        yield MemoryStoreUnderTest()
    else:
        with StandinProcess.start("object_store") as process:
            yield HttpStoreUnderTest(process)


class TestObjectStore:
    def test_versions_are_store_wide_and_writes_are_conditional(self, under_test):
        store = under_test.store
        first = store.create("a/é 1?", b"\xff\x00")
        second = store.create("b", b"2")
        third = store.update("a/é 1?", b"3", if_version=first)

        assert first < second < third
        assert store.get("a/é 1?").value == b"3"
        assert store.get("a/é 1?").version == third
        for write in (
            lambda: store.update("a/é 1?", b"4", if_version=first),
            lambda: store.create("b", b"4"),
            lambda: store.delete("b", if_version=third),
        ):
            with pytest.raises(VersionConflictError):
                write()
        store.delete("b", if_version=second)
        with pytest.raises(ObjectNotFoundError):
            store.get("b")
        assert store.create("b", b"5") > third

    def test_list_returns_pages_in_key_order(self, under_test):
        store = under_test.store
        for key in ("p/3", "p/1", "q/1", "p/2", "p/4"):
            store.create(key, key.encode())
        store.delete("p/2", if_version=store.get("p/2").version)

        page = store.list("p/", limit=2)
        rest = store.list("p/", after_key=page[-1].key)

        assert [each.key for each in page] == ["p/1", "p/3"]
        assert [each.key for each in rest] == ["p/4"]

    def test_watch_reports_changes_and_deletions(self, under_test):
        store = under_test.store
        version = store.create("p/1", b"1")
        timer = threading.Timer(0.1, lambda: store.create("p/2", b"2"))
        timer.start()

        result = store.watch("p/", after_version=version, wait_s=20.0)
        timer.join()
        store.delete("p/1", if_version=version)
        later = store.watch("p/", after_version=result.version, wait_s=20.0)
        nothing = store.watch("p/", after_version=later.version, wait_s=0.05)

        assert [each.value for each in result.changes] == [b"2"]
        assert [(each.key, each.deleted) for each in later.changes] == [("p/1", True)]
        assert nothing.changes == [] and nothing.version == later.version

    def test_value_above_the_size_limit_is_refused(self, under_test):
        with pytest.raises(ObjectStoreError):
            under_test.store.create("big", b"x" * (MAX_VALUE_BYTES + 1))
        assert under_test.store.create("fits", b"x" * MAX_VALUE_BYTES)

    def test_write_with_lost_answer_takes_effect(self, under_test):
        store = under_test.store
        under_test.set_faults(lose_answers_count=1, lose_answers_prefix="claims/")
        store.create("other", b"1")
        with pytest.raises(AnswerLostError) as caught:
            store.create("claims/1", b"mine")

        assert caught.value.step == "create"
        assert store.get("claims/1").value == b"mine"
        store.create("claims/2", b"2")

    def test_write_that_times_out_takes_effect(self, under_test):
        under_test.set_faults(slow_ms=1000)
        with pytest.raises(AnswerLostError):
            under_test.store.create("a", b"1", timeout_s=0.1)
        under_test.set_faults()
        assert under_test.store.get("a").value == b"1"

    @pytest.mark.parametrize(
        ("outage", "error"),
        [
            ("refuse", StoreUnavailableError),
            ("hang", AnswerLostError),
            ("close", AnswerLostError),
        ],
    )
    def test_outage_lets_no_write_take_effect(self, under_test, outage, error):
        under_test.set_faults(outage=outage)
        with pytest.raises(error):
            under_test.store.create("a", b"1", timeout_s=0.2)
        under_test.set_faults()
        with pytest.raises(ObjectNotFoundError):
            under_test.store.get("a")

    def test_outage_ends_a_waiting_watch(self, under_test):
        timer = threading.Timer(0.1, lambda: under_test.set_faults(outage="refuse"))
        timer.start()
        with pytest.raises(StoreUnavailableError):
            under_test.store.watch("", after_version=0, wait_s=20.0)
        timer.join()

    def test_stale_reads_show_earlier_versions(self, under_test):
        store = under_test.store
        old = store.create("a", b"old")
        under_test.set_faults(stale_reads=True)
        new = store.update("a", b"new", if_version=old)

        assert store.get("a").value == b"old"
        assert store.watch("", after_version=old, wait_s=0.05).changes == []
        under_test.set_faults()
        assert store.get("a").version == new


class TestRestore:
    def test_writes_after_the_copy_are_lost(self, under_test):
        store = under_test.store
        kept = store.create("kept", b"1")
        under_test.take_copy()
        store.update("kept", b"2", if_version=kept)
        store.create("lost", b"3")

        under_test.restore()

        assert store.get("kept").value == b"1"
        with pytest.raises(ObjectNotFoundError):
            store.get("lost")

    def test_no_write_matches_a_version_that_is_given_out_again(self, under_test):
        store = under_test.store
        first = store.create("a", b"1")
        under_test.take_copy()
        lost = store.update("a", b"lost", if_version=first)
        under_test.restore()
        given_again = store.update("a", b"2", if_version=store.get("a").version)

        for write in (
            lambda: store.update("a", b"3", if_version=lost),
            lambda: store.delete("a", if_version=lost),
        ):
            with pytest.raises(VersionConflictError):
                write()
        assert store.get("a").value == b"2"
        assert given_again > lost

    def test_a_watch_from_before_does_not_miss_changes(self, under_test):
        store = under_test.store
        under_test.take_copy()
        lost = store.create("p/lost", b"1")
        under_test.restore()
        store.create("p/new", b"2")

        with pytest.raises(StoreRestoredError):
            store.watch("p/", after_version=lost, wait_s=0.05)
        again = store.watch("p/", after_version=0, wait_s=0.05)
        assert [each.key for each in again.changes] == ["p/new"]
        assert store.watch("p/", after_version=again.version, wait_s=0).changes == []

    def test_a_waiting_watch_ends(self, under_test):
        version = under_test.store.create("a", b"1")
        timer = threading.Timer(0.1, under_test.restore)
        timer.start()
        with pytest.raises(StoreRestoredError):
            under_test.store.watch("", after_version=version, wait_s=20.0)
        timer.join()

    def test_a_slow_answer_names_the_era_of_its_effect(self):
        with StandinProcess.start("object_store") as process:
            store = HttpObjectStore(process.url)
            process.set_faults(slow_ms=500)
            timer = threading.Timer(0.2, process.restore)
            timer.start()
            version = store.create("a", b"1")
            timer.join()

        assert era_of(version) == 0

    def test_the_era_is_in_all_answers_and_rises_by_one(self):
        with StandinProcess.start("object_store") as process:
            paths = (
                "/v1/objects/none",
                "/v1/objects",
                "/v1/none",
                "/v1/watch?wait_s=0",
            )
            for era in range(3):
                for path in paths:
                    query = "&after_version=0" if "?" in path else ""
                    answer = urllib3.request("GET", process.url + path + query)
                    assert answer.headers["X-Era"] == str(era)
                process.restore()


class TestRateLimits:
    def test_calls_above_the_rate_are_refused_and_counted(self):
        core = StoreCore(writes_per_s=2)
        store = MemoryObjectStore(core, client="a")
        outcomes = []
        for index in range(50):
            try:
                store.create(f"{index}", b"")
                outcomes.append(True)
            except StoreUnavailableError:
                outcomes.append(False)

        assert outcomes[:2] == [True, True] and False in outcomes
        (count,) = core.calls()
        assert (count.client, count.kind, count.count) == ("a", "create", 50)
        assert count.refused_count == outcomes.count(False)

    def test_http_rate_limit_is_an_unavailable_store_and_watches_run_in_parallel(self):
        with StandinProcess.start("object_store", reads_per_s=30) as process:
            store = HttpObjectStore(process.url, client="w", max_connections=40)
            waiters = [
                threading.Thread(
                    target=store.watch,
                    args=("p",),
                    kwargs={"after_version": 0, "wait_s": 20.0},
                )
                for _ in range(25)
            ]
            for waiter in waiters:
                waiter.start()
            while sum(count["count"] for count in _calls(process)) < 25:
                time.sleep(0.01)
            store.create("p", b"1")
            for waiter in waiters:
                waiter.join(10)
            with pytest.raises(StoreUnavailableError):
                for _ in range(100):
                    store.get("p")

            assert not any(waiter.is_alive() for waiter in waiters)


def _calls(process):
    return process.read("/control/calls")["calls"]
