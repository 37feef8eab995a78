"""Sends short responses to callers without blocking, however slowly they read."""

import selectors
import socket
import ssl
import time

import attrs

from citrondock_router.caller_connection import CallerConnection
from citrondock_router.selector_loop import SelectorLoop

_SEND_TIMEOUT_S = 5.0
_LINGER_TIMEOUT_S = 1.0
_SWEEP_PERIOD_S = 0.25
_RECEIVE_BYTES = 65_536
_WOULD_BLOCK = (BlockingIOError, ssl.SSLWantReadError, ssl.SSLWantWriteError)


@attrs.define(eq=False)
class _PendingResponse:
    connection: CallerConnection
    unsent: bytes
    keep_alive: bool
    deadline_s: float
    lingering: bool = False


class ResponseSender(SelectorLoop):
    """Sends responses in one thread, so that no worker waits for a caller's socket."""

    def __init__(self) -> None:
        super().__init__(name="answer-sender")
        self._responses: dict[int, _PendingResponse] = {}
        self._next_sweep_s = 0.0

    def send(
        self, connection: CallerConnection, data: bytes, *, keep_alive: bool
    ) -> None:
        """Send a response, then give the connection back or close it.

        What the socket accepts is sent immediately, the rest in this sender's thread.
        Before closing, received bytes are discarded for a short time: closing while the
        caller still sends would reset the connection, and the caller could lose the
        response.

        Parameters
        ----------
        connection : CallerConnection
            Detached connection.
        data : bytes
            Complete response.
        keep_alive : bool
            Whether to give the connection back for the next request.
        """
        deadline_s = time.monotonic() + _SEND_TIMEOUT_S
        pending = _PendingResponse(connection, data, keep_alive, deadline_s)
        connection.socket.setblocking(False)
        if not _send_available(pending):
            connection.destroy()
        elif pending.unsent or not (keep_alive or connection.request_complete):
            self.call_soon(lambda: self._start(pending))
        elif keep_alive:
            connection.give_back()
        else:
            connection.destroy()

    def on_event(self, key: selectors.SelectorKey, mask: int) -> None:
        """Send to one caller, or discard what it still sends."""
        if key.data.lingering:
            self._discard_received(key.data)
        else:
            self._write(key.data)

    def on_idle(self) -> None:
        """Close connections whose timeout has passed."""
        now_s = time.monotonic()
        if now_s < self._next_sweep_s:
            return
        self._next_sweep_s = now_s + _SWEEP_PERIOD_S
        expired = [r for r in self._responses.values() if r.deadline_s <= now_s]
        for pending in expired:
            self._close(pending)

    def on_stop(self) -> None:
        """Close the connections of all unfinished responses."""
        for pending in list(self._responses.values()):
            self._close(pending)

    def _start(self, pending: _PendingResponse) -> None:
        sock = pending.connection.socket
        if sock.fileno() < 0:
            return
        self._responses[sock.fileno()] = pending
        self.selector.register(sock, selectors.EVENT_WRITE, pending)
        self._write(pending)

    def _write(self, pending: _PendingResponse) -> None:
        if not _send_available(pending):
            self._close(pending)
        elif not pending.unsent:
            self._finish(pending)

    def _finish(self, pending: _PendingResponse) -> None:
        if pending.keep_alive:
            self._unregister(pending)
            pending.connection.give_back()
        else:
            self._linger(pending)

    def _linger(self, pending: _PendingResponse) -> None:
        sock = pending.connection.socket
        try:
            sock.shutdown(socket.SHUT_WR)
        except OSError:
            self._close(pending)
            return
        pending.lingering = True
        pending.deadline_s = time.monotonic() + _LINGER_TIMEOUT_S
        self.selector.modify(sock, selectors.EVENT_READ, pending)

    def _discard_received(self, pending: _PendingResponse) -> None:
        try:
            data = pending.connection.socket.recv(_RECEIVE_BYTES)
        except _WOULD_BLOCK:
            return
        except OSError:
            data = b""
        if not data:
            self._close(pending)

    def _unregister(self, pending: _PendingResponse) -> None:
        descriptor = pending.connection.socket.fileno()
        self.selector.unregister(descriptor)
        del self._responses[descriptor]

    def _close(self, pending: _PendingResponse) -> None:
        self._unregister(pending)
        pending.connection.destroy()


def _send_available(pending: _PendingResponse) -> bool:
    """Send what the socket accepts; return False if the connection failed."""
    try:
        while pending.unsent:
            sent_bytes = pending.connection.socket.send(pending.unsent)
            pending.unsent = pending.unsent[sent_bytes:]
    except _WOULD_BLOCK:
        return True
    except OSError:
        return False
    return True
