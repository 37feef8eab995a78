"""Other routers, and which of them is home of which engine."""

import attrs

from citrondock_core.rendezvous import MemberLocation, home_of

FIRST_SUSPICION_S = 1.0
MAX_SUSPICION_S = 8.0
"""A peer that did not answer is left alone for so long, doubling each time."""


@attrs.define(kw_only=True)
class Peer:
    """Another router.

    Parameters
    ----------
    vm_name : str
        Name of its VM.
    host, port : str, int
        Where it takes datagrams.
    availability_zone : str
        Zone it stands in.
    """

    vm_name: str
    host: str
    port: int
    availability_zone: str
    suspected_until_s: float = 0.0
    suspicion_count: int = 0


class PeerTable:
    """Routers by name; a silent one is passed over for a while.

    Parameters
    ----------
    vm_name, availability_zone : str
        This router.
    """

    def __init__(self, vm_name: str, availability_zone: str) -> None:
        self.vm_name = vm_name
        self.availability_zone = availability_zone
        self._peers: dict[str, Peer] = {}

    def __len__(self) -> int:
        return len(self._peers)

    def peers(self) -> list[Peer]:
        """Return all other routers."""
        return list(self._peers.values())

    def get(self, vm_name: str) -> Peer | None:
        """Return a peer by name."""
        return self._peers.get(vm_name)

    def put(self, peer: Peer) -> bool:
        """Add a peer or its new address; return whether it was unknown."""
        if peer.vm_name == self.vm_name:
            return False
        known = self._peers.get(peer.vm_name)
        if known is not None and (known.host, known.port) == (peer.host, peer.port):
            return False
        self._peers[peer.vm_name] = peer
        return True

    def remove(self, vm_name: str) -> None:
        """Forget a peer that left."""
        self._peers.pop(vm_name, None)

    def mark_alive(self, vm_name: str) -> None:
        """Note a sign of life."""
        peer = self._peers.get(vm_name)
        if peer is not None:
            peer.suspected_until_s = 0.0
            peer.suspicion_count = 0

    def mark_silent(self, vm_name: str, *, now_s: float) -> None:
        """Note that a peer did not answer."""
        peer = self._peers.get(vm_name)
        if peer is None or now_s < peer.suspected_until_s:
            return
        pause_s = FIRST_SUSPICION_S * 2.0**peer.suspicion_count
        peer.suspected_until_s = now_s + min(pause_s, MAX_SUSPICION_S)
        peer.suspicion_count = min(peer.suspicion_count + 1, 8)

    def home_of(self, target_id: str, availability_zone: str, *, now_s: float) -> str:
        """Return the router that is home of an engine, of its own zone if one lives."""
        live: list[MemberLocation] = [
            peer for peer in self._peers.values() if now_s >= peer.suspected_until_s
        ]
        home = home_of(target_id, availability_zone, [self, *live])
        return home or self.vm_name
