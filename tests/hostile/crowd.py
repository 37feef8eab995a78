"""Clients that keep to no limit, or fill their limits many at a time."""

import asyncio
import contextlib
from collections.abc import Iterable, Iterator

from host_probe import HOST
from router_under_test import MAX_BODY_BYTES, request_head

SHORT_OF_END_BYTES = 1_000
"""Bytes that a client leaves out at the end of its body."""

COMPLETE_EVERY = 8
"""One client in so many sends its whole body."""

ENDLESS_BYTES = 16 * 1_048_576
"""Bytes after which a client ends what would go on without end."""

TOTAL_TIMEOUT_S = 75.0


def _pieces(data: bytes, size: int) -> Iterator[bytes]:
    for start in range(0, len(data), size):
        yield data[start : start + size]


def _body_bytes(number: int) -> int:
    if number % COMPLETE_EVERY == 0:
        return MAX_BODY_BYTES
    return MAX_BODY_BYTES - SHORT_OF_END_BYTES


def whole_bodies(number: int) -> Iterator[bytes]:
    """Send a body of the largest size at once; most lack their end."""
    yield request_head(f"Content-Length: {MAX_BODY_BYTES}")
    yield b"x" * _body_bytes(number)


def bodies_in_pieces(number: int) -> Iterator[bytes]:
    """Send a body of the largest size in small pieces; most lack their end."""
    yield request_head(f"Content-Length: {MAX_BODY_BYTES}")
    yield from _pieces(b"x" * _body_bytes(number), 8_192)


def _chunked(number: int, chunk_bytes: int) -> Iterator[bytes]:
    yield request_head("Transfer-Encoding: chunked")
    chunk = b"%x\r\n%b\r\n" % (chunk_bytes, b"x" * chunk_bytes)
    per_write = max(1, 65_536 // len(chunk))
    for _ in range(_body_bytes(number) // (chunk_bytes * per_write)):
        yield chunk * per_write
    if number % COMPLETE_EVERY == 0:
        yield b"0\r\n\r\n"


def large_chunks(number: int) -> Iterator[bytes]:
    """Send a body in large chunks; most lack their end."""
    return _chunked(number, 131_072)


def small_chunks(number: int) -> Iterator[bytes]:
    """Send a body in chunks of a few bytes; most lack their end."""
    return _chunked(number, 16)


def trailer_fields(_number: int) -> Iterator[bytes]:
    """Send trailer fields without end behind a chunked body."""
    yield request_head("Transfer-Encoding: chunked") + b"3\r\nabc\r\n0\r\n"
    fields = b"".join(b"T-%d: some text\r\n" % n for n in range(2_000))
    for _ in range(ENDLESS_BYTES // len(fields)):
        yield fields


def trailer_line(_number: int) -> Iterator[bytes]:
    """Send one trailer line without end behind a chunked body."""
    yield request_head("Transfer-Encoding: chunked") + b"3\r\nabc\r\n0\r\nT: "
    for _ in range(ENDLESS_BYTES // 65_536):
        yield b"x" * 65_536


def unfinished_small_bodies(_number: int) -> Iterator[bytes]:
    """Send a small body that lacks its end."""
    yield request_head("Content-Length: 2000") + b"x" * 1_000


class Crowd:
    """Connections that are opened together and stay open until they are closed.

    Parameters
    ----------
    port : int
        Port of the router.
    scripts : iterable of iterables of bytes
        What each client sends.
    """

    def __init__(self, port: int, scripts: Iterable[Iterable[bytes]]) -> None:
        self._port = port
        self._scripts = list(scripts)
        self._writers: list[asyncio.StreamWriter] = []
        self._readers: list[asyncio.Task[None]] = []

    async def send_all(self) -> None:
        """Send what each client has to send, as far as the router reads it."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(TOTAL_TIMEOUT_S):
                await asyncio.gather(*map(self._send, self._scripts))

    async def _send(self, script: Iterable[bytes]) -> None:
        try:
            reader, writer = await asyncio.open_connection(HOST, self._port)
        except OSError:
            return
        self._writers.append(writer)
        self._readers.append(asyncio.ensure_future(self._read(reader)))
        with contextlib.suppress(OSError):
            for data in script:
                writer.write(data)
                await writer.drain()

    async def _read(self, reader: asyncio.StreamReader) -> None:
        with contextlib.suppress(OSError):
            while await reader.read(65_536):
                pass

    async def close(self) -> None:
        """Close all connections."""
        for writer in self._writers:
            writer.transport.abort()
        for task in self._readers:
            task.cancel()
        await asyncio.gather(*self._readers, return_exceptions=True)
