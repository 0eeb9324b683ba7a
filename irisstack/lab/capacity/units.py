"""Quantities as a person reads them. Pure."""

import math

SECOND_UNITS = ("s", "seconds")
BYTE_UNITS = ("bytes", "bytes/s")
_BYTE_STEPS = ((1e12, "TB"), (1e9, "GB"), (1e6, "MB"), (1e3, "KB"))
_SECOND_STEPS = ((86_400.0, "days"), (3_600.0, "h"), (60.0, "min"), (1.0, "s"), (1e-3, "ms"))
LEAST_WITHOUT_EXPONENT = 0.001


def quantity(value: float, unit: str) -> str:
    """A value with its unit, to three significant digits."""
    if unit in SECOND_UNITS:
        return _seconds(value)
    if unit in BYTE_UNITS:
        return _bytes(value) + ("/s" if unit.endswith("/s") else "")
    return f"{number(value)} {unit}".strip()


def number(value: float) -> str:
    """A bare number, to three significant digits, with commas."""
    if math.isinf(value):
        return "unlimited"
    if value != 0.0 and abs(value) < LEAST_WITHOUT_EXPONENT:
        return f"{value:.2e}"
    if abs(value) >= 100.0:
        digits = max(0, math.floor(math.log10(abs(value))) - 2)
        return f"{round(value, -digits):,.0f}"
    return f"{value:.3g}"


def _bytes(value: float) -> str:
    for step, name in _BYTE_STEPS:
        if value >= step:
            return f"{number(value / step)} {name}"
    return f"{number(value)} B"


def _seconds(value: float) -> str:
    for step, name in _SECOND_STEPS:
        if value >= step:
            return f"{number(value / step)} {name}"
    return f"{number(value * 1e6)} us"
