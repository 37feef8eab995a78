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
from citrondock_router.gateway.paced_input import PacedInput
from citrondock_router.gateway.peer_watch import PeerWatch, WatchedPeer
from citrondock_router.gateway.socket_options import enable_dead_peer_detection

MAX_OVERHEAD_BYTES = 262_144
"""Most bytes received in a row that are not passed on: heads, framing, and responses to
other requests. A target in trouble may send such bytes without end."""

MAX_HEADERS = 1024
"""Most headers of a response, and trailers; each takes far more memory than bytes."""

MAX_REFUSAL_BYTES = 65_536
"""Most bytes of a refusal's body that are read to use its connection again."""

_NO_BODY_STATUSES = frozenset({204, 304})
_INTERIM_STATUSES = range(100, 200)
_STATUSES = range(100, 600)


class ResponseFailure(enum.Enum):
    """Why a response ended before it was complete."""

    CLOSED = "closed"
    RESET = "reset"
    NOT_HTTP = "not_http"
    TOO_LONG = "too_long"


class ResponseListener(ABC):
    """Receives the parts of one response."""

    @abstractmethod
    def response_started(self, head: ResponseHead) -> bool:
        """Receive the head; return False if it responds to another request."""

    @abstractmethod
    def response_data(self, data: bytes) -> None:
        """Receive bytes of the body, without framing."""

    @abstractmethod
    def response_ended(self) -> None:
        """Handle the end of a complete response."""

    @abstractmethod
    def response_failed(self, cause: ResponseFailure) -> None:
        """Handle the end of an incomplete response."""


