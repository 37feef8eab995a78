"""Pool of idle connections to targets."""

import asyncio
from collections.abc import Callable

from citrondock_core.routing.target_entry import TargetEntry
from citrondock_router.gateway.event_loop import arrival_timeout
from citrondock_router.gateway.peer_watch import PeerWatch
from citrondock_router.gateway.socket_options import is_descriptor_exhaustion
from citrondock_router.gateway.target_connection import TargetConnection

CONNECT_TIMEOUT_S = 0.4
"""Targets in other zones accept within milliseconds; unreachable ones never do."""

IDLE_MARGIN_S = 0.6
"""An idle connection is not used in this last part of its announced idle timeout, as
the target may be closing it."""

DEFAULT_IDLE_TIMEOUT_S = 1.5
"""How long an idle connection is used if the target announces no timeout."""

MAX_AT_MOST_ONCE_IDLE_S = 0.1
"""Longest idle time of a connection that takes a request that may run only once. If the
target has dropped the connection, it is unknown whether the request ran; some targets
drop idle connections after 0.3 s."""


class TargetConnectionPool:
    """Opens connections to targets and keeps idle ones for reuse.

    Parameters
    ----------
    loop : asyncio.AbstractEventLoop
        Event loop of the gateway.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self._loop = loop
        self._watch = PeerWatch(loop)
        # Closes idle connections of clients and returns how many.
        self.release_descriptors: Callable[[], int] | None = None
        self._idle: dict[str, list[TargetConnection]] = {}
        self._open: set[TargetConnection] = set()
        self.opened_count = 0

    @property
    def open_count(self) -> int:
        """Number of open connections to targets."""
        return len(self._open)

    def take_idle(
        self, entry: TargetEntry, *, may_run_again: bool, request_id: str
    ) -> TargetConnection | None:
        """Return the most recently used idle connection to a target, or None.

        Parameters
        ----------
        entry : TargetEntry
            Target to connect to.
        may_run_again : bool
            Whether the request may run more than once.
        request_id : str
            Id of the request; a connection on which it was refused is not used again,
            as the refusal may be repeated there.
        """
        now_s = self._loop.time()
        idle = self._idle.get(entry.target_id)
        while idle:
            connection = idle[-1]
            if request_id in connection.refused_request_ids:
                idle.pop().abort()
                continue
            if connection.is_open and now_s < _usable_until_s(connection):
                is_fresh = now_s - connection.idle_since_s <= MAX_AT_MOST_ONCE_IDLE_S
                if is_fresh or may_run_again:
                    return idle.pop()
                # The caller opens a connection; close the longest idle one for it.
                idle.pop(0).abort()
                return None
            idle.pop().abort()
        return None

    async def open(self, entry: TargetEntry) -> TargetConnection:
        """Open a connection to a target.

        If no file descriptor is free, idle connections of clients are closed for it.

        Raises
        ------
        OSError, TimeoutError
            If it cannot be opened; nothing of a request was sent then.
        """
        try:
            return await self._connect(entry)
        except OSError as error:
            release = self.release_descriptors
            if release is None or not is_descriptor_exhaustion(error) or not release():
                raise
        # The event loop releases the descriptors in its next iteration.
        await asyncio.sleep(0)
        return await self._connect(entry)

    async def _connect(self, entry: TargetEntry) -> TargetConnection:
        self.opened_count += 1

        def keep(connection: TargetConnection) -> None:
            self._idle.setdefault(entry.target_id, []).append(connection)

        def forget(connection: TargetConnection) -> None:
            self._open.discard(connection)
            idle = self._idle.get(entry.target_id)
            if idle and connection in idle:
                idle.remove(connection)

        async with arrival_timeout(self._loop, CONNECT_TIMEOUT_S):
            _, connection = await self._loop.create_connection(
                lambda: TargetConnection(keep, forget, self._loop, self._watch),
                entry.host,
                entry.port,
            )
        if connection.is_open:
            self._open.add(connection)
        return connection

    def drop(self, target_id: str) -> None:
        """Close the idle connections to a target that was removed."""
        for connection in self._idle.pop(target_id, []):
            connection.abort()

    def close_expired(self) -> None:
        """Close idle connections that are too old to be used."""
        now_s = self._loop.time()
        for target_id, idle in list(self._idle.items()):
            for connection in list(idle):
                if now_s >= _usable_until_s(connection):
                    idle.remove(connection)
                    connection.abort()
            if not idle:
                del self._idle[target_id]


def _usable_until_s(connection: TargetConnection) -> float:
    announced_s = connection.idle_timeout_s
    if announced_s is None:
        return connection.idle_since_s + DEFAULT_IDLE_TIMEOUT_S
    return connection.idle_since_s + max(announced_s - IDLE_MARGIN_S, 0.0)
