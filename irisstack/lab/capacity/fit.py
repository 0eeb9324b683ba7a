"""Least-squares fits of measured points: a straight line, or a power where that is clearly closer.

Both are fitted to relative deviations, so that the smallest size counts as much as the largest. A value of
0, which counts may have, is weighed as if it were a hundredth of the largest. Pure.
"""

import math
from collections.abc import Sequence
from dataclasses import dataclass
from enum import Enum, auto

import numpy as np

from irisstack.lab.capacity.result import LEAST_SIZES, Point

NOTHING_WEIGHED_AS = 0.01
CLEARLY_CLOSER = 0.5
"""A power stands for the line only if its residual is below this part of the line's."""


class Form(Enum):
    """The function that was fitted."""

    LINE = auto()
    """value = constant + factor * size"""
    POWER = auto()
    """value = factor * size ** exponent"""


@dataclass(slots=True, frozen=True)
class Fit:
    """A fitted function and how far the points lie from it."""

    form: Form
    constant: float
    factor: float
    exponent: float
    residual: float
    """Root of the mean square of the relative deviations."""

    def at(self, size: float) -> float:
        """The fitted value at a size."""
        return self.constant + self.factor * math.pow(size, self.exponent)

    def size_at(self, value: float) -> float:
        """The size at which the fitted value reaches `value`: 0 if it is above it from the first, else
        infinite if it never does."""
        if value <= self.constant:
            return 0.0
        if self.factor <= 0.0:
            return math.inf
        try:
            return float(((value - self.constant) / self.factor) ** (1.0 / self.exponent))
        except (OverflowError, ZeroDivisionError):
            return math.inf


class FitError(ValueError):
    """Points to which nothing can be fitted."""


def fit(points: Sequence[Point]) -> Fit:
    """The closer of the two forms, the line unless the power is clearly closer; raises `FitError`."""
    if len(points) < LEAST_SIZES:
        raise FitError(f"{LEAST_SIZES} sizes at least are due, not {len(points)}")
    values = [point.value for point in points]
    if min(values) < 0.0:
        raise FitError("values of 0 or more are due")
    if max(values) == 0.0:
        return Fit(Form.LINE, 0.0, 0.0, 1.0, 0.0)
    line = fit_line(points)
    if min(values) == 0.0:
        return line
    power = fit_power(points)
    grows = power.exponent > 0.0
    return power if grows and power.residual < CLEARLY_CLOSER * line.residual else line


def fit_line(points: Sequence[Point]) -> Fit:
    """The straight line of least relative deviation with neither part below 0."""
    sizes, values = _arrays(points)
    weights = 1.0 / _weighed(values)
    columns = np.stack([weights, sizes * weights], axis=1)
    constant, factor = np.linalg.lstsq(columns, values * weights, rcond=None)[0]
    if constant < 0.0:  # nothing costs less than nothing: the best line through the origin then
        constant, factor = 0.0, _best_multiple(sizes, values, weights)
    elif factor < 0.0:  # a cost does not fall with size: what looks so is noise about a constant
        constant, factor = _best_multiple(np.ones(len(values)), values, weights), 0.0
    fitted = constant + factor * sizes
    return Fit(Form.LINE, float(constant), float(factor), 1.0, _residual(fitted, values))


def fit_power(points: Sequence[Point]) -> Fit:
    """The power that is a straight line of least squares through the points' logarithms."""
    sizes, values = _arrays(points)
    exponent, logarithm = np.polyfit(np.log(sizes), np.log(values), 1)
    factor = float(np.exp(logarithm))
    return Fit(Form.POWER, 0.0, factor, float(exponent), _residual(factor * sizes**exponent, values))


def _arrays(points: Sequence[Point]) -> "tuple[np.ndarray, np.ndarray]":
    return np.array([point.size for point in points]), np.array([point.value for point in points])


def _weighed(values: "np.ndarray") -> "np.ndarray":
    weighed: np.ndarray = np.where(values > 0.0, values, NOTHING_WEIGHED_AS * values.max())
    return weighed


def _best_multiple(column: "np.ndarray", values: "np.ndarray", weights: "np.ndarray") -> float:
    """The multiple of a column that is closest to the values."""
    weighed = column * weights
    return float((weighed * values * weights).sum() / (weighed**2).sum())


def _residual(fitted: "np.ndarray", values: "np.ndarray") -> float:
    return float(np.sqrt(np.mean(((fitted - values) / _weighed(values)) ** 2)))
