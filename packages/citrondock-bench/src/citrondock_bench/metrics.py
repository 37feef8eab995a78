"""Reads the Prometheus metrics of a router."""

import re
from collections.abc import Mapping, Sequence

import attrs
import urllib3

READ_TIMEOUT_S = 2.0
_SAMPLE = re.compile(
    r"^(?P<name>[A-Za-z_:][\w:]*)(?:\{(?P<labels>.*)\})?\s+(?P<value>\S+)", re.M
)
_LABEL = re.compile(r'(?P<name>\w+)="(?P<value>(?:[^"\\]|\\.)*)"')


@attrs.frozen(kw_only=True)
class MetricSample:
    """One sample: a metric name, its labels and a value."""

    name: str
    labels: Mapping[str, str]
    value: float


def parse_samples(text: str) -> list[MetricSample]:
    """Parse samples in the Prometheus text format.

    Examples
    --------
    >>> parse_samples('bytes_total{kind="summary"} 12')[0].value
    12.0
    """
    return [
        MetricSample(
            name=match["name"],
            labels={
                label["name"]: label["value"]
                for label in _LABEL.finditer(match["labels"] or "")
            },
            value=float(match["value"]),
        )
        for match in _SAMPLE.finditer(text)
    ]


def read_metrics(host: str, port: int) -> Sequence[MetricSample]:
    """Return the current samples from the operators' port of a router.

    Raises
    ------
    urllib3.exceptions.HTTPError
        The request failed or timed out.
    """
    answer = urllib3.request(
        "GET",
        f"http://{host}:{port}/metrics",
        headers={"Accept": "text/plain"},
        timeout=READ_TIMEOUT_S,
        retries=False,
    )
    return parse_samples(answer.data.decode())


def sum_by_label(
    samples: Sequence[MetricSample], name: str, label: str
) -> dict[str, float]:
    """Return the sums of a metric for each value of one of its labels."""
    totals: dict[str, float] = {}
    for sample in samples:
        if sample.name == name:
            value = sample.labels.get(label, "")
            totals[value] = totals.get(value, 0.0) + sample.value
    return totals
