"""One small test for each assumption on a deployment's shape that fell, and for the mode that watches."""

from collections import Counter
from dataclasses import replace

import pytest

from irisstack import interface as api
from irisstack.choice import (
    CROWDED_DURATION,
    FAILURE_WINDOW,
    GOSSIP_FAILURE_THRESHOLD,
    MAX_INITIAL_CALL_GAP,
    OPEN_DURATION,
    OUTAGE_AFTER,
)
from irisstack.shadow import Divergence, ShadowSender
from tests.support import CLASSES, KEYED_INDEX, SETTINGS, UNSAFE_INDEX, Driver, address, endpoint

OK, FULL, ERROR, RESET = api.Outcome.OK, api.Outcome.FULL, api.Outcome.ERROR, api.Outcome.RESET
GONE = api.Outcome.CONNECT_FAILED
ZONED = tuple(replace(kind, dedup_scope=api.DedupScope.ZONE) for kind in CLASSES)
APART = (replace(SETTINGS.kinds[0], separate_routes=True), SETTINGS.kinds[1])
NOTED = {"may_gossip": True, "senders": 200}


def hear(driver: Driver, what: bytes, times: int, at: float) -> None:
    driver.turn(at, *(api.PeerMessage(3, what + b"\x01") for _ in range(times)))


def test_a_message_whose_repeats_one_zone_drops_goes_again_in_that_zone_alone() -> None:
    driver = Driver(endpoint(1, zone=0), endpoint(2, zone=1), endpoint(3, zone=1), classes=ZONED, senders=1)
    zones = {address(1): 0, address(2): 1, address(3): 1}
    for number in range(1, 9):
        driver.submit(number, number * 20.0, KEYED_INDEX)
        first = zones[driver.last_endpoint[number]]
        driver.end_attempt(number, RESET, driver.now + 0.1)
        driver.run_until_sent(number, 2)
        assert len(driver.send_times(number)) == 2
        assert zones[driver.last_endpoint[number]] == first
        driver.end_attempt(number, OK, driver.now + 0.1)


def test_limits_rates_and_silence_are_a_route_s_own_where_routes_are_apart() -> None:
    driver = Driver(endpoint(1, rate=40.0), endpoint(2, rate=1.0), kinds=APART, senders=1)
    driver.turn(1.0, *(driver.message_received(n, 1.0, UNSAFE_INDEX) for n in (1, 2)))
    slow, fast = (1, 2) if driver.last_endpoint[1] == address(2) else (2, 1)
    driver.end_attempt(fast, OK, 1.2)
    at = driver.deliver(10, 6, 1.3)  # all at the route that answers: the other's call is out
    driver.turn(at + 3.0)
    driver.submit(50, driver.now, UNSAFE_INDEX)
    assert driver.last_endpoint[50] == address(1), "an answer from one route does not hide another's silence"
    driver.end_attempt(slow, FULL, driver.now + 0.1)
    driver.end_attempt(50, FULL, driver.now + 0.1)
    assert driver.run_until_sent(50, 2) - driver.now < 0.2, (
        "40 calls a second there, not the one of the last route"
    )


def test_an_endpoint_that_failed_is_second_choice_for_a_window_not_for_good() -> None:
    driver = Driver(endpoint(1), endpoint(2))
    driver.submit(1, 1.0, UNSAFE_INDEX)
    bad = driver.last_endpoint[1]
    driver.end_attempt(1, ERROR, 1.1)
    driver.deliver(10, 8, 1.2)
    assert bad not in {driver.last_endpoint[n] for n in range(10, 18)}
    driver.deliver(20, 12, 1.2 + 2 * FAILURE_WINDOW, gap=SETTINGS.keepalive + 1.0)
    assert bad in {driver.last_endpoint[n] for n in range(20, 32)}


def test_a_refused_call_of_one_of_many_senders_comes_again_within_seconds() -> None:
    times = []
    for seed in range(20):
        driver = Driver(endpoint(1), senders=200, listed_rates=False, report_fields=(), seed=seed)
        driver.submit(1, 1.0)
        driver.end_attempt(1, FULL, 1.1)
        driver.turn(12.0)
        times.append(driver.send_times(1)[1] - 1.1)
    assert 0.5 * MAX_INITIAL_CALL_GAP <= min(times) < 0.8 * MAX_INITIAL_CALL_GAP
    assert 1.2 * MAX_INITIAL_CALL_GAP < max(times) <= 1.5 * MAX_INITIAL_CALL_GAP


@pytest.mark.parametrize("outcome", [ERROR, GONE])
def test_a_failure_is_told_and_a_run_of_them_from_anyone_opens_the_row_as_cold(outcome: api.Outcome) -> None:
    driver = Driver(**NOTED)
    driver.submit(1, 1.0, UNSAFE_INDEX)
    driver.end_attempt(1, outcome, 1.1)
    assert driver.gossip_sent == [(1.1, b"F\x01")]
    hear(driver, b"F", GOSSIP_FAILURE_THRESHOLD - 2, 1.2)
    driver.submit(2, 1.3, UNSAFE_INDEX)
    assert driver.send_times(2) == [1.3], "one failure of its own opens nothing"
    driver.end_attempt(2, OK, 1.35)
    assert (1.35, b"S\x01") in driver.gossip_sent
    hear(driver, b"F", GOSSIP_FAILURE_THRESHOLD, 1.5)
    driver.submit(3, 1.6)
    driver.turn(1.5 + OPEN_DURATION - 0.1)
    assert not driver.send_times(3)
    hear(driver, b"S", 1, 1.5 + OPEN_DURATION + 0.1)
    assert driver.run_until_sent(3) > 1.5 + OPEN_DURATION
    driver.turn(driver.now, *(driver.message_received(n, driver.now) for n in range(10, 16)))
    driver.turn(driver.now + 2.0)
    assert sum(bool(driver.send_times(n)) for n in range(10, 16)) < 6, "what returns is not pushed"


