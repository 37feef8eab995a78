"""Serves the load balancer's readiness check and the metrics page over HTTP."""

from collections.abc import Callable, Mapping, Sequence
from http import HTTPStatus

from typing_extensions import override

from citrondock_core.routing.route import ClientLimits
from citrondock_router.gateway.client_connection import ClientConnection
from citrondock_router.gateway.header_codec import Header
from citrondock_router.gateway.request_handler import (
    ClientRequest,
    RequestHandler,
    RequestInProgress,
)
from citrondock_router.log import log_event

_LIMITS = ClientLimits(
    max_header_bytes=8_192,
    max_body_bytes=1_024,
    header_timeout_s=3.0,
    idle_timeout_s=60.0,
)

Page = Callable[[], tuple[HTTPStatus, bytes]]
"""Returns the status and the body of a page at the time of the call."""


class OperationsHandler(RequestHandler):
    """Serves pages by path; each request renders its page anew.

    Parameters
    ----------
    pages : mapping of bytes to Page
        Pages by path, without the query.
    """

    def __init__(self, pages: Mapping[bytes, Page]) -> None:
        self._pages = pages

    @override
    @property
    def limits(self) -> ClientLimits:
        return _LIMITS

    @override
    @property
    def is_draining(self) -> bool:
        return False

    @override
    def handle(
        self, request: ClientRequest, client: ClientConnection
    ) -> RequestInProgress | None:
        page = self._pages.get(request.head.target.partition(b"?")[0])
        status, body = HTTPStatus.NOT_FOUND, b""
        if page is not None:
            try:
                status, body = page()
            except Exception as error:
                status = HTTPStatus.INTERNAL_SERVER_ERROR
                log_event("page_error", level="ERROR", error=repr(error))
        headers = [(b"Content-Type", b"text/plain; charset=utf-8")]
        client.send_response(status, status.phrase.encode(), headers, body)
        return None

    @override
    def connected(self, client: ClientConnection) -> None:
        return None

    @override
    def disconnected(self, client: ClientConnection) -> None:
        return None

    @override
    def rejected(self, status: int, reason: str) -> None:
        return None

    @override
    def account_of(self, headers: Sequence[Header]) -> str:
        return ""

    @override
    def unanswered(self, request: ClientRequest, reason: str, *, stage: str) -> None:
        return None
