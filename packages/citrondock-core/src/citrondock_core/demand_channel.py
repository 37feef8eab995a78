"""Which statements of demand are worth sending again."""

from collections.abc import Iterable

import attrs

from citrondock_core.demand_table import DemandKey
from citrondock_core.messages import Demand

SIGNIFICANT_FACTOR = 4.0
STATED_ROUTERS_COUNT = 2


@attrs.define
class _Sent:
    waiting_count: int = 0
    zero_since_s: float | None = None


class DemandChannel:
    """Remembers what was last sent, and lets through what changed by much.

    More demand is told at once; that it ended is told when it stays so, because an
    account that gets its share often waits for nothing for a moment.
    """

    def __init__(self) -> None:
        self._sent: dict[DemandKey, dict[str, _Sent]] = {}
        self._held: set[DemandKey] = set()

    def forget(self) -> None:
        """Send everything again, to a new receiver."""
        self._sent.clear()

    def forget_key(self, key: DemandKey) -> None:
        """Send what is said of one pool and account again."""
        self._sent.pop(key, None)

    def take_held(self) -> set[DemandKey]:
        """Return keys whose end was held back, to ask again."""
        held = self._held
        self._held = set()
        return held

    def changed(
        self,
        key: DemandKey,
        statements: Iterable[Demand],
        *,
        zero_hold_s: float,
        now_s: float,
    ) -> list[Demand]:
        """Return statements to send; of many routers only the longest queues.

        Parameters
        ----------
        key : tuple of str
            Pool and account.
        statements : iterable of Demand
            What is known of them.
        zero_hold_s : float
            How long nothing must wait before that is told.
        now_s : float
            Time now.
        """
        ordered = sorted(statements, key=lambda d: (-d.waiting_count, d.vm_name))
        sent = self._sent.setdefault(key, {})
        result = []
        for rank, demand in enumerate(ordered):
            count = demand.waiting_count if rank < STATED_ROUTERS_COUNT else 0
            before = sent.setdefault(demand.vm_name, _Sent())
            if self._worth_sending(before, count, zero_hold_s, now_s):
                before.waiting_count = count
                result.append(attrs.evolve(demand, waiting_count=count))
            elif before.zero_since_s is not None:
                self._held.add(key)
        return result

    def _worth_sending(
        self, before: _Sent, count: int, zero_hold_s: float, now_s: float
    ) -> bool:
        if count:
            before.zero_since_s = None
            return _significant(before.waiting_count, count)
        if not before.waiting_count:
            return False
        if before.zero_since_s is None:
            before.zero_since_s = now_s
        if now_s < before.zero_since_s + zero_hold_s:
            return False
        before.zero_since_s = None
        return True


def _significant(before: int, after: int) -> bool:
    if not before:
        return True
    return max(before, after) >= SIGNIFICANT_FACTOR * min(before, after)