def test_refusals_at_a_sender_with_few_calls_are_no_outage_until_all_say_so() -> None:
    def sent(noted: bool) -> int:
        driver = Driver(endpoint(1), senders=200, may_gossip=noted, max_attempts=9)
        driver.submit(1, 1.0)
        for attempt in (1, 2, 3):
            driver.end_attempt(1, FULL, driver.now + 0.1)
            driver.run_until_sent(1, attempt + 1)
        assert all(told > 1.1 + OUTAGE_AFTER for told, _ in driver.gossip_sent)
        assert bool(driver.gossip_sent) == noted
        driver.end_attempt(1, OK, driver.now + 0.1)
        at = driver.now
        driver.turn(at, *(driver.message_received(n, at) for n in (50, 51, 52, 53)))
        driver.turn(at + 12.0)
        return sum(bool(driver.send_times(n)) for n in (50, 51, 52, 53))

    assert sent(noted=False) < sent(noted=True)


@pytest.mark.parametrize(
    "notes",
    [
        ([b"F\x01"] * (GOSSIP_FAILURE_THRESHOLD - 1) + [b"S\x01"]) * 3,
        [b"", b"F", b"F\x07", b"?\x01", b"S" * 256],
    ],
)
def test_notes_that_name_nothing_here_or_hold_a_success_open_nothing(notes: list[bytes]) -> None:
    driver = Driver(**NOTED)
    driver.turn(1.0, *(api.PeerMessage(9, data) for data in notes))
    driver.submit(1, 1.1)
    assert (driver.send_times(1), driver.gossip_sent) == ([1.1], [])


def test_connections_are_kept_where_a_full_table_is_told_and_given_back_once_it_is() -> None:
    driver = Driver(**NOTED)
    driver.deliver(1, 1, 1.0)
    assert driver.closed_idle == []
    hear(driver, b"C", 1, 2.0)
    driver.deliver(2, 1, 2.1)
    assert len(driver.closed_idle) == 1
    driver.deliver(3, 1, 2.2 + CROWDED_DURATION)
    assert len(driver.closed_idle) == 1
    driver.turn(40.0, *(driver.message_received(n, 40.0) for n in (4, 5)))
    driver.turn(40.1, driver.attempt_ended(4, GONE, 40.1))
    driver.deliver(6, 2, 40.2)
    assert (b"C\x01") in [note for _, note in driver.gossip_sent]


def test_an_endpoint_in_the_own_zone_goes_first_where_crossing_has_a_price() -> None:
    for zone, price in ((0, 0.01), (1, 0.01), (1, 0.0)):
        driver = Driver(
            endpoint(1, zone=0), endpoint(2, zone=1), zones=("a", "b"), zone=zone, cross_zone_price=price
        )
        driver.deliver(1, 12, 1.0, gap=11.0)
        places = {driver.last_endpoint[n] for n in range(1, 13)}
        assert places == ({address(zone + 1)} if price else {address(1), address(2)})


def test_watching_decides_as_before_and_counts_what_would_have_gone_otherwise() -> None:
    def play(trial: api.Settings | None) -> tuple[Driver, Counter[Divergence]]:
        counts: Counter[Divergence] = Counter()
        places = endpoint(1), endpoint(2, zone=1), endpoint(3, destination=2)
        driver = Driver(*places, senders=200)
        if trial is not None:
            driver.sender = ShadowSender(
                driver.sender._settings, trial, 1, lambda kind: counts.update([kind])
            )
        driver.turn(0.5, api.EndpointsUpdated(api.UpdateScope.CACHED, 1, places))
        driver.deliver(1, 12, 1.0)
        driver.submit(15, driver.now, UNSAFE_INDEX, destination=2)
        driver.end_attempt(15, ERROR, driver.now + 0.1)
        for number, outcome in ((20, ERROR), (21, GONE), (22, FULL)):
            driver.submit(number, driver.now + 0.5, UNSAFE_INDEX)
            if driver.send_times(number):
                driver.end_attempt(number, outcome, driver.now + 0.1)
        driver.turn(60.0)
        return driver, counts

    trial = replace(
        SETTINGS,
        senders=200,
        may_gossip=True,
        zone=1,
        cross_zone_price=0.01,
        classes=tuple(replace(kind, effect=api.Effect.KEYED, dedup_window=20.0) for kind in CLASSES),
    )
    plain, _ = play(None)
    watched, counts = play(trial)
    assert (watched.sends, watched.refused, watched.failed) == (plain.sends, plain.refused, plain.failed)
    assert watched.gossip_sent == []
    assert set(counts) == set(Divergence)
    same, none = play(replace(SETTINGS, senders=200))
    assert same.sends == plain.sends
    assert not none


def test_one_that_may_have_run_is_told_the_close_and_not_its_turn_after_it() -> None:
    driver = Driver(senders=200)
    driver.turn(
        1.0, *(driver.message_received(n, 1.0, KEYED_INDEX, due=1.3 + OPEN_DURATION) for n in (1, 2, 3))
    )
    driver.turn(1.1, *(driver.attempt_ended(n, ERROR, 1.1) for n in (1, 2, 3)))
    assert [driver.refused[n].retry_after for n in (1, 2, 3)] == [pytest.approx(OPEN_DURATION)] * 3
