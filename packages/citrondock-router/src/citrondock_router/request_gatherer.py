"""Collects whole requests from callers before a worker thread sees them.

A slow sender thus costs a bounded buffer and no thread.
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
"""Given lower-case headers; returns who asks, or raises `RequestRefusedError`."""

_STEP = "intake"
# More than a TLS record: nothing decrypted is left behind, unknown to the selector.
_RECEIVE_BYTES = 65_536
_SWEEP_PERIOD_S = 0.25
_RETRY_AFTER_S = 1.0


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
        Most body bytes of unfinished requests, over all callers.
    max_connections : int
        Most connections that are idle or have an unfinished request.
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


@attrs.define(eq=False)
class _Gathering:
    connection: CallerConnection
    descriptor: int
    deadline_s: float
    probe: RequestScanner = attrs.field(factory=RequestScanner)
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
    """Reads requests from all callers in one thread.

    When there are too many connections, the one that has been idle or without a whole
    head for longest makes room.

    Parameters
    ----------
    on_ready : callable
        Given a connection whose buffer holds a whole request.
    on_refused : callable
        Given a connection whose request is not taken in, and the reason.
    check_head : callable
        See `HeadCheck`; asked before the body is read.
    check_capacity : callable
        See `CapacityCheck`.
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
        self._gatherings: dict[int, _Gathering] = {}
        self._without_head: dict[int, _Gathering] = {}
        self._next_sweep_s = 0.0

    def add(self, connection: CallerConnection) -> None:
        """Gather the next request of a connection."""
        self.call_soon(lambda: self._start(connection))

    def _start(self, connection: CallerConnection) -> None:
        descriptor = connection.socket.fileno()
        if descriptor < 0:
            return
        connection.socket.setblocking(False)
        deadline_s = time.monotonic() + self._options.idle_timeout_s
        gathering = _Gathering(connection, descriptor, deadline_s)
        if not self._make_room():
            gathering.refuse(
                RefusalReason.ROUTER_QUEUE_FULL, "the router has too many connections"
            )
        self._gatherings[descriptor] = gathering
        self._without_head[descriptor] = gathering
        self.selector.register(descriptor, selectors.EVENT_READ, gathering)
        self._advance(gathering, connection.rfile.unread())

    def _make_room(self) -> bool:
        if len(self._gatherings) < self._options.max_connections:
            return True
        if not self._without_head:
            return False
        oldest = next(iter(self._without_head.values()))
        if oldest.received_bytes:
            reason = "the router has too many connections; send the head at once"
            oldest.refuse(RefusalReason.ROUTER_QUEUE_FULL, reason)
            self._hand_over(oldest)
        else:
            self._drop(oldest)
        return True

    def on_event(self, key: selectors.SelectorKey, mask: int) -> None:
        """Read what a caller sent."""
        gathering: _Gathering = key.data
        # An event may concern a connection that made room in the same round.
        if self._gatherings.get(gathering.descriptor) is gathering:
            self._receive(gathering)

    def on_idle(self) -> None:
        """Refuse callers whose request did not end in time."""
        now_s = time.monotonic()
        if now_s < self._next_sweep_s:
            return
        self._next_sweep_s = now_s + _SWEEP_PERIOD_S
        late = [g for g in self._gatherings.values() if g.deadline_s <= now_s]
        for gathering in late:
            if gathering.received_bytes:
                gathering.refuse(
                    RefusalReason.BAD_REQUEST, "the request did not arrive in time"
                )
                self._hand_over(gathering)
            else:
                self._drop(gathering)

    def on_stop(self) -> None:
        """Close what is unfinished."""
        for gathering in list(self._gatherings.values()):
            self._drop(gathering)

    def _receive(self, gathering: _Gathering) -> None:
        try:
            data = gathering.connection.socket.recv(_RECEIVE_BYTES)
        except (BlockingIOError, ssl.SSLWantReadError, ssl.SSLWantWriteError):
            return
        except OSError:
            data = b""
        if not data:
            self._drop(gathering)
            return
        gathering.connection.rfile.feed(data)
        self._advance(gathering, data)

    def _advance(self, gathering: _Gathering, data: bytes) -> None:
        if data:
            self._feed(gathering, data)
        if gathering.refusal is not None or gathering.probe.complete:
            self._hand_over(gathering)
        elif not data:
            self._receive(gathering)

    def _feed(self, gathering: _Gathering, data: bytes) -> None:
        if not gathering.received_bytes:
            gathering.deadline_s = time.monotonic() + self._options.head_timeout_s
        gathering.received_bytes += len(data)
        probe = gathering.probe
        had_head = probe.head_complete
        probe.feed(data)
        if probe.fault:
            gathering.refuse(RefusalReason.BAD_REQUEST, probe.fault)
        elif probe.head_complete and not had_head:
            self._take_head(gathering)
        elif had_head and gathering.reservation is not None:
            self._take_body(gathering, gathering.reservation, len(data))
        self._check_length(gathering)

    def _take_head(self, gathering: _Gathering) -> None:
        del self._without_head[gathering.descriptor]
        gathering.deadline_s = time.monotonic() + self._options.body_timeout_s
        probe = gathering.probe
        try:
            account = self._check_head(probe.head)
            if probe.declared_body_bytes > self._options.max_body_bytes:
                self._refuse_body(gathering)
            gathering.reservation = self._quota.reserve(
                account, probe.declared_body_bytes
            )
        except RequestRefusedError as error:
            gathering.refusal = error
            return
        if probe.expects_continue and not probe.complete:
            _send_continue(gathering.connection.socket)

    def _take_body(
        self, gathering: _Gathering, reservation: Reservation, received_bytes: int
    ) -> None:
        try:
            self._quota.receive(reservation, received_bytes)
        except RequestRefusedError as error:
            if not gathering.probe.complete:
                gathering.refusal = gathering.refusal or error

    def _check_length(self, gathering: _Gathering) -> None:
        probe = gathering.probe
        limit_bytes = self._options.max_head_bytes
        if not probe.head_complete:
            if gathering.received_bytes > limit_bytes:
                reason = f"the head has more than {limit_bytes} bytes"
                gathering.refuse(RefusalReason.TOO_LARGE, reason)
            return
        limit_bytes += self._options.max_body_bytes
        if not probe.complete and gathering.received_bytes > limit_bytes:
            self._refuse_body(gathering)

    def _refuse_body(self, gathering: _Gathering) -> None:
        reason = f"the body has more than {self._options.max_body_bytes} bytes"
        gathering.refuse(RefusalReason.TOO_LARGE, reason)

    def _hand_over(self, gathering: _Gathering) -> None:
        self._forget(gathering)
        connection = gathering.connection
        connection.is_whole = gathering.probe.complete
        if gathering.refusal is not None:
            self._on_refused(connection, gathering.refusal)
            return
        connection.socket.settimeout(connection.server.timeout)
        self._on_ready(connection)

    def _forget(self, gathering: _Gathering) -> None:
        self.selector.unregister(gathering.descriptor)
        del self._gatherings[gathering.descriptor]
        self._without_head.pop(gathering.descriptor, None)
        if gathering.reservation is not None:
            self._quota.release(gathering.reservation)
            gathering.reservation = None

    def _drop(self, gathering: _Gathering) -> None:
        self._forget(gathering)
        gathering.connection.destroy()


def _send_continue(sock: socket.socket) -> None:
    try:
        sock.send(b"HTTP/1.1 100 Continue\r\n\r\n")
    except OSError:
        return
