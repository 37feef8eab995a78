"""A measured line: how a figure grows with a size."""

from collections.abc import Mapping, Sequence

import attrs
import numpy as np

from citrondock_bench.spread import Spread


@attrs.frozen(kw_only=True)
class SlopePoint:
    """A figure at one size, over several runs."""

    size: float
    figure: Spread


@attrs.frozen(kw_only=True)
class Slope:
    """Figure against size, with the line of least squares through the medians.

    Parameters
    ----------
    name : str
        What was measured, for example ``"control_bytes_by_nodes"``.
    size_unit, figure_unit : str
        Units of the two axes.
    command : str
        Command that measured it.
    points : list of SlopePoint
        By size.
    intercept, per_size : float
        Line.
    """

    name: str
    size_unit: str
    figure_unit: str
    command: str
    points: list[SlopePoint]
    intercept: float
    per_size: float

    @classmethod
    def fit(
        cls,
        name: str,
        runs: Mapping[float, Sequence[float]],
        *,
        size_unit: str,
        figure_unit: str,
        command: str,
    ) -> "Slope":
        """Fit a line through the medians of at least two sizes.

        Parameters
        ----------
        name, size_unit, figure_unit, command : str
            As in the class.
        runs : mapping of float to sequence of float
            Figures of the runs by size.
        """
        points = [
            SlopePoint(size=size, figure=Spread.of(figures))
            for size, figures in sorted(runs.items())
        ]
        per_size, intercept = np.polyfit(
            [point.size for point in points],
            [point.figure.median for point in points],
            1,
        )
        return cls(
            name=name,
            size_unit=size_unit,
            figure_unit=figure_unit,
            command=command,
            points=points,
            intercept=float(intercept),
            per_size=float(per_size),
        )

    def at(self, size: float) -> float:
        """Return the figure that the line gives at a size."""
        return self.intercept + self.per_size * size

    def worst_at(self, size: float) -> float:
        """Return the line's figure, raised by the widest deviation of a run."""
        deviation = max(
            point.figure.high / self.at(point.size)
            for point in self.points
            if self.at(point.size) > 0
        )
        return self.at(size) * max(1.0, deviation)
