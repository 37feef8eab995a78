"""Connections to targets, kept while they can be used again."""

import asyncio

from citrondock_core.routing.target_entry import TargetEntry
from citrondock_router.gateway.target_connection import TargetConnection

CONNECT_TIMEOUT_S = 0.4
"""A target in another zone answers within milliseconds; one that is lost never."""

IDLE_MARGIN_S = 0.6
"""A kept connection is not used in the last part of its announced idle time."""

UNANNOUNCED_IDLE_S = 1.5
"""Idle time that is trusted where a target announces none."""


MAX_REST_S = 0.1
"""Longest rest of a connection for requests that may run only once: a target that has
dropped it leaves open whether they ran, and some drop connections after 0.3 s."""


class TargetConnectionPool:
    """Idle connections by target.

    Parameters
    ----------
    loop : asyncio.AbstractEventLoop
        Loop that everything runs on.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self._loop = loop
        self._idle: dict[str, list[TargetConnection]] = {}
        self.opened_count = 0

    def take_idle(
        self, entry: TargetEntry, *, may_run_again: bool
    ) -> TargetConnection | None:
        """Return a kept connection, the most recently used first, or None."""
        now_s = self._loop.time()
        idle = self._idle.get(entry.target_id)
        while idle:
            connection = idle[-1]
            if connection.is_open and now_s < _usable_until_s(connection):
                is_fresh = now_s - connection.idle_since_s <= MAX_REST_S
                if is_fresh or may_run_again:
                    return idle.pop()
                # A new connection takes the place of the one that rested longest.
                idle.pop(0).abort()
                return None
            idle.pop().abort()
        return None

    async def open(self, entry: TargetEntry) -> TargetConnection:
        """Open a connection.

        Raises
        ------
        OSError, TimeoutError
            If there is none; no byte was sent then.
        """
        self.opened_count += 1

        def keep(connection: TargetConnection) -> None:
            self._idle.setdefault(entry.target_id, []).append(connection)

        def forget(connection: TargetConnection) -> None:
            idle = self._idle.get(entry.target_id)
            if idle and connection in idle:
                idle.remove(connection)

        async with asyncio.timeout(CONNECT_TIMEOUT_S):
            _, connection = await self._loop.create_connection(
                lambda: TargetConnection(keep, forget, self._loop.time),
                entry.host,
                entry.port,
            )
        return connection

    def drop(self, target_id: str) -> None:
        """Close the idle connections of a target that is gone."""
        for connection in self._idle.pop(target_id, []):
            connection.abort()

    def close_expired(self) -> None:
        """Close connections that were idle for too long to be used."""
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
        return connection.idle_since_s + UNANNOUNCED_IDLE_S
    return connection.idle_since_s + max(announced_s - IDLE_MARGIN_S, 0.0)
