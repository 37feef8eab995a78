"""Relays responses from targets to callers, for all calls in one thread."""

import selectors
import socket
import ssl
import time
from abc import ABC, abstractmethod
from collections.abc import Iterable, Sequence

import attrs

from citrondock_core.event_stream import EventStreamScanner
from citrondock_router.call import Call
from citrondock_router.relayed_call import (
    RelayedCall,
    RelayEnd,
    RelayOutcome,
    RelayPhase,
)
from citrondock_router.selector_loop import SelectorLoop
from citrondock_wire.body_decoder import BodyDecoder, BodyFramingError
from citrondock_wire.target_connection import TargetConnection

_RECEIVE_BYTES = 65_536
_HIGH_WATER_BYTES = 262_144
_LOW_WATER_BYTES = 65_536
_SWEEP_PERIOD_S = 0.25
_PROGRESS_PERIOD_S = 0.25
_LINGER_TIMEOUT_S = 1.0
_WOULD_BLOCK = (BlockingIOError, ssl.SSLWantReadError, ssl.SSLWantWriteError)


@attrs.frozen(kw_only=True)
class CallProgress:
    """Progress of a running call.

    Parameters
    ----------
    request_id : str
        Id of the call.
    event_count : int
        Server-sent events that the target has generated so far.
    """

    request_id: str
    event_count: int


class RelayListener(ABC):
    """Receives the events of a relay.

    The methods run in the relay's thread and must not block.
    """

    @abstractmethod
    def on_caller_gone(self, call: Call) -> None:
        """Handle a caller that disconnected while nothing was relayed to it."""

    @abstractmethod
    def on_head_ready(self, call: Call, upstream: TargetConnection) -> None:
        """Handle a target that began to respond or closed the connection."""

    @abstractmethod
    def on_head_timeout(self, call: Call, upstream: TargetConnection) -> None:
        """Handle a target that sent nothing before the call's deadline."""

    @abstractmethod
    def on_response_end(
        self, call: Call, upstream: TargetConnection, end: RelayEnd
    ) -> None:
        """Handle the end of a target's response, complete or not."""

    @abstractmethod
    def on_released(self, call: Call) -> None:
        """Handle a call whose caller connection was given back or closed."""

    @abstractmethod
    def on_progress(self, progress: Sequence[CallProgress]) -> None:
        """Handle the progress of one or more calls."""


