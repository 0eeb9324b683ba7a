"""When calls may be sent by the list of the start: each kind of failed list call, and the time limits."""

import copy

import pytest

from irisstack import interface as api
from irisstack.choice import Sender
from irisstack.initial_list import FETCH_AFTER, UNAVAILABLE_AFTER
from irisstack.settings import Reader, read
from tests.node_support import SETTINGS

ENDPOINT = api.Endpoint((b"\x7f\0\0\x01", 1), api.EndpointState.READY, 0, 1, 0, 50.0, None)
DEADLINE = 20.0
SOON, LATER = 0.5, UNAVAILABLE_AFTER + 0.5


def pushed_settings() -> api.Settings:
    raw = copy.deepcopy(SETTINGS)
    raw["discovery"] = "pushed"
    return read(Reader(raw))


def started_sender() -> Sender:
    """A sender that has started at time 0 with an old list and a recovered message."""
    sender = Sender(pushed_settings(), 1)
    cached = api.EndpointsUpdated(api.UpdateScope.CACHED, 1, (ENDPOINT,), update_expected=True)
    actions = sender.turn(0.0, [cached, api.MessageReceived(1, 0, 1, DEADLINE)])
    assert not has_send(actions)
    return sender


def has_send(actions: list[api.Action]) -> bool:
    return any(isinstance(action, api.Send) for action in actions)


def failure(silent_for: float, call_ended: bool) -> api.EndpointsUpdated:
    return api.EndpointsUpdated(
        api.UpdateScope.FAILED, 1, (), silent_for, list_age=silent_for, call_ended=call_ended
    )


@pytest.mark.parametrize(
    ("now", "silent_for", "call_ended", "sent"),
    [
        (SOON, 0.0, True, True),
        (SOON, 0.0, False, False),
        (SOON, 0.01, True, False),
        (SOON, 0.4, True, False),
        (LATER, 0.0, False, True),
        (LATER, 0.01, True, True),
        (LATER, 1.2, False, False),
        (LATER, 1.0, True, False),
    ],
    ids=[
        "connection refused",
        "no connection yet",
        "503 at once",
        "503 after a wait",
        "no connection for long",
        "503 at once for long",
        "a call kept open",
        "503 after a wait, again and again",
    ],
)
def test_a_slow_service_is_waited_for_and_an_unavailable_one_is_not(
    now: float, silent_for: float, call_ended: bool, sent: bool
) -> None:
    """Guards against calls by an outdated list, and against waiting for a service that is down."""
    assert has_send(started_sender().turn(now, [failure(silent_for, call_ended)])) is sent


@pytest.mark.parametrize("scope", [api.UpdateScope.FULL, api.UpdateScope.DELTA])
def test_the_first_update_lets_calls_go(scope: api.UpdateScope) -> None:
    """Guards against messages that wait although the list has arrived."""
    endpoints = (ENDPOINT,) if scope is api.UpdateScope.FULL else ()
    assert has_send(started_sender().turn(SOON, [api.EndpointsUpdated(scope, 2, endpoints)]))


def test_the_list_is_fetched_once_and_a_timer_asks_for_that_turn() -> None:
    """Guards against a node that waits for a watch on which nothing has changed."""
    sender = started_sender()
    assert api.FetchEndpoints() not in sender.turn(FETCH_AFTER / 2, [])
    assert api.FetchEndpoints() in sender.turn(FETCH_AFTER, [])
    assert api.FetchEndpoints() not in sender.turn(2 * FETCH_AFTER, [])


def test_a_message_is_given_up_in_time_and_later_ones_go_after_the_longest_deadline() -> None:
    """Guards against messages without a final answer, and a node that never sends again."""
    sender = started_sender()
    assert api.Refuse(1) in sender.turn(DEADLINE - 0.1, [])
    assert has_send(sender.turn(DEADLINE, [api.MessageReceived(2, 0, 1, 2 * DEADLINE)]))


def test_a_list_that_discovery_does_not_push_is_used_at_once() -> None:
    """Guards against waiting where the list at hand holds until discovery is asked."""
    sender = Sender(pushed_settings(), 1)
    cached = api.EndpointsUpdated(api.UpdateScope.CACHED, 1, (ENDPOINT,))
    assert has_send(sender.turn(0.0, [cached, api.MessageReceived(1, 0, 1, DEADLINE)]))
