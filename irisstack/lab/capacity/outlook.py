"""Results joined with the registry: every expected slope with what was measured, and the ranking. Pure."""

import math
from collections.abc import Iterator, Mapping, Sequence
from dataclasses import dataclass
from fnmatch import fnmatchcase

from irisstack.lab.capacity.curve import Bound, Crossing, Curve, curve
from irisstack.lab.capacity.fit import FitError
from irisstack.lab.capacity.registry import Budget, ExpectedSlope
from irisstack.lab.capacity.result import SlopeResult

FAR_BEYOND = 100.0
"""Times the target size beyond which a breaking point is no figure any more."""


@dataclass(slots=True, frozen=True)
class MeasuredOutlook:
    """A result with its curve and, where the registry knows it, what it is expected for."""

    result: SlopeResult
    curve: Curve | None
    """`None` where nothing can be fitted, for `problem`."""
    problem: str
    expected: ExpectedSlope | None

    @property
    def target_size(self) -> float | None:
        return None if self.expected is None else self.expected.target_size

    @property
    def factor(self) -> float | None:
        """Target size over the largest size measured; up to 1 the target lies within what was measured."""
        if self.curve is None or self.target_size is None:
            return None
        return self.target_size / self.curve.largest_size

    @property
    def at_target(self) -> float | None:
        """The value at the target size."""
        if self.curve is None or self.target_size is None:
            return None
        return self.curve.at(self.target_size)


@dataclass(slots=True, frozen=True)
class Row:
    """One measured slope held against one budget, for the ranking."""

    outlook: MeasuredOutlook
    budget: Budget
    crossing: Crossing
    """Where the budget is reached."""

    @property
    def breaking_fraction(self) -> float | None:
        """The crossing as a part of the target size; `None` where there is no target size."""
        target = self.outlook.target_size
        return None if target is None else self.crossing.size / target

    @property
    def breaks_before_target(self) -> bool:
        fraction = self.breaking_fraction
        return fraction is not None and fraction < 1.0

    @property
    def over_at_target(self) -> bool:
        """Whether the value at the target size is over; a curve that falls again may break before it only."""
        value = self.outlook.at_target
        return value is not None and value > self.budget.limit


@dataclass(slots=True, frozen=True)
class Outlook:
    """All that the page shows."""

    measured: tuple[MeasuredOutlook, ...]
    """In the registry's order; results that it does not know come last."""
    missing: tuple[ExpectedSlope, ...]
    rows: tuple[Row, ...]
    """Those with a breaking fraction, smallest first; then those without a target size."""

    def find(self, name: str) -> MeasuredOutlook | None:
        """The measured slope of that name."""
        return next((outlook for outlook in self.measured if outlook.result.slope == name), None)


def join(results: Mapping[str, SlopeResult], registry: Sequence[ExpectedSlope]) -> Outlook:
    """Match results to the registry, fit them, and rank them by where their budgets are reached."""
    left = dict(results)
    measured: list[MeasuredOutlook] = []
    missing: list[ExpectedSlope] = []
    for expected in registry:
        names = [name for name in left if fnmatchcase(name, expected.name)]
        if not names:
            missing.append(expected)
        measured.extend(_measured(left.pop(name), expected) for name in names)
    measured.extend(_measured(result, None) for result in left.values())
    rows = [row for outlook in measured for row in _rows(outlook)]
    rows.sort(key=lambda row: (row.breaking_fraction is None, row.breaking_fraction or 0.0, _name(row)))
    return Outlook(tuple(measured), tuple(missing), tuple(rows))


def _name(row: Row) -> str:
    return row.outlook.result.slope


def _measured(result: SlopeResult, expected: ExpectedSlope | None) -> MeasuredOutlook:
    try:
        return MeasuredOutlook(result, curve(result.points), "", expected)
    except FitError as error:
        return MeasuredOutlook(result, None, str(error), expected)


def _rows(outlook: MeasuredOutlook) -> Iterator[Row]:
    expected, found = outlook.expected, outlook.curve
    if expected is None or found is None:
        return
    for budget in expected.budgets:
        yield Row(outlook, budget, found.crossing(budget.limit))


def percent(fraction: float, bound: Bound = Bound.EXACT) -> str:
    """A part of the target size as a person reads it."""
    if math.isinf(fraction):
        return "does not break"
    if fraction > FAR_BEYOND:
        return f"over {FAR_BEYOND:.0f} times"
    text = f"{fraction:.2%}" if fraction < 0.1 else f"{fraction:.0%}"
    return bounded(text, bound)


def bounded(text: str, bound: Bound) -> str:
    """A figure with what it is known to be."""
    words = {Bound.EXACT: "", Bound.AT_MOST: "at most ", Bound.MORE_THAN: "more than "}
    return words[bound] + text
