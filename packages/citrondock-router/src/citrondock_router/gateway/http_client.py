"""Single calls over HTTP/1.1 on the gateway's event loop."""

import asyncio

import attrs

from citrondock_router.gateway.header_codec import ResponseHead
from citrondock_router.gateway.target_connection import (
    ResponseFailure,
    ResponseListener,
    TargetConnection,
)


@attrs.frozen(kw_only=True)
class HttpResponse:
    """A whole answer."""

    status: int
    body: bytes


class _Collector(ResponseListener):
    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self.answer: asyncio.Future[HttpResponse] = loop.create_future()
        self._status = 0
        self._body: list[bytes] = []

    def response_started(self, head: ResponseHead) -> bool:
        self._status = head.status
        return True

    def response_data(self, data: bytes) -> None:
        self._body.append(data)

    def response_ended(self) -> None:
        if not self.answer.done():
            body = b"".join(self._body)
            self.answer.set_result(HttpResponse(status=self._status, body=body))

    def response_failed(self, cause: ResponseFailure) -> None:
        if not self.answer.done():
            self.answer.set_exception(ConnectionError(f"the answer was {cause.value}"))


class HttpClient:
    """Calls one address over one connection that is kept between calls.

    Parameters
    ----------
    host, port : str, int
        Address.
    loop : asyncio.AbstractEventLoop
        Loop that everything runs on.
    """

    def __init__(self, host: str, port: int, loop: asyncio.AbstractEventLoop) -> None:
        self.host, self.port = host, port
        self._loop = loop
        self._idle: TargetConnection | None = None

    async def call(
        self, method: str, path: str, *, body: bytes = b"", timeout_s: float
    ) -> HttpResponse:
        """Return the answer of one call; it is never repeated.

        Raises
        ------
        OSError
            If there is no connection, or no whole answer.
        TimeoutError
            If the answer took longer than ``timeout_s``.
        """
        collector = _Collector(self._loop)
        connection: TargetConnection | None = None
        try:
            async with asyncio.timeout(timeout_s):
                connection = await self._connect()
                connection.send(
                    self._request(method, path, body), collector, is_head=False
                )
                return await collector.answer
        except BaseException:
            if connection is not None:
                connection.abort()
            raise

    def close(self) -> None:
        """Close the kept connection."""
        if self._idle is not None:
            self._idle.abort()
            self._idle = None

    async def _connect(self) -> TargetConnection:
        kept, self._idle = self._idle, None
        if kept is not None and kept.is_open:
            return kept
        _, connection = await self._loop.create_connection(
            lambda: TargetConnection(self._keep, self._forget, self._loop.time),
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

    def _request(self, method: str, path: str, body: bytes) -> bytes:
        lines = [f"{method} {path} HTTP/1.1", f"Host: {self.host}:{self.port}"]
        if body:
            lines += ["Content-Type: application/json", f"Content-Length: {len(body)}"]
        return "\r\n".join(lines).encode() + b"\r\n\r\n" + body
