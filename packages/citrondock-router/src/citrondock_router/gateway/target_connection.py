"""One HTTP/1.1 connection to a target."""

import asyncio
import enum
import socket
from abc import ABC, abstractmethod
from collections.abc import Callable
from typing import cast

import httptools
from typing_extensions import override

from citrondock_router.gateway.header_codec import Header, ResponseHead
from citrondock_router.gateway.socket_options import enable_dead_peer_detection

_NO_BODY_STATUSES = frozenset({204, 304})
_CONTINUE_STATUSES = range(100, 200)


class ResponseFailure(enum.Enum):
    """Why an answer did not come to its end."""

    CLOSED = "closed"
    RESET = "reset"
    NOT_HTTP = "not_http"


class ResponseListener(ABC):
    """Whoever waits for an answer."""

    @abstractmethod
    def response_started(self, head: ResponseHead) -> bool:
        """Take the head; return False if the answer belongs to another request."""

    @abstractmethod
    def response_data(self, data: bytes) -> None:
        """Take bytes of the body, framing removed."""

    @abstractmethod
    def response_ended(self) -> None:
        """Note that the answer is whole."""

    @abstractmethod
    def response_failed(self, cause: ResponseFailure) -> None:
        """Note that nothing more will come."""


class TargetConnection(asyncio.Protocol):
    """Sends one request at a time and keeps its answer apart from any other bytes.

    Parameters
    ----------
    on_free : callable
        Called with the connection when it can take another request.
    on_lost : callable
        Called with the connection when it is gone.
    clock : callable
        Monotonic time in seconds.
    """

    def __init__(
        self,
        on_free: Callable[["TargetConnection"], None],
        on_lost: Callable[["TargetConnection"], None],
        clock: Callable[[], float],
    ) -> None:
        self._on_free = on_free
        self._on_lost = on_lost
        self._clock = clock
        self._transport: asyncio.Transport | None = None
        self._listener: ResponseListener | None = None
        self._parser: httptools.HttpResponseParser | None = None
        self._headers: list[Header] = []
        self._reason = b""
        self._is_foreign = False
        self._is_interim = False
        self._ends_with_connection = False
        self._is_complete = False
        self._has_surplus = False
        self._is_head_request = False
        self._reusable = True
        self._had_eof = False
        self.idle_timeout_s: float | None = None
        self.idle_since_s = 0.0

    @property
    def is_open(self) -> bool:
        """Whether a request can be written."""
        return self._transport is not None and not self._transport.is_closing()

    def send(self, data: bytes, listener: ResponseListener, *, is_head: bool) -> None:
        """Write a request; its answer goes to ``listener``."""
        assert self._transport is not None
        self._listener = listener
        self._is_head_request = is_head
        self._start_parser()
        self._transport.write(data)

    def abort(self) -> None:
        """Close at once; nothing more is told to the listener."""
        self._listener = None
        self._reusable = False
        if self._transport is not None:
            self._transport.abort()

    def pause(self) -> None:
        """Read no more for now."""
        if self._transport is not None and self._transport.is_reading():
            self._transport.pause_reading()

    def resume(self) -> None:
        """Read on."""
        if self._transport is not None and not self._transport.is_reading():
            self._transport.resume_reading()

    @override
    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        # Loops of other libraries have transports of their own types.
        self._transport = cast(asyncio.Transport, transport)
        sock = transport.get_extra_info("socket")
        if sock is not None and sock.family == socket.AF_INET:
            enable_dead_peer_detection(sock)

    @override
    def data_received(self, data: bytes) -> None:
        if self._listener is None or self._parser is None:
            self._reusable = False
            self._close()
            return
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserCallbackError:
            raise
        except httptools.HttpParserError:
            if not self._is_complete:
                self._break(ResponseFailure.NOT_HTTP)
                return
            self._has_surplus = True
        if self._is_complete:
            self._finish()

    @override
    def eof_received(self) -> bool:
        self._had_eof = True
        if self._listener is not None and self._ends_with_connection:
            self._reusable = False
            self._finish()
        return False

    @override
    def connection_lost(self, exc: Exception | None) -> None:
        clean = exc is None and self._had_eof
        self._break(ResponseFailure.CLOSED if clean else ResponseFailure.RESET)
        self._transport = None
        self._on_lost(self)

    # Callbacks of the parser.

    def on_message_begin(self) -> None:
        """Start a message."""
        if self._is_complete:
            self._has_surplus = True
        self._headers = []
        self._reason = b""

    def on_status(self, reason: bytes) -> None:
        """Take the reason phrase."""
        self._reason += reason

    def on_header(self, name: bytes, value: bytes) -> None:
        """Take a header."""
        self._headers.append((name, value))

    def on_headers_complete(self) -> None:
        """Take the end of the head."""
        if self._is_complete or self._listener is None or self._parser is None:
            return
        status = self._parser.get_status_code()
        self._is_interim = status in _CONTINUE_STATUSES
        if self._is_interim:
            return
        self._read_connection_headers(status)
        head = ResponseHead(status=status, reason=self._reason, headers=self._headers)
        if self._transport is not None and self._transport.get_write_buffer_size():
            # The target answered before it read the whole request.
            self._reusable = False
        self._is_foreign = not self._listener.response_started(head)
        if self._is_head_request and self._listener is not None:
            self._reusable = False
            self._is_complete = True

    def on_body(self, data: bytes) -> None:
        """Take part of the body."""
        if self._listener is not None and not (self._is_complete or self._is_foreign):
            self._listener.response_data(data)

    def on_message_complete(self) -> None:
        """Take the end of the message."""
        if self._is_interim or self._is_complete:
            return
        if self._is_foreign:
            self._is_foreign = False
            self._reusable = False
            return
        self._is_complete = True

    def _start_parser(self) -> None:
        self._parser = httptools.HttpResponseParser(self)
        self._is_foreign = self._is_interim = False
        self._ends_with_connection = False
        self._is_complete = self._has_surplus = False

    def _read_connection_headers(self, status: int) -> None:
        is_framed = status in _NO_BODY_STATUSES or self._is_head_request
        for name, value in self._headers:
            lowered = name.lower()
            if lowered in (b"content-length", b"transfer-encoding"):
                is_framed = True
            elif lowered == b"connection" and b"close" in value.lower():
                self._reusable = False
            elif lowered == b"keep-alive":
                self.idle_timeout_s = _timeout_of(value)
        self._ends_with_connection = not is_framed

    def _finish(self) -> None:
        listener, self._listener = self._listener, None
        if self._has_surplus:
            self._reusable = False
        free = self._reusable and self.is_open
        if free:
            self.resume()
            self.idle_since_s = self._clock()
            self._on_free(self)
        else:
            self._close()
        if listener is not None:
            listener.response_ended()

    def _break(self, cause: ResponseFailure) -> None:
        listener, self._listener = self._listener, None
        self._reusable = False
        self._close()
        if listener is not None:
            listener.response_failed(cause)

    def _close(self) -> None:
        if self._transport is not None:
            self._transport.abort()


def _timeout_of(keep_alive: bytes) -> float | None:
    for part in keep_alive.split(b","):
        name, _, value = part.strip().partition(b"=")
        if name.strip().lower() == b"timeout" and value.strip().isdigit():
            return float(value)
    return None
