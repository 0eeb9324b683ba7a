"""Settings that change between two turns, through `Sender.turn`."""

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


def changed(driver: Driver, at: float, settings: api.Settings) -> list[api.Action]:
    return driver.turn(at, api.SettingsChanged(settings))


def test_a_change_alone_decides_nothing() -> None:
    driver = Driver()
    assert changed(driver, 1.0, replace(SETTINGS, senders=840)) == []


def test_a_held_message_keeps_the_terms_of_its_class() -> None:
    driver = Driver(endpoint(1, state=api.EndpointState.GONE))
    driver.submit(1, 1.0, SAFE_INDEX)
    driver.submit(2, 1.0, UNSAFE_INDEX)
    short = replace(SAFE, latency_target=0.5, deadline=1.0)
    changed(driver, 2.0, replace(SETTINGS, classes=(short, KEYED, UNSAFE, ORDERED)))
    driver.turn(15.0, api.EndpointsUpdated(api.UpdateScope.DELTA, 2, (endpoint(1),)))
    assert (len(driver.send_times(1)), len(driver.send_times(2))) == (1, 1)
    assert not driver.refused
    assert not driver.failed


def test_a_keyed_message_with_a_repeat_pending_keeps_its_window() -> None:
    driver = Driver()
    driver.submit(1, 0.0, KEYED_INDEX)
    driver.end_attempt(1, Outcome.RESET, 1.0)  # it may have run
    changed(driver, 1.1, replace(SETTINGS, classes=(SAFE, KEYED, UNSAFE, ORDERED), senders=1))
    driver.run_until_sent(1, attempts=2)
    assert len(driver.send_times(1)) == 2
    assert driver.sends[-1][1].write_deadline == pytest.approx(0.0 + KEYED.dedup_window)


def test_an_unsafe_message_that_may_have_run_is_failed_under_other_settings_too() -> None:
    driver = Driver()
    driver.submit(1, 0.0, UNSAFE_INDEX)
    changed(driver, 0.1, replace(SETTINGS, max_attempts=50))
    driver.end_attempt(1, Outcome.RESET, 0.5)
    assert driver.failed == {1}
    assert len(driver.send_times(1)) == 1


def test_a_new_class_at_a_new_position_is_taken() -> None:
    driver = Driver()
    more = replace(SAFE, name="more", deadline=4.0, latency_target=1.0)
    changed(driver, 1.0, replace(SETTINGS, classes=(*SETTINGS.classes, more)))
    driver.turn(1.0, api.MessageReceived(1, len(SETTINGS.classes), 1, 5.0))
    assert driver.send_times(1) == [1.0]
    driver.end_attempt(1, Outcome.ERROR, 1.2)  # a failure looks at each class that there is
    driver.turn(1.3, api.MessageReceived(2, len(SETTINGS.classes), 1, 5.3))
    assert 2 in driver.attempts


def test_ordered_messages_keep_their_order_across_a_change() -> None:
    driver = Driver()
    for number in (1, 2, 3):
        driver.submit(number, 0.0, ORDERED_INDEX, key=7)
    changed(driver, 0.1, replace(SETTINGS, order_pause=0.0, max_calls=2))
    for number in (1, 2, 3):
        assert len(driver.send_times(number)) == 1
        driver.end_attempt(number, Outcome.OK, driver.now + 0.2)
    assert [send.message for _, send in driver.sends] == [1, 2, 3]


def test_fewer_calls_count_for_those_that_come_and_cut_none() -> None:
    driver = Driver(*(endpoint(n, destination=n) for n in range(1, 13)))
    for number in range(1, 7):
        driver.submit(number, 1.0, destination=number)
    assert len(driver.sends) == 6
    changed(driver, 1.1, replace(SETTINGS, max_calls=3))
    for number in range(7, 10):
        driver.submit(number, 1.2, destination=number)
    assert len(driver.sends) == 6
    assert not driver.cancelled
    for number in range(1, 5):
        driver.end_attempt(number, Outcome.OK, 1.3)
    assert len(driver.sends) == 7, "two out of the first six are left, and one more may go"
    changed(driver, 1.4, SETTINGS)
    driver.turn(1.5)
    assert len(driver.sends) == 9


