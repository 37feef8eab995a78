import pytest

from citrondock_core.audit_reader import read_audit
from citrondock_core.audit_record import AuditKind, AuditRecord
from citrondock_core.audit_segment import AUDIT_PREFIX
from citrondock_core.audit_trail import AuditOptions, AuditTrail
from citrondock_standins.memory_object_store import MemoryObjectStore
from citrondock_standins.store_core import StoreFaults

OPTIONS = AuditOptions(max_segment_bytes=2000, max_buffered_bytes=5000)


class Clock:
    now_s = 1_000_000.0

    def __call__(self):
        return self.now_s


@pytest.fixture
def store():
    return MemoryObjectStore()


@pytest.fixture
def clock():
    return Clock()


def trail_of(store, clock, name="a"):
    return AuditTrail(store, name, 7, OPTIONS, wall_clock=clock)


def record(clock, number, **fields):
    values = {"kind": AuditKind.ORDER, "who": "a", "what": f"change {number}"}
    return AuditRecord(at_unix_s=clock() + number, **(values | fields))


def read_changes(store, **filters):
    return [found.what for found in read_audit(store, **filters)]


class TestWriting:
    def test_segments_are_bounded_and_read_in_order(self, store, clock):
        trail, other = trail_of(store, clock), trail_of(store, clock, "b")
        for number in range(40):
            (trail if number % 2 else other).record(record(clock, number))
            assert trail.write() and other.write()
        segments = store.list(AUDIT_PREFIX)
        assert len(segments) > 2
        assert all(len(stored.value) < 2500 for stored in segments)
        assert read_changes(store) == [f"change {n}" for n in range(40)]

    @pytest.mark.parametrize("lost_count", [1, 2, 3])
    def test_lost_answers_duplicate_no_records(self, store, clock, lost_count):
        trail = trail_of(store, clock)
        store.set_faults(StoreFaults(lose_answers_count=lost_count))
        for number in range(4):
            trail.record(record(clock, number))
            trail.write()
        assert trail.write()
        assert read_changes(store) == [f"change {n}" for n in range(4)]

    @pytest.mark.parametrize("record_count", [1, 3])
    def test_records_lost_in_a_restore_are_written_again(
        self, store, clock, record_count
    ):
        trail = trail_of(store, clock)
        for number in range(record_count):
            if number == 1:
                store.take_copy()
            trail.record(record(clock, number))
            trail.write()
        store.restore()

        trail.record(record(clock, record_count))
        assert trail.write()

        assert read_changes(store) == [f"change {n}" for n in range(record_count + 1)]

    def test_records_survive_an_outage_and_dropped_ones_are_counted(self, store, clock):
        trail = trail_of(store, clock)
        store.set_faults(StoreFaults(outage="refuse"))
        for number in range(100):
            trail.record(record(clock, number))
        assert not trail.write()
        store.set_faults(StoreFaults())
        assert trail.write()
        kept = read_changes(store, kind=AuditKind.ORDER)
        assert kept == [f"change {n}" for n in range(len(kept))]
        dropped = read_changes(store, kind=AuditKind.DROPPED)
        assert dropped == [f"{100 - len(kept)} records were dropped"]

    def test_old_segments_are_deleted(self, store, clock):
        trail = trail_of(store, clock)
        trail.record(record(clock, 0))
        trail.write()
        clock.now_s += OPTIONS.retention_s + 1
        trail.record(record(clock, 1))
        trail.write()
        assert read_changes(store) == ["change 1"]


class TestReading:
    def test_filters(self, store, clock):
        trail = trail_of(store, clock)
        trail.record(record(clock, 0, who="eve", subject="acme"))
        trail.record(record(clock, 1, who="bob", subject="acme"))
        trail.record(record(clock, 2, who="bob", kind=AuditKind.DRAIN))
        trail.write()
        assert read_changes(store, who="bob") == ["change 1", "change 2"]
        assert read_changes(store, subject="acme", limit=1) == ["change 1"]
        assert read_changes(store, since=clock() + 1, until=clock() + 1) == ["change 1"]
