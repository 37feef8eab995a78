"""Splits a server-sent event stream into whole events and checks their order."""

import re

import attrs

from citrondock_core.errors import CitrondockError

MAX_EVENT_BYTES = 262_144
"""Largest event that is buffered until it is whole."""

_EVENT_ID = re.compile(rb"^id: ?(\d+)\r?$", re.MULTILINE)
_EVENT_END = re.compile(rb"\r?\n\r?\n")
_EVENT_END_BYTES = 4


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
        # Only the last bytes of what was searched before may belong to an end.
        search_from = max(len(self._partial) - _EVENT_END_BYTES + 1, 0)
        self._partial += data
        new_events = []
        start = 0
        ends = _EVENT_END.finditer(self._partial, search_from)
        try:
            for end in [match.end() for match in ends]:
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
    r"""Tells whether a stream that is passed on as it arrives ends inside an event.

    Lines that begin with a colon are comments and belong to no event.

    Attributes
    ----------
    fault : EventTooLongError or None
        Why the stream is none that a target would send.

    Examples
    --------
    >>> boundary = EventBoundary()
    >>> boundary.feed(b"id: 0\ndata: a\n\nid: 1\nda")
    >>> boundary.has_event, boundary.is_inside_event
    (True, True)
    """

    has_event: bool = False
    fault: EventTooLongError | None = None
    _has_fields: bool = False
    _line_start: bytes = b""
    _event_bytes: int = 0

    @property
    def is_inside_event(self) -> bool:
        """Whether an event has begun and not ended."""
        return self._has_fields or _is_field(self._line_start)

    def feed(self, data: bytes) -> None:
        """Add bytes of the stream."""
        *lines, unfinished = (self._line_start + data).split(b"\n")
        for line in lines:
            if line in (b"", b"\r"):
                self.has_event |= self._has_fields
                self._has_fields = False
            elif _is_field(line):
                self._has_fields = True
            self._event_bytes = self._event_bytes + len(line) if self._has_fields else 0
        self._event_bytes += len(unfinished) - (0 if lines else len(self._line_start))
        # Two bytes tell an empty line and a comment from a field.
        self._line_start = unfinished[:2]
        if self._event_bytes > MAX_EVENT_BYTES:
            self.fault = _too_long("event of a stream that cannot be resumed")


def _too_long(event: str) -> EventTooLongError:
    return EventTooLongError(
        f"{event} is larger than {MAX_EVENT_BYTES} bytes", step="relay"
    )


def _is_field(line: bytes) -> bool:
    return bool(line.strip()) and not line.startswith(b":")
