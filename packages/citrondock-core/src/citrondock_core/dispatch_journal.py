"""Why requests were dispatched as they were, for a bounded number of them."""

from collections import OrderedDict

REMEMBERED_REQUESTS_COUNT = 2_000


class DispatchJournal:
    """Lines about the latest requests."""

    def __init__(self, *, max_count: int = REMEMBERED_REQUESTS_COUNT) -> None:
        self._lines: OrderedDict[str, list[str]] = OrderedDict()
        self._max_count = max_count

    def note(self, request_id: str, line: str) -> None:
        """Add a line about a request."""
        self._lines.setdefault(request_id, []).append(line)
        if len(self._lines) > self._max_count:
            self._lines.popitem(last=False)

    def lines(self, request_id: str) -> list[str]:
        """Return the lines about a request, oldest first."""
        return list(self._lines.get(request_id, ()))
