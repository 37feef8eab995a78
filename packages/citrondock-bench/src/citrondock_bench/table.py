"""Formats plain text tables."""

from collections.abc import Sequence

COLUMN_GAP = "  "


def format_table(header: Sequence[str], rows: Sequence[Sequence[str]]) -> str:
    """Return a table with its first column left-aligned, the others right-aligned."""
    widths = [
        max(len(row[column]) for row in (header, *rows))
        for column in range(len(header))
    ]
    separator = ["-" * width for width in widths]
    return "\n".join(_line(row, widths) for row in (header, separator, *rows))


def _line(row: Sequence[str], widths: Sequence[int]) -> str:
    cells = [row[0].ljust(widths[0])]
    cells += [
        cell.rjust(width) for cell, width in zip(row[1:], widths[1:], strict=True)
    ]
    return COLUMN_GAP.join(cells).rstrip()
