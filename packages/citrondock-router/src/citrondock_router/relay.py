"""The relay: one thread that moves answers from targets to callers."""

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
_LINGER_S = 1.0
_WOULD_BLOCK = (BlockingIOError, ssl.SSLWantReadError, ssl.SSLWantWriteError)


@attrs.frozen(kw_only=True)
class CallProgress:
    """Events that a running call has generated so far."""

    request_id: str
    event_count: int


class RelayListener(ABC):
    """Told by the relay what happened; must not block."""

    @abstractmethod
    def on_caller_gone(self, call: Call) -> None:
        """Take note that a caller went away before its answer."""

    @abstractmethod
    def on_head_ready(self, call: Call, upstream: TargetConnection) -> None:
        """Take note that the target began to answer or closed the connection."""

    @abstractmethod
    def on_head_late(self, call: Call, upstream: TargetConnection) -> None:
        """Take note that the deadline passed before the target answered."""

    @abstractmethod
    def on_end(self, call: Call, upstream: TargetConnection, end: RelayEnd) -> None:
        """Take note that the target's answer ended."""

    @abstractmethod
    def on_released(self, call: Call) -> None:
        """Take note that the caller's connection was given back or closed."""

    @abstractmethod
    def on_progress(self, progress: Sequence[CallProgress]) -> None:
        """Take note that calls moved on."""


