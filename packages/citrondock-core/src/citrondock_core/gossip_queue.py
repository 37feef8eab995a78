"""Selects which heartbeats of other routers to relay to each contact."""

from collections.abc import Collection, Iterable

import xxhash

from citrondock_core.membership_options import MembershipOptions


class GossipQueue:
    """Queues changed heartbeats per contact, and refreshes all others in rotation.

    Parameters
    ----------
    own_name : str
        VM of the sending router; the order of its rotation depends on it.
    options : MembershipOptions
        Numbers of heartbeats per message.
    """

    def __init__(self, own_name: str, options: MembershipOptions) -> None:
        self._own_name = own_name
        self._options = options
        self._unsent: dict[str, dict[str, None]] = {}
        self._refresh_queue: list[str] = []

    def add(self, vm_name: str) -> None:
        """Queue the heartbeat of a router for every contact."""
        for unsent in self._unsent.values():
            unsent[vm_name] = None

    def keep_only(self, contacts: Collection[str]) -> None:
        """Drop the queues of routers that are no longer contacts."""
        for name in self._unsent.keys() - set(contacts):
            del self._unsent[name]

    def take(
        self, contact: str, known: Iterable[str], *, refresh_count: int
    ) -> list[str]:
        """Return the VMs whose heartbeats go into the next message to a contact.

        Parameters
        ----------
        contact : str
            VM that gets the message.
        known : iterable of str
            All VMs whose heartbeats can be relayed.
        refresh_count : int
            Number of unchanged heartbeats to add.
        """
        unsent = self._unsent.setdefault(contact, dict.fromkeys(known))
        names = list(unsent)[: self._options.max_gossip_count]
        for name in names:
            del unsent[name]
        free_count = self._options.max_gossip_count - len(names)
        names += self._next_to_refresh(min(refresh_count, free_count), known)
        return [name for name in dict.fromkeys(names) if name != contact]

    def _next_to_refresh(self, count: int, known: Iterable[str]) -> list[str]:
        if len(self._refresh_queue) < count:
            self._refresh_queue = sorted(known, key=self._refresh_order)
        names = self._refresh_queue[:count]
        del self._refresh_queue[:count]
        return names

    def _refresh_order(self, name: str) -> int:
        return xxhash.xxh64_intdigest(f"{self._own_name}/{name}".encode())
