"""Short soaks with fixed seeds, and with each seed that ever failed."""

import pytest
from soak import run_seed
from soak_record import ObservedRequest, Run, SoakRecord, plain_body, stream_body

CI_SEEDS = (1, 2)
CI_SECONDS = 4.0

REGRESSIONS = {
    112: "SIGHUP during the start ended the process",
    113: "SIGHUP during the start ended the process",
    910: "routers watched on from a revision that the store had lost",
}
"""Seeds that failed once, each with its cause; they run for the default time."""

REGRESSION_SECONDS = 8.0


class TestSoak:
    @pytest.mark.parametrize("seed", CI_SEEDS)
    def test_no_invariant_is_violated(self, seed, tmp_path):
        violations, summary = run_seed(seed, CI_SECONDS, tmp_path)
        assert violations == [], summary

    def test_seeds_that_failed_once_pass(self, tmp_path):
        for seed, cause in REGRESSIONS.items():
            violations, summary = run_seed(seed, REGRESSION_SECONDS, tmp_path)
            assert violations == [], f"{cause}: {summary}"


class TestSoakRecord:
    """The record reports each kind of violation."""

    def record(self, kind="unsafe", runs=1, **fields):
        record = SoakRecord(event_count=3)
        answer = {"status": 200, "body": plain_body("r"), "is_complete": True}
        request = ObservedRequest("r", kind, "v0", 0.0, **{**answer, **fields})
        request.timeout_s, request.is_after_faults = 3.0, True
        record.requests.append(request)
        for _ in range(runs):
            record.add_run("r", Run("t", 0, 0.0))
        return record

    def test_correct_requests_violate_nothing(self):
        assert self.record().violations() == []
        assert self.record("safe", runs=2).violations() == []

    @pytest.mark.parametrize("kind", ["unsafe", "stream"])
    def test_second_run_of_unrepeatable_request_is_reported(self, kind):
        body = plain_body("r") if kind == "unsafe" else stream_body("r", 3)
        violations = self.record(kind, runs=2, body=body).violations()
        assert violations == [f"r: {kind} ran 2 times"]

    @pytest.mark.parametrize(
        ("fields", "word"),
        [
            ({"status": 503}, "request that ran"),
            ({"status": 404}, "valid request"),
            ({"body": b"answer to q"}, "wrong answer"),
            ({"ended_at_s": 9.0}, "with a timeout of"),
            ({"status": 502}, "were served"),
        ],
    )
    def test_wrong_status_body_or_duration_is_reported(self, fields, word):
        assert any(word in line for line in self.record(**fields).violations())

    @pytest.mark.parametrize("order", [(0, 2), (1, 0), (0, 0, 1), (0, 1)])
    def test_reordered_or_truncated_stream_that_looks_complete_is_reported(self, order):
        events = stream_body("r", 3).split(b"\n\n")
        body = b"".join(events[number] + b"\n\n" for number in order)
        violations = self.record("resumable", body=body).violations()
        assert any("wrong answer" in line for line in violations)

    def test_router_that_lacks_what_the_store_has_is_reported(self):
        record = self.record()
        record.stale_routers.append("v0 has version 1, the store 2")
        assert record.violations() == ["v0 has version 1, the store 2"]

    def test_run_of_request_that_no_client_sent_is_reported(self):
        record = self.record()
        record.add_run("x", Run("t", 0, 0.0))
        assert "x: a target ran a request that no client sent" in record.violations()
