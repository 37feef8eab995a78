"""Latest era of a store that may come back from an older copy."""

from collections.abc import Callable

from citrondock_router.log import log_event


class StoreEra:
    """Latest era that any answer of the store showed to this process.

    A store that comes back from a copy begins a new era: what was written since the
    copy is gone, and its revisions are given out again. An answer to any call tells so.
    """

    def __init__(self) -> None:
        self._latest: int | None = None
        self._listeners: list[Callable[[], None]] = []

    @property
    def latest(self) -> int:
        """Latest era; 0 as long as none is known."""
        return self._latest or 0

    def on_change(self, listener: Callable[[], None]) -> None:
        """Call ``listener`` at the beginning of each era after the first known one."""
        self._listeners.append(listener)

    def observe(self, era: int) -> None:
        """Record the era of an answer; one of a former era changes nothing."""
        before = self._latest
        if before is not None and era <= before:
            return
        self._latest = era
        if before is None:
            return
        log_event("store_era_began", level="WARNING", era=era, before=before)
        for listener in self._listeners:
            listener()
