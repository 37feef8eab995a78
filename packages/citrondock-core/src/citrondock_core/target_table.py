"""Targets of the configuration, and the home router of each.

The home router of a target manages its slots: it uses them or lends them to others.
"""

from collections.abc import Collection, Iterable, Sequence

from citrondock_core.configuration import Configuration
from citrondock_core.messages import Member
from citrondock_core.rendezvous import home_router_of
from citrondock_core.target_slots import TargetSlots


class TargetTable:
    """Holds the targets by name and pool, and assigns their home routers.

    Parameters
    ----------
    member : Member
        This router.
    has_homes : bool
        Whether each target has a home router; otherwise each router uses an equal share
        of each target's slots.
    """

    def __init__(self, member: Member, *, has_homes: bool) -> None:
        self._member = member
        self._has_homes = has_homes
        self._members: Sequence[Member] = (member,)
        self._targets: dict[str, TargetSlots] = {}
        self._own_by_pool: dict[str, list[TargetSlots]] = {}
        self._homes: dict[str, str] = {}

    def get(self, name: str) -> TargetSlots | None:
        """Return a target by name, or None when it is not configured."""
        return self._targets.get(name)

    def __iter__(self) -> Iterable[TargetSlots]:
        return iter(self._targets.values())

    def own_targets(self, pool: str) -> list[TargetSlots]:
        """Return the targets of a pool whose slots this router manages."""
        return self._own_by_pool.get(pool, [])

    def all_own_targets(self) -> list[TargetSlots]:
        """Return all targets whose slots this router manages."""
        return [
            slots for own_targets in self._own_by_pool.values() for slots in own_targets
        ]

    def home(self, target: str) -> str:
        """Return the VM name of a target's home router."""
        return self._homes.get(target, self._member.vm_name)

    def is_home(self, target: str) -> bool:
        """Return whether this router manages the slots of a target."""
        return not self._has_homes or self.home(target) == self._member.vm_name

    def homes(self, pool: str) -> set[str]:
        """Return the VM names of the home routers of a pool's targets."""
        return {
            self._homes[slots.name]
            for slots in self._targets.values()
            if slots.pool == pool
        }

    def set_configuration(self, configuration: Configuration) -> None:
        """Apply the targets of a configuration; known ones keep their state."""
        targets: dict[str, TargetSlots] = {}
        for pool in configuration.pools.values():
            for target in pool.targets:
                slots = self._targets.get(target.name)
                if slots is None:
                    slots = TargetSlots(target, pool.name)
                slots.update(target, pool.name)
                targets[target.name] = slots
        self._targets = targets
        self._assign_homes()

    def set_members(
        self, members: Sequence[Member], *, borrowers: Collection[str]
    ) -> set[str]:
        """Reassign the home routers.

        Parameters
        ----------
        members : sequence of Member
            Routers that can be homes.
        borrowers : collection of str
            VM names of the routers that keep the slots lent to them.

        Returns
        -------
        set of str
            Targets whose home router changed or restarted.
        """
        before = {m.vm_name: m for m in self._members}
        changed = {m.vm_name for m in members if before.get(m.vm_name) != m}
        self._members = tuple(members)
        old_homes = self._homes
        self._assign_homes()
        for slots in self._targets.values():
            slots.keep_borrowers(set(borrowers))
        return {
            name
            for name, home in self._homes.items()
            if home in changed or old_homes.get(name) != home
        }

    def _assign_homes(self) -> None:
        self._homes = {
            slots.name: home_router_of(
                slots.name, slots.target.availability_zone, self._members
            )
            or self._member.vm_name
            for slots in self._targets.values()
        }
        self._own_by_pool = {}
        for slots in self._targets.values():
            if self.is_home(slots.name):
                self._own_by_pool.setdefault(slots.pool, []).append(slots)
            else:
                slots.forget_lent()
            slots.router_count = 1 if self._has_homes else len(self._members)
