"""The soak's audit catches each broken rule, and holds the node to nothing that it cannot have heard."""

from dataclasses import replace

import pytest

from tests.node.soak_audit import DrainPeriod, ReceivedCall, SoakRun, SubmittedMessage, audit

ACCEPTED = SubmittedMessage(
    "m1", "unsafe", sent_at=10.0, deadline=15.0, connected_at=9.0, status=202, answered_at=10.1
)
CALL = ReceivedCall("m1", 11.0, ran=True, delivered=True, endpoint=2)


def compliant_run(**overrides: object) -> SoakRun:
    """A play in which one message was taken on and delivered."""
    run = SoakRun(1, submitted=[replace(ACCEPTED)], calls=[replace(CALL)])
    for name, value in overrides.items():
        setattr(run, name, value)
    return run


def violated_rules(run: SoakRun) -> set[str]:
    audit(run)
    return {line.split(":")[0] for line in run.violations}


def test_a_play_that_keeps_the_rules_passes() -> None:
    assert violated_rules(compliant_run()) == set()


VIOLATIONS = {
    "lost": compliant_run(calls=[]),
    "refused and run": compliant_run(submitted=[replace(ACCEPTED, status=503)]),
    "duplicate": compliant_run(calls=[CALL, replace(CALL, received_at=12.0)]),
    "after the end": compliant_run(notified_at={"m1": 10.2}),
    "wait": compliant_run(retry_after_waits=[(10.0, 12.0)]),
    "drain": compliant_run(drains=[DrainPeriod(2, 9.0, written_at=[9.1])]),
}


@pytest.mark.parametrize("rule", VIOLATIONS)
def test_each_broken_rule_is_caught(rule: str) -> None:
    assert rule in violated_rules(VIOLATIONS[rule])


def test_a_drain_counts_as_told_after_six_seconds_though_nothing_was_written() -> None:
    assert "drain" in violated_rules(compliant_run(drains=[DrainPeriod(2, 4.0)]))
    assert violated_rules(compliant_run(drains=[DrainPeriod(2, 6.0)])) == set()


@pytest.mark.parametrize(("read_broke_at", "binds"), [(10.1, False), (9.9, True), (10.3, True)])
def test_what_was_lost_on_its_way_does_not_bind(read_broke_at: float, binds: bool) -> None:
    """A read that broke before or well after it was written lost something else."""
    reads = [read_broke_at]
    assert (
        "wait" in violated_rules(compliant_run(retry_after_waits=[(10.0, 12.0)], failed_reads=reads))
    ) is binds
    drains = [DrainPeriod(2, 9.5, written_at=[10.0])]
    late = [replace(CALL, received_at=11.2)]
    assert ("drain" in violated_rules(compliant_run(drains=drains, calls=late, failed_reads=reads))) is binds
