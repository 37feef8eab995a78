"""Socket options and errors: dead peers, closing, a lack of descriptors."""

import errno
import select
import socket
import struct

KEEPALIVE_IDLE_S = 1
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBE_COUNT = 2
"""Two lost probes end a connection: a dead peer is detected after about 3 seconds."""

USER_TIMEOUT_S = 1.5
"""Longest time that sent bytes stay unacknowledged before the connection ends."""

SLOW_PEER_TIMEOUT_S = 15.0
"""Longest time that a peer which acknowledges everything reads nothing."""

_MS_PER_S = 1000

_EXHAUSTION_ERRORS = frozenset({errno.EMFILE, errno.ENFILE})


def is_descriptor_exhaustion(error: OSError) -> bool:
    """Return whether an error says that no file descriptor is free."""
    return error.errno in _EXHAUSTION_ERRORS


def has_peer_closed(sock: socket.socket) -> bool:
    """Return whether the peer has closed or reset a connection.

    An event loop that is late reads the last bytes of a connection before it notices
    the end.
    """
    poller = select.poll()
    poller.register(sock.fileno(), select.POLLRDHUP)
    return bool(poller.poll(0))


def has_unread_data(sock: socket.socket) -> bool:
    """Return whether bytes, or the peer's close, wait to be read."""
    poller = select.poll()
    poller.register(sock.fileno(), select.POLLIN)
    return bool(poller.poll(0))


def enable_dead_peer_detection(sock: socket.socket) -> None:
    """Make the kernel probe idle connections and close those to dead peers.

    Also disables Nagle's algorithm.
    """
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBE_COUNT)
    set_user_timeout(sock, USER_TIMEOUT_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)


def set_user_timeout(sock: socket.socket, timeout_s: float) -> None:
    """Set the time after which the kernel ends a connection without progress.

    It counts from the first byte that stays unacknowledged or finds no room.
    """
    timeout_ms = int(timeout_s * _MS_PER_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, timeout_ms)


def reset_on_close(sock: socket.socket) -> None:
    """Make the next close of a socket send a TCP reset."""
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
