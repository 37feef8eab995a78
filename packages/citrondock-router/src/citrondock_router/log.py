"""Structured logging: one line of ``key=value`` pairs for each event."""

import logging
import sys
import threading
import time
from types import TracebackType
from typing import Protocol, TextIO, cast

from loguru import logger


class LogStream(Protocol):
    """Destination of log lines."""

    def write(self, text: str, /) -> object:
        """Write one line."""


LogValue = str | int | float | bool | None

_UNQUOTED_CHARACTERS = frozenset(
    "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-_.:/+,@%*"
)
_MAX_VALUE_CHARACTERS = 400
_FORMAT = "time={time:YYYY-MM-DDTHH:mm:ss.SSSZ} level={level} {message}"


class _LineWriter:
    """Writes events to a stream without the records of loguru, which cost far more.

    Parameters
    ----------
    stream : LogStream
        Destination.
    level : str
        Lowest level that is written.
    """

    def __init__(self, stream: LogStream, level: str) -> None:
        self._stream = stream
        self._min_level_number = logger.level(level).no
        self._second = -1
        self._second_text = ""

    def write(self, level: str, message: str) -> None:
        """Write one line, if its level is high enough."""
        if logger.level(level).no < self._min_level_number:
            return
        second, milliseconds = divmod(time.time_ns() // 1_000_000, 1_000)
        if second != self._second:
            self._second = second
            self._second_text = time.strftime("%Y-%m-%dT%H:%M:%S", time.gmtime(second))
        self._stream.write(
            f"time={self._second_text}.{milliseconds:03d}+00:00 level={level} "
            f"{message}\n"
        )


class _LibraryHandler(logging.Handler):
    """Writes the log records of libraries as events."""

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


_line_writer: _LineWriter | None = None


def configure_logging(
    *, level: str = "INFO", stream: LogStream | None = None, is_direct: bool = False
) -> None:
    """Write events of ``level`` and above to ``stream``, by default standard error.

    Warnings and errors of libraries, and uncaught exceptions of the process and its
    threads, are written as events too.

    Parameters
    ----------
    level : str
        Lowest level that is written.
    stream : LogStream or None
        Destination; None for standard error.
    is_direct : bool
        Whether lines go to ``stream`` without loguru, and to no other sink of it.
    """
    global _line_writer
    destination = stream or sys.stderr
    logger.remove()
    _line_writer = _LineWriter(destination, level) if is_direct else None
    logger.add(
        cast(TextIO, destination),
        level=level,
        format=_FORMAT,
        colorize=False,
        backtrace=False,
        diagnose=False,
    )
    logging.basicConfig(handlers=[_LibraryHandler()], level="WARNING", force=True)
    logging.captureWarnings(True)
    sys.excepthook = _log_uncaught
    threading.excepthook = _log_uncaught_in_thread


def log_event(name: str, *, level: str = "INFO", **fields: LogValue) -> None:
    """Write one event.

    A value never breaks the line. One that is empty or has characters beyond
    `_UNQUOTED_CHARACTERS` is put in double quotes, with quotes, control and non-ASCII
    characters escaped. Values are cut to `_MAX_VALUE_CHARACTERS`.

    Examples
    --------
    >>> log_event("request_refused", request_id="r1", reason="deadline_passed")
    """
    pairs = [f"event={name}"]
    pairs += [f"{key}={_escape(value)}" for key, value in fields.items()]
    message = " ".join(pairs)
    if _line_writer is not None:
        _line_writer.write(level, message)
    else:
        logger.log(level, "{}", message)


def _escape(value: LogValue) -> str:
    if isinstance(value, float):
        return f"{value:.6g}"
    text = str(value)[:_MAX_VALUE_CHARACTERS]
    if text and _UNQUOTED_CHARACTERS.issuperset(text):
        return text
    escaped = text.encode("unicode_escape").decode("ascii").replace('"', '\\"')
    return f'"{escaped}"'


def _level_name(level_number: int) -> str:
    if level_number >= logging.ERROR:
        return "ERROR"
    return "WARNING" if level_number >= logging.WARNING else "DEBUG"


def _log_uncaught(
    error_type: type[BaseException],
    error: BaseException,
    traceback: TracebackType | None,
    *,
    thread: str = "main",
) -> None:
    log_event(
        "uncaught_exception",
        level="ERROR",
        thread=thread,
        error=error_type.__name__,
        detail=str(error),
        place=raised_at(traceback),
    )


def _log_uncaught_in_thread(args: threading.ExceptHookArgs) -> None:
    if args.exc_value is not None:
        name = args.thread.name if args.thread else ""
        _log_uncaught(args.exc_type, args.exc_value, args.exc_traceback, thread=name)


def raised_at(traceback: TracebackType | None) -> str:
    """Return the file and line that raised an exception, as ``FILE:LINE``."""
    if traceback is None:
        return ""
    while traceback.tb_next is not None:
        traceback = traceback.tb_next
    return f"{traceback.tb_frame.f_code.co_filename}:{traceback.tb_lineno}"
