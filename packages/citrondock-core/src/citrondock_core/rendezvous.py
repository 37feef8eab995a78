"""Rendezvous hashing: everyone who knows the same names makes the same choice."""

from collections.abc import Iterable, Sequence

import xxhash

from citrondock_core.messages import Member

_POINT_RANGE = 1 << 52


def score(key: str, name: str) -> int:
    """Return the weight of ``name`` for ``key``; the largest is chosen."""
    return xxhash.xxh64_intdigest(f"{key}\0{name}".encode())


class RendezvousScores:
    """Scores of many names for one key.

    Parameters
    ----------
    key : str
        What is placed.
    """

    def __init__(self, key: str) -> None:
        self._state = xxhash.xxh64(f"{key}\0".encode())

    def point(self, name: str) -> float:
        """Return `score` as a number between 0 and 1, both excluded."""
        state = self._state.copy()
        state.update(name.encode())
        # 52 bits and a half are exact in a float and never round to 1.
        return ((state.intdigest() >> 12) + 0.5) / _POINT_RANGE


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
    return max(names, key=lambda name: (score(key, name), name), default=None)


def home_of(
    target: str, availability_zone: str, members: Sequence[Member]
) -> str | None:
    """Return the VM that is home of a target; see `choose_member`."""
    return choose_member(f"home/{target}", availability_zone, members)


def choose_member(
    key: str, availability_zone: str, members: Sequence[Member]
) -> str | None:
    """Return the VM that ``key`` falls to, of its own zone where one lives there.

    Parameters
    ----------
    key : str
        What is placed.
    availability_zone : str
        Zone whose members go first.
    members : sequence of Member
        Live routers.

    Returns
    -------
    str or None
        Name of a VM, or None without members.
    """
    local = [m.vm_name for m in members if m.availability_zone == availability_zone]
    return choose(key, local or [m.vm_name for m in members])
