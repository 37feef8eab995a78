"""Which target likely still caches the prefix of a request."""

from collections import OrderedDict
from collections.abc import Sequence

from citrondock_core.request import WaitingRequest
from citrondock_core.target_slots import TargetSlots

REMEMBERED_KEYS_COUNT = 4_096


class AffinityTable:
    """The target that each affinity key last ran on; a hint only."""

    def __init__(self, *, max_count: int = REMEMBERED_KEYS_COUNT) -> None:
        self._targets: OrderedDict[str, str] = OrderedDict()
        self._max_count = max_count

    def note(self, affinity_key: str, target: str) -> None:
        """Remember where a key ran."""
        if not affinity_key:
            return
        self._targets[affinity_key] = target
        self._targets.move_to_end(affinity_key)
        if len(self._targets) > self._max_count:
            self._targets.popitem(last=False)

    def prefers(self, request: WaitingRequest, target: str) -> bool:
        """Return whether a request likely finds its prefix at a target."""
        if not request.affinity_key:
            return False
        return self._targets.get(request.affinity_key) == target

    def best_target(
        self, request: WaitingRequest, free: Sequence[TargetSlots]
    ) -> TargetSlots | None:
        """Return the free target that a request prefers, or None."""
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
        """Return which of an account's requests a target gets.

        Parameters
        ----------
        waiting : sequence of WaitingRequest
            Requests of one account, longest wait first.
        target : str
            Where a slot is free.
        overdue_arrival_s : float
            The first request goes when it arrived before this time.
        """
        if waiting[0].arrived_at_s <= overdue_arrival_s:
            return waiting[0]
        for request in waiting:
            if self.prefers(request, target):
                return request
        return waiting[0]
