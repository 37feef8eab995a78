"""Accepts connections in batches."""

import asyncio
import socket
from collections.abc import Callable

from citrondock_router.gateway.gateway_settings import Address
from citrondock_router.log import log_event

BACKLOG = 1024
"""Connections that may wait to be accepted; a whole zone's clients may come at once."""

MAX_ACCEPTS = 128
"""Connections accepted in one turn of the loop, so that others get theirs."""

PAUSE_S = 0.1
"""Pause after the system had no descriptor left for a connection."""


class Listener:
    """A listening socket whose connections get protocols.

    The loop of libuv itself accepts one connection a turn, so that clients of a busy
    router wait for seconds.

    Parameters
    ----------
    address : Address
        Where to listen; port 0 takes a free one.
    protocol : callable
        Returns the protocol of a connection.
    loop : asyncio.AbstractEventLoop
        Loop that everything runs on.
    """

    def __init__(
        self,
        address: Address,
        protocol: Callable[[], asyncio.Protocol],
        loop: asyncio.AbstractEventLoop,
    ) -> None:
        self._protocol = protocol
        self._loop = loop
        self._openings: set[asyncio.Task[None]] = set()
        self._socket = socket.create_server((address.host, address.port))
        self._socket.listen(BACKLOG)
        self._socket.setblocking(False)
        self._loop.add_reader(self._socket, self._accept)

    @property
    def port(self) -> int:
        """Port that is listened on."""
        port: int = self._socket.getsockname()[1]
        return port

    def close(self) -> None:
        """Listen no longer; accepted connections go on."""
        self._loop.remove_reader(self._socket)
        self._socket.close()

    def _accept(self) -> None:
        for _ in range(MAX_ACCEPTS):
            try:
                connection, _ = self._socket.accept()
            except (BlockingIOError, ConnectionAbortedError):
                return
            except OSError as error:
                log_event("accept_failed", level="WARNING", detail=str(error))
                self._loop.remove_reader(self._socket)
                self._loop.call_later(PAUSE_S, self._go_on)
                return
            opening = self._loop.create_task(self._open(connection))
            self._openings.add(opening)
            opening.add_done_callback(self._openings.discard)

    def _go_on(self) -> None:
        if self._socket.fileno() >= 0:
            self._loop.add_reader(self._socket, self._accept)

    async def _open(self, connection: socket.socket) -> None:
        connection.setblocking(False)
        try:
            await self._loop.connect_accepted_socket(self._protocol, connection)
        except OSError as error:
            log_event("connection_lost_at_start", level="DEBUG", detail=str(error))
            connection.close()
