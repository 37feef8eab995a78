"""Renders the capacity page from a stored measurement."""

import string
from collections.abc import Sequence
from pathlib import Path

from citrondock_bench import two_year
from citrondock_bench.capacity_document import CapacityDocument
from citrondock_bench.capacity_estimates import CapacityRow
from citrondock_bench.capacity_rows import capacity_rows
from citrondock_bench.ordinary_failures import failure_rows
from citrondock_bench.table import format_table

TEMPLATE_PATH = Path("docs/capacity/CAPACITY.template.md")
PAGE_PATH = Path("docs/CAPACITY.md")
NOT_MEASURED = "not measured"


def _number(value: float | None) -> str:
    if value is None:
        return "-"
    if abs(value) >= 100:
        return f"{value:,.0f}"
    return f"{value:.3g}"


def _value(row: CapacityRow) -> str:
    return NOT_MEASURED if row.estimate is None else _number(row.estimate.value)


def _markdown(header: Sequence[str], rows: Sequence[Sequence[str]]) -> str:
    lines = [header, ["---"] * len(header), *rows]
    return "\n".join("| " + " | ".join(line) + " |" for line in lines)


def _over_budget_table(rows: Sequence[CapacityRow]) -> str:
    """Return the rows that are over budget or not measured."""
    cells = [
        (row.role, row.quantity, _value(row), _number(row.budget), row.unit,
         row.remedy)
        for row in rows
        if not row.fits
    ]  # fmt: skip
    if not cells:
        return "Every measured line fits its budget."
    header = (
        "role", "quantity", "worked out", "budget", "unit", "what would have to change",
    )  # fmt: skip
    return _markdown(header, cells)


def _role_table(rows: Sequence[CapacityRow]) -> str:
    cells = [
        (
            row.role,
            row.quantity,
            f"{_value(row)} {row.unit}",
            _number(row.budget),
            NOT_MEASURED if row.estimate is None else row.estimate.formula,
            row.mechanism,
            f"`{row.command}`",
        )
        for row in rows
    ]
    header = (
        "role", "quantity", "at two years", "budget", "formula", "mechanism", "command",
    )  # fmt: skip
    return _markdown(header, cells)


def _slope_table(document: CapacityDocument) -> str:
    rows = [
        (
            slope.name,
            slope.figure_unit,
            slope.size_unit,
            f"{slope.intercept:.4g}",
            f"{slope.per_size:.4g}",
            "; ".join(
                f"{point.size:g}: {_number(point.figure.median)} "
                f"({_number(point.figure.low)} to {_number(point.figure.high)})"
                for point in slope.points
            ),
        )
        for slope in document.slopes
    ]
    header = ("slope", "figure", "size", "intercept", "per size", "median (range)")
    return _markdown(header, rows)


def _conditions(document: CapacityDocument) -> str:
    trial_note = "A trial: other work ran on the machine. " if document.is_trial else ""
    return (
        f"{trial_note}Measured on {document.measured_on}, "
        f"{document.machine.core_count} cores, {document.machine.memory_gb:g} GB, "
        f"{document.run_count} runs at each size."
    )


def _routers_needed(document: CapacityDocument) -> str:
    """Return the cores that the data path needs for the fleet's token rate."""
    data_path = document.data_path
    if data_path is None:
        return NOT_MEASURED
    cores = data_path.cpu_s_per_1000_tokens.median * two_year.TOKENS_PER_S / 1000
    return (
        f"{cores:,.0f} cores in all for {two_year.TOKENS_PER_S:,} tokens/s, or "
        f"{cores / two_year.NODE_COUNT:.2f} of a core on each of "
        f"{two_year.NODE_COUNT} entry VMs"
    )


def render_page(document: CapacityDocument, template: str) -> str:
    """Return the capacity page in Markdown.

    Parameters
    ----------
    document : CapacityDocument
        Results of a capacity run.
    template : str
        Page text with ``$name`` placeholders for figures and tables.

    Raises
    ------
    KeyError
        The template has a placeholder that this function does not fill.
    """
    rows = capacity_rows(document)
    return string.Template(template).substitute(
        conditions=_conditions(document),
        unfit=_over_budget_table(rows),
        roles=_role_table(rows),
        slopes=_slope_table(document),
        failures=_markdown(*failure_rows(document)),
        routers_needed=_routers_needed(document),
        nodes=str(two_year.NODE_COUNT),
    )


def budget_table(document: CapacityDocument) -> str:
    """Return budget, estimate and margin of each row as a plain text table."""
    cells = []
    for row in capacity_rows(document):
        margin = row.margin_percent
        cells.append(
            (
                f"{row.role}: {row.quantity} ({row.unit})",
                _number(row.budget),
                _value(row),
                "-" if margin is None else f"{margin:.0f} %",
            )
        )
    return format_table(("line", "budget", "worked out", "margin"), cells)
