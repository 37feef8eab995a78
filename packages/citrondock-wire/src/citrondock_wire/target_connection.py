"""One connection to a target, used by one request at a time."""

import select
import ssl
import time
from collections.abc import Mapping
from typing import Any

import attrs
from urllib3.connection import HTTPConnection, HTTPSConnection
from urllib3.exceptions import HTTPError

from citrondock_core.configuration import Target
from citrondock_core.errors import CitrondockError

_NO_BODY_STATUSES = frozenset({204, 304})


class TargetError(CitrondockError):
    """A call to a target failed."""


class TargetNotReachedError(TargetError):
    """No byte of the request left; it did not run."""


class TargetResponseError(TargetError):
    """The request was sent, or part of it, and no whole answer came."""


@attrs.frozen(kw_only=True)
class TargetRequest:
    """What is sent to a target.

    Parameters
    ----------
    method, path : str
        Request line; the path carries the query.
    headers : mapping of str
        Headers without those of the connection itself.
    body : bytes
        Whole body.
    """

    method: str
    path: str
    headers: Mapping[str, str]
    body: bytes = b""


@attrs.frozen(kw_only=True)
class TargetResponseHead:
    """Status and headers of an answer.

    Parameters
    ----------
    status : int
        HTTP status.
    headers : mapping of str
        Headers by lower-case name.
    chunked : bool
        Whether the body is in chunks.
    content_length_bytes : int or None
        Length where the target told one; 0 where the answer has no body.
    keep_alive : bool
        Whether the target keeps the connection open.
    """

    status: int
    headers: Mapping[str, str]
    chunked: bool
    content_length_bytes: int | None
    keep_alive: bool


class TargetConnection:
    """A connection whose body bytes the caller of `read_head` reads from `socket`.

    Parameters
    ----------
    target : Target
        Whom to connect to.
    connect_timeout_s : float
        Longest time for connecting.
    tls : ssl.SSLContext or None
        Context for TLS; None for plain HTTP.
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
        if tls is None:
            self._http = HTTPConnection(
                target.host, target.port, timeout=connect_timeout_s
            )
        else:
            self._http = HTTPSConnection(
                target.host, target.port, timeout=connect_timeout_s, ssl_context=tls
            )

    @property
    def socket(self):  # type: ignore[no-untyped-def]
        """The connected socket, plain or TLS."""
        return self._http.sock

    def connect(self) -> None:
        """Connect.

        Raises
        ------
        TargetNotReachedError
            When the target was not reached in time.
        """
        try:
            self._http.connect()
        except (OSError, HTTPError) as error:
            self.close()
            raise TargetNotReachedError(
                str(error), step="connect", peer=self.target.name
            ) from error

    def send(self, request: TargetRequest, *, timeout_s: float) -> None:
        """Send a whole request.

        Raises
        ------
        TargetResponseError
            When sending failed; the target may have got some of it.
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
        """Read the answer's head; leaves the socket not blocking.

        Raises
        ------
        TargetResponseError
            When the connection ended or the head is malformed.
        """
        try:
            self.socket.settimeout(timeout_s)
            response = self._http.getresponse()
        except (OSError, HTTPError, ValueError) as error:
            self.close()
            raise TargetResponseError(
                str(error) or type(error).__name__, step="head", peer=self.target.name
            ) from error
        # Dropping the response would close the reader with what it has buffered.
        self._response = response
        self.socket.setblocking(False)
        headers = {name.lower(): value for name, value in response.headers.items()}
        return _head_of(response.status, headers, method, response.version)

    def read_buffered_body(self) -> bytes:
        """Return body bytes that came along with the head."""
        reader = None if self._response is None else self._response._fp.fp
        if reader is None:
            return b""
        try:
            buffered = reader.peek()
        except (OSError, ssl.SSLWantReadError):
            return b""
        return bytes(reader.read(len(buffered))) if buffered else b""

    def finish(self) -> None:
        """Make the connection ready for another request after a whole answer."""
        if self._response is not None:
            self._response.close()
            self._response = None

    def is_quiet(self) -> bool:
        """Whether an idle connection is open with no late byte on it."""
        sock = self._http.sock
        if sock is None or time.monotonic() >= self.idle_until_s:
            return False
        poll = select.poll()
        poll.register(sock, select.POLLIN)
        return not poll.poll(0)

    def close(self) -> None:
        """Close the socket; the target cancels what it still runs."""
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
