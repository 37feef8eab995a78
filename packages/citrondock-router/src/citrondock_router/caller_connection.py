"""Caller connections that stay open when cheroot's worker is done with a request."""

import enum
import io
import socket
import threading
from typing import Any

from cheroot.makefile import MakeFile
from cheroot.server import HTTPConnection


class RequestBuffer(io.BytesIO):
    """Bytes received from a caller, which cheroot reads without blocking."""

    def feed(self, data: bytes) -> None:
        """Append received bytes after those not read yet."""
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


class _DiscardingWriter:
    """Discards what cheroot writes itself, so that no worker waits for a caller."""

    def write(self, data: bytes) -> None:
        """Discard the data."""


class _Ownership(enum.Enum):
    """Who may close the socket.

    Attributes
    ----------
    SERVER
        cheroot.
    LEAVING_WORKER
        Whoever detached the connection; cheroot's worker has yet to release it.
    DETACHED
        Whoever detached the connection; the worker has released it.
    """

    SERVER = enum.auto()
    LEAVING_WORKER = enum.auto()
    DETACHED = enum.auto()


class CallerConnection(HTTPConnection):
    """A connection that can be taken over from cheroot and given back.

    After `detach`, cheroot's worker releases the socket without closing it. The new
    owner must call `give_back` or `destroy` in the end.

    Attributes
    ----------
    request_complete : bool
        Whether the buffer holds a complete request.
    """

    def __init__(self, server: Any, sock: socket.socket, makefile: Any = MakeFile):
        super().__init__(server, sock, makefile)
        self.rfile = RequestBuffer()
        self.wfile = _DiscardingWriter()
        self.request_complete = False
        self._ownership = _Ownership.SERVER
        self._give_back_requested = False
        self._lock = threading.Lock()

    def detach(self) -> None:
        """Take the connection over from cheroot; called by the parsing worker."""
        with self._lock:
            self._ownership = _Ownership.LEAVING_WORKER
            self._give_back_requested = False

    def give_back(self) -> None:
        """Return the connection to cheroot, to wait for the next request."""
        with self._lock:
            if self._ownership is _Ownership.LEAVING_WORKER:
                self._give_back_requested = True
                return
            self._ownership = _Ownership.SERVER
        self._return_to_server()

    def destroy(self) -> None:
        """Close the socket, whoever owns it."""
        with self._lock:
            leaving = self._ownership is _Ownership.LEAVING_WORKER
            self._ownership = _Ownership.DETACHED if leaving else _Ownership.SERVER
            self._give_back_requested = False
        super().close()

    def close(self) -> None:
        """Close the socket unless it was taken over; called by cheroot."""
        with self._lock:
            ownership = self._ownership
            give_back_requested = self._give_back_requested
            if ownership is _Ownership.LEAVING_WORKER:
                self._ownership = (
                    _Ownership.SERVER if give_back_requested else _Ownership.DETACHED
                )
        if ownership is _Ownership.SERVER:
            super().close()
        elif ownership is _Ownership.LEAVING_WORKER and give_back_requested:
            self._return_to_server()

    def _return_to_server(self) -> None:
        self.socket.settimeout(self.server.timeout)
        self.server.put_conn(self)
