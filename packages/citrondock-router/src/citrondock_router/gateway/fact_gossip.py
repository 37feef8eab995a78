"""Repeats what routers have to agree on to a few other routers at a time."""

import asyncio
import random
from abc import ABC, abstractmethod
from collections.abc import Sequence

from typing_extensions import override

from citrondock_router.gateway.peer_link import DatagramHandler, PeerLink
from citrondock_wire.grant_codec import PeerDatagram

GOSSIP_PERIOD_S = 1.0
GOSSIP_PEERS = 2
"""How often, and to how many other routers, facts are repeated: datagrams get lost, and
zones are cut off from each other for a while. Each router sends the same number of
bytes in fleets of any size."""


class FactSource(ABC):
    """Knows facts that other routers may have missed."""

    @abstractmethod
    def add_facts(self, datagram: PeerDatagram) -> bool:
        """Add the facts to a datagram; return whether there are any."""


class FactGossip(DatagramHandler):
    """Sends the facts of all sources to random peers, and to those that ask for them.

    Parameters
    ----------
    link : PeerLink
        Exchanges datagrams with other routers.
    sources : sequence of FactSource
        Where the facts come from.
    loop : asyncio.AbstractEventLoop
        Event loop whose clock all times are on.
    """

    def __init__(
        self,
        link: PeerLink,
        sources: Sequence[FactSource],
        loop: asyncio.AbstractEventLoop,
    ) -> None:
        self._link = link
        self._sources = sources
        self._loop = loop
        self._rng = random.Random()
        self._due_at_s = 0.0
        link.add_handler(self)

    def tick(self) -> None:
        """Repeat the facts to a few other routers, when it is time."""
        now_s = self._loop.time()
        if now_s < self._due_at_s:
            return
        self._due_at_s = now_s + GOSSIP_PERIOD_S
        datagram = self._facts()
        if datagram is None:
            return
        peers = self._link.peers.peers()
        for peer in self._rng.sample(peers, min(GOSSIP_PEERS, len(peers))):
            self._link.send(peer.vm_name, datagram)

    @override
    def handle_datagram(self, datagram: PeerDatagram) -> None:
        if datagram.presence is None or not datagram.presence.wants_reply:
            return
        reply = self._facts()
        if reply is not None:
            self._link.send(datagram.vm_name, reply)

    def _facts(self) -> PeerDatagram | None:
        datagram = self._link.datagram()
        has_facts = [source.add_facts(datagram) for source in self._sources]
        return datagram if any(has_facts) else None
