"""Clients of a soak, which reuse their connections."""

import asyncio
import itertools
import random

from host_probe import HOST
from soak_record import ObservedRequest, SoakRecord
from soak_testbed import KINDS, TIMEOUT_MS, Router, Testbed

CLIENT_COUNT = 10
MEAN_PAUSE_S = 0.03
MAX_TAKE_UPS = 3
"""Times that a client goes on with a resumable stream which broke off."""

REUSE_PROBABILITY = 0.8
"""Chance that a client keeps its connection for the next request."""


class SoakClient:
    """Sends one request after the other and records the answers."""

    def __init__(self, number: int, testbed: Testbed, record: SoakRecord) -> None:
        self._rng = random.Random(f"{testbed.rng.random()}")
        self._ids = (f"c{number}-{n}" for n in itertools.count())
        self._testbed = testbed
        self._record = record
        self._connection = None
        self._router: Router | None = None
        self.is_after_faults = False
        self.is_stopping = False

    async def run(self) -> None:
        """Send requests until `is_stopping` is set."""
        while not self.is_stopping:
            await self._send_request()
            await asyncio.sleep(self._rng.uniform(0, 2 * MEAN_PAUSE_S))
        self._abort_connection()

    async def _send_request(self) -> None:
        kind = self._rng.choice(list(KINDS))
        request = await self._send(kind)
        for _ in range(MAX_TAKE_UPS):
            if request is None or request.is_complete or kind != "resumable":
                return
            if not request.event_count or request.status not in (0, 200, 503):
                return
            self._abort_connection()
            request = await self._send(kind, takes_up=request) or request

    async def _send(
        self, kind: str, *, takes_up: ObservedRequest | None = None
    ) -> ObservedRequest | None:
        """Send a request; return it with its answer, or None without a connection."""
        try:
            reader, writer = await self._connect()
        except (OSError, TimeoutError):
            self._abort_connection()
            return None
        router = self._router
        assert router is not None
        loop = asyncio.get_running_loop()
        request = ObservedRequest(next(self._ids), kind, router.name, loop.time())
        request.is_after_faults = self.is_after_faults
        request.timeout_s = TIMEOUT_MS / 1000
        request.router_was_stopped = router.stopped_until_s > 0
        request.takes_up = takes_up
        resuming = ""
        if takes_up is not None:
            resuming = (
                f"Last-Event-Id: {takes_up.event_count - 1}\r\n"
                f"Resumes: {takes_up.first.request_id}\r\n"
            )
        self._record.requests.append(request)
        try:
            async with asyncio.timeout(TIMEOUT_MS / 1000 + 8):
                writer.write(
                    f"POST /{kind}/x HTTP/1.1\r\nHost: h.example\r\n"
                    f"Request-Id: {request.request_id}\r\nDeadline-Ms: {TIMEOUT_MS}\r\n"
                    f"{resuming}Content-Length: 3\r\n\r\nabc".encode()
                )
                await self._read(reader, request)
        except (OSError, asyncio.IncompleteReadError, ValueError, TimeoutError):
            self._abort_connection()
        request.ended_at_s = loop.time()
        request.router_was_stopped |= router.stopped_until_s > 0
        if not request.is_complete or self._rng.random() > REUSE_PROBABILITY:
            self._abort_connection()
        return request

    async def _connect(self):
        if self._connection is None:
            self._router = self._rng.choice(self._testbed.routers)
            async with asyncio.timeout(1.0):
                self._connection = await asyncio.open_connection(
                    HOST, self._router.port
                )
        return self._connection

    def _abort_connection(self) -> None:
        if self._connection is not None:
            self._connection[1].transport.abort()
            self._connection = None

    async def _read(self, reader, request: ObservedRequest) -> None:
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").lower()
        request.status = int(head.split()[1])
        if "transfer-encoding: chunked" in head:
            while size := int(await reader.readline(), 16):
                request.body += (await reader.readexactly(size + 2))[:-2]
            await reader.readexactly(2)
        else:
            length = int(head.partition("content-length:")[2].split()[0])
            request.body = await reader.readexactly(length)
        request.is_complete = True
        if "connection: close" in head:
            self._abort_connection()
