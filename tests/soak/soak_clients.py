"""Clients of a soak; they use a connection until it is gone."""

import asyncio
import itertools
import random

from host_probe import HOST
from soak_ledger import Ledger, Seen
from soak_world import KINDS, TIMEOUT_MS, Router, World

CLIENT_COUNT = 10
PAUSE_S = 0.03
KEEP_SHARE = 0.8
"""Part of the requests that go over a connection that was used before."""


class SoakClient:
    """Sends one request after the other."""

    def __init__(self, number: int, world: World, ledger: Ledger) -> None:
        self._rng = random.Random(f"{world.rng.random()}")
        self._ids = (f"c{number}-{n}" for n in itertools.count())
        self._world = world
        self._ledger = ledger
        self._connection = None
        self._router: Router | None = None
        self.is_after_faults = False
        self.is_done = False

    async def run(self) -> None:
        """Send until told to end."""
        while not self.is_done:
            await self._one()
            await asyncio.sleep(self._rng.uniform(0, 2 * PAUSE_S))
        self._drop()

    async def _one(self) -> None:
        kind = self._rng.choice(list(KINDS))
        try:
            reader, writer = await self._connect()
        except (OSError, TimeoutError):
            self._drop()
            return
        router = self._router
        assert router is not None
        loop = asyncio.get_running_loop()
        seen = Seen(next(self._ids), kind, router.name, loop.time())
        seen.is_after_faults = self.is_after_faults
        seen.time_s = TIMEOUT_MS / 1000
        seen.router_was_stopped = router.stopped_until_s > 0
        self._ledger.seen.append(seen)
        try:
            async with asyncio.timeout(TIMEOUT_MS / 1000 + 8):
                writer.write(
                    f"POST /{kind}/x HTTP/1.1\r\nHost: h.example\r\n"
                    f"Request-Id: {seen.request_id}\r\nDeadline-Ms: {TIMEOUT_MS}\r\n"
                    "Content-Length: 3\r\n\r\nabc".encode()
                )
                await self._read(reader, seen)
        except (OSError, asyncio.IncompleteReadError, ValueError, TimeoutError):
            self._drop()
        seen.ended_at_s = loop.time()
        seen.router_was_stopped |= router.stopped_until_s > 0
        if not seen.is_whole or self._rng.random() > KEEP_SHARE:
            self._drop()

    async def _connect(self):
        if self._connection is None:
            self._router = self._rng.choice(self._world.routers)
            async with asyncio.timeout(1.0):
                self._connection = await asyncio.open_connection(
                    HOST, self._router.port
                )
        return self._connection

    def _drop(self) -> None:
        if self._connection is not None:
            self._connection[1].transport.abort()
            self._connection = None

    async def _read(self, reader, seen: Seen) -> None:
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").lower()
        seen.status = int(head.split()[1])
        if "transfer-encoding: chunked" in head:
            while size := int(await reader.readline(), 16):
                seen.body += (await reader.readexactly(size + 2))[:-2]
            await reader.readexactly(2)
        else:
            length = int(head.partition("content-length:")[2].split()[0])
            seen.body = await reader.readexactly(length)
        seen.is_whole = True
        if "connection: close" in head:
            self._drop()
