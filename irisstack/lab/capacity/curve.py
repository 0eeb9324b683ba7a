"""A slope as a function of size: measured points within their range, the fit beyond it. Pure."""

from collections.abc import Sequence
from dataclasses import dataclass
from enum import Enum, auto
from itertools import pairwise

from irisstack.lab.capacity.fit import Fit, fit
from irisstack.lab.capacity.result import Point


class Bound(Enum):
    """What a size at which a value is reached is known to be."""

    EXACT = auto()
    AT_MOST = auto()
    """The smallest size measured has reached it already."""
    MORE_THAN = auto()
    """No size measured has reached it, although the fit would have it so."""


@dataclass(slots=True, frozen=True)
class Crossing:
    """The size at which a curve reaches a value; infinite if it never does."""

    size: float
    bound: Bound = Bound.EXACT


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
        before, after = next(pair for pair in pairwise(self.points) if size <= pair[1].size)
        slope = (after.value - before.value) / (after.size - before.size)
        return before.value + slope * (size - before.size)

    def crossing(self, value: float) -> Crossing:
        """The smallest size at which a value is reached."""
        if self.points[0].value >= value:
            return Crossing(self.points[0].size, Bound.AT_MOST)
        for before, after in pairwise(self.points):
            if after.value >= value:
                part = (value - before.value) / (after.value - before.value)
                return Crossing(before.size + part * (after.size - before.size))
        fitted = self.fit.size_at(value)
        if fitted <= self.largest_size:
            return Crossing(self.largest_size, Bound.MORE_THAN)
        return Crossing(fitted)


def curve(points: Sequence[Point]) -> Curve:
    """The points in order with their fit; raises `FitError`."""
    return Curve(tuple(sorted(points, key=lambda point: point.size)), fit(points))
