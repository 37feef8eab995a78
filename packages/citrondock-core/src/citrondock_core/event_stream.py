"""Minimal scanner of server-sent events from model engines."""

import json

import attrs

from citrondock_core.request import Usage

MAX_EVENT_BYTES = 262_144
"""Largest event that is buffered until it is complete."""

_DONE_EVENT = b"data: [DONE]"
_DATA_PREFIX = b"data:"
_EVENT_END_BYTES = 4


@attrs.define(eq=False)
class EventStreamScanner:
    r"""Cuts a stream into whole events and finds its end, usage and request id.

    Parameters
    ----------
    request_id : str
        Id that the target puts into each event. A stream whose first event lacks it
        is not checked; one whose later event lacks it sets `wrong_request_id`.

    Examples
    --------
    >>> scanner = EventStreamScanner("r1")
    >>> scanner.feed(b'data: {"id":"r1"}\n\ndata: [DO')
    b'data: {"id":"r1"}\n\n'
    >>> scanner.feed(b'NE]\n\n')
    b'data: [DONE]\n\n'
    >>> scanner.done
    True

    Attributes
    ----------
    is_endless : bool
        Whether an event is longer than `MAX_EVENT_BYTES`; nothing more is buffered.
    """

    request_id: str
    event_count: int = 0
    done: bool = False
    wrong_request_id: bool = False
    is_endless: bool = False
    _partial: bytearray = attrs.field(factory=bytearray)
    _last_event: bytes = b""
    _checks_id: bool | None = None

    def feed(self, data: bytes) -> bytes:
        """Return the new bytes up to the end of the last complete event."""
        if self.is_endless:
            return b""
        # Only the last bytes of what was searched before may belong to an end.
        search_from = max(len(self._partial) - _EVENT_END_BYTES + 1, 0)
        self._partial += data
        end = _end_of_last_event(self._partial, search_from)
        complete = bytes(self._partial[:end])
        del self._partial[:end]
        if len(self._partial) > MAX_EVENT_BYTES:
            self.is_endless = True
            self._partial.clear()
        if complete:
            self._inspect(complete)
        return complete

    def drop_partial(self) -> None:
        """Discard an incomplete event, before the stream is resumed."""
        self._partial.clear()
        self.is_endless = False

    @property
    def usage(self) -> Usage | None:
        """Usage reported in the last event before the end of the stream, or None."""
        payload = self._last_event.strip().removeprefix(_DATA_PREFIX)
        return usage_of(payload)

    def _inspect(self, complete: bytes) -> None:
        events = [event for event in _split_events(complete) if event.strip()]
        for event in events:
            if event.strip() == _DONE_EVENT:
                self.done = True
                continue
            self.event_count += 1
            self._last_event = event
            self._check_request_id(event)

    def _check_request_id(self, event: bytes) -> None:
        has_id = self.request_id.encode() in event
        if self._checks_id is None:
            self._checks_id = has_id
        elif self._checks_id and not has_id:
            self.wrong_request_id = True


def usage_of(payload: bytes) -> Usage | None:
    """Return the usage reported in the JSON of a chat completion, or None."""
    try:
        reported = json.loads(payload)["usage"]
        return Usage(
            prompt_tokens=int(reported["prompt_tokens"]),
            generated_tokens=int(reported["completion_tokens"]),
        )
    except (ValueError, KeyError, TypeError, OverflowError, RecursionError):
        return None


def _end_of_last_event(data: bytearray, search_from: int) -> int:
    lf = data.rfind(b"\n\n", search_from)
    crlf = data.rfind(b"\r\n\r\n", search_from)
    end_lf = lf + 2 if lf >= 0 else 0
    end_crlf = crlf + 4 if crlf >= 0 else 0
    return max(end_lf, end_crlf)


def _split_events(data: bytes) -> list[bytes]:
    return data.replace(b"\r\n", b"\n").split(b"\n\n")
