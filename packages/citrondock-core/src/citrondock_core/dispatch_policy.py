"""Dispatch policies: the order of requests, and whether routers coordinate."""

from abc import ABC, abstractmethod
from collections.abc import Callable, Sequence

from citrondock_core.errors import CitrondockError
from citrondock_core.fair_queue import FairQueue
from citrondock_core.target_slots import TargetSlots


class UnknownPolicyError(CitrondockError):
    """There is no dispatch policy of the given name."""


class DispatchPolicy(ABC):
    """Decides the order in which waiting requests are dispatched."""

    is_coordinated = False
    """Whether routers exchange summaries and lend slots to each other."""

    @abstractmethod
    def next_account(
        self, queue: FairQueue, normalised_service: Callable[[str], float]
    ) -> str | None:
        """Return the account to dispatch next, or None when the queue is empty."""

    def next_target(self, free: Sequence[TargetSlots]) -> TargetSlots:
        """Return the free target to use next; by default the least loaded."""
        return min(free, key=lambda t: (t.in_flight_count / t.limit_count, t.name))


class Fair(DispatchPolicy):
    """Dispatches the account of lowest normalised service, over all routers."""

    is_coordinated = True

    def next_account(
        self, queue: FairQueue, normalised_service: Callable[[str], float]
    ) -> str | None:
        """Return the waiting account of lowest normalised service."""
        return queue.lowest_account(normalised_service)


class LocalFair(Fair):
    """Dispatches the account of lowest normalised service, without coordination."""

    is_coordinated = False


class FirstComeFirstServed(DispatchPolicy):
    """Dispatches requests in order of arrival, without coordination."""

    def next_account(
        self, queue: FairQueue, normalised_service: Callable[[str], float]
    ) -> str | None:
        """Return the account whose request arrived earliest."""
        return queue.oldest_account()


class RoundRobin(FirstComeFirstServed):
    """Dispatches requests in order of arrival, rotating over the targets."""

    def __init__(self) -> None:
        self._turn = 0

    def next_target(self, free: Sequence[TargetSlots]) -> TargetSlots:
        """Return the next free target in rotation."""
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
