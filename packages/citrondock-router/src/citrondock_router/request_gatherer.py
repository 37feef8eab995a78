"""Receives complete requests from callers before a worker thread handles them.

A slow sender thus occupies a bounded buffer and no thread.
"""

import selectors
import socket
import ssl
import time
from collections.abc import Callable, Mapping

import attrs

from citrondock_core.configuration import ClientAccount
from citrondock_core.request import RefusalReason, RequestRefusedError
from citrondock_router.caller_connection import CallerConnection
from citrondock_router.intake_quota import CapacityCheck, IntakeQuota, Reservation
from citrondock_router.request_scanner import RequestScanner
from citrondock_router.selector_loop import SelectorLoop

HeadCheck = Callable[[Mapping[str, str]], ClientAccount]
"""Called with lower-case headers; returns the sender's account.

Raises `RequestRefusedError` if the request must not be received.
"""

_STEP = "intake"
# Longer than a TLS record, so that no decrypted bytes stay in the TLS layer, where the
# selector can't see them.
_RECEIVE_BYTES = 65_536
_SWEEP_PERIOD_S = 0.25
_RETRY_AFTER_S = 1.0


@attrs.frozen(kw_only=True)
class GathererOptions:
    """Limits and timeouts of connections and unfinished requests.

    Parameters
    ----------
    max_head_bytes : int
        Maximum length of request line and headers.
    max_body_bytes : int
        Maximum length of a body.
    max_total_bytes : int
        Maximum body bytes of unfinished requests, over all callers.
    max_connections : int
        Maximum number of connections that are idle or have an unfinished request.
    head_timeout_s : float
        Maximum time from the first byte to the end of the headers.
    body_timeout_s : float
        Maximum time from the end of the headers to the end of the body.
    idle_timeout_s : float
        Maximum time to wait for the first byte of a request.
    """

    max_head_bytes: int = 32_768
    max_body_bytes: int = 8_000_000
    max_total_bytes: int = 64_000_000
    max_connections: int = 8_000
    head_timeout_s: float = 10.0
    body_timeout_s: float = 30.0
    idle_timeout_s: float = 30.0


@attrs.define(eq=False)
class _PartialRequest:
    connection: CallerConnection
    descriptor: int
    deadline_s: float
    scanner: RequestScanner = attrs.field(factory=RequestScanner)
    received_bytes: int = 0
    reservation: Reservation | None = None
    refusal: RequestRefusedError | None = None

    def refuse(self, cause: RefusalReason, reason: str) -> None:
        retry_after_s = None
        if cause is RefusalReason.ROUTER_QUEUE_FULL:
            retry_after_s = _RETRY_AFTER_S
        self.refusal = self.refusal or RequestRefusedError(
            reason, step=_STEP, cause=cause, retry_after_s=retry_after_s
        )