class TargetConnection(asyncio.Protocol, WatchedPeer):
    """Sends one request at a time and passes its response to a listener.

    Bytes that do not belong to the response are never passed on: a response to another
    request is skipped and extra bytes are dropped. The connection is not reused then.

    Parameters
    ----------
    on_idle : callable
        Called with the connection when it can take another request.
    on_lost : callable
        Called with the connection when it is closed.
    loop : asyncio.AbstractEventLoop
        Event loop of the gateway.
    watch : PeerWatch, optional
        Tells slow targets from those that are gone.
    """

    def __init__(
        self,
        on_idle: Callable[["TargetConnection"], None],
        on_lost: Callable[["TargetConnection"], None],
        loop: asyncio.AbstractEventLoop,
        watch: PeerWatch | None = None,
    ) -> None:
        self._on_idle = on_idle
        self._on_lost = on_lost
        self._loop = loop
        self._watch = watch or PeerWatch(loop)
        self._input = PacedInput(self._consume, loop)
        self._transport: asyncio.Transport | None = None
        self._listener: ResponseListener | None = None
        self._parser: httptools.HttpResponseParser | None = None
        self._headers: list[Header] = []
        self._body_pieces: list[bytes] = []
        self._reason = b""
        self._is_skipped = False
        self._is_interim = False
        self._is_close_delimited = False
        self._is_complete = False
        self._has_extra_bytes = False
        self._has_invalid_status = False
        self._overhead_bytes = 0
        self._is_head_request = False
        self._is_reusable = True
        self._has_received_eof = False
        # Requests that the target refused here; it may repeat such a refusal.
        self.refused_request_ids: set[str] = set()
        self.idle_timeout_s: float | None = None
        self.idle_since_s = 0.0

    @property
    def is_open(self) -> bool:
        """Whether the connection is open for writing."""
        return self._transport is not None and not self._transport.is_closing()

    @property
    def _has_unsent_bytes(self) -> bool:
        """Whether part of the request has not been written yet."""
        return bool(self._transport and self._transport.get_write_buffer_size())

    def send(self, data: bytes, listener: ResponseListener, *, is_head: bool) -> None:
        """Write a request.

        Parameters
        ----------
        data : bytes
            Head and body of the request.
        listener : ResponseListener
            Receives the response.
        is_head : bool
            Whether the request's method is HEAD, so that the response has no body.
        """
        assert self._transport is not None
        self._listener = listener
        self._is_head_request = is_head
        self._start_parser()
        self._transport.write(data)
        self._watch.written(self)

    def pass_to(self, listener: ResponseListener) -> None:
        """Pass the rest of the response that is being received to another listener."""
        self._listener = listener

    def abort(self) -> None:
        """Close the connection at once, without a call of the listener."""
        self._listener = None
        self._is_reusable = False
        if self._transport is not None:
            self._transport.abort()

    def pause(self) -> None:
        """Stop reading from the target."""
        self._input.pause()

    def resume(self) -> None:
        """Continue to read from the target."""
        self._input.resume()

    @override
    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        # Other event loops, such as uvloop, have transport classes of their own.
        self._transport = cast(asyncio.Transport, transport)
        self._input.attach(self._transport)
        if self.tcp_socket is not None:
            enable_dead_peer_detection(self.tcp_socket)

    @override
    def pause_writing(self) -> None:
        self._watch.tolerate(self)

    @override
    @property
    def tcp_socket(self) -> socket.socket | None:
        if self._transport is None:
            return None
        sock: socket.socket | None = self._transport.get_extra_info("socket")
        return sock if sock is not None and sock.family == socket.AF_INET else None

    @override
    @property
    def buffered_bytes(self) -> int:
        return self._transport.get_write_buffer_size() if self._transport else 0

    @override
    def peer_is_gone(self) -> None:
        self._fail(ResponseFailure.RESET)

    @override
    def data_received(self, data: bytes) -> None:
        self._input.feed(data)

    def _consume(self, data: bytes) -> None:
        if self._listener is None or self._parser is None:
            self._is_reusable = False
            self._close()
            return
        is_malformed = False
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserCallbackError:
            raise
        except httptools.HttpParserError:
            is_malformed = True
        if len(self._headers) > MAX_HEADERS:
            self._fail(ResponseFailure.TOO_LONG)
            return
        self._pass_body_on()
        if self._has_invalid_status or (is_malformed and not self._is_complete):
            self._fail(ResponseFailure.NOT_HTTP)
            return
        self._has_extra_bytes |= is_malformed
        self._overhead_bytes += len(data)
        if self._is_complete:
            self._finish_response()
        elif self._overhead_bytes > MAX_OVERHEAD_BYTES:
            self._fail(ResponseFailure.TOO_LONG)

    @override
    def eof_received(self) -> bool:
        self._has_received_eof = True
        self._consume_rest()
        if self._listener is not None and self._is_close_delimited:
            self._is_reusable = False
            if self._is_skipped:
                # The response to another request ended; there is none to this one.
                self._fail(ResponseFailure.CLOSED)
            elif self._has_unsent_bytes:
                # A reset can look like an end once a write has met it.
                self._fail(ResponseFailure.RESET)
            else:
                self._finish_response()
        return False

    @override
    def connection_lost(self, exc: Exception | None) -> None:
        self._consume_rest()
        is_clean_close = exc is None and self._has_received_eof
        self._fail(ResponseFailure.CLOSED if is_clean_close else ResponseFailure.RESET)
        self._transport = None
        self._watch.closed(self)
        self._on_lost(self)

    # Callbacks of `httptools.HttpResponseParser`.

    def on_message_begin(self) -> None:
        """Start a response; one after a complete response counts as extra bytes."""
        if self._is_complete:
            self._has_extra_bytes = True
        self._headers = []
        self._reason = b""

    def on_status(self, reason: bytes) -> None:
        """Add part of the reason phrase."""
        self._reason += reason

    def on_header(self, name: bytes, value: bytes) -> None:
        """Add a header."""
        if len(self._headers) <= MAX_HEADERS:
            self._headers.append((name, value))

    def on_headers_complete(self) -> None:
        """Pass the head on, unless it is of an interim response."""
        if self._is_complete or self._listener is None or self._parser is None:
            return
        status = self._parser.get_status_code()
        if status not in _STATUSES:
            self._has_invalid_status = self._is_skipped = True
            return
        self._is_interim = status in _INTERIM_STATUSES
        if self._is_interim:
            return
        self._read_connection_headers(status)
        head = ResponseHead(status=status, reason=self._reason, headers=self._headers)
        if self._has_unsent_bytes:
            # The target responded before it had read the complete request.
            self._is_reusable = False
        self._is_skipped = not self._listener.response_started(head)
        if self._is_head_request and self._listener is not None:
            self._is_reusable = False
            self._is_complete = True

    def on_body(self, data: bytes) -> None:
        """Collect part of the body, unless the response is skipped."""
        if not (self._is_complete or self._is_skipped):
            self._body_pieces.append(data)

    def on_message_complete(self) -> None:
        """Finish the response, or skip it if it is of another request."""
        if self._is_interim or self._is_complete:
            return
        if self._is_skipped:
            self._is_skipped = False
            self._is_reusable = False
            return
        self._is_complete = True

    def _consume_rest(self) -> None:
        while self._listener is not None and self._input.has_backlog:
            self._input.consume_slice()
        self._input.discard()

    def _pass_body_on(self) -> None:
        """Pass all that a slice brought of the body on at once.

        A target may send chunks of one byte, and each call of the listener is costly.
        """
        if self._body_pieces:
            pieces, self._body_pieces = self._body_pieces, []
            self._overhead_bytes = 0
            if self._listener is not None:
                self._listener.response_data(b"".join(pieces))

    def _start_parser(self) -> None:
        self._body_pieces = []
        self._parser = httptools.HttpResponseParser(self)
        self._is_skipped = self._is_interim = False
        self._is_close_delimited = False
        self._is_complete = self._has_extra_bytes = False
        self._has_invalid_status = False
        self._overhead_bytes = 0

    def _read_connection_headers(self, status: int) -> None:
        is_framed = status in _NO_BODY_STATUSES or self._is_head_request
        for name, value in self._headers:
            lowered = name.lower()
            if lowered in (b"content-length", b"transfer-encoding"):
                is_framed = True
            elif lowered == b"connection" and b"close" in value.lower():
                self._is_reusable = False
            elif lowered == b"keep-alive":
                self.idle_timeout_s = _parse_keep_alive_timeout_s(value)
        self._is_close_delimited = not is_framed

    def _finish_response(self) -> None:
        listener, self._listener = self._listener, None
        if self._has_extra_bytes or self._input.has_backlog:
            self._is_reusable = False
        can_reuse = self._is_reusable and self.is_open
        if can_reuse:
            self.resume()
            self.idle_since_s = self._loop.time()
            self._on_idle(self)
        else:
            self._close()
        if listener is not None:
            listener.response_ended()

    def _fail(self, cause: ResponseFailure) -> None:
        listener, self._listener = self._listener, None
        self._is_reusable = False
        self._close()
        if listener is not None:
            listener.response_failed(cause)

    def _close(self) -> None:
        if self._transport is not None:
            self._transport.abort()


def _parse_keep_alive_timeout_s(header_value: bytes) -> float | None:
    for part in header_value.split(b","):
        name, _, value = part.strip().partition(b"=")
        if name.strip().lower() == b"timeout" and value.strip().isdigit():
            return float(value)
    return None
