"""One router process on loopback addresses, with a store and a target."""

import asyncio
import contextlib
import json
import os
import sys
from pathlib import Path

from host_probe import HOST, is_port_free
from store_standin import StoreStandIn

ROOT = Path(__file__).resolve().parents[2]

MAX_BODY_BYTES = 1_048_576
MAX_HEADER_BYTES = 8_192
TARGET_DELAY_S = 0.5
"""Time after which the target answers, so that whole requests are held meanwhile."""

REQUEST_TRIES = 20
"""Refused tries of an ordinary request; each waits for the time that it is told."""

IDLE_CHECK_S = 0.5
IDLE_CHECKS = 80

CLIENT_TIMEOUT_S = 60.0
"""A client that waits longer than this counts the router as hanging."""


def configuration():
    route = {
        "name": "r",
        "host": "h.example",
        "pathPrefix": "/a/",
        "routeType": "safe",
        "timeoutMs": 20_000,
        "targetLatencyMs": 5_000,
        "service": "s",
        "maxAttempts": 2,
        "public": True,
    }
    return {
        "version": 1,
        "routes": [route],
        "services": [{"name": "s", "maxConnections": 400}],
        "limits": {
            "maxHeaderBytes": MAX_HEADER_BYTES,
            "maxBodyBytes": MAX_BODY_BYTES,
            "headerTimeoutMs": 3_000,
            "idleTimeoutMs": 60_000,
        },
    }


async def answer_requests(reader, writer):
    """Read each request whole and answer it after a while."""
    try:
        while True:
            head = (await reader.readuntil(b"\r\n\r\n")).decode().lower()
            fields = dict(
                line.split(": ", 1) for line in head.split("\r\n")[1:] if ": " in line
            )
            left = int(fields.get("content-length", "0"))
            while left:
                data = await reader.read(min(left, 65_536))
                if not data:
                    return
                left -= len(data)
            await asyncio.sleep(TARGET_DELAY_S)
            writer.write(
                f"HTTP/1.1 200 OK\r\nRequest-Id: {fields['request-id']}\r\n"
                "Response-Signature: x\r\nContent-Length: 2\r\n\r\nok".encode()
            )
            await writer.drain()
    except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
        # Cancelled at the end of a test; an open writer would outlive its event loop.
        pass
    finally:
        writer.transport.abort()


