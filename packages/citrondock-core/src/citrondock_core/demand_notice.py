"""Tells homes at once when requests begin to wait with no slot free."""

from collections.abc import Mapping

import attrs

from citrondock_core.actions import Send
from citrondock_core.demand_table import DemandKey
from citrondock_core.fair_queue import FairQueue
from citrondock_core.messages import Demand, Member, Summary
from citrondock_core.rendezvous import choose
from citrondock_core.target_table import TargetTable

NOTICE_PAUSE_S = 0.1
GROWTH_FACTOR = 2
MAX_HOMES_COUNT = 12
MAX_ACCOUNTS_COUNT = 16


@attrs.define
class _Noticed:
    waiting_count: int = 0
    next_notice_s: float = 0.0


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

    def restate(self, pool: str) -> None:
        """Give notice again although the queue never ran empty."""
        self._noticed.setdefault(pool, _Noticed()).waiting_count = 0

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
            noticed.waiting_count = 0
            return []
        if len(queue) < GROWTH_FACTOR * noticed.waiting_count:
            return []
        if now_s < noticed.next_notice_s:
            return []
        noticed.waiting_count = len(queue)
        noticed.next_notice_s = now_s + NOTICE_PAUSE_S
        summary = Summary(demands=_longest(pool, queue, own_demand))
        return [Send(vm_name, summary) for vm_name in self._homes(pool)]

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
