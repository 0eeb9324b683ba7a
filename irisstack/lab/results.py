"""The result of a run: its metrics, and its directory with scenario, metrics and ledger."""

import platform
from collections.abc import Sequence
from importlib.metadata import PackageNotFoundError, version
from pathlib import Path
from typing import Any

import msgspec
from hdrh.histogram import HdrHistogram

from irisstack.lab import ledger as records
from irisstack.lab.audit import rules, scoring
from irisstack.lab.audit.parameters import AuditParameters, audit_parameters
from irisstack.lab.scenario import Scenario
from irisstack.lab.world import World

PERCENTILES = (50.0, 90.0, 99.0, 99.9, 100.0)
MAX_DELAY_MS = 3_600_000
"""Longest delay in the histogram, in milliseconds; longer ones count as this."""
SIGNIFICANT_DIGITS = 3
"""Significant digits of the histogram."""
LIBRARIES = ("numpy", "scipy", "msgspec", "gevent")
"""Libraries whose versions are recorded with the results."""


class Run(msgspec.Struct):
    """The metrics of one run. Worth is a share from 0 to 1; times are in seconds."""

    way: str
    """`model`: in virtual time; `sockets`: with real processes on real sockets."""
    scenario: str
    variant: str
    policy: str
    seed: int
    score: float
    whole: float
    worst_window: float
    worst_class: float
    by_class: dict[str, float]
    ends: dict[str, int]
    ends_by_class: dict[str, dict[str, int]]
    asked: int
    attempts: int
    waste: float
    breaches: dict[str, int]
    effects_twice: int
    falls: int
    delays: dict[str, list[float]]
    """By class: seconds until delivery at the percentiles in `PERCENTILES`."""
    cpu_s: float
    events: int
    versions: dict[str, str]
    fingerprint: str = ""
    """Hash of the variant's scenario and policy; runs with different ones are not compared."""
    partial: bool = False
    """The run was interrupted; the metrics cover the time until then."""
    not_a_result: str = ""
    """Why the run is not a valid measurement; empty if it is."""

    @property
    def rules_kept(self) -> bool:
        return not any(self.breaches.values())


def installed_versions() -> dict[str, str]:
    """Versions of Python, this program and the libraries."""
    by_name = {"python": platform.python_version()}
    for name in ("irisstack", *LIBRARIES):
        try:
            by_name[name] = version(name)
        except PackageNotFoundError:
            by_name[name] = "unknown"
    return by_name


def percentiles(delays: Sequence[float]) -> list[float]:
    """Seconds at each of `PERCENTILES`, to a millisecond; empty without delays."""
    if not delays:
        return []
    histogram = HdrHistogram(1, MAX_DELAY_MS, SIGNIFICANT_DIGITS)
    for delay in delays:
        histogram.record_value(max(1, min(MAX_DELAY_MS, round(delay * 1000.0))))
    return [histogram.get_value_at_percentile(percent) / 1000.0 for percent in PERCENTILES]


def audit_run(
    world: World,
    entries: records.Ledger,
    *,
    way: str,
    policy: str,
    seed: int,
    variant: str = "",
    cpu_s: float = 0.0,
    events: int = 0,
) -> tuple[Run, scoring.RunScore, dict[str, list[rules.Breach]]]:
    """Audit a ledger; returns the metrics, the score and the breaches of each rule."""
    parameters: AuditParameters = audit_parameters(world)
    index = rules.build_index(entries)
    breaches = rules.check(index, parameters)
    run_score = scoring.score(index, parameters)
    run = Run(
        way,
        world.scenario.scenario.name,
        variant or policy,
        policy,
        seed,
        run_score.score,
        run_score.whole,
        run_score.worst_window,
        run_score.worst_class,
        run_score.by_class,
        run_score.ends,
        run_score.ends_by_class,
        run_score.asked,
        run_score.attempts,
        run_score.waste,
        {name: len(broken) for name, broken in breaches.items()},
        rules.count_duplicate_effects(index, parameters),
        len(index.overloads),
        {name: percentiles(delays) for name, delays in run_score.delays.items()},
        cpu_s,
        events,
        installed_versions(),
    )
    return run, run_score, breaches


def save(folder: Path, scenario: Scenario, run: Run, entries: records.Ledger) -> None:
    """Save a run's scenario, metrics and ledger; raises `OSError`."""
    folder.mkdir(parents=True, exist_ok=True)
    (folder / "scenario.json").write_bytes(_json(scenario.model_dump()))
    records.write(folder / "ledger.jsonl.gz", entries)
    (folder / "run.json").write_bytes(_json(run))


def load(folder: Path) -> Run:
    """Load a saved run; raises `OSError` or `ValueError`."""
    try:
        return msgspec.json.decode((folder / "run.json").read_bytes(), type=Run)
    except msgspec.MsgspecError as error:
        raise ValueError(f"{folder / 'run.json'}: {error}") from None


def _json(value: Any) -> bytes:
    return msgspec.json.format(msgspec.json.encode(value), indent=2) + b"\n"
