"""Decisions of a sender whose settings change between or within turns (`SettingsChanged`)."""

from dataclasses import replace

import pytest

from irisstack import interface as api
from irisstack.interface import Outcome
from tests.support import (
    KEYED,
    KEYED_INDEX,
    ORDERED,
    ORDERED_INDEX,
    SAFE,
    SAFE_INDEX,
    SETTINGS,
    UNSAFE,
    UNSAFE_INDEX,
    Driver,
    address,
    endpoint,
)


def change_settings(driver: Driver, at: float, settings: api.Settings) -> list[api.Action]:
    return driver.turn(at, api.SettingsChanged(settings))


def test_a_settings_change_alone_causes_no_action() -> None:
    driver = Driver()
    assert change_settings(driver, 1.0, replace(SETTINGS, senders=840)) == []


def test_a_pending_message_keeps_the_definition_of_its_class() -> None:
    driver = Driver(endpoint(1, state=api.EndpointState.GONE))
    driver.submit(1, 1.0, SAFE_INDEX)
    driver.submit(2, 1.0, UNSAFE_INDEX)
    shorter = replace(SAFE, latency_target=0.5, deadline=1.0)
    change_settings(driver, 2.0, replace(SETTINGS, classes=(shorter, KEYED, UNSAFE, ORDERED)))
    driver.turn(15.0, api.EndpointsUpdated(api.UpdateScope.DELTA, 2, (endpoint(1),)))
    assert (len(driver.send_times(1)), len(driver.send_times(2))) == (1, 1)
    assert not driver.refused
    assert not driver.failed


def test_a_keyed_message_to_be_retried_keeps_its_dedup_window() -> None:
    driver = Driver()
    driver.submit(1, 0.0, KEYED_INDEX)
    driver.end_attempt(1, Outcome.RESET, 1.0)  # it may have run
    change_settings(driver, 1.1, replace(SETTINGS, classes=(SAFE, KEYED, UNSAFE, ORDERED), senders=1))
    driver.run_until_sent(1, attempts=2)
    assert len(driver.send_times(1)) == 2
    assert driver.sends[-1][1].write_deadline == pytest.approx(0.0 + KEYED.dedup_window)


def test_an_unsafe_message_that_may_have_run_fails_under_changed_settings_too() -> None:
    driver = Driver()
    driver.submit(1, 0.0, UNSAFE_INDEX)
    change_settings(driver, 0.1, replace(SETTINGS, max_attempts=50))
    driver.end_attempt(1, Outcome.RESET, 0.5)
    assert driver.failed == {1}
    assert len(driver.send_times(1)) == 1


def test_messages_of_a_newly_added_class_are_accepted() -> None:
    driver = Driver()
    added = replace(SAFE, name="more", deadline=4.0, latency_target=1.0)
    change_settings(driver, 1.0, replace(SETTINGS, classes=(*SETTINGS.classes, added)))
    driver.turn(1.0, api.MessageReceived(1, len(SETTINGS.classes), 1, 5.0))
    assert driver.send_times(1) == [1.0]
    driver.end_attempt(1, Outcome.ERROR, 1.2)  # counting a failure iterates over all classes
    driver.turn(1.3, api.MessageReceived(2, len(SETTINGS.classes), 1, 5.3))
    assert 2 in driver.attempts


def test_ordered_messages_keep_their_order_across_a_change() -> None:
    driver = Driver()
    for number in (1, 2, 3):
        driver.submit(number, 0.0, ORDERED_INDEX, key=7)
    change_settings(driver, 0.1, replace(SETTINGS, order_pause=0.0, max_calls=2))
    for number in (1, 2, 3):
        assert len(driver.send_times(number)) == 1
        driver.end_attempt(number, Outcome.OK, driver.now + 0.2)
    assert [send.message for _, send in driver.sends] == [1, 2, 3]


