"""Which heartbeats of other routers to carry to which contact."""

from collections.abc import Collection, Iterable

import xxhash

from citrondock_core.membership_options import MembershipOptions


class MemberNews:
    """Changes that contacts weren't sent yet, and a turn through everybody else.

    Parameters
    ----------
    own_name : str
        The router that sends; it sets where its turn begins.
    options : MembershipOptions
        Counts per message.
    """

    def __init__(self, own_name: str, options: MembershipOptions) -> None:
        self._own_name = own_name
        self._options = options
        self._unsent: dict[str, dict[str, None]] = {}
        self._turn: list[str] = []

    def add(self, vm_name: str) -> None:
        """Have what is known of a router sent to every contact."""
        for unsent in self._unsent.values():
            unsent[vm_name] = None

    def keep_only(self, contacts: Collection[str]) -> None:
        """Forget what is to be sent to routers that are no contacts any more."""
        for name in self._unsent.keys() - set(contacts):
            del self._unsent[name]

    def take(
        self, contact: str, known: Iterable[str], *, refresh_count: int
    ) -> list[str]:
        """Return whose heartbeats to carry in the next message to a contact.

        Parameters
        ----------
        contact : str
            To whom.
        known : iterable of str
            Everybody of whom there is something to carry.
        refresh_count : int
            How many to carry although they did not change.
        """
        unsent = self._unsent.setdefault(contact, dict.fromkeys(known))
        names = list(unsent)[: self._options.max_carried_count]
        for name in names:
            del unsent[name]
        room = self._options.max_carried_count - len(names)
        names += self._next(min(refresh_count, room), known)
        return [name for name in dict.fromkeys(names) if name != contact]

    def _next(self, count: int, known: Iterable[str]) -> list[str]:
        if len(self._turn) < count:
            self._turn = sorted(known, key=self._position)
        names = self._turn[:count]
        del self._turn[:count]
        return names

    def _position(self, name: str) -> int:
        return xxhash.xxh64_intdigest(f"{self._own_name}/{name}".encode())
