"""HTTP/1.1 client for single calls on the gateway's event loop."""

import asyncio
from collections.abc import Sequence

import attrs

from citrondock_router.gateway.event_loop import arrival_timeout
from citrondock_router.gateway.header_codec import Header, ResponseHead
from citrondock_router.gateway.target_connection import (
    ResponseFailure,
    ResponseListener,
    TargetConnection,
)

MAX_BODY_BYTES = 8_388_608
"""Largest body of a response; pages of the store hold some megabytes at most."""


class ResponseTooLargeError(ConnectionError):
    """The body of a response exceeds `MAX_BODY_BYTES`."""


@attrs.frozen(kw_only=True)
class HttpResponse:
    """Status, headers and complete body of a response."""

    status: int
    body: bytes
    headers: Sequence[Header] = ()


class _ResponseCollector(ResponseListener):
    """Sets a future to the complete response, or to the error that ended it."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self.response: asyncio.Future[HttpResponse] = loop.create_future()
        self._status = 0
        self._headers: Sequence[Header] = ()
        self._body: list[bytes] = []
        self._body_bytes = 0

    def response_started(self, head: ResponseHead) -> bool:
        self._status = head.status
        self._headers = head.headers
        return True

    def response_data(self, data: bytes) -> None:
        self._body_bytes += len(data)
        if self._body_bytes <= MAX_BODY_BYTES:
            self._body.append(data)
        elif not self.response.done():
            self.response.set_exception(
                ResponseTooLargeError(f"body of more than {MAX_BODY_BYTES} bytes")
            )

    def response_ended(self) -> None:
        if not self.response.done():
            response = HttpResponse(
                status=self._status, body=b"".join(self._body), headers=self._headers
            )
            self.response.set_result(response)

    def response_failed(self, cause: ResponseFailure) -> None:
        if not self.response.done():
            self.response.set_exception(
                ConnectionError(f"incomplete response: {cause.value}")
            )


class HttpClient:
    """Calls one address over one connection that is kept open between calls.

    Parameters
    ----------
    host, port : str, int
        Address of the server.
    loop : asyncio.AbstractEventLoop
        Event loop of the gateway.
    """

    def __init__(self, host: str, port: int, loop: asyncio.AbstractEventLoop) -> None:
        self.host, self.port = host, port
        self._loop = loop
        self._idle: TargetConnection | None = None

    async def call(
        self, method: str, path: str, *, body: bytes = b"", timeout_s: float
    ) -> HttpResponse:
        """Send one request and return its response; it is never retried.

        Raises
        ------
        OSError
            If the connection cannot be opened or the response is incomplete.
        TimeoutError
            If the response took longer than ``timeout_s``.
        """
        collector = _ResponseCollector(self._loop)
        connection: TargetConnection | None = None
        try:
            async with arrival_timeout(self._loop, timeout_s):
                connection = await self._connect()
                connection.send(
                    self._encode_request(method, path, body), collector, is_head=False
                )
                return await collector.response
        except BaseException:
            if connection is not None:
                connection.abort()
            raise

    def close(self) -> None:
        """Close the idle connection."""
        if self._idle is not None:
            self._idle.abort()
            self._idle = None

    async def _connect(self) -> TargetConnection:
        idle, self._idle = self._idle, None
        if idle is not None and idle.is_open:
            return idle
        _, connection = await self._loop.create_connection(
            lambda: TargetConnection(self._keep, self._forget, self._loop),
            self.host,
            self.port,
        )
        return connection

    def _keep(self, connection: TargetConnection) -> None:
        self.close()
        self._idle = connection

    def _forget(self, connection: TargetConnection) -> None:
        if self._idle is connection:
            self._idle = None

    def _encode_request(self, method: str, path: str, body: bytes) -> bytes:
        lines = [f"{method} {path} HTTP/1.1", f"Host: {self.host}:{self.port}"]
        if body:
            lines += ["Content-Type: application/json", f"Content-Length: {len(body)}"]
        return "\r\n".join(lines).encode() + b"\r\n\r\n" + body
