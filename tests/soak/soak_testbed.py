"""The router processes, store, targets and proxies of one soak."""

import asyncio
import contextlib
import json
import math
import os
import random
import signal
import sys
from pathlib import Path

from host_probe import HOST, handles_or_ignores, is_port_free
from soak_record import SoakRecord
from soak_targets import SoakTarget
from store_standin import RawJson, StoreStandIn

from citrondock_standins.fault import Fault
from citrondock_standins.proxy import FaultProxy

ROOT = Path(__file__).resolve().parents[2]
GRACE_S = 4
TIMEOUT_MS = 3000
TARGET_COUNT = 4
ROUTER_COUNT = 3
KINDS = {
    "safe": ("safe", False),
    "unsafe": ("unsafe", False),
    "stream": ("streaming", False),
    "resumable": ("streaming", True),
}
"""Type and resumability of each route, by its name."""

ODD_ENTRIES = {
    "a-nested": RawJson("[" * 20_000 + "]" * 20_000),
    "i-2-number": {"service": "app", "maxBatchSize": RawJson("9" * 6_000)},
    "z-port": {"service": "app", "address": f"{HOST}:99999999", "zone": "z1"},
}
"""Entries of another writer among those of the targets, before and after them."""


def configuration(version: int) -> dict:
    """Return a configuration; each version has a route that no earlier one has."""

    def route(name, kind, resumable):
        return {
            "name": name,
            "host": "h.example",
            "pathPrefix": f"/{name}/",
            "routeType": kind,
            "resumable": resumable,
            "timeoutMs": TIMEOUT_MS,
            "targetLatencyMs": 400,
            "targetGapMs": 300,
            "service": "app",
            "maxAttempts": 3,
            "public": True,
        }

    routes = [route(name, *kind) for name, kind in KINDS.items()]
    routes += [route(f"v{n}", "safe", False) for n in range(1, version + 1)]
    return {
        "version": version,
        "routes": routes,
        "services": [{"name": "app", "maxConnections": 100}],
        "limits": {
            "maxHeaderBytes": 8192,
            "maxBodyBytes": 100_000,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 10_000,
        },
    }


class Router:
    """One router process, its settings file and its proxy to the store."""

    def __init__(
        self, name: str, store_port: int, ports: list[int], path: Path
    ) -> None:
        self.name = name
        self.port, self.readiness_port, self.metrics_port = ports[:3]
        self.store_proxy = FaultProxy(HOST, store_port).start()
        self.stopped_until_s = 0.0
        self._path = path / f"{name}.json"
        self._log = (path / f"{name}.log").open("ab")
        self._process: asyncio.subprocess.Process | None = None
        self._was_ended_by_test = False
        self._path.write_text(
            json.dumps(
                {
                    "nodeName": name,
                    "zone": "z1",
                    "ip": HOST,
                    "listen": {
                        "frontend": f"{HOST}:{ports[0]}",
                        "readiness": f"{HOST}:{ports[1]}",
                    },
                    "internalPorts": [ports[2], ports[2] + 1],
                    "bounds": {
                        "graceS": GRACE_S,
                        "retryBudgetRatio": 0.2,
                        "retryWindowS": 10,
                        "budgetSlack": 400,
                    },
                    "platform": {"address": f"{HOST}:{self.store_proxy.port}"},
                }
            )
        )

    async def start(self) -> None:
        """Start the process."""
        self._was_ended_by_test = False
        self._process = await asyncio.create_subprocess_exec(
            sys.executable,
            str(ROOT / "platform" / "run_router.py"),
            env={**os.environ, "CITRONDOCK_SETTINGS": str(self._path)},
            stdout=self._log,
            stderr=self._log,
        )

    def send(self, signal_number: signal.Signals) -> None:
        """Send a signal to the process if it is running."""
        process = self._process
        if process is None or process.returncode is not None:
            return
        if signal_number is signal.SIGHUP and not handles_or_ignores(
            process.pid, signal_number
        ):
            # The interpreter has not started: none of the router's code runs yet, and
            # the default action of SIGHUP would end the process.
            return
        if signal_number in (signal.SIGTERM, signal.SIGKILL):
            self._was_ended_by_test = True
        process.send_signal(signal_number)

    async def wait(self, timeout_s: float) -> None:
        """Wait until the process ends; kill it after the timeout."""
        assert self._process is not None
        try:
            await asyncio.wait_for(self._process.wait(), timeout_s)
        except TimeoutError:
            self.send(signal.SIGKILL)
            await self._process.wait()

    def unexpected_exit(self) -> str:
        """Return a text on an exit that the soak did not cause, else ``""``."""
        process = self._process
        if process is None or process.returncode is None or self._was_ended_by_test:
            return ""
        return f"{self.name} with exit code {process.returncode}"

    async def is_ready(self) -> bool:
        """Return whether the router reports that it is ready."""
        with contextlib.suppress(OSError, TimeoutError):
            async with asyncio.timeout(0.5):
                reader, writer = await asyncio.open_connection(
                    HOST, self.readiness_port
                )
                writer.write(b"GET /v1/readyz HTTP/1.1\r\nHost: x\r\n\r\n")
                line = await reader.readline()
                writer.close()
                return b" 200 " in line
        return False

    async def metrics(self) -> dict[str, float]:
        """Return the metrics without labels; none if the router does not answer."""
        with contextlib.suppress(OSError, TimeoutError):
            async with asyncio.timeout(2.0):
                reader, writer = await asyncio.open_connection(HOST, self.metrics_port)
                writer.write(
                    b"GET /metrics HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"
                )
                page = (await reader.read()).decode()
                writer.close()
                pairs = [line.split(" ") for line in page.splitlines()]
                return {
                    pair[0]: float(pair[1])
                    for pair in pairs
                    if pair[0].startswith("citrondock_") and len(pair) == 2
                }
        return {}

    async def close(self) -> None:
        """End the process and the proxy."""
        self.send(signal.SIGCONT)
        self.send(signal.SIGKILL)
        if self._process is not None:
            await self._process.wait()
        self.store_proxy.stop()
        self._log.close()


