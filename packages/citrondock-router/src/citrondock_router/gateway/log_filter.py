"""Thins the log out when more is written than its reader takes."""

import re
from collections import Counter, OrderedDict

MAX_HELD_REQUESTS = 2_000
"""Requests whose lines are held at most; some seconds of a busy router."""

_EVENT = re.compile(r"\bevent=(\w+)")
_REQUEST = re.compile(r"\brequest_id=(\S+)")
_END = "request_ended"
_SERVED = re.compile(r"\bwhole=True\b")


class LogFilter:
    """Leaves out the lines of requests that were served, and counts them by kind.

    Lines of a request are held until its end is known: those of a failed request are
    all written then. Lines that belong to no request pass.
    """

    def __init__(self) -> None:
        self._held: OrderedDict[str, list[str]] = OrderedDict()
        self._left_out: Counter[str] = Counter()

    @property
    def is_holding(self) -> bool:
        """Whether lines are held whose requests have not ended."""
        return bool(self._held)

    def lines(self, line: str, *, is_thinning: bool) -> list[str]:
        """Return what is to be written now that ``line`` came.

        Parameters
        ----------
        line : str
            One line.
        is_thinning : bool
            Whether lines of requests that go on are to be held.
        """
        request = _REQUEST.search(line)
        event = _EVENT.search(line)
        if request is None or event is None:
            return [line]
        request_id = request.group(1)
        if event.group(1) == _END:
            held = self._held.pop(request_id, [])
            if is_thinning and _SERVED.search(line):
                self._leave_out([*held, line])
                return []
            return [*held, line]
        if not is_thinning:
            return [*self._held.pop(request_id, ()), line]
        self._held.setdefault(request_id, []).append(line)
        if len(self._held) > MAX_HELD_REQUESTS:
            _, oldest = self._held.popitem(last=False)
            self._leave_out(oldest)
        return []

    def notice(self) -> str | None:
        """Return a line that tells what was left out since the last one, or None."""
        if not self._left_out:
            return None
        counts = " ".join(f"{kind}={n}" for kind, n in sorted(self._left_out.items()))
        self._left_out.clear()
        return f"event=log_lines_left_out {counts}\n"

    def held(self) -> list[str]:
        """Return all lines that are held, and hold them no longer."""
        lines = [line for held in self._held.values() for line in held]
        self._held.clear()
        return lines

    def _leave_out(self, lines: list[str]) -> None:
        for line in lines:
            event = _EVENT.search(line)
            self._left_out[event.group(1) if event else "other"] += 1
