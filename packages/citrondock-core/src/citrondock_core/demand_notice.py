"""Tells homes at once when requests begin to wait with no slot free."""

from collections.abc import Mapping

import attrs

from citrondock_core.actions import Send
from citrondock_core.demand_table import DemandKey
from citrondock_core.fair_queue import FairQueue
from citrondock_core.messages import Demand, Member, Summary
from citrondock_core.rendezvous import choose
from citrondock_core.target_table import TargetTable

NOTICE_KNOWN_S = 5.0
NOTICE_BYTES = 150
BUDGET_BYTES_PER_S = 600.0
GROWTH_FACTOR = 2
MAX_HOMES_COUNT = 12
MAX_ACCOUNTS_COUNT = 16


@attrs.define
class _Noticed:
    waiting_count: int = 0
    turned: bool = True
    known_until_s: dict[str, float] = attrs.field(factory=dict)
    next_notice_s: float = 0.0

    def is_due(self, queue: FairQueue, now_s: float) -> bool:
        """Return whether the homes know too little of what waits."""
        if now_s < self.next_notice_s:
            return False
        if len(queue) >= GROWTH_FACTOR * max(1, self.waiting_count):
            return True
        if not self.turned:
            return False
        known = self.known_until_s
        return any(known.get(account, 0.0) <= now_s for account in queue.accounts)


class DemandNotice:
    """Direct statements of demand, besides the periodic ones.

    Parameters
    ----------
    member : Member
        This router.
    targets : TargetTable
        Where the homes are known.
    """

    def __init__(self, member: Member, targets: TargetTable) -> None:
        self._member = member
        self._targets = targets
        self._noticed: dict[str, _Noticed] = {}

    def restate(self, pool: str, account: str) -> None:
        """Give notice of an account again, after a home may have doubted it."""
        noticed = self._noticed.setdefault(pool, _Noticed())
        noticed.known_until_s.pop(account, None)
        noticed.turned = True

    def step(
        self,
        pool: str,
        queue: FairQueue,
        own_demand: Mapping[DemandKey, Demand],
        *,
        now_s: float,
    ) -> list[Send]:
        """Return notices that are due for a pool."""
        noticed = self._noticed.setdefault(pool, _Noticed())
        if not len(queue):
            noticed.turned = True
            return []
        if not noticed.is_due(queue, now_s):
            return []
        homes = self._homes(pool)
        demands = _longest(pool, queue, own_demand)
        noticed.waiting_count = max(len(queue), noticed.waiting_count)
        noticed.turned = False
        pause_s = len(homes) * NOTICE_BYTES / BUDGET_BYTES_PER_S
        noticed.next_notice_s = now_s + pause_s
        known_until_s = now_s + NOTICE_KNOWN_S
        noticed.known_until_s.update(dict.fromkeys(queue.accounts, known_until_s))
        summary = Summary(demands=demands)
        return [Send(vm_name, summary) for vm_name in homes]

    def _homes(self, pool: str) -> list[str]:
        homes = self._targets.homes(pool) - {self._member.vm_name}
        chosen: list[str] = []
        while homes and len(chosen) < MAX_HOMES_COUNT:
            name = choose(f"notice/{self._member.vm_name}", homes)
            chosen.append(name or "")
            homes.discard(name or "")
        return chosen


def _longest(
    pool: str, queue: FairQueue, own_demand: Mapping[DemandKey, Demand]
) -> list[Demand]:
    """Return the statements about the accounts with the longest queues."""
    accounts = sorted(queue.accounts, key=lambda a: (-queue.count(a), a))
    keys = [(pool, account) for account in accounts[:MAX_ACCOUNTS_COUNT]]
    return [own_demand[key] for key in keys if key in own_demand]
