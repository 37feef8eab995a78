"""Polls a file and reports when it changes."""

import asyncio
from collections.abc import Callable
from pathlib import Path

CHECK_PERIOD_S = 1.0
"""Settings may change without a signal; they take effect within this time."""


async def watch_file(path: Path, on_change: Callable[[], None]) -> None:
    """Call ``on_change`` when a file's modification time, size or inode changes."""
    last = _fingerprint(path)
    while True:
        await asyncio.sleep(CHECK_PERIOD_S)
        fingerprint = _fingerprint(path)
        if fingerprint is not None and fingerprint != last:
            last = fingerprint
            on_change()


def _fingerprint(path: Path) -> tuple[int, int, int] | None:
    """Return a file's modification time, size and inode; None if it does not exist."""
    try:
        status = path.stat()
    except FileNotFoundError:
        return None
    return status.st_mtime_ns, status.st_size, status.st_ino
