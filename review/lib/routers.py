"""Starts and ends the project's routers, with the command of the deploy file."""

import asyncio
import json
import os
import signal
import socket
import subprocess
import sys
import tempfile
import tomllib
import traceback
from collections.abc import Callable, Coroutine
from pathlib import Path

from standins import HOST

ROOT = Path(__file__).resolve().parents[2]

BOUNDS = {
    "seedLagS": 3,
    "reuseAfterS": 2,
    "stableWindowMs": 3000,
    "ackTimeoutMs": 4000,
    "catchUpS": 4,
    "drainMs": 2000,
    "graceS": 8,
    "lossSlackMs": 200,
    "configApplyMs": 2000,
    "rollbackSlackMs": 250,
    "maxSkewMs": 5000,
    "revokeStrict": False,
    "revokeMs": 5000,
    "retryBudgetRatio": 0.2,
    "retryWindowS": 10,
    "budgetSlack": 54,
    "recoverS": 12,
    "passMs": 120,
    "reuseWindowS": 8.1,
    "quotaWindowS": 4,
}
"""Bounds of the small sites."""

STABLE_WINDOW_S = BOUNDS["stableWindowMs"] / 1000
DRAIN_S = BOUNDS["drainMs"] / 1000
CONFIG_APPLY_S = BOUNDS["configApplyMs"] / 1000

LIMITS = {
    "maxHeaderBytes": 16384,
    "maxBodyBytes": 4194304,
    "headerTimeoutMs": 3000,
    "idleTimeoutMs": 15000,
    "tokensPerS": 305000,
}


EXIT_CANNOT_RUN = 2


class CannotRunError(Exception):
    """The case cannot run here."""


def run_case(main: Callable[[], Coroutine[None, None, int]]) -> None:
    """Run a case, and exit with its code; with 2 if it could not run."""
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(EXIT_CANNOT_RUN))
    try:
        code = asyncio.run(main())
    except Exception:
        traceback.print_exc()
        code = EXIT_CANNOT_RUN
    sys.exit(code)


_first_ports = iter(range(21_000 + os.getpid() * 7919 % 400 * 20, 32_000, 20))
"""No two routers get the same ports, also before they are bound."""


def free_ports(count: int) -> list[int]:
    """Return ports that are free for TCP and UDP."""
    for first in _first_ports:
        ports = list(range(first, first + count))
        if all(_is_free(port) for port in ports):
            return ports
    raise CannotRunError("no free ports")


def _is_free(port: int) -> bool:
    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
        with socket.socket(socket.AF_INET, kind) as probe:
            try:
                probe.bind((HOST, port))
            except OSError:
                return False
    return True


class Router:
    """One router process.

    Parameters
    ----------
    name : str
        Name of its machine.
    zone : str
        Its zone.
    store_port : int
        Port of the store.
    folder : str
        Temporary folder for its settings and its log.
    """

    def __init__(self, name: str, zone: str, store_port: int, folder: str) -> None:
        self.name = name
        ports = free_ports(18)
        self.port, self.readiness_port = ports[16], ports[17]
        settings = {
            "nodeName": name,
            "role": "router",
            "machineClass": "edge",
            "serves": ["edge"],
            "ip": HOST,
            "zone": zone,
            "region": "r1",
            "zones": {"z1": "r1", "z2": "r1", "z3": "r1"},
            "listen": {
                "frontend": f"{HOST}:{self.port}",
                "readiness": f"{HOST}:{self.readiness_port}",
            },
            "internalPorts": [ports[0], ports[15]],
            "seedNodes": [],
            "firstStart": True,
            "limits": {"memoryMb": 300, "maxFds": 4200, "linkMbps": 1000.0},
            "dataDir": None,
            "discovery": "platform",
            "entryType": "vip",
            "heartbeatMs": 1200,
            "bounds": BOUNDS,
            "platform": {
                "address": f"{HOST}:{store_port}",
                "form": "objects",
                "writesPerS": 400,
                "readsPerS": 2000,
                "historyS": 20,
                "valueBytes": 1048576,
            },
        }
        path = Path(folder, f"{name}.json")
        path.write_text(json.dumps(settings))
        self.log_path = Path(folder, f"{name}.log")
        self._settings_path = path
        self.process: subprocess.Popen[bytes] | None = None

    def start(self) -> None:
        """Start the process as the deploy file says."""
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        command = deploy["roles"]["router"]["run"].split()
        environment = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        environment["PYTHONPATH"] = str(ROOT / "target/deps")
        environment["CITRONDOCK_SETTINGS"] = str(self._settings_path)
        with open(self.log_path, "ab") as log:
            self.process = subprocess.Popen(
                command, cwd=ROOT, env=environment, stdout=log, stderr=log
            )

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        assert self.process is not None
        self.process.send_signal(number)

    async def wait_until_ready(self) -> None:
        """Wait until the readiness check succeeds."""
        for _ in range(200):
            if self.process is None or self.process.poll() is not None:
                raise CannotRunError(f"{self.name} ended: {self._log_end()}")
            if await self.is_ready():
                return
            await asyncio.sleep(0.1)
        raise CannotRunError(f"{self.name} is not ready: {self._log_end()}")

    async def is_ready(self, patience_s: float = 1.0) -> bool:
        """Ask the readiness check."""
        try:
            async with asyncio.timeout(patience_s):
                reader, writer = await asyncio.open_connection(
                    HOST, self.readiness_port
                )
                writer.write(b"GET /v1/readyz HTTP/1.1\r\nHost: x\r\n\r\n")
                line = await reader.readline()
                writer.close()
                return b" 200 " in line
        except (OSError, TimeoutError):
            return False

    def _log_end(self) -> str:
        return self.log_path.read_text(errors="replace")[-500:]


class Fleet:
    """Routers in a temporary folder, ended by their process ids.

    Parameters
    ----------
    zones : list of str
        Zone of each router.
    store_port : int
        Port of the store.
    """

    def __init__(self, zones: list[str], store_port: int) -> None:
        self._folder = tempfile.TemporaryDirectory()
        self.routers: list[Router] = []
        for number, zone in enumerate(zones, 1):
            router = Router(f"edge-{zone}-{number}", zone, store_port, self.folder)
            router.start()
            self.routers.append(router)

    @property
    def folder(self) -> str:
        """Path of the temporary folder."""
        return self._folder.name

    async def wait_until_ready(self) -> None:
        """Wait until all routers are ready."""
        for router in self.routers:
            await router.wait_until_ready()

    def stop(self) -> None:
        """End all routers."""
        for router in self.routers:
            process = router.process
            if process is not None and process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
                process.wait()
        self._folder.cleanup()
