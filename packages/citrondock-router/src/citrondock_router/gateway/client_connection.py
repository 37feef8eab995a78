"""One HTTP/1.1 connection from a client."""

import asyncio
import socket
from collections import deque
from collections.abc import Sequence
from http import HTTPStatus
from typing import cast

from typing_extensions import override

from citrondock_core.routing.memory_budget import MemoryBudget, MemoryHolder
from citrondock_router.gateway.header_codec import Header
from citrondock_router.gateway.paced_input import PacedInput, TurnQueue
from citrondock_router.gateway.peer_watch import PeerWatch, WatchedPeer
from citrondock_router.gateway.request_handler import RequestHandler, RequestInProgress
from citrondock_router.gateway.request_reader import (
    ReceivedRequest,
    Rejection,
    RequestReader,
)
from citrondock_router.gateway.socket_options import (
    enable_dead_peer_detection,
    has_peer_closed,
    has_unread_data,
    reset_on_close,
)
from citrondock_router.log import log_event

LINGER_S = 1.0
"""Time for which bytes of a refused request are still read and dropped. Closing at once
would reset the connection before the client has received the response."""

MAX_PIPELINED_REQUESTS = 16
"""Requests behind a running one on the same connection above which no more is read."""

MAX_WRITE_BUFFER_BYTES = 262_144
"""Response bytes that may wait for a slow client before the gateway stops reading from
the target."""

UNDELIVERED_LOG_S = 1.0
"""A connection that ends after bytes were undelivered for this time is logged."""

RETRY_WITHOUT_MEMORY_S = 0.5
"""Retry-After of a request for which there is no memory; another router may have it."""


