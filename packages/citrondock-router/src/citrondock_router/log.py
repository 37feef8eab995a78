"""Structured logs: one line of key=value pairs for each event."""

import logging
import sys
import threading
from types import TracebackType
from typing import Protocol, TextIO, cast

from loguru import logger


class LogStream(Protocol):
    """Where lines are written."""

    def write(self, text: str, /) -> object:
        """Write one line."""


LogValue = str | int | float | bool | None

_PLAIN = frozenset(
    "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-_.:/+,@%*"
)
_MAX_VALUE_CHARACTERS = 400
_FORMAT = "time={time:YYYY-MM-DDTHH:mm:ss.SSSZ} level={level} {message}"


class _LibraryHandler(logging.Handler):
    """Writes what libraries log in the same form."""

    def emit(self, record: logging.LogRecord) -> None:
        try:
            message = record.getMessage()
        except (TypeError, ValueError):
            message = str(record.msg)
        fields = {"logger": record.name, "message": message}
        if record.exc_info and record.exc_info[0] is not None:
            fields["error"] = record.exc_info[0].__name__
            fields["detail"] = str(record.exc_info[1])
        log_event("library_message", level=_level_name(record.levelno), **fields)


def configure_logging(*, level: str = "INFO", stream: LogStream | None = None) -> None:
    """Send events of ``level`` and above to ``stream``, by default stderr.

    Warnings and errors of libraries, and exceptions that end a thread or the process,
    become events too.
    """
    logger.remove()
    logger.add(
        cast(TextIO, stream or sys.stderr),
        level=level,
        format=_FORMAT,
        colorize=False,
        backtrace=False,
        diagnose=False,
    )
    logging.basicConfig(handlers=[_LibraryHandler()], level="WARNING", force=True)
    logging.captureWarnings(True)
    sys.excepthook = _log_uncaught
    threading.excepthook = _log_thread_end


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


def _level_name(level_number: int) -> str:
    if level_number >= logging.ERROR:
        return "ERROR"
    return "WARNING" if level_number >= logging.WARNING else "DEBUG"


def _log_uncaught(
    kind: type[BaseException],
    error: BaseException,
    trace: TracebackType | None,
    *,
    thread: str = "main",
) -> None:
    log_event(
        "uncaught_exception",
        level="ERROR",
        thread=thread,
        error=kind.__name__,
        detail=str(error),
        place=_place(trace),
    )


def _log_thread_end(hook: threading.ExceptHookArgs) -> None:
    if hook.exc_value is not None:
        name = hook.thread.name if hook.thread else ""
        _log_uncaught(hook.exc_type, hook.exc_value, hook.exc_traceback, thread=name)


def _place(trace: TracebackType | None) -> str:
    """Return the file and line where an exception arose."""
    if trace is None:
        return ""
    while trace.tb_next is not None:
        trace = trace.tb_next
    return f"{trace.tb_frame.f_code.co_filename}:{trace.tb_lineno}"
