import time

import pytest

from citrondock_core.object_store import StoreUnavailableError
from citrondock_core.vm_directory import Vm, VmState
from citrondock_standins.processes import StandinProcess
from citrondock_standins.vm_list import VmList, vm_document
from citrondock_wire.http_vm_directory import HttpVmDirectory


def vm(name, **fields):
    return Vm(name=name, availability_zone="a", host="127.0.0.1", port=1, **fields)


class TestVmList:
    def test_changes_show_in_order_after_their_lag(self):
        vms = VmList(lag_s=1.0)
        vms.change("r1", vm("r1"), now_s=0.0)
        vms.change("r1", vm("r1", state=VmState.LEAVING), now_s=0.5)
        vms.change("r1", None, now_s=0.5, lag_s=3.0)

        assert vms.listed(now_s=0.9) == []
        assert vms.listed(now_s=1.2)[0].state is VmState.LIVE
        assert vms.listed(now_s=1.6)[0].state is VmState.LEAVING
        assert vms.listed(now_s=3.6) == []

    def test_over_http_with_wrong_entries_and_outage(self):
        with StandinProcess.start("vm_list", lag_s=0) as process:
            directory = HttpVmDirectory(process.url)
            for name in ("r1", "r2"):
                process.post("/control/vms", vm_document(vm(name)))
            assert list(directory.list()) == [vm("r1"), vm("r2")]
            process.delete("/control/vms?name=r1")
            assert [each.name for each in directory.list()] == ["r2"]
            process.set_faults(listed=[vm_document(vm("dead"))], lacking=["r2"])
            assert [each.name for each in directory.list()] == ["dead"]
            process.set_faults(outage="refuse")
            with pytest.raises(StoreUnavailableError):
                directory.list()
            process.set_faults(outage="hang")
            started_s = time.monotonic()
            with pytest.raises(StoreUnavailableError):
                directory.list(timeout_s=0.1)
            assert time.monotonic() - started_s < 5.0
