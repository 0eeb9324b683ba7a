"""What a measurement is: a function of one size, run several times at each of several sizes."""

from collections.abc import Callable, Mapping
from dataclasses import dataclass


@dataclass(slots=True, frozen=True)
class MeasuredSlope:
    """One of the slopes that a measurement gives."""

    name: str
    title: str
    unit: str


@dataclass(slots=True, frozen=True)
class Measurement:
    """One measurement. Its function runs in a process of its own and returns a value for each slope."""

    name: str
    variable: str
    """What `size` counts."""
    slopes: tuple[MeasuredSlope, ...]
    sizes: tuple[int, ...]
    runs: int
    measure: Callable[[int], Mapping[str, float]]
    notes: str = ""
    command: str = ""
    """What gives it, where that is not `irisstack lab capacity measure NAME`."""
