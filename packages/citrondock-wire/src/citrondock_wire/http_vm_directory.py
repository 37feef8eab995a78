"""HTTP client of the platform's VM directory."""

import json
import time
from collections.abc import Mapping, Sequence
from typing import Any
from urllib.parse import urlsplit

import urllib3
from urllib3.exceptions import HTTPError

from citrondock_core.object_store import StoreUnavailableError
from citrondock_core.vm_directory import Vm, VmDirectory, VmState
from citrondock_wire.bounded_http import connection_pool, read_body

STEP = "list VMs"
MAX_LIST_BYTES = 16_777_216
"""Largest list of VMs."""


class HttpVmDirectory(VmDirectory):
    """HTTP client of the list of VMs.

    Parameters
    ----------
    url : str
        Base URL of the directory, for example ``"http://127.0.0.1:7001"``.
    """

    def __init__(self, url: str) -> None:
        self._path = urlsplit(url).path.rstrip("/") + "/v1/vms"
        self._pool = connection_pool(url, maxsize=1)
        self._peer = f"vm-directory {self._pool.host}:{self._pool.port}"

    def list(self, *, timeout_s: float = 2.0) -> Sequence[Vm]:
        """Return the platform's current list of VMs."""
        deadline_s = time.monotonic() + timeout_s
        try:
            response = self._pool.urlopen(
                "GET",
                self._path,
                retries=False,
                redirect=False,
                timeout=urllib3.Timeout(total=timeout_s),
                preload_content=False,
            )
            body = read_body(response, max_bytes=MAX_LIST_BYTES, deadline_s=deadline_s)
        except HTTPError as error:
            raise self._error(error) from error
        if response.status != 200:
            raise self._error(f"HTTP status {response.status}")
        try:
            entries = json.loads(body)["vms"]
            return [_vm_of(entry) for entry in entries]
        except (KeyError, TypeError, ValueError) as error:
            raise self._error(f"malformed list of VMs: {error!r}") from error

    def _error(self, reason: object) -> StoreUnavailableError:
        return StoreUnavailableError(str(reason), step=STEP, peer=self._peer)


def _vm_of(entry: Mapping[str, Any]) -> Vm:
    return Vm(
        name=entry["name"],
        availability_zone=entry["availability_zone"],
        host=entry["host"],
        port=entry["port"],
        state=VmState(entry["state"]),
    )
