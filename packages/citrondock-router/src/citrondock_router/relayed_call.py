"""State of one call in the relay."""

import enum
import time

import attrs

from citrondock_core.event_stream import EventStreamScanner
from citrondock_core.request import Usage
from citrondock_router.call import Call
from citrondock_wire.body_decoder import BodyDecoder, BodyFramingError
from citrondock_wire.target_connection import TargetConnection

MAX_KEPT_BODY_BYTES = 262_144
_LAST_CHUNK = b"0\r\n\r\n"


class RelayPhase(enum.Enum):
    """What the relay does for a call."""

    PARKED = "parked"
    AWAITING_HEAD = "awaiting_head"
    MOVING = "moving"
    BROKEN = "broken"
    DRAINING = "draining"
    LINGERING = "lingering"
    CLOSED = "closed"


class RelayOutcome(enum.Enum):
    """How the target's answer ended."""

    WHOLE = "whole"
    CUT = "cut"
    FOREIGN = "foreign"
    CALLER_GONE = "caller_gone"
    CALLER_SLOW = "caller_slow"
    DEADLINE_PASSED = "deadline_passed"


@attrs.frozen(kw_only=True)
class RelayEnd:
    """What the relay tells when a target's answer ended.

    Parameters
    ----------
    outcome : RelayOutcome
        How it ended.
    event_count : int
        Events passed on to the caller.
    usage : Usage or None
        Usage as the target reported it.
    body : bytes
        Body of the answer, at most `MAX_KEPT_BODY_BYTES`.
    body_truncated : bool
        Whether the answer was longer than that.
    """

    outcome: RelayOutcome
    event_count: int
    usage: Usage | None
    body: bytes
    body_truncated: bool


@attrs.define(eq=False, kw_only=True)
class RelayedCall:
    """Buffers and parsers of one call; used by the relay's thread alone."""

    call: Call
    phase: RelayPhase = RelayPhase.PARKED
    upstream: TargetConnection | None = None
    decoder: BodyDecoder | None = None
    scanner: EventStreamScanner | None = None
    chunked: bool = False
    out: bytearray = attrs.field(factory=bytearray)
    kept_body: bytearray = attrs.field(factory=bytearray)
    body_truncated: bool = False
    keeps_body: bool = False
    paused: bool = False
    stalled_deadline_s: float | None = None
    reported_event_count: int = 0
    keep_alive: bool = False
    caller_closed: bool = False

    def take(self, data: bytes) -> None:
        """Decode bytes of the target and queue what the caller may see.

        Raises
        ------
        BodyFramingError
            When the answer's framing is broken.
        """
        if self.decoder is None:
            raise BodyFramingError("no answer expected")
        body = self.decoder.feed(data)
        if self.scanner is not None:
            body = self.scanner.feed(body)
        if not body or (self.scanner is not None and self.scanner.wrong_request_id):
            return
        self._keep(body)
        self.queue_body(body)

    def queue_body(self, body: bytes) -> None:
        """Queue body bytes with the caller's framing."""
        if self.chunked:
            self.out += b"%x\r\n" % len(body)
            self.out += body
            self.out += b"\r\n"
        else:
            self.out += body

    def queue_end(self) -> None:
        """Queue the mark that tells the caller that the answer is whole."""
        if self.chunked:
            self.out += _LAST_CHUNK

    @property
    def is_whole(self) -> bool:
        """Whether the target marked the end of its answer."""
        if self.scanner is not None:
            return self.scanner.done
        return self.decoder is not None and self.decoder.complete

    @property
    def is_foreign(self) -> bool:
        """Whether the answer belongs to another request."""
        return self.scanner is not None and self.scanner.wrong_request_id

    @property
    def has_surplus(self) -> bool:
        """Whether the target sent more than its answer."""
        return self.decoder is not None and self.decoder.has_surplus

    @property
    def event_count(self) -> int:
        """Events passed on so far."""
        return 0 if self.scanner is None else self.scanner.event_count

    def end(self, outcome: RelayOutcome) -> RelayEnd:
        """Return the report of an answer's end."""
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

    def _keep(self, body: bytes) -> None:
        if not self.keeps_body:
            return
        room_bytes = MAX_KEPT_BODY_BYTES - len(self.kept_body)
        self.kept_body += body[:room_bytes]
        self.body_truncated |= len(body) > room_bytes
