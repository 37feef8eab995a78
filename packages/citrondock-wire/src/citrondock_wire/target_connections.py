"""Connections to targets; idle ones are kept for idempotent requests."""

import ssl
import threading
import time
from collections import defaultdict

from citrondock_core.configuration import Target
from citrondock_wire.target_connection import TargetConnection

_MAX_IDLE_PER_TARGET = 16


class TargetConnections:
    """Opens connections to targets and keeps idle ones for reuse.

    Parameters
    ----------
    connect_timeout_s : float
        Timeout for connecting, in seconds.
    max_idle_s : float
        Longest time for which an idle connection may be reused, in seconds.
    tls : ssl.SSLContext or None
        TLS context for targets; None for plain HTTP.
    """

    def __init__(
        self,
        *,
        connect_timeout_s: float = 2.0,
        max_idle_s: float = 4.0,
        tls: ssl.SSLContext | None = None,
    ) -> None:
        self._connect_timeout_s = connect_timeout_s
        self._max_idle_s = max_idle_s
        self._tls = tls
        self._idle: dict[str, list[TargetConnection]] = defaultdict(list)
        self._lock = threading.Lock()

    def open(self, target: Target, *, fresh: bool) -> TargetConnection:
        """Return a connection to a target, an idle one if possible.

        Parameters
        ----------
        target : Target
            Target to connect to.
        fresh : bool
            Whether to open a new connection in any case. An idle connection that the
            target has closed meanwhile fails only after the request was sent.

        Raises
        ------
        TargetNotReachedError
            If the target could not be reached in time.
        """
        connection = None if fresh else self._take_idle(target)
        if connection is None:
            connection = TargetConnection(
                target, connect_timeout_s=self._connect_timeout_s, tls=self._tls
            )
            connection.connect()
        return connection

    def keep(self, connection: TargetConnection) -> None:
        """Keep a connection for reuse after its response was read to the end."""
        connection.finish()
        connection.idle_until_s = time.monotonic() + self._max_idle_s
        with self._lock:
            idle = self._idle[connection.target.name]
            idle.append(connection)
            surplus = idle.pop(0) if len(idle) > _MAX_IDLE_PER_TARGET else None
        if surplus is not None:
            surplus.close()

    def close(self) -> None:
        """Close all idle connections."""
        with self._lock:
            idle = [c for connections in self._idle.values() for c in connections]
            self._idle.clear()
        for connection in idle:
            connection.close()

    def _take_idle(self, target: Target) -> TargetConnection | None:
        while True:
            with self._lock:
                idle = self._idle[target.name]
                connection = idle.pop() if idle else None
            if connection is None:
                return None
            same_address = (connection.target.host, connection.target.port) == (
                target.host,
                target.port,
            )
            if same_address and connection.is_reusable():
                return connection
            connection.close()
