"""Writes log lines to standard output without ever waiting for its reader."""

import os
from collections import deque

from citrondock_router.gateway.log_filter import LogFilter

THINNING_BYTES = 131_072
"""Waiting lines beyond which those of served requests are left out; about 600 lines."""

MAX_BUFFERED_BYTES = 524_288
"""Lines beyond this are dropped and counted, whatever they say."""


class LogWriter:
    """A stream for `configure_logging` that is emptied by the event loop.

    Parameters
    ----------
    descriptor : int
        File descriptor to write to.
    """

    def __init__(self, descriptor: int = 1) -> None:
        self._descriptor = descriptor
        self._lines: deque[bytes] = deque()
        self._buffered_bytes = 0
        self._filter = LogFilter()
        self.dropped_count = 0
        os.set_blocking(descriptor, False)

    def write(self, line: str, /) -> None:
        """Take one line."""
        is_thinning = self._buffered_bytes > THINNING_BYTES
        if not is_thinning and not self._filter.is_holding:
            self._take(line)
            return
        for kept in self._filter.lines(line, is_thinning=is_thinning):
            self._take(kept)

    def drain(self, *, is_last: bool = False) -> None:
        """Write what the reader takes now; the last time, also lines that are held."""
        if is_last:
            for line in self._filter.held():
                self._take(line)
        if self._buffered_bytes <= THINNING_BYTES:
            self._tell_of_gaps()
        if not self._lines:
            return
        data = b"".join(self._lines)
        try:
            written = os.write(self._descriptor, data)
        except BlockingIOError:
            written = 0
        except OSError:
            # Nobody reads any more; there is no other place to say so.
            written = len(data)
        self._lines.clear()
        if written < len(data):
            self._lines.append(data[written:])
        self._buffered_bytes = len(data) - written

    def _tell_of_gaps(self) -> None:
        notice = self._filter.notice()
        if notice is not None:
            self._take(notice)
        if self.dropped_count:
            self._take(f"event=log_lines_dropped count={self.dropped_count}\n")
            self.dropped_count = 0

    def _take(self, line: str) -> None:
        data = line.encode("utf-8", "replace")
        if self._buffered_bytes + len(data) > MAX_BUFFERED_BYTES:
            self.dropped_count += 1
            return
        self._lines.append(data)
        self._buffered_bytes += len(data)
