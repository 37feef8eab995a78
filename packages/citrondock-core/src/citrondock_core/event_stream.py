"""Looks at a stream of server-sent events just as far as a router must."""

import json

import attrs

from citrondock_core.request import Usage

_DONE_EVENT = b"data: [DONE]"
_DATA_PREFIX = b"data:"


@attrs.define(eq=False)
class EventStreamScanner:
    r"""Cuts a stream at event boundaries and notes its end, usage and owner.

    Parameters
    ----------
    request_id : str
        Id that the target puts into each event; a stream whose first event lacks it
        is not checked.

    Examples
    --------
    >>> scanner = EventStreamScanner("r1")
    >>> scanner.feed(b'data: {"id":"r1"}\n\ndata: [DO')
    b'data: {"id":"r1"}\n\n'
    >>> scanner.feed(b'NE]\n\n')
    b'data: [DONE]\n\n'
    >>> scanner.done
    True
    """

    request_id: str
    event_count: int = 0
    done: bool = False
    wrong_request_id: bool = False
    _partial: bytes = b""
    _last_event: bytes = b""
    _checks_id: bool | None = None

    def feed(self, data: bytes) -> bytes:
        """Return the bytes up to the last complete event."""
        buffered = self._partial + data
        end = _end_of_last_event(buffered)
        self._partial = buffered[end:]
        if end == 0:
            return b""
        complete = buffered[:end]
        self._inspect(complete)
        return complete

    def drop_partial(self) -> None:
        """Forget an event that was cut, before the stream is resumed."""
        self._partial = b""

    @property
    def usage(self) -> Usage | None:
        """Usage of the last event before the end, if the target reported one."""
        payload = self._last_event.strip().removeprefix(_DATA_PREFIX)
        return usage_of(payload)

    def _inspect(self, complete: bytes) -> None:
        events = [event for event in _split(complete) if event.strip()]
        for event in events:
            if event.strip() == _DONE_EVENT:
                self.done = True
                continue
            self.event_count += 1
            self._last_event = event
            self._check_owner(event)

    def _check_owner(self, event: bytes) -> None:
        owned = self.request_id.encode() in event
        if self._checks_id is None:
            self._checks_id = owned
        elif self._checks_id and not owned:
            self.wrong_request_id = True


def usage_of(payload: bytes) -> Usage | None:
    """Return the usage that a chat completion's JSON reports, if any."""
    try:
        reported = json.loads(payload)["usage"]
        return Usage(
            prompt_tokens=int(reported["prompt_tokens"]),
            generated_tokens=int(reported["completion_tokens"]),
        )
    except (ValueError, KeyError, TypeError, OverflowError, RecursionError):
        return None


def _end_of_last_event(data: bytes) -> int:
    plain = data.rfind(b"\n\n")
    with_returns = data.rfind(b"\r\n\r\n")
    end_plain = plain + 2 if plain >= 0 else 0
    end_with_returns = with_returns + 4 if with_returns >= 0 else 0
    return max(end_plain, end_with_returns)


def _split(data: bytes) -> list[bytes]:
    return data.replace(b"\r\n", b"\n").split(b"\n\n")
