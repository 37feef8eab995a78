"""Slots of one target as its home router sees them."""

import attrs

from citrondock_core.concurrency_limit import ConcurrencyLimit
from citrondock_core.configuration import Target
from citrondock_core.messages import InFlight, SlotReturn

LOST_RETURN_GRACE_S = 2.0
UNSTATED_S = 4.5
RECALL_SLACK_COUNT = 1


@attrs.define(kw_only=True)
class LentSlots:
    """One block of slots lent to a router.

    Parameters
    ----------
    vm_name, account : str
        Who holds them, and for whom.
    slot_count, returned_count : int
        How many were lent, and came back.
    lent_at_s : float
        Monotonic time of the loan.
    recalled : bool
        Whether the holder was told to start nothing more on them.
    """

    vm_name: str
    account: str
    slot_count: int
    lent_at_s: float
    returned_count: int = 0
    recalled: bool = False

    @property
    def outstanding_count(self) -> int:
        """Slots not yet back."""
        return self.slot_count - self.returned_count


class TargetSlots:
    """What is in flight at a target, and what more it may get.

    Parameters
    ----------
    target : Target
        Its configuration.
    pool : str
        Pool it belongs to.
    """

    def __init__(self, target: Target, pool: str) -> None:
        self.target = target
        self.pool = pool
        self.limit = ConcurrencyLimit(target.max_in_flight)
        self.local_count = 0
        self.available = True
        self.penalised_until_s = 0.0
        self.router_count = 1
        self.lent_count = 0
        self._grants: dict[str, LentSlots] = {}
        self._unattributed: dict[str, int] = {}
        self._in_flight_sequence: dict[str, int] = {}
        self._stated_at_s: dict[str, float] = {}

    @property
    def name(self) -> str:
        """Name of the target."""
        return self.target.name

    @property
    def in_flight_count(self) -> int:
        """Requests in flight, and slots lent for more."""
        return self.local_count + self.lent_count

    @property
    def limit_count(self) -> int:
        """Requests that may be in flight from here."""
        return -(-self.limit.count // self.router_count)

    def usable(self, now_s: float) -> bool:
        """Return whether the target may get work at all."""
        if not self.available or self.target.draining:
            return False
        return now_s >= self.penalised_until_s

    def free_count(self, now_s: float) -> int:
        """Return how many more requests the target may get now."""
        if not self.usable(now_s):
            return 0
        return max(0, self.limit_count - self.local_count - self.lent_count)

    def update(self, target: Target, pool: str) -> None:
        """Take a new configuration of the target."""
        self.target = target
        self.pool = pool
        self.limit.set_max_count(target.max_in_flight)

    def penalise(self, until_s: float) -> None:
        """Send nothing until a deadline, after a failed connect."""
        self.penalised_until_s = until_s

    def lend(self, grant_id: str, lent: LentSlots) -> None:
        """Record a block of slots as lent."""
        self._grants[grant_id] = lent
        self._recount()

    def drop_unstated(self, *, now_s: float) -> None:
        """Take back loans that their holder has never spoken of: they were lost."""
        before_s = now_s - UNSTATED_S
        lost = [
            grant_id
            for grant_id, lent in self._grants.items()
            if lent.lent_at_s < before_s
            and self._stated_at_s.get(lent.vm_name, before_s) <= before_s
        ]
        for grant_id in lost:
            del self._grants[grant_id]
        if lost:
            self._recount()

    def recall(self) -> list[tuple[str, LentSlots]]:
        """Choose loans to end because more is in flight than the target takes.

        Returns
        -------
        list of tuple of str and LentSlots
            Grant ids and blocks whose holders must start nothing more on them.
        """
        excess = self.in_flight_count - self.limit_count - RECALL_SLACK_COUNT
        chosen = []
        for grant_id, lent in self._grants.items():
            if excess <= 0:
                break
            excess -= lent.outstanding_count
            if not lent.recalled:
                lent.recalled = True
                chosen.append((grant_id, lent))
        return chosen

    def take_back(self, message: SlotReturn) -> LentSlots | None:
        """Merge a return; a doubled or late one changes nothing.

        Returns
        -------
        LentSlots or None
            The block, or None when it is not lent any more.
        """
        lent = self._grants.get(message.grant_id)
        if lent is None:
            return None
        returned = min(message.returned_count, lent.slot_count)
        lent.returned_count = max(lent.returned_count, returned)
        if not lent.outstanding_count:
            del self._grants[message.grant_id]
        self._recount()
        return lent

    def merge_in_flight(self, vm_name: str, message: InFlight, *, now_s: float) -> None:
        """Correct what a router holds by what it says that it has in flight."""
        if message.sequence <= self._in_flight_sequence.get(vm_name, -1):
            return
        self._in_flight_sequence[vm_name] = message.sequence
        self._stated_at_s[vm_name] = now_s
        self._reclaim(vm_name, message.in_flight_count, now_s)
        held = sum(g.outstanding_count for g in self._held_by(vm_name))
        self._unattributed[vm_name] = max(0, message.in_flight_count - held)
        self._recount()

    def keep_holders(self, vm_names: set[str]) -> None:
        """Take back what routers held that are gone."""
        for grant_id, lent in list(self._grants.items()):
            if lent.vm_name not in vm_names:
                del self._grants[grant_id]
        for vm_name in set(self._in_flight_sequence) - vm_names:
            del self._in_flight_sequence[vm_name]
            self._unattributed.pop(vm_name, None)
            self._stated_at_s.pop(vm_name, None)
        self._recount()

    def forget_lent(self) -> None:
        """Forget all loans, when another router becomes the home."""
        self._grants.clear()
        self._unattributed.clear()
        self._in_flight_sequence.clear()
        self._recount()

    def _held_by(self, vm_name: str) -> list[LentSlots]:
        return [g for g in self._grants.values() if g.vm_name == vm_name]

    def _reclaim(self, vm_name: str, in_flight_count: int, now_s: float) -> None:
        """Take back slots that the router does not use: their return was lost."""
        held = self._held_by(vm_name)
        missing = sum(g.outstanding_count for g in held) - in_flight_count
        for lent in held:
            if missing <= 0 or lent.lent_at_s + LOST_RETURN_GRACE_S > now_s:
                continue
            taken = min(missing, lent.outstanding_count)
            lent.returned_count += taken
            missing -= taken
        for grant_id, lent in list(self._grants.items()):
            if not lent.outstanding_count:
                del self._grants[grant_id]

    def _recount(self) -> None:
        granted = sum(g.outstanding_count for g in self._grants.values())
        self.lent_count = granted + sum(self._unattributed.values())
