"""Tells peers that read slowly from peers that are gone.

The kernel ends a connection on which sent bytes stay unacknowledged for
`TCP_USER_TIMEOUT`, and counts the time in which a peer acknowledges everything but has
no room for more, too. The watch raises that timeout in steps while the peer answers:
the kernel asks a peer without room again within each step, so that a peer which is gone
stops answering and is found about as soon as any other.
"""

import asyncio
import socket
import struct
from abc import ABC, abstractmethod

import attrs

from citrondock_router.gateway.socket_options import (
    SLOW_PEER_TIMEOUT_S,
    USER_TIMEOUT_S,
    set_user_timeout,
)

CHECK_S = 0.5
"""Period in which connections with undelivered bytes are checked. An event loop may be
late by a second before a timeout that it has not raised is over."""

_TCP_INFO_BYTES = 256
_COUNTERS = struct.Struct("=8B5I")
_ACKED_BYTES_OFFSET = 120
_UNSENT_BYTES_OFFSET = 144
_SENT_AGE_OFFSET = 44
_ACK_AGE_OFFSET = 56
_KNOWN_BYTES = _UNSENT_BYTES_OFFSET + 4


@attrs.frozen(kw_only=True)
class SendState:
    """What the kernel knows of the bytes sent on a connection.

    Parameters
    ----------
    unacknowledged_packets : int
        Packets in flight.
    unsent_bytes : int
        Bytes that wait for room at the peer.
    acknowledged_bytes : int
        Bytes that the peer has acknowledged since the connection was opened.
    unanswered_probes : int
        Questions for room since the peer's last answer.
    sent_age_ms, ack_age_ms : int
        Time since the last packet with data, and since the last acknowledgement.
    """

    unacknowledged_packets: int
    unsent_bytes: int
    acknowledged_bytes: int
    unanswered_probes: int
    sent_age_ms: int
    ack_age_ms: int

    @property
    def is_delivered(self) -> bool:
        """Whether the peer has acknowledged all that the kernel was given."""
        return not (self.unacknowledged_packets or self.unsent_bytes)

    @property
    def is_answered(self) -> bool:
        """Whether the peer has answered all that was sent last."""
        return self.unanswered_probes == 0 and self.ack_age_ms <= self.sent_age_ms


def read_send_state(sock: socket.socket | None) -> SendState | None:
    """Return the state of a TCP connection; None if it cannot be read.

    The offsets are those of ``struct tcp_info`` in ``linux/tcp.h``.
    """
    if sock is None:
        return None
    try:
        info = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, _TCP_INFO_BYTES)
    except (OSError, ValueError):
        # The socket is closed already.
        return None
    if len(info) < _KNOWN_BYTES:
        return None
    counters = _COUNTERS.unpack_from(info)
    return SendState(
        unacknowledged_packets=counters[12],
        unsent_bytes=_read_u32(info, _UNSENT_BYTES_OFFSET),
        acknowledged_bytes=struct.unpack_from("=Q", info, _ACKED_BYTES_OFFSET)[0],
        unanswered_probes=counters[3],
        sent_age_ms=_read_u32(info, _SENT_AGE_OFFSET),
        ack_age_ms=_read_u32(info, _ACK_AGE_OFFSET),
    )


def _read_u32(info: bytes, offset: int) -> int:
    value: int = struct.unpack_from("=I", info, offset)[0]
    return value


class WatchedPeer(ABC):
    """A connection whose peer may read slowly or be gone."""

    @property
    @abstractmethod
    def tcp_socket(self) -> socket.socket | None:
        """Socket of the connection; None if it is closed or no TCP socket."""

    @property
    @abstractmethod
    def buffered_bytes(self) -> int:
        """Bytes that the kernel has not been given yet."""

    @abstractmethod
    def peer_is_gone(self) -> None:
        """Close the connection, as its peer does not answer any more."""


@attrs.define
class _Delivery:
    """Delivery of what was written since the peer last had everything."""

    began_at_s: float
    progressed_at_s: float
    acknowledged_bytes: int = -1
    unanswered_since_s: float | None = None
    timeout_s: float = USER_TIMEOUT_S


class PeerWatch:
    """Checks the connections that have undelivered bytes.

    Parameters
    ----------
    loop : asyncio.AbstractEventLoop
        Event loop of the connections.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self._loop = loop
        self._deliveries: dict[WatchedPeer, _Delivery] = {}
        self._timer: asyncio.TimerHandle | None = None

    def written(self, peer: WatchedPeer) -> None:
        """Watch a connection until its peer has acknowledged what was written."""
        if peer in self._deliveries:
            return
        now_s = self._loop.time()
        self._deliveries[peer] = _Delivery(began_at_s=now_s, progressed_at_s=now_s)
        if self._timer is None:
            self._timer = self._loop.call_later(CHECK_S, self._check)

    def tolerate(self, peer: WatchedPeer) -> None:
        """Let the peer go without room for long, without a check meanwhile."""
        self.written(peer)
        self._raise_timeout(peer, self._deliveries[peer], SLOW_PEER_TIMEOUT_S)

    def closed(self, peer: WatchedPeer) -> float:
        """Forget a connection; return the seconds for which bytes were undelivered."""
        delivery = self._deliveries.pop(peer, None)
        return self._loop.time() - delivery.began_at_s if delivery else 0.0

    def is_delivered(self, peer: WatchedPeer) -> bool:
        """Return whether the peer has acknowledged all that was written."""
        if peer not in self._deliveries:
            return True
        state = read_send_state(peer.tcp_socket)
        return state is None or (state.is_delivered and not peer.buffered_bytes)

    def _check(self) -> None:
        self._timer = None
        now_s = self._loop.time()
        for peer, delivery in list(self._deliveries.items()):
            state = read_send_state(peer.tcp_socket)
            if state is None:
                del self._deliveries[peer]
            elif state.is_delivered and not peer.buffered_bytes:
                del self._deliveries[peer]
                if delivery.timeout_s != USER_TIMEOUT_S and peer.tcp_socket is not None:
                    set_user_timeout(peer.tcp_socket, USER_TIMEOUT_S)
            else:
                self._check_peer(peer, delivery, state, now_s)
        if self._deliveries:
            self._timer = self._loop.call_later(CHECK_S, self._check)

    def _check_peer(
        self, peer: WatchedPeer, delivery: _Delivery, state: SendState, now_s: float
    ) -> None:
        if state.acknowledged_bytes != delivery.acknowledged_bytes:
            delivery.acknowledged_bytes = state.acknowledged_bytes
            delivery.progressed_at_s = now_s
            delivery.unanswered_since_s = None
        if state.is_answered:
            delivery.unanswered_since_s = None
            if now_s < delivery.progressed_at_s + SLOW_PEER_TIMEOUT_S:
                waited_s = now_s - delivery.began_at_s
                self._raise_timeout(peer, delivery, waited_s + CHECK_S + USER_TIMEOUT_S)
        elif delivery.unanswered_since_s is None:
            delivery.unanswered_since_s = now_s
        elif now_s >= delivery.unanswered_since_s + USER_TIMEOUT_S:
            # The kernel's own timeout may have been raised further.
            peer.peer_is_gone()

    @staticmethod
    def _raise_timeout(
        peer: WatchedPeer, delivery: _Delivery, timeout_s: float
    ) -> None:
        if timeout_s > delivery.timeout_s and peer.tcp_socket is not None:
            delivery.timeout_s = timeout_s
            set_user_timeout(peer.tcp_socket, timeout_s)
