"""Store calls, bytes and latency per claim, by the number of shard objects."""

import random
import threading
import time
from collections.abc import Sequence
from concurrent.futures import ThreadPoolExecutor

import attrs

from citrondock_core.claim import Claim, ClaimOutcome
from citrondock_core.claim_manager import ClaimManager
from citrondock_core.claim_options import ClaimOptions
from citrondock_standins.memory_object_store import MemoryObjectStore
from citrondock_standins.store_core import StoreCore, StoreFaults

ONE_OBJECT_PER_KEY = 2**31
"""Shard count at which two keys practically never share an object."""

STORE_DELAY_MS = 3.0
"""Time between the effect of a store call and its response."""

MS_PER_S = 1000.0
FLUSH_TIMEOUT_S = 30.0
BODY = b"x" * 200


@attrs.frozen(kw_only=True)
class ClaimLoad:
    """Number of routers, callers, calls and shards of a measurement.

    Parameters
    ----------
    router_count : int
        Routers that claim at the same time.
    caller_count : int
        Concurrent callers at each router, each with one call at a time.
    calls_per_caller : int
        Calls that each caller makes.
    shard_count : int
        Store objects over which the claims are sharded.
    """

    router_count: int
    caller_count: int
    calls_per_caller: int = 20
    shard_count: int = 4096


@attrs.frozen(kw_only=True)
class ClaimPoint:
    """Measured cost of a load of claims.

    Parameters
    ----------
    load : ClaimLoad
        Load that was run.
    writes_per_claim, reads_per_claim, conflicts_per_claim : float
        Calls to the store; conflicts also count as writes.
    written_bytes_per_claim : float
        Bytes of the values sent to the store.
    acquire_p50_ms, acquire_p95_ms : float
        Median and 95th percentile of the time to acquire a claim.
    refused_count : int
        Calls that could not acquire a claim, for example after a store timeout.
    """

    load: ClaimLoad
    writes_per_claim: float
    reads_per_claim: float
    conflicts_per_claim: float
    written_bytes_per_claim: float
    acquire_p50_ms: float
    acquire_p95_ms: float
    refused_count: int


class _ByteCountingStore(MemoryObjectStore):
    """In-memory store that counts the bytes of the values written."""

    written_bytes = 0

    def create(self, key: str, value: bytes, *, timeout_s: float = 2.0) -> int:
        self.written_bytes += len(value)
        return super().create(key, value, timeout_s=timeout_s)

    def update(
        self, key: str, value: bytes, *, if_version: int, timeout_s: float = 2.0
    ) -> int:
        self.written_bytes += len(value)
        return super().update(key, value, if_version=if_version, timeout_s=timeout_s)


class _Callers:
    """Acquires and finishes claims for all callers and records the waiting times."""

    def __init__(self) -> None:
        self.waits_s: list[float] = []
        self.refused_count = 0
        self._lock = threading.Lock()

    def run(self, manager: ClaimManager, name: str, count: int) -> None:
        for number in range(count):
            began_s = time.monotonic()
            try:
                claim = manager.acquire("account", "bookings", f"{name}/{number}", "d")
            except Exception:
                with self._lock:
                    self.refused_count += 1
                continue
            with self._lock:
                self.waits_s.append(time.monotonic() - began_s)
            assert isinstance(claim, Claim)
            manager.authorise_send(claim)
            manager.finish(claim, ClaimOutcome(status=200, body=BODY))


def measure_claims(load: ClaimLoad, *, seed: int = 1) -> ClaimPoint:
    """Run a load of claims against an in-process store."""
    core = StoreCore(writes_per_s=1e6, reads_per_s=1e6)
    stores = [_ByteCountingStore(core) for _ in range(load.router_count)]
    stores[0].set_faults(StoreFaults(slow_ms=STORE_DELAY_MS))
    options = ClaimOptions(shard_count=load.shard_count)
    managers = [
        ClaimManager(store, f"router-{n}", options, rng=random.Random(seed + n))
        for n, store in enumerate(stores)
    ]
    callers = _Callers()
    with ThreadPoolExecutor(load.router_count * load.caller_count) as pool:
        for number, manager in enumerate(managers):
            for caller in range(load.caller_count):
                name = f"{seed}/{number}/{caller}"
                pool.submit(callers.run, manager, name, load.calls_per_caller)
    for manager in managers:
        manager.close(FLUSH_TIMEOUT_S)
    return _point(load, callers, managers, stores)


def _point(
    load: ClaimLoad,
    callers: _Callers,
    managers: Sequence[ClaimManager],
    stores: Sequence[_ByteCountingStore],
) -> ClaimPoint:
    waits_s = sorted(callers.waits_s)
    claim_count = len(waits_s)
    statistics = [manager.statistics for manager in managers]
    conflicts = sum(each.conflict_count for each in statistics)
    return ClaimPoint(
        load=load,
        writes_per_claim=sum(each.write_count for each in statistics) / claim_count,
        reads_per_claim=sum(each.read_count for each in statistics) / claim_count,
        conflicts_per_claim=conflicts / claim_count,
        written_bytes_per_claim=sum(store.written_bytes for store in stores)
        / claim_count,
        acquire_p50_ms=MS_PER_S * waits_s[claim_count // 2],
        acquire_p95_ms=MS_PER_S * waits_s[claim_count * 95 // 100],
        refused_count=callers.refused_count,
    )
