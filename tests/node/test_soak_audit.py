"""The soak's audit finds each kind of violation, and none where the node may have missed the information."""

from dataclasses import replace

import pytest

from tests.node.soak_audit import DrainPeriod, ReceivedCall, SoakRun, SubmittedMessage, audit

ACCEPTED = SubmittedMessage(
    "m1", "unsafe", sent_at=10.0, deadline=15.0, connected_at=9.0, status=202, answered_at=10.1
)
CALL = ReceivedCall("m1", 11.0, ran=True, delivered=True, endpoint=2, ended_at=11.1)


def compliant_run(**overrides: object) -> SoakRun:
    """A run without violations: one message, accepted and delivered; `overrides` replace its fields."""
    run = SoakRun(1, submitted=[replace(ACCEPTED)], calls=[replace(CALL)])
    for name, value in overrides.items():
        setattr(run, name, value)
    return run


def violated_rules(run: SoakRun) -> set[str]:
    audit(run)
    return {line.split(":")[0] for line in run.violations}


def test_compliant_run_has_no_violations() -> None:
    assert violated_rules(compliant_run()) == set()


VIOLATIONS = {
    "lost": compliant_run(calls=[]),
    "rejected but run": compliant_run(submitted=[replace(ACCEPTED, status=503)]),
    "duplicate": compliant_run(calls=[CALL, replace(CALL, received_at=12.0)]),
    "overlap": compliant_run(
        calls=[replace(CALL, ran=False, ended_at=11.5), replace(CALL, received_at=11.2)]
    ),
    "call after notice": compliant_run(notified_at={"m1": 10.2}),
    "wait": compliant_run(retry_after_waits=[(10.0, 12.0)]),
    "drain": compliant_run(drains=[DrainPeriod(2, 9.0, written_at=[9.1])]),
}


@pytest.mark.parametrize("rule", VIOLATIONS)
def test_each_violation_is_found(rule: str) -> None:
    assert rule in violated_rules(VIOLATIONS[rule])


def test_node_counts_as_notified_of_drain_after_six_seconds_without_update() -> None:
    assert "drain" in violated_rules(compliant_run(drains=[DrainPeriod(2, 4.0)]))
    assert violated_rules(compliant_run(drains=[DrainPeriod(2, 6.0)])) == set()


@pytest.mark.parametrize(("read_failed_at", "applies"), [(10.1, False), (9.9, True), (10.3, True)])
def test_lost_information_does_not_apply(read_failed_at: float, applies: bool) -> None:
    """A read that failed before, or well after, the data was written lost other data."""
    reads = [read_failed_at]
    assert (
        "wait" in violated_rules(compliant_run(retry_after_waits=[(10.0, 12.0)], failed_reads=reads))
    ) is applies
    drains = [DrainPeriod(2, 9.5, written_at=[10.0])]
    late = [replace(CALL, received_at=11.2)]
    assert (
        "drain" in violated_rules(compliant_run(drains=drains, calls=late, failed_reads=reads))
    ) is applies


@pytest.mark.parametrize(("failing_since", "lost"), [(15.0, False), (15.4, True)])
def test_no_result_is_overdue_while_connects_fail(failing_since: float, lost: bool) -> None:
    """A notice needs a connection; but for connects that fail, this one was due at 15.35."""
    late = 17.2
    run = compliant_run(
        calls=[],
        notified_at={"m1": late},
        connect_failures=[(failing_since, 16.0)],
        submitted=[replace(ACCEPTED)],
    )
    assert ("lost" in violated_rules(run)) is lost


@pytest.mark.parametrize(("launched_at", "applies"), [(9.9, True), (10.5, False), (11.2, True)])
def test_a_restart_ends_a_wait_that_was_written_before_it(launched_at: float, applies: bool) -> None:
    """The endpoint may have written it to the process that had just been killed."""
    run = compliant_run(retry_after_waits=[(10.0, 12.0)], launches=[launched_at])
    assert ("wait" in violated_rules(run)) is applies
