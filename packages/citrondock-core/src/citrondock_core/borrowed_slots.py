"""Slots that this router has borrowed from the home routers of targets."""

import attrs

from citrondock_core.messages import SlotGrant, SlotReturn

REMEMBERED_GRANTS_COUNT = 4_096
"""Grant ids remembered, so that a duplicate is recognised."""


@attrs.define(kw_only=True)
class BorrowedSlots:
    """Slots borrowed by one grant.

    Parameters
    ----------
    home : str
        VM name of the home router.
    grant : SlotGrant
        Grant of the home router.
    deadline_s : float
        Monotonic time after which no request is started on them.
    running_count, returned_count : int
        Slots in use, and slots given back.
    started_count : int
        Requests started on them so far.
    """

    home: str
    grant: SlotGrant
    deadline_s: float
    running_count: int = 0
    returned_count: int = 0
    started_count: int = 0

    @property
    def idle_count(self) -> int:
        """Slots neither in use nor given back."""
        return self.grant.slot_count - self.running_count - self.returned_count


class BorrowedSlotTable:
    """Borrowed slots by home router and grant id; a duplicate grant counts once."""

    def __init__(self) -> None:
        self._by_grant: dict[tuple[str, str], BorrowedSlots] = {}
        self._seen: dict[tuple[str, str], float] = {}

    @property
    def slot_count(self) -> int:
        """Number of borrowed slots, in use or idle."""
        return sum(h.running_count + h.idle_count for h in self._by_grant.values())

    def accept(
        self, home: str, grant: SlotGrant, *, now_s: float
    ) -> BorrowedSlots | None:
        """Store the slots of a grant; a duplicate can only bring its deadline forward.

        Returns
        -------
        BorrowedSlots or None
            The slots, or None for a duplicate.
        """
        key = (home, grant.grant_id)
        if key in self._seen:
            self._shorten(key, now_s + grant.ttl_s)
            return None
        self._seen[key] = now_s
        while len(self._seen) > REMEMBERED_GRANTS_COUNT:
            del self._seen[next(iter(self._seen))]
        borrowed = BorrowedSlots(home=home, grant=grant, deadline_s=now_s + grant.ttl_s)
        self._by_grant[key] = borrowed
        return borrowed

    def _shorten(self, key: tuple[str, str], deadline_s: float) -> None:
        borrowed = self._by_grant.get(key)
        if borrowed is not None:
            borrowed.deadline_s = min(borrowed.deadline_s, deadline_s)

    def idle_in_pool(self, pool: str) -> list[BorrowedSlots]:
        """Return the grants of a pool that have an idle slot."""
        return [
            h for h in self._by_grant.values() if h.grant.pool == pool and h.idle_count
        ]

    def all_idle(self) -> list[BorrowedSlots]:
        """Return all grants that have an idle slot."""
        return [borrowed for borrowed in self._by_grant.values() if borrowed.idle_count]

    def give_back(self, borrowed: BorrowedSlots, count: int) -> SlotReturn:
        """Give slots back; return the message for their home router."""
        borrowed.returned_count += count
        grant = borrowed.grant
        if borrowed.returned_count >= grant.slot_count:
            self._by_grant.pop((borrowed.home, grant.grant_id), None)
        return SlotReturn(
            grant_id=grant.grant_id,
            target=grant.target,
            returned_count=borrowed.returned_count,
            unused=not borrowed.started_count,
        )