def test_fewer_held_messages_drop_none_of_those_that_are_held() -> None:
    driver = Driver(endpoint(1, state=api.EndpointState.GONE))
    for number in range(20):
        driver.submit(number, 1.0)
    changed(driver, 1.1, replace(SETTINGS, max_pending=5))
    driver.turn(1.2)
    assert not driver.refused
    assert not driver.failed
    driver.submit(20, 1.3)
    assert len(driver.refused) == 1, "one that comes now is one too many"


def test_fewer_attempts_count_when_a_message_is_put_in_line_again() -> None:
    driver = Driver()
    driver.submit(1, 0.0)
    driver.end_attempt(1, Outcome.ERROR, 0.1)
    driver.run_until_sent(1, attempts=2)
    changed(driver, driver.now, replace(SETTINGS, max_attempts=2))
    driver.end_attempt(1, Outcome.ERROR, driver.now + 0.1)
    assert len(driver.send_times(1)) == 2
    assert 1 in driver.refused


def test_a_message_that_waits_for_another_attempt_as_the_cap_falls_still_has_it() -> None:
    driver = Driver()
    driver.submit(1, 0.0)
    for at in (0.1, 0.2, 0.3):  # the third opens the breaker
        driver.end_attempt(1, Outcome.ERROR, at)
    made = len(driver.send_times(1))
    changed(driver, driver.now, replace(SETTINGS, max_attempts=1))
    driver.run_until_sent(1, attempts=made + 1)
    assert len(driver.send_times(1)) == made + 1
    driver.end_attempt(1, Outcome.ERROR, driver.now + 0.1)
    assert 1 in driver.refused


def test_a_destinations_kind_follows_by_its_name() -> None:
    driver = Driver(endpoint(1, kind=1), max_calls=1)
    shared = replace(SETTINGS.kinds[1], max_batch=2)
    settings = replace(SETTINGS, max_calls=1, kinds=(SETTINGS.kinds[0], shared))
    driver.submit(1, 0.0)
    for number in range(2, 6):
        driver.submit(number, 0.1)
    changed(driver, 0.2, settings)
    driver.end_attempt(1, Outcome.OK, 0.3)
    assert [send.message for _, send in driver.sends[1:]] == [2, 3], "a call takes two, where it took five"


def test_where_crossing_gets_a_price_the_own_zone_goes_first() -> None:
    driver = Driver(endpoint(1, zone=1), endpoint(2, zone=0), zones=("a", "b"))
    settings = replace(SETTINGS, zones=("a", "b"), cross_zone_price=0.1)
    changed(driver, 0.5, settings)
    for number in range(10):
        driver.submit(number, 1.0 + number)
        driver.end_attempt(number, Outcome.OK, 1.1 + number)
    assert set(driver.last_endpoint.values()) == {address(2)}


def test_notes_are_told_once_that_is_allowed() -> None:
    driver = Driver()
    driver.submit(1, 0.0)
    changed(driver, 0.1, replace(SETTINGS, may_gossip=True))
    driver.end_attempt(1, Outcome.ERROR, 0.2)
    assert driver.gossip_sent


def test_a_change_and_messages_of_one_turn_go_in_their_order() -> None:
    driver = Driver()
    more = replace(SAFE, name="more")
    driver.turn(
        1.0,
        api.SettingsChanged(replace(SETTINGS, classes=(*SETTINGS.classes, more))),
        api.MessageReceived(1, len(SETTINGS.classes), 1, 9.0),
        driver.message_received(2, 1.0),
    )
    assert len(driver.send_times(1)) == len(driver.send_times(2)) == 1
