"""The other routers that this one knows, and the choice of an engine's home router."""

import math

import attrs

from citrondock_core.rendezvous import MemberLocation, home_router_of

FIRST_SUSPICION_S = 1.0
MAX_SUSPICION_S = 8.0
"""Time for which a peer that did not answer is not chosen as home router. It doubles
with each suspicion in a row, up to the maximum."""

OVERLOAD_MEMORY_S = 5.0
"""Time for which a peer is taken for overloaded after it last said so; it says so again
more often than that."""

MAX_REMEMBERED_HOMES = 4096
"""Targets whose home router is remembered; targets come and go."""

MAX_LEAVING_PEERS = 512
"""Most routers that are remembered after they announced that they are leaving; the
oldest ones have ended long ago."""


@attrs.define(kw_only=True)
class Peer:
    """Another router.

    Parameters
    ----------
    vm_name : str
        Name of its VM.
    host, port : str, int
        Address at which it receives datagrams.
    availability_zone : str
        Zone of its VM.
    suspected_until_s : float
        Until then it is not chosen as home router, as it did not answer.
    suspicion_count : int
        Suspicions in a row.
    answered_at_s : float or None
        When its last answer to a grant request was read.
    overloaded_until_s : float
        Until then it is not chosen as home router while another router is.
    """

    vm_name: str
    host: str
    port: int
    availability_zone: str
    suspected_until_s: float = 0.0
    suspicion_count: int = 0
    answered_at_s: float | None = None
    overloaded_until_s: float = 0.0


class PeerTable:
    """Routers by VM name; one that does not answer is suspected for a while.

    Parameters
    ----------
    vm_name, availability_zone : str
        Name and zone of this router's VM.

    Attributes
    ----------
    is_leaving : bool
        Whether this router is shutting down, and the home of no target any more.
    is_overloaded : bool
        Whether this router is short of processor time, and the home of no target while
        other routers can be.
    """

    def __init__(self, vm_name: str, availability_zone: str) -> None:
        self.vm_name = vm_name
        self.availability_zone = availability_zone
        self.is_leaving = False
        self.is_overloaded = False
        self._peers: dict[str, Peer] = {}
        # Home routers by target and by what this router says of itself, until a peer
        # changes or the next suspicion or overload ends.
        self._homes: dict[tuple[str, str, bool, bool], str] = {}
        self._homes_until_s = math.inf
        # Routers that are shutting down; they still carry requests.
        self._leaving: dict[str, Peer] = {}

    def __len__(self) -> int:
        return len(self._peers)

    def peers(self) -> list[Peer]:
        """Return all other routers that are not shutting down."""
        return list(self._peers.values())

    def get(self, vm_name: str) -> Peer | None:
        """Return a peer by name, also one that is shutting down."""
        return self._peers.get(vm_name) or self._leaving.get(vm_name)

    def put(self, peer: Peer) -> bool:
        """Add a peer, or replace one at another address; return whether it changed."""
        if peer.vm_name == self.vm_name:
            return False
        known = self._peers.get(peer.vm_name)
        if known is not None and (known.host, known.port) == (peer.host, peer.port):
            return False
        self._leaving.pop(peer.vm_name, None)
        self._peers[peer.vm_name] = peer
        self._homes.clear()
        return True

    def mark_leaving(self, vm_name: str) -> None:
        """Record that a peer is shutting down: it is the home of no target any more."""
        peer = self._peers.pop(vm_name, None)
        if peer is None:
            return
        self._homes.clear()
        self._leaving[vm_name] = peer
        if len(self._leaving) > MAX_LEAVING_PEERS:
            del self._leaving[next(iter(self._leaving))]

    def mark_alive(self, vm_name: str) -> None:
        """Clear the suspicion of a peer from which a datagram arrived."""
        peer = self._peers.get(vm_name)
        if peer is not None and peer.suspicion_count:
            peer.suspected_until_s = 0.0
            peer.suspicion_count = 0
            self._homes.clear()

    def mark_overloaded(
        self, vm_name: str, *, is_overloaded: bool, now_s: float
    ) -> bool:
        """Record whether a peer says that it is overloaded; return if that is new."""
        peer = self._peers.get(vm_name)
        if peer is None:
            return False
        was_overloaded = now_s < peer.overloaded_until_s
        peer.overloaded_until_s = now_s + OVERLOAD_MEMORY_S if is_overloaded else 0.0
        if was_overloaded == is_overloaded:
            return False
        self._homes.clear()
        return True

    def record_answer(self, vm_name: str, *, now_s: float) -> None:
        """Record that an answer of a peer to a grant request was read."""
        peer = self._peers.get(vm_name)
        if peer is not None:
            peer.answered_at_s = now_s

    def has_answered(self, vm_name: str, *, since_s: float) -> bool:
        """Return whether an answer of a peer was read after ``since_s``."""
        peer = self._peers.get(vm_name)
        if peer is None or peer.answered_at_s is None:
            return False
        return peer.answered_at_s > since_s

    def mark_silent(self, vm_name: str, *, now_s: float) -> None:
        """Suspect a peer that did not answer, for longer each time in a row."""
        peer = self._peers.get(vm_name)
        if peer is None or now_s < peer.suspected_until_s:
            return
        pause_s = FIRST_SUSPICION_S * 2.0**peer.suspicion_count
        peer.suspected_until_s = now_s + min(pause_s, MAX_SUSPICION_S)
        peer.suspicion_count = min(peer.suspicion_count + 1, 8)
        self._homes.clear()

    def is_usual_home_of(self, target_id: str, availability_zone: str) -> bool:
        """Return whether this router is a target's home while no peer is suspected."""
        if self.is_leaving:
            return False
        members: list[MemberLocation] = [self, *self._peers.values()]
        return home_router_of(target_id, availability_zone, members) == self.vm_name

    def home_router_of(
        self, target_id: str, availability_zone: str, *, now_s: float
    ) -> str:
        """Return the home router of an engine.

        It is a live one that is not overloaded, in the engine's zone if there is one.
        """
        if now_s >= self._homes_until_s or len(self._homes) >= MAX_REMEMBERED_HOMES:
            self._homes.clear()
        key = (target_id, availability_zone, self.is_leaving, self.is_overloaded)
        home = self._homes.get(key)
        if home is None:
            home = self._choose_home(target_id, availability_zone, now_s)
            self._homes[key] = home
        return home

    def _choose_home(self, target_id: str, availability_zone: str, now_s: float) -> str:
        if not self._homes:
            ends_s = [
                until_s
                for peer in self._peers.values()
                for until_s in (peer.suspected_until_s, peer.overloaded_until_s)
                if until_s > now_s
            ]
            self._homes_until_s = min(ends_s, default=math.inf)
        live: list[MemberLocation] = []
        able: list[MemberLocation] = []
        for peer in self._peers.values():
            if now_s >= peer.suspected_until_s:
                live.append(peer)
                if now_s >= peer.overloaded_until_s:
                    able.append(peer)
        if not self.is_leaving:
            live.append(self)
            if not self.is_overloaded:
                able.append(self)
        home = home_router_of(target_id, availability_zone, able or live)
        return home or self.vm_name
