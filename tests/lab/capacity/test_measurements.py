"""Measurements at tiny sizes: each gives a value for every slope that it names. No value is judged here."""

import math
from pathlib import Path

import pytest

from benchmarks import list_reader, owed_messages
from irisstack.lab.capacity import runner
from irisstack.lab.capacity.measurements import MEASUREMENTS, module_memory, module_time, node_list
from irisstack.lab.capacity.measurements.measurement import MeasuredSlope, Measurement
from irisstack.lab.capacity.registry import EXPECTED
from irisstack.lab.capacity.result import LEAST_SIZES, Point
from irisstack.node.store import Store

ALL = (*MEASUREMENTS.values(), *owed_messages.MEASUREMENTS, list_reader.MEASUREMENT)
QUICK = (*module_memory.MEASUREMENTS, *module_time.MEASUREMENTS)
REAL = (*node_list.MEASUREMENTS, *owed_messages.MEASUREMENTS, list_reader.MEASUREMENT)
DECADE = 10.0


@pytest.mark.parametrize("measurement", [*QUICK, *REAL], ids=lambda m: m.name)
def test_a_measurement_gives_every_slope_that_it_names(measurement: Measurement) -> None:
    values = measurement.measure(12)
    assert set(values) == {slope.name for slope in measurement.slopes}
    assert all(math.isfinite(value) and value > 0.0 for value in values.values())


@pytest.mark.parametrize("measurement", ALL, ids=lambda m: m.name)
def test_sizes_are_enough_for_a_fit_and_spread_over_more_than_a_decade(measurement: Measurement) -> None:
    assert len(set(measurement.sizes)) >= LEAST_SIZES
    assert max(measurement.sizes) >= DECADE * min(measurement.sizes)


def test_every_slope_that_can_be_measured_here_is_expected_by_name() -> None:
    expected = {slope.name for slope in EXPECTED}
    assert {slope.name for measurement in ALL for slope in measurement.slopes} <= expected


def twice(size: int) -> dict[str, float]:
    return {"a": 2.0 * size, "b": 3.0 * size}


def test_a_run_is_a_process_of_its_own_and_a_point_the_median_of_its_runs() -> None:
    slopes = (MeasuredSlope("a", "the a", "bytes"), MeasuredSlope("b", "the b", "seconds"))
    measurement = Measurement("both", "things", slopes, (1, 10), 2, twice, "as noted")
    told: list[tuple[int, int]] = []
    first, second = runner.run(measurement, lambda size, run: told.append((size, run)))
    assert told == [(1, 1), (1, 2), (10, 1), (10, 2)]
    assert first.points == (Point(1.0, 2.0, 2), Point(10.0, 20.0, 2))
    assert (second.slope, second.unit, second.notes) == ("b", "seconds", "as noted")
    assert first.command == "irisstack lab capacity measure both"
    taken = {5: [{"a": 9.0, "b": 1.0}, {"a": 1.0, "b": 1.0}, {"a": 2.0, "b": 1.0}]}
    assert runner.results(measurement, taken)[0].points == (Point(5.0, 2.0, 3),)


def test_a_filled_folder_owes_what_it_was_filled_with(tmp_path: Path) -> None:
    owed_messages.write_pending_messages(tmp_path, 2_500)
    store = Store(tmp_path, owed_messages.disk_bytes(2_500))
    assert sum(entry.pending for entry in store.entries.values()) == 2_500
    store.close()
