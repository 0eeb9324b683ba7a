"""Sweeps go on after a kill, pairs are compared with intervals, and pages stand alone."""

import re
from pathlib import Path

import msgspec
import pytest

from irisstack.configuration.document import DocumentError
from irisstack.lab import compare, experiment, results, sweep_page
from irisstack.lab.results import Run
from tests.lab.support import SMALL_SCENARIO

FILE = """
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


def planned(folder: Path, text: str = FILE) -> list[experiment.Job]:
    (folder / "small.toml").write_text(SMALL_SCENARIO)
    (folder / "two.toml").write_text(text)
    return experiment.build_jobs(experiment.read(folder / "two.toml"), folder / "two.toml")


def test_a_sweep_goes_on_after_a_kill_and_more_workers_change_nothing(tmp_path: Path) -> None:
    work, path = planned(tmp_path), tmp_path / "runs.jsonl"
    whole = {run.seed * 10 + (run.variant == "busier"): run for run in experiment.sweep(work, path, 2)}
    assert len(whole) == 6
    lines = path.read_bytes().splitlines(keepends=True)
    path.write_bytes(lines[0] + lines[1] + lines[2][:40])  # killed in the middle of a line
    seen: list[tuple[int, int]] = []
    again = list(experiment.sweep(work, path, 1, lambda done, of: seen.append((done, of))))
    assert seen[0] == (2, 6)
    assert seen[-1] == (6, 6)
    assert len(experiment.load_runs(path)) == 6
    for run in again:
        before = whole[run.seed * 10 + (run.variant == "busier")]
        assert (run.score, run.ends, run.attempts) == (before.score, before.ends, before.attempts)


def test_a_changed_scenario_is_not_mixed_with_runs_of_the_old_one(tmp_path: Path) -> None:
    marks = {job.fingerprint for job in planned(tmp_path)}
    changed = planned(tmp_path, FILE.replace("30.0", "31.0"))
    assert len(marks) == 2
    assert len({job.fingerprint for job in changed} & marks) == 1


def test_a_spoilt_line_in_the_middle_is_told_and_not_passed_over(tmp_path: Path) -> None:
    (tmp_path / "runs.jsonl").write_bytes(b"{}\n{}\n")
    with pytest.raises(ValueError, match=r"runs\.jsonl:1"):
        experiment.load_runs(tmp_path / "runs.jsonl")


@pytest.mark.parametrize(
    ("old", "new", "due"),
    [
        ('name = "busier"', 'name = "module"', "stands twice"),
        ('"traffic.rate" = 30.0', '"traffic.rat" = 3.0', "rat"),
        ('scenarios = ["small.toml"]', 'scenarios = ["none.toml"]', "cannot be read"),
        ("seeds = 3", "seeds = 0", "experiment.seeds"),
    ],
)
def test_a_bad_experiment_is_refused(tmp_path: Path, old: str, new: str, due: str) -> None:
    assert old in FILE
    with pytest.raises(DocumentError, match=due):
        planned(tmp_path, FILE.replace(old, new))


def run_of(seed: int, score: float, variant: str = "a", waste: float = 0.1) -> Run:
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
    ("steps", "words"),
    [
        ([0.05, 0.06, 0.04, 0.05, 0.055], "b is better"),
        ([-0.05, -0.06, -0.04, -0.05, -0.055], "a is better"),
        ([0.05, -0.05, 0.04, -0.04, 0.0], "no difference seen"),
        ([0.0] * 5, "no difference seen"),
        ([0.5], "no difference seen"),
    ],
)
def test_a_difference_is_claimed_only_where_its_interval_leaves_zero_out(
    steps: list[float], words: str
) -> None:
    a = [run_of(seed, 0.5 + seed / 100) for seed in range(len(steps))]
    b = [run_of(seed, 0.5 + seed / 100 + step, "b") for seed, step in enumerate(steps)]
    found = compare.differences(a, b[::-1], ("score",))[0]  # paired by seed, not by place
    assert found.conclusion("a", "b") == words
    assert found.low <= found.difference + 1e-9
    assert found.difference <= found.high + 1e-9


def test_less_waste_is_better() -> None:
    a, b = (
        [run_of(seed, 0.5, name, waste + seed / 1000) for seed in range(5)]
        for name, waste in (("a", 0.2), ("b", 0.1))
    )
    b[0].waste += 0.01
    assert compare.differences(a, b, ("waste",))[0].conclusion("a", "b") == "b is better"


def test_pages_need_nothing_from_elsewhere_and_count_broken_rules(tmp_path: Path) -> None:
    broken = run_of(2, 0.9)
    broken.breaches = {"waits": 3}
    sweep_page.write(tmp_path / "page.html", "n", "?", [run_of(1, 0.5), broken, run_of(1, 0.6, "b")])
    page = (tmp_path / "page.html").read_text()
    assert "<svg" in page
    assert not re.search(r"(src|href)=\"(https?:)?//", page)
    assert "Rules were broken in 1 of 3 runs" in page


def test_percentiles_are_those_of_what_was_recorded() -> None:
    assert results.percentiles([]) == []
    found = results.percentiles([i / 100.0 for i in range(1, 101)])
    assert found[0] == pytest.approx(0.5, abs=0.02)
    assert found[-1] == pytest.approx(1.0, abs=0.01)


def test_a_run_reads_back_as_it_was_kept(tmp_path: Path) -> None:
    run = run_of(3, 0.25)
    (tmp_path / "run.json").write_bytes(msgspec.json.encode(run))
    assert results.load(tmp_path) == run
    (tmp_path / "run.json").write_bytes(b"{")
    with pytest.raises(ValueError, match=r"run\.json"):
        results.load(tmp_path)
