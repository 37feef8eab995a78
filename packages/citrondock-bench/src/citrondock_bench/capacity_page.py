"""Fills the capacity page from the kept measurement."""

import string
from collections.abc import Sequence
from pathlib import Path

from citrondock_bench import two_year
from citrondock_bench.capacity_document import CapacityDocument
from citrondock_bench.capacity_lines import CapacityLine
from citrondock_bench.capacity_roles import capacity_lines
from citrondock_bench.ordinary_failures import failure_rows
from citrondock_bench.table import format_table

TEMPLATE = Path("docs/capacity/CAPACITY.template.md")
PAGE = Path("docs/CAPACITY.md")
NOT_MEASURED = "not measured"


def _number(value: float | None) -> str:
    if value is None:
        return "-"
    if abs(value) >= 100:
        return f"{value:,.0f}"
    return f"{value:.3g}"


def _value(line: CapacityLine) -> str:
    return NOT_MEASURED if line.worked_out is None else _number(line.worked_out.value)


def _markdown(header: Sequence[str], rows: Sequence[Sequence[str]]) -> str:
    lines = [header, ["---"] * len(header), *rows]
    return "\n".join("| " + " | ".join(line) + " |" for line in lines)


def _unfit_table(lines: Sequence[CapacityLine]) -> str:
    rows = [
        (line.role, line.quantity, _value(line), _number(line.budget), line.unit,
         line.remedy)
        for line in lines
        if not line.fits
    ]  # fmt: skip
    if not rows:
        return "Every measured line fits its budget."
    header = (
        "role", "quantity", "worked out", "budget", "unit", "what would have to change",
    )  # fmt: skip
    return _markdown(header, rows)


def _role_table(lines: Sequence[CapacityLine]) -> str:
    rows = [
        (
            line.role,
            line.quantity,
            f"{_value(line)} {line.unit}",
            _number(line.budget),
            NOT_MEASURED if line.worked_out is None else line.worked_out.formula,
            line.mechanism,
            f"`{line.command}`",
        )
        for line in lines
    ]
    header = (
        "role", "quantity", "at two years", "budget", "formula", "mechanism", "command",
    )  # fmt: skip
    return _markdown(header, rows)


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
    kind = "A trial: other work ran on the machine. " if document.is_trial else ""
    return (
        f"{kind}Measured on {document.measured_on}, "
        f"{document.machine.core_count} cores, {document.machine.memory_gb:g} GB, "
        f"{document.run_count} runs at each size."
    )


def _routers_needed(document: CapacityDocument) -> str:
    path = document.data_path
    if path is None:
        return NOT_MEASURED
    cores = path.cpu_s_per_1000_tokens.median * two_year.TOKENS_PER_S / 1000
    return (
        f"{cores:,.0f} cores in all for {two_year.TOKENS_PER_S:,} tokens/s, or "
        f"{cores / two_year.NODE_COUNT:.2f} of a core on each of "
        f"{two_year.NODE_COUNT} entry VMs"
    )


def render_page(document: CapacityDocument, template: str) -> str:
    """Return the page.

    Parameters
    ----------
    document : CapacityDocument
        Measurement.
    template : str
        Text with ``$name`` where a figure or table stands.

    Raises
    ------
    KeyError
        The template names a figure that does not exist.
    """
    lines = capacity_lines(document)
    return string.Template(template).substitute(
        conditions=_conditions(document),
        unfit=_unfit_table(lines),
        roles=_role_table(lines),
        slopes=_slope_table(document),
        failures=_markdown(*failure_rows(document)),
        routers_needed=_routers_needed(document),
        nodes=str(two_year.NODE_COUNT),
    )


def lines_table(document: CapacityDocument) -> str:
    """Return budget, worked-out value and margin for each line."""
    rows = []
    for line in capacity_lines(document):
        margin = line.margin_percent
        rows.append(
            (
                f"{line.role}: {line.quantity} ({line.unit})",
                _number(line.budget),
                _value(line),
                "-" if margin is None else f"{margin:.0f} %",
            )
        )
    return format_table(("line", "budget", "worked out", "margin"), rows)
