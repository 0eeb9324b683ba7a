"""Values and breaking points: from the points within their range, from the fit beyond it."""

import math

import pytest

from irisstack.lab.capacity.curve import curve
from irisstack.lab.capacity.result import Point


def points(*values: float) -> tuple[Point, ...]:
    return tuple(Point(10.0**i, value, 1) for i, value in enumerate(values, start=1))


def test_a_curve_that_levels_off_is_as_measured_within_its_range() -> None:
    found = curve(points(1.0, 4.0, 5.0, 5.1))
    assert found.at(10_000.0) == pytest.approx(5.1)
    assert found.at(550.0) == pytest.approx(4.5)


def test_a_budget_is_reached_where_the_points_cross_it() -> None:
    found = curve(points(1.0, 4.0, 5.0, 5.1))
    assert found.size_at(4.5) == pytest.approx(550.0)


def test_a_budget_that_no_point_reaches_is_not_reached_within_the_range() -> None:
    found = curve(points(1.0, 4.0, 5.0, 5.1))
    assert found.fit.size_at(5.2) < 10_000.0 <= found.size_at(5.2)


def test_beyond_the_points_the_fit_counts() -> None:
    found = curve(points(10.0, 100.0, 1_000.0, 10_000.0))
    assert found.at(1e6) == pytest.approx(1e6)
    assert found.size_at(1e6) == pytest.approx(1e6)


def test_a_budget_below_the_first_point_is_reached_before_it() -> None:
    found = curve(points(10.0, 100.0, 1_000.0, 10_000.0))
    assert found.size_at(5.0) == pytest.approx(5.0)


def test_a_level_cost_never_reaches_a_budget_above_it() -> None:
    assert curve(points(5.0, 5.0, 5.0, 5.0)).size_at(6.0) == math.inf


def test_the_order_in_which_points_were_measured_does_not_matter() -> None:
    assert curve(points(1.0, 2.0, 3.0, 4.0)[::-1]).points[0].size == 10.0
