"""Splits a server-sent event stream into whole events and checks their order."""

import re

import attrs

from citrondock_core.errors import CitrondockError

MAX_EVENT_BYTES = 262_144
"""Largest event that is buffered until it is whole."""

_EVENT_ID = re.compile(rb"^id: ?(\d+)\r?$", re.MULTILINE)
_EVENT_END = re.compile(rb"\r?\n\r?\n")
_EVENT_END_BYTES = 4
_FIELD = re.compile(rb"^[^:\r\n]", re.MULTILINE)
# Blank lines and comments, the last of which may be unfinished.
_COMMENTS = re.compile(rb"(?:\r?\n|:[^\n]*+\n)*+(:[^\n]*+\Z)?")


@attrs.define(eq=False)
class EventOrderError(CitrondockError):
    """An event id does not follow the id of the previous event."""


@attrs.define(eq=False)
class EventTooLongError(CitrondockError):
    """An event is larger than `MAX_EVENT_BYTES`."""


@attrs.define
class EventStreamFilter:
    r"""Returns whole events in order, without those that were returned before.

    Events without an id are always returned.

    Parameters
    ----------
    last_event_id : int or None
        Id of the last event that the client has.

    Attributes
    ----------
    fault : EventOrderError or EventTooLongError or None
        Why nothing after the events returned so far belongs to the stream.

    Examples
    --------
    >>> events = EventStreamFilter(last_event_id=None)
    >>> events.feed(b"id: 0\ndata: a\n\nid: 1\nda")
    b'id: 0\ndata: a\n\n'
    >>> events.drop_partial()
    >>> events.feed(b"id: 1\ndata: b\n\n")
    b'id: 1\ndata: b\n\n'
    """

    last_event_id: int | None = None
    fault: EventOrderError | EventTooLongError | None = None
    _partial: bytearray = attrs.field(factory=bytearray)

    @property
    def has_partial(self) -> bool:
        """Whether the start of an unfinished event is buffered."""
        return bool(self._partial.strip())

    def drop_partial(self) -> None:
        """Discard an unfinished event before another target resumes the stream."""
        self._partial = bytearray()
        self.fault = None

    def feed(self, data: bytes) -> bytes:
        """Add bytes of the stream and return the events that are whole and new.

        After a fault, nothing is returned until `drop_partial`.
        """
        if self.fault is not None:
            return b""
        new_events = []
        start = 0
        try:
            for end in _append(self._partial, data):
                event = bytes(self._partial[start:end])
                start = end
                if self._is_new(event):
                    new_events.append(event)
        except EventOrderError as error:
            self.fault = error
        del self._partial[:start]
        if self.fault is None and len(self._partial) > MAX_EVENT_BYTES:
            self.fault = _too_long(f"event after id {self.last_event_id}")
        return b"".join(new_events)

    def _is_new(self, event: bytes) -> bool:
        found = _EVENT_ID.search(event)
        if found is None:
            return True
        event_id = int(found.group(1))
        if self.last_event_id is not None:
            if event_id <= self.last_event_id:
                return False
            if event_id > self.last_event_id + 1:
                raise EventOrderError(
                    f"event id {event_id} follows event id {self.last_event_id}",
                    step="relay",
                )
        self.last_event_id = event_id
        return True


@attrs.define
class EventBoundary:
    r"""Passes a stream on as it arrives, but for the bytes of an unfinished event.

    Lines that begin with a colon are comments and belong to no event.

    Attributes
    ----------
    has_event : bool
        Whether a whole event was passed on.
    fault : EventTooLongError or None
        Why the stream is none that a target would send.

    Examples
    --------
    >>> boundary = EventBoundary()
    >>> boundary.feed(b": hello\nid: 0\ndata: a\n\nid: 1\nda")
    b': hello\nid: 0\ndata: a\n\n'
    >>> boundary.has_event, boundary.is_inside_event
    (True, True)
    """

    has_event: bool = False
    fault: EventTooLongError | None = None
    _held: bytearray = attrs.field(factory=bytearray)
    _is_in_comment: bool = False

    @property
    def is_inside_event(self) -> bool:
        """Whether an event has begun and not ended."""
        return bool(self._held.strip())

    def feed(self, data: bytes) -> bytes:
        """Add bytes of the stream and return those that belong to no unfinished event.

        After a fault, nothing more is returned.
        """
        if self.fault is not None:
            return b""
        rest_of_comment = b""
        if self._is_in_comment:
            line_end = data.find(b"\n") + 1 or len(data)
            rest_of_comment, data = data[:line_end], data[line_end:]
            self._is_in_comment = not rest_of_comment.endswith(b"\n")
        ends = _append(self._held, data)
        events_end = ends[-1] if ends else 0
        self.has_event |= _FIELD.search(self._held, 0, events_end) is not None
        comments = _COMMENTS.match(self._held, events_end)
        assert comments is not None
        self._is_in_comment |= comments.group(1) is not None
        end = comments.end()
        passed = rest_of_comment + bytes(self._held[:end])
        del self._held[:end]
        if len(self._held) > MAX_EVENT_BYTES:
            self.fault = _too_long("event of a stream that cannot be resumed")
        return passed


def _append(unfinished: bytearray, data: bytes) -> list[int]:
    """Add bytes to an unfinished event; return the positions behind ended events."""
    # Only the last bytes of what was searched before may belong to an end.
    search_from = max(len(unfinished) - _EVENT_END_BYTES + 1, 0)
    unfinished += data
    return [end.end() for end in _EVENT_END.finditer(unfinished, search_from)]


def _too_long(event: str) -> EventTooLongError:
    return EventTooLongError(
        f"{event} is larger than {MAX_EVENT_BYTES} bytes", step="relay"
    )
