"""Median and range over several runs."""

import statistics
from collections.abc import Sequence

import attrs


@attrs.frozen(kw_only=True)
class Spread:
    """Median and range of one figure over several runs."""

    median: float
    low: float
    high: float

    @classmethod
    def of(cls, values: Sequence[float]) -> "Spread":
        """Return the spread of at least one value."""
        return cls(median=statistics.median(values), low=min(values), high=max(values))

    def text(self, digits: int = 1) -> str:
        """Return ``median (low to high)``."""
        return (
            f"{self.median:,.{digits}f} "
            f"({self.low:,.{digits}f} to {self.high:,.{digits}f})"
        )
