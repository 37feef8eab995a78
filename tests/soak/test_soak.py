"""Short soaks with fixed seeds, and each seed that ever failed."""

import pytest
from soak import run_seed
from soak_ledger import Ledger, Run, Seen, plain_body, whole_stream

CI_SEEDS = (1, 2)
CI_SECONDS = 4.0

REGRESSIONS = {
    112: "SIGHUP during the start ended the process",
    113: "SIGHUP during the start ended the process",
}
"""Seeds that failed once, each with its cause; they run with the usual time."""

REGRESSION_SECONDS = 8.0


class TestSoak:
    @pytest.mark.parametrize("seed", CI_SEEDS)
    def test_every_promise_is_kept(self, seed, tmp_path):
        broken, figures = run_seed(seed, CI_SECONDS, tmp_path)
        assert broken == [], figures

    def test_seeds_that_failed_once_hold(self, tmp_path):
        for seed, cause in REGRESSIONS.items():
            broken, figures = run_seed(seed, REGRESSION_SECONDS, tmp_path)
            assert broken == [], f"{cause}: {figures}"


class TestLedger:
    """The checks see each kind of broken promise."""

    def ledger(self, kind="unsafe", runs=1, **fields):
        ledger = Ledger(event_count=3)
        answer = {"status": 200, "body": plain_body("r"), "is_whole": True}
        seen = Seen("r", kind, "v0", 0.0, **{**answer, **fields})
        seen.time_s, seen.is_after_faults = 3.0, True
        ledger.seen.append(seen)
        for _ in range(runs):
            ledger.ran("r", Run("t", 0, 0.0))
        return ledger

    def test_nothing_is_broken_on_a_good_day(self):
        assert self.ledger().broken_promises() == []
        assert self.ledger("safe", runs=2).broken_promises() == []

    @pytest.mark.parametrize("kind", ["unsafe", "stream"])
    def test_a_second_run(self, kind):
        body = plain_body("r") if kind == "unsafe" else whole_stream("r", 3)
        broken = self.ledger(kind, runs=2, body=body).broken_promises()
        assert broken == [f"r: {kind} ran 2 times"]

    @pytest.mark.parametrize(
        ("fields", "word"),
        [
            ({"status": 503}, "request that ran"),
            ({"status": 404}, "proper request"),
            ({"body": b"answer to q"}, "wrong answer"),
            ({"ended_at_s": 9.0}, "held for"),
            ({"status": 502}, "were served"),
        ],
    )
    def test_untrue_answers(self, fields, word):
        assert any(word in line for line in self.ledger(**fields).broken_promises())

    @pytest.mark.parametrize("order", [(0, 2), (1, 0), (0, 0, 1), (0, 1)])
    def test_streams_out_of_order_or_cut_that_look_whole(self, order):
        events = whole_stream("r", 3).split(b"\n\n")
        body = b"".join(events[number] + b"\n\n" for number in order)
        broken = self.ledger("resumable", body=body).broken_promises()
        assert any("wrong answer" in line for line in broken)

    def test_a_run_that_nobody_asked_for(self):
        ledger = self.ledger()
        ledger.ran("x", Run("t", 0, 0.0))
        assert "x: a target ran what no client sent" in ledger.broken_promises()
