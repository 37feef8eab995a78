"""Small asyncio HTTP server whose handlers can also simulate failures."""

import asyncio
import json
from abc import ABC, abstractmethod
from collections import deque
from collections.abc import Mapping
from http import HTTPStatus
from typing import Any
from urllib.parse import parse_qsl, unquote, urlsplit

import attrs
import httptools

MAX_BODY_BYTES = 64_000_000
# Tells the router that the request was not run, so that it may be sent again.
NOT_RUN_HEADERS = {"X-Ran": "no"}


@attrs.frozen(kw_only=True)
class HttpRequest:
    """A parsed request; header names are in lower case."""

    method: str
    path: str
    query: Mapping[str, str]
    headers: Mapping[str, str]
    body: bytes

    def json(self) -> Any:
        """Return the body parsed as JSON; an empty body counts as an empty object."""
        return json.loads(self.body or b"{}")


class Reply:
    """Writer for the response to one request, sent at once or in parts."""

    def __init__(self, transport: asyncio.Transport, *, keep_alive: bool) -> None:
        self.keep_alive = keep_alive
        self.started = False
        self._transport = transport
        self._chunked = False

    def send(
        self,
        status: int,
        body: bytes = b"",
        headers: Mapping[str, str] | None = None,
    ) -> None:
        """Write a complete response with its length."""
        length = {"Content-Length": str(len(body))}
        self._transport.write(self._head(status, {**(headers or {}), **length}) + body)

    def send_json(
        self, status: int, document: object, headers: Mapping[str, str] | None = None
    ) -> None:
        """Write a complete JSON response."""
        content_type = {"Content-Type": "application/json"}
        self.send(
            status, json.dumps(document).encode(), {**content_type, **(headers or {})}
        )

    def start(
        self, status: int, headers: Mapping[str, str], *, close_delimited: bool = False
    ) -> None:
        """Start a response that is sent in parts."""
        self._chunked = not close_delimited
        if close_delimited:
            self.keep_alive = False
            framing = {"Connection": "close"}
        else:
            framing = {"Transfer-Encoding": "chunked"}
        self._transport.write(self._head(status, {**headers, **framing}))

    def write(self, data: bytes) -> None:
        """Write one part of the body."""
        if self._chunked:
            self._transport.write(b"%x\r\n%b\r\n" % (len(data), data))
        else:
            self._transport.write(data)

    def end(self) -> None:
        """Finish a response that is sent in parts."""
        if self._chunked:
            self._transport.write(b"0\r\n\r\n")

    def close(self) -> None:
        """Close the connection without writing anything more."""
        self.keep_alive = False
        self.started = True
        self._transport.close()

    def _head(self, status: int, headers: Mapping[str, str]) -> bytes:
        self.started = True
        lines = [f"HTTP/1.1 {status} {HTTPStatus(status).phrase}"]
        lines += [f"{name}: {value}" for name, value in headers.items()]
        return ("\r\n".join(lines) + "\r\n\r\n").encode()


class CountedFaults:
    """Base of fault sets in which some faults apply to the next N requests."""

    def take(self, name: str) -> bool:
        """Use up one occurrence of a counted fault; return whether one was left."""
        left_count = getattr(self, name)
        if left_count:
            setattr(self, name, left_count - 1)
        return bool(left_count)


class StandIn(ABC):
    """Base of stand-ins that serve HTTP on one port."""

    @abstractmethod
    async def handle(self, request: HttpRequest, reply: Reply) -> None:
        """Handle one request; cancelled when its connection closes."""

    async def start(self, host: str, port: int) -> int:
        """Start listening and return the port."""
        loop = asyncio.get_running_loop()
        server = await loop.create_server(
            lambda: _Connection(self), host, port, backlog=1024
        )
        return int(server.sockets[0].getsockname()[1])

    def details(self) -> str:
        """Return further fields of the listening line, each after a space."""
        return ""


class _Connection(asyncio.Protocol):
    """HTTP/1.1 connection; pipelined requests are handled in order."""

    _transport: asyncio.Transport

    def __init__(self, stand_in: StandIn) -> None:
        self._stand_in = stand_in
        self._parser = httptools.HttpRequestParser(self)
        self._pending_requests: deque[tuple[HttpRequest, bool]] = deque()
        self._task: asyncio.Task[None] | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport

    def connection_lost(self, exc: Exception | None) -> None:
        self._pending_requests.clear()
        if self._task is not None:
            self._task.cancel()

    def data_received(self, data: bytes) -> None:
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self._transport.close()

    def on_message_begin(self) -> None:
        self._url = b""
        self._headers: dict[str, str] = {}
        self._body = bytearray()

    def on_url(self, url: bytes) -> None:
        self._url += url

    def on_header(self, name: bytes, value: bytes) -> None:
        self._headers[name.decode().lower()] = value.decode("latin-1")

    def on_body(self, body: bytes) -> None:
        self._body += body
        if len(self._body) > MAX_BODY_BYTES:
            self._transport.abort()

    def on_message_complete(self) -> None:
        url = urlsplit(self._url.decode())
        request = HttpRequest(
            method=self._parser.get_method().decode(),
            path=unquote(url.path),
            query=dict(parse_qsl(url.query, keep_blank_values=True)),
            headers=self._headers,
            body=bytes(self._body),
        )
        self._pending_requests.append((request, self._parser.should_keep_alive()))
        self._answer_next()

    def _answer_next(self) -> None:
        if self._task is None and self._pending_requests:
            request, keep_alive = self._pending_requests.popleft()
            reply = Reply(self._transport, keep_alive=keep_alive)
            self._task = asyncio.create_task(self._answer(request, reply))

    async def _answer(self, request: HttpRequest, reply: Reply) -> None:
        try:
            await self._stand_in.handle(request, reply)
        except (KeyError, TypeError, ValueError) as error:
            if reply.started:
                raise
            reply.send_json(400, {"error": f"{type(error).__name__}: {error}"})
        self._task = None
        if reply.keep_alive:
            self._answer_next()
        else:
            self._transport.close()
