"""Collects whole requests from callers before a worker thread sees them.

A slow sender thus costs a bounded buffer and no thread.
"""

import selectors
import socket
import ssl
import time
from collections.abc import Callable

import attrs
import httptools

from citrondock_router.caller_connection import CallerConnection
from citrondock_router.selector_loop import SelectorLoop

_RECEIVE_BYTES = 65_536
_SWEEP_PERIOD_S = 0.25
_DISCARD_S = 1.0


@attrs.frozen(kw_only=True)
class GathererOptions:
    """Bounds on what callers may make the router hold.

    Parameters
    ----------
    max_head_bytes : int
        Longest request line and headers.
    max_body_bytes : int
        Longest body.
    max_total_bytes : int
        Most bytes of unfinished requests, over all callers.
    max_connections : int
        Most connections with an unfinished request.
    head_timeout_s : float
        Longest time from the first byte to the end of the headers.
    body_timeout_s : float
        Longest time from the end of the headers to the end of the body.
    idle_timeout_s : float
        Longest time without any byte of a request.
    """

    max_head_bytes: int = 32_768
    max_body_bytes: int = 8_000_000
    max_total_bytes: int = 64_000_000
    max_connections: int = 8_000
    head_timeout_s: float = 10.0
    body_timeout_s: float = 30.0
    idle_timeout_s: float = 30.0


class _MessageProbe:
    """Tells from the bytes so far whether a whole request is there."""

    def __init__(self) -> None:
        self.head_complete = False
        self.complete = False
        self.malformed = False
        self.expects_continue = False
        self.head: dict[str, str] = {}
        self._parser = httptools.HttpRequestParser(self)

    def feed(self, data: bytes) -> None:
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self.complete = True
        except httptools.HttpParserError:
            self.malformed = not self.complete

    def on_header(self, name: bytes, value: bytes) -> None:
        if self.head_complete:
            return
        key = name.decode("latin-1").lower()
        self.head[key] = value.decode("latin-1")

    def on_headers_complete(self) -> None:
        self.head_complete = True
        self.expects_continue = self.head.get("expect", "").lower() == "100-continue"

    def on_message_complete(self) -> None:
        self.complete = True


@attrs.define(eq=False)
class _Gathering:
    connection: CallerConnection
    probe: _MessageProbe
    deadline_s: float
    received_bytes: int = 0
    discarding: bool = False


