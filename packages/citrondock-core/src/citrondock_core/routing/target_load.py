"""Requests of this router at one target, and the target's suspension after failures."""

import attrs

from citrondock_core.routing.target_entry import TargetEntry

FIRST_SUSPENSION_S = 0.5
MAX_SUSPENSION_S = 4.0
"""Time for which a failing target gets no new requests. It doubles with each failure in
a row, up to the maximum."""

MIN_PAUSE_S = 0.5
MAX_PAUSE_S = 60.0
"""Bounds of the time for which a target may ask for no further requests. A time that
cannot be read counts as the shortest."""


@attrs.define
class TargetLoad:
    """Load and recent failures of one target, as this router sees them.

    Parameters
    ----------
    entry : TargetEntry
        The target.
    suspended_until_s : float
        Until then it gets no new requests.
    last_data_at_s : float
        When it last sent data on any connection.
    paused_until_s : float
        Until then it gets no requests at all, as it asked for.
    """

    entry: TargetEntry
    suspended_until_s: float = 0.0
    _failure_count: int = 0
    _running: set[str] = attrs.field(factory=set)
    last_data_at_s: float = 0.0
    paused_until_s: float = 0.0

    @property
    def running_count(self) -> int:
        """Number of this router's requests at the target."""
        return len(self._running)

    @property
    def busy_share(self) -> float:
        """Share of the target's concurrency that this router's requests take up."""
        return len(self._running) / self.entry.max_concurrency

    @property
    def has_free_slot(self) -> bool:
        """Whether the target can run one more request of this router at once."""
        return len(self._running) < self.entry.max_concurrency

    def is_suspended(self, *, now_s: float) -> bool:
        """Return whether the target gets no new requests because of failures."""
        return now_s < self.suspended_until_s

    def record_sent(self, key: str) -> None:
        """Count a request that is sent to the target now."""
        self._running.add(key)

    def record_ended(self, key: str) -> None:
        """Stop counting a request that ended or was given up."""
        self._running.discard(key)

    def record_failure(self, *, now_s: float) -> None:
        """Suspend the target, for longer with each failure in a row."""
        suspension_s = FIRST_SUSPENSION_S * 2.0**self._failure_count
        self.suspended_until_s = now_s + min(suspension_s, MAX_SUSPENSION_S)
        self._failure_count = min(self._failure_count + 1, 8)

    def record_crash(self, *, now_s: float) -> None:
        """Suspend a target that crashed; its next incarnation has a load of its own."""
        self.suspended_until_s = now_s + MAX_SUSPENSION_S

    def record_pause(self, retry_after_s: float, *, now_s: float) -> None:
        """Send no requests to a target that asks for a pause, within bounds."""
        pause_s = min(max(retry_after_s, MIN_PAUSE_S), MAX_PAUSE_S)
        self.paused_until_s = max(self.paused_until_s, now_s + pause_s)

    def record_success(self) -> None:
        """Reset the failures, which ends a suspension."""
        self._failure_count = 0
        self.suspended_until_s = 0.0
