"""Routers of a small deployment, started with the command of the deploy file."""

import asyncio
import contextlib
import json
import os
import random
import shutil
import signal
import socket
import tempfile
import time
import tomllib
from pathlib import Path

from store import HOST, Door

ROOT = Path(__file__).resolve().parents[2]
KEY = "key-of-tenant-one"
GRACE_S = 8
READY_TIMEOUT_S = 15.0
FIRST_PORT, LAST_PORT = 15_000, 32_000

BOUNDS = {
    "seedLagS": 3,
    "reuseAfterS": 2,
    "stableWindowMs": 3000,
    "ackTimeoutMs": 4000,
    "catchUpS": 4,
    "drainMs": 2000,
    "graceS": GRACE_S,
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


class CannotRunError(Exception):
    """The case could not be played."""


class Record:
    """Writes `record.txt`: what was sent, answered and run, with times."""

    def __init__(self, folder: Path) -> None:
        self._file = (folder / "record.txt").open("w")
        self._began_s = time.monotonic()

    def __call__(self, line: str) -> None:
        """Write one line."""
        at_s = time.monotonic() - self._began_s
        self._file.write(f"{at_s:8.3f} {line}\n")
        self._file.flush()


def route(name: str, kind: str, **fields) -> dict:
    """Return a route of the configuration."""
    return {
        "name": name,
        "host": "board.example",
        "pathPrefix": f"/{name}/",
        "routeType": kind,
        "timeoutMs": 15_000,
        "targetLatencyMs": 600,
        "priority": 1,
        "service": "pool",
        "maxAttempts": 2,
        "public": False,
        "sticky": False,
        "resumable": False,
        "targetGapMs": 300,
        **fields,
    }


def configuration(routes: list[dict], services: list[dict]) -> dict:
    """Return a configuration like those of the operator."""
    return {
        "version": 7,
        "routes": routes,
        "services": services,
        "limits": {
            "maxHeaderBytes": 16_384,
            "maxBodyBytes": 4_194_304,
            "headerTimeoutMs": 3_000,
            "idleTimeoutMs": 15_000,
            "tokensPerS": 305_000,
        },
        "tenants": [{"name": "tenant-one", "apiKeys": [KEY], "priority": 1}],
    }


ENGINE_POOL = {
    "name": "pool",
    "healthPath": "/healthz",
    "maxConnections": 490,
    "protocol": "h1",
    "tls": False,
    "engine": {
        "maxBatchSize": 32,
        "kvCapacity": 444_000,
        "kvBytes": 131_072,
        "linkMbps": 280_000.0,
        "moves": True,
        "backups": True,
        "stride": 4,
        "most": 12,
        "pinMs": 4000.0,
        "holdMs": 2000.0,
        "handleS": 5.0,
        "models": [{"name": "m"}],
    },
}
PLAIN_POOL = {
    "name": "pool",
    "healthPath": "/healthz",
    "maxConnections": 490,
    "protocol": "h1",
    "tls": False,
}


def _free_ports(count: int) -> int:
    """Return the first of some ports in a row that are free.

    They are below those that the kernel gives to connections.
    """
    for _ in range(200):
        first = random.randrange(FIRST_PORT, LAST_PORT - count)
        with contextlib.ExitStack() as stack:
            try:
                for port in range(first, first + count):
                    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                        probe = stack.enter_context(socket.socket(type=kind))
                        probe.bind((HOST, port))
            except OSError:
                continue
            return first
    raise CannotRunError("no free ports")


class Router:
    """One router process.

    Parameters
    ----------
    name : str
        Name of its machine.
    door : Door
        Where it reaches the store.
    folder : Path
        Temporary folder for its settings and log.
    record : Record
        Record of the case.
    memory_mb : int
        Memory of its machine.
    """

    def __init__(
        self,
        name: str,
        door: Door,
        folder: Path,
        record: Record,
        *,
        memory_mb: int = 300,
        zone: str = "zone-a",
    ) -> None:
        self.name = name
        self.door = door
        self.memory_mb = memory_mb
        self.log_path = folder / f"{name}.log"
        self.process: asyncio.subprocess.Process | None = None
        self._record = record
        self._settings_path = folder / f"{name}.json"
        first = _free_ports(20)
        self.port, self.readiness_port = first, first + 1
        settings = {
            "nodeName": name,
            "role": "router",
            "machineClass": "edge",
            "serves": ["edge"],
            "ip": HOST,
            "zone": zone,
            "region": "region-a",
            "zones": {"zone-a": "region-a", "zone-b": "region-a"},
            "listen": {
                "frontend": f"{HOST}:{self.port}",
                "readiness": f"{HOST}:{self.readiness_port}",
            },
            "internalPorts": [first + 2, first + 17],
            "seedNodes": [],
            "firstStart": True,
            "inTolerance": False,
            "limits": {
                "cpuQuota": 0.537,
                "cpuCores": 2,
                "memoryMb": memory_mb,
                "maxFds": 4200,
                "linkMbps": 1000.0,
                "diskMb": 0,
            },
            "dataDir": None,
            "discovery": "platform",
            "entryType": "vip",
            "heartbeatMs": 1200,
            "faultTolerance": {"machines": 2, "zones": 1, "regions": 0},
            "bounds": BOUNDS,
            "platform": {
                "address": f"{HOST}:{door.port}",
                "form": "objects",
                "writesPerS": 400,
                "readsPerS": 2000,
                "historyS": 20,
                "valueBytes": 1_048_576,
                "ttlMinMs": 1000,
            },
        }
        self._settings_path.write_text(json.dumps(settings))

    async def start(self) -> None:
        """Start the process with the command of the deploy file."""
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        (role,) = deploy["roles"].values()
        environment = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        environment["CITRONDOCK_SETTINGS"] = str(self._settings_path)
        with self.log_path.open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                *role["run"].split(), cwd=ROOT, env=environment, stdout=log, stderr=log
            )
        self._record(f"router {self.name} started")

    def send(self, signal_number: signal.Signals) -> None:
        """Send a signal to the process."""
        self._record(f"router {self.name} gets {signal_number.name}")
        self.process.send_signal(signal_number)

    async def is_ready(self) -> bool:
        """Ask the router whether it is ready, as the platform does."""
        try:
            reader, writer = await asyncio.open_connection(HOST, self.readiness_port)
            writer.write(b"GET /v1/readyz HTTP/1.1\r\nHost: r\r\n\r\n")
            head = await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), 1.0)
            writer.transport.abort()
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            return False
        return head.split(b" ")[1] == b"200"

    async def wait_ready(self) -> None:
        """Wait until the router is ready.

        Raises
        ------
        CannotRunError
            If it does not get ready.
        """
        until_s = time.monotonic() + READY_TIMEOUT_S
        while not await self.is_ready():
            if self.process.returncode is not None or time.monotonic() > until_s:
                raise CannotRunError(f"router {self.name} did not get ready")
            await asyncio.sleep(0.1)

    def resident_mb(self) -> float:
        """Return the resident memory of the process; 0 once it has ended."""
        try:
            status = Path(f"/proc/{self.process.pid}/status").read_text()
        except OSError:
            return 0.0
        for line in status.splitlines():
            if line.startswith("VmRSS:"):
                return int(line.split()[1]) / 1024
        return 0.0


