"""Tracks the load, the health and the shutdown of targets."""

import json
import threading
import time
from collections import defaultdict
from collections.abc import Callable, Mapping, Sequence
from concurrent.futures import ThreadPoolExecutor
from enum import Enum

import urllib3

from citrondock_core.configuration import PoolKind, Target
from citrondock_core.load_report import LoadReport
from citrondock_core.vm_directory import Vm, VmState
from citrondock_router.log import log_event
from citrondock_wire.bounded_http import pool_manager, read_body

_WORKER_COUNT = 4
_UNREACHABLE_AFTER_FAILURES = 2
_LOAD_PATH = "/v1/load"
MAX_REPORT_BYTES = 65_536
"""Largest load report of an engine."""


class UnavailabilityReason(Enum):
    """Reason for which a target gets no new work."""

    LISTED_LEAVING = "listed_leaving"
    SAYS_LEAVING = "says_leaving"
    UNREACHABLE = "unreachable"


class TargetWatch:
    """Polls engines and decides which targets may get new work.

    A target gets no new work while the VM list or the target itself says that it is
    leaving, or while polls fail.

    Parameters
    ----------
    on_load : callable
        Called with a target's name and its load report.
    on_available : callable
        Called with a target's name and whether it may get new work, on each change of
        its reasons.
    timeout_s : float
        Timeout of one poll.
    """

    def __init__(
        self,
        *,
        on_load: Callable[[str, LoadReport], None],
        on_available: Callable[[str, bool], None],
        timeout_s: float = 0.5,
    ) -> None:
        self._on_load = on_load
        self._on_available = on_available
        self._timeout_s = timeout_s
        self._http = pool_manager(
            num_pools=64, maxsize=1, retries=False, timeout=timeout_s
        )
        self._workers = ThreadPoolExecutor(
            _WORKER_COUNT, thread_name_prefix="target-watch"
        )
        self._reasons: dict[str, set[UnavailabilityReason]] = defaultdict(set)
        self._failure_counts: dict[str, int] = defaultdict(int)
        self._lock = threading.Lock()

    def poll(self, targets: Sequence[Target], kinds: Mapping[str, PoolKind]) -> None:
        """Read the load of each engine; return when all polls have ended."""
        engines = [t for t in targets if kinds.get(t.name) is PoolKind.ENGINE]
        list(self._workers.map(self._poll_one, engines))

    def set_listed(self, vms: Sequence[Vm]) -> None:
        """Apply the platform's VM list, which shows the targets that are leaving."""
        leaving = {vm.name for vm in vms if vm.state is VmState.LEAVING}
        with self._lock:
            known = set(self._reasons) | leaving
        for name in known:
            self._set_reason(
                name, UnavailabilityReason.LISTED_LEAVING, holds=name in leaving
            )

    def reasons(self) -> Mapping[str, list[str]]:
        """Return why targets get no new work, by target name."""
        with self._lock:
            return {
                name: sorted(reason.value for reason in reasons)
                for name, reasons in self._reasons.items()
                if reasons
            }

    def stop(self) -> None:
        """Stop the worker threads."""
        self._workers.shutdown(wait=False, cancel_futures=True)

    def _poll_one(self, target: Target) -> None:
        url = f"http://{target.host}:{target.port}{_LOAD_PATH}"
        deadline_s = time.monotonic() + self._timeout_s
        try:
            answer = self._http.request("GET", url, preload_content=False)
            body = read_body(answer, max_bytes=MAX_REPORT_BYTES, deadline_s=deadline_s)
            document = json.loads(body)
            report = LoadReport(
                running_count=int(document["running"]),
                queued_count=int(document["waiting"]),
            )
            leaving = bool(document.get("leaving", False))
        except urllib3.exceptions.HTTPError:
            self._record_failure(target.name)
            return
        except (ValueError, KeyError, TypeError, RecursionError):
            # An engine may not offer a load report: it is healthy, its load is unknown.
            self._record_success(target.name, leaving=False)
            return
        self._record_success(target.name, leaving=leaving)
        self._on_load(target.name, report)

    def _record_failure(self, name: str) -> None:
        self._failure_counts[name] += 1
        if self._failure_counts[name] >= _UNREACHABLE_AFTER_FAILURES:
            self._set_reason(name, UnavailabilityReason.UNREACHABLE, holds=True)

    def _record_success(self, name: str, *, leaving: bool) -> None:
        self._failure_counts[name] = 0
        self._set_reason(name, UnavailabilityReason.UNREACHABLE, holds=False)
        self._set_reason(name, UnavailabilityReason.SAYS_LEAVING, holds=leaving)

    def _set_reason(
        self, name: str, reason: UnavailabilityReason, *, holds: bool
    ) -> None:
        with self._lock:
            reasons = self._reasons[name]
            if (reason in reasons) is holds:
                return
            if holds:
                reasons.add(reason)
            else:
                reasons.discard(reason)
            available = not reasons
        log_event(
            "target_availability",
            target=name,
            available=available,
            reason=reason.value,
            holds=holds,
        )
        self._on_available(name, available)
