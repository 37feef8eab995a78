"""Linear fit of a measured figure against a size."""

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
    """Figures at several sizes and the least-squares line through their medians.

    Parameters
    ----------
    name : str
        Figure and axis, for example ``"control_bytes_by_nodes"``.
    size_unit, figure_unit : str
        Units of the size and of the figure.
    command : str
        Command that measured it.
    points : list of SlopePoint
        Measured points in order of size.
    intercept, per_size : float
        Coefficients of the line: figure = intercept + per_size * size.
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
        """Fit a line through the medians of the runs at each size.

        Parameters
        ----------
        name, size_unit, figure_unit, command : str
            As for the class.
        runs : mapping of float to sequence of float
            Figures of the runs at each size; at least two sizes.
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
        """Return the value of the line at a size."""
        return self.intercept + self.per_size * size

    def worst_at(self, size: float) -> float:
        """Return the line's value at a size, scaled by the worst run's excess over it.

        The excess is the largest ratio of a measured figure to the line.
        """
        deviation = max(
            point.figure.high / self.at(point.size)
            for point in self.points
            if self.at(point.size) > 0
        )
        return self.at(size) * max(1.0, deviation)
