"""Suppresses log lines of served requests while the log is read too slowly."""

import re
from collections import Counter, OrderedDict

MAX_HELD_REQUESTS = 2_000
"""Most requests whose lines are held: those of some seconds on a busy router."""

_EVENT_PATTERN = re.compile(r"\bevent=(\w+)")
_REQUEST_ID_PATTERN = re.compile(r"\brequest_id=(\S+)")
_END_EVENTS = frozenset({"request_ended", "request_unanswered"})
_SERVED_PATTERN = re.compile(r"\bwhole=True\b")


class LogFilter:
    """Suppresses the lines of requests that were served, and counts them by event.

    The lines of a request are held until it ends. All lines of a failed request are
    written then. Lines that belong to no request are never suppressed.
    """

    def __init__(self) -> None:
        self._held: OrderedDict[str, list[str]] = OrderedDict()
        self._suppressed_counts: Counter[str] = Counter()

    @property
    def is_holding(self) -> bool:
        """Whether lines are held whose requests have not ended."""
        return bool(self._held)

    def filter(self, line: str, *, is_suppressing: bool) -> list[str]:
        """Return the lines to write now, given a new line.

        Parameters
        ----------
        line : str
            The new line.
        is_suppressing : bool
            Whether to hold the lines of requests that have not ended, and to drop those
            of served ones.
        """
        request = _REQUEST_ID_PATTERN.search(line)
        event = _EVENT_PATTERN.search(line)
        if request is None or event is None:
            return [line]
        request_id = request.group(1)
        if event.group(1) in _END_EVENTS:
            held = self._held.pop(request_id, [])
            if is_suppressing and _SERVED_PATTERN.search(line):
                self._count_suppressed([*held, line])
                return []
            return [*held, line]
        if not is_suppressing:
            return [*self._held.pop(request_id, ()), line]
        self._held.setdefault(request_id, []).append(line)
        if len(self._held) > MAX_HELD_REQUESTS:
            _, oldest = self._held.popitem(last=False)
            self._count_suppressed(oldest)
        return []

    def take_notice(self) -> str | None:
        """Return a line that counts what was suppressed since the last one, or None."""
        if not self._suppressed_counts:
            return None
        counts = " ".join(
            f"{event}={count}"
            for event, count in sorted(self._suppressed_counts.items())
        )
        self._suppressed_counts.clear()
        return f"event=log_lines_left_out {counts}\n"

    def release_held(self) -> list[str]:
        """Return all held lines, and hold them no longer."""
        lines = [line for held in self._held.values() for line in held]
        self._held.clear()
        return lines

    def _count_suppressed(self, lines: list[str]) -> None:
        for line in lines:
            event = _EVENT_PATTERN.search(line)
            self._suppressed_counts[event.group(1) if event else "other"] += 1
