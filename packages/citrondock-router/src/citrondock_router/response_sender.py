"""Sends short answers to callers, however slowly they read."""

import selectors
import socket
import ssl
import time

import attrs

from citrondock_router.caller_connection import CallerConnection
from citrondock_router.selector_loop import SelectorLoop

_SEND_S = 5.0
_LINGER_S = 1.0
_SWEEP_PERIOD_S = 0.25
_RECEIVE_BYTES = 65_536
_WAITS = (BlockingIOError, ssl.SSLWantReadError, ssl.SSLWantWriteError)


@attrs.define(eq=False)
class _Sending:
    connection: CallerConnection
    unsent: bytes
    keep_alive: bool
    deadline_s: float
    lingering: bool = False


class ResponseSender(SelectorLoop):
    """Sends refusals in one thread, so that no worker waits for a caller's socket."""

    def __init__(self) -> None:
        super().__init__(name="answer-sender")
        self._sendings: dict[int, _Sending] = {}
        self._next_sweep_s = 0.0

    def send(
        self, connection: CallerConnection, data: bytes, *, keep_alive: bool
    ) -> None:
        """Send an answer, then give the connection back or close it.

        Sends at once what the socket takes, and the rest in the own thread. Closing
        waits a moment for callers that still send: closing at once would reset
        the connection, and could take the answer away from the caller.
        """
        deadline_s = time.monotonic() + _SEND_S
        sending = _Sending(connection, data, keep_alive, deadline_s)
        connection.socket.setblocking(False)
        if not _send_some(sending):
            connection.destroy()
        elif sending.unsent or not (keep_alive or connection.is_whole):
            self.call_soon(lambda: self._start(sending))
        elif keep_alive:
            connection.give_back()
        else:
            connection.destroy()

    def on_event(self, key: selectors.SelectorKey, mask: int) -> None:
        """Go on with one caller."""
        if key.data.lingering:
            self._read_away(key.data)
        else:
            self._write(key.data)

    def on_idle(self) -> None:
        """Close what took too long."""
        now_s = time.monotonic()
        if now_s < self._next_sweep_s:
            return
        self._next_sweep_s = now_s + _SWEEP_PERIOD_S
        late = [s for s in self._sendings.values() if s.deadline_s <= now_s]
        for sending in late:
            self._close(sending)

    def on_stop(self) -> None:
        """Close what is unfinished."""
        for sending in list(self._sendings.values()):
            self._close(sending)

    def _start(self, sending: _Sending) -> None:
        sock = sending.connection.socket
        if sock.fileno() < 0:
            return
        self._sendings[sock.fileno()] = sending
        self.selector.register(sock, selectors.EVENT_WRITE, sending)
        self._write(sending)

    def _write(self, sending: _Sending) -> None:
        if not _send_some(sending):
            self._close(sending)
        elif not sending.unsent:
            self._finish(sending)

    def _finish(self, sending: _Sending) -> None:
        if sending.keep_alive:
            self._forget(sending)
            sending.connection.give_back()
        else:
            self._linger(sending)

    def _linger(self, sending: _Sending) -> None:
        sock = sending.connection.socket
        try:
            sock.shutdown(socket.SHUT_WR)
        except OSError:
            self._close(sending)
            return
        sending.lingering = True
        sending.deadline_s = time.monotonic() + _LINGER_S
        self.selector.modify(sock, selectors.EVENT_READ, sending)

    def _read_away(self, sending: _Sending) -> None:
        try:
            data = sending.connection.socket.recv(_RECEIVE_BYTES)
        except _WAITS:
            return
        except OSError:
            data = b""
        if not data:
            self._close(sending)

    def _forget(self, sending: _Sending) -> None:
        descriptor = sending.connection.socket.fileno()
        self.selector.unregister(descriptor)
        del self._sendings[descriptor]

    def _close(self, sending: _Sending) -> None:
        self._forget(sending)
        sending.connection.destroy()


def _send_some(sending: _Sending) -> bool:
    """Send what the socket takes; whether the connection still stands."""
    try:
        while sending.unsent:
            sent_bytes = sending.connection.socket.send(sending.unsent)
            sending.unsent = sending.unsent[sent_bytes:]
    except _WAITS:
        return True
    except OSError:
        return False
    return True
