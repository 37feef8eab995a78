"""Slots of one target: requests in flight and slots lent to other routers."""

import attrs

from citrondock_core.concurrency_limit import ConcurrencyLimit
from citrondock_core.configuration import Target
from citrondock_core.messages import InFlight, SlotReturn

LOST_RETURN_GRACE_S = 2.0
"""Age of a grant from which a report of fewer requests means that a return was lost."""

UNREPORTED_TIMEOUT_S = 4.5
"""Time without a report after which a grant counts as lost."""

RECALL_SLACK_COUNT = 1
"""Excess over the limit that causes no recall."""


@attrs.define(kw_only=True)
class LentSlots:
    """Slots lent to a router by one grant.

    Parameters
    ----------
    vm_name, account : str
        Router that borrowed them, and account for which they were lent.
    slot_count, returned_count : int
        Slots lent, and slots returned so far.
    lent_at_s : float
        Monotonic time of the grant.
    recalled : bool
        Whether a recall was sent, after which the borrower starts no more requests.
    """

    vm_name: str
    account: str
    slot_count: int
    lent_at_s: float
    returned_count: int = 0
    recalled: bool = False

    @property
    def outstanding_count(self) -> int:
        """Slots not yet returned."""
        return self.slot_count - self.returned_count


class TargetSlots:
    """Counts the requests in flight at a target against its concurrency limit.

    Parameters
    ----------
    target : Target
        Configuration of the target.
    pool : str
        Pool of the target.
    """

    def __init__(self, target: Target, pool: str) -> None:
        self.target = target
        self.pool = pool
        self.limit = ConcurrencyLimit(target.max_in_flight)
        self.local_count = 0
        self.available = True
        self.cooldown_until_s = 0.0
        self.router_count = 1
        self.lent_count = 0
        self._grants: dict[str, LentSlots] = {}
        self._in_flight_beyond_grants: dict[str, int] = {}
        self._in_flight_sequence: dict[str, int] = {}
        self._reported_at_s: dict[str, float] = {}

    @property
    def name(self) -> str:
        """Name of the target."""
        return self.target.name

    @property
    def in_flight_count(self) -> int:
        """Requests of this router in flight, plus slots lent to others."""
        return self.local_count + self.lent_count

    @property
    def limit_count(self) -> int:
        """Share of the target's concurrency limit that this router may use."""
        return -(-self.limit.count // self.router_count)

    def usable(self, now_s: float) -> bool:
        """Return whether the target accepts new requests, free slots aside."""
        if not self.available or self.target.draining:
            return False
        return now_s >= self.cooldown_until_s

    def free_count(self, now_s: float) -> int:
        """Return the number of free slots."""
        if not self.usable(now_s):
            return 0
        return max(0, self.limit_count - self.local_count - self.lent_count)

    def update(self, target: Target, pool: str) -> None:
        """Apply a new configuration of the target."""
        self.target = target
        self.pool = pool
        self.limit.set_max_count(target.max_in_flight)

    def start_cooldown(self, until_s: float) -> None:
        """Block new requests until a time, after a failed connection."""
        self.cooldown_until_s = until_s

    def lend(self, grant_id: str, lent: LentSlots) -> None:
        """Record the slots of a grant as lent."""
        self._grants[grant_id] = lent
        self._recount()

    def drop_unreported(self, *, now_s: float) -> None:
        """Drop old grants whose borrower sent no report lately: they were lost."""
        before_s = now_s - UNREPORTED_TIMEOUT_S
        lost = [
            grant_id
            for grant_id, lent in self._grants.items()
            if lent.lent_at_s < before_s
            and self._reported_at_s.get(lent.vm_name, before_s) <= before_s
        ]
        for grant_id in lost:
            del self._grants[grant_id]
        if lost:
            self._recount()

    def recall(self) -> list[tuple[str, LentSlots]]:
        """Choose grants to recall while more requests are in flight than the limit.

        Returns
        -------
        list of tuple of str and LentSlots
            Grant ids and slots on which no more requests may be started.
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
        """Merge a return message; a duplicate or late one changes nothing.

        Returns
        -------
        LentSlots or None
            The slots of the grant, or None when they are no longer lent.
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
        """Correct a router's lent slots by its report of requests in flight."""
        if message.sequence <= self._in_flight_sequence.get(vm_name, -1):
            return
        self._in_flight_sequence[vm_name] = message.sequence
        self._reported_at_s[vm_name] = now_s
        self._reclaim(vm_name, message.in_flight_count, now_s)
        outstanding = sum(g.outstanding_count for g in self._lent_to(vm_name))
        self._in_flight_beyond_grants[vm_name] = max(
            0, message.in_flight_count - outstanding
        )
        self._recount()

    def keep_borrowers(self, vm_names: set[str]) -> None:
        """Take back the slots lent to routers that are not in ``vm_names``."""
        for grant_id, lent in list(self._grants.items()):
            if lent.vm_name not in vm_names:
                del self._grants[grant_id]
        for vm_name in set(self._in_flight_sequence) - vm_names:
            del self._in_flight_sequence[vm_name]
            self._in_flight_beyond_grants.pop(vm_name, None)
            self._reported_at_s.pop(vm_name, None)
        self._recount()

    def forget_lent(self) -> None:
        """Drop all lent slots, when another router becomes the home."""
        self._grants.clear()
        self._in_flight_beyond_grants.clear()
        self._in_flight_sequence.clear()
        self._recount()

    def _lent_to(self, vm_name: str) -> list[LentSlots]:
        return [g for g in self._grants.values() if g.vm_name == vm_name]

    def _reclaim(self, vm_name: str, in_flight_count: int, now_s: float) -> None:
        """Take back slots that a router doesn't use: its return message was lost."""
        lent_slots = self._lent_to(vm_name)
        missing = sum(g.outstanding_count for g in lent_slots) - in_flight_count
        for lent in lent_slots:
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
        self.lent_count = granted + sum(self._in_flight_beyond_grants.values())