class RequestGatherer(SelectorLoop):
    """Reads requests from all callers in one thread.

    Parameters
    ----------
    on_ready : callable
        Given a connection whose buffer holds a whole request, or enough of one to be
        refused.
    wants_body : callable
        Given the lower-case headers of a request, whether its body is worth reading.
    """

    def __init__(
        self,
        *,
        on_ready: Callable[[CallerConnection], None],
        wants_body: Callable[[dict[str, str]], bool],
        options: GathererOptions,
    ) -> None:
        super().__init__(name="request-gatherer")
        self._on_ready = on_ready
        self._wants_body = wants_body
        self._options = options
        self._gatherings: dict[int, _Gathering] = {}
        self._total_bytes = 0
        self._next_sweep_s = 0.0

    def add(self, connection: CallerConnection) -> None:
        """Gather the next request of a connection."""
        self.call_soon(lambda: self._start(connection))

    def discard(self, connection: CallerConnection) -> None:
        """Close a connection whose caller may still be sending.

        Closing at once would reset it, and could take the answer away from the caller.
        """
        self.call_soon(lambda: self._discard(connection))

    @property
    def connection_count(self) -> int:
        """Connections with an unfinished request."""
        return len(self._gatherings)

    def _start(self, connection: CallerConnection) -> None:
        if len(self._gatherings) >= self._options.max_connections:
            connection.close()
            return
        connection.socket.setblocking(False)
        deadline_s = time.monotonic() + self._options.idle_timeout_s
        gathering = _Gathering(connection, _MessageProbe(), deadline_s)
        unread = connection.rfile.unread()
        if unread:
            self._feed(gathering, unread)
        if self._is_ready(gathering):
            self._hand_over(gathering)
            return
        descriptor = connection.socket.fileno()
        if descriptor < 0:
            return
        self._gatherings[descriptor] = gathering
        self.selector.register(descriptor, selectors.EVENT_READ, gathering)
        self._receive(gathering)

    def on_event(self, key: selectors.SelectorKey, mask: int) -> None:
        """Read what a caller sent."""
        if key.data.discarding:
            self._read_away(key.data)
        else:
            self._receive(key.data)

    def on_idle(self) -> None:
        """Drop callers whose request did not end in time."""
        now_s = time.monotonic()
        if now_s < self._next_sweep_s:
            return
        self._next_sweep_s = now_s + _SWEEP_PERIOD_S
        late = [g for g in self._gatherings.values() if g.deadline_s <= now_s]
        for gathering in late:
            self._drop(gathering)

    def on_stop(self) -> None:
        """Close what is unfinished."""
        for gathering in list(self._gatherings.values()):
            self._drop(gathering)

    def _receive(self, gathering: _Gathering) -> None:
        while not self._is_ready(gathering):
            try:
                data = gathering.connection.socket.recv(_RECEIVE_BYTES)
            except (BlockingIOError, ssl.SSLWantReadError, ssl.SSLWantWriteError):
                return
            except OSError:
                data = b""
            if not data:
                self._drop(gathering)
                return
            if gathering.received_bytes == 0:
                gathering.deadline_s = time.monotonic() + self._options.head_timeout_s
            gathering.connection.rfile.feed(data)
            self._feed(gathering, data)
            if self._total_bytes > self._options.max_total_bytes:
                self._drop(gathering)
                return
        self._forget(gathering)
        self._hand_over(gathering)

    def _feed(self, gathering: _Gathering, data: bytes) -> None:
        gathering.received_bytes += len(data)
        self._total_bytes += len(data)
        probe = gathering.probe
        had_head = probe.head_complete
        probe.feed(data)
        if not probe.head_complete or had_head or probe.complete:
            return
        gathering.deadline_s = time.monotonic() + self._options.body_timeout_s
        if not self._wants_body(probe.head):
            probe.complete = True
        elif probe.expects_continue:
            _send_continue(gathering.connection.socket)

    def _is_ready(self, gathering: _Gathering) -> bool:
        probe = gathering.probe
        if probe.complete or probe.malformed:
            return True
        limit_bytes = self._options.max_head_bytes
        if probe.head_complete:
            limit_bytes += self._options.max_body_bytes
        return gathering.received_bytes > limit_bytes

    def _hand_over(self, gathering: _Gathering) -> None:
        self._total_bytes -= gathering.received_bytes
        connection = gathering.connection
        connection.malformed = gathering.probe.malformed
        connection.socket.settimeout(connection.server.timeout)
        self._on_ready(connection)

    def _discard(self, connection: CallerConnection) -> None:
        deadline_s = time.monotonic() + _DISCARD_S
        gathering = _Gathering(connection, _MessageProbe(), deadline_s, discarding=True)
        try:
            connection.socket.setblocking(False)
            connection.socket.shutdown(socket.SHUT_WR)
        except OSError:
            connection.destroy()
            return
        self._gatherings[connection.socket.fileno()] = gathering
        self.selector.register(connection.socket, selectors.EVENT_READ, gathering)

    def _read_away(self, gathering: _Gathering) -> None:
        try:
            data = gathering.connection.socket.recv(_RECEIVE_BYTES)
        except (BlockingIOError, ssl.SSLWantReadError, ssl.SSLWantWriteError):
            return
        except OSError:
            data = b""
        if not data:
            self._drop(gathering)

    def _forget(self, gathering: _Gathering) -> None:
        descriptor = gathering.connection.socket.fileno()
        self.selector.unregister(descriptor)
        del self._gatherings[descriptor]

    def _drop(self, gathering: _Gathering) -> None:
        self._forget(gathering)
        self._total_bytes -= gathering.received_bytes
        gathering.connection.destroy()


def _send_continue(sock: socket.socket) -> None:
    try:
        sock.send(b"HTTP/1.1 100 Continue\r\n\r\n")
    except OSError:
        return
