"""Filter that drops updates of demand that are too small to send."""

from collections.abc import Iterable

import attrs

from citrondock_core.demand_table import DemandKey
from citrondock_core.messages import Demand

SIGNIFICANT_CHANGE_FACTOR = 4.0
"""Growth or shrinkage of a queue from which an update is sent."""

REPORTED_ROUTERS_COUNT = 2
"""Routers with the longest queues that are reported per pool and account."""


@attrs.define
class _LastSent:
    waiting_count: int = 0
    zero_since_s: float | None = None


class DemandUpdateFilter:
    """Passes on demand that differs much from what was last sent to a receiver.

    Higher demand is passed on at once. Demand that fell to zero is passed on only
    after it stayed there for a while, because the queue of an account that gets its
    share is often empty for a moment.
    """

    def __init__(self) -> None:
        self._sent: dict[DemandKey, dict[str, _LastSent]] = {}
        self._deferred: set[DemandKey] = set()

    def reset(self) -> None:
        """Forget what was sent, so that all demand passes again."""
        self._sent.clear()

    def reset_key(self, key: DemandKey) -> None:
        """Forget what was sent about one pool and account."""
        self._sent.pop(key, None)

    def take_deferred(self) -> set[DemandKey]:
        """Return and clear the keys whose fall to zero was not passed on yet."""
        deferred = self._deferred
        self._deferred = set()
        return deferred

    def updates_to_send(
        self,
        key: DemandKey,
        demands: Iterable[Demand],
        *,
        zero_delay_s: float,
        now_s: float,
    ) -> list[Demand]:
        """Return the demand to send about one pool and account.

        Only the `REPORTED_ROUTERS_COUNT` routers with the longest queues are reported;
        the demand of others is sent as zero.

        Parameters
        ----------
        key : tuple of str
            Pool and account.
        demands : iterable of Demand
            Current demand of each router.
        zero_delay_s : float
            How long demand must stay at zero before that is sent.
        now_s : float
            Current monotonic time.
        """
        ordered = sorted(demands, key=lambda d: (-d.waiting_count, d.vm_name))
        sent = self._sent.setdefault(key, {})
        result = []
        for rank, demand in enumerate(ordered):
            count = demand.waiting_count if rank < REPORTED_ROUTERS_COUNT else 0
            before = sent.setdefault(demand.vm_name, _LastSent())
            if self._should_send(before, count, zero_delay_s, now_s):
                before.waiting_count = count
                result.append(attrs.evolve(demand, waiting_count=count))
            elif before.zero_since_s is not None:
                self._deferred.add(key)
        return result

    def _should_send(
        self, before: _LastSent, count: int, zero_delay_s: float, now_s: float
    ) -> bool:
        if count:
            before.zero_since_s = None
            return _is_significant(before.waiting_count, count)
        if not before.waiting_count:
            return False
        if before.zero_since_s is None:
            before.zero_since_s = now_s
        if now_s < before.zero_since_s + zero_delay_s:
            return False
        before.zero_since_s = None
        return True


def _is_significant(before: int, after: int) -> bool:
    if not before:
        return True
    return max(before, after) >= SIGNIFICANT_CHANGE_FACTOR * min(before, after)