class RouterUnderTest:
    """A router process with the limits of a small machine.

    Parameters
    ----------
    folder : Path
        Folder for the settings and the log.
    memory_mb, max_fds : int
        Memory and file descriptors of the machine.
    """

    def __init__(self, folder: Path, *, memory_mb: int, max_fds: int) -> None:
        self._path = folder / "local.json"
        self._log = folder / "router.log"
        self._limits = {"memoryMb": memory_mb, "maxFds": max_fds}
        self._process: asyncio.subprocess.Process | None = None
        self._target: asyncio.Server | None = None
        self.port = 0

    async def __aenter__(self):
        store = StoreStandIn()
        await store.start()
        self._target = await asyncio.start_server(answer_requests, HOST, 0)
        address = f"{HOST}:{self._target.sockets[0].getsockname()[1]}"
        entry = {
            "service": "s",
            "address": address,
            "zone": "z1",
            "maxBatchSize": 200,
            "state": "ready",
        }
        await store.put("config", "main", configuration())
        await store.put("servers", "i-1", entry)
        ports = self._free_ports(4)
        self.port = ports[0]
        settings = {
            "nodeName": "v1",
            "zone": "z1",
            "ip": HOST,
            "listen": {
                "frontend": f"{HOST}:{ports[0]}",
                "readiness": f"{HOST}:{ports[1]}",
            },
            "internalPorts": [ports[2], ports[3]],
            "limits": self._limits,
            "bounds": {
                "graceS": 4,
                "retryBudgetRatio": 0.2,
                "retryWindowS": 10,
                "budgetSlack": 54,
            },
            "platform": {"address": f"{HOST}:{store.port}"},
        }
        self._path.write_text(json.dumps(settings))
        with self._log.open("wb") as log:
            self._process = await asyncio.create_subprocess_exec(
                sys.executable,
                str(ROOT / "platform" / "run_router.py"),
                env={**os.environ, "CITRONDOCK_SETTINGS": str(self._path)},
                stdout=log,
                stderr=log,
            )
        assert await self.ordinary_request() == 200, self._log.read_text()[-2000:]
        return self

    async def __aexit__(self, *_):
        assert self._process is not None and self._target is not None
        if self._process.returncode is None:
            self._process.kill()
            await self._process.wait()
        self._target.close()
        # Aborted connections of the test end with the next iteration of the loop.
        await asyncio.sleep(0.1)

    @property
    def is_alive(self) -> bool:
        """Whether the process has not ended."""
        assert self._process is not None
        return self._process.returncode is None

    @property
    def peak_memory_mb(self) -> float:
        """Largest resident memory of the process until now."""
        for line in self._proc("status").read_text().splitlines():
            if line.startswith("VmHWM:"):
                return int(line.split()[1]) / 1024
        raise ValueError("the process has no VmHWM")

    @property
    def open_sockets(self) -> int:
        """Number of descriptors of the process that are sockets."""
        names = []
        for link in self._proc("fd").iterdir():
            with contextlib.suppress(OSError):
                names.append(os.readlink(link))
        return sum(name.startswith("socket:") for name in names)

    async def wait_until_idle(self) -> None:
        """Wait until the process has handled what it was sent, with a limit."""
        before_s = self._processor_s
        for _ in range(IDLE_CHECKS):
            await asyncio.sleep(IDLE_CHECK_S)
            now_s = self._processor_s
            if now_s - before_s < IDLE_CHECK_S / 4:
                return
            before_s = now_s

    @property
    def _processor_s(self) -> float:
        times = self._proc("stat").read_text().rpartition(")")[2].split()
        return (int(times[11]) + int(times[12])) / os.sysconf("SC_CLK_TCK")

    def _proc(self, name: str) -> Path:
        assert self._process is not None
        return Path(f"/proc/{self._process.pid}/{name}")

    async def ordinary_request(self, body: bytes = b"abc") -> int:
        """Send a request within the limits as a sound client does.

        Returns
        -------
        int
            Status of the last answer; 0 if the last try got none.
        """
        status = 0
        for _ in range(REQUEST_TRIES):
            pause_s = 0.25
            try:
                async with asyncio.timeout(CLIENT_TIMEOUT_S):
                    status, retry_after_s = await self._one_try(body)
                pause_s = max(pause_s, retry_after_s)
            except (OSError, asyncio.IncompleteReadError):
                status = 0
            if status == 200:
                break
            await asyncio.sleep(pause_s)
        return status

    async def _one_try(self, body: bytes) -> tuple[int, float]:
        reader, writer = await asyncio.open_connection(HOST, self.port)
        try:
            writer.write(request_head(f"Content-Length: {len(body)}"))
            for start in range(0, len(body), 8_192):
                writer.write(body[start : start + 8_192])
                await writer.drain()
            head = (await reader.readuntil(b"\r\n\r\n")).decode().lower()
            retry_after_s = 0.0
            if "retry-after: " in head:
                retry_after_s = float(head.partition("retry-after: ")[2].split()[0])
            return int(head.split()[1]), retry_after_s
        finally:
            writer.transport.abort()

    @staticmethod
    def _free_ports(count: int) -> list[int]:
        for first in range(20_000 + os.getpid() * 16 % 10_000, 32_000, 16):
            ports = list(range(first, first + count))
            if all(is_port_free(port) for port in ports):
                return ports
        raise OSError("no free ports")


def request_head(*fields: str) -> bytes:
    """Return the head of a request on the route."""
    lines = ["POST /a/x HTTP/1.1", "Host: h.example", "Request-Id: r1", *fields]
    return "\r\n".join([*lines, "", ""]).encode()
