"""The soak's audit catches each broken rule, and holds the node to nothing that it cannot have heard."""

from dataclasses import replace

import pytest

from tests.node.soak_audit import DrainPeriod, ReceivedCall, SoakRun, SubmittedMessage, audit

TAKEN = SubmittedMessage("m1", "unsafe", sent=10.0, due=15.0, opened=9.0, status=202, ended=10.1)
RUN = ReceivedCall("m1", 11.0, ran=True, delivered=True, endpoint=2)


def kept(**changes: object) -> SoakRun:
    """A play in which one message was taken on and delivered."""
    play = SoakRun(1, handed=[replace(TAKEN)], calls=[replace(RUN)])
    for name, value in changes.items():
        setattr(play, name, value)
    return play


def broken(play: SoakRun) -> set[str]:
    audit(play)
    return {line.split(":")[0] for line in play.broken}


def test_a_play_that_keeps_the_rules_passes() -> None:
    assert broken(kept()) == set()


BREACHES = {
    "lost": kept(calls=[]),
    "refused and run": kept(handed=[replace(TAKEN, status=503)]),
    "duplicate": kept(calls=[RUN, replace(RUN, at=12.0)]),
    "after the end": kept(told={"m1": 10.2}),
    "wait": kept(waits=[(10.0, 12.0)]),
    "drain": kept(drains=[DrainPeriod(2, 9.0, written_at=[9.1])]),
}


@pytest.mark.parametrize("rule", BREACHES)
def test_each_broken_rule_is_caught(rule: str) -> None:
    assert rule in broken(BREACHES[rule])


def test_a_drain_counts_as_told_after_six_seconds_though_nothing_was_written() -> None:
    assert "drain" in broken(kept(drains=[DrainPeriod(2, 4.0)]))
    assert broken(kept(drains=[DrainPeriod(2, 6.0)])) == set()


@pytest.mark.parametrize(("read_broke_at", "binds"), [(10.1, False), (9.9, True), (10.3, True)])
def test_what_was_lost_on_its_way_does_not_bind(read_broke_at: float, binds: bool) -> None:
    """A read that broke before or well after it was written lost something else."""
    reads = [read_broke_at]
    assert ("wait" in broken(kept(waits=[(10.0, 12.0)], broken_reads=reads))) is binds
    drains = [DrainPeriod(2, 9.5, written_at=[10.0])]
    late = [replace(RUN, at=11.2)]
    assert ("drain" in broken(kept(drains=drains, calls=late, broken_reads=reads))) is binds