def test_a_lower_call_limit_cancels_no_calls_and_delays_new_ones() -> None:
    driver = Driver(*(endpoint(n, destination=n) for n in range(1, 13)))
    for number in range(1, 7):
        driver.submit(number, 1.0, destination=number)
    assert len(driver.sends) == 6
    change_settings(driver, 1.1, replace(SETTINGS, max_calls=3))
    for number in range(7, 10):
        driver.submit(number, 1.2, destination=number)
    assert len(driver.sends) == 6
    assert not driver.cancelled
    for number in range(1, 5):
        driver.end_attempt(number, Outcome.OK, 1.3)
    assert len(driver.sends) == 7, "two of the first six calls are still in flight, so one more may be sent"
    change_settings(driver, 1.4, SETTINGS)
    driver.turn(1.5)
    assert len(driver.sends) == 9


def test_a_lower_limit_of_pending_messages_drops_none_of_them() -> None:
    driver = Driver(endpoint(1, state=api.EndpointState.GONE))
    for number in range(20):
        driver.submit(number, 1.0)
    change_settings(driver, 1.1, replace(SETTINGS, max_pending=5))
    driver.turn(1.2)
    assert not driver.refused
    assert not driver.failed
    driver.submit(20, 1.3)
    assert len(driver.refused) == 1, "the new message exceeds the limit"


def test_a_lower_attempt_limit_counts_when_a_message_is_queued_again() -> None:
    driver = Driver()
    driver.submit(1, 0.0)
    driver.end_attempt(1, Outcome.ERROR, 0.1)
    driver.run_until_sent(1, attempts=2)
    change_settings(driver, driver.now, replace(SETTINGS, max_attempts=2))
    driver.end_attempt(1, Outcome.ERROR, driver.now + 0.1)
    assert len(driver.send_times(1)) == 2
    assert 1 in driver.refused


def test_a_message_already_queued_for_a_retry_keeps_it_when_the_attempt_limit_falls() -> None:
    driver = Driver()
    driver.submit(1, 0.0)
    for at in (0.1, 0.2, 0.3):  # the third opens the breaker
        driver.end_attempt(1, Outcome.ERROR, at)
    attempts = len(driver.send_times(1))
    change_settings(driver, driver.now, replace(SETTINGS, max_attempts=1))
    driver.run_until_sent(1, attempts=attempts + 1)
    assert len(driver.send_times(1)) == attempts + 1
    driver.end_attempt(1, Outcome.ERROR, driver.now + 0.1)
    assert 1 in driver.refused


def test_a_destination_follows_changes_of_its_kind() -> None:
    driver = Driver(endpoint(1, kind=1), max_calls=1)
    smaller_batches = replace(SETTINGS.kinds[1], max_batch=2)
    settings = replace(SETTINGS, max_calls=1, kinds=(SETTINGS.kinds[0], smaller_batches))
    driver.submit(1, 0.0)
    for number in range(2, 6):
        driver.submit(number, 0.1)
    change_settings(driver, 0.2, settings)
    driver.end_attempt(1, Outcome.OK, 0.3)
    assert [send.message for _, send in driver.sends[1:]] == [2, 3], (
        "a batch call carries at most two messages, five before the change"
    )


def test_the_own_zone_is_preferred_once_crossing_zones_costs() -> None:
    driver = Driver(endpoint(1, zone=1), endpoint(2, zone=0), zones=("a", "b"))
    settings = replace(SETTINGS, zones=("a", "b"), cross_zone_price=0.1)
    change_settings(driver, 0.5, settings)
    for number in range(10):
        driver.submit(number, 1.0 + number)
        driver.end_attempt(number, Outcome.OK, 1.1 + number)
    assert set(driver.last_endpoint.values()) == {address(2)}


def test_failures_are_gossiped_once_gossip_is_allowed() -> None:
    driver = Driver()
    driver.submit(1, 0.0)
    change_settings(driver, 0.1, replace(SETTINGS, may_gossip=True))
    driver.end_attempt(1, Outcome.ERROR, 0.2)
    assert driver.gossip_sent


def test_a_settings_change_and_messages_in_one_turn_take_effect_in_order() -> None:
    driver = Driver()
    added = replace(SAFE, name="more")
    driver.turn(
        1.0,
        api.SettingsChanged(replace(SETTINGS, classes=(*SETTINGS.classes, added))),
        api.MessageReceived(1, len(SETTINGS.classes), 1, 9.0),
        driver.message_received(2, 1.0),
    )
    assert len(driver.send_times(1)) == len(driver.send_times(2)) == 1
