"""Which waiting request goes next, and whether routers act together."""

from abc import ABC, abstractmethod
from collections.abc import Callable, Sequence

from citrondock_core.errors import CitrondockError
from citrondock_core.fair_queue import FairQueue
from citrondock_core.target_slots import TargetSlots


class UnknownPolicyError(CitrondockError):
    """No dispatch policy has that name."""


class DispatchPolicy(ABC):
    """Order of dispatch."""

    exchanges = False
    """Whether routers exchange summaries and lend slots of their home targets."""

    @abstractmethod
    def next_account(
        self, queue: FairQueue, level: Callable[[str], float]
    ) -> str | None:
        """Return the account that goes next, or None when none waits."""

    def next_target(self, free: Sequence[TargetSlots]) -> TargetSlots:
        """Return the target to fill first; by default the least occupied."""
        return min(free, key=lambda t: (t.in_flight_count / t.limit_count, t.name))


class Fair(DispatchPolicy):
    """Lowest normalised service first, fleet-wide."""

    exchanges = True

    def next_account(
        self, queue: FairQueue, level: Callable[[str], float]
    ) -> str | None:
        """Return the waiting account of the lowest level."""
        return queue.lowest(level)


class LocalFair(Fair):
    """Lowest normalised service first, each router on its own."""

    exchanges = False


class FirstComeFirstServed(DispatchPolicy):
    """Longest wait first, each router on its own."""

    def next_account(
        self, queue: FairQueue, level: Callable[[str], float]
    ) -> str | None:
        """Return the account whose request waits longest."""
        return queue.oldest()


class RoundRobin(FirstComeFirstServed):
    """Longest wait first, over the targets in turn."""

    def __init__(self) -> None:
        self._turn = 0

    def next_target(self, free: Sequence[TargetSlots]) -> TargetSlots:
        """Return the free targets in turn."""
        self._turn += 1
        return free[self._turn % len(free)]


_POLICIES: dict[str, type[DispatchPolicy]] = {
    "fair": Fair,
    "fifo": FirstComeFirstServed,
    "local_fair": LocalFair,
    "round_robin": RoundRobin,
}


def policy_named(name: str) -> DispatchPolicy:
    """Return a policy by its name in the settings.

    Parameters
    ----------
    name : str
        ``"fair"``, ``"fifo"``, ``"local_fair"`` or ``"round_robin"``.

    Raises
    ------
    UnknownPolicyError
        For any other name.
    """
    if name not in _POLICIES:
        known = ", ".join(sorted(_POLICIES))
        raise UnknownPolicyError(
            f'dispatch.policy "{name}" is not one of {known}', step="settings"
        )
    return _POLICIES[name]()