def version_of_target(name: str) -> str:
    """Return the software version of a target, which rises as targets are replaced."""
    number = int(name.removeprefix("i-"))
    return f"v{1 + (number - 1) // TARGET_COUNT}"


class Testbed:
    """The routers, store, targets and proxies of one soak."""

    def __init__(
        self,
        rng: random.Random,
        restore_rng: random.Random,
        record: SoakRecord,
        path: Path,
    ) -> None:
        self.rng = rng
        # A generator of its own, so that the other faults of a seed stay the same.
        self.restore_rng = restore_rng
        self.record = record
        self.version = 1
        self.store_had_faults = False
        self.restored_at_s = -math.inf
        self.store = StoreStandIn()
        self.targets: dict[str, SoakTarget] = {}
        self._states: dict[str, str] = {}
        self.proxies: dict[str, FaultProxy] = {}
        self.routers: list[Router] = []
        self._path = path
        self._next_target = 0

    async def start(self) -> None:
        """Start all parts and wait until the routers are ready."""
        await self.store.start()
        await self.store.put("config", "main", configuration(self.version))
        for name, odd in ODD_ENTRIES.items():
            await self.store.put("servers", name, odd)
        for _ in range(TARGET_COUNT):
            await self.add_target()
        port = 20_000 + os.getpid() * 32 % 10_000
        for number in range(ROUTER_COUNT):
            ports = []
            while len(ports) < 4:
                port += 1
                if is_port_free(port):
                    ports.append(port)
            ports = [ports[0], ports[1], ports[2]]
            router = Router(f"v{number}", self.store.port, ports, self._path)
            self.routers.append(router)
            await router.start()
        for router in self.routers:
            while not await router.is_ready():
                await asyncio.sleep(0.05)

    async def add_target(self) -> None:
        """Register a new target behind a proxy of its own."""
        self._next_target += 1
        name = f"i-{self._next_target}"
        rng = random.Random(self.rng.random())
        target = SoakTarget(name, version_of_target(name), self.record, rng)
        await target.start()
        self.targets[name] = target
        self.proxies[name] = FaultProxy(HOST, target.port).start()
        await self.register(name, "ready")

    async def register(self, name: str, state: str) -> None:
        """Write the entry of a target to the store."""
        self._states[name] = state
        entry = {
            "service": "app",
            "address": f"{HOST}:{self.proxies[name].port}",
            "zone": "z1",
            "version": version_of_target(name),
            "maxBatchSize": 16,
            "state": state,
        }
        await self.store.put("servers", name, entry)

    async def deregister(self, name: str) -> None:
        """Remove the entry of a target from the store."""
        del self._states[name]
        await self.store.put("servers", name, None, deleted=True)

    async def write_again(self) -> None:
        """Write what the operator and the targets wrote last, after a restore."""
        await self.store.put("config", "main", configuration(self.version))
        for name in set(self.store.objects["servers"]) - set(ODD_ENTRIES):
            if name not in self._states:
                await self.store.put("servers", name, None, deleted=True)
        for name in list(self._states):
            if name in self._states:
                await self.register(name, self._states[name])

    async def check_routers(self) -> None:
        """Record the routers that do not have what the store has."""
        expected = {
            "citrondock_configuration_version": self.version,
            "citrondock_targets": len(self._states),
        }
        for router in self.routers:
            metrics = await router.metrics()
            found = {name: metrics.get(name) for name in expected}
            if found != expected:
                self.record.stale_routers.append(
                    f"{router.name} has {found}, the store {expected}"
                )

    async def set_proxy_faults(self, proxy: FaultProxy, *faults: Fault) -> None:
        """Set the faults of a proxy without blocking the event loop."""
        await asyncio.to_thread(proxy.set_faults, *faults)

    async def heal(self) -> None:
        """End every fault."""
        self.store.fault = ""
        for proxy in [*self.proxies.values(), *(r.store_proxy for r in self.routers)]:
            await self.set_proxy_faults(proxy)
        for target in self.targets.values():
            target.fault_probability = 0.0

    async def close(self) -> None:
        """End all processes that this soak started."""
        self.record.unexpected_exits += [
            end for r in self.routers if (end := r.unexpected_exit())
        ]
        for router in self.routers:
            await router.close()
        for target in self.targets.values():
            target.stop()
        for proxy in self.proxies.values():
            proxy.stop()
