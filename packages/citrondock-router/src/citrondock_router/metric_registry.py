"""Metrics in the form that Prometheus reads."""

from collections.abc import Sequence

from aioprometheus import Counter, Gauge, Histogram, Registry, render

_TEXT = ("text/plain",)


class MetricRegistry:
    """Makes the metrics of one process, and their page."""

    def __init__(self) -> None:
        self._registry = Registry()

    def counter(self, name: str, text: str) -> Counter:
        """Return a new counter; `_total` is added to its name."""
        return Counter(f"citrondock_{name}_total", text, registry=self._registry)

    def gauge(self, name: str, text: str) -> Gauge:
        """Return a new gauge."""
        return Gauge(f"citrondock_{name}", text, registry=self._registry)

    def histogram(self, name: str, text: str, buckets: Sequence[float]) -> Histogram:
        """Return a new histogram; a last bucket takes what is beyond ``buckets``."""
        return Histogram(
            f"citrondock_{name}",
            text,
            registry=self._registry,
            buckets=(*buckets, float("inf")),
        )

    def render(self) -> bytes:
        """Return all metrics as text."""
        content, _ = render(self._registry, _TEXT)
        return content
