"""A measured slope as a file: one JSON object in `docs/measurements/capacity/NAME.json`."""

from pathlib import Path

import msgspec

LEAST_SIZES = 4
"""Sizes below which a slope is not extrapolated."""


class ResultError(Exception):
    """A result file that cannot be used; the text begins with its path."""


class Point(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The value measured at one size."""

    size: float
    value: float
    """The median of the runs."""
    runs: int


class SlopeResult(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """What one measurement gave, at several sizes."""

    slope: str
    """The name that the registry knows it by, which is also the file's."""
    title: str
    variable: str
    unit: str
    command: str
    commit: str
    measured_at: str
    machine: str
    points: tuple[Point, ...]
    notes: str = ""


def load(path: Path) -> SlopeResult:
    """Read one result file; raises `ResultError`."""
    try:
        found: SlopeResult = msgspec.json.decode(path.read_bytes(), type=SlopeResult)
    except OSError as error:
        raise ResultError(f"{path}: cannot be read: {error.strerror}") from None
    except msgspec.DecodeError as error:
        raise ResultError(f"{path}: {error}") from None
    if found.slope != path.stem:
        raise ResultError(f"{path}: slope: {path.stem!r} is due, as the file is named, not {found.slope!r}")
    sizes = [point.size for point in found.points]
    if not sizes or min(sizes) <= 0.0 or len(set(sizes)) < len(sizes):
        raise ResultError(f"{path}: points: sizes above 0, each once, are due")
    return found


def load_all(folder: Path) -> dict[str, SlopeResult]:
    """Every result of a folder by its slope's name; raises `ResultError` at the first bad file."""
    return {path.stem: load(path) for path in sorted(folder.glob("*.json"))}


def save(folder: Path, result: SlopeResult) -> Path:
    """Write one result file and return its path; raises `OSError`."""
    folder.mkdir(parents=True, exist_ok=True)
    path = folder / f"{result.slope}.json"
    path.write_bytes(msgspec.json.format(msgspec.json.encode(result), indent=2) + b"\n")
    return path
