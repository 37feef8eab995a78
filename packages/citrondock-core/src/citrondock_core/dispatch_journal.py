"""Record of dispatch decisions for the latest requests, to explain them."""

from collections import OrderedDict

REMEMBERED_REQUESTS_COUNT = 2_000
"""Requests after which the oldest are dropped."""


class DispatchJournal:
    """Lines of text by request, for a bounded number of requests."""

    def __init__(self, *, max_count: int = REMEMBERED_REQUESTS_COUNT) -> None:
        self._lines: OrderedDict[str, list[str]] = OrderedDict()
        self._max_count = max_count

    def add_line(self, request_id: str, line: str) -> None:
        """Append a line to a request's record."""
        self._lines.setdefault(request_id, []).append(line)
        if len(self._lines) > self._max_count:
            self._lines.popitem(last=False)

    def lines(self, request_id: str) -> list[str]:
        """Return the lines of a request, oldest first."""
        return list(self._lines.get(request_id, ()))
