from pathlib import Path

import pytest

from citrondock_bench.capacity_document import CapacityDocument, Machine
from citrondock_bench.capacity_lines import grown
from citrondock_bench.capacity_page import render_page
from citrondock_bench.slope import Slope

ROOT = Path(__file__).parents[2]
KEPT = ROOT / "docs/capacity/full.json"
TEMPLATE = ROOT / "docs/capacity/CAPACITY.template.md"


def document(slopes):
    return CapacityDocument(
        measured_on="2026-01-01",
        is_trial=True,
        run_count=1,
        machine=Machine(core_count=4, memory_gb=8.0),
        slopes=slopes,
    )


def line(name, runs):
    return Slope.fit(name, runs, size_unit="s", figure_unit="f", command="c")


CONTROL_BYTES = [
    line("control_bytes_by_nodes", {7: [700], 14: [1400]}),
    line("control_bytes_by_accounts", {160: [700], 1160: [800]}),
    line("control_bytes_by_requests", {4: [700], 14: [800]}),
    line("control_bytes_by_changes", {0: [700], 1: [690]}),
]


class TestCapacityPage:
    def test_page_is_what_the_kept_measurement_gives(self):
        page = render_page(CapacityDocument.read(KEPT), TEMPLATE.read_text())
        assert page == (ROOT / "docs/CAPACITY.md").read_text()

    def test_document_survives_its_file(self, tmp_path):
        document(CONTROL_BYTES).write(tmp_path / "full.json")
        again = CapacityDocument.read(tmp_path / "full.json")
        assert again == document(CONTROL_BYTES)

    def test_what_is_over_budget_or_not_measured_is_named_first(self):
        page = render_page(document(CONTROL_BYTES), TEMPLATE.read_text())
        unfit = page.partition("## What does not fit yet")[2].partition("## Each")[0]
        assert "control bytes of a node, mean" in unfit
        assert "not measured" in unfit


class TestGrown:
    def test_adds_growth_along_each_axis(self):
        value = grown(document(CONTROL_BYTES), "control_bytes").value
        assert value == pytest.approx(38_000 + 0.1 * 4840 + 10 * (12000 / 380 - 4))

    def test_a_falling_line_is_not_carried_on(self):
        falling = line("control_bytes_by_nodes", {7: [700], 14: [600]})
        value = grown(document([falling, *CONTROL_BYTES[1:]]), "control_bytes").value
        assert value == pytest.approx(600 + 0.1 * 4840 + 10 * (12000 / 380 - 4))

    def test_a_lacking_slope_gives_no_value(self):
        assert grown(document(CONTROL_BYTES[:3]), "control_bytes") is None
