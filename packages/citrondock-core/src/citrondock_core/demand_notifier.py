"""Immediate notices to home routers that requests wait without a free slot."""

from collections.abc import Mapping

import attrs

from citrondock_core.actions import Send
from citrondock_core.demand_table import DemandKey
from citrondock_core.fair_queue import FairQueue
from citrondock_core.messages import Demand, Member, Summary
from citrondock_core.rendezvous import choose
from citrondock_core.target_table import TargetTable

NOTICE_REPEAT_S = 5.0
"""Time after which an account that still waits may cause another notice."""

NOTICE_BYTES = 150
"""Estimated size of a notice."""

MAX_BYTES_PER_S = 600.0
"""Rate limit of the notices of one pool."""

GROWTH_FACTOR = 2
"""Growth of the queue that causes another notice."""

MAX_RECIPIENTS_COUNT = 12
MAX_ACCOUNTS_COUNT = 16


@attrs.define
class _PoolNotices:
    """Notices sent for one pool.

    ``armed`` allows a notice without growth of the queue. It is set when the queue
    empties or an account has to be sent again, and cleared when a notice is sent.
    """

    waiting_count: int = 0
    armed: bool = True
    repeat_at_s: dict[str, float] = attrs.field(factory=dict)
    next_notice_s: float = 0.0

    def is_due(self, queue: FairQueue, now_s: float) -> bool:
        """Return whether the home routers need a notice about the queue."""
        if now_s < self.next_notice_s:
            return False
        if len(queue) >= GROWTH_FACTOR * max(1, self.waiting_count):
            return True
        if not self.armed:
            return False
        repeat_at_s = self.repeat_at_s
        return any(repeat_at_s.get(account, 0.0) <= now_s for account in queue.accounts)


class DemandNotifier:
    """Sends demand straight to the home routers of a pool, without the relays.

    A notice arrives sooner than the periodic summary.

    Parameters
    ----------
    member : Member
        This router.
    targets : TargetTable
        Targets and their home routers.
    """

    def __init__(self, member: Member, targets: TargetTable) -> None:
        self._member = member
        self._targets = targets
        self._notices_by_pool: dict[str, _PoolNotices] = {}

    def resend_demand(self, pool: str, account: str) -> None:
        """Make an account due again, as a home router may have dropped its demand."""
        notices = self._notices_by_pool.setdefault(pool, _PoolNotices())
        notices.repeat_at_s.pop(account, None)
        notices.armed = True

    def step(
        self,
        pool: str,
        queue: FairQueue,
        own_demand: Mapping[DemandKey, Demand],
        *,
        now_s: float,
    ) -> list[Send]:
        """Return the notices that are due for a pool."""
        notices = self._notices_by_pool.setdefault(pool, _PoolNotices())
        if not len(queue):
            notices.armed = True
            return []
        if not notices.is_due(queue, now_s):
            return []
        recipients = self._recipients(pool)
        demands = _longest_queues(pool, queue, own_demand)
        notices.waiting_count = max(len(queue), notices.waiting_count)
        notices.armed = False
        pause_s = len(recipients) * NOTICE_BYTES / MAX_BYTES_PER_S
        notices.next_notice_s = now_s + pause_s
        repeat_at_s = now_s + NOTICE_REPEAT_S
        notices.repeat_at_s.update(dict.fromkeys(queue.accounts, repeat_at_s))
        summary = Summary(demands=demands)
        return [Send(vm_name, summary) for vm_name in recipients]

    def _recipients(self, pool: str) -> list[str]:
        homes = self._targets.homes(pool) - {self._member.vm_name}
        chosen: list[str] = []
        while homes and len(chosen) < MAX_RECIPIENTS_COUNT:
            name = choose(f"notice/{self._member.vm_name}", homes)
            chosen.append(name or "")
            homes.discard(name or "")
        return chosen


def _longest_queues(
    pool: str, queue: FairQueue, own_demand: Mapping[DemandKey, Demand]
) -> list[Demand]:
    """Return the demand of the accounts with the longest queues."""
    accounts = sorted(queue.accounts, key=lambda a: (-queue.count(a), a))
    keys = [(pool, account) for account in accounts[:MAX_ACCOUNTS_COUNT]]
    return [own_demand[key] for key in keys if key in own_demand]
