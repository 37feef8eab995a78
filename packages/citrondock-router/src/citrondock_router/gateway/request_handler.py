"""Interfaces between client connections and what handles their requests."""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections.abc import Sequence
from typing import TYPE_CHECKING

import attrs

from citrondock_core.routing.route import ClientLimits
from citrondock_router.gateway.header_codec import Header, RequestHead

if TYPE_CHECKING:
    from citrondock_router.gateway.client_connection import ClientConnection


@attrs.frozen(kw_only=True)
class ClientRequest:
    """A request with its complete body."""

    head: RequestHead
    body: bytes


class RequestInProgress(ABC):
    """A request whose response is not complete yet."""

    @abstractmethod
    def client_disconnected(self) -> None:
        """Handle the loss of the client's connection."""

    @abstractmethod
    def end(self, reason: str) -> None:
        """End the request at once, with a response unless one has begun."""

    @abstractmethod
    def set_client_slow(self, is_slow: bool) -> None:
        """Record whether the client reads more slowly than it is written to."""


class RequestHandler(ABC):
    """Handles the requests of client connections."""

    @property
    @abstractmethod
    def limits(self) -> ClientLimits:
        """Limits for client connections that apply now."""

    @property
    @abstractmethod
    def is_draining(self) -> bool:
        """Whether connections are closed after a response that announces it."""

    @abstractmethod
    def handle(
        self, request: ClientRequest, client: ClientConnection
    ) -> RequestInProgress | None:
        """Start handling a request; return None if the response is already written."""

    @abstractmethod
    def connected(self, client: ClientConnection) -> None:
        """Record a new connection."""

    @abstractmethod
    def disconnected(self, client: ClientConnection) -> None:
        """Record the loss of a connection."""

    @abstractmethod
    def rejected(self, status: int, reason: str) -> None:
        """Record received bytes that are not a valid request within the limits."""

    @abstractmethod
    def account_of(self, headers: Sequence[Header]) -> str:
        """Return the client account that a request's headers name; empty if none."""

    @abstractmethod
    def unanswered(self, request: ClientRequest, reason: str, *, stage: str) -> None:
        """Record a whole request that gets no answer as its connection ends.

        Parameters
        ----------
        request : ClientRequest
            The request.
        reason : str
            Why the connection ends.
        stage : str
            ``queued`` if the request waited for an earlier one, ``discarded`` if it was
            read when the connection was closing already.
        """
