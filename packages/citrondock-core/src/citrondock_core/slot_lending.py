"""Slots on their way between the homes of targets and the routers that use them."""

from collections import Counter as CountOf

from citrondock_core.actions import Send
from citrondock_core.demand_table import DemandKey, DemandTable
from citrondock_core.dispatch_options import DispatchOptions
from citrondock_core.messages import InFlight, Member, SlotGrant, SlotReturn
from citrondock_core.slot_holder import HeldSlots, SlotHolder
from citrondock_core.target_slots import LentSlots, TargetSlots
from citrondock_core.target_table import TargetTable

STATED_AFTER_GRANT_S = 4.0


class SlotLending:
    """Lends slots of this home's targets, and holds slots of other homes.

    Parameters
    ----------
    member : Member
        This router.
    targets : TargetTable
        All targets.
    demand : DemandTable
        Who waits elsewhere.
    options : DispatchOptions
        Time for which slots are lent.
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
        self._prefix = f"{member.incarnation & 0xFFFFF:x}"
        self._grant_count = 0
        self._sequence = 0
        self._lending: CountOf[tuple[str, str, str]] = CountOf()
        self._state_until_s: dict[str, float] = {}
        self._state_at_once: set[str] = set()
        self._first_token_s: dict[str, float] = {}
        self._next_statement_s = 0.0
        self.holder = SlotHolder()
        self.unused: set[DemandKey] = set()

    def lend(self, slots: TargetSlots, vm_name: str, account: str) -> None:
        """Add one slot to what is lent with the next `take_grants`."""
        self._lending[(slots.name, vm_name, account)] += 1
        slots.lent_count += 1

    def take_grants(self, *, now_s: float) -> list[Send]:
        """Return the grants of this step, one for each target and router."""
        sends = []
        for (target, vm_name, account), count in self._lending.items():
            slots = self._targets.get(target)
            if slots is None:
                continue
            self._grant_count += 1
            grant = SlotGrant(
                grant_id=f"{self._prefix}.{self._grant_count:x}",
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
        self._lending.clear()
        return sends

    def recalls(self, *, now_s: float) -> list[Send]:
        """Return grants sent again with no time left, where a limit has shrunk."""
        sends = []
        for slots in self._targets.all_own():
            if not slots.lent_count:
                continue
            slots.drop_unstated(now_s=now_s)
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
        """Hold the slots of a grant."""
        self.holder.accept(sender.vm_name, grant, now_s=now_s)
        self._state_until_s[grant.target] = now_s + STATED_AFTER_GRANT_S

    def receive_return(self, sender: Member, message: SlotReturn) -> None:
        """Take slots back; a router that used none has no such demand."""
        slots = self._targets.get(message.target)
        if slots is None:
            return
        lent = slots.take_back(message)
        if lent is not None and message.unused:
            self._demand.drop(sender.vm_name, slots.pool, lent.account)

    def receive_in_flight(
        self, sender: Member, message: InFlight, *, now_s: float
    ) -> None:
        """Correct what a router holds at a target of this home."""
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

    def give_back(self, held: HeldSlots, count: int) -> Send:
        """Return slots to their home."""
        if not held.started_count:
            self.unused.add((held.grant.pool, held.grant.account))
        return Send(held.home, self.holder.give_back(held, count))

    def note_first_token(self, target: str, first_token_s: float) -> None:
        """Remember a first token for the target's home."""
        self._first_token_s[target] = first_token_s

    def state_at_once(self, targets: set[str]) -> None:
        """Tell new homes with the next step what is in flight at their targets."""
        self._state_at_once |= targets

    def statements(self, *, now_s: float) -> list[Send]:
        """Return statements of what is in flight at targets of other homes."""
        due = self._state_at_once
        self._state_at_once = set()
        if now_s >= self._next_statement_s:
            self._next_statement_s = now_s + self._options.statement_period_s
            due |= {name for name, until in self._state_until_s.items()}
        sends = []
        for name in sorted(due):
            slots = self._targets.get(name)
            if slots is None or self._targets.is_home(name):
                self._state_until_s.pop(name, None)
                continue
            if slots.local_count:
                self._state_until_s[name] = now_s + STATED_AFTER_GRANT_S
            elif self._state_until_s.get(name, 0.0) <= now_s:
                self._state_until_s.pop(name, None)
                continue
            sends.append(self._statement(slots))
        return sends

    def _statement(self, slots: TargetSlots) -> Send:
        self._sequence += 1
        message = InFlight(
            target=slots.name,
            in_flight_count=slots.local_count,
            sequence=self._sequence,
            first_token_s=self._first_token_s.pop(slots.name, 0.0),
        )
        return Send(self._targets.home(slots.name), message)
