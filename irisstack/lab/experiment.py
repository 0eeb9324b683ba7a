"""An experiment: scenarios, variants and seeds, played on all cores, resumable, and kept line by line."""

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
    """What the experiment is."""

    name: str = Field(pattern=r"^[a-z0-9][a-z0-9-]*$")
    asks: str = ""
    """The question it is to answer."""
    scenarios: list[str] = Field(min_length=1)
    """Names of shipped scenarios, or paths beside this file."""
    seeds: int = Field(20, ge=1)
    """Each scenario and variant is played with seeds 1 to this."""


class Variant(Section):
    """One of the things compared."""

    name: str = Field(min_length=1)
    policy: Literal["module", "one-try", "backoff", "half-open", "token-bucket", "aimd", "seer"] = "module"
    set: dict[str, Any] = {}
    """Keys of the scenario that are other here: `"traffic.rate" = 60.0`."""


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
                raise ValueError(f"the name {name!r} stands twice")
        return value


@dataclass(slots=True, frozen=True)
class Job:
    """One run to be played."""

    scenario: Scenario
    variant: str
    policy: str
    seed: int
    fingerprint: str

    @property
    def key(self) -> tuple[str, str, int, str]:
        return self.scenario.scenario.name, self.variant, self.seed, self.fingerprint


def read(path: Path) -> Experiment:
    """The experiment in a file; raises `DocumentError`."""
    return document.read(path, Experiment)


def build_jobs(experiment: Experiment, path: Path) -> list[Job]:
    """All runs, seed by seed, so that an interrupted sweep has whole pairs; raises `DocumentError`."""
    configurations: list[tuple[Scenario, Variant, str]] = []
    scenario_names: set[str] = set()
    for name in experiment.experiment.scenarios:
        location = scenario_path(name)
        scenario = read_scenario(location if location.is_absolute() else path.parent / location)
        if scenario.scenario.name in scenario_names:
            raise DocumentError(path, [Problem("experiment.scenarios", f"{name!r} stands twice")])
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
    """Runs with the same one were asked for by the same words."""
    text = json.dumps([scenario.model_dump(), policy], sort_keys=True)
    return hashlib.sha256(text.encode()).hexdigest()[:16]


def run_job(job: Job) -> Run:
    """Play one run in virtual time."""
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
    """The runs in a file of results; a last line that was cut off by a kill is passed over."""
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
    """Play what a file of results lacks, and append each run to it as it ends."""
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
    """Cut off half a line that a killed sweep has left."""
    if path.exists():
        data = path.read_bytes()
        complete = data[: data.rfind(b"\n") + 1]
        if complete != data:
            path.write_bytes(complete)


def _ignore_sigint() -> None:
    """Ctrl-C ends the sweep by its parent; a worker brings its run to an end."""
    signal.signal(signal.SIGINT, signal.SIG_IGN)