class Bed:
    """Temporary folder and all routers of a case; ends them in the end."""

    def __init__(self, record: Record) -> None:
        self._record = record
        self._folder = Path(tempfile.mkdtemp(prefix="citrondock-review-"))
        self._routers: list[Router] = []

    def router(self, name: str, door: Door, **options) -> Router:
        """Return one more router, which is not started yet."""
        made = Router(name, door, self._folder, self._record, **options)
        self._routers.append(made)
        return made

    async def close(self) -> None:
        """Kill all routers that run, and remove the folder."""
        kept = os.environ.get("KEEP_LOGS")
        for router in self._routers:
            process = router.process
            if process is not None and process.returncode is None:
                process.kill()
                await process.wait()
            if kept and router.log_path.exists():
                Path(kept).mkdir(exist_ok=True)
                shutil.copy(router.log_path, kept)
        shutil.rmtree(self._folder, ignore_errors=True)


def play(case, folder: Path) -> int:
    """Play a case.

    Returns 1 if the rule was broken, 0 if it held, and 2 if the case could not run.

    Parameters
    ----------
    case : callable
        Coroutine function that is called with the bed, the record and whether to make
        trouble; returns whether the rule held.
    folder : Path
        Folder of the case.
    """
    record = Record(folder)

    async def run() -> int:
        bed = Bed(record)
        task = asyncio.current_task()
        for signal_number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
            asyncio.get_running_loop().add_signal_handler(signal_number, task.cancel)
        trouble = os.environ.get("TROUBLE", "1") != "0"
        record(f"trouble: {'yes' if trouble else 'no'}")
        try:
            async with asyncio.timeout(115):
                has_held = await case(bed, record, trouble)
        except (CannotRunError, TimeoutError, asyncio.CancelledError) as error:
            record(f"could not run: {error!r}")
            print(f"could not run: {error!r}")
            return 2
        finally:
            await bed.close()
        verdict = "the rule held" if has_held else "THE RULE WAS BROKEN"
        record(verdict)
        print(verdict)
        return 0 if has_held else 1

    return asyncio.run(run())
