"""Starts routers and stand-ins as a complete deployment on one machine."""

import itertools
import json
import tempfile
import time
from collections.abc import Callable, Mapping
from contextlib import ExitStack
from pathlib import Path
from typing import Any, Self

import attrs
import urllib3

from citrondock_core.configuration import Target
from citrondock_core.object_store import ObjectStore
from citrondock_core.vm_directory import Vm, VmState
from citrondock_standins.fault import EVERY_SENDER, Fault, FaultKind
from citrondock_standins.processes import (
    ChildError,
    RouterLaunch,
    RouterProcess,
    StandinProcess,
)
from citrondock_standins.proxy import FaultProxy
from citrondock_standins.vm_list import vm_document
from citrondock_wire.http_object_store import HttpObjectStore

HOST = "127.0.0.1"
SHARED_KEY = "shared-key-of-the-stand-in-fleet"
READY_TIMEOUT_S = 30.0
READY_PERIOD_S = 0.05
STOP_TIMEOUT_S = 10.0
CUT = Fault(kind=FaultKind.CUT)
STORE = "object-store"
VM_LIST = "vm-list"


@attrs.frozen(kw_only=True)
class EnginePlan:
    """Zone and speed factor of an engine to start."""

    availability_zone: str
    speed: float = 1.0


@attrs.frozen(kw_only=True)
class FleetPlan:
    """Routers, targets and options of a fleet.

    Parameters
    ----------
    router_zones : tuple of str
        Zone of each router.
    engines : tuple of EnginePlan
        Model engines; the engines of a zone share a process.
    application_zones : tuple of str
        Zone of each target of the plain service.
    is_proxied : bool
        Whether a fault proxy is placed in front of each router's peer port, each
        target, the object store and the VM list.
    dispatch_policy : str
        Dispatch policy of all routers.
    settings : mapping of str
        Additional settings of all routers, by section.
    engine_flags, application_flags : mapping of str
        Additional flags of the engines and plain services.
    vm_lag_s : float
        Seconds until a change shows in the VM list.
    """

    router_zones: tuple[str, ...] = ("a", "b")
    engines: tuple[EnginePlan, ...] = ()
    application_zones: tuple[str, ...] = ()
    is_proxied: bool = False
    dispatch_policy: str = "fair"
    settings: Mapping[str, Mapping[str, object]] = attrs.field(factory=dict)
    engine_flags: Mapping[str, object] = attrs.field(factory=dict)
    application_flags: Mapping[str, object] = attrs.field(factory=dict)
    vm_lag_s: float = 0.1


@attrs.define(kw_only=True)
class FleetRouter:
    """A router of a fleet.

    Parameters
    ----------
    name, availability_zone : str
        Name of its VM, and its zone.
    settings_path : Path
        Path of its settings file.
    process : RouterProcess
        Its current process, or its last one.
    """

    name: str
    availability_zone: str
    settings_path: Path
    process: RouterProcess

    @property
    def callers_url(self) -> str:
        """URL for callers."""
        return f"http://{HOST}:{self.process.callers_port}"

    @property
    def operators_url(self) -> str:
        """URL for operators."""
        return f"http://{HOST}:{self.process.operators_port}"


@attrs.frozen(kw_only=True)
class FleetTarget:
    """A target of a fleet.

    Parameters
    ----------
    target : Target
        Its name, zone and address; the address is that of its proxy, if there is one.
    process : StandinProcess
        The process that runs it.
    index : int
        Position among the engines of the process.
    """

    target: Target
    process: StandinProcess
    index: int


Publish = Callable[[ObjectStore, "Fleet"], None]


