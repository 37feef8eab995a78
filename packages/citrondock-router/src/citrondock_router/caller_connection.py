"""Connections of callers, which outlive the worker thread that parsed the request."""

import enum
import io
import socket
import threading
from typing import Any

from cheroot.makefile import MakeFile
from cheroot.server import HTTPConnection


class RequestBuffer(io.BytesIO):
    """Bytes received from a caller, read by cheroot without waiting."""

    def feed(self, data: bytes) -> None:
        """Append received bytes behind those not read yet."""
        unread = self.unread()
        self.seek(0)
        self.truncate()
        self.write(unread + data)
        self.seek(0)

    def unread(self) -> bytes:
        """Return the bytes that were not read yet."""
        return self.getvalue()[self.tell() :]

    def has_data(self) -> bool:
        """Whether bytes are left to read."""
        return self.tell() < len(self.getbuffer())


class _Unwritten:
    """Takes what cheroot would write itself; a worker never waits for a caller."""

    def write(self, data: bytes) -> None:
        """Drop the data."""


class _Ownership(enum.Enum):
    SERVER = enum.auto()
    LEAVING_WORKER = enum.auto()
    DETACHED = enum.auto()


class CallerConnection(HTTPConnection):
    """A connection that can be taken over from cheroot and given back.

    After `detach`, cheroot's worker lets go of the socket without closing it. Whoever
    took it over ends with `give_back` or `destroy`.

    Attributes
    ----------
    is_whole : bool
        Whether the buffer holds a whole request.
    """

    def __init__(self, server: Any, sock: socket.socket, makefile: Any = MakeFile):
        super().__init__(server, sock, makefile)
        self.rfile = RequestBuffer()
        self.wfile = _Unwritten()
        self.is_whole = False
        self._ownership = _Ownership.SERVER
        self._wanted_back = False
        self._lock = threading.Lock()

    def detach(self) -> None:
        """Take the connection over; called by the worker that parses a request."""
        with self._lock:
            self._ownership = _Ownership.LEAVING_WORKER
            self._wanted_back = False

    def give_back(self) -> None:
        """Let cheroot wait for the next request on this connection."""
        with self._lock:
            if self._ownership is _Ownership.LEAVING_WORKER:
                self._wanted_back = True
                return
            self._ownership = _Ownership.SERVER
        self._put()

    def destroy(self) -> None:
        """Close the socket, whoever has it."""
        with self._lock:
            leaving = self._ownership is _Ownership.LEAVING_WORKER
            self._ownership = _Ownership.DETACHED if leaving else _Ownership.SERVER
            self._wanted_back = False
        super().close()

    def close(self) -> None:
        """Close the socket unless it was taken over."""
        with self._lock:
            ownership = self._ownership
            wanted_back = self._wanted_back
            if ownership is _Ownership.LEAVING_WORKER:
                self._ownership = (
                    _Ownership.SERVER if wanted_back else _Ownership.DETACHED
                )
        if ownership is _Ownership.SERVER:
            super().close()
        elif ownership is _Ownership.LEAVING_WORKER and wanted_back:
            self._put()

    def _put(self) -> None:
        self.socket.settimeout(self.server.timeout)
        self.server.put_conn(self)
