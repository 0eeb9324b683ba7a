"""`irisstack lab` as a user meets it: results kept, pages written, and one clear message for bad input."""

import json
import os
from pathlib import Path

import pytest

from irisstack.__main__ import main
from tests.lab.support import SMALL_SCENARIO, trouble_toml


@pytest.fixture(autouse=True)
def _in_a_folder(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.chdir(tmp_path)
    Path("small.toml").write_text(SMALL_SCENARIO)


@pytest.mark.parametrize(
    ("words", "code", "due"),
    [
        (["model", "none.toml"], 2, "cannot be read"),
        (["model", "small.toml", "--policy", "luck"], 2, "one of module"),
        (["model", "small.toml", "--set", "traffic.rate=-1"], 2, "traffic.rate"),
        (["model", "small.toml", "--set", "traffic.rate"], 2, "KEY=VALUE is due"),
        (["check", "small.toml", "--set", "traffic.speed=1"], 2, "no such key"),
        (["run", "small.toml", "--set", "senders.count=65"], 1, "64 at the most"),
        (["compare", "a", "b"], 2, "no results there"),
        (["report", "a"], 2, "no results there"),
        (["sweep", "small.toml"], 2, "experiment: required key is missing"),
    ],
)
def test_bad_input_is_one_clear_message(
    words: list[str], code: int, due: str, capfd: pytest.CaptureFixture[str]
) -> None:
    assert main(["lab", *words]) == code
    err = capfd.readouterr().err
    assert due in err
    assert "Traceback" not in err


def test_a_played_model_is_kept_and_its_page_can_be_made_anew(capfd: pytest.CaptureFixture[str]) -> None:
    assert main(["lab", "model", "small.toml", "--json"]) == 0
    figures = json.loads(capfd.readouterr().out)
    folder = Path("lab-results/small-model-module-1")
    page = folder / "report.html"
    first = page.read_bytes()
    page.unlink()
    assert main(["lab", "report", str(folder)]) == 0
    assert page.read_bytes() == first  # the ledger alone gives the same page
    assert figures["ends"]["delivered"] > 0
    (folder / "ledger.jsonl.gz").write_bytes(b"spoilt")
    assert main(["lab", "report", str(folder)]) == 1


def test_a_folder_that_cannot_be_written_is_told(capfd: pytest.CaptureFixture[str]) -> None:
    Path("taken").write_text("a file where a folder is due")
    assert main(["lab", "model", "small.toml", "--out", "taken/here"]) == 1
    assert "cannot be written" in capfd.readouterr().err


def test_a_renamed_command_still_answers_to_its_former_name(capfd: pytest.CaptureFixture[str]) -> None:
    assert main(["lab", "--help"]) == 0
    listed = capfd.readouterr().out
    assert "capacity-search" in listed
    assert "knee" not in listed
    for name in ("capacity-search", "knee"):
        assert main(["lab", name, "none.toml"]) == 2
        assert "cannot be read" in capfd.readouterr().err


def test_a_broken_rule_is_a_failure(capfd: pytest.CaptureFixture[str]) -> None:
    cold = "cold = { start = 0.1, warm_s = 8.0, tip_multiple = 1.2, tip_s = 0.5 }\nshared_calls = 3"
    text = SMALL_SCENARIO.replace("shared_calls = 3", cold).replace("rate = 20.0", "rate = 120.0")
    Path("cold.toml").write_text(text + trouble_toml("shut", at_s=3.0, for_s=4.0, share=1.0, tells_wait=0.0))
    assert main(["lab", "model", "cold.toml", "--policy", "backoff"]) == 1
    assert "rules broken: not pushed over" in capfd.readouterr().out


def test_a_sweep_and_a_comparison(capfd: pytest.CaptureFixture[str]) -> None:
    Path("two.toml").write_text(
        '[experiment]\nname = "two"\nscenarios = ["small.toml"]\nseeds = 2\n'
        '[[variants]]\nname = "module"\n[[variants]]\nname = "once"\npolicy = "one-try"\n'
    )
    assert main(["lab", "sweep", "two.toml", "--workers", "2", "--json"]) == 0
    assert [(row["variant"], row["runs"]) for row in json.loads(capfd.readouterr().out)] == [
        ("module", 2),
        ("once", 2),
    ]
    assert main(["lab", "compare", "module", "once", "--results", "lab-results/two", "--json"]) == 0
    assert {row["pairs"] for row in json.loads(capfd.readouterr().out)} == {2}
    assert main(["lab", "compare", "module", "twice", "--results", "lab-results/two"]) == 2
    assert "there are module, once" in capfd.readouterr().err
    assert "report.html" in os.listdir("lab-results/two")
