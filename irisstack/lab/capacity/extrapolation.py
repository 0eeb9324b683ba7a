"""A slope carried to the size to plan for, and held against its budget. Pure."""

import math
from dataclasses import dataclass

from irisstack.lab.capacity.fit import Fit, fit
from irisstack.lab.capacity.result import SlopeResult


@dataclass(slots=True, frozen=True)
class Extrapolation:
    """What a slope gives at the target size."""

    fit: Fit
    factor: float
    """Target size over the largest size measured."""
    value: float
    """At the target size."""
    breaking_fraction: float | None
    """The part of the target size at which the budget is reached; infinite if it never is, `None` where no
    budget is set."""

    @property
    def over_budget(self) -> bool:
        return self.breaking_fraction is not None and self.breaking_fraction < 1.0


def extrapolate(result: SlopeResult, target_size: float, budget: float | None) -> Extrapolation:
    """Carry a result to a size; raises `FitError`."""
    fitted = fit(result.points)
    largest = max(point.size for point in result.points)
    breaking = None if budget is None else fitted.size_at(budget) / target_size
    return Extrapolation(fitted, target_size / largest, fitted.at(target_size), breaking)


def percent(fraction: float) -> str:
    """A breaking fraction as a person reads it."""
    if math.isinf(fraction):
        return "does not break"
    if fraction > 100.0:
        return "over 100 times the target"
    return f"{fraction:.2%}" if fraction < 0.1 else f"{fraction:.0%}"