class Fleet:
    """Context manager that starts a deployment and stops all of it at the end.

    Parameters
    ----------
    plan : FleetPlan
        Routers, targets and options.
    publish : callable, optional
        Called before the routers start, to publish a configuration; takes the object
        store and this fleet, whose targets are running by then.

    Attributes
    ----------
    store : ObjectStore
        Object store client that bypasses the proxies and their faults.
    store_process, vm_list_process : StandinProcess
        Processes of the object store and the VM list.
    engines, applications : list of FleetTarget
        Targets by kind.
    routers : dict of str
        Routers by name, for example ``"router-a1"``.
    """

    def __init__(self, plan: FleetPlan, *, publish: Publish | None = None) -> None:
        self.plan = plan
        self.engines: list[FleetTarget] = []
        self.applications: list[FleetTarget] = []
        self.routers: dict[str, FleetRouter] = {}
        self._publish = publish
        self._stack = ExitStack()
        self._http = urllib3.PoolManager(retries=False, timeout=2.0)
        self._proxies: dict[str, FaultProxy] = {}

    def __enter__(self) -> Self:
        try:
            self._start()
        except BaseException:
            self.stop()
            raise
        return self

    def __exit__(self, *_: object) -> None:
        self.stop()

    def stop(self) -> None:
        """Stop the routers, then everything else."""
        routers = [router.process for router in self.routers.values()]
        for process in routers:
            process.terminate()
        deadline_s = time.monotonic() + STOP_TIMEOUT_S
        for process in routers:
            process.stop(timeout_s=max(0.0, deadline_s - time.monotonic()))
        self._stack.close()

    def wait_ready(self, *, timeout_s: float = READY_TIMEOUT_S) -> None:
        """Wait until every running router reports that it is ready."""
        deadline_s = time.monotonic() + timeout_s
        for router in self.routers.values():
            while router.process.is_running and not self.is_ready(router.name):
                if time.monotonic() > deadline_s:
                    tail = "\n".join(list(router.process.lines)[-20:])
                    raise ChildError(
                        f"{router.name} is not ready, last output:\n{tail}"
                    )
                time.sleep(READY_PERIOD_S)

    def wait_joined(self, *, timeout_s: float = READY_TIMEOUT_S) -> None:
        """Wait until every running router sees all running routers as members."""
        deadline_s = time.monotonic() + timeout_s
        running = {n for n, each in self.routers.items() if each.process.is_running}
        while any(self.member_names(name) != running for name in running):
            if time.monotonic() > deadline_s:
                known = {name: self.member_names(name) for name in running}
                raise ChildError(f"the routers see different members: {known}")
            time.sleep(READY_PERIOD_S)

    def member_names(self, name: str) -> set[str]:
        """Return the names of the members that a router sees."""
        return {member["vm_name"] for member in self.status(name)["members"]}

    def status(self, name: str) -> Mapping[str, Any]:
        """Return the status page of a router."""
        url = self.routers[name].operators_url + "/v1/status"
        page: Mapping[str, Any] = self._http.request("GET", url).json()
        return page

    def is_ready(self, name: str) -> bool:
        """Whether a router reports that it is ready."""
        url = self.routers[name].operators_url + "/readyz"
        try:
            return self._http.request("GET", url).status == 200
        except urllib3.exceptions.HTTPError:
            return False

    def restart_router(self, name: str) -> None:
        """Start a stopped router again, on new ports."""
        router = self.routers[name]
        router.process = RouterProcess(RouterLaunch(settings_path=router.settings_path))
        if name in self._proxies:
            self._proxies[name].set_target(HOST, router.process.peers_port)
        self.register_router(name)

    def register_router(self, name: str, *, state: VmState = VmState.LIVE) -> None:
        """Add or update the entry of a router in the VM list."""
        router = self.routers[name]
        self.register_vm(
            Vm(
                name=name,
                availability_zone=router.availability_zone,
                host=HOST,
                port=self._exposed_port(name, router.process.peers_port),
                state=state,
            )
        )

    def register_vm(self, vm: Vm) -> None:
        """Add or update an entry of the VM list."""
        self.vm_list_process.post("/control/vms", vm_document(vm))

    def set_faults(
        self, destination: str, *faults: Fault, sender: str = EVERY_SENDER
    ) -> None:
        """Replace the faults on connections to a destination.

        Parameters
        ----------
        destination : str
            Name of a router or target, `STORE` or `VM_LIST`.
        *faults : Fault
            New faults; none clears them.
        sender : str
            Name of the router whose connections are affected; all are by default.
        """
        self._proxies[destination].set_faults(*faults, sender=sender)

    def cut_zone(self, zone: str, *, with_platform: bool = False) -> None:
        """Cut a zone off from all other zones, and optionally from the platform."""
        zones = {name: each.availability_zone for name, each in self.routers.items()}
        for each in (*self.engines, *self.applications):
            zones[each.target.name] = each.target.availability_zone
        for destination, sender in itertools.product(zones, self.routers):
            if (zones[destination] == zone) is not (zones[sender] == zone):
                self.set_faults(destination, CUT, sender=sender)
        if with_platform:
            self.cut_platform(zone)

    def cut_platform(self, zone: str) -> None:
        """Cut the routers of a zone off from the object store and the VM list."""
        for name, router in self.routers.items():
            if router.availability_zone == zone:
                self.set_faults(STORE, CUT, sender=name)
                self.set_faults(VM_LIST, CUT, sender=name)

    def heal(self) -> None:
        """Clear the faults of all proxies."""
        for proxy in self._proxies.values():
            proxy.set_faults()

    def _start(self) -> None:
        self.store_process = self._start_standin("object_store")
        self.vm_list_process = self._start_standin("vm_list", lag_s=self.plan.vm_lag_s)
        self.store: ObjectStore = HttpObjectStore(self.store_process.url)
        self._start_targets()
        if self._publish is not None:
            self._publish(self.store, self)
        store_port = self._exposed_port(STORE, self.store_process.port)
        vm_list_port = self._exposed_port(VM_LIST, self.vm_list_process.port)
        self._store_url = f"http://{HOST}:{store_port}"
        self._vm_list_url = f"http://{HOST}:{vm_list_port}"
        directory = Path(self._stack.enter_context(tempfile.TemporaryDirectory()))
        for zone in dict.fromkeys(self.plan.router_zones):
            for number in range(1, self.plan.router_zones.count(zone) + 1):
                self._start_router(f"router-{zone}{number}", zone, directory)
        for name in self.routers:
            self.register_router(name)

    def _start_targets(self) -> None:
        engines = self.plan.engines
        for zone in dict.fromkeys(engine.availability_zone for engine in engines):
            planned = [each for each in engines if each.availability_zone == zone]
            process = self._start_standin(
                "engine",
                engines=len(planned),
                speeds=",".join(f"{engine.speed:g}" for engine in planned),
                **self.plan.engine_flags,
            )
            for index in range(len(planned)):
                name = f"engine-{zone}{index + 1}"
                self.engines.append(self._make_target(name, zone, process, index))
        for number, zone in enumerate(self.plan.application_zones, 1):
            process = self._start_standin(
                "plain_service", **self.plan.application_flags
            )
            name = f"application-{zone}{number}"
            self.applications.append(self._make_target(name, zone, process, 0))

    def _make_target(
        self, name: str, zone: str, process: StandinProcess, index: int
    ) -> FleetTarget:
        port = self._exposed_port(name, process.ports[index])
        target = Target(name=name, availability_zone=zone, host=HOST, port=port)
        return FleetTarget(target=target, process=process, index=index)

    def _start_router(self, name: str, zone: str, directory: Path) -> None:
        path = directory / f"{name}.json"
        path.write_text(json.dumps(self._router_settings(name, zone)))
        process = RouterProcess(RouterLaunch(settings_path=path))
        self.routers[name] = FleetRouter(
            name=name, availability_zone=zone, settings_path=path, process=process
        )

    def _router_settings(
        self, name: str, zone: str
    ) -> Mapping[str, Mapping[str, object]]:
        sections: Mapping[str, Mapping[str, object]] = {
            "vm": {"name": name, "availability_zone": zone},
            "callers": {"host": HOST, "port": 0},
            "operators": {"host": HOST, "port": 0},
            "peers": {"host": HOST, "port": 0, "shared_key": SHARED_KEY},
            "platform": {
                "object_store_url": self._store_url,
                "vm_directory_url": self._vm_list_url,
            },
            "dispatch": {"policy": self.plan.dispatch_policy},
        }
        extra = self.plan.settings
        names = [*sections, *(each for each in extra if each not in sections)]
        return {
            each: {**sections.get(each, {}), **extra.get(each, {})} for each in names
        }

    def _start_standin(self, kind: str, **flags: object) -> StandinProcess:
        return self._stack.enter_context(StandinProcess.start(kind, **flags))

    def _exposed_port(self, destination: str, port: int) -> int:
        """Return the port of the proxy of a destination, or its own without proxies."""
        if not self.plan.is_proxied:
            return port
        if destination not in self._proxies:
            proxy = FaultProxy(HOST, port, sender_of=self._sender_of)
            self._proxies[destination] = self._stack.enter_context(proxy)
        return self._proxies[destination].port

    def _sender_of(self, address: tuple[str, int]) -> str:
        """Return the router that opened a connection from an address."""
        # Called from the proxies' thread, also while routers are being added, so the
        # loop runs over a copy.
        for name, router in list(self.routers.items()):
            if router.process.is_running and router.process.has_connection_from(
                address
            ):
                return name
        return EVERY_SENDER
