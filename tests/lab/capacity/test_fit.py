"""Fits of points whose answer is known, and the targets."""

import math

import pytest

from irisstack.lab.capacity import targets
from irisstack.lab.capacity.fit import Fit, FitError, Form, fit
from irisstack.lab.capacity.result import Point
from irisstack.node import client_connection, http, list_call

SIZES = (100.0, 1_000.0, 10_000.0, 100_000.0)


def points(*values: float) -> tuple[Point, ...]:
    return tuple(Point(size, value, 1) for size, value in zip(SIZES, values, strict=True))


def test_a_line_is_found_again() -> None:
    found = fit(points(*(50.0 + 3.0 * size for size in SIZES)))
    assert found.form is Form.LINE
    assert found.constant == pytest.approx(50.0)
    assert found.factor == pytest.approx(3.0)
    assert found.residual == pytest.approx(0.0, abs=1e-9)
    assert found.at(1e6) == pytest.approx(3_000_050.0)
    assert found.size_at(3_000_050.0) == pytest.approx(1e6)


def test_a_square_is_no_line() -> None:
    found = fit(points(*(2.0 * size**2 for size in SIZES)))
    assert found.form is Form.POWER
    assert found.exponent == pytest.approx(2.0)
    assert found.size_at(200.0) == pytest.approx(10.0)


def test_the_residual_is_the_mean_relative_deviation() -> None:
    found = fit(points(90.0, 1_100.0, 9_000.0, 110_000.0))
    assert found.residual == pytest.approx(0.1, rel=0.05)


@pytest.mark.parametrize("values", [(23.0, 24.0, 22.0, 23.0), (26.0, 25.0, 24.0, 20.0)])
def test_a_cost_that_does_not_grow_never_reaches_a_budget_above_it(values: tuple[float, ...]) -> None:
    found = fit(points(*values))
    assert found.factor >= 0.0
    assert found.at(1e7) == pytest.approx(23.0, rel=0.2)
    assert found.size_at(1e6) > 1e9


def test_no_part_of_a_line_is_below_nothing() -> None:
    found = fit(points(50.0, 990.0, 10_500.0, 105_000.0))
    assert found.constant >= 0.0
    assert found.at(1.0) >= 0.0


def test_a_budget_below_the_constant_part_is_broken_from_the_first() -> None:
    assert Fit(Form.LINE, 10.0, 1.0, 1.0, 0.0).size_at(9.0) == 0.0


def test_too_few_sizes_and_values_below_nothing_are_refused() -> None:
    with pytest.raises(FitError, match="4 sizes"):
        fit(points(1.0, 2.0, 3.0, 4.0)[:3])
    with pytest.raises(FitError, match="0 or more"):
        fit(points(-1.0, 1.0, 2.0, 3.0))


def test_a_count_of_nothing_can_be_fitted() -> None:
    none = fit(points(0.0, 0.0, 0.0, 0.0))
    assert none.at(1e9) == 0.0
    assert none.size_at(1.0) == math.inf
    some = fit(points(0.0, 10.0, 100.0, 1_000.0))
    assert some.form is Form.LINE
    assert some.at(1e6) == pytest.approx(1e4, rel=0.05)


def test_copies_of_the_nodes_constants_agree_with_them() -> None:
    assert targets.LIST_BYTES_LIMIT == http.MAX_LIST
    assert targets.LIST_SILENCE_S == list_call.SILENCE_TIMEOUT_S
    assert targets.REQUEST_WHOLE_BY_S == client_connection.WHOLE_BY


def test_what_follows_from_the_targets() -> None:
    assert targets.ZONE_NODES == 105
    assert targets.REGION_NODES == 420
    assert targets.DESTINATIONS_DOWN == 1_900
    assert targets.NODE_BACKLOG_EVENTS == 10_119_047
    assert targets.SETTINGS_CHANGE_INTERVAL_S == 36.0
