"""Exchanges datagrams with the other routers and tracks which of them are present."""

import asyncio
import random
from abc import ABC, abstractmethod
from collections.abc import Iterable

from citrondock_core.routing.peer_table import Peer, PeerTable
from citrondock_router.gateway.datagram_socket import DatagramSocket
from citrondock_router.gateway.gateway_settings import Address
from citrondock_router.log import log_event
from citrondock_wire.grant_codec import (
    BadDatagramError,
    GrantCodec,
    PeerDatagram,
    Presence,
)


class DatagramHandler(ABC):
    """Handles what other routers send."""

    @abstractmethod
    def handle_datagram(self, datagram: PeerDatagram) -> None:
        """Handle the contents of a datagram, other than the sender's presence."""

    def peer_restarted(self, former_incarnation: int) -> None:
        """Drop what belonged to a former incarnation of a peer; nothing by default."""
        return


class PeerLink:
    """Sends datagrams to other routers and passes received ones to its handlers.

    Parameters
    ----------
    peers : PeerTable
        Other routers.
    loop : asyncio.AbstractEventLoop
        Event loop whose clock all times are on.
    """

    def __init__(
        self,
        peers: PeerTable,
        loop: asyncio.AbstractEventLoop,
    ) -> None:
        self.peers = peers
        self.incarnation = random.getrandbits(62)
        self.sent_bytes = 0
        self._handlers: list[DatagramHandler] = []
        self._loop = loop
        self._codec = GrantCodec()
        self.socket: DatagramSocket | None = None
        self._incarnations: dict[str, int] = {}

    @property
    def vm_name(self) -> str:
        """Name of this router's VM."""
        return self.peers.vm_name

    def add_handler(self, handler: DatagramHandler) -> None:
        """Pass received datagrams to one more handler."""
        self._handlers.append(handler)

    def open(self, address: Address) -> Address:
        """Start to exchange datagrams; return the address bound to."""
        self.socket = DatagramSocket(address, self.datagram_received, self._loop)
        return self.socket.address

    def close(self) -> None:
        """Stop exchanging datagrams."""
        if self.socket is not None:
            self.socket.close()
            self.socket = None

    def read_waiting(self) -> bool:
        """Read the datagrams that have arrived; return whether all were read."""
        return self.socket is None or self.socket.read_waiting()

    def read_if_due(self) -> None:
        """Read the datagrams that have arrived if that was not done for a while.

        A late event loop reads many client requests in one iteration; meanwhile home
        routers answer, and other routers wait for this one as the home of engines.
        """
        if self.socket is not None:
            self.socket.read_if_due()

    def announce(self, addresses: Iterable[Address]) -> None:
        """Send this router's presence to other routers, and request theirs."""
        for address in addresses:
            self._send_presence((address.host, address.port), wants_reply=True)

    def leave(self) -> None:
        """Announce to all peers that this router is leaving and no longer a home."""
        self.peers.is_leaving = True
        for peer in self.peers.peers():
            self._send_presence((peer.host, peer.port), wants_reply=False)

    def announce_overload(self, *, is_overloaded: bool) -> None:
        """Tell all peers whether this router should be the home of engines."""
        self.peers.is_overloaded = is_overloaded
        datagram = self.datagram()
        datagram.presence = self._presence(wants_reply=False)
        self.broadcast(datagram)

    def datagram(self) -> PeerDatagram:
        """Return an empty datagram of this router."""
        return PeerDatagram(vm_name=self.vm_name, incarnation=self.incarnation)

    def send(self, vm_name: str, datagram: PeerDatagram) -> None:
        """Send a datagram to a peer; nothing is sent to an unknown one."""
        peer = self.peers.get(vm_name)
        if peer is not None:
            self._send_to((peer.host, peer.port), datagram)

    def broadcast(
        self, datagram: PeerDatagram, *, availability_zone: str | None = None
    ) -> None:
        """Send a datagram to all known peers, or to those of one zone."""
        data = self._codec.encode(datagram, now_s=self._loop.time())
        for peer in self.peers.peers():
            if availability_zone in (None, peer.availability_zone):
                self._send_bytes((peer.host, peer.port), data)

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Handle a datagram of a peer."""
        now_s = self._loop.time()
        try:
            datagram = self._codec.decode(
                data, now_s=now_s, own_incarnation=self.incarnation
            )
        except BadDatagramError as error:
            log_event("datagram_unreadable", peer=addr[0], detail=str(error))
            return
        self._check_incarnation(datagram.vm_name, datagram.incarnation)
        if datagram.presence is not None:
            self._handle_presence(datagram, datagram.presence, addr)
        self.peers.mark_alive(datagram.vm_name)
        for handler in self._handlers:
            handler.handle_datagram(datagram)

    def _check_incarnation(self, vm_name: str, incarnation: int) -> None:
        former = self._incarnations.get(vm_name)
        self._incarnations[vm_name] = incarnation
        if former is not None and former != incarnation:
            log_event("peer_restarted", peer=vm_name, incarnation=incarnation)
            for handler in self._handlers:
                handler.peer_restarted(former)

    def _handle_presence(
        self, datagram: PeerDatagram, presence: Presence, addr: tuple[str, int]
    ) -> None:
        if presence.is_leaving:
            self.peers.mark_leaving(datagram.vm_name)
            log_event("peer_leaving", peer=datagram.vm_name)
            return
        peer = Peer(
            vm_name=datagram.vm_name,
            host=addr[0],
            port=addr[1],
            availability_zone=presence.availability_zone,
        )
        if self.peers.put(peer):
            log_event("peer_known", peer=peer.vm_name, address=f"{addr[0]}:{addr[1]}")
        is_overloaded = presence.is_overloaded
        if self.peers.mark_overloaded(
            peer.vm_name, is_overloaded=is_overloaded, now_s=self._loop.time()
        ):
            log_event("peer_overload", peer=peer.vm_name, overloaded=is_overloaded)
        known = self.peers.get(datagram.vm_name)
        if presence.wants_reply and known is not None and not self.peers.is_leaving:
            self._send_presence(addr, wants_reply=False)

    def _send_presence(self, addr: tuple[str, int], *, wants_reply: bool) -> None:
        datagram = self.datagram()
        datagram.presence = self._presence(wants_reply=wants_reply)
        self._send_to(addr, datagram)

    def _presence(self, *, wants_reply: bool) -> Presence:
        return Presence(
            availability_zone=self.peers.availability_zone,
            is_leaving=self.peers.is_leaving,
            wants_reply=wants_reply,
            is_overloaded=self.peers.is_overloaded,
        )

    def _send_to(self, addr: tuple[str, int], datagram: PeerDatagram) -> None:
        data = self._codec.encode(datagram, now_s=self._loop.time())
        self._send_bytes(addr, data)

    def _send_bytes(self, addr: tuple[str, int], data: bytes) -> None:
        if self.socket is not None:
            self.sent_bytes += len(data)
            self.socket.send(data, *addr)
