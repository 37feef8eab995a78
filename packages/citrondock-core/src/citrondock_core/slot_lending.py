"""Lending of slots by the home routers of targets to routers with waiting requests."""

from collections import Counter

from citrondock_core.actions import Send
from citrondock_core.borrowed_slots import BorrowedSlots, BorrowedSlotTable
from citrondock_core.demand_table import DemandKey, DemandTable
from citrondock_core.dispatch_options import DispatchOptions
from citrondock_core.messages import InFlight, Member, SlotGrant, SlotReturn
from citrondock_core.target_slots import LentSlots, TargetSlots
from citrondock_core.target_table import TargetTable

REPORTED_AFTER_GRANT_S = 4.0
"""How long a target is reported after a grant or its last request in flight."""


class SlotLending:
    """Lends slots of this router's own targets, and borrows slots of other targets.

    Parameters
    ----------
    member : Member
        This router.
    targets : TargetTable
        All targets and their home routers.
    demand : DemandTable
        Demand of other routers.
    options : DispatchOptions
        Lifetime of grants and period of reports.
    """

    def __init__(
        self,
        member: Member,
        targets: TargetTable,
        demand: DemandTable,
        options: DispatchOptions,
    ) -> None:
        self._targets = targets
        self._demand = demand
        self._options = options
        self._grant_id_prefix = f"{member.incarnation & 0xFFFFF:x}"
        self._grant_count = 0
        self._sequence = 0
        self._pending_grants: Counter[tuple[str, str, str]] = Counter()
        self._report_until_s: dict[str, float] = {}
        self._due_targets: set[str] = set()
        self._first_token_s: dict[str, float] = {}
        self._next_report_s = 0.0
        self.borrowed = BorrowedSlotTable()
        self.returned_unused: set[DemandKey] = set()

    def lend(self, slots: TargetSlots, vm_name: str, account: str) -> None:
        """Lend one slot; the grant is sent by the next `take_grants`."""
        self._pending_grants[(slots.name, vm_name, account)] += 1
        slots.lent_count += 1

    def take_grants(self, *, now_s: float) -> list[Send]:
        """Return the pending grants, combined by target, router and account."""
        sends = []
        for (target, vm_name, account), count in self._pending_grants.items():
            slots = self._targets.get(target)
            if slots is None:
                continue
            self._grant_count += 1
            grant = SlotGrant(
                grant_id=f"{self._grant_id_prefix}.{self._grant_count:x}",
                target=target,
                pool=slots.pool,
                slot_count=count,
                ttl_s=self._options.grant_ttl_s,
                account=account,
            )
            lent = LentSlots(
                vm_name=vm_name, account=account, slot_count=count, lent_at_s=now_s
            )
            slots.lend(grant.grant_id, lent)
            sends.append(Send(vm_name, grant))
        self._pending_grants.clear()
        return sends

    def recalls(self, *, now_s: float) -> list[Send]:
        """Return recalls of grants, for targets with more in flight than their limit.

        A recall is the same grant with a lifetime of zero.
        """
        sends = []
        for slots in self._targets.all_own_targets():
            if not slots.lent_count:
                continue
            slots.drop_unreported(now_s=now_s)
            if slots.in_flight_count <= slots.limit_count:
                continue
            for grant_id, lent in slots.recall():
                grant = SlotGrant(
                    grant_id=grant_id,
                    target=slots.name,
                    pool=slots.pool,
                    slot_count=lent.slot_count,
                    ttl_s=0.0,
                    account=lent.account,
                )
                sends.append(Send(lent.vm_name, grant))
        return sends

    def receive_grant(self, sender: Member, grant: SlotGrant, *, now_s: float) -> None:
        """Store the slots of a received grant."""
        self.borrowed.accept(sender.vm_name, grant, now_s=now_s)
        self._report_until_s[grant.target] = now_s + REPORTED_AFTER_GRANT_S

    def receive_return(self, sender: Member, message: SlotReturn) -> None:
        """Take slots back; when unused, drop the demand that they were lent for."""
        slots = self._targets.get(message.target)
        if slots is None:
            return
        lent = slots.take_back(message)
        if lent is not None and message.unused:
            self._demand.drop(sender.vm_name, slots.pool, lent.account)

    def receive_in_flight(
        self, sender: Member, message: InFlight, *, now_s: float
    ) -> None:
        """Correct the lent slots of a router by its report of requests in flight."""
        slots = self._targets.get(message.target)
        if slots is None or not self._targets.is_home(message.target):
            return
        slots.merge_in_flight(sender.vm_name, message, now_s=now_s)
        if message.first_token_s > 0:
            slots.limit.observe_first_token(
                message.first_token_s,
                in_flight_count=slots.in_flight_count,
                now_s=now_s,
            )

    def give_back(self, borrowed: BorrowedSlots, count: int) -> Send:
        """Return borrowed slots to their home router."""
        if not borrowed.started_count:
            self.returned_unused.add((borrowed.grant.pool, borrowed.grant.account))
        return Send(borrowed.home, self.borrowed.give_back(borrowed, count))

    def record_first_token(self, target: str, first_token_s: float) -> None:
        """Keep the latest first-token time for the next report to the home router."""
        self._first_token_s[target] = first_token_s

    def report_immediately(self, targets: set[str]) -> None:
        """Send reports on targets to their new home routers in the next step."""
        self._due_targets |= targets

    def in_flight_reports(self, *, now_s: float) -> list[Send]:
        """Return the due reports of requests in flight at targets of other routers."""
        due = self._due_targets
        self._due_targets = set()
        if now_s >= self._next_report_s:
            self._next_report_s = now_s + self._options.in_flight_report_period_s
            due |= {name for name, until in self._report_until_s.items()}
        sends = []
        for name in sorted(due):
            slots = self._targets.get(name)
            if slots is None or self._targets.is_home(name):
                self._report_until_s.pop(name, None)
                continue
            if slots.local_count:
                self._report_until_s[name] = now_s + REPORTED_AFTER_GRANT_S
            elif self._report_until_s.get(name, 0.0) <= now_s:
                self._report_until_s.pop(name, None)
                continue
            sends.append(self._in_flight_report(slots))
        return sends

    def _in_flight_report(self, slots: TargetSlots) -> Send:
        self._sequence += 1
        message = InFlight(
            target=slots.name,
            in_flight_count=slots.local_count,
            sequence=self._sequence,
            first_token_s=self._first_token_s.pop(slots.name, 0.0),
        )
        return Send(self._targets.home(slots.name), message)
