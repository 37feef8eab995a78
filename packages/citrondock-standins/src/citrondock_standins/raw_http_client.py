"""A caller that speaks to a router byte by byte."""

import json
import socket
from http.client import HTTPResponse

import attrs

from citrondock_standins.small_deployment import account_api_key

TIMEOUT_S = 20.0


@attrs.frozen
class RawResponse:
    """An answer as it came.

    Parameters
    ----------
    status : int
        HTTP status.
    request_id : str
        Value of ``X-Request-Id``.
    body : bytes
        Body.
    """

    status: int
    request_id: str
    body: bytes

    @property
    def refusal(self) -> tuple[int, str, str, str]:
        """Status, reason, ran and step of a refusal."""
        error = json.loads(self.body)["error"]
        if error["request_id"] != self.request_id:
            raise ValueError(f"the answer carries two request ids: {self}")
        return self.status, error["reason"], error["ran"], error["step"]


def connect(port: int, *, receive_buffer_bytes: int = 0) -> socket.socket:
    """Return a connection to a local port, with a small buffer if asked."""
    sock = socket.socket()
    sock.settimeout(TIMEOUT_S)
    if receive_buffer_bytes:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer_bytes)
    sock.connect(("127.0.0.1", port))
    return sock


def head(
    line: str = "GET /works HTTP/1.1", *headers: str, account: str = "alice"
) -> bytes:
    """Return the head of a request under an account's key."""
    lines = [
        line,
        "Host: a",
        f"Authorization: Bearer {account_api_key(account)}",
        *headers,
    ]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1")


def send(port: int, data: bytes) -> RawResponse:
    """Send bytes on a new connection and return the first answer."""
    with connect(port) as sock:
        try:
            sock.sendall(data)
        except ConnectionError:
            # The answer may have come before all was sent.
            return read_response(sock)
        return read_response(sock)


def read_response(sock: socket.socket) -> RawResponse:
    """Return the next answer on a connection."""
    answer = HTTPResponse(sock)
    answer.begin()
    body = answer.read()
    return RawResponse(answer.status, answer.headers.get("X-Request-Id", ""), body)


def read_until_close(sock: socket.socket) -> bytes:
    """Return all bytes until the connection ends."""
    with sock.makefile("rb") as stream:
        return stream.read()