class ClientConnection(asyncio.Protocol, MemoryHolder, WatchedPeer):
    """Passes requests on one at a time and writes their responses.

    Parameters
    ----------
    handler : RequestHandler
        Handles the requests.
    loop : asyncio.AbstractEventLoop
        Event loop of the gateway.
    memory : MemoryBudget
        Is told what the connection holds, and may release it.
    turns : TurnQueue, optional
        Shares out the turns in which connections are read.
    watch : PeerWatch, optional
        Tells slow clients from those that are gone.
    """

    def __init__(
        self,
        handler: RequestHandler,
        loop: asyncio.AbstractEventLoop,
        memory: MemoryBudget,
        turns: TurnQueue | None = None,
        watch: PeerWatch | None = None,
    ) -> None:
        self._handler = handler
        self._loop = loop
        self._memory = memory
        self._watch = watch or PeerWatch(loop)
        self._transport: asyncio.Transport | None = None
        self._reader = RequestReader(
            handler,
            loop.time,
            on_request=self._queue_request,
            on_expect=self._send_continue,
        )
        self._input = PacedInput(self._consume, loop, turns=turns)
        self._waiting: deque[ReceivedRequest] = deque()
        self._waiting_bytes = self._current_bytes = 0
        # What the memory budget was last told.
        self._told_bytes = (0, 0)
        self._owner: str | None = None
        self._peer_host = ""
        self._progressed_at_s = 0.0
        self._current: RequestInProgress | None = None
        self._is_busy = False
        self._is_slow = False
        self._is_discarding = False
        self._close_reason = ""
        self._pending_rejection: Rejection | None = None
        self._current_keeps_alive = True
        self._current_is_http_1_1 = True
        self._is_chunked = False
        self.idle_since_s = self.kept_until_s = 0.0
        self._begin_idle()

    @property
    def is_idle(self) -> bool:
        """Whether no request is being read, handled or queued."""
        is_reading = self._reader.is_reading_message or self._input.has_backlog
        return not (self._is_busy or is_reading or self._waiting)

    @property
    def is_reading_head(self) -> bool:
        """Whether a request's head has arrived in part and the rest is awaited."""
        may_read = len(self._waiting) <= MAX_PIPELINED_REQUESTS
        return self._reader.is_reading_head and may_read

    @property
    def is_reading_body(self) -> bool:
        """Whether a request's body has arrived in part and the rest is awaited."""
        return self._reader.is_reading_body and not self._is_discarding

    @property
    def is_unfinished(self) -> bool:
        """Whether there is nothing but a request that has arrived in part."""
        is_reading = self._reader.is_reading_message and not self._is_discarding
        return is_reading and not (self._is_busy or self._waiting)

    @property
    def inactive_since_s(self) -> float:
        """When the last byte arrived or the last response ended."""
        return max(self.idle_since_s, self._progressed_at_s)

    @property
    def head_began_at_s(self) -> float:
        """When the latest head began to arrive."""
        return self._reader.head_began_at_s

    @override
    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        # Other event loops, such as uvloop, have transport classes of their own.
        self._transport = cast(asyncio.Transport, transport)
        self._input.attach(self._transport)
        self._transport.set_write_buffer_limits(high=MAX_WRITE_BUFFER_BYTES)
        self._peer_host = (transport.get_extra_info("peername") or ("",))[0]
        enable_dead_peer_detection(transport.get_extra_info("socket"))
        self._handler.connected(self)

    @override
    def connection_lost(self, exc: Exception | None) -> None:
        self._transport = None
        undelivered_s = self._watch.closed(self)
        if undelivered_s >= UNDELIVERED_LOG_S:
            log_event(
                "answer_undelivered",
                level="WARNING",
                waited_s=undelivered_s,
                error=repr(exc) if exc else "",
                closed=self._close_reason,
                draining=self._handler.is_draining,
            )
        self._input.discard()
        self._drop_queued(self._close_reason or "client_left")
        current, self._current = self._current, None
        if current is not None:
            current.client_disconnected()
        self._reader.stop()
        self._current_bytes = 0
        self._tell_memory()
        self._handler.disconnected(self)

    @override
    def pause_writing(self) -> None:
        self._set_slow(is_slow=True)

    @override
    def resume_writing(self) -> None:
        self._set_slow(is_slow=False)

    def _set_slow(self, *, is_slow: bool) -> None:
        self._is_slow = is_slow
        if is_slow:
            self._watch.tolerate(self)
        if self._current is not None:
            self._current.set_client_slow(is_slow)
        self._progressed_at_s = self._loop.time()
        self._tell_memory()

    @override
    def data_received(self, data: bytes) -> None:
        self._progressed_at_s = self._loop.time()
        self._input.feed(data)
        self._tell_memory()

    def _consume(self, data: bytes) -> None:
        self._reader.feed(data)
        if self._reader.rejection is not None:
            self._reject(self._reader.rejection)
        self._start_next_request()
        self._tell_memory()

    def _queue_request(self, received: ReceivedRequest) -> None:
        if self._is_discarding or self._reader.rejection is not None:
            reason = self._close_reason or "rejected"
            self._handler.unanswered(received.request, reason, stage="discarded")
        else:
            self._waiting.append(received)
            self._waiting_bytes += received.byte_count
            self._owner = None

    # Memory.

    @override
    @property
    def owner(self) -> str:
        if self._owner is None:
            if not self._reader.is_reading_body:
                # The account is not known yet.
                return self._peer_host
            self._owner = (
                self._handler.account_of(self._reader.headers) or self._peer_host
            )
        return self._owner

    @override
    @property
    def is_releasable(self) -> bool:
        return self._told_bytes[0] > self._told_bytes[1]

    @override
    @property
    def progressed_at_s(self) -> float:
        return self._progressed_at_s

    @override
    def release(self) -> None:
        if self._is_slow or self._is_discarding:
            self._handler.rejected(0, "memory_short")
            self.close_at_once("memory_short")
            return
        self._drop_queued("memory_short")
        self._refuse_unfinished(
            Rejection(
                HTTPStatus.SERVICE_UNAVAILABLE, "memory_short", RETRY_WITHOUT_MEMORY_S
            )
        )

    def _tell_memory(self) -> None:
        """Tell the memory budget what this connection holds now, if that changed."""
        held_bytes = self._current_bytes + self._waiting_bytes
        held_bytes += self._reader.held_bytes + self._input.backlog_bytes
        if self._is_slow and self._transport is not None:
            held_bytes += self._transport.get_write_buffer_size()
        told_bytes = (held_bytes, self._current_bytes)
        if told_bytes != self._told_bytes:
            self._told_bytes = told_bytes
            self._memory.hold(self, held_bytes, kept_bytes=self._current_bytes)

    def _send_continue(self) -> None:
        if not (self._is_busy or self._is_discarding):
            self._write(b"HTTP/1.1 100 Continue\r\n\r\n")

    # Delivery.

    @override
    @property
    def tcp_socket(self) -> socket.socket | None:
        if self._transport is None:
            return None
        sock: socket.socket | None = self._transport.get_extra_info("socket")
        return sock

    @override
    @property
    def buffered_bytes(self) -> int:
        return self._transport.get_write_buffer_size() if self._transport else 0

    @override
    def peer_is_gone(self) -> None:
        self.close_at_once("client_silent")

    @property
    def is_delivered(self) -> bool:
        """Whether the client has acknowledged all that was written."""
        return self._watch.is_delivered(self)

    def leave_to_kernel(self) -> None:
        """Let the kernel deliver for long what the process does not see to its end."""
        self._watch.tolerate(self)

    # Responses.

    def send_response(
        self,
        status: int,
        reason: bytes,
        headers: Sequence[Header],
        body: bytes,
        *,
        content_length: int | None = None,
    ) -> None:
        """Write a complete response.

        Parameters
        ----------
        status, reason, headers, body
            The response, without headers about framing.
        content_length : int or None
            Value of Content-Length for a response without a body; None for the
            length of ``body``.
        """
        size = len(body) if content_length is None else content_length
        length = (b"Content-Length", b"%d" % size)
        head = _encode_head(
            status, reason, [*headers, length, *self._connection_headers()]
        )
        self._write(head + body)
        self._finish_response()

    def close_after_response(self) -> None:
        """Announce with the current response that the connection closes after it.

        The announcement is left to a later response if requests wait to be answered.
        """
        if not self._has_more_to_answer:
            self._current_keeps_alive = False

    def begin_stream(
        self, status: int, reason: bytes, headers: Sequence[Header], data: bytes
    ) -> None:
        """Write the head and first bytes of a response of unknown length.

        A client that speaks HTTP/1.0 gets no chunks; the response ends with the
        connection.
        """
        self._is_chunked = self._current_is_http_1_1
        if not self._is_chunked:
            self._current_keeps_alive = False
        framing = [(b"Transfer-Encoding", b"chunked")] if self._is_chunked else []
        head = _encode_head(
            status, reason, [*headers, *framing, *self._connection_headers()]
        )
        self._write(head + self._encode_chunk(data))

    def write_data(self, data: bytes) -> None:
        """Write more of a streamed response."""
        self._write(self._encode_chunk(data))

    def end_stream(self) -> None:
        """End a streamed response."""
        if self._is_chunked:
            self._write(b"0\r\n\r\n")
        self._finish_response()

    def abort_response(self) -> None:
        """Close the connection so that the response cannot be taken for complete."""
        self._current = None
        if self._transport is not None and not self._is_chunked:
            # Without chunks, an ordinary close marks the end of a complete response.
            reset_on_close(self._transport.get_extra_info("socket"))
        self.close_at_once("response_broken_off")

    def close_at_once(self, reason: str) -> None:
        """Close the connection and drop unwritten data."""
        self._begin_close(reason)
        if self._transport is not None:
            self._transport.abort()

    @property
    def has_left(self) -> bool:
        """Whether the client has closed the connection."""
        if self._transport is None or self._transport.is_closing():
            return True
        return has_peer_closed(self._transport.get_extra_info("socket"))

    @property
    def may_close(self) -> bool:
        """Whether the connection is idle and not closing yet."""
        return self.is_idle and not self._is_discarding

    def extend_idle(self, idle_timeout_s: float) -> None:
        """Keep the connection while a longer idle timeout allows, but never shorter."""
        self.kept_until_s = max(self.kept_until_s, self.idle_since_s + idle_timeout_s)

    def close_if_idle(self) -> bool:
        """Close the connection, unless anything is on its way; return whether it is.

        A request that crosses the close stays unread, so that its client may repeat it.
        """
        transport = self._transport
        if transport is None or transport.is_closing() or not self.may_close:
            return False
        if not self.is_delivered:
            return False
        self._input.pause()
        if has_unread_data(transport.get_extra_info("socket")):
            self._input.resume()
            return False
        self._begin_close("idle")
        transport.close()
        return True

    def close_when_written(self, reason: str) -> None:
        """Close once all data is written, without resetting the connection."""
        self._begin_close(reason)
        transport = self._transport
        if transport is None or transport.is_closing():
            return
        if transport.can_write_eof():
            transport.write_eof()
        self._loop.call_later(LINGER_S, self._close_if_delivered)

    def _close_if_delivered(self) -> None:
        """Close the connection, or try again while the client still has to read.

        The kernel gives up a closed connection sooner than one that is watched.
        """
        if self._transport is None:
            return
        if self.is_delivered:
            self._transport.close()
        else:
            self._loop.call_later(LINGER_S, self._close_if_delivered)

    def end_request(self, reason: str) -> None:
        """End the request that is handled now, if there is one."""
        if self._current is not None:
            self._current.end(reason)

    def reject_slow_head(self) -> None:
        """Reject a request whose head took too long to arrive."""
        self._refuse_unfinished(Rejection(HTTPStatus.REQUEST_TIMEOUT, "head_timed_out"))

    def reject_stalled_body(self) -> None:
        """Reject a request of whose body no byte has arrived for too long."""
        self._refuse_unfinished(Rejection(HTTPStatus.REQUEST_TIMEOUT, "body_stalled"))

    def close_inactive(self) -> bool:
        """Close the connection if it is idle or has only an unfinished request."""
        if self.is_unfinished:
            self._handler.rejected(0, "descriptors_short")
            self.close_at_once("descriptors_short")
            return True
        return self.close_if_idle()

    def _refuse_unfinished(self, rejection: Rejection) -> None:
        """Drop what has arrived of a request, and refuse it and all later ones."""
        self._reader.stop()
        self._input.discard()
        self._reject(rejection)
        self._start_next_request()
        self._tell_memory()

    def _start_next_request(self) -> None:
        while self._waiting and not self._is_busy and self._transport is not None:
            received = self._waiting.popleft()
            self._waiting_bytes -= received.byte_count
            self._current_bytes = received.byte_count
            self._is_busy = True
            self._tell_memory()
            self._current_keeps_alive = received.keeps_alive
            self._current_is_http_1_1 = received.is_http_1_1
            self._current = self._handler.handle(received.request, self)
            if not self._is_busy:
                self._current = None
            elif self._is_slow and self._current is not None:
                self._current.set_client_slow(True)
        rejection = self._pending_rejection
        if rejection is not None and not (self._is_busy or self._waiting):
            self._send_rejection(rejection)
        self._pause_or_resume_reading()

    def _pause_or_resume_reading(self) -> None:
        transport = self._transport
        if transport is None or transport.is_closing():
            return
        may_read = len(self._waiting) <= MAX_PIPELINED_REQUESTS
        if may_read and self._input.is_paused:
            self._reader.head_began_at_s = self._loop.time()
            self._input.resume()
        elif not may_read:
            self._input.pause()

    def _finish_response(self) -> None:
        self._current = None
        self._current_bytes = 0
        self._tell_memory()
        self._is_busy = False
        self._begin_idle()
        if not self._current_keeps_alive:
            self.close_when_written("close_announced")
        elif self._has_more_to_answer:
            self._loop.call_soon(self._start_next_request)

    @property
    def _has_more_to_answer(self) -> bool:
        return bool(self._waiting) or self._pending_rejection is not None

    def _begin_idle(self) -> None:
        """Keep the connection for the idle timeout that its client knows of now."""
        self.idle_since_s = self._loop.time()
        self.kept_until_s = self.idle_since_s + self._handler.limits.idle_timeout_s

    def _reject(self, rejection: Rejection) -> None:
        """Take no more requests; the rejection follows earlier responses."""
        if self._is_discarding:
            return
        self._is_discarding = True
        self._close_reason = rejection.reason
        self._pending_rejection = rejection

    def _send_rejection(self, rejection: Rejection) -> None:
        status, reason = rejection.status, rejection.reason
        self._handler.rejected(status, reason)
        headers = [(b"Content-Length", b"0"), (b"Connection", b"close")]
        if rejection.retry_after_s is not None:
            headers.append((b"Retry-After", b"%.3f" % rejection.retry_after_s))
        phrase = HTTPStatus(status).phrase.encode()
        self._write(_encode_head(status, phrase, headers))
        self.close_when_written(reason)

    def _begin_close(self, reason: str) -> None:
        self._is_discarding = True
        self._close_reason = self._close_reason or reason
        self._pending_rejection = None
        self._drop_queued(self._close_reason)

    def _drop_queued(self, reason: str) -> None:
        while self._waiting:
            received = self._waiting.popleft()
            self._handler.unanswered(received.request, reason, stage="queued")
        self._waiting_bytes = 0

    def _connection_headers(self) -> list[Header]:
        """Return `Connection: close` if the connection closes after this response."""
        if self._handler.is_draining:
            self.close_after_response()
        return [] if self._current_keeps_alive else [(b"Connection", b"close")]

    def _encode_chunk(self, data: bytes) -> bytes:
        if self._is_chunked and data:
            return b"%x\r\n%b\r\n" % (len(data), data)
        return data

    def _write(self, data: bytes) -> None:
        if self._transport is not None and not self._transport.is_closing():
            self._transport.write(data)
            self._watch.written(self)


def _encode_head(status: int, reason: bytes, headers: Sequence[Header]) -> bytes:
    lines = [b"HTTP/1.1 %d %b" % (status, reason)]
    lines += [b"%b: %b" % header for header in headers]
    return b"\r\n".join(lines) + b"\r\n\r\n"
