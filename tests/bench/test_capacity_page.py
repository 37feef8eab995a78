from pathlib import Path

import pytest

from citrondock_bench.capacity_document import CapacityDocument, Machine
from citrondock_bench.capacity_estimates import estimate_at_two_years
from citrondock_bench.capacity_page import render_page
from citrondock_bench.slope import Slope

ROOT = Path(__file__).parents[2]
DOCUMENT_PATH = ROOT / "docs/capacity/full.json"
TEMPLATE_PATH = ROOT / "docs/capacity/CAPACITY.template.md"


def document(slopes):
    return CapacityDocument(
        measured_on="2026-01-01",
        is_trial=True,
        run_count=1,
        machine=Machine(core_count=4, memory_gb=8.0),
        slopes=slopes,
    )


def fitted(name, runs):
    return Slope.fit(name, runs, size_unit="s", figure_unit="f", command="c")


CONTROL_BYTES = [
    fitted("control_bytes_by_nodes", {7: [700], 14: [1400]}),
    fitted("control_bytes_by_accounts", {160: [700], 1160: [800]}),
    fitted("control_bytes_by_requests", {4: [700], 14: [800]}),
    fitted("control_bytes_by_changes", {0: [700], 1: [690]}),
]


class TestCapacityPage:
    def test_page_matches_the_stored_measurement(self):
        page = render_page(
            CapacityDocument.read(DOCUMENT_PATH), TEMPLATE_PATH.read_text()
        )
        assert page == (ROOT / "docs/CAPACITY.md").read_text()

    def test_document_is_equal_after_write_and_read(self, tmp_path):
        document(CONTROL_BYTES).write(tmp_path / "full.json")
        again = CapacityDocument.read(tmp_path / "full.json")
        assert again == document(CONTROL_BYTES)

    def test_over_budget_and_unmeasured_rows_are_listed_first(self):
        page = render_page(document(CONTROL_BYTES), TEMPLATE_PATH.read_text())
        not_fitting = page.partition("## What does not fit yet")[2].partition(
            "## Each"
        )[0]
        assert "control bytes of a node, mean" in not_fitting
        assert "not measured" in not_fitting


class TestEstimateAtTwoYears:
    def test_adds_growth_along_each_axis(self):
        value = estimate_at_two_years(document(CONTROL_BYTES), "control_bytes").value
        assert value == pytest.approx(38_000 + 0.1 * 4840 + 10 * (12000 / 380 - 4))

    def test_a_falling_line_is_not_extrapolated(self):
        falling = fitted("control_bytes_by_nodes", {7: [700], 14: [600]})
        value = estimate_at_two_years(
            document([falling, *CONTROL_BYTES[1:]]), "control_bytes"
        ).value
        assert value == pytest.approx(600 + 0.1 * 4840 + 10 * (12000 / 380 - 4))

    def test_a_missing_slope_gives_no_estimate(self):
        assert (
            estimate_at_two_years(document(CONTROL_BYTES[:3]), "control_bytes") is None
        )
