"""Client that sends raw bytes to a router, for malformed and partial requests."""

import json
import socket
from http.client import HTTPResponse

import attrs

from citrondock_standins.small_deployment import account_api_key

TIMEOUT_S = 20.0


@attrs.frozen
class RawResponse:
    """Response of a router.

    Parameters
    ----------
    status : int
        HTTP status.
    request_id : str
        Value of the ``X-Request-Id`` header, empty without it.
    body : bytes
        Response body.
    """

    status: int
    request_id: str
    body: bytes

    @property
    def refusal(self) -> tuple[int, str, str, str]:
        """Status, reason, ``ran`` and ``step`` of a refusal."""
        error = json.loads(self.body)["error"]
        if error["request_id"] != self.request_id:
            raise ValueError(f"header and body have different request ids: {self}")
        return self.status, error["reason"], error["ran"], error["step"]


def connect(port: int, *, receive_buffer_bytes: int = 0) -> socket.socket:
    """Connect to a local port, optionally with a small receive buffer."""
    sock = socket.socket()
    sock.settimeout(TIMEOUT_S)
    if receive_buffer_bytes:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer_bytes)
    sock.connect(("127.0.0.1", port))
    return sock


def head(
    line: str = "GET /works HTTP/1.1", *headers: str, account: str = "alice"
) -> bytes:
    """Return a request head with the API key of an account."""
    lines = [
        line,
        "Host: a",
        f"Authorization: Bearer {account_api_key(account)}",
        *headers,
    ]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1")


def send(port: int, data: bytes) -> RawResponse:
    """Send bytes on a new connection and return the first response."""
    with connect(port) as sock:
        try:
            sock.sendall(data)
        except ConnectionError:
            # The router may respond and close before it has read everything.
            return read_response(sock)
        return read_response(sock)


def read_response(sock: socket.socket) -> RawResponse:
    """Read the next response from a connection."""
    response = HTTPResponse(sock)
    response.begin()
    body = response.read()
    return RawResponse(response.status, response.headers.get("X-Request-Id", ""), body)


def read_until_close(sock: socket.socket) -> bytes:
    """Read all bytes until the connection is closed."""
    with sock.makefile("rb") as stream:
        return stream.read()
