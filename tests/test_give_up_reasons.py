"""The reason that a message is given up for, which is logged and counted."""

import pytest

from irisstack import interface as api
from irisstack.interface import GiveUpReason, Outcome
from tests.support import KEYED_INDEX, SAFE_INDEX, SETTINGS, UNSAFE_INDEX, Driver


def reasons(actions: list[api.Action]) -> list[GiveUpReason | None]:
    return [action.reason for action in actions if isinstance(action, api.Refuse | api.Fail)]


@pytest.mark.parametrize(
    ("class_index", "outcome", "reason"),
    [
        (UNSAFE_INDEX, Outcome.RESET, GiveUpReason.MAY_HAVE_RUN),
        (SAFE_INDEX, Outcome.ERROR, GiveUpReason.NO_ATTEMPT_LEFT),
        (KEYED_INDEX, Outcome.ERROR, GiveUpReason.NO_ATTEMPT_LEFT),
    ],
)
def test_reason_after_the_last_attempt(class_index: int, outcome: Outcome, reason: GiveUpReason) -> None:
    driver = Driver(max_attempts=1)
    driver.submit(1, 1.0, class_index)
    assert reasons(driver.end_attempt(1, outcome, 1.1)) == [reason]


def test_reason_when_the_dedup_window_has_ended() -> None:
    driver = Driver()
    driver.submit(1, 1.0, KEYED_INDEX)
    assert reasons(driver.end_attempt(1, Outcome.RESET, 14.0)) == [GiveUpReason.MAY_HAVE_RUN]


def test_reason_when_the_breaker_is_open_for_too_long() -> None:
    driver = Driver()
    driver.submit(1, 1.0, due=4.0)
    assert reasons(driver.end_attempt(1, Outcome.FULL, 1.1, retry_after=5.0)) == [GiveUpReason.BREAKER_OPEN]


def test_reason_when_no_call_fits_any_more() -> None:
    driver = Driver()
    assert reasons(driver.submit(1, 1.0, due=1.1)) == [GiveUpReason.NO_TIME_LEFT]


def test_reason_when_there_are_too_many_pending_messages() -> None:
    driver = Driver(max_pending=SETTINGS.max_calls)
    actions = [action for n in range(SETTINGS.max_calls) for action in driver.submit(n, 1.0)]
    assert reasons(actions) == [GiveUpReason.NO_ROOM]
