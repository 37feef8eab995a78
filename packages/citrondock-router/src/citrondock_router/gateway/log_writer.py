"""Writes log lines to standard output without ever waiting for its reader."""

import os
from collections import deque

MAX_BUFFERED_BYTES = 262_144
"""Lines beyond this are dropped and counted; some thousand lines."""


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
        self.dropped_count = 0
        os.set_blocking(descriptor, False)

    def write(self, line: str, /) -> None:
        """Take one line."""
        data = line.encode("utf-8", "replace")
        if self._buffered_bytes + len(data) > MAX_BUFFERED_BYTES:
            self.dropped_count += 1
            return
        self._lines.append(data)
        self._buffered_bytes += len(data)

    def drain(self) -> None:
        """Write what the reader takes now."""
        if not self._lines:
            return
        if self.dropped_count:
            notice = f"event=log_lines_dropped count={self.dropped_count}\n".encode()
            self.dropped_count = 0
            self._lines.append(notice)
            self._buffered_bytes += len(notice)
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
