"""Measures a quantity over sizes, fits a line to it and plots both."""

import dataclasses
import statistics
import time
import tracemalloc
from collections.abc import Callable
from collections.abc import Sequence

import numpy as np
from matplotlib import pyplot

SAMPLES_PER_SIZE = 5


@dataclasses.dataclass(frozen=True)
class Series:
    """A quantity measured at several sizes.

    Attributes:
        name: Name, which ``slopes.json`` and ``target.py`` refer to.
        unit: Unit of the values.
        size_name: What the sizes count.
        sizes: Measured sizes.
        values: Median of the samples at each size.
        spreads: Range (largest less smallest sample) at each size.
    """

    name: str
    unit: str
    size_name: str
    sizes: tuple[float, ...]
    values: tuple[float, ...]
    spreads: tuple[float, ...]

    def fit(self) -> "Fit":
        """Fits a straight line by least squares."""
        sizes, values = np.array(self.sizes), np.array(self.values)
        slope, intercept = np.polyfit(sizes, values, 1)
        residuals = values - (slope * sizes + intercept)
        total = float(((values - values.mean()) ** 2).sum())
        explained = 1.0 - float((residuals**2).sum()) / total if total else 1.0
        return Fit(float(slope), float(intercept), explained)


@dataclasses.dataclass(frozen=True)
class Fit:
    """A straight line fitted to a series.

    Attributes:
        slope: Increase of the value per unit of size.
        intercept: Value at size 0.
        explained: Fraction of the variance that the line explains (r²).
    """

    slope: float
    intercept: float
    explained: float


def measure(
    name: str,
    unit: str,
    size_name: str,
    sizes: Sequence[float],
    sample: Callable[[float], float],
) -> Series:
    """Samples a quantity ``SAMPLES_PER_SIZE`` times at each size."""
    values, spreads = [], []
    for size in sizes:
        samples = [sample(size) for _ in range(SAMPLES_PER_SIZE)]
        values.append(statistics.median(samples))
        spreads.append(max(samples) - min(samples))
    return Series(
        name, unit, size_name, tuple(sizes), tuple(values), tuple(spreads)
    )


def cpu_us(function: Callable[[], object], calls: int) -> float:
    """Measures the mean CPU time of a call, in microseconds.

    The first call isn't counted.
    """
    function()
    started_ns = time.process_time_ns()
    for _ in range(calls):
        function()
    return (time.process_time_ns() - started_ns) / calls / 1e3


def allocated_bytes(build: Callable[[], object]) -> float:
    """Measures the memory that is allocated for an object."""
    tracemalloc.start()
    built = build()
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del built
    return float(size)


def plot(all_series: Sequence[Series], path: str) -> None:
    """Plots every series with its fitted line to a file."""
    columns = 3
    rows = -(-len(all_series) // columns)
    figure, axes = pyplot.subplots(
        rows, columns, figsize=(5 * columns, 3.4 * rows), squeeze=False
    )
    for axis, series in zip(axes.flat, all_series, strict=False):
        fit = series.fit()
        axis.errorbar(series.sizes, series.values, yerr=series.spreads, fmt="o")
        line = np.linspace(min(series.sizes), max(series.sizes), 50)
        axis.plot(line, fit.slope * line + fit.intercept)
        axis.set_title(f"{series.name} (r² {fit.explained:.3f})", fontsize=9)
        axis.set_xlabel(series.size_name, fontsize=8)
        axis.set_ylabel(series.unit, fontsize=8)
    for axis in axes.flat[len(all_series) :]:
        axis.axis("off")
    figure.tight_layout()
    figure.savefig(path, dpi=70)
    pyplot.close(figure)
