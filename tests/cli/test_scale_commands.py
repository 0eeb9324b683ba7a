"""`irisstack lab scale` through the command line."""

import json
from pathlib import Path

import pytest

from irisstack.__main__ import main
from irisstack.lab.scale.experiments import EXPERIMENTS


@pytest.mark.parametrize(
    ("arguments", "expected"),
    [
        (["run", "none"], "unknown name 'none': expected one of outage"),
        (["run", "outage", "--sizes", "0"], "expected integers from 1"),
        (["run", "outage", "--sizes", "2,,3"], "expected integers from 1"),
        (["run", "outage", "--sizes", "two"], "expected integers from 1"),
        (["run", "outage", "--sizes", "1000001"], "expected integers from 1"),
        (["run", "--sizes", "2"], "expected exactly one experiment, got 0"),
        (["run", "outage", "list", "--sizes", "2"], "expected exactly one experiment, got 2"),
        (["run", "--size", "2"], "No such option"),
        (["tables", "none"], "none: no slope files found"),
        (["weigh"], "No such command"),
    ],
)
def test_invalid_arguments_give_one_clear_error(
    arguments: list[str], expected: str, capfd: pytest.CaptureFixture[str]
) -> None:
    assert main(["lab", "scale", *arguments]) == 2
    out, err = capfd.readouterr()
    assert expected in err
    assert "Traceback" not in err
    assert out == ""


def test_experiments_are_listed(capfd: pytest.CaptureFixture[str]) -> None:
    assert main(["lab", "scale", "list", "--json"]) == 0
    assert [row["experiment"] for row in json.loads(capfd.readouterr().out)] == list(EXPERIMENTS)


def test_experiment_runs_at_the_given_sizes_and_is_saved(
    tmp_path: Path, capfd: pytest.CaptureFixture[str]
) -> None:
    arguments = ["lab", "scale", "run", "gossip-cost", "--sizes", "200,100", "--out", str(tmp_path), "--json"]
    assert main(arguments) == 0
    rows = json.loads(capfd.readouterr().out)
    assert [(row["slope"], row["size"]) for row in rows] == [
        ("gossip-processor-time", 100),
        ("gossip-processor-time", 200),
    ]
    assert json.loads((tmp_path / "gossip-processor-time.json").read_text())["unit"] == "us"
    assert main(["lab", "scale", "tables", str(tmp_path)]) == 0
    lines = capfd.readouterr().out.splitlines()
    assert lines[0] == "| slope, against destinations | unit | 100 | 200 |"
    assert lines[2].startswith("| `gossip-processor-time` | us | ")
    (tmp_path / "other.json").write_text("{}")
    assert main(["lab", "scale", "tables", str(tmp_path)]) == 2
    assert "other.json: not a valid slope file" in capfd.readouterr().err


def test_unwritable_output_directory_is_reported(tmp_path: Path, capfd: pytest.CaptureFixture[str]) -> None:
    (tmp_path / "taken").write_text("a file instead of a directory")
    arguments = ["lab", "scale", "run", "gossip-cost", "--sizes", "100", "--out", str(tmp_path / "taken")]
    assert main(arguments) == 1
    assert "taken" in capfd.readouterr().err
