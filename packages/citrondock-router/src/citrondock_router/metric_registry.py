"""Creates metrics and renders them in the Prometheus text format."""

from collections.abc import Sequence

from aioprometheus import Counter, Gauge, Histogram, Registry, render

_ACCEPT_HEADERS = ("text/plain",)


class MetricRegistry:
    """Holds all metrics of one process; their names start with ``citrondock_``."""

    def __init__(self) -> None:
        self._registry = Registry()

    def counter(self, name: str, help_text: str) -> Counter:
        """Create a counter; ``_total`` is added to its name."""
        return Counter(f"citrondock_{name}_total", help_text, registry=self._registry)

    def gauge(self, name: str, help_text: str) -> Gauge:
        """Create a gauge."""
        return Gauge(f"citrondock_{name}", help_text, registry=self._registry)

    def histogram(
        self, name: str, help_text: str, buckets: Sequence[float]
    ) -> Histogram:
        """Create a histogram with upper bounds ``buckets`` and a last, open bucket."""
        return Histogram(
            f"citrondock_{name}",
            help_text,
            registry=self._registry,
            buckets=(*buckets, float("inf")),
        )

    def render(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        content, _ = render(self._registry, _ACCEPT_HEADERS)
        return content