class RequestGatherer(SelectorLoop):
    """Receives requests from all callers in one thread.

    At the connection limit, a new connection evicts the one that has been without a
    complete request head for longest.

    Parameters
    ----------
    on_ready : callable
        Called with a connection whose buffer holds a complete request.
    on_refused : callable
        Called with a connection whose request is refused, and the error.
    check_head : callable
        See `HeadCheck`; called before the body is received.
    check_capacity : callable
        See `CapacityCheck`.
    options : GathererOptions
        Limits and timeouts.
    """

    def __init__(
        self,
        *,
        on_ready: Callable[[CallerConnection], None],
        on_refused: Callable[[CallerConnection, RequestRefusedError], None],
        check_head: HeadCheck,
        check_capacity: CapacityCheck,
        options: GathererOptions,
    ) -> None:
        super().__init__(name="request-gatherer")
        self._on_ready = on_ready
        self._on_refused = on_refused
        self._check_head = check_head
        self._options = options
        self._quota = IntakeQuota(
            max_request_count=options.max_connections,
            max_total_bytes=options.max_total_bytes,
            max_body_bytes=options.max_body_bytes,
            check_capacity=check_capacity,
        )
        self._partial_requests: dict[int, _PartialRequest] = {}
        self._without_head: dict[int, _PartialRequest] = {}
        self._next_sweep_s = 0.0

    def add(self, connection: CallerConnection) -> None:
        """Receive the next request of a connection; safe from every thread."""
        self.call_soon(lambda: self._start(connection))

    def _start(self, connection: CallerConnection) -> None:
        descriptor = connection.socket.fileno()
        if descriptor < 0:
            return
        connection.socket.setblocking(False)
        deadline_s = time.monotonic() + self._options.idle_timeout_s
        partial = _PartialRequest(connection, descriptor, deadline_s)
        if not self._make_room():
            partial.refuse(
                RefusalReason.ROUTER_QUEUE_FULL, "the router has too many connections"
            )
        self._partial_requests[descriptor] = partial
        self._without_head[descriptor] = partial
        self.selector.register(descriptor, selectors.EVENT_READ, partial)
        self._advance(partial, connection.rfile.unread())

    def _make_room(self) -> bool:
        if len(self._partial_requests) < self._options.max_connections:
            return True
        if not self._without_head:
            return False
        oldest = next(iter(self._without_head.values()))
        if oldest.received_bytes:
            reason = "the router has too many connections, and the head was incomplete"
            oldest.refuse(RefusalReason.ROUTER_QUEUE_FULL, reason)
            self._hand_over(oldest)
        else:
            self._drop(oldest)
        return True

    def on_event(self, key: selectors.SelectorKey, mask: int) -> None:
        """Receive bytes from a caller."""
        partial: _PartialRequest = key.data
        # An earlier event of the same select call may have evicted this connection.
        if self._partial_requests.get(partial.descriptor) is partial:
            self._receive(partial)

    def on_idle(self) -> None:
        """Refuse late requests, and close connections that were idle too long."""
        now_s = time.monotonic()
        if now_s < self._next_sweep_s:
            return
        self._next_sweep_s = now_s + _SWEEP_PERIOD_S
        expired = [p for p in self._partial_requests.values() if p.deadline_s <= now_s]
        for partial in expired:
            if partial.received_bytes:
                partial.refuse(
                    RefusalReason.BAD_REQUEST,
                    "the request was not complete within its timeout",
                )
                self._hand_over(partial)
            else:
                self._drop(partial)

    def on_stop(self) -> None:
        """Close the connections of all unfinished requests."""
        for partial in list(self._partial_requests.values()):
            self._drop(partial)

    def _receive(self, partial: _PartialRequest) -> None:
        try:
            data = partial.connection.socket.recv(_RECEIVE_BYTES)
        except (BlockingIOError, ssl.SSLWantReadError, ssl.SSLWantWriteError):
            return
        except OSError:
            data = b""
        if not data:
            self._drop(partial)
            return
        partial.connection.rfile.feed(data)
        self._advance(partial, data)

    def _advance(self, partial: _PartialRequest, data: bytes) -> None:
        if data:
            self._feed(partial, data)
        if partial.refusal is not None or partial.scanner.complete:
            self._hand_over(partial)
        elif not data:
            self._receive(partial)

    def _feed(self, partial: _PartialRequest, data: bytes) -> None:
        if not partial.received_bytes:
            partial.deadline_s = time.monotonic() + self._options.head_timeout_s
        partial.received_bytes += len(data)
        scanner = partial.scanner
        had_head = scanner.head_complete
        scanner.feed(data)
        if scanner.fault:
            partial.refuse(RefusalReason.BAD_REQUEST, scanner.fault)
        elif scanner.head_complete and not had_head:
            self._on_head_complete(partial)
        elif had_head and partial.reservation is not None:
            self._count_body_bytes(partial, partial.reservation, len(data))
        self._check_length(partial)

    def _on_head_complete(self, partial: _PartialRequest) -> None:
        del self._without_head[partial.descriptor]
        partial.deadline_s = time.monotonic() + self._options.body_timeout_s
        scanner = partial.scanner
        try:
            account = self._check_head(scanner.head)
            if scanner.declared_body_bytes > self._options.max_body_bytes:
                self._refuse_body(partial)
            partial.reservation = self._quota.reserve(
                account, scanner.declared_body_bytes
            )
        except RequestRefusedError as error:
            partial.refusal = error
            return
        if scanner.expects_continue and not scanner.complete:
            _send_continue(partial.connection.socket)

    def _count_body_bytes(
        self, partial: _PartialRequest, reservation: Reservation, received_bytes: int
    ) -> None:
        try:
            self._quota.receive(reservation, received_bytes)
        except RequestRefusedError as error:
            if not partial.scanner.complete:
                partial.refusal = partial.refusal or error

    def _check_length(self, partial: _PartialRequest) -> None:
        scanner = partial.scanner
        limit_bytes = self._options.max_head_bytes
        if not scanner.head_complete:
            if partial.received_bytes > limit_bytes:
                reason = f"the head has more than {limit_bytes} bytes"
                partial.refuse(RefusalReason.TOO_LARGE, reason)
            return
        limit_bytes += self._options.max_body_bytes
        if not scanner.complete and partial.received_bytes > limit_bytes:
            self._refuse_body(partial)

    def _refuse_body(self, partial: _PartialRequest) -> None:
        reason = f"the body has more than {self._options.max_body_bytes} bytes"
        partial.refuse(RefusalReason.TOO_LARGE, reason)

    def _hand_over(self, partial: _PartialRequest) -> None:
        self._unregister(partial)
        connection = partial.connection
        connection.request_complete = partial.scanner.complete
        if partial.refusal is not None:
            self._on_refused(connection, partial.refusal)
            return
        connection.socket.settimeout(connection.server.timeout)
        self._on_ready(connection)

    def _unregister(self, partial: _PartialRequest) -> None:
        self.selector.unregister(partial.descriptor)
        del self._partial_requests[partial.descriptor]
        self._without_head.pop(partial.descriptor, None)
        if partial.reservation is not None:
            self._quota.release(partial.reservation)
            partial.reservation = None

    def _drop(self, partial: _PartialRequest) -> None:
        self._unregister(partial)
        partial.connection.destroy()


def _send_continue(sock: socket.socket) -> None:
    try:
        sock.send(b"HTTP/1.1 100 Continue\r\n\r\n")
    except OSError:
        return
