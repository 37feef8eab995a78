"""Rendezvous hashing: all who know the same names make the same choice."""

from collections.abc import Iterable, Sequence
from typing import Protocol

import xxhash

_UNIT_SCORE_STEPS = 1 << 52


class RendezvousScores:
    """Rendezvous scores of names for one key.

    Parameters
    ----------
    key : str
        Key to assign to one of the names.
    """

    def __init__(self, key: str) -> None:
        self._state = xxhash.xxh64(f"{key}\0".encode())

    def score(self, name: str) -> int:
        """Return the score of ``name``; the name with the largest score is chosen."""
        state = self._state.copy()
        state.update(name.encode())
        return state.intdigest()

    def unit_score(self, name: str) -> float:
        """Return the score of ``name`` scaled to a number above 0 and below 1."""
        # 52 bits plus one half are exact in a float and never round up to 1.
        return ((self.score(name) >> 12) + 0.5) / _UNIT_SCORE_STEPS


class MemberLocation(Protocol):
    """VM and zone of a router."""

    @property
    def vm_name(self) -> str:
        """Name of the router's VM."""

    @property
    def availability_zone(self) -> str:
        """Zone of the router."""


def choose(key: str, names: Iterable[str]) -> str | None:
    """Return the name with the largest score for ``key``, or None without names.

    Parameters
    ----------
    key : str
        Key to assign.
    names : iterable of str
        Candidates.

    Returns
    -------
    str or None
        The chosen name; removing any other name does not change the choice.
    """
    scores = RendezvousScores(key)
    return max(names, key=lambda name: (scores.score(name), name), default=None)


def home_router_of(
    target: str, availability_zone: str, members: Sequence[MemberLocation]
) -> str | None:
    """Return the VM of a target's home router, which decides who may use the target.

    See `choose_member` for the choice.
    """
    return choose_member(f"home/{target}", availability_zone, members)


def choose_member(
    key: str, availability_zone: str, members: Sequence[MemberLocation]
) -> str | None:
    """Return the VM chosen for ``key``, preferring routers of the key's zone.

    Parameters
    ----------
    key : str
        Key to assign.
    availability_zone : str
        Preferred zone; other zones are used only if it has no live router.
    members : sequence of MemberLocation
        Live routers.

    Returns
    -------
    str or None
        Name of the VM, or None without members.
    """
    local = [m.vm_name for m in members if m.availability_zone == availability_zone]
    return choose(key, local or [m.vm_name for m in members])
