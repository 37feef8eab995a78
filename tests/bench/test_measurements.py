"""Tests of reading the journal and of the page of measurements made from it."""

import json

from citrondock_bench.journal import newest_scores, read_journal
from citrondock_bench.measurements import page


def entry(run_id, command, days, site="north", at="2026-01-01T00:00:00Z"):
    return {
        "id": run_id,
        "cmd": command,
        "why": "w",
        "at": [at, at],
        "site": site,
        "days": days,
    }


def day(name, worth, **fields):
    return {
        "name": name,
        "G": worth,
        "score": 0.5,
        "rules": {},
        "gate": True,
        "parts": [["whole day", 0.36, 0.9], ["worst class", 0.08, 0.4]],
        "prices": [["processor seconds", 20.0, 0.001], ["cloud calls", 30.0, 0.02]],
        **fields,
    }


class TestMeasurements:
    def write_and_read_journal(self, folder):
        entries = [
            entry("a", "score", [day("quiet-1", 0.5), day("fresh-1", 0.1)]),
            entry("b", "run", [day("quiet-1", 0.9)]),
            entry("c", "score", [day("quiet-1", 0.7, rules={"FAIR": 1}, score=None)]),
            entry("d", "hunt", [{"name": "given up", "G": None}]),
        ]
        for number, content in enumerate(entries):
            (folder / f"2026010{number}-x.json").write_text(json.dumps(content))
        return read_journal(folder)

    def test_newest_score_of_each_standard_day_is_kept(self, tmp_path):
        newest = newest_scores(self.write_and_read_journal(tmp_path))
        assert {name: result.run_id for name, result in newest["north"].items()} == {
            "quiet-1": "c"
        }

    def test_scores_of_trials_are_left_out(self, tmp_path):
        landed = entry("a", "score", [day("quiet-1", 0.5)])
        trial = {**entry("b", "score", [day("quiet-1", 0.9)]), "why": "trial: x"}
        for number, content in enumerate((landed, trial)):
            (tmp_path / f"2026010{number}-x.json").write_text(json.dumps(content))
        newest = newest_scores(read_journal(tmp_path))
        assert newest["north"]["quiet-1"].run_id == "a"

    def test_amounts_without_a_cost_are_not_the_largest_price(self, tmp_path):
        prices = [["moves", 3.0, None], ["cloud calls", 30.0, 0.02]]
        content = entry("a", "score", [day("quiet-1", 0.5, prices=prices)])
        (tmp_path / "20260101-x.json").write_text(json.dumps(content))
        [result] = read_journal(tmp_path)
        assert result.dearest == "cloud calls 0.020"

    def test_page_shows_broken_rules_weakest_part_and_largest_price(self, tmp_path):
        [row] = [
            line
            for line in page(self.write_and_read_journal(tmp_path)).splitlines()
            if line.startswith("| quiet-1")
        ]
        for shown in ("0.700", "FAIR", "worst class 0.40", "cloud calls 0.020", "20"):
            assert shown in row
