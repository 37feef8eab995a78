"""HTTP client parts that read only so much of a response, whatever the server sends."""

import http.client
import time
from typing import Any

import urllib3
from typing_extensions import override
from urllib3.connection import HTTPConnection, HTTPSConnection
from urllib3.exceptions import HTTPError

MAX_INTERIM_RESPONSES = 16
"""Most interim responses before the final one."""

READ_CHUNK_BYTES = 65_536


class EndlessResponseError(HTTPError):
    """A response is longer, or takes longer, than allowed."""


class BoundedHTTPResponse(http.client.HTTPResponse):
    """A response whose head ends after some interim responses.

    The standard library bounds lines and headers, but skips any number of interim
    responses.
    """

    def __init__(self, *args: Any, **options: Any) -> None:
        super().__init__(*args, **options)
        self._status_count = 0

    @override
    def _read_status(self) -> tuple[str, int, str]:  # type: ignore[misc]
        self._status_count += 1
        if self._status_count > MAX_INTERIM_RESPONSES:
            raise http.client.HTTPException(
                f"more than {MAX_INTERIM_RESPONSES} interim responses"
            )
        result: tuple[str, int, str] = super()._read_status()  # type: ignore[misc]
        return result


class BoundedHTTPConnection(HTTPConnection):
    """A plain connection with bounded heads."""

    response_class = BoundedHTTPResponse


class BoundedHTTPSConnection(HTTPSConnection):
    """A connection with TLS and bounded heads."""

    response_class = BoundedHTTPResponse


class _BoundedHTTPConnectionPool(urllib3.HTTPConnectionPool):
    ConnectionCls = BoundedHTTPConnection


class _BoundedHTTPSConnectionPool(urllib3.HTTPSConnectionPool):
    ConnectionCls = BoundedHTTPSConnection


def pool_manager(**options: Any) -> urllib3.PoolManager:
    """Return a manager of connection pools with bounded heads."""
    manager = urllib3.PoolManager(**options)
    manager.pool_classes_by_scheme = {
        "http": _BoundedHTTPConnectionPool,
        "https": _BoundedHTTPSConnectionPool,
    }
    return manager


def connection_pool(url: str, **options: Any) -> urllib3.HTTPConnectionPool:
    """Return a pool of connections to one server, with bounded heads."""
    pool = pool_manager(**options).connection_from_url(url)
    assert isinstance(pool, urllib3.HTTPConnectionPool)
    return pool


def read_body(
    response: urllib3.BaseHTTPResponse, *, max_bytes: int, deadline_s: float
) -> bytes:
    """Read the body of a response that was requested without preloading.

    Parameters
    ----------
    response : urllib3.BaseHTTPResponse
        The response; its connection is returned to its pool, or closed on errors.
    max_bytes : int
        Largest body.
    deadline_s : float
        Monotonic time by which the body must be complete.

    Raises
    ------
    EndlessResponseError
        If the body is longer, or not complete in time.
    urllib3.exceptions.HTTPError
        If the body cannot be read.
    """
    content = bytearray()
    try:
        while chunk := response.read1(READ_CHUNK_BYTES):
            content += chunk
            if len(content) > max_bytes:
                raise EndlessResponseError(f"body is longer than {max_bytes} bytes")
            if time.monotonic() > deadline_s:
                raise EndlessResponseError("body was not complete in time")
    except BaseException:
        response.close()
        raise
    response.release_conn()
    return bytes(content)
