"""Notices that a file was replaced."""

import asyncio
from collections.abc import Callable
from pathlib import Path

CHECK_S = 1.0
"""Settings may change without a signal; a second later they are in force."""


async def watch_file(path: Path, changed: Callable[[], None]) -> None:
    """Call ``changed`` after each change of a file's time or size."""
    seen = _stamp(path)
    while True:
        await asyncio.sleep(CHECK_S)
        stamp = _stamp(path)
        if stamp is not None and stamp != seen:
            seen = stamp
            changed()


def _stamp(path: Path) -> tuple[int, int, int] | None:
    """Return what tells two contents apart; None while there is no file."""
    try:
        found = path.stat()
    except FileNotFoundError:
        return None
    return found.st_mtime_ns, found.st_size, found.st_ino
