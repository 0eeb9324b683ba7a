"""Runs a measurement: a fresh process for each run, one at a time, and the median of each size's runs."""

import os
import platform
import statistics
import subprocess
from collections.abc import Callable, Mapping, Sequence
from concurrent.futures import ProcessPoolExecutor
from datetime import UTC, datetime
from multiprocessing import get_context
from pathlib import Path

from irisstack.lab.capacity.measurements.measurement import Measurement
from irisstack.lab.capacity.result import Point, SlopeResult

Values = Mapping[str, float]


def run(measurement: Measurement, progress: Callable[[int, int], None]) -> list[SlopeResult]:
    """Measure at every size; `progress` is told the size and the run that begin."""
    taken: dict[int, list[Values]] = {}
    for size in measurement.sizes:
        for number in range(measurement.runs):
            progress(size, number + 1)
            taken.setdefault(size, []).append(_in_own_process(measurement, size))
    return results(measurement, taken)


def results(measurement: Measurement, taken: Mapping[int, Sequence[Values]]) -> list[SlopeResult]:
    """A result for each of the measurement's slopes from the values that its runs gave."""
    commit, machine = commit_now(), machine_now()
    today = datetime.now(UTC).date().isoformat()
    return [
        SlopeResult(
            slope=slope.name,
            title=slope.title,
            variable=measurement.variable,
            unit=slope.unit,
            command=measurement.command or f"irisstack lab capacity measure {measurement.name}",
            commit=commit,
            measured_at=today,
            machine=machine,
            points=tuple(
                _point(size, [values[slope.name] for values in runs]) for size, runs in taken.items()
            ),
            notes=measurement.notes,
        )
        for slope in measurement.slopes
    ]


def _point(size: int, values: list[float]) -> Point:
    return Point(float(size), float(statistics.median(values)), len(values))


def _in_own_process(measurement: Measurement, size: int) -> Values:
    """One run in a new interpreter, so that nothing of an earlier one is left in memory."""
    with ProcessPoolExecutor(max_workers=1, mp_context=get_context("spawn")) as pool:
        return pool.submit(measurement.measure, size).result()


def machine_now() -> str:
    """This machine, in the words of a result file."""
    memory = os.sysconf("SC_PAGE_SIZE") * os.sysconf("SC_PHYS_PAGES") / 2**30
    cores, system = os.cpu_count(), platform.system()
    usable = len(os.sched_getaffinity(0))
    python = f"{platform.python_implementation()} {platform.python_version()}"
    return f"{usable} of {cores} cores, {memory:.0f} GiB, {system}, {python}"


def commit_now() -> str:
    """The short name of the commit that the package stands at; `unknown` outside a checkout."""
    try:
        asked = subprocess.run(
            ["git", "rev-parse", "--short", "HEAD"],
            cwd=Path(__file__).parent,
            capture_output=True,
            text=True,
            check=True,
        )
    except (OSError, subprocess.CalledProcessError):
        return "unknown"
    return asked.stdout.strip()
