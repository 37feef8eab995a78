"""An attempt at another target while a silent one keeps the request."""

import asyncio
from abc import ABC, abstractmethod

from typing_extensions import override

from citrondock_core.routing.placement import PlacementChoice
from citrondock_router.gateway.header_codec import ResponseHead
from citrondock_router.gateway.target_connection import (
    MAX_REFUSAL_BYTES,
    ResponseFailure,
    ResponseListener,
    TargetConnection,
)
from citrondock_router.gateway.target_connection_pool import TargetConnectionPool


class TakeoverHandler(ABC):
    """The request that a takeover is made for."""

    @abstractmethod
    def takeover_request(self, takeover: "Takeover") -> bytes:
        """Return the request for the takeover's target, which is sent now."""

    @abstractmethod
    def takeover_answered(self, takeover: "Takeover", head: ResponseHead) -> bool:
        """Handle the head of a response; return False if it is of another request."""

    @abstractmethod
    def takeover_rejected(self, takeover: "Takeover") -> None:
        """Handle the end of a response that did not take the request over."""

    @abstractmethod
    def takeover_lost(self, takeover: "Takeover", cause: ResponseFailure) -> None:
        """Handle the end of the connection before the request was taken over."""

    @abstractmethod
    def takeover_unconnected(
        self, takeover: "Takeover", error: OSError | TimeoutError
    ) -> None:
        """Handle that the target could not be connected to; nothing was sent."""

    @abstractmethod
    def end_after_error(self, error: Exception) -> None:
        """End the request after an error that nothing else handles."""


class Takeover(ResponseListener):
    """Sends a request to another target, which takes it over once it answers.

    The silent target keeps the request until then, as it may be sound and go on, while
    the other one may turn the request away.

    Parameters
    ----------
    choice : PlacementChoice
        The other target.
    handler : TakeoverHandler
        The request.
    connections : TargetConnectionPool
        Provides connections to targets.
    loop : asyncio.AbstractEventLoop
        Event loop of the gateway.

    Attributes
    ----------
    connection : TargetConnection or None
        Connection that the request was sent on; None before.
    sent_at_s : float
        When the request was sent.
    """

    def __init__(
        self,
        choice: PlacementChoice,
        handler: TakeoverHandler,
        connections: TargetConnectionPool,
        loop: asyncio.AbstractEventLoop,
    ) -> None:
        self.choice = choice
        self.connection: TargetConnection | None = None
        self.sent_at_s = 0.0
        self._handler = handler
        self._connections = connections
        self._loop = loop
        self._connect_task: asyncio.Task[None] | None = None
        self._dropped_bytes = 0

    @property
    def is_sent(self) -> bool:
        """Whether the target may have received the request."""
        return self.connection is not None

    def begin(self, request_id: str, *, is_head: bool) -> None:
        """Send the request, on an idle connection if there is one."""
        entry = self.choice.load.entry
        idle = self._connections.take_idle(
            entry, may_run_again=True, request_id=request_id
        )
        if idle is not None:
            self._send(idle, is_head=is_head)
        else:
            self._connect_task = self._loop.create_task(self._connect(is_head=is_head))

    def cancel(self) -> None:
        """Close the connection; the handler is not called any more."""
        if self._connect_task is not None:
            self._connect_task.cancel()
            self._connect_task = None
        if self.connection is not None:
            self.connection.abort()

    @override
    def response_started(self, head: ResponseHead) -> bool:
        try:
            return self._handler.takeover_answered(self, head)
        except Exception as error:
            self._handler.end_after_error(error)
            return True

    @override
    def response_data(self, data: bytes) -> None:
        """Drop the body of a response that does not take the request over."""
        self._dropped_bytes += len(data)
        if self._dropped_bytes > MAX_REFUSAL_BYTES and self.connection is not None:
            self.connection.abort()

    @override
    def response_ended(self) -> None:
        self._handler.takeover_rejected(self)

    @override
    def response_failed(self, cause: ResponseFailure) -> None:
        self._handler.takeover_lost(self, cause)

    async def _connect(self, *, is_head: bool) -> None:
        try:
            connection = await self._connections.open(self.choice.load.entry)
        except (OSError, TimeoutError) as error:
            self._connect_task = None
            self._handler.takeover_unconnected(self, error)
            return
        except Exception as error:
            self._connect_task = None
            self._handler.end_after_error(error)
            return
        self._connect_task = None
        self._send(connection, is_head=is_head)

    def _send(self, connection: TargetConnection, *, is_head: bool) -> None:
        self.connection = connection
        self.sent_at_s = self._loop.time()
        try:
            data = self._handler.takeover_request(self)
        except Exception as error:
            self._handler.end_after_error(error)
            return
        connection.send(data, self, is_head=is_head)
