"""HTTP connection to a target, for one request at a time."""

import http.client
import select
import ssl
import time
from collections.abc import Mapping
from typing import Any

import attrs
from urllib3.exceptions import HTTPError

from citrondock_core.configuration import Target
from citrondock_core.errors import CitrondockError
from citrondock_wire.bounded_http import BoundedHTTPConnection, BoundedHTTPSConnection

_NO_BODY_STATUSES = frozenset({204, 304})


class TargetError(CitrondockError):
    """A request to a target failed."""


class TargetNotReachedError(TargetError):
    """The target could not be connected to, so the request did not run."""


class TargetResponseError(TargetError):
    """The request was sent at least in part, but no complete response came."""


@attrs.frozen(kw_only=True)
class TargetRequest:
    """A request to a target.

    Parameters
    ----------
    method, path : str
        Method, and path with the query.
    headers : mapping of str
        Headers without those that concern only the connection.
    body : bytes
        Complete body.
    """

    method: str
    path: str
    headers: Mapping[str, str]
    body: bytes = b""


@attrs.frozen(kw_only=True)
class TargetResponseHead:
    """Status and headers of a target's response.

    Parameters
    ----------
    status : int
        HTTP status code.
    headers : mapping of str
        Headers by lower-case name.
    chunked : bool
        Whether the body has the chunked transfer encoding.
    content_length_bytes : int or None
        Value of the Content-Length header, None if there is none; 0 if the response
        has no body.
    keep_alive : bool
        Whether the target keeps the connection open.
    """

    status: int
    headers: Mapping[str, str]
    chunked: bool
    content_length_bytes: int | None
    keep_alive: bool


class TargetConnection:
    """HTTP connection to one target.

    After `read_head`, the body is read directly from `socket`, starting with what
    `read_buffered_body` returns.

    Parameters
    ----------
    target : Target
        Target to connect to.
    connect_timeout_s : float
        Timeout for connecting, in seconds.
    tls : ssl.SSLContext or None
        TLS context; None for plain HTTP.
    """

    def __init__(
        self,
        target: Target,
        *,
        connect_timeout_s: float = 2.0,
        tls: ssl.SSLContext | None = None,
    ) -> None:
        self.target = target
        self.idle_until_s = 0.0
        self.keep_alive = False
        self._response: Any = None
        self._http: BoundedHTTPConnection | BoundedHTTPSConnection
        if tls is None:
            self._http = BoundedHTTPConnection(
                target.host, target.port, timeout=connect_timeout_s
            )
        else:
            self._http = BoundedHTTPSConnection(
                target.host, target.port, timeout=connect_timeout_s, ssl_context=tls
            )

    @property
    def socket(self):  # type: ignore[no-untyped-def]
        """The connected socket, either TCP or TLS."""
        return self._http.sock

    def connect(self) -> None:
        """Connect to the target.

        Raises
        ------
        TargetNotReachedError
            If the target could not be reached in time.
        """
        try:
            self._http.connect()
        except (OSError, HTTPError) as error:
            self.close()
            raise TargetNotReachedError(
                str(error), step="connect", peer=self.target.name
            ) from error

    def send(self, request: TargetRequest, *, timeout_s: float) -> None:
        """Send a request.

        Raises
        ------
        TargetResponseError
            If sending failed; the target may have received part of the request.
        """
        try:
            self.socket.settimeout(timeout_s)
            self._http.request(
                request.method,
                request.path,
                body=request.body or None,
                headers=dict(request.headers),
                preload_content=False,
                decode_content=False,
            )
        except (OSError, HTTPError) as error:
            self.close()
            raise TargetResponseError(
                str(error), step="send", peer=self.target.name
            ) from error

    def read_head(self, method: str, *, timeout_s: float) -> TargetResponseHead:
        """Read the status and headers, then make the socket non-blocking.

        Raises
        ------
        TargetResponseError
            If the connection ended, timed out or sent a malformed head.
        """
        try:
            self.socket.settimeout(timeout_s)
            response = self._http.getresponse()
        except (OSError, HTTPError, http.client.HTTPException, ValueError) as error:
            self.close()
            raise TargetResponseError(
                str(error) or type(error).__name__, step="head", peer=self.target.name
            ) from error
        # Without a reference to the response, its reader would be closed and the body
        # bytes that it has buffered would be lost.
        self._response = response
        self.socket.setblocking(False)
        headers = {name.lower(): value for name, value in response.headers.items()}
        return _head_of(response.status, headers, method, response.version)

    def read_buffered_body(self) -> bytes:
        """Return body bytes that were received together with the head."""
        reader = None if self._response is None else self._response._fp.fp
        if reader is None:
            return b""
        try:
            buffered = reader.peek()
        except (OSError, ssl.SSLWantReadError):
            return b""
        return bytes(reader.read(len(buffered))) if buffered else b""

    def finish(self) -> None:
        """Release the completed response, so that another request can be sent."""
        if self._response is not None:
            self._response.close()
            self._response = None

    def is_reusable(self) -> bool:
        """Whether the idle connection is open, not expired and has no unread bytes."""
        sock = self._http.sock
        if sock is None or time.monotonic() >= self.idle_until_s:
            return False
        poll = select.poll()
        poll.register(sock, select.POLLIN)
        return not poll.poll(0)

    def close(self) -> None:
        """Close the socket; the target cancels a request that still runs."""
        if self._response is not None:
            self._response.close()
            self._response = None
        self._http.close()


def _head_of(
    status: int, headers: Mapping[str, str], method: str, version: int
) -> TargetResponseHead:
    chunked = headers.get("transfer-encoding", "").lower() == "chunked"
    length_bytes: int | None = None
    if method == "HEAD" or status in _NO_BODY_STATUSES:
        chunked = False
        length_bytes = 0
    elif not chunked and headers.get("content-length", "").isdigit():
        length_bytes = int(headers["content-length"])
    closes = "close" in headers.get("connection", "").lower() or version < 11
    return TargetResponseHead(
        status=status,
        headers=headers,
        chunked=chunked,
        content_length_bytes=length_bytes,
        keep_alive=not closes,
    )
