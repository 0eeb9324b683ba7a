"""Experiments: resumed sweeps, comparisons with confidence intervals, and self-contained pages."""

import re
from pathlib import Path

import msgspec
import pytest

from irisstack.configuration.document import DocumentError
from irisstack.lab import compare, experiment, results, sweep_page
from irisstack.lab.results import Run
from tests.lab.support import SMALL_SCENARIO

EXPERIMENT = """
[experiment]
name = "two"
scenarios = ["small.toml"]
seeds = 3

[[variants]]
name = "module"

[[variants]]
name = "busier"
set = { "traffic.rate" = 30.0 }
"""


def plan_jobs(folder: Path, text: str = EXPERIMENT) -> list[experiment.Job]:
    (folder / "small.toml").write_text(SMALL_SCENARIO)
    (folder / "two.toml").write_text(text)
    return experiment.build_jobs(experiment.read(folder / "two.toml"), folder / "two.toml")


def test_a_killed_sweep_is_resumed_and_workers_do_not_change_results(tmp_path: Path) -> None:
    jobs, path = plan_jobs(tmp_path), tmp_path / "runs.jsonl"
    full_sweep = {run.seed * 10 + (run.variant == "busier"): run for run in experiment.sweep(jobs, path, 2)}
    assert len(full_sweep) == 6
    lines = path.read_bytes().splitlines(keepends=True)
    path.write_bytes(lines[0] + lines[1] + lines[2][:40])  # killed in the middle of a line
    progress: list[tuple[int, int]] = []
    resumed = list(experiment.sweep(jobs, path, 1, lambda done, total: progress.append((done, total))))
    assert progress[0] == (2, 6)
    assert progress[-1] == (6, 6)
    assert len(experiment.load_runs(path)) == 6
    for run in resumed:
        original = full_sweep[run.seed * 10 + (run.variant == "busier")]
        assert (run.score, run.ends, run.attempts) == (original.score, original.ends, original.attempts)


def test_a_changed_scenario_has_another_fingerprint(tmp_path: Path) -> None:
    fingerprints = {job.fingerprint for job in plan_jobs(tmp_path)}
    changed = plan_jobs(tmp_path, EXPERIMENT.replace("30.0", "31.0"))
    assert len(fingerprints) == 2
    assert len({job.fingerprint for job in changed} & fingerprints) == 1


def test_an_invalid_line_before_the_last_is_reported(tmp_path: Path) -> None:
    (tmp_path / "runs.jsonl").write_bytes(b"{}\n{}\n")
    with pytest.raises(ValueError, match=r"runs\.jsonl:1"):
        experiment.load_runs(tmp_path / "runs.jsonl")


@pytest.mark.parametrize(
    ("old", "new", "expected"),
    [
        ('name = "busier"', 'name = "module"', "expected unique names, got 'module' twice"),
        ('"traffic.rate" = 30.0', '"traffic.rat" = 3.0', "rat"),
        ('scenarios = ["small.toml"]', 'scenarios = ["none.toml"]', "cannot be read"),
        ("seeds = 3", "seeds = 0", "experiment.seeds"),
    ],
)
def test_an_invalid_experiment_is_refused(tmp_path: Path, old: str, new: str, expected: str) -> None:
    assert old in EXPERIMENT
    with pytest.raises(DocumentError, match=expected):
        plan_jobs(tmp_path, EXPERIMENT.replace(old, new))


def make_run(seed: int, score: float, variant: str = "a", waste: float = 0.1) -> Run:
    return Run(
        "model",
        "s",
        variant,
        "module",
        seed,
        score,
        score,
        score,
        score,
        {},
        {},
        {},
        1,
        1,
        waste,
        {"waits": 0},
        0,
        0,
        {},
        0.0,
        0,
        {},
    )


@pytest.mark.parametrize(
    ("steps", "conclusion"),
    [
        ([0.05, 0.06, 0.04, 0.05, 0.055], "b is better"),
        ([-0.05, -0.06, -0.04, -0.05, -0.055], "a is better"),
        ([0.05, -0.05, 0.04, -0.04, 0.0], "no difference seen"),
        ([0.0] * 5, "no difference seen"),
        ([0.5], "no difference seen"),
    ],
)
def test_a_difference_is_significant_only_if_its_interval_excludes_zero(
    steps: list[float], conclusion: str
) -> None:
    a = [make_run(seed, 0.5 + seed / 100) for seed in range(len(steps))]
    b = [make_run(seed, 0.5 + seed / 100 + step, "b") for seed, step in enumerate(steps)]
    found = compare.differences(a, b[::-1], ("score",))[0]  # paired by seed, not by position
    assert found.conclusion("a", "b") == conclusion
    assert found.low <= found.difference + 1e-9
    assert found.difference <= found.high + 1e-9


def test_less_waste_is_better() -> None:
    a, b = (
        [make_run(seed, 0.5, name, waste + seed / 1000) for seed in range(5)]
        for name, waste in (("a", 0.2), ("b", 0.1))
    )
    b[0].waste += 0.01
    assert compare.differences(a, b, ("waste",))[0].conclusion("a", "b") == "b is better"


def test_pages_are_self_contained_and_count_broken_rules(tmp_path: Path) -> None:
    broken = make_run(2, 0.9)
    broken.breaches = {"waits": 3}
    sweep_page.write(tmp_path / "page.html", "n", "?", [make_run(1, 0.5), broken, make_run(1, 0.6, "b")])
    page = (tmp_path / "page.html").read_text()
    assert "<svg" in page
    assert not re.search(r"(src|href)=\"(https?:)?//", page)
    assert "Rules were broken in 1 of 3 runs" in page


def test_percentiles_of_recorded_delays() -> None:
    assert results.percentiles([]) == []
    found = results.percentiles([i / 100.0 for i in range(1, 101)])
    assert found[0] == pytest.approx(0.5, abs=0.02)
    assert found[-1] == pytest.approx(1.0, abs=0.01)


def test_a_saved_run_is_loaded_unchanged(tmp_path: Path) -> None:
    run = make_run(3, 0.25)
    (tmp_path / "run.json").write_bytes(msgspec.json.encode(run))
    assert results.load(tmp_path) == run
    (tmp_path / "run.json").write_bytes(b"{")
    with pytest.raises(ValueError, match=r"run\.json"):
        results.load(tmp_path)