class Relay(SelectorLoop):
    """Owns the sockets of parked and running calls.

    Parameters
    ----------
    listener : RelayListener
        Told of ends and failures.
    slow_reader_timeout_s : float
        How long a caller with a full buffer may take nothing.
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

    def adopt(self, call: Call) -> None:
        """Park a call and watch for its caller going away."""
        self.call_soon(lambda: self._adopt(call))

    def await_head(self, call: Call, upstream: TargetConnection) -> None:
        """Wait for the target's first byte."""
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
        """Send the head to the caller and move the body."""

        def start() -> None:
            relayed = self._calls.get(call.request_id)
            if relayed is None:
                self._report_orphan(call, upstream)
                return
            relayed.out += head
            relayed.decoder = decoder
            relayed.scanner = scanner
            relayed.keeps_body = keeps_body
            relayed.chunked = call.http_request.chunked_write
            relayed.keep_alive = not call.http_request.close_connection
            self._move(relayed, upstream, buffered)

        self.call_soon(start)

    def resume(
        self,
        call: Call,
        upstream: TargetConnection,
        *,
        decoder: BodyDecoder,
        buffered: bytes,
    ) -> None:
        """Go on with an answer that was cut after its last passed event."""

        def start() -> None:
            relayed = self._calls.get(call.request_id)
            if relayed is None or relayed.scanner is None:
                self._report_orphan(call, upstream)
                return
            relayed.scanner.drop_partial()
            relayed.decoder = decoder
            self._move(relayed, upstream, buffered)

        self.call_soon(start)

    def answer(self, call: Call, data: bytes) -> None:
        """Send a whole answer of the router itself and let go of the caller."""
        self.call_soon(lambda: self._answer(call, data))

    def abort(self, call: Call, last_event: bytes) -> None:
        """End a begun answer so that the caller sees that it is not whole."""
        self.call_soon(lambda: self._abort(call, last_event))

    def on_event(self, key: selectors.SelectorKey, mask: int) -> None:
        """Serve a ready socket."""
        relayed, side = key.data
        if side == "target":
            self._on_target(relayed)
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

    def _adopt(self, call: Call) -> None:
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
            # The next request of a pipelining caller; more of it than this is refused.
            connection.rfile.feed(data)
            if len(connection.rfile.unread()) > _HIGH_WATER_BYTES:
                self._on_caller_closed(relayed)

    def _on_caller_closed(self, relayed: RelayedCall) -> None:
        phase = relayed.phase
        relayed.call.caller_gone = True
        if relayed.call.outlives_caller:
            self._part_with_caller(relayed)
            return
        if phase is RelayPhase.MOVING:
            self._end_upstream(relayed, RelayOutcome.CALLER_GONE)
            self._close(relayed)
            return
        if phase in (RelayPhase.PARKED, RelayPhase.AWAITING_HEAD, RelayPhase.BROKEN):
            upstream = relayed.upstream
            self._forget_upstream(relayed)
            self._close(relayed)
            if upstream is not None:
                upstream.close()
            self._listener.on_caller_gone(relayed.call)
            return
        self._close(relayed)

    def _part_with_caller(self, relayed: RelayedCall) -> None:
        relayed.caller_closed = True
        self.selector.unregister(relayed.call.connection.socket)
        relayed.call.connection.destroy()
        self._flush(relayed)

    def _flush(self, relayed: RelayedCall) -> None:
        if relayed.caller_closed:
            self._flush_away(relayed)
            return
        sock = relayed.call.connection.socket
        try:
            while relayed.out:
                sent = sock.send(relayed.out)
                del relayed.out[:sent]
                relayed.stalled_deadline_s = None
        except _WOULD_BLOCK:
            self._wait_for_room(relayed)
            return
        except OSError:
            self._on_caller_closed(relayed)
            return
        self._watch_caller(relayed, selectors.EVENT_READ)
        if relayed.paused:
            self._resume(relayed)
        if relayed.phase is RelayPhase.DRAINING:
            self._release(relayed)

    def _flush_away(self, relayed: RelayedCall) -> None:
        relayed.out.clear()
        relayed.stalled_deadline_s = None
        if relayed.paused:
            self._resume(relayed)
        if relayed.phase is RelayPhase.DRAINING:
            self._close(relayed)

    def _wait_for_room(self, relayed: RelayedCall) -> None:
        if relayed.stalled_deadline_s is None:
            relayed.stalled_deadline_s = time.monotonic() + self._slow_reader_timeout_s
        self._watch_caller(relayed, selectors.EVENT_READ | selectors.EVENT_WRITE)
        if relayed.paused and len(relayed.out) < _LOW_WATER_BYTES:
            self._resume(relayed)

    def _watch_caller(self, relayed: RelayedCall, events: int) -> None:
        sock = relayed.call.connection.socket
        if self.selector.get_key(sock).events != events:
            self.selector.modify(sock, events, (relayed, "caller"))

    def _answer(self, call: Call, data: bytes) -> None:
        relayed = self._calls.get(call.request_id)
        if relayed is None or relayed.phase is not RelayPhase.PARKED:
            return
        relayed.out += data
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
        # Closing with unread bytes would reset the connection and could take the
        # answer's end away from the caller.
        sock: socket.socket = relayed.call.connection.socket
        relayed.phase = RelayPhase.LINGERING
        relayed.stalled_deadline_s = time.monotonic() + _LINGER_S
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
            self._report_orphan(call, upstream)
            return
        upstream.socket.setblocking(False)
        relayed.upstream = upstream
        relayed.phase = RelayPhase.AWAITING_HEAD
        self.selector.register(
            upstream.socket, selectors.EVENT_READ, (relayed, "target")
        )

    def _report_orphan(self, call: Call, upstream: TargetConnection) -> None:
        # The caller went away while another thread was talking to the target.
        end = RelayedCall(call=call).end(RelayOutcome.CALLER_GONE)
        self._listener.on_end(call, upstream, end)

    def _move(
        self, relayed: RelayedCall, upstream: TargetConnection, buffered: bytes
    ) -> None:
        relayed.upstream = upstream
        relayed.phase = RelayPhase.MOVING
        self.selector.register(
            upstream.socket, selectors.EVENT_READ, (relayed, "target")
        )
        if buffered:
            self._take(relayed, buffered)
        elif relayed.decoder is not None and relayed.decoder.complete:
            self._after_body(relayed)
        if relayed.phase is RelayPhase.MOVING:
            self._on_target(relayed)
            if relayed.phase is RelayPhase.MOVING:
                self._flush(relayed)

    def _on_target(self, relayed: RelayedCall) -> None:
        if relayed.phase is RelayPhase.AWAITING_HEAD:
            upstream = relayed.upstream
            self._forget_upstream(relayed)
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
            self._after_cut(relayed)
            return
        self._take(relayed, data)
        pending = getattr(sock, "pending", None)
        if pending is not None and pending() and relayed.phase is RelayPhase.MOVING:
            self._on_target(relayed)

    def _take(self, relayed: RelayedCall, data: bytes) -> None:
        try:
            relayed.take(data)
        except BodyFramingError:
            self._break(relayed, RelayOutcome.CUT)
            return
        if relayed.is_foreign:
            self._break(relayed, RelayOutcome.FOREIGN)
            return
        if relayed.decoder is not None and relayed.decoder.complete:
            self._after_body(relayed)
            return
        if relayed.reported_event_count == 0:
            # Limits are learned from first tokens, so these are told at once.
            self._report_progress([relayed])
        self._flush(relayed)
        if relayed.phase is RelayPhase.MOVING and len(relayed.out) > _HIGH_WATER_BYTES:
            self._pause(relayed)

    def _after_body(self, relayed: RelayedCall) -> None:
        if not relayed.is_whole:
            self._break(relayed, RelayOutcome.CUT)
            return
        if relayed.upstream is not None and relayed.has_surplus:
            relayed.upstream.keep_alive = False
        self._end_upstream(relayed, RelayOutcome.WHOLE)
        relayed.queue_end()
        relayed.phase = RelayPhase.DRAINING
        self._flush(relayed)

    def _after_cut(self, relayed: RelayedCall) -> None:
        if relayed.scanner is not None and relayed.scanner.done:
            self._after_body(relayed)
        else:
            self._break(relayed, RelayOutcome.CUT)

    def _break(self, relayed: RelayedCall, outcome: RelayOutcome) -> None:
        # The listener may resume the answer elsewhere; until then the caller waits.
        self._end_upstream(relayed, outcome)
        relayed.phase = RelayPhase.BROKEN
        self._flush(relayed)

    def _end_upstream(self, relayed: RelayedCall, outcome: RelayOutcome) -> None:
        upstream = relayed.upstream
        if upstream is None:
            return
        self._forget_upstream(relayed)
        self._listener.on_end(relayed.call, upstream, relayed.end(outcome))

    def _forget_upstream(self, relayed: RelayedCall) -> None:
        if relayed.upstream is not None and not relayed.paused:
            self.selector.unregister(relayed.upstream.socket)
        relayed.upstream = None
        relayed.paused = False

    def _pause(self, relayed: RelayedCall) -> None:
        if relayed.upstream is not None:
            self.selector.unregister(relayed.upstream.socket)
            relayed.paused = True

    def _resume(self, relayed: RelayedCall) -> None:
        relayed.paused = False
        if relayed.upstream is not None:
            self.selector.register(
                relayed.upstream.socket, selectors.EVENT_READ, (relayed, "target")
            )

    # Time

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
        stalled_s = relayed.stalled_deadline_s
        if stalled_s is not None and now_s >= stalled_s:
            if relayed.phase is RelayPhase.MOVING:
                self._end_upstream(relayed, RelayOutcome.CALLER_SLOW)
            self._close(relayed)
            return
        if not relayed.expired(now_s):
            return
        if relayed.phase is RelayPhase.AWAITING_HEAD:
            upstream = relayed.upstream
            self._forget_upstream(relayed)
            relayed.phase = RelayPhase.PARKED
            if upstream is not None:
                self._listener.on_head_late(relayed.call, upstream)
        elif relayed.phase is RelayPhase.MOVING:
            self._break(relayed, RelayOutcome.DEADLINE_PASSED)
