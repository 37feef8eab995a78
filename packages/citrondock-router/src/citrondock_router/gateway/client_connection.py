"""One HTTP/1.1 connection from a client."""

import asyncio
from abc import ABC, abstractmethod
from collections import deque
from collections.abc import Sequence
from http import HTTPStatus
from typing import cast

import attrs
import httptools
from typing_extensions import override

from citrondock_core.routing.route import ClientLimits
from citrondock_router.gateway.header_codec import Header, RequestHead
from citrondock_router.gateway.socket_options import (
    enable_dead_peer_detection,
    reset_on_close,
)

LINGER_S = 1.0
"""Time for which bytes of a refused request are read and dropped, so that closing does
not reset the connection before the client has the answer."""

MAX_PIPELINED = 16
"""Requests that may wait behind one that runs on the same connection."""

MAX_UNREAD_ANSWER_BYTES = 262_144
"""Bytes of answers that wait for a slow client before the target is read no more."""


@attrs.frozen(kw_only=True)
class ClientRequest:
    """A whole request."""

    head: RequestHead
    body: bytes


class RequestInProgress(ABC):
    """Whatever answers a request."""

    @abstractmethod
    def client_disconnected(self) -> None:
        """Note that the client closed its connection."""

    @abstractmethod
    def set_client_slow(self, slow: bool) -> None:
        """Note whether the client reads more slowly than it is written to."""


class RequestHandler(ABC):
    """Whoever takes requests in."""

    @property
    @abstractmethod
    def limits(self) -> ClientLimits:
        """Limits in force."""

    @property
    @abstractmethod
    def is_draining(self) -> bool:
        """Whether clients should open no more requests here."""

    @abstractmethod
    def handle(
        self, request: ClientRequest, client: "ClientConnection"
    ) -> RequestInProgress | None:
        """Answer a request; return None if that is done already."""

    @abstractmethod
    def connected(self, client: "ClientConnection") -> None:
        """Note a new connection."""

    @abstractmethod
    def disconnected(self, client: "ClientConnection") -> None:
        """Note that a connection is gone."""

    @abstractmethod
    def rejected(self, status: int, reason: str) -> None:
        """Note bytes that are no request within the limits."""


