"""Writes log lines to a file descriptor without ever blocking on its reader."""

import os
from collections import deque

from citrondock_router.gateway.log_filter import LogFilter

SUPPRESSION_BYTES = 131_072
"""Size of the buffer above which lines of served requests are suppressed; about 600
lines."""

MAX_BUFFERED_BYTES = 524_288
"""Size of the buffer above which all lines are dropped and counted."""


class LogWriter:
    """Buffers log lines until the event loop writes them out.

    It is a stream for `configure_logging`. Call `drain` periodically.

    Parameters
    ----------
    descriptor : int
        File descriptor to write to; by default standard output.
    """

    def __init__(self, descriptor: int = 1) -> None:
        self._descriptor = descriptor
        self._lines: deque[bytes] = deque()
        self._buffered_bytes = 0
        self._filter = LogFilter()
        self.dropped_count = 0
        os.set_blocking(descriptor, False)

    def write(self, line: str, /) -> None:
        """Buffer one line, unless it is suppressed or dropped."""
        is_suppressing = self._buffered_bytes > SUPPRESSION_BYTES
        if not is_suppressing and not self._filter.is_holding:
            self._append(line)
            return
        for kept in self._filter.filter(line, is_suppressing=is_suppressing):
            self._append(kept)

    def drain(self, *, is_last: bool = False) -> None:
        """Write as many buffered bytes as the descriptor takes without blocking.

        Parameters
        ----------
        is_last : bool
            Whether the process is about to end; held lines are written then too.
        """
        if is_last:
            for line in self._filter.release_held():
                self._append(line)
        if self._buffered_bytes <= SUPPRESSION_BYTES:
            self._report_gaps()
        if not self._lines:
            return
        data = b"".join(self._lines)
        try:
            written = os.write(self._descriptor, data)
        except BlockingIOError:
            written = 0
        except OSError:
            # The log cannot be written, and there is no other place to report that.
            written = len(data)
        self._lines.clear()
        if written < len(data):
            self._lines.append(data[written:])
        self._buffered_bytes = len(data) - written

    def _report_gaps(self) -> None:
        notice = self._filter.take_notice()
        if notice is not None:
            self._append(notice)
        if self.dropped_count:
            self._append(f"event=log_lines_dropped count={self.dropped_count}\n")
            self.dropped_count = 0

    def _append(self, line: str) -> None:
        data = line.encode("utf-8", "replace")
        if self._buffered_bytes + len(data) > MAX_BUFFERED_BYTES:
            self.dropped_count += 1
            return
        self._lines.append(data)
        self._buffered_bytes += len(data)
