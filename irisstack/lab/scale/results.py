"""Measured slopes as values and as JSON files, one for each slope."""

import json
import os
import platform
import resource
import subprocess
from collections.abc import Sequence
from dataclasses import asdict, dataclass, replace
from datetime import date
from pathlib import Path

GIB = 1 << 30


@dataclass(slots=True, frozen=True)
class Point:
    """One size and what was measured there, over so many runs."""

    size: int
    value: float
    runs: int = 1


@dataclass(slots=True, frozen=True)
class Slope:
    """A figure against the size of one variable."""

    slope: str
    title: str
    variable: str
    unit: str
    points: tuple[Point, ...]
    notes: str = ""


def slope_name(*words: object) -> str:
    """A slope's name, and that of its file, out of words."""
    return "-".join(str(word) for word in words)


def mean(values: Sequence[float]) -> float:
    """The arithmetic mean, rounded to six significant digits so that files read well."""
    return float(f"{sum(values) / len(values):.6g}")


def machine() -> str:
    """This machine in a few words."""
    memory = os.sysconf("SC_PAGE_SIZE") * os.sysconf("SC_PHYS_PAGES") / GIB
    return (
        f"{os.cpu_count()} cores, {memory:.0f} GiB, {platform.system()}, "
        f"{platform.python_implementation()} {platform.python_version()}"
    )


def commit() -> str:
    """The commit of the source tree; "unknown" outside of one."""
    folder = Path(__file__).resolve().parent
    found = subprocess.run(
        ["git", "-C", str(folder), "rev-parse", "--short", "HEAD"],
        capture_output=True,
        text=True,
        check=False,
    )
    return found.stdout.strip() or "unknown"


def write(folder: Path, slope: Slope, command: str) -> Path:
    """Write one slope as `NAME.json`; raises `OSError` where the folder cannot be written."""
    folder.mkdir(parents=True, exist_ok=True)
    fields = asdict(replace(slope, points=()))
    notes = fields.pop("notes")
    document = {
        **{key: value for key, value in fields.items() if key != "points"},
        "command": command,
        "commit": commit(),
        "measured_at": date.today().isoformat(),
        "machine": machine(),
        "points": [asdict(point) for point in slope.points],
        "notes": notes,
    }
    path = folder / f"{slope.slope}.json"
    path.write_text(json.dumps(document, indent=1) + "\n")
    return path


def read(path: Path) -> Slope:
    """A slope from its file; raises `OSError`, `ValueError`, `KeyError` or `TypeError` for any other file."""
    document = json.loads(path.read_text())
    points = tuple(Point(**point) for point in document["points"])
    slope, title, variable, unit = (document[key] for key in ("slope", "title", "variable", "unit"))
    return Slope(slope, title, variable, unit, points, document["notes"])


def peak_memory_mb() -> float:
    """The most memory that this process has had resident, in MB."""
    return resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1000.0
