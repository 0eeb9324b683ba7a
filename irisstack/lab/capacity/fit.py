"""Least-squares fits of measured points: a straight line, or a power where that is clearly closer.

Both are fitted to relative deviations, so that the smallest size counts as much as the largest. A value of
0, which counts may have, is weighed as if it were a hundredth of the largest. Pure.

Sums and quotients are exact fractions, logarithms and powers decimals of `DIGITS` digits, so that the results
are the same on every machine: binary ones differ in their last digits between processors and libraries.
"""

import math
from collections.abc import Sequence
from dataclasses import dataclass
from decimal import Context, Decimal, DecimalException
from enum import Enum, auto
from fractions import Fraction

from irisstack.lab.capacity.result import LEAST_SIZES, Point

NOTHING_WEIGHED_AS = Fraction(1, 100)
DIGITS = 28
"""Significant decimal digits of logarithms and powers, more than a binary float holds."""
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
        return self.constant + self.factor * power(size, self.exponent)

    def size_at(self, value: float) -> float:
        """The size at which the fitted value reaches `value`: 0 if it is above it from the first, else
        infinite if it never does."""
        if value <= self.constant:
            return 0.0
        if self.factor <= 0.0:
            return math.inf
        try:
            return power((value - self.constant) / self.factor, 1.0 / self.exponent)
        except ZeroDivisionError:
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
    sizes, values = _fractions(points)
    weights = [1 / weighed for weighed in _weighed(values)]
    ones = [Fraction(1)] * len(values)
    constant, factor = _best_line(sizes, values, weights)
    if constant < 0:  # nothing costs less than nothing: the best line through the origin then
        constant, factor = Fraction(0), _best_multiple(sizes, values, weights)
    elif factor < 0:  # a cost does not fall with size: what looks so is noise about a constant
        constant, factor = _best_multiple(ones, values, weights), Fraction(0)
    fitted = [constant + factor * size for size in sizes]
    return Fit(Form.LINE, float(constant), float(factor), 1.0, _residual(fitted, values))


def fit_power(points: Sequence[Point]) -> Fit:
    """The power that is a straight line of least squares through the points' logarithms."""
    sizes, values = _fractions(points)
    context = Context(prec=DIGITS)
    log_sizes, log_values = (
        [Fraction(context.ln(Decimal(float(number)))) for number in numbers] for numbers in (sizes, values)
    )
    logarithm, exponent = _best_line(log_sizes, log_values, [Fraction(1)] * len(points))
    factor = float(context.exp(Decimal(float(logarithm))))
    fitted = [Fraction(factor * power(float(size), float(exponent))) for size in sizes]
    return Fit(Form.POWER, 0.0, factor, float(exponent), _residual(fitted, values))


def power(base: float, exponent: float) -> float:
    """A power of a base of 0 or more, the same on every machine; infinite if no float can hold it."""
    if exponent == 1.0 or base == 0.0:
        return base
    try:
        return float(Context(prec=DIGITS).power(Decimal(base), Decimal(exponent)))
    except (DecimalException, OverflowError):
        return math.inf


def _fractions(points: Sequence[Point]) -> tuple[list[Fraction], list[Fraction]]:
    """Sizes and values as exact fractions."""
    return [Fraction(point.size) for point in points], [Fraction(point.value) for point in points]


def _weighed(values: Sequence[Fraction]) -> list[Fraction]:
    largest = max(values)
    return [value if value > 0 else NOTHING_WEIGHED_AS * largest for value in values]


def _best_line(
    sizes: Sequence[Fraction], values: Sequence[Fraction], weights: Sequence[Fraction]
) -> tuple[Fraction, Fraction]:
    """The constant and the factor of the line that is closest to the weighed values."""
    squares = [weight * weight for weight in weights]
    total = sum(squares)
    mean_size = _sum_of_products(squares, sizes) / total
    mean_value = _sum_of_products(squares, values) / total
    offsets = [size - mean_size for size in sizes]
    spread = _sum_of_products(squares, [offset * offset for offset in offsets])
    covariance = _sum_of_products(
        squares, [offset * (value - mean_value) for offset, value in zip(offsets, values, strict=True)]
    )
    factor = covariance / spread if spread else Fraction(0)
    return mean_value - factor * mean_size, factor


def _best_multiple(
    column: Sequence[Fraction], values: Sequence[Fraction], weights: Sequence[Fraction]
) -> Fraction:
    """The multiple of a column that is closest to the values."""
    weighed_column = [entry * weight for entry, weight in zip(column, weights, strict=True)]
    weighed_values = [value * weight for value, weight in zip(values, weights, strict=True)]
    return _sum_of_products(weighed_column, weighed_values) / _sum_of_products(weighed_column, weighed_column)


def _sum_of_products(left: Sequence[Fraction], right: Sequence[Fraction]) -> Fraction:
    return sum((one * other for one, other in zip(left, right, strict=True)), Fraction(0))


def _residual(fitted: Sequence[Fraction], values: Sequence[Fraction]) -> float:
    deviations = [
        (found - value) / weighed
        for found, value, weighed in zip(fitted, values, _weighed(values), strict=True)
    ]
    return math.sqrt(float(_sum_of_products(deviations, deviations) / len(deviations)))
