"""Stand-in of a client: sends requests to a router and reads the answers."""

import asyncio
import itertools
import secrets

from bed import KEY
from store import HOST

_numbers = itertools.count(1)
_run = secrets.token_hex(3)


def new_request_id() -> str:
    """Return the id of one client attempt."""
    return f"{_run}{next(_numbers):06x}"


def request(
    method: str,
    path: str,
    request_id: str,
    *,
    deadline_ms: int = 15_000,
    headers: dict[str, str] | None = None,
    body: bytes = b"",
) -> bytes:
    """Return the bytes of a request."""
    lines = [
        f"{method} {path} HTTP/1.1",
        "Host: board.example",
        f"Request-Id: {request_id}",
        f"Deadline-Ms: {deadline_ms}",
        f"Authorization: Bearer {KEY}",
    ]
    lines += [f"{name}: {value}" for name, value in (headers or {}).items()]
    if method == "POST":
        lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


class Stream:
    """What a client has of one stream, over all its tries.

    Attributes
    ----------
    events : list of (int, str)
        Number of each event, and the software version that wrote it.
    begun_by : str or None
        Request id of the try that brought the first event.
    is_complete : bool
        Whether the last answer came to its end.
    statuses : list of int
        Status of each try; 0 if the connection ended without one.
    """

    def __init__(self, part: str) -> None:
        self.events: list[tuple[int, str]] = []
        self.begun_by: str | None = None
        self.is_complete = False
        self.statuses: list[int] = []
        self._part = part

    @property
    def versions(self) -> set[str]:
        """Software versions that wrote its events."""
        return {version for _, version in self.events}

    async def fetch(self, port: int, record, *, deadline_ms: int = 15_000) -> None:
        """Send one try to a router, and read until the answer or connection ends."""
        request_id = new_request_id()
        headers = {
            "Model": "m",
            "Token-Usage": "715,280",
            "Prefix-Hash": f"{self._part}:172,{self._part}ff:543",
        }
        if self.events:
            headers["Last-Event-Id"] = str(self.events[-1][0])
            headers["Resumes"] = self.begun_by or ""
        after = headers.get("Last-Event-Id", "-")
        record(f"client sends stream {request_id} to port {port} after event {after}")
        status = 0
        count_before = len(self.events)
        try:
            reader, writer = await asyncio.open_connection(HOST, port)
        except OSError as error:
            record(f"client cannot connect for {request_id}: {error!r}")
            self.statuses.append(0)
            return
        try:
            writer.write(
                request(
                    "POST",
                    "/stream/2f",
                    request_id,
                    deadline_ms=deadline_ms,
                    headers=headers,
                )
            )
            head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
            status = int(head.split(" ")[1])
            if status == 200:
                await self._read_events(reader, request_id)
                self.is_complete = True
        except (OSError, asyncio.IncompleteReadError) as error:
            record(f"client connection of {request_id} ends: {type(error).__name__}")
        finally:
            writer.transport.abort()
        self.statuses.append(status)
        got = self.events[count_before:]
        record(
            f"client has {request_id}: status {status}, events "
            f"{f'{got[0][0]} to {got[-1][0]}' if got else 'none'} of versions "
            f"{sorted({version for _, version in got})}, complete {self.is_complete}"
        )

    async def _read_events(self, reader, request_id) -> None:
        data = b""
        while size := int(await reader.readuntil(b"\r\n"), 16):
            data += await reader.readexactly(size)
            await reader.readexactly(2)
            *events, data = data.split(b"\n\n")
            for event in events:
                fields = dict(
                    line.split(": ", 1) for line in event.decode().split("\n") if line
                )
                if not self.events:
                    self.begun_by = request_id
                self.events.append((int(fields["id"]), fields["data"].split()[1]))
        await reader.readexactly(2)
