"""Runs an experiment: all its scenarios, variants and seeds, on all cores. A sweep can be resumed."""

import hashlib
import json
import multiprocessing
import os
import signal
from collections.abc import Callable, Iterator
from concurrent.futures import FIRST_COMPLETED, Future, ProcessPoolExecutor, wait
from dataclasses import dataclass
from pathlib import Path
from typing import Any, Literal

import msgspec
from pydantic import Field, field_validator

from irisstack.configuration import document
from irisstack.configuration.document import DocumentError, Problem, Section
from irisstack.lab import results
from irisstack.lab.baselines import POLICIES
from irisstack.lab.results import Run
from irisstack.lab.scenario import Scenario, scenario_path, with_changes
from irisstack.lab.scenario import read as read_scenario
from irisstack.lab.virtual.play import play
from irisstack.lab.world import build_world


class About(Section):
    """Name and extent of the experiment."""

    name: str = Field(pattern=r"^[a-z0-9][a-z0-9-]*$")
    asks: str = ""
    """The question that it answers."""
    scenarios: list[str] = Field(min_length=1)
    """Names of shipped scenarios, or paths relative to this file."""
    seeds: int = Field(20, ge=1)
    """Each scenario and variant is run with the seeds from 1 to this number."""


class Variant(Section):
    """One of the compared variants."""

    name: str = Field(min_length=1)
    policy: Literal["module", "one-try", "backoff", "half-open", "token-bucket", "aimd", "seer"] = "module"
    set: dict[str, Any] = {}
    """Changed keys of the scenario: `"traffic.rate" = 60.0`."""


class Experiment(Section):
    """A whole experiment file."""

    experiment: About
    variants: list[Variant] = Field(min_length=1)

    @field_validator("variants")
    @classmethod
    def _check_unique_names(cls, value: list[Variant]) -> list[Variant]:
        names = [variant.name for variant in value]
        for name in names:
            if names.count(name) > 1:
                raise ValueError(f"expected unique names, got {name!r} twice")
        return value


@dataclass(slots=True, frozen=True)
class Job:
    """One run to execute."""

    scenario: Scenario
    variant: str
    policy: str
    seed: int
    fingerprint: str

    @property
    def key(self) -> tuple[str, str, int, str]:
        return self.scenario.scenario.name, self.variant, self.seed, self.fingerprint


def read(path: Path) -> Experiment:
    """Read an experiment file; raises `DocumentError`."""
    return document.read(path, Experiment)


def build_jobs(experiment: Experiment, path: Path) -> list[Job]:
    """All runs, ordered by seed so that an interrupted sweep has complete pairs; raises `DocumentError`."""
    configurations: list[tuple[Scenario, Variant, str]] = []
    scenario_names: set[str] = set()
    for name in experiment.experiment.scenarios:
        location = scenario_path(name)
        scenario = read_scenario(location if location.is_absolute() else path.parent / location)
        if scenario.scenario.name in scenario_names:
            raise DocumentError(
                path, [Problem("experiment.scenarios", f"expected unique scenarios, got {name!r} twice")]
            )
        scenario_names.add(scenario.scenario.name)
        for variant in experiment.variants:
            variant_scenario = with_changes(scenario, variant.set, path) if variant.set else scenario
            configurations.append((variant_scenario, variant, fingerprint(variant_scenario, variant.policy)))
    return [
        Job(scenario, variant.name, variant.policy, seed, scenario_fingerprint)
        for seed in range(1, experiment.experiment.seeds + 1)
        for scenario, variant, scenario_fingerprint in configurations
    ]


def fingerprint(scenario: Scenario, policy: str) -> str:
    """A hash of everything that determines a run but its seed."""
    text = json.dumps([scenario.model_dump(), policy], sort_keys=True)
    return hashlib.sha256(text.encode()).hexdigest()[:16]


def run_job(job: Job) -> Run:
    """Run one job in virtual time."""
    world = build_world(job.scenario, job.seed)
    played = play(world, POLICIES[job.policy])
    run, _, _ = results.audit_run(
        world,
        played.ledger,
        way="model",
        policy=job.policy,
        seed=job.seed,
        variant=job.variant,
        cpu_s=played.cpu_s,
        events=played.events,
    )
    run.fingerprint = job.fingerprint
    return run


def load_runs(path: Path) -> list[Run]:
    """The runs in a results file; ignores an incomplete last line, left by a killed sweep."""
    if not path.exists():
        return []
    runs: list[Run] = []
    decoder: msgspec.json.Decoder[Run] = msgspec.json.Decoder(Run)
    lines = path.read_bytes().split(b"\n")
    for number, line in enumerate(lines, 1):
        if not line:
            continue
        try:
            runs.append(decoder.decode(line))
        except msgspec.MsgspecError as error:
            if number < len(lines):
                raise ValueError(f"{path}:{number}: {error}") from None
    return runs


def sweep(
    jobs: list[Job],
    path: Path,
    workers: int | None = None,
    progress: Callable[[int, int], None] = lambda done, total: None,
) -> Iterator[Run]:
    """Run the jobs that the file has no results for, append each result at once, and yield all results."""
    existing = {(run.scenario, run.variant, run.seed, run.fingerprint): run for run in load_runs(path)}
    missing = [job for job in jobs if job.key not in existing]
    done = len(jobs) - len(missing)
    progress(done, len(jobs))
    yield from (existing[job.key] for job in jobs if job.key in existing)
    if not missing:
        return
    path.parent.mkdir(parents=True, exist_ok=True)
    _remove_partial_line(path)
    pool = ProcessPoolExecutor(
        workers or os.cpu_count(), multiprocessing.get_context("spawn"), _ignore_sigint
    )
    encoder = msgspec.json.Encoder()
    pending: set[Future[Run]] = set()
    try:
        with path.open("ab", buffering=0) as file:
            pending = {pool.submit(run_job, job) for job in missing}
            while pending:
                completed, pending = wait(pending, return_when=FIRST_COMPLETED)
                for future in completed:
                    run = future.result()
                    file.write(encoder.encode(run) + b"\n")
                    done += 1
                    progress(done, len(jobs))
                    yield run
    finally:
        pool.shutdown(wait=True, cancel_futures=True)


def _remove_partial_line(path: Path) -> None:
    """Remove an incomplete last line, left by a killed sweep."""
    if path.exists():
        data = path.read_bytes()
        complete = data[: data.rfind(b"\n") + 1]
        if complete != data:
            path.write_bytes(complete)


def _ignore_sigint() -> None:
    """On Ctrl-C the parent process ends the sweep; a worker completes its run."""
    signal.signal(signal.SIGINT, signal.SIG_IGN)
