"""Measured slopes as Markdown tables: one for each variable and set of sizes, a row for each slope."""

from collections.abc import Iterable, Iterator, Sequence

from irisstack.lab.scale.results import Slope

SIGNIFICANT_DIGITS = 4


def markdown(slopes: Iterable[Slope]) -> str:
    """The tables one after another, in the order of the first slope of each."""
    groups: dict[tuple[str, tuple[int, ...]], list[Slope]] = {}
    for slope in slopes:
        sizes = tuple(point.size for point in slope.points)
        groups.setdefault((slope.variable, sizes), []).append(slope)
    return "\n".join("\n".join(_table(*key, group)) + "\n" for key, group in groups.items())


def _table(variable: str, sizes: Sequence[int], slopes: Sequence[Slope]) -> Iterator[str]:
    yield _row([f"slope, against {variable}", "unit", *(f"{size:,}" for size in sizes)])
    yield _row(["---", "---", *("---:" for _ in sizes)])
    for slope in slopes:
        yield _row([f"`{slope.slope}`", slope.unit, *(number(point.value) for point in slope.points)])


def _row(cells: Sequence[str]) -> str:
    return f"| {' | '.join(cells)} |"


def number(value: float) -> str:
    """A value with four significant digits, or as a whole number with commas where it has more."""
    if abs(value) >= 10 ** (SIGNIFICANT_DIGITS - 1):
        return f"{value:,.0f}"
    return f"{value:.{SIGNIFICANT_DIGITS}g}"
