"""Results joined with the registry: what is missing, what is unknown, and the order of the ranking."""

import math

import pytest

from irisstack.lab.capacity import units
from irisstack.lab.capacity.curve import Bound
from irisstack.lab.capacity.outlook import join, percent
from irisstack.lab.capacity.registry import EXPECTED
from tests.lab.capacity.support import expected, result


def test_the_row_that_breaks_first_comes_first() -> None:
    found = join(
        {
            "roomy": result("roomy", lambda size: size),
            "tight": result("tight", lambda size: 10.0 * size),
        },
        [expected("roomy", 2e6), expected("tight", 5e6)],
    )
    assert [row.outlook.result.slope for row in found.rows] == ["tight", "roomy"]
    assert [row.breaking_fraction for row in found.rows] == [pytest.approx(0.5), pytest.approx(2.0)]
    assert [row.breaks_before_target for row in found.rows] == [True, False]
    assert found.rows[0].outlook.factor == pytest.approx(10.0)
    assert found.rows[0].outlook.at_target == pytest.approx(1e7)


def test_a_curve_that_falls_again_breaks_before_the_target_but_is_not_over_at_it() -> None:
    hump = {100.0: 1.0, 1_000.0: 9.0, 10_000.0: 4.0, 100_000.0: 3.0}
    found = join({"a": result("a", hump.__getitem__)}, [expected("a", 5.0, target=100_000.0)])
    assert found.rows[0].breaking_fraction == pytest.approx(0.0055)
    assert found.rows[0].breaks_before_target
    assert not found.rows[0].over_at_target


def test_each_budget_of_a_slope_is_a_row() -> None:
    found = join({"a": result("a", lambda size: size)}, [expected("a", 1e5, 1e7)])
    assert [row.breaking_fraction for row in found.rows] == [pytest.approx(0.1), pytest.approx(10.0)]


def test_a_slope_without_a_file_is_missing_and_not_guessed() -> None:
    found = join({}, [expected("absent", 1.0)])
    assert [slope.name for slope in found.missing] == ["absent"]
    assert not found.rows
    assert not found.measured


def test_a_pattern_takes_up_every_result_that_it_matches() -> None:
    results = {name: result(name, lambda size: size) for name in ("list-a-seconds-x", "list-b-seconds-y")}
    found = join(results, [expected("list-*-seconds-*", 1e6)])
    assert [row.outlook.result.slope for row in found.rows] == list(results)
    assert not found.missing


def test_a_result_that_nobody_expected_is_shown_without_a_budget() -> None:
    found = join({"new": result("new", lambda size: size)}, [])
    assert [outlook.expected for outlook in found.measured] == [None]
    assert not found.rows


def test_without_a_target_size_a_row_comes_last_and_has_no_part_of_it() -> None:
    results = {name: result(name, lambda size: size) for name in ("a", "b")}
    found = join(results, [expected("a", 1.0, target=None), expected("b", 1e9)])
    assert [row.breaking_fraction for row in found.rows] == [pytest.approx(1_000.0), None]


def test_too_few_sizes_are_no_slope() -> None:
    found = join({"a": result("a", lambda size: size, sizes=(1.0, 2.0, 3.0))}, [expected("a", 1.0)])
    assert found.measured[0].curve is None
    assert "4 sizes" in found.measured[0].problem
    assert not found.rows


def test_no_slope_is_expected_twice() -> None:
    names = [slope.name for slope in EXPECTED]
    assert len(set(names)) == len(names)


def test_parts_of_the_target_as_read() -> None:
    assert [percent(f) for f in (0.0123, 0.5, 1.02, math.inf)] == ["1.23%", "50%", "102%", "does not break"]
    assert percent(0.01, Bound.AT_MOST) == "at most 1.00%"
    assert percent(1.0, Bound.MORE_THAN) == "more than 100%"


@pytest.mark.parametrize(
    ("value", "unit", "read"),
    [
        (256e6, "bytes", "256 MB"),
        (104_857_600.0, "bytes", "105 MB"),
        (11_000.0, "bytes/s", "11 KB/s"),
        (23e-6, "seconds", "23 us"),
        (0.0042, "s", "4.2 ms"),
        (130.0, "s", "2.17 min"),
        (0.034, "cores", "0.034 cores"),
        (1_900.0, "calls", "1,900 calls"),
        (0.0, "calls", "0 calls"),
    ],
)
def test_quantities_as_read(value: float, unit: str, read: str) -> None:
    assert units.quantity(value, unit) == read
