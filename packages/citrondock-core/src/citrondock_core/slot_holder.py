"""Slots that a router holds from the homes of targets."""

import attrs

from citrondock_core.messages import SlotGrant, SlotReturn

REMEMBERED_GRANTS_COUNT = 4_096


@attrs.define(kw_only=True)
class HeldSlots:
    """One block of slots held from a home.

    Parameters
    ----------
    home : str
        VM of the home router.
    grant : SlotGrant
        What was lent.
    deadline_s : float
        Time after which no request is started on them.
    running_count, returned_count : int
        Slots in use, and given back.
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


class SlotHolder:
    """Held blocks by home and grant id; a doubled grant counts once."""

    def __init__(self) -> None:
        self._held: dict[tuple[str, str], HeldSlots] = {}
        self._seen: dict[tuple[str, str], float] = {}

    @property
    def slot_count(self) -> int:
        """Slots held, in use or not."""
        return sum(h.running_count + h.idle_count for h in self._held.values())

    def accept(self, home: str, grant: SlotGrant, *, now_s: float) -> HeldSlots | None:
        """Take a block; one that came before can only end sooner.

        Returns
        -------
        HeldSlots or None
            The block, or None when it came before.
        """
        key = (home, grant.grant_id)
        if key in self._seen:
            self._shorten(key, now_s + grant.ttl_s)
            return None
        self._seen[key] = now_s
        while len(self._seen) > REMEMBERED_GRANTS_COUNT:
            del self._seen[next(iter(self._seen))]
        held = HeldSlots(home=home, grant=grant, deadline_s=now_s + grant.ttl_s)
        self._held[key] = held
        return held

    def _shorten(self, key: tuple[str, str], deadline_s: float) -> None:
        held = self._held.get(key)
        if held is not None:
            held.deadline_s = min(held.deadline_s, deadline_s)

    def idle(self, pool: str) -> list[HeldSlots]:
        """Return blocks of a pool with an idle slot."""
        return [h for h in self._held.values() if h.grant.pool == pool and h.idle_count]

    def all_idle(self) -> list[HeldSlots]:
        """Return all blocks with an idle slot."""
        return [held for held in self._held.values() if held.idle_count]

    def give_back(self, held: HeldSlots, count: int) -> SlotReturn:
        """Return slots of a block to its home."""
        held.returned_count += count
        grant = held.grant
        if held.returned_count >= grant.slot_count:
            self._held.pop((held.home, grant.grant_id), None)
        return SlotReturn(
            grant_id=grant.grant_id,
            target=grant.target,
            returned_count=held.returned_count,
            unused=not held.started_count,
        )
