"""A slope as a function of size: measured points within their range, the fit beyond it. Pure."""

from collections.abc import Sequence
from dataclasses import dataclass
from itertools import pairwise

import numpy as np

from irisstack.lab.capacity.fit import Fit, fit
from irisstack.lab.capacity.result import Point


@dataclass(slots=True, frozen=True)
class Curve:
    """Measured points in order of size, and what was fitted to them."""

    points: tuple[Point, ...]
    fit: Fit

    @property
    def largest_size(self) -> float:
        return self.points[-1].size

    def at(self, size: float) -> float:
        """The value at a size: between two points on the line through them, elsewhere the fit's."""
        if not self.points[0].size <= size <= self.largest_size:
            return self.fit.at(size)
        sizes, values = [p.size for p in self.points], [p.value for p in self.points]
        return float(np.interp(size, sizes, values))

    def size_at(self, value: float) -> float:
        """The smallest size at which the value is reached; infinite if it never is."""
        if self.points[0].value >= value:
            return min(self.fit.size_at(value), self.points[0].size)
        for before, after in pairwise(self.points):
            if after.value >= value:
                part = (value - before.value) / (after.value - before.value)
                return before.size + part * (after.size - before.size)
        return max(self.fit.size_at(value), self.largest_size)


def curve(points: Sequence[Point]) -> Curve:
    """The points in order with their fit; raises `FitError`."""
    return Curve(tuple(sorted(points, key=lambda point: point.size)), fit(points))
