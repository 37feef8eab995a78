"""Output as text for people or as JSON for scripts."""

import json
from collections.abc import Sequence
from typing import Any, TextIO

from citrondock_core.configuration_entries import converter


class Output:
    """Writes the results and messages of a command.

    Parameters
    ----------
    out, err : TextIO
        Streams for results and for messages.
    as_json : bool
        Whether results are written as JSON.
    """

    def __init__(self, out: TextIO, err: TextIO, *, as_json: bool) -> None:
        self.as_json = as_json
        self._out = out
        self._err = err

    def result(self, value: Any, lines: Sequence[str]) -> None:
        """Write a result: ``value`` as JSON, or ``lines`` for people."""
        if self.as_json:
            plain = converter.unstructure(value)
            lines = [json.dumps(plain, indent=2, ensure_ascii=False)]
        for line in lines:
            print(line, file=self._out)

    def text(self, text: str) -> None:
        """Write a text unchanged, without a final newline."""
        self._out.write(text)

    def message(self, line: str) -> None:
        """Write a message to the error stream."""
        print(line, file=self._err)


def table(header: Sequence[str], rows: Sequence[Sequence[object]]) -> list[str]:
    """Return lines with the header and rows in aligned columns."""
    texts = [list(header), *([_cell(value) for value in row] for row in rows)]
    widths = [max(map(len, column)) for column in zip(*texts, strict=True)]
    return [
        "  ".join(
            cell.ljust(width) for cell, width in zip(row, widths, strict=True)
        ).rstrip()
        for row in texts
    ]


def _cell(value: object) -> str:
    if isinstance(value, bool):
        return "yes" if value else "no"
    text = f"{value:g}" if isinstance(value, float) else str(value)
    return text or "-"
