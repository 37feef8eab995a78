"""Stand-in of an engine: runs requests, and says which version of it wrote what."""

import asyncio

from store import HOST


class Engine:
    """One engine of a service.

    Parameters
    ----------
    engine_id, service, version : str
        Id, service and software version.
    record : callable
        Called with a line for each run.
    event_count : int
        Events of a stream.
    pace_s : float
        Time before each event.
    work_s : float
        Time before a plain answer.
    body : bytes
        Body of a plain answer.
    slots : int
        Requests that it runs at once; others are rejected.
    padding : str
        Text that each event holds besides.
    """

    def __init__(
        self,
        engine_id,
        service,
        version,
        record,
        *,
        event_count=40,
        pace_s=0.1,
        work_s=0.02,
        body=b"done",
        slots=32,
        zone="zone-a",
        padding="",
    ) -> None:
        self.engine_id = engine_id
        self.service = service
        self.version = version
        self.event_count = event_count
        self.pace_s = pace_s
        self.work_s = work_s
        self.body = body
        self.slots = slots
        self.zone = zone
        self.padding = padding
        self.port = 0
        self.runs: list[str] = []
        self.bodies: dict[str, bytes] = {}
        self._record = record
        self._active = 0
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, HOST, 0, backlog=1024)
        self.port = self._server.sockets[0].getsockname()[1]

    def exit(self) -> None:
        """Stop listening and close all connections, as a process that ends does."""
        self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    def entry(self, state: str = "ready") -> dict:
        """Return what the engine writes into the platform's store."""
        return {
            "service": self.service,
            "address": f"{HOST}:{self.port}",
            "zone": self.zone,
            "version": self.version,
            "maxBatchSize": self.slots,
            "state": state,
            "warmupLeftMs": 0,
            "stage": "both",
            "models": [{"name": "m", "version": 1, "adapters": []}],
            "sequence": 1,
        }

    async def _serve(self, reader, writer) -> None:
        self._writers.add(writer)
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
                lines = head.split("\r\n")
                method, target, _ = lines[0].split(" ")
                headers = {}
                for line in lines[1:]:
                    name, _, value = line.partition(":")
                    headers[name.lower()] = value.strip()
                body = await reader.readexactly(int(headers.get("content-length", 0)))
                self.bodies[headers.get("request-id", "")] = body
                await self._answer(method, target, headers, writer)
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self._writers.discard(writer)
            writer.transport.abort()

    async def _answer(self, method, target, headers, writer) -> None:
        request_id = headers.get("request-id", "")
        if target == "/healthz":
            writer.write(
                f"HTTP/1.1 200 OK\r\nInstance-Id: {self.engine_id}\r\n"
                "Content-Length: 0\r\n\r\n".encode()
            )
        elif headers.get("expected-instance", self.engine_id) != self.engine_id:
            writer.write(
                f"HTTP/1.1 421 Misdirected Request\r\nRequest-Id: {request_id}\r\n"
                f"Instance-Id: {self.engine_id}\r\nContent-Length: 0\r\n\r\n".encode()
            )
        elif self._active >= self.slots:
            writer.write(
                f"HTTP/1.1 503 Service Unavailable\r\nRequest-Id: {request_id}\r\n"
                "Not-Executed: 1\r\nContent-Length: 0\r\n\r\n".encode()
            )
        else:
            self._active += 1
            self.runs.append(request_id)
            resumed = headers.get("last-event-id")
            self._record(
                f"engine {self.engine_id} ({self.version}) runs {request_id} "
                f"{method} {target} after event {resumed or '-'}"
            )
            try:
                if target.startswith("/stream/"):
                    await self._stream(request_id, resumed, writer)
                else:
                    await asyncio.sleep(self.work_s)
                    writer.write(
                        f"HTTP/1.1 200 OK\r\nRequest-Id: {request_id}\r\n"
                        f"Response-Signature: {self.engine_id}\r\n"
                        f"Content-Length: {len(self.body)}\r\n\r\n".encode()
                        + self.body
                    )
            finally:
                self._active -= 1
        await writer.drain()

    async def _stream(self, request_id, resumed, writer) -> None:
        first = int(resumed) + 1 if resumed is not None else 0
        await asyncio.sleep(self.work_s)
        writer.write(
            f"HTTP/1.1 200 OK\r\nRequest-Id: {request_id}\r\n"
            f"Response-Signature: {self.engine_id}\r\nWeight-Versions: 1\r\n"
            "Content-Type: text/event-stream\r\n"
            "Transfer-Encoding: chunked\r\n\r\n".encode()
        )
        for number in range(first, self.event_count):
            if number > first:
                await asyncio.sleep(self.pace_s)
            data = f"{self.engine_id} {self.version} {self.padding}".strip()
            event = f"id: {number}\ndata: {data}\n\n".encode()
            writer.write(b"%x\r\n%b\r\n" % (len(event), event))
            await writer.drain()
        writer.write(b"0\r\n\r\n")
