"""Virtual time: the same seed is the same day in any process, and the rules are kept in every trouble."""

import hashlib
import subprocess
import sys
from pathlib import Path
from typing import Any

import pytest

from irisstack.lab import baselines, ledger
from irisstack.lab.audit import parameters, rules
from irisstack.lab.policy import decision_module
from irisstack.lab.virtual.play import play
from tests.lab.support import small_world, trouble_toml

TROUBLES: dict[str, dict[str, Any]] = {
    "fails_fast": {"share": 0.5},
    "shut": {"share": 0.5},
    "silent": {"share": 0.5},
    "slow": {"share": 0.5},
    "pauses": {"share": 0.5},
    "resets": {"share": 0.5},
    "answers_lost": {"share": 0.5},
    "answers_spoilt": {"share": 0.5},
    "connect_refused": {"share": 0.5},
    "host_gone": {"share": 0.5},
    "idle_dropped": {"share": 1.0, "strength": 0.2},
    "class_fails": {"message_class": "order"},
    "replaced": {"share": 1.0, "endpoints": 1},
    "hot": {"destinations": [2]},
    "list_stale": {},
    "list_down": {},
    "killed": {"share": 0.5},
    "stopped": {"share": 1.0},
    "stalled": {"share": 1.0},
    "limit_lowered": {},
}

PLAY = """
import sys, hashlib
from pathlib import Path
from irisstack.lab import ledger
from irisstack.lab.policy import decision_module
from irisstack.lab.virtual.play import play
from tests.lab.support import small_world
played = play(small_world(Path(sys.argv[1]), sys.argv[2]), decision_module)
print(hashlib.sha256(b"".join(ledger.encoded_lines(played.ledger))).hexdigest())
"""


def digest(entries: ledger.Ledger) -> str:
    return hashlib.sha256(b"".join(ledger.encoded_lines(entries))).hexdigest()


def test_the_same_seed_is_the_same_ledger_in_every_process(tmp_path: Path) -> None:
    extra = trouble_toml("silent", at_s=3.0, for_s=2.0, share=0.5) + trouble_toml(
        "killed", at_s=6.0, for_s=1.0
    )
    here = [digest(play(small_world(tmp_path, extra), decision_module).ledger) for _ in range(2)]
    next_seed = digest(play(small_world(tmp_path, extra, seed=2), decision_module).ledger)
    other = subprocess.run(
        [sys.executable, "-c", PLAY, str(tmp_path), extra],
        capture_output=True,
        text=True,
        check=True,
        cwd=Path(__file__).resolve().parents[2],
    )
    assert {*here, other.stdout.strip()} == {here[0]}
    assert next_seed != here[0]


@pytest.mark.parametrize("mode", ["pushed", "on_request"])
@pytest.mark.parametrize("kind", sorted(TROUBLES))
def test_every_trouble_strikes_and_the_module_keeps_the_rules(tmp_path: Path, kind: str, mode: str) -> None:
    moves = trouble_toml("replaced", at_s=4.0, share=0.5) if kind.startswith("list") else ""
    extra = moves + trouble_toml(kind, at_s=3.0, for_s=4.0, **TROUBLES[kind])
    limit = {"form": "rate", "of_traffic": 1.5, "tells_wait": 0.5}
    changes: dict[str, Any] = {"endpoint_list__mode": mode, "kinds__0__limit": limit, "traffic__rate": 30.0}
    calm, struck = small_world(tmp_path, moves, **changes), small_world(tmp_path, extra, **changes)
    played = play(struck, decision_module)
    with_it, without = digest(played.ledger), digest(play(calm, decision_module).ledger)
    assert with_it != without
    found = rules.build_index(played.ledger)
    breaches = rules.check(found, parameters.audit_parameters(struck))
    assert {name for name, broken in breaches.items() if broken} == set()
    assert {len(history.ended) for history in found.submissions.values()} == {1}


@pytest.mark.parametrize("name", sorted(set(baselines.POLICIES) - {baselines.MODULE_POLICY}))
def test_every_baseline_keeps_the_rules_that_it_claims(tmp_path: Path, name: str) -> None:
    extra = (
        trouble_toml("silent", at_s=2.0, for_s=3.0, share=0.5)
        + trouble_toml("resets", at_s=5.0, for_s=3.0, share=1.0)
        + trouble_toml("killed", at_s=4.0, for_s=1.0)
        + trouble_toml("replaced", at_s=6.0, share=1.0, endpoints=1)
        + trouble_toml("shut", at_s=8.0, for_s=2.0, share=0.5)
    )
    world = small_world(tmp_path, extra)
    found = rules.check(
        rules.build_index(play(world, baselines.POLICIES[name]).ledger), parameters.audit_parameters(world)
    )
    assert {rule for rule, breaches in found.items() if breaches} <= {"not pushed over"}


def test_a_killed_nodes_folder_outlives_it_and_a_lost_one_does_not(tmp_path: Path) -> None:
    for lost in (False, True):
        extra = trouble_toml("silent", at_s=2.0, for_s=3.0, share=1.0) + trouble_toml(
            "killed", at_s=4.0, for_s=0.5, share=1.0, **({"disk_lost": True} if lost else {})
        )
        found = rules.build_index(play(small_world(tmp_path, extra), decision_module).ledger)
        open_ones = sum(not history.ended for history in found.submissions.values())
        kept = sum(
            history.submitted.t < 4.0 < 4.5 < history.ended[0].t
            for history in found.submissions.values()
            if history.ended
        )
        # What was lost is handed in anew, under another number.
        assert (open_ones > 0, kept > 0) == (lost, not lost)


def test_a_ledger_reads_back_as_it_was_written_and_a_torn_one_names_its_line(tmp_path: Path) -> None:
    entries = play(small_world(tmp_path), decision_module).ledger
    for name in ("a.jsonl", "a.jsonl.gz"):
        ledger.write(tmp_path / name, entries)
        same = ledger.read(tmp_path / name) == entries
        assert same
    ledger.write(tmp_path / "b.jsonl.gz", entries)
    assert (tmp_path / "a.jsonl.gz").read_bytes() == (tmp_path / "b.jsonl.gz").read_bytes()
    with (tmp_path / "a.jsonl").open("ab") as file:
        file.write(b'["Sent",1.0')
    with pytest.raises(ValueError, match=f"a.jsonl:{len(entries) + 1}:"):
        ledger.read(tmp_path / "a.jsonl")
