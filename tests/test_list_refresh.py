"""When the list is asked for again: by its age, and by what its service can bear."""

import itertools
from dataclasses import replace
from random import Random

import pytest

from irisstack import interface as api
from irisstack.list_refresh import ListRefresh
from tests.support import SETTINGS

LATENESS = (0.0, 0.004, 0.009)
"""Seconds by which the decisions hear of a failure later than it was told; never the same."""


def failure(age: float, unheard: float) -> api.EndpointsUpdated:
    return api.EndpointsUpdated(api.UpdateScope.FAILED, 1, (), unheard, list_age=age)


def refresh(senders: int, seed: int = 1) -> ListRefresh:
    settings = replace(SETTINGS, discovery_on_request=True, list_refresh_interval=10.0, senders=senders)
    made = ListRefresh(settings, Random(seed))
    made.started(0.0)
    return made


def test_a_large_fleet_leaves_a_service_alone_that_lets_call_after_call_wait() -> None:
    """Failures that are heard of a few milliseconds late must not pass for a list that came in between."""
    for seed in range(10):
        decisions = refresh(200, seed)
        for at, late in zip((3.0, 4.5), LATENESS, strict=False):
            decisions.failed(at + late, failure(at, 1.2))
        assert decisions.next_at >= 4.5 + 5.0


def test_pauses_grow_with_each_failure_once_the_news_is_overdue() -> None:
    for seed in range(10):
        decisions = refresh(6, seed)
        for number, at in enumerate((10.0, 13.0, 17.0, 30.0)):
            decisions.failed(at + LATENESS[number % 3], failure(at, 1.2))
        assert decisions.next_at >= 30.0 + 0.5 * 0.2 * 6 * 2**3


@pytest.mark.parametrize("senders", [2, 6, 24, 200])
def test_a_watch_that_was_held_in_between_begins_anew(senders: int) -> None:
    decisions = refresh(senders)
    for at in (3.0, 4.5, 20.0):
        decisions.failed(at, failure(at, 1.2))
    decisions.failed(100.0, failure(2.6, 2.6))
    assert decisions.next_at <= 100.0 + 2.4


def test_a_list_that_has_become_older_at_a_move_is_asked_for_sooner() -> None:
    """A watch broke right after a word; then discovery moved, which makes the list older by 2 s."""
    for senders, seed in itertools.product((2, 6, 24), range(20)):
        decisions = refresh(senders, seed)
        decisions.failed(50.0, failure(0.1, 0.1))
        for at in (51.7, 53.4):  # two calls at the new address, where all is due by 54.5, 4 s after the move
            decisions.failed(at, failure(at - 48.5, 1.2))
        assert decisions.next_at <= 53.4 + 0.3
