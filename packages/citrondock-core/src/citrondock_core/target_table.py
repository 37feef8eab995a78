"""All targets of the configuration, and which of them this router is home of."""

from collections.abc import Collection, Iterable, Sequence

from citrondock_core.configuration import Configuration
from citrondock_core.messages import Member
from citrondock_core.rendezvous import home_of
from citrondock_core.target_slots import TargetSlots


class TargetTable:
    """Targets by name and pool.

    Parameters
    ----------
    member : Member
        This router.
    has_homes : bool
        Whether each target has a home; otherwise every router uses its share of
        each target.
    """

    def __init__(self, member: Member, *, has_homes: bool) -> None:
        self._member = member
        self._has_homes = has_homes
        self._members: Sequence[Member] = (member,)
        self._targets: dict[str, TargetSlots] = {}
        self._own_by_pool: dict[str, list[TargetSlots]] = {}
        self._homes: dict[str, str] = {}

    def get(self, name: str) -> TargetSlots | None:
        """Return a target, or None when the configuration has none of that name."""
        return self._targets.get(name)

    def __iter__(self) -> Iterable[TargetSlots]:
        return iter(self._targets.values())

    def own(self, pool: str) -> list[TargetSlots]:
        """Return targets of a pool that this router may fill by itself."""
        return self._own_by_pool.get(pool, [])

    def all_own(self) -> list[TargetSlots]:
        """Return all targets that this router may fill by itself."""
        return [slots for own in self._own_by_pool.values() for slots in own]

    def home(self, target: str) -> str:
        """Return the VM that is home of a target."""
        return self._homes.get(target, self._member.vm_name)

    def is_home(self, target: str) -> bool:
        """Return whether this router may fill a target by itself."""
        return not self._has_homes or self.home(target) == self._member.vm_name

    def homes(self, pool: str) -> set[str]:
        """Return the VMs that are home of the targets of a pool."""
        return {
            self._homes[slots.name]
            for slots in self._targets.values()
            if slots.pool == pool
        }

    def set_configuration(self, configuration: Configuration) -> None:
        """Take the targets of a configuration; known ones keep their state."""
        targets: dict[str, TargetSlots] = {}
        for pool in configuration.pools.values():
            for target in pool.targets:
                slots = self._targets.get(target.name)
                if slots is None:
                    slots = TargetSlots(target, pool.name)
                slots.update(target, pool.name)
                targets[target.name] = slots
        self._targets = targets
        self._place()

    def set_members(
        self, members: Sequence[Member], *, holders: Collection[str]
    ) -> set[str]:
        """Take the routers that can be homes, and those that keep slots.

        Returns
        -------
        set of str
            Targets whose home changed or restarted.
        """
        before = {m.vm_name: m for m in self._members}
        fresh = {m.vm_name for m in members if before.get(m.vm_name) != m}
        self._members = tuple(members)
        old_homes = self._homes
        self._place()
        for slots in self._targets.values():
            slots.keep_holders(set(holders))
        return {
            name
            for name, home in self._homes.items()
            if home in fresh or old_homes.get(name) != home
        }

    def _place(self) -> None:
        self._homes = {
            slots.name: home_of(
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
