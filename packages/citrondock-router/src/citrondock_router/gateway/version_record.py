"""Record of the software version at which one stream begins."""

import asyncio
from collections.abc import Callable


class VersionRecord:
    """Writes the version of a target that is sent a request, where that is needed.

    A later record takes the place of one for a version that sent no event. A write that
    failed may have left a record all the same, so that the next version needs one, too.

    Parameters
    ----------
    is_needed : callable
        Returns whether a stream that begins at a version has to be recorded.
    write : callable
        Writes a version; the result has an error if the stream may not begin there.
    on_written : callable
        Called with whether the last version was written.
    """

    def __init__(
        self,
        *,
        is_needed: Callable[[str], bool],
        write: Callable[[str], "asyncio.Future[None]"],
        on_written: Callable[[bool], None],
    ) -> None:
        self._is_needed = is_needed
        self._write = write
        self._on_written = on_written
        self._version: str | None = None
        self._may_exist = False
        self._unwritten: asyncio.Future[None] | None = None

    @property
    def is_pending(self) -> bool:
        """Whether a version is being written."""
        return self._unwritten is not None

    def is_needed_for(self, version: str) -> bool:
        """Return whether a version has to be written before the stream begins."""
        if version == self._version:
            return False
        return self._may_exist or self._is_needed(version)

    def ensure(self, version: str) -> None:
        """Write a version if that is needed."""
        if not self.is_needed_for(version):
            return
        self._version = version
        self._may_exist = True
        self._unwritten = self._write(version)
        self._unwritten.add_done_callback(self._written)

    def _written(self, written: "asyncio.Future[None]") -> None:
        if written is not self._unwritten:
            # Another version took its place.
            return
        self._unwritten = None
        is_written = not written.cancelled() and written.exception() is None
        if not is_written:
            self._version = None
        self._on_written(is_written)
