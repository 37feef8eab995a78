"""One HTTP call on a connection of its own, with its body as it arrives."""

import asyncio
import socket
import struct
from collections.abc import Callable, Mapping

import attrs
import httptools

SLOW_PIECES_PER_S = 10
SLOW_READER_BUFFER_BYTES = 4096
# Thousands of connections in TIME_WAIT slow down what looks at sockets.
RESET_ON_CLOSE = struct.pack("ii", 1, 0)


@attrs.frozen(kw_only=True)
class HttpRequest:
    """What is sent.

    Parameters
    ----------
    method, path : str
        Request line.
    headers : mapping of str
        Headers besides the length of the body.
    body : bytes
        Body.
    send_bytes_per_s, read_bytes_per_s : int or None
        Speed of a slow sender or a slow reader.
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
    """Head of an answer, and whether its body came whole by its own framing."""

    status: int = 0
    headers: dict[str, str] = attrs.field(factory=dict)
    complete: bool = False


class _ResponseProtocol(asyncio.Protocol):
    """Feeds the library's parser and hands body bytes on."""

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
        """Keep the transport, to pause it for a slow reader."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport

    def data_received(self, data: bytes) -> None:
        """Parse what came."""
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError as error:
            self._finish(error)
            return
        if self._read_bytes_per_s and self._transport and not self.closed.done():
            self._transport.pause_reading()
            asyncio.get_running_loop().call_later(
                len(data) / self._read_bytes_per_s, self._resume
            )

    def _resume(self) -> None:
        if self._transport and not self._transport.is_closing():
            self._transport.resume_reading()

    def on_header(self, name: bytes, value: bytes) -> None:
        """Keep a header."""
        self.response.headers[name.decode("latin-1").lower()] = value.decode("latin-1")

    def on_headers_complete(self) -> None:
        """Keep the status."""
        self.response.status = self._parser.get_status_code()

    def on_body(self, body: bytes) -> None:
        """Hand body bytes on."""
        self._on_body(body)

    def on_message_complete(self) -> None:
        """Note that the framing says the body is whole."""
        self.response.complete = True
        self._finish(None)

    def connection_lost(self, exc: Exception | None) -> None:
        """End the call; without a length, a clean close is the end of the body."""
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
    piece_bytes = max(1, per_s // SLOW_PIECES_PER_S)
    for start in range(0, len(data), piece_bytes):
        if transport.is_closing():
            return
        transport.write(data[start : start + piece_bytes])
        await asyncio.sleep(1 / SLOW_PIECES_PER_S)


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
        Where to.
    request : HttpRequest
        What to send.
    on_body : callable
        Gets the bytes of the body as they arrive, unchunked.

    Raises
    ------
    OSError
        The connection failed or broke.
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
