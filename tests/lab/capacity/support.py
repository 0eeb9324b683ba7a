"""Results and expectations with values of the tests' own."""

from collections.abc import Callable

from irisstack.lab.capacity.registry import Budget, ExpectedSlope, Role, Source
from irisstack.lab.capacity.result import Point, SlopeResult

SIZES = (100.0, 1_000.0, 10_000.0, 100_000.0)


def result(name: str, value: Callable[[float], float], *, sizes: tuple[float, ...] = SIZES) -> SlopeResult:
    """A result whose values follow a function of the size."""
    return SlopeResult(
        slope=name,
        title=f"the {name}",
        variable="things",
        unit="bytes",
        command=f"irisstack lab capacity measure {name}",
        commit="abc1234",
        measured_at="2026-12-02",
        machine="a machine",
        points=tuple(Point(size, value(size), 1) for size in sizes),
    )


def expected(name: str, *limits: float, target: float | None = 1_000_000.0) -> ExpectedSlope:
    """An expected slope with budgets of these limits."""
    budgets = tuple(Budget(limit, Source.OPERATORS, "a budget") for limit in limits)
    return ExpectedSlope(name, Role.NODE, f"subject of {name}", target, "things", budgets, "choice")
