"""The seeded soak in short; `python -m tests.node.fault_soak` plays many seeds by hand."""

from pathlib import Path

from tests.node.fault_soak import play_all

SEEDS = range(1, 10)
BESIDE = 3


def test_no_rule_breaks_under_faults_of_the_machine(tmp_path: Path) -> None:
    plays = play_all(SEEDS, tmp_path, BESIDE)
    assert {each.seed: each.broken for each in plays if each.broken} == {}
    assert sum(each.status == 202 for play in plays for each in play.handed) > 500
    assert sum(call.delivered for play in plays for call in play.calls) > 200
