"""Log lines of routers, read back."""

import shlex
from collections.abc import Iterable, Iterator

import attrs


@attrs.frozen(kw_only=True)
class LogLine:
    """One event of a log.

    Parameters
    ----------
    time : str
        When it was written, as the log says.
    event : str
        Name of the event.
    source : str
        Log that it stands in.
    fields : dict of str to str
        All other fields in order.
    """

    time: str
    event: str
    source: str
    fields: dict[str, str]

    @property
    def request_id(self) -> str:
        """Request that the event is about, or empty."""
        return self.fields.get("request_id", "")


def parse_log_lines(source: str, lines: Iterable[str]) -> Iterator[LogLine]:
    """Yield the events of one log; what is no event is passed over."""
    for line in lines:
        start = line.find("time=")
        if start < 0:
            continue
        try:
            words = shlex.split(line[start:])
        except ValueError:
            # Cut off in the middle, as at the end of a killed process.
            continue
        fields = dict(word.split("=", 1) for word in words if "=" in word)
        if "event" not in fields:
            continue
        yield LogLine(
            time=fields.pop("time", ""),
            event=fields.pop("event"),
            source=source,
            fields=fields,
        )
