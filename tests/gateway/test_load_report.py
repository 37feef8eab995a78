"""A router that is short of processor time logs what it does with it."""

import pytest

from citrondock_router.gateway import load_report
from citrondock_router.gateway.load_report import LATE_LAG_S, LoadReport, WorkCounts


@pytest.fixture(name="events")
def _events(monkeypatch):
    events = []
    monkeypatch.setattr(
        load_report, "log_event", lambda name, **fields: events.append((name, fields))
    )
    return events


class FakeRouter:
    """Counts and a clock that the test advances."""

    def __init__(self):
        self.now_s = 100.0
        self.read_count = 0
        self.report = LoadReport(lambda: self.now_s, self.counts)

    def counts(self):
        return WorkCounts(
            read_count=self.read_count,
            shed_count=0,
            grant_request_count=0,
            sent_count=0,
            late_answer_count=0,
            processor_s=0.0,
        )

    def end_period(self):
        self.now_s += 1.0
        self.report.end_period(client_count=3, live_count=2)


class TestLoadReport:
    def test_a_router_in_time_logs_nothing(self, events):
        router = FakeRouter()
        router.report.observe_lag(LATE_LAG_S / 2)
        router.end_period()
        assert events == []

    def test_a_late_router_logs_the_work_of_the_period(self, events):
        router = FakeRouter()
        router.read_count = 5
        router.end_period()
        router.read_count = 12
        router.report.observe_lag(0.3)
        router.end_period()
        [(name, fields)] = events
        assert name == "router_late"
        assert (fields["read"], fields["max_lag_s"]) == (7, 0.3)
        assert (fields["clients"], fields["live"]) == (3, 2)

    def test_a_period_after_a_late_one_is_judged_by_itself(self, events):
        router = FakeRouter()
        router.report.observe_lag(0.3)
        router.end_period()
        router.end_period()
        assert len(events) == 1
