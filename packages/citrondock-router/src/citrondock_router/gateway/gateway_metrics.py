"""Counters and histograms of the gateway."""

from aioprometheus import Counter, Gauge, Histogram, Registry, render

from citrondock_router.gateway.outcome import Outcome

_DELAY_BUCKETS_S = (0.05, 0.1, 0.2, 0.3, 0.4, 0.6, 0.8, 1.2, 2.0, 5.0)
_ERROR_BUCKETS_S = (-0.2, -0.1, -0.05, 0.0, 0.05, 0.1, 0.2, 0.4, 1.0)
_TEXT = ("text/plain",)


class GatewayMetrics:
    """Figures of one router in the form that Prometheus reads."""

    def __init__(self) -> None:
        self._registry = Registry()
        self._requests = self._counter("requests", "Requests by service and outcome.")
        self._rejected = self._counter("rejected", "Bytes that were no request.")
        self._exhausted = self._counter("repeats_denied", "Repeats over the budget.")
        self._silences = self._counter("silences", "Answers that stopped coming.")
        self._configuration = Gauge(
            "citrondock_configuration_version",
            "Configuration in force.",
            registry=self._registry,
        )
        self._targets = Gauge(
            "citrondock_targets", "Targets known.", registry=self._registry
        )
        self._totals = Gauge(
            "citrondock_totals",
            "Peer bytes sent and target connections opened so far.",
            registry=self._registry,
        )
        self._first_answer = self._histogram(
            "first_answer_seconds", "Arrival to first bytes.", _DELAY_BUCKETS_S
        )
        self._prediction = self._histogram(
            "prediction_error_seconds", "First answer less predicted.", _ERROR_BUCKETS_S
        )

    def count_request(self, service: str, outcome: Outcome) -> None:
        """Count a request that ended."""
        reason = outcome.reason.partition(":")[0]
        labels = {"service": service, "status": str(outcome.status), "reason": reason}
        self._requests.inc(labels)

    def count_rejected(self, reason: str) -> None:
        """Count bytes that no request could be read from."""
        self._rejected.inc({"reason": reason})

    def count_exhausted_budget(self, service: str) -> None:
        """Count a repeat that the budget did not allow."""
        self._exhausted.inc({"service": service})

    def count_silence(self, service: str) -> None:
        """Count an answer that stopped coming."""
        self._silences.inc({"service": service})

    def observe_first_answer(self, service: str, delay_s: float) -> None:
        """Note the time from arrival to the first bytes of the answer."""
        self._first_answer.observe({"service": service}, delay_s)

    def observe_prediction(self, service: str, error_s: float) -> None:
        """Note how much later than predicted the first bytes came."""
        self._prediction.observe({"service": service}, error_s)

    def set_state(
        self,
        *,
        configuration_version: int,
        target_count: int,
        peer_bytes: int,
        opened_connections: int,
    ) -> None:
        """Take figures of the router as a whole."""
        self._totals.set({"kind": "peer_bytes_sent"}, peer_bytes)
        self._totals.set({"kind": "target_connections_opened"}, opened_connections)
        self._configuration.set({}, configuration_version)
        self._targets.set({}, target_count)

    def render(self) -> bytes:
        """Return all metrics as text."""
        content, _ = render(self._registry, _TEXT)
        return content

    def _counter(self, name: str, text: str) -> Counter:
        return Counter(f"citrondock_{name}_total", text, registry=self._registry)

    def _histogram(self, name: str, text: str, buckets: tuple[float, ...]) -> Histogram:
        return Histogram(
            f"citrondock_{name}",
            text,
            registry=self._registry,
            buckets=(*buckets, float("inf")),
        )
