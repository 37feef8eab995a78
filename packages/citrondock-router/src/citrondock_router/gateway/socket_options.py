"""Options that show when the other end of a connection has gone silent."""

import socket
import struct

KEEPALIVE_IDLE_S = 1
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBE_COUNT = 2
"""Two lost probes: a silent peer is found after about three seconds."""

UNACKNOWLEDGED_MS = 1500
"""Bytes that no peer confirms for so long end the connection."""


def enable_dead_peer_detection(sock: socket.socket) -> None:
    """Have the kernel probe an idle connection and give up on a silent one."""
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBE_COUNT)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_MS)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)


def reset_on_close(sock: socket.socket) -> None:
    """Have the next close end the connection with a reset."""
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
