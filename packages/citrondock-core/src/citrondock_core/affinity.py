"""Prompt prefix affinity: which target likely still caches a prompt's prefix."""

from collections import OrderedDict
from collections.abc import Sequence

from citrondock_core.request import WaitingRequest
from citrondock_core.target_slots import TargetSlots

MAX_KEY_COUNT = 4_096


class AffinityTable:
    """Maps each affinity key to the target it last ran on; a hint only.

    Parameters
    ----------
    max_count : int
        Most keys kept; the one least recently noted is dropped first.
    """

    def __init__(self, *, max_count: int = MAX_KEY_COUNT) -> None:
        self._targets: OrderedDict[str, str] = OrderedDict()
        self._max_count = max_count

    def note(self, affinity_key: str, target: str) -> None:
        """Record the target on which a request with this key ran."""
        if not affinity_key:
            return
        self._targets[affinity_key] = target
        self._targets.move_to_end(affinity_key)
        if len(self._targets) > self._max_count:
            self._targets.popitem(last=False)

    def prefers(self, request: WaitingRequest, target: str) -> bool:
        """Return whether a target likely caches the prefix of a request."""
        if not request.affinity_key:
            return False
        return self._targets.get(request.affinity_key) == target

    def best_target(
        self, request: WaitingRequest, free: Sequence[TargetSlots]
    ) -> TargetSlots | None:
        """Return the free target that likely caches the request's prefix, or None."""
        for slots in free:
            if self.prefers(request, slots.name):
                return slots
        return None

    def best_request(
        self,
        waiting: Sequence[WaitingRequest],
        target: str,
        *,
        overdue_arrival_s: float,
    ) -> WaitingRequest:
        """Return the request of an account that a target should run next.

        The longest-waiting request unless a later one has its prefix cached there.

        Parameters
        ----------
        waiting : sequence of WaitingRequest
            Requests of one account, longest wait first.
        target : str
            Target with a free slot.
        overdue_arrival_s : float
            Monotonic time; the first request goes regardless of affinity if it
            arrived at this time or earlier.
        """
        if waiting[0].arrived_at_s <= overdue_arrival_s:
            return waiting[0]
        for request in waiting:
            if self.prefers(request, target):
                return request
        return waiting[0]
