"""Values and breaking points: from the points within their range, from the fit beyond it."""

import math

import pytest

from irisstack.lab.capacity.curve import Bound, Crossing, curve
from irisstack.lab.capacity.result import Point


def points(*values: float) -> tuple[Point, ...]:
    return tuple(Point(10.0**i, value, 1) for i, value in enumerate(values, start=1))


def test_a_curve_that_levels_off_is_as_measured_within_its_range() -> None:
    found = curve(points(1.0, 4.0, 5.0, 5.1))
    assert found.at(10_000.0) == pytest.approx(5.1)
    assert found.at(550.0) == pytest.approx(4.5)


def test_a_budget_is_reached_where_the_points_cross_it() -> None:
    found = curve(points(1.0, 4.0, 5.0, 5.1))
    assert found.crossing(4.5).size == pytest.approx(550.0)
    assert found.crossing(4.5).bound is Bound.EXACT


def test_a_budget_that_no_point_reaches_is_not_reached_within_the_range() -> None:
    found = curve(points(1.0, 4.0, 5.0, 5.1))
    assert found.fit.size_at(5.2) < 10_000.0
    assert found.crossing(5.2) == Crossing(10_000.0, Bound.MORE_THAN)


def test_beyond_the_points_the_fit_counts() -> None:
    found = curve(points(10.0, 100.0, 1_000.0, 10_000.0))
    assert found.at(1e6) == pytest.approx(1e6)
    assert found.crossing(1e6).size == pytest.approx(1e6)


def test_a_budget_below_the_first_point_is_reached_there_at_the_latest() -> None:
    found = curve(points(10.0, 100.0, 1_000.0, 10_000.0))
    assert found.crossing(5.0) == Crossing(10.0, Bound.AT_MOST)


def test_a_level_cost_never_reaches_a_budget_above_it() -> None:
    assert curve(points(5.0, 5.0, 5.0, 5.0)).crossing(6.0).size == math.inf


def test_the_order_in_which_points_were_measured_does_not_matter() -> None:
    assert curve(points(1.0, 2.0, 3.0, 4.0)[::-1]).points[0].size == 10.0