class Relay(SelectorLoop):
    """Relays bytes between the sockets of callers and targets.

    It owns the caller's socket from `add_call` until the call is released. A target's
    socket belongs to it while it waits for the response or relays the body. When a
    caller reads slowly and its buffer is full, the target's socket isn't read.

    Parameters
    ----------
    listener : RelayListener
        Receives the events of this relay.
    slow_reader_timeout_s : float
        Time after which a caller that accepts no bytes is disconnected.
    """

    def __init__(
        self, *, listener: RelayListener, slow_reader_timeout_s: float = 10.0
    ) -> None:
        super().__init__(name="relay")
        self._listener = listener
        self._slow_reader_timeout_s = slow_reader_timeout_s
        self._calls: dict[str, RelayedCall] = {}
        self._next_sweep_s = 0.0
        self._next_progress_s = 0.0

    def add_call(self, call: Call) -> None:
        """Take over a call's caller socket and detect its disconnection."""
        self.call_soon(lambda: self._add_call(call))

    def await_head(self, call: Call, upstream: TargetConnection) -> None:
        """Wait for the first byte of the target's response."""
        self.call_soon(lambda: self._await_head(call, upstream))

    def begin(
        self,
        call: Call,
        upstream: TargetConnection,
        *,
        head: bytes,
        decoder: BodyDecoder,
        scanner: EventStreamScanner | None,
        buffered: bytes,
        keeps_body: bool,
    ) -> None:
        """Send the head to the caller and relay the body.

        Parameters
        ----------
        call : Call
            Call to respond to.
        upstream : TargetConnection
            Connection whose response head was read.
        head : bytes
            Rendered head for the caller.
        decoder : BodyDecoder
            Decoder for the framing of the target's body.
        scanner : EventStreamScanner or None
            Scanner of a stream of server-sent events; None for another body.
        buffered : bytes
            Body bytes that were read along with the head.
        keeps_body : bool
            Whether to keep the start of the body for `RelayEnd`.
        """

        def start() -> None:
            relayed = self._calls.get(call.request_id)
            if relayed is None:
                self._report_caller_gone(call, upstream)
                return
            relayed.output += head
            relayed.decoder = decoder
            relayed.scanner = scanner
            relayed.keeps_body = keeps_body
            relayed.chunked = call.http_request.chunked_write
            relayed.keep_alive = not call.http_request.close_connection
            self._start_relaying(relayed, upstream, buffered)

        self.call_soon(start)

    def resume(
        self,
        call: Call,
        upstream: TargetConnection,
        *,
        decoder: BodyDecoder,
        buffered: bytes,
    ) -> None:
        """Continue a truncated stream after the last event sent to the caller."""

        def start() -> None:
            relayed = self._calls.get(call.request_id)
            if relayed is None or relayed.scanner is None:
                self._report_caller_gone(call, upstream)
                return
            relayed.scanner.drop_partial()
            relayed.decoder = decoder
            self._start_relaying(relayed, upstream, buffered)

        self.call_soon(start)

    def send_response(self, call: Call, data: bytes) -> None:
        """Send the router's own complete response, then release the caller."""
        self.call_soon(lambda: self._send_response(call, data))

    def abort(self, call: Call, last_event: bytes) -> None:
        """End a response that has begun so that the caller sees it is incomplete."""
        self.call_soon(lambda: self._abort(call, last_event))

    def on_event(self, key: selectors.SelectorKey, mask: int) -> None:
        """Handle a socket that is ready to read or write."""
        relayed, side = key.data
        if side == "target":
            self._on_target_readable(relayed)
            return
        if mask & selectors.EVENT_WRITE:
            self._flush(relayed)
        if mask & selectors.EVENT_READ and relayed.phase is not RelayPhase.CLOSED:
            self._on_caller_readable(relayed)

    def on_idle(self) -> None:
        """Report progress and enforce deadlines."""
        now_s = time.monotonic()
        if now_s >= self._next_progress_s:
            self._next_progress_s = now_s + _PROGRESS_PERIOD_S
            self._report_progress(self._calls.values())
        if now_s >= self._next_sweep_s:
            self._next_sweep_s = now_s + _SWEEP_PERIOD_S
            for relayed in list(self._calls.values()):
                self._enforce_deadlines(relayed, now_s)

    def on_stop(self) -> None:
        """Close every socket that is left."""
        for relayed in list(self._calls.values()):
            if relayed.upstream is not None:
                relayed.upstream.close()
            self._close(relayed)

    # Callers

    def _add_call(self, call: Call) -> None:
        relayed = RelayedCall(call=call)
        self._calls[call.request_id] = relayed
        call.connection.socket.setblocking(False)
        self.selector.register(
            call.connection.socket, selectors.EVENT_READ, (relayed, "caller")
        )

    def _on_caller_readable(self, relayed: RelayedCall) -> None:
        connection = relayed.call.connection
        try:
            data = connection.socket.recv(_RECEIVE_BYTES)
        except _WOULD_BLOCK:
            return
        except OSError:
            data = b""
        if not data:
            self._on_caller_closed(relayed)
        elif relayed.phase is RelayPhase.LINGERING:
            return
        else:
            # Next request of a pipelining caller. One that sends more than this before
            # its response has ended is disconnected.
            connection.rfile.feed(data)
            if len(connection.rfile.unread()) > _HIGH_WATER_BYTES:
                self._on_caller_closed(relayed)

    def _on_caller_closed(self, relayed: RelayedCall) -> None:
        phase = relayed.phase
        relayed.call.caller_gone = True
        if relayed.call.continues_without_caller:
            self._disconnect_caller(relayed)
            return
        if phase is RelayPhase.MOVING:
            self._end_upstream(relayed, RelayOutcome.CALLER_GONE)
            self._close(relayed)
            return
        if phase in (RelayPhase.PARKED, RelayPhase.AWAITING_HEAD, RelayPhase.BROKEN):
            upstream = relayed.upstream
            self._detach_upstream(relayed)
            self._close(relayed)
            if upstream is not None:
                upstream.close()
            self._listener.on_caller_gone(relayed.call)
            return
        self._close(relayed)

    def _disconnect_caller(self, relayed: RelayedCall) -> None:
        relayed.caller_closed = True
        self.selector.unregister(relayed.call.connection.socket)
        relayed.call.connection.destroy()
        self._flush(relayed)

    def _flush(self, relayed: RelayedCall) -> None:
        if relayed.caller_closed:
            self._discard_output(relayed)
            return
        sock = relayed.call.connection.socket
        try:
            while relayed.output:
                sent = sock.send(relayed.output)
                del relayed.output[:sent]
                relayed.stalled_deadline_s = None
        except _WOULD_BLOCK:
            self._wait_until_writable(relayed)
            return
        except OSError:
            self._on_caller_closed(relayed)
            return
        self._set_caller_events(relayed, selectors.EVENT_READ)
        if relayed.paused:
            self._resume_upstream(relayed)
        if relayed.phase is RelayPhase.DRAINING:
            self._release(relayed)

    def _discard_output(self, relayed: RelayedCall) -> None:
        relayed.output.clear()
        relayed.stalled_deadline_s = None
        if relayed.paused:
            self._resume_upstream(relayed)
        if relayed.phase is RelayPhase.DRAINING:
            self._close(relayed)

    def _wait_until_writable(self, relayed: RelayedCall) -> None:
        if relayed.stalled_deadline_s is None:
            relayed.stalled_deadline_s = time.monotonic() + self._slow_reader_timeout_s
        self._set_caller_events(relayed, selectors.EVENT_READ | selectors.EVENT_WRITE)
        if relayed.paused and len(relayed.output) < _LOW_WATER_BYTES:
            self._resume_upstream(relayed)

    def _set_caller_events(self, relayed: RelayedCall, events: int) -> None:
        sock = relayed.call.connection.socket
        if self.selector.get_key(sock).events != events:
            self.selector.modify(sock, events, (relayed, "caller"))

    def _send_response(self, call: Call, data: bytes) -> None:
        relayed = self._calls.get(call.request_id)
        if relayed is None or relayed.phase is not RelayPhase.PARKED:
            return
        relayed.output += data
        relayed.keep_alive = not call.http_request.close_connection
        relayed.phase = RelayPhase.DRAINING
        self._flush(relayed)

    def _abort(self, call: Call, last_event: bytes) -> None:
        relayed = self._calls.get(call.request_id)
        if relayed is None or relayed.phase is not RelayPhase.BROKEN:
            return
        if last_event:
            relayed.queue_body(last_event)
        relayed.keep_alive = False
        relayed.phase = RelayPhase.DRAINING
        self._flush(relayed)

    def _release(self, relayed: RelayedCall) -> None:
        if not relayed.keep_alive:
            self._linger(relayed)
            return
        self._detach_caller(relayed)
        relayed.call.connection.give_back()
        self._listener.on_released(relayed.call)

    def _linger(self, relayed: RelayedCall) -> None:
        # Closing a socket with unread bytes resets the connection, and the caller
        # could lose the end of the response.
        sock: socket.socket = relayed.call.connection.socket
        relayed.phase = RelayPhase.LINGERING
        relayed.stalled_deadline_s = time.monotonic() + _LINGER_TIMEOUT_S
        try:
            sock.shutdown(socket.SHUT_WR)
        except OSError:
            self._close(relayed)

    def _detach_caller(self, relayed: RelayedCall) -> None:
        relayed.phase = RelayPhase.CLOSED
        self._calls.pop(relayed.call.request_id, None)
        if not relayed.caller_closed:
            self.selector.unregister(relayed.call.connection.socket)

    def _close(self, relayed: RelayedCall) -> None:
        if relayed.phase is RelayPhase.CLOSED:
            return
        self._detach_caller(relayed)
        relayed.call.connection.destroy()
        self._listener.on_released(relayed.call)

    # Targets

    def _await_head(self, call: Call, upstream: TargetConnection) -> None:
        relayed = self._calls.get(call.request_id)
        if relayed is None:
            self._report_caller_gone(call, upstream)
            return
        upstream.socket.setblocking(False)
        relayed.upstream = upstream
        relayed.phase = RelayPhase.AWAITING_HEAD
        self.selector.register(
            upstream.socket, selectors.EVENT_READ, (relayed, "target")
        )

    def _report_caller_gone(self, call: Call, upstream: TargetConnection) -> None:
        # The caller disconnected while a worker thread was using the target connection.
        end = RelayedCall(call=call).build_end(RelayOutcome.CALLER_GONE)
        self._listener.on_response_end(call, upstream, end)

    def _start_relaying(
        self, relayed: RelayedCall, upstream: TargetConnection, buffered: bytes
    ) -> None:
        relayed.upstream = upstream
        relayed.phase = RelayPhase.MOVING
        self.selector.register(
            upstream.socket, selectors.EVENT_READ, (relayed, "target")
        )
        if buffered:
            self._relay_data(relayed, buffered)
        elif relayed.decoder is not None and relayed.decoder.complete:
            self._on_body_end(relayed)
        if relayed.phase is RelayPhase.MOVING:
            self._on_target_readable(relayed)
            if relayed.phase is RelayPhase.MOVING:
                self._flush(relayed)

    def _on_target_readable(self, relayed: RelayedCall) -> None:
        if relayed.phase is RelayPhase.AWAITING_HEAD:
            upstream = relayed.upstream
            self._detach_upstream(relayed)
            relayed.phase = RelayPhase.PARKED
            if upstream is not None:
                self._listener.on_head_ready(relayed.call, upstream)
            return
        if relayed.phase is not RelayPhase.MOVING or relayed.upstream is None:
            return
        sock = relayed.upstream.socket
        try:
            data = sock.recv(_RECEIVE_BYTES)
        except _WOULD_BLOCK:
            return
        except OSError:
            data = b""
        if not data:
            self._on_target_closed(relayed)
            return
        self._relay_data(relayed, data)
        pending = getattr(sock, "pending", None)
        if pending is not None and pending() and relayed.phase is RelayPhase.MOVING:
            self._on_target_readable(relayed)

    def _relay_data(self, relayed: RelayedCall, data: bytes) -> None:
        try:
            relayed.receive(data)
        except BodyFramingError:
            self._interrupt(relayed, RelayOutcome.CUT)
            return
        if relayed.has_wrong_request_id:
            self._interrupt(relayed, RelayOutcome.FOREIGN)
            return
        if relayed.decoder is not None and relayed.decoder.complete:
            self._on_body_end(relayed)
            return
        if relayed.reported_event_count == 0:
            # Concurrency limits are adjusted by the time to the first token, so the
            # first event is reported immediately.
            self._report_progress([relayed])
        self._flush(relayed)
        if (
            relayed.phase is RelayPhase.MOVING
            and len(relayed.output) > _HIGH_WATER_BYTES
        ):
            self._pause_upstream(relayed)

    def _on_body_end(self, relayed: RelayedCall) -> None:
        if not relayed.is_complete:
            self._interrupt(relayed, RelayOutcome.CUT)
            return
        if relayed.upstream is not None and relayed.has_surplus:
            relayed.upstream.keep_alive = False
        self._end_upstream(relayed, RelayOutcome.WHOLE)
        relayed.queue_end()
        relayed.phase = RelayPhase.DRAINING
        self._flush(relayed)

    def _on_target_closed(self, relayed: RelayedCall) -> None:
        if relayed.scanner is not None and relayed.scanner.done:
            self._on_body_end(relayed)
        else:
            self._interrupt(relayed, RelayOutcome.CUT)

    def _interrupt(self, relayed: RelayedCall, outcome: RelayOutcome) -> None:
        # The caller stays connected: the listener may resume the response, or abort it.
        self._end_upstream(relayed, outcome)
        relayed.phase = RelayPhase.BROKEN
        self._flush(relayed)

    def _end_upstream(self, relayed: RelayedCall, outcome: RelayOutcome) -> None:
        upstream = relayed.upstream
        if upstream is None:
            return
        self._detach_upstream(relayed)
        self._listener.on_response_end(
            relayed.call, upstream, relayed.build_end(outcome)
        )

    def _detach_upstream(self, relayed: RelayedCall) -> None:
        if relayed.upstream is not None and not relayed.paused:
            self.selector.unregister(relayed.upstream.socket)
        relayed.upstream = None
        relayed.paused = False

    def _pause_upstream(self, relayed: RelayedCall) -> None:
        if relayed.upstream is not None:
            self.selector.unregister(relayed.upstream.socket)
            relayed.paused = True

    def _resume_upstream(self, relayed: RelayedCall) -> None:
        relayed.paused = False
        if relayed.upstream is not None:
            self.selector.register(
                relayed.upstream.socket, selectors.EVENT_READ, (relayed, "target")
            )

    # Progress and deadlines

    def _report_progress(self, calls: Iterable[RelayedCall]) -> None:
        progress = []
        for relayed in calls:
            if relayed.event_count > relayed.reported_event_count:
                relayed.reported_event_count = relayed.event_count
                progress.append(
                    CallProgress(
                        request_id=relayed.call.request_id,
                        event_count=relayed.event_count,
                    )
                )
        if progress:
            self._listener.on_progress(progress)

    def _enforce_deadlines(self, relayed: RelayedCall, now_s: float) -> None:
        deadline_s = relayed.stalled_deadline_s
        if deadline_s is not None and now_s >= deadline_s:
            if relayed.phase is RelayPhase.MOVING:
                self._end_upstream(relayed, RelayOutcome.CALLER_SLOW)
            self._close(relayed)
            return
        if not relayed.expired(now_s):
            return
        if relayed.phase is RelayPhase.AWAITING_HEAD:
            upstream = relayed.upstream
            self._detach_upstream(relayed)
            relayed.phase = RelayPhase.PARKED
            if upstream is not None:
                self._listener.on_head_timeout(relayed.call, upstream)
        elif relayed.phase is RelayPhase.MOVING:
            self._interrupt(relayed, RelayOutcome.DEADLINE_PASSED)
