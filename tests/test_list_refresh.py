"""When the list is requested again: by the age of the list, and by the load that its service can take."""

import itertools
from dataclasses import replace
from random import Random

import pytest

from irisstack import interface as api
from irisstack.list_refresh import ListRefresh
from tests.support import SETTINGS

REPORTING_DELAYS = (0.0, 0.004, 0.009)
"""Seconds between a failure and its report to the decisions; each report has another delay."""


LATEST_CALL_START = 5.0
"""Seconds after an update by which the call that brings it has to start, to be answered within 6 s."""


def failure(list_age: float, silent_for: float, call_ended: bool = False) -> api.EndpointsUpdated:
    return api.EndpointsUpdated(
        api.UpdateScope.FAILED, 1, (), silent_for, list_age=list_age, call_ended=call_ended
    )


def started_refresh(senders: int, seed: int = 1) -> ListRefresh:
    settings = replace(SETTINGS, discovery_on_request=True, list_refresh_interval=10.0, senders=senders)
    list_refresh = ListRefresh(settings, Random(seed))
    list_refresh.started(0.0)
    return list_refresh


def test_a_large_fleet_pauses_when_its_service_keeps_several_calls_waiting() -> None:
    """Failures reported a few milliseconds late must not be taken for a list that was received in between."""
    for seed in range(10):
        list_refresh = started_refresh(200, seed)
        for at, delay in zip((3.0, 4.5), REPORTING_DELAYS, strict=False):
            list_refresh.failed(at + delay, failure(at, 1.2))
        assert list_refresh.next_call_at >= 4.5 + 5.0


OVERDUE_FAILURES_AT = (10.0, 13.0, 17.0, 30.0)


def test_pauses_of_a_large_fleet_grow_after_the_deadline_while_its_calls_stay_open() -> None:
    for seed in range(10):
        list_refresh = started_refresh(30, seed)
        for number, at in enumerate(OVERDUE_FAILURES_AT):
            list_refresh.failed(at + REPORTING_DELAYS[number % 3], failure(at, 1.2))
        assert list_refresh.next_call_at >= 30.0 + 0.5 * 10.0


@pytest.mark.parametrize(
    ("senders", "call_ended"), [(2, False), (6, False), (24, False), (6, True), (30, True), (200, True)]
)
@pytest.mark.parametrize("silent_for", [0.3, 1.0, 1.2, 1.8])
def test_the_next_call_starts_in_time_for_the_next_update_however_long_calls_have_failed(
    senders: int, call_ended: bool, silent_for: float
) -> None:
    """The bound was given up 12 s after the last list; pauses grew to 15 s while calls were kept waiting."""
    for seed in range(10):
        list_refresh = started_refresh(senders, seed)
        for number, at in enumerate((*OVERDUE_FAILURES_AT, 60.0, 600.0)):
            reported_at = at + REPORTING_DELAYS[number % 3]
            list_refresh.failed(reported_at, failure(at, silent_for, call_ended))
            assert list_refresh.next_call_at - (reported_at - silent_for) <= LATEST_CALL_START


@pytest.mark.parametrize("senders", [2, 6, 24, 200])
def test_pauses_grow_after_the_notification_deadline_up_to_that_bound(senders: int) -> None:
    for seed in range(10):
        list_refresh = started_refresh(senders, seed)
        for number, at in enumerate(OVERDUE_FAILURES_AT):
            list_refresh.failed(at + REPORTING_DELAYS[number % 3], failure(at, 1.2, call_ended=True))
        bound = (LATEST_CALL_START - 1.2) / 1.5
        assert list_refresh.next_call_at >= 30.0 + 0.5 * min(0.2 * senders * 2**3, bound)


@pytest.mark.parametrize("senders", [2, 6, 24, 200])
def test_a_watch_between_two_failures_resets_the_pauses(senders: int) -> None:
    list_refresh = started_refresh(senders)
    for at in (3.0, 4.5, 20.0):
        list_refresh.failed(at, failure(at, 1.2))
    list_refresh.failed(100.0, failure(2.6, 2.6))
    assert list_refresh.next_call_at <= 100.0 + 2.4


def test_a_list_that_a_move_of_discovery_made_older_is_requested_sooner() -> None:
    """A watch fails right after an update. Then discovery moves, which makes the list count as 2 s older."""
    for senders, seed in itertools.product((2, 6, 24), range(20)):
        list_refresh = started_refresh(senders, seed)
        list_refresh.failed(50.0, failure(0.1, 0.1))
        # Two calls to the new address. The notification deadline is at 54.5, 4 s after the move.
        for at in (51.7, 53.4):
            list_refresh.failed(at, failure(at - 48.5, 1.2))
        assert list_refresh.next_call_at <= 53.4 + 0.3
