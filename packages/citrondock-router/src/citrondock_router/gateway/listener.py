"""Listening sockets that accept waiting connections in batches."""

import asyncio
import socket
from collections.abc import Callable

from citrondock_router.gateway.gateway_settings import Address
from citrondock_router.gateway.socket_options import is_descriptor_exhaustion
from citrondock_router.log import log_event

BACKLOG = 1024
"""Connections that may wait to be accepted; all clients of a zone may connect at
once."""

MAX_ACCEPTS = 128
"""Most connections accepted per event loop iteration, so that other work can run."""

ACCEPT_RETRY_S = 0.1
"""Pause in accepting after an error, such as a lack of file descriptors."""

RELEASE_S = 0.005
"""Pause in accepting after idle connections were closed; the event loop releases their
descriptors meanwhile."""


class Listener:
    """A listening socket that creates a protocol for each accepted connection.

    uvloop's own server accepts one connection per event loop iteration, which made
    clients of a busy router wait for seconds.

    Parameters
    ----------
    address : Address
        Address to listen on; port 0 takes a free one.
    protocol_factory : callable
        Returns the protocol of a new connection.
    loop : asyncio.AbstractEventLoop
        Event loop of the gateway.
    release_descriptors : callable, optional
        Closes idle connections when no file descriptor is free, and returns how many.
    """

    def __init__(
        self,
        address: Address,
        protocol_factory: Callable[[], asyncio.Protocol],
        loop: asyncio.AbstractEventLoop,
        release_descriptors: Callable[[], int] | None = None,
    ) -> None:
        self.is_accepting = True
        self._release_descriptors = release_descriptors
        self._protocol_factory = protocol_factory
        self._loop = loop
        self._accept_tasks: set[asyncio.Task[None]] = set()
        self._socket = socket.create_server((address.host, address.port))
        self._socket.listen(BACKLOG)
        self._socket.setblocking(False)
        self._loop.add_reader(self._socket, self._accept)

    @property
    def port(self) -> int:
        """Port that the socket listens on."""
        port: int = self._socket.getsockname()[1]
        return port

    def close(self) -> None:
        """Stop listening; accepted connections stay open."""
        self._loop.remove_reader(self._socket)
        self._socket.close()

    def _accept(self) -> None:
        for _ in range(MAX_ACCEPTS):
            try:
                connection, _ = self._socket.accept()
                self.is_accepting = True
            except (BlockingIOError, ConnectionAbortedError):
                return
            except OSError as error:
                self._pause_accepting(error)
                return
            task = self._loop.create_task(self._open(connection))
            self._accept_tasks.add(task)
            task.add_done_callback(self._accept_tasks.discard)

    def _pause_accepting(self, error: OSError) -> None:
        released = 0
        if self._release_descriptors is not None and is_descriptor_exhaustion(error):
            released = self._release_descriptors()
        log_event(
            "accept_failed", level="WARNING", detail=str(error), released=released
        )
        self.is_accepting = released > 0
        self._loop.remove_reader(self._socket)
        pause_s = RELEASE_S if released else ACCEPT_RETRY_S
        self._loop.call_later(pause_s, self._resume_accepting)

    def _resume_accepting(self) -> None:
        if self._socket.fileno() >= 0:
            self._loop.add_reader(self._socket, self._accept)

    async def _open(self, connection: socket.socket) -> None:
        connection.setblocking(False)
        try:
            await self._loop.connect_accepted_socket(self._protocol_factory, connection)
        except OSError as error:
            log_event("connection_lost_at_start", level="DEBUG", detail=str(error))
            connection.close()
