"""Resources used by a router process: control traffic, store calls, CPU, memory."""

import re
import time
from collections.abc import Sequence
from pathlib import Path

import attrs
import psutil
import urllib3

from citrondock_bench.metrics import MetricSample, read_metrics, sum_by_label

PEER_BYTES = "citrondock_peer_bytes_total"
STORE_CALLS = "citrondock_store_calls_total"
BYTES_PER_MB = 1_000_000
BYTES_PER_KIB = 1024
_PEAK_MEMORY = re.compile(r"^VmHWM:\s+(\d+) kB", re.M)


@attrs.frozen(kw_only=True)
class Node:
    """A router process.

    Parameters
    ----------
    name : str
        Name of its VM.
    host, operators_port : str, int
        Address that serves its metrics.
    pid : int
        Process id.
    """

    name: str
    host: str
    operators_port: int
    pid: int


@attrs.frozen(kw_only=True)
class KindRate:
    """Bytes per second of a kind of message, or calls per second of a kind of call."""

    kind: str
    per_s: float


@attrs.frozen(kw_only=True)
class NodeUsage:
    """Resources used by one router over an interval.

    Parameters
    ----------
    node : str
        Name of its VM.
    sent_bytes_per_s, received_bytes_per_s : float
        Control traffic with peers.
    sent_by_kind, store_calls : list of KindRate
        Bytes per second sent by kind of message; calls per second to the object
        store by kind of call.
    cpu_share : float
        Processor time as a share of one core.
    memory_mb : float
        Resident memory at the end of the interval.
    """

    node: str
    sent_bytes_per_s: float
    received_bytes_per_s: float
    sent_by_kind: list[KindRate]
    store_calls: list[KindRate]
    cpu_share: float
    memory_mb: float

    @property
    def control_bytes_per_s(self) -> float:
        """Control bytes sent and received per second."""
        return self.sent_bytes_per_s + self.received_bytes_per_s


@attrs.frozen(kw_only=True)
class _Reading:
    at_s: float
    cpu_s: float
    memory_mb: float
    samples: Sequence[MetricSample]

    def bytes_by(self, label: str) -> dict[str, float]:
        return sum_by_label(self.samples, PEER_BYTES, label)

    def sent_by_kind(self) -> dict[str, float]:
        sent = [
            sample
            for sample in self.samples
            if sample.labels.get("direction") == "sent"
        ]
        return sum_by_label(sent, PEER_BYTES, "kind")

    def store_calls(self) -> dict[str, float]:
        return sum_by_label(self.samples, STORE_CALLS, "kind")


def _rates(
    before: dict[str, float], after: dict[str, float], elapsed_s: float
) -> list[KindRate]:
    return [
        KindRate(kind=kind, per_s=(after[kind] - before.get(kind, 0.0)) / elapsed_s)
        for kind in sorted(after)
    ]


def cpu_seconds(pid: int) -> float:
    """Return the user and system time that a process has used so far."""
    times = psutil.Process(pid).cpu_times()
    return float(times.user + times.system)


def memory_mb(pid: int) -> float:
    """Return the resident memory of a process."""
    return float(psutil.Process(pid).memory_info().rss) / BYTES_PER_MB


def peak_memory_mb(pid: int) -> float:
    """Return the peak resident memory of a process, or the current one if unknown."""
    status = Path(f"/proc/{pid}/status").read_text()
    match = _PEAK_MEMORY.search(status)
    return int(match[1]) * BYTES_PER_KIB / BYTES_PER_MB if match else memory_mb(pid)


class UsageMeter:
    """Measures routers from `start` to `stop`.

    A router whose process or metrics can't be read at both times, for example
    because it died, is left out.
    """

    def __init__(self, nodes: Sequence[Node]) -> None:
        self._nodes = {node.name: node for node in nodes}
        self._before: dict[str, _Reading] = {}

    def start(self) -> None:
        """Start the interval: read the counters of all nodes."""
        self._before = self._read_all()

    def stop(self) -> list[NodeUsage]:
        """End the interval and return the usage of each node in it."""
        after = self._read_all()
        return [
            _usage(name, self._before[name], reading)
            for name, reading in after.items()
            if name in self._before
        ]

    def _read_all(self) -> dict[str, _Reading]:
        readings = {}
        for node in self._nodes.values():
            try:
                readings[node.name] = _read(node)
            except (psutil.Error, urllib3.exceptions.HTTPError):
                continue
        return readings


def _read(node: Node) -> _Reading:
    samples = read_metrics(node.host, node.operators_port)
    return _Reading(
        at_s=time.monotonic(),
        cpu_s=cpu_seconds(node.pid),
        memory_mb=memory_mb(node.pid),
        samples=samples,
    )


def _usage(name: str, before: _Reading, after: _Reading) -> NodeUsage:
    elapsed_s = after.at_s - before.at_s
    by_direction = {
        rate.kind: rate.per_s
        for rate in _rates(
            before.bytes_by("direction"), after.bytes_by("direction"), elapsed_s
        )
    }
    return NodeUsage(
        node=name,
        sent_bytes_per_s=by_direction.get("sent", 0.0),
        received_bytes_per_s=by_direction.get("received", 0.0),
        sent_by_kind=_rates(before.sent_by_kind(), after.sent_by_kind(), elapsed_s),
        store_calls=_rates(before.store_calls(), after.store_calls(), elapsed_s),
        cpu_share=(after.cpu_s - before.cpu_s) / elapsed_s,
        memory_mb=after.memory_mb,
    )
