"""Parser of the routers' log lines."""

import shlex
from collections.abc import Iterable, Iterator

import attrs


@attrs.frozen(kw_only=True)
class LogLine:
    """One event in a log.

    Parameters
    ----------
    time : str
        Timestamp as written in the log.
    event : str
        Name of the event.
    source : str
        File name of the log.
    fields : dict of str to str
        All other fields, in the order of the line.
    """

    time: str
    event: str
    source: str
    fields: dict[str, str]

    @property
    def request_id(self) -> str:
        """Id of the request that the event is about; empty if none."""
        return self.fields.get("request_id", "")


def parse_log_lines(source: str, lines: Iterable[str]) -> Iterator[LogLine]:
    """Yield the events of one log; other lines are skipped."""
    for line in lines:
        start = line.find("time=")
        if start < 0:
            continue
        try:
            words = shlex.split(line[start:])
        except ValueError:
            # The line is truncated, as when the process was killed while writing.
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
