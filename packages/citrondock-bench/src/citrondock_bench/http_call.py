"""Sends one HTTP request on a new connection and streams the body of its answer."""

import asyncio
import socket
import struct
from collections.abc import Callable, Mapping

import attrs
import httptools

SLOW_CHUNKS_PER_S = 10
SLOW_READER_BUFFER_BYTES = 4096
# Close with a reset: thousands of connections left in TIME_WAIT slow down everything
# that lists sockets.
RESET_ON_CLOSE = struct.pack("ii", 1, 0)


@attrs.frozen(kw_only=True)
class HttpRequest:
    """A request and the speed at which it is sent and read.

    Parameters
    ----------
    method, path : str
        Method and path of the request line.
    headers : mapping of str
        Headers, without ``Host``, ``Content-Length`` and ``Connection``.
    body : bytes
        Body of the request.
    send_bytes_per_s, read_bytes_per_s : int or None
        Limit for a slow sender or a slow reader; None is no limit.
    """

    method: str
    path: str
    headers: Mapping[str, str]
    body: bytes = b""
    send_bytes_per_s: int | None = None
    read_bytes_per_s: int | None = None

    def encode(self, host: str, port: int) -> bytes:
        """Return the bytes of the request."""
        lines = [f"{self.method} {self.path} HTTP/1.1", f"Host: {host}:{port}"]
        lines += [f"{name}: {value}" for name, value in self.headers.items()]
        lines += [f"Content-Length: {len(self.body)}", "Connection: close", "", ""]
        return "\r\n".join(lines).encode() + self.body


@attrs.define(kw_only=True)
class HttpResponse:
    """Head of an answer, and whether its body is complete by its HTTP framing."""

    status: int = 0
    headers: dict[str, str] = attrs.field(factory=dict)
    complete: bool = False


class _ResponseProtocol(asyncio.Protocol):
    """Parses an answer and passes the bytes of its body to a callback."""

    def __init__(
        self, on_body: Callable[[bytes], None], read_bytes_per_s: int | None
    ) -> None:
        self.response = HttpResponse()
        self.closed: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self._on_body = on_body
        self._read_bytes_per_s = read_bytes_per_s
        self._parser = httptools.HttpResponseParser(self)
        self._transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport, which a slow reader pauses."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport

    def data_received(self, data: bytes) -> None:
        """Parse received bytes; a slow reader then pauses reading."""
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError as error:
            self._finish(error)
            return
        if self._read_bytes_per_s and self._transport and not self.closed.done():
            self._transport.pause_reading()
            asyncio.get_running_loop().call_later(
                len(data) / self._read_bytes_per_s, self._resume_reading
            )

    def _resume_reading(self) -> None:
        if self._transport and not self._transport.is_closing():
            self._transport.resume_reading()

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store a header."""
        self.response.headers[name.decode("latin-1").lower()] = value.decode("latin-1")

    def on_headers_complete(self) -> None:
        """Store the status code."""
        self.response.status = self._parser.get_status_code()

    def on_body(self, body: bytes) -> None:
        """Pass bytes of the body to the callback."""
        self._on_body(body)

    def on_message_complete(self) -> None:
        """Mark the body as complete by its framing."""
        self.response.complete = True
        self._finish(None)

    def connection_lost(self, exc: Exception | None) -> None:
        """End the call; a body without a length is complete after a clean close."""
        framing = {"content-length", "transfer-encoding"}
        if (
            exc is None
            and self.response.status
            and not framing & set(self.response.headers)
        ):
            self.response.complete = True
        self._finish(exc)

    def _finish(self, error: Exception | None) -> None:
        if self.closed.done():
            return
        if error is None:
            self.closed.set_result(None)
        else:
            self.closed.set_exception(error)


async def _connect(host: str, port: int, *, slow_reader: bool) -> socket.socket:
    connection = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        connection.setblocking(False)
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        if slow_reader:
            connection.setsockopt(
                socket.SOL_SOCKET, socket.SO_RCVBUF, SLOW_READER_BUFFER_BYTES
            )
        await asyncio.get_running_loop().sock_connect(connection, (host, port))
    except BaseException:
        connection.close()
        raise
    return connection


async def _send(transport: asyncio.Transport, data: bytes, per_s: int | None) -> None:
    if not per_s:
        transport.write(data)
        return
    chunk_bytes = max(1, per_s // SLOW_CHUNKS_PER_S)
    for start in range(0, len(data), chunk_bytes):
        if transport.is_closing():
            return
        transport.write(data[start : start + chunk_bytes])
        await asyncio.sleep(1 / SLOW_CHUNKS_PER_S)


async def call(
    host: str,
    port: int,
    request: HttpRequest,
    on_body: Callable[[bytes], None],
) -> HttpResponse:
    """Send one request and read its answer to the end.

    Parameters
    ----------
    host, port : str, int
        Address of the server.
    request : HttpRequest
        Request to send.
    on_body : callable
        Called with bytes of the body as they arrive, without chunk framing.

    Raises
    ------
    OSError
        The connection was refused or lost.
    httptools.HttpParserError
        The answer is not HTTP.
    """
    connection = await _connect(
        host, port, slow_reader=request.read_bytes_per_s is not None
    )
    transport, protocol = await asyncio.get_running_loop().create_connection(
        lambda: _ResponseProtocol(on_body, request.read_bytes_per_s), sock=connection
    )
    try:
        await _send(transport, request.encode(host, port), request.send_bytes_per_s)
        await protocol.closed
    finally:
        transport.abort()
    return protocol.response
