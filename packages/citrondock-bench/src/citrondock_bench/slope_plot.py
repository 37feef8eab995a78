"""Plots of measured slopes."""

from pathlib import Path

import matplotlib
from matplotlib.figure import Figure

from citrondock_bench.slope import Slope

SIZE_INCHES = (6.0, 4.0)
# A fixed salt gives SVG elements the same ids on every run, so that diffs of the
# files stay small.
matplotlib.rcParams["svg.hashsalt"] = "citrondock"


def save_svg(figure: Figure, path: Path) -> None:
    """Write a figure as SVG without a date, so that equal plots give equal files."""
    path.parent.mkdir(parents=True, exist_ok=True)
    figure.savefig(path, format="svg", metadata={"Date": None})


def plot_slope(slope: Slope, directory: Path) -> Path:
    """Plot the medians, ranges and line of a slope and return the file's path."""
    sizes = [point.size for point in slope.points]
    medians = [point.figure.median for point in slope.points]
    below = [point.figure.median - point.figure.low for point in slope.points]
    above = [point.figure.high - point.figure.median for point in slope.points]
    figure = Figure(figsize=SIZE_INCHES)
    axes = figure.subplots()
    axes.errorbar(sizes, medians, yerr=[below, above], fmt="o", capsize=3)
    axes.plot(sizes, [slope.at(size) for size in sizes], "--")
    axes.set_xlabel(slope.size_unit)
    axes.set_ylabel(slope.figure_unit)
    axes.set_ylim(bottom=0)
    axes.set_title(slope.name)
    path = directory / f"{slope.name}.svg"
    save_svg(figure, path)
    return path
