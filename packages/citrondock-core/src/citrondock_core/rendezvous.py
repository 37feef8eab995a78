"""Rendezvous hashing: everyone who knows the same names makes the same choice."""

from collections.abc import Iterable, Sequence
from typing import Protocol

import xxhash

_POINT_RANGE = 1 << 52


class RendezvousScores:
    """Scores of many names for one key.

    Parameters
    ----------
    key : str
        What is placed.
    """

    def __init__(self, key: str) -> None:
        self._state = xxhash.xxh64(f"{key}\0".encode())

    def score(self, name: str) -> int:
        """Return the weight of ``name``; the largest is chosen."""
        state = self._state.copy()
        state.update(name.encode())
        return state.intdigest()

    def unit_score(self, name: str) -> float:
        """Return `score` as a number between 0 and 1, both excluded."""
        # 52 bits and a half are exact in a float and never round to 1.
        return ((self.score(name) >> 12) + 0.5) / _POINT_RANGE


class MemberLocation(Protocol):
    """A router of which the VM and its zone are known."""

    @property
    def vm_name(self) -> str:
        """Name of its VM."""

    @property
    def availability_zone(self) -> str:
        """Zone it stands in."""


def choose(key: str, names: Iterable[str]) -> str | None:
    """Return the name that ``key`` falls to, or None when there is none.

    Parameters
    ----------
    key : str
        What is placed.
    names : iterable of str
        Who may take it.

    Returns
    -------
    str or None
        A name; removing another name never changes the choice.
    """
    scores = RendezvousScores(key)
    return max(names, key=lambda name: (scores.score(name), name), default=None)


def home_of(
    target: str, availability_zone: str, members: Sequence[MemberLocation]
) -> str | None:
    """Return the VM that is home of a target; see `choose_member`."""
    return choose_member(f"home/{target}", availability_zone, members)


def choose_member(
    key: str, availability_zone: str, members: Sequence[MemberLocation]
) -> str | None:
    """Return the VM that ``key`` falls to, of its own zone where one lives there.

    Parameters
    ----------
    key : str
        What is placed.
    availability_zone : str
        Zone whose members go first.
    members : sequence of MemberLocation
        Live routers.

    Returns
    -------
    str or None
        Name of a VM, or None without members.
    """
    local = [m.vm_name for m in members if m.availability_zone == availability_zone]
    return choose(key, local or [m.vm_name for m in members])
