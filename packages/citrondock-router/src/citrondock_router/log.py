"""Structured logs: one line of key=value pairs for each event."""

import sys
from typing import TextIO

from loguru import logger

LogValue = str | int | float | bool | None

_PLAIN = frozenset(
    "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-_.:/+,@%*"
)
_MAX_VALUE_CHARACTERS = 400
_FORMAT = "time={time:YYYY-MM-DDTHH:mm:ss.SSSZ} level={level} {message}"


def configure_logging(*, level: str = "INFO", stream: TextIO | None = None) -> None:
    """Send events of ``level`` and above to ``stream``, by default stderr."""
    logger.remove()
    logger.add(
        stream or sys.stderr,
        level=level,
        format=_FORMAT,
        colorize=False,
        backtrace=False,
        diagnose=False,
    )


def log_event(name: str, *, level: str = "INFO", **fields: LogValue) -> None:
    """Write one event.

    Values never break the line: anything but plain characters is quoted, with blanks,
    quotes and control characters escaped.

    Examples
    --------
    >>> log_event("request_refused", request_id="r1", reason="deadline_passed")
    """
    pairs = [f"event={name}"]
    pairs += [f"{key}={_escape(value)}" for key, value in fields.items()]
    logger.log(level, "{}", " ".join(pairs))


def _escape(value: LogValue) -> str:
    if isinstance(value, float):
        return f"{value:.6g}"
    text = str(value)[:_MAX_VALUE_CHARACTERS]
    if text and _PLAIN.issuperset(text):
        return text
    escaped = text.encode("unicode_escape").decode("ascii").replace('"', '\\"')
    return f'"{escaped}"'
