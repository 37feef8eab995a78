"""HTTP stand-in for the VM directory of the platform, whose list is delayed."""

import asyncio
import heapq
import itertools
import time
from collections.abc import Mapping, Sequence
from typing import Any

import attrs
from absl import flags

from citrondock_core.vm_directory import Vm, VmState
from citrondock_standins.http_server import HttpRequest, Reply, StandIn
from citrondock_standins.store_core import Outage

LAG_S = flags.DEFINE_float("lag_s", 0.5, "Seconds until a change shows in the list.")

LIST_PATH = "/v1/vms"


@attrs.frozen(kw_only=True)
class VmListFaults:
    """Faults of a VM list.

    Parameters
    ----------
    outage : Outage
        Way in which the list is unavailable, if it is.
    listed : tuple of Vm
        Dead VMs that are listed nevertheless.
    lacking : tuple of str
        Names of live VMs that are missing from the list.
    """

    outage: Outage = attrs.field(default=Outage.NONE, converter=Outage)
    listed: tuple[Vm, ...] = ()
    lacking: tuple[str, ...] = ()


@attrs.frozen(kw_only=True, order=True)
class _Change:
    """Change of a VM's entry, or its removal, and when it becomes visible."""

    visible_at_s: float
    sequence: int
    name: str = attrs.field(order=False)
    vm: Vm | None = attrs.field(order=False)


class VmList:
    """List of VMs in which changes show after a delay."""

    def __init__(self, *, lag_s: float) -> None:
        self.faults = VmListFaults()
        self._lag_s = lag_s
        self._pending: list[_Change] = []
        self._sequence = itertools.count()
        self._visible: dict[str, Vm | None] = {}

    def change(
        self,
        name: str,
        vm: Vm | None,
        *,
        now_s: float,
        lag_s: float | None = None,
    ) -> None:
        """Set the entry of a VM, or remove it if ``vm`` is None, after the lag."""
        visible_at_s = now_s + (self._lag_s if lag_s is None else lag_s)
        change = _Change(
            visible_at_s=visible_at_s,
            sequence=next(self._sequence),
            name=name,
            vm=vm,
        )
        heapq.heappush(self._pending, change)

    def listed(self, *, now_s: float) -> Sequence[Vm]:
        """Return the VMs that are listed now, sorted by name."""
        while self._pending and self._pending[0].visible_at_s <= now_s:
            change = heapq.heappop(self._pending)
            self._visible[change.name] = change.vm
        extra = {vm.name: vm for vm in self.faults.listed}
        merged = {**self._visible, **extra}
        return [
            vm
            for name, vm in sorted(merged.items())
            if vm is not None and name not in self.faults.lacking
        ]


class VmListStandIn(StandIn):
    """HTTP server for a VM list and its control paths."""

    def __init__(self, vms: VmList) -> None:
        self._vms = vms

    async def handle(self, request: HttpRequest, reply: Reply) -> None:
        """Handle a request to the list or to a control path."""
        now_s = time.monotonic()
        if request.path == "/control/faults":
            fields = request.json()
            listed = tuple(map(_parse_vm, fields.pop("listed", ())))
            self._vms.faults = VmListFaults(listed=listed, **fields)
            reply.send_json(200, {})
        elif request.path == "/control/vms":
            self._change(request, now_s)
            reply.send_json(200, {})
        elif request.path == LIST_PATH:
            await self._list(request, reply, now_s)
        else:
            reply.send_json(404, {"error": "no such path"})

    async def _list(self, request: HttpRequest, reply: Reply, now_s: float) -> None:
        outage = self._vms.faults.outage
        if outage is Outage.HANG:
            await asyncio.Event().wait()
        if outage is Outage.CLOSE:
            reply.close()
        elif outage is Outage.REFUSE:
            reply.send_json(503, {"error": "outage"})
        else:
            listed = self._vms.listed(now_s=now_s)
            reply.send_json(200, {"vms": [vm_document(vm) for vm in listed]})

    def _change(self, request: HttpRequest, now_s: float) -> None:
        is_removal = request.method == "DELETE"
        fields = dict(request.query) if is_removal else request.json()
        lag = fields.pop("lag_s", None)
        self._vms.change(
            fields["name"],
            None if is_removal else _parse_vm(fields),
            now_s=now_s,
            lag_s=None if lag is None else float(lag),
        )


def create() -> VmListStandIn:
    """Create the VM list that the flags describe."""
    return VmListStandIn(VmList(lag_s=LAG_S.value))


def vm_document(vm: Vm) -> Mapping[str, object]:
    """Return the JSON document of a VM in the list."""
    return {**attrs.asdict(vm), "state": vm.state.value}


def _parse_vm(entry: Mapping[str, Any]) -> Vm:
    return Vm(**{**entry, "state": VmState(entry.get("state", "live"))})
