"""State of one call in the relay: phase, buffers and decoders."""

import enum
import time

import attrs

from citrondock_core.event_stream import MAX_EVENT_BYTES, EventStreamScanner
from citrondock_core.request import Usage
from citrondock_router.call import Call
from citrondock_wire.body_decoder import BodyDecoder, BodyFramingError
from citrondock_wire.target_connection import TargetConnection

MAX_KEPT_BODY_BYTES = 262_144
_LAST_CHUNK = b"0\r\n\r\n"


class RelayPhase(enum.Enum):
    """What the relay does for a call.

    Attributes
    ----------
    PARKED
        Nothing, except to detect the caller's disconnection.
    AWAITING_HEAD
        Waits for the first byte of the target's response.
    MOVING
        Relays the body from the target to the caller.
    BROKEN
        Waits for the listener to resume or abort a response that ended early.
    DRAINING
        Sends the rest of the response to the caller.
    LINGERING
        Has shut down its side of the caller's connection and discards what the
        caller still sends.
    CLOSED
        Has given back or closed the caller's connection.
    """

    PARKED = "parked"
    AWAITING_HEAD = "awaiting_head"
    MOVING = "moving"
    BROKEN = "broken"
    DRAINING = "draining"
    LINGERING = "lingering"
    CLOSED = "closed"


class RelayOutcome(enum.Enum):
    """How the target's response ended; the values are logged.

    Attributes
    ----------
    WHOLE
        Complete, with its end marked by the target.
    CUT
        Truncated: the connection or the framing broke before the end.
    FOREIGN
        An event lacked the id of this request, so it may belong to another.
    CALLER_GONE
        The caller disconnected.
    CALLER_SLOW
        The caller accepted no bytes for too long.
    DEADLINE_PASSED
        The call's deadline passed before the end.
    """

    WHOLE = "whole"
    CUT = "cut"
    FOREIGN = "foreign"
    CALLER_GONE = "caller_gone"
    CALLER_SLOW = "caller_slow"
    DEADLINE_PASSED = "deadline_passed"


@attrs.frozen(kw_only=True)
class RelayEnd:
    """Result of relaying a target's response.

    Parameters
    ----------
    outcome : RelayOutcome
        How it ended.
    event_count : int
        Events relayed to the caller.
    usage : Usage or None
        Usage that the target reported in the stream.
    body : bytes
        Body of the response, at most `MAX_KEPT_BODY_BYTES`; empty if it wasn't kept.
    body_truncated : bool
        Whether the kept body was longer than that.
    """

    outcome: RelayOutcome
    event_count: int
    usage: Usage | None
    body: bytes
    body_truncated: bool


@attrs.define(eq=False, kw_only=True)
class RelayedCall:
    """Buffers and decoders of one call; used by the relay's thread alone.

    Parameters
    ----------
    call : Call
        The call itself.
    phase : RelayPhase
        What the relay does for it.
    upstream : TargetConnection or None
        Connection that the response is read from.
    decoder, scanner : BodyDecoder, EventStreamScanner or None
        Decode the target's framing, and inspect the events of a stream.
    chunked : bool
        Whether the body is sent to the caller in chunks.
    output : bytearray
        Bytes that the caller's socket has not accepted yet.
    kept_body : bytearray
        Start of the body, at most `MAX_KEPT_BODY_BYTES`.
    body_truncated : bool
        Whether the body was longer than that.
    keeps_body : bool
        Whether to fill ``kept_body``.
    paused : bool
        Whether reading from the target is suspended because ``output`` is full.
    stalled_deadline_s : float or None
        Monotonic time at which a caller that accepts no bytes, or a lingering
        connection, is closed.
    reported_event_count : int
        Events included in the last progress report.
    keep_alive : bool
        Whether the caller's connection is given back after the response.
    caller_closed : bool
        Whether the caller disconnected from a call that continues without it.
    """

    call: Call
    phase: RelayPhase = RelayPhase.PARKED
    upstream: TargetConnection | None = None
    decoder: BodyDecoder | None = None
    scanner: EventStreamScanner | None = None
    chunked: bool = False
    output: bytearray = attrs.field(factory=bytearray)
    kept_body: bytearray = attrs.field(factory=bytearray)
    body_truncated: bool = False
    keeps_body: bool = False
    paused: bool = False
    stalled_deadline_s: float | None = None
    reported_event_count: int = 0
    keep_alive: bool = False
    caller_closed: bool = False

    def receive(self, data: bytes) -> None:
        """Decode bytes from the target and queue the body for the caller.

        Raises
        ------
        BodyFramingError
            When the framing of the response is broken.
        """
        if self.decoder is None:
            raise BodyFramingError(
                f"request {self.call.request_id}: body bytes without a response head"
            )
        body = self.decoder.feed(data)
        if self.scanner is not None:
            body = self.scanner.feed(body)
        if body and not self.has_wrong_request_id:
            self._store_body(body)
            self.queue_body(body)
        if self.scanner is not None and self.scanner.is_endless:
            raise BodyFramingError(
                f"request {self.call.request_id}: event is longer than "
                f"{MAX_EVENT_BYTES} bytes"
            )

    def queue_body(self, body: bytes) -> None:
        """Queue body bytes, framed as the caller expects them."""
        if self.chunked:
            self.output += b"%x\r\n" % len(body)
            self.output += body
            self.output += b"\r\n"
        else:
            self.output += body

    def queue_end(self) -> None:
        """Queue the last chunk, which marks the response as complete."""
        if self.chunked:
            self.output += _LAST_CHUNK

    @property
    def is_complete(self) -> bool:
        """Whether the target marked the end of its response."""
        if self.scanner is not None:
            return self.scanner.done
        return self.decoder is not None and self.decoder.complete

    @property
    def has_wrong_request_id(self) -> bool:
        """Whether an event of the stream lacks the id of this request."""
        return self.scanner is not None and self.scanner.wrong_request_id

    @property
    def has_surplus(self) -> bool:
        """Whether the target sent bytes after the end of its response."""
        return self.decoder is not None and self.decoder.has_surplus

    @property
    def event_count(self) -> int:
        """Number of complete events received so far."""
        return 0 if self.scanner is None else self.scanner.event_count

    def build_end(self, outcome: RelayOutcome) -> RelayEnd:
        """Return the result for a response that ended with the given outcome."""
        return RelayEnd(
            outcome=outcome,
            event_count=self.event_count,
            usage=None if self.scanner is None else self.scanner.usage,
            body=bytes(self.kept_body),
            body_truncated=self.body_truncated,
        )

    def expired(self, now_s: float | None = None) -> bool:
        """Whether the call's deadline has passed."""
        now_s = time.monotonic() if now_s is None else now_s
        return now_s >= self.call.waiting.deadline_s

    def _store_body(self, body: bytes) -> None:
        if not self.keeps_body:
            return
        free_bytes = MAX_KEPT_BODY_BYTES - len(self.kept_body)
        self.kept_body += body[:free_bytes]
        self.body_truncated |= len(body) > free_bytes
