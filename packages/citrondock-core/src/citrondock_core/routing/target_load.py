"""Requests that this router has at one target, and whether it failed lately."""

import attrs

from citrondock_core.routing.target_entry import TargetEntry

FIRST_SUSPENSION_S = 0.5
MAX_SUSPENSION_S = 4.0
"""A failing target gets nothing new for so long, doubling with each failure."""


@attrs.define
class TargetLoad:
    """Counts of one target.

    Parameters
    ----------
    entry : TargetEntry
        The target.
    """

    entry: TargetEntry
    suspended_until_s: float = 0.0
    _failure_count: int = 0
    _running: set[str] = attrs.field(factory=set)
    last_data_at_s: float = 0.0

    @property
    def running_count(self) -> int:
        """Requests of this router that have not ended."""
        return len(self._running)

    @property
    def has_free_slot(self) -> bool:
        """Whether the target runs one more request of this router at once."""
        return len(self._running) < self.entry.max_concurrency

    def is_suspended(self, *, now_s: float) -> bool:
        """Return whether failures keep new requests away for a while."""
        return now_s < self.suspended_until_s

    def record_sent(self, key: str) -> None:
        """Count a request that is sent now."""
        self._running.add(key)

    def record_ended(self, key: str) -> None:
        """Forget a request that ended or was given up."""
        self._running.discard(key)

    def record_failure(self, *, now_s: float) -> None:
        """Keep new requests away, longer with each failure in a row."""
        suspension_s = FIRST_SUSPENSION_S * 2.0**self._failure_count
        self.suspended_until_s = now_s + min(suspension_s, MAX_SUSPENSION_S)
        self._failure_count = min(self._failure_count + 1, 8)

    def record_success(self) -> None:
        """Forget earlier failures."""
        self._failure_count = 0
        self.suspended_until_s = 0.0
