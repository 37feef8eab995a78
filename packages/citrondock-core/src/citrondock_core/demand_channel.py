"""Which statements of demand are worth sending again."""

from collections.abc import Iterable

from citrondock_core.demand_table import DemandKey
from citrondock_core.messages import Demand

SIGNIFICANT_FACTOR = 2.0
STATED_ROUTERS_COUNT = 4


class DemandChannel:
    """Remembers what was last sent, and lets through what changed by much."""

    def __init__(self) -> None:
        self._sent: dict[DemandKey, dict[str, int]] = {}

    def forget(self) -> None:
        """Send everything again, to a new receiver."""
        self._sent.clear()

    def forget_key(self, key: DemandKey) -> None:
        """Send what is said of one pool and account again."""
        self._sent.pop(key, None)

    def changed(self, key: DemandKey, statements: Iterable[Demand]) -> list[Demand]:
        """Return statements to send; of many routers only the longest queues."""
        ordered = sorted(statements, key=lambda d: (-d.waiting_count, d.vm_name))
        sent = self._sent.setdefault(key, {})
        result = []
        for rank, demand in enumerate(ordered):
            count = demand.waiting_count if rank < STATED_ROUTERS_COUNT else 0
            if _significant(sent.get(demand.vm_name, 0), count):
                sent[demand.vm_name] = count
                result.append(_with_count(demand, count))
        return result


def _significant(before: int, after: int) -> bool:
    if not before or not after:
        return before != after
    return max(before, after) >= SIGNIFICANT_FACTOR * min(before, after)


def _with_count(demand: Demand, count: int) -> Demand:
    if demand.waiting_count == count:
        return demand
    return Demand(
        vm_name=demand.vm_name,
        incarnation=demand.incarnation,
        pool=demand.pool,
        account=demand.account,
        waiting_count=count,
        sequence=demand.sequence,
    )