class ClientConnection(asyncio.Protocol):
    """Reads requests, hands them over one at a time and writes their answers.

    Parameters
    ----------
    handler : RequestHandler
        Takes the requests.
    loop : asyncio.AbstractEventLoop
        Loop that everything runs on.
    """

    def __init__(
        self, handler: RequestHandler, loop: asyncio.AbstractEventLoop
    ) -> None:
        self._handler = handler
        self._loop = loop
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpRequestParser(self)
        self._waiting: deque[tuple[ClientRequest, bool, bool]] = deque()
        self._current: RequestInProgress | None = None
        self._is_busy = False
        self._is_discarding = False
        self._pending_error: tuple[int, str] | None = None
        self._url = b""
        self._headers: list[Header] = []
        self._header_bytes = 0
        self._body: list[bytes] = []
        self._body_bytes = 0
        self._in_head = False
        self._in_message = False
        self._keeps_alive = True
        self._current_keeps_alive = True
        self._current_speaks_1_1 = True
        self._is_chunked = False
        self._speaks_1_1 = True
        self.head_began_at_s = 0.0
        self.idle_since_s = loop.time()

    @property
    def is_idle(self) -> bool:
        """Whether no request is being read or answered."""
        return not (self._is_busy or self._in_message or self._waiting)

    @property
    def is_reading_head(self) -> bool:
        """Whether part of a head has come."""
        return self._in_head

    @property
    def _is_head_too_large(self) -> bool:
        return self._header_bytes > self._handler.limits.max_header_bytes

    @property
    def _is_body_too_large(self) -> bool:
        return self._body_bytes > self._handler.limits.max_body_bytes

    @override
    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        # Loops of other libraries have transports of their own types.
        self._transport = cast(asyncio.Transport, transport)
        self._transport.set_write_buffer_limits(high=MAX_UNREAD_ANSWER_BYTES)
        enable_dead_peer_detection(transport.get_extra_info("socket"))
        self._handler.connected(self)

    @override
    def connection_lost(self, exc: Exception | None) -> None:
        self._transport = None
        self._waiting.clear()
        current, self._current = self._current, None
        if current is not None:
            current.client_disconnected()
        self._handler.disconnected(self)

    @override
    def pause_writing(self) -> None:
        if self._current is not None:
            self._current.set_client_slow(True)

    @override
    def resume_writing(self) -> None:
        if self._current is not None:
            self._current.set_client_slow(False)

    @override
    def data_received(self, data: bytes) -> None:
        if self._is_discarding:
            return
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserCallbackError:
            raise
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self._reject(HTTPStatus.BAD_REQUEST, "malformed_request")
            return
        if self._in_head:
            self._header_bytes += len(data)
        self._next()
        if self._is_head_too_large:
            self._reject(HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE, "head_too_large")
        elif self._is_body_too_large:
            self._reject(HTTPStatus.REQUEST_ENTITY_TOO_LARGE, "body_too_large")
        elif len(self._waiting) > MAX_PIPELINED:
            self.close_at_once()

    # Callbacks of the parser.

    def on_message_begin(self) -> None:
        """Start a message."""
        self._url = b""
        self._headers = []
        self._header_bytes = 0
        self._body = []
        self._body_bytes = 0
        self._in_head = self._in_message = True
        self.head_began_at_s = self._loop.time()

    def on_url(self, url: bytes) -> None:
        """Take part of the target."""
        self._url += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Take a header."""
        self._headers.append((name, value))

    def on_headers_complete(self) -> None:
        """Take the end of the head."""
        self._in_head = False
        self._header_bytes = len(self._url) + sum(
            len(name) + len(value) + 4 for name, value in self._headers
        )
        self._keeps_alive = self._parser.should_keep_alive()
        self._speaks_1_1 = self._parser.get_http_version() == "1.1"
        if not self._is_busy and any(
            name.lower() == b"expect" for name, _ in self._headers
        ):
            self._write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def on_body(self, data: bytes) -> None:
        """Take part of the body."""
        self._body_bytes += len(data)
        if not self._is_body_too_large:
            self._body.append(data)

    def on_message_complete(self) -> None:
        """Take the end of the message."""
        self._in_message = False
        if self._is_discarding or self._is_head_too_large or self._is_body_too_large:
            return
        head = RequestHead(
            method=self._parser.get_method(), target=self._url, headers=self._headers
        )
        request = ClientRequest(head=head, body=b"".join(self._body))
        self._body = []
        self._waiting.append((request, self._keeps_alive, self._speaks_1_1))

    # Answers.

    def send_response(
        self,
        status: int,
        reason: bytes,
        headers: Sequence[Header],
        body: bytes,
        *,
        announced_bytes: int | None = None,
    ) -> None:
        """Write a whole answer.

        Parameters
        ----------
        status, reason, headers, body
            The answer, headers about framing left out.
        announced_bytes : int or None
            Length that is announced in place of the body's, where there is none.
        """
        size = len(body) if announced_bytes is None else announced_bytes
        length = (b"Content-Length", b"%d" % size)
        lines = _head_bytes(status, reason, [*headers, length, *self._ending()])
        self._write(lines + body)
        self._finished()

    def begin_stream(
        self, status: int, reason: bytes, headers: Sequence[Header], data: bytes
    ) -> None:
        """Write the head of an answer without a known length, and its first bytes."""
        self._is_chunked = self._current_speaks_1_1
        if not self._is_chunked:
            self._current_keeps_alive = False
        framing = [(b"Transfer-Encoding", b"chunked")] if self._is_chunked else []
        lines = _head_bytes(status, reason, [*headers, *framing, *self._ending()])
        self._write(lines + self._framed(data))

    def write_data(self, data: bytes) -> None:
        """Write more of an answer."""
        self._write(self._framed(data))

    def end_stream(self) -> None:
        """Mark the end of an answer."""
        if self._is_chunked:
            self._write(b"0\r\n\r\n")
        self._finished()

    def abort_response(self) -> None:
        """End an answer so that it cannot be taken for a whole one."""
        self._current = None
        if self._transport is not None and not self._is_chunked:
            # An answer without chunks would look whole after an ordinary close.
            reset_on_close(self._transport.get_extra_info("socket"))
        self.close_at_once()

    def close_at_once(self) -> None:
        """Close without waiting for anything."""
        self._is_discarding = True
        if self._transport is not None:
            self._transport.abort()

    def close_when_written(self) -> None:
        """Close after everything was written, without a reset."""
        self._is_discarding = True
        transport = self._transport
        if transport is None or transport.is_closing():
            return
        if transport.can_write_eof():
            transport.write_eof()
        self._loop.call_later(LINGER_S, transport.close)

    def refuse_slow_head(self) -> None:
        """End a request whose head took too long."""
        self._reject(HTTPStatus.REQUEST_TIMEOUT, "head_timed_out")

    def _next(self) -> None:
        while self._waiting and not self._is_busy and self._transport is not None:
            request, keeps_alive, speaks_1_1 = self._waiting.popleft()
            self._is_busy = True
            self._current_keeps_alive = keeps_alive
            self._current_speaks_1_1 = speaks_1_1
            self._current = self._handler.handle(request, self)
            if not self._is_busy:
                self._current = None

    def _finished(self) -> None:
        self._current = None
        self._is_busy = False
        self.idle_since_s = self._loop.time()
        if not self._current_keeps_alive or self._handler.is_draining:
            self.close_when_written()
        elif self._pending_error is not None:
            self._reject(*self._pending_error)
        elif self._waiting:
            self._loop.call_soon(self._next)

    def _reject(self, status: int, reason: str) -> None:
        if self._is_busy:
            self._pending_error = (status, reason)
            self._is_discarding = True
            return
        self._handler.rejected(status, reason)
        headers = [(b"Content-Length", b"0"), (b"Connection", b"close")]
        phrase = HTTPStatus(status).phrase.encode()
        self._write(_head_bytes(status, phrase, headers))
        self.close_when_written()

    def _ending(self) -> list[Header]:
        if self._current_keeps_alive and not self._handler.is_draining:
            return []
        self._current_keeps_alive = False
        return [(b"Connection", b"close")]

    def _framed(self, data: bytes) -> bytes:
        if self._is_chunked and data:
            return b"%x\r\n%b\r\n" % (len(data), data)
        return data

    def _write(self, data: bytes) -> None:
        if self._transport is not None and not self._transport.is_closing():
            self._transport.write(data)


def _head_bytes(status: int, reason: bytes, headers: Sequence[Header]) -> bytes:
    lines = [b"HTTP/1.1 %d %b" % (status, reason)]
    lines += [b"%b: %b" % header for header in headers]
    return b"\r\n".join(lines) + b"\r\n\r\n"
