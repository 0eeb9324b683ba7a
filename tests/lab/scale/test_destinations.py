"""Destinations that are down and come back cold, and the rule on their return."""

from random import Random

import pytest

from irisstack import interface as api
from irisstack.lab.scale.destinations import (
    CAPACITY_PER_LISTED_RATE,
    Destination,
    Failure,
    Outage,
    ReturnRule,
    return_load,
)
from irisstack.lab.scale.settings import fleet_settings

SETTINGS = fleet_settings(2)


def _destination(failure: Failure = Failure.UNREACHABLE, rate: float = 5.0) -> Destination:
    return Destination(1, rate, Outage(20.0, 34.0, failure), SETTINGS.warmup_seconds, Random(1))


@pytest.mark.parametrize(
    ("failure", "outcome"),
    [
        (Failure.UNREACHABLE, api.Outcome.CONNECT_FAILED),
        (Failure.REFUSING, api.Outcome.FULL),
        (Failure.SILENT, api.Outcome.TIMEOUT),
    ],
)
def test_it_fails_calls_in_its_outage_alone(failure: Failure, outcome: api.Outcome) -> None:
    destination = _destination(failure)
    outcomes = [destination.take(at, 0, at + 3.0).outcome for at in (19.9, 20.0, 33.9, 34.0)]
    assert outcomes == [api.Outcome.OK, outcome, outcome, api.Outcome.OK]
    assert [arrival.at for arrival in destination.while_down] == [20.0, 33.9]


def test_a_silent_one_answers_nothing_until_the_call_is_given_up() -> None:
    assert _destination(Failure.SILENT).take(21.0, 0, 24.5).elapsed == 3.5


def test_it_keeps_what_comes_while_cold_and_who_knew_of_the_outage() -> None:
    destination = _destination()
    destination.take(25.0, 1, 30.0)
    destination.take(34.5, 1, 40.0)
    destination.take(35.0, 2, 40.0)
    destination.take(43.0, 1, 50.0)
    assert [(arrival.at, arrival.sender_knew) for arrival in destination.while_cold] == [
        (34.5, True),
        (35.0, False),
    ]


def test_what_the_rule_allows_grows_from_the_cold_share_to_the_full_capacity() -> None:
    rule = ReturnRule(5.0, 34.0, SETTINGS)
    full = SETTINGS.overload_multiple * CAPACITY_PER_LISTED_RATE * 5.0 * SETTINGS.overload_window
    assert rule.allowed_until(34.0) == pytest.approx(full * SETTINGS.warmup_start_share)
    assert rule.allowed_until(36.0) == pytest.approx(full * 0.3)
    assert rule.allowed_until(34.0 + SETTINGS.warmup_seconds + 2.0) == pytest.approx(full)
    assert rule.limit_at(36.0) == pytest.approx(full * 0.3 + 2.0 * (full * 0.3) ** 0.5 + 2.0)


def test_a_destination_falls_only_by_calls_of_senders_that_knew() -> None:
    for knew in (False, True):
        destination = _destination()
        if knew:
            destination.take(25.0, 1, 30.0)
        for number in range(40):
            destination.take(34.1 + number * 0.01, 1, 60.0)
        load = return_load(destination, SETTINGS)
        assert load.first_window_calls == 40
        assert load.worst_of_limit > 1.0
        assert load.falls is knew
