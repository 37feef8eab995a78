"""Prometheus metrics of one router."""

import resource
import threading
import time
from collections.abc import Mapping

from aioprometheus import Gauge

from citrondock_core.dispatch_statistics import DispatchStatistics
from citrondock_router.metric_registry import MetricRegistry
from citrondock_wire.http_object_store import StoreCallKind

_FIRST_BYTE_BUCKETS_S = (0.01, 0.025, 0.05, 0.1, 0.2, 0.39, 0.8, 1.6, 5.0, 20.0)
_KIB_BYTES = 1024


class RouterMetrics:
    """Counters, gauges and a histogram in the Prometheus text format."""

    def __init__(self) -> None:
        self._registry = MetricRegistry()
        self._lock = threading.Lock()
        self._calls = self._registry.counter("calls", "Calls that ended, by outcome.")
        self._refusals = self._registry.counter(
            "refusals", "Refused calls, by reason and ran."
        )
        self._peer_bytes = self._registry.counter(
            "peer_bytes", "Control bytes by direction and message kind."
        )
        self._peer_failures = self._registry.counter(
            "peer_failures", "Failed deliveries."
        )
        self._peer_drops = self._registry.counter(
            "peer_drops", "Messages dropped unsent."
        )
        self._store_calls = self._registry.gauge(
            "store_calls_total", "Calls to the object API, by kind."
        )
        self._slots = self._registry.gauge("slots", "Slots homed here, by state.")
        self._idle_slot_s = self._registry.gauge(
            "idle_slot_seconds_total", "Slot time idle while work was known."
        )
        self._waiting = self._registry.gauge(
            "waiting_requests", "Waiting requests, by account."
        )
        self._service = self._registry.gauge(
            "service_tokens", "Service charged fleet-wide, by account."
        )
        self._limits = self._registry.gauge(
            "target_limit", "Learned limits, by target."
        )
        self._live_calls = self._registry.gauge(
            "live_calls", "Calls waiting or running."
        )
        self._revision = self._registry.gauge(
            "configuration_revision", "Revision in force."
        )
        self._process = self._registry.gauge(
            "process_usage", "Processor seconds and peak memory in bytes."
        )
        self._first_byte = self._registry.histogram(
            "first_byte_seconds",
            "From arrival to the first byte for the caller.",
            _FIRST_BYTE_BUCKETS_S,
        )
        self._started_at_s = time.monotonic()

    def count_call(self, service: str, outcome: str) -> None:
        """Count a call that ended."""
        with self._lock:
            self._calls.inc({"service": service, "outcome": outcome})

    def count_refusal(self, reason: str, ran: str) -> None:
        """Count a refusal."""
        with self._lock:
            self._refusals.inc({"reason": reason, "ran": ran})

    def observe_first_byte(self, service: str, delay_s: float) -> None:
        """Record how long a caller waited for the first byte of its response."""
        with self._lock:
            self._first_byte.observe({"service": service}, delay_s)

    def count_peer_batch(
        self, direction: str, sizes_bytes: Mapping[str, int], total_bytes: int
    ) -> None:
        """Count the bytes of one delivery by message kind, the rest as envelope."""
        envelope_bytes = max(0, total_bytes - sum(sizes_bytes.values()))
        with self._lock:
            for kind, size_bytes in {**sizes_bytes, "Envelope": envelope_bytes}.items():
                labels = {"direction": direction, "kind": kind}
                self._peer_bytes.add(labels, size_bytes)

    def count_peer_failure(self, peer: str) -> None:
        """Count a delivery that failed."""
        with self._lock:
            self._peer_failures.inc({"peer": peer})

    def count_peer_drop(self, peer: str) -> None:
        """Count a message that was dropped because the peer's queue was full."""
        with self._lock:
            self._peer_drops.inc({"peer": peer})

    def set_store_calls(self, counts: Mapping[StoreCallKind, int]) -> None:
        """Set the number of store calls of each kind."""
        with self._lock:
            for kind, count in counts.items():
                self._store_calls.set({"kind": kind.value}, count)

    def set_statistics(self, statistics: DispatchStatistics) -> None:
        """Set the gauges that come from the dispatcher."""
        with self._lock:
            slots = {
                "all": statistics.slot_count,
                "busy": statistics.busy_slot_count,
                "lent": statistics.lent_slot_count,
                "borrowed": statistics.borrowed_slot_count,
            }
            for state, count in slots.items():
                self._slots.set({"state": state}, count)
            self._idle_slot_s.set({}, statistics.idle_slot_s)
            self._replace_values(
                self._waiting, "account", statistics.waiting_count_by_account
            )
            self._replace_values(
                self._service, "account", statistics.service_tokens_by_account
            )
            self._replace_values(self._limits, "target", statistics.limit_by_target)

    def set_router(self, *, live_call_count: int, configuration_revision: int) -> None:
        """Set the gauges of live calls, configuration and the process."""
        usage = resource.getrusage(resource.RUSAGE_SELF)
        with self._lock:
            self._live_calls.set({}, live_call_count)
            self._revision.set({}, configuration_revision)
            cpu_s = usage.ru_utime + usage.ru_stime
            self._process.set({"kind": "cpu_seconds"}, cpu_s)
            peak_bytes = usage.ru_maxrss * _KIB_BYTES
            self._process.set({"kind": "peak_memory_bytes"}, peak_bytes)
            uptime_s = time.monotonic() - self._started_at_s
            self._process.set({"kind": "uptime_seconds"}, uptime_s)

    def render(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        with self._lock:
            return self._registry.render()

    @staticmethod
    def _replace_values(gauge: Gauge, label: str, values: Mapping[str, float]) -> None:
        gauge.values.clear()
        for name, value in values.items():
            gauge.set({label: name}, value)
