"""Fit cost against size: measurements, a least-squares line and a table."""

import statistics
import time
import tracemalloc
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from typing import Final

import numpy as np

REPEAT_COUNT: Final = 5


@dataclass(frozen=True, slots=True, kw_only=True)
class Slope:
    """Costs measured at several sizes, and the line fitted to them.

    `points` are pairs of size and cost; the line is `base + per_unit * size`.
    """

    name: str
    size_name: str
    unit: str
    points: tuple[tuple[float, float], ...]
    per_unit: float
    base: float
    command: str

    def estimate_cost(self, size: float) -> float:
        """Return the cost of the fitted line at a size.

        It is at least the lowest measured cost, because a falling line cannot be
        extrapolated beyond the measured sizes.
        """
        min_cost = min(cost for _, cost in self.points)
        return max(min_cost, self.base + self.per_unit * size)


def fit_slope(
    *,
    name: str,
    size_name: str,
    unit: str,
    points: Sequence[tuple[float, float]],
    command: str,
) -> Slope:
    """Return the least-squares line through pairs of size and cost."""
    sizes, costs = zip(*points, strict=True)
    per_unit, base = np.polyfit(sizes, costs, 1)
    return Slope(
        name=name,
        size_name=size_name,
        unit=unit,
        points=tuple(points),
        per_unit=float(per_unit),
        base=float(base),
        command=command,
    )


def measure_cpu_us(action: Callable[[], int], repeats: int = REPEAT_COUNT) -> float:
    """Return the median CPU time of one operation, in microseconds.

    `action` returns the number of operations that it performed.
    """
    samples = []
    for _ in range(repeats):
        started = time.process_time()
        count = action()
        samples.append((time.process_time() - started) / count * 1e6)
    return statistics.median(samples)


def measure_bytes(make: Callable[[], object]) -> float:
    """Return the memory of the object that `make` returns, in bytes."""
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    kept_alive = make()
    after = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    del kept_alive
    return float(after - before)


def render_table(slopes: Sequence[Slope]) -> str:
    """Return the slopes as a Markdown table."""
    lines = [
        "| cost | sizes: measured | slope | base | command |",
        "| --- | --- | --- | --- | --- |",
    ]
    for slope in slopes:
        points = ", ".join(f"{size:g}: {cost:.4g}" for size, cost in slope.points)
        lines.append(
            f"| {slope.name}, {slope.unit} | {slope.size_name} {points} "
            f"| {slope.per_unit:.4g} | {slope.base:.4g} | `{slope.command}` |"
        )
    return "\n".join(lines)
