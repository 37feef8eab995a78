"""Cuts a stream of server-sent events at their boundaries and checks their ids."""

import re

import attrs

from citrondock_core.errors import CitrondockError

_EVENT_ID = re.compile(rb"^id: ?(\d+)\r?$", re.MULTILINE)
_EVENT_END = re.compile(rb"\r?\n\r?\n")


@attrs.define(eq=False)
class EventOrderError(CitrondockError):
    """An event that does not follow the one before it."""


@attrs.define
class EventStreamFilter:
    r"""Passes whole events on, in order, and drops what was passed before.

    Parameters
    ----------
    last_event_id : int or None
        Last event that the client has.

    Examples
    --------
    >>> cutter = EventCutter(last_event_id=None)
    >>> cutter.feed(b"id: 0\ndata: a\n\nid: 1\nda")
    b'id: 0\ndata: a\n\n'
    >>> cutter.drop_partial()
    >>> cutter.feed(b"id: 1\ndata: b\n\n")
    b'id: 1\ndata: b\n\n'
    """

    last_event_id: int | None = None
    _partial: bytes = b""

    @property
    def has_partial(self) -> bool:
        """Whether part of an event is held back."""
        return bool(self._partial.strip())

    def drop_partial(self) -> None:
        """Forget an event that was cut, before the stream goes on elsewhere."""
        self._partial = b""

    def feed(self, data: bytes) -> bytes:
        """Return the events that are whole and new.

        Raises
        ------
        EventOrderError
            If an event is missing.
        """
        buffered = self._partial + data if self._partial else data
        passed = []
        start = 0
        for end in _EVENT_END.finditer(buffered):
            event = buffered[start : end.end()]
            start = end.end()
            if self._is_new(event):
                passed.append(event)
        self._partial = buffered[start:]
        return b"".join(passed)

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
                    f"event {event_id} follows {self.last_event_id}", step="relay"
                )
        self.last_event_id = event_id
        return True
