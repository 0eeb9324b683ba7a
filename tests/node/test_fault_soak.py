"""The seeded soak in short; `python -m tests.node.fault_soak` plays many seeds by hand."""

from pathlib import Path

from tests.node.fault_soak import run_seeds

SEEDS = (*range(1, 10), 608, 617)
"""The last two broke the rule on drains before calls for the list were held within the 6 s of their news."""
PARALLEL_RUNS = 3


def test_no_rule_breaks_under_faults_of_the_machine(tmp_path: Path) -> None:
    runs = run_seeds(SEEDS, tmp_path, PARALLEL_RUNS)
    assert {run.seed: run.violations for run in runs if run.violations} == {}
    assert sum(message.status == 202 for run in runs for message in run.submitted) > 500
    assert sum(call.delivered for run in runs for call in run.calls) > 200
    drains = [(run, drain) for run in runs for drain in run.drains]
    calls_after_drain = [
        call for run, drain in drains for call in run.calls if call.received_at > drain.ended_at
    ]
    # The endpoint is used again after its drain.
    assert sum(call.endpoint == 2 for call in calls_after_drain) > len(runs)
    assert sum(bool(drain.written_at) for _, drain in drains) > len(runs)
