"""Deployments that differ from the common one in zones, routes, fleet size or gossip; shadow evaluation.

Each test guards an assumption about deployments that once held and no longer does.
"""

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
CONNECT_FAILED = api.Outcome.CONNECT_FAILED
ZONE_DEDUP_CLASSES = tuple(
    replace(message_class, dedup_scope=api.DedupScope.ZONE) for message_class in CLASSES
)
SEPARATE_ROUTE_KINDS = (replace(SETTINGS.kinds[0], separate_routes=True), SETTINGS.kinds[1])
GOSSIPING = {"may_gossip": True, "senders": 200}


def receive_gossip(driver: Driver, kind: bytes, times: int, at: float) -> None:
    driver.turn(at, *(api.PeerMessage(3, kind + b"\x01") for _ in range(times)))


def test_a_message_deduplicated_per_zone_is_retried_in_its_first_zone_only() -> None:
    driver = Driver(
        endpoint(1, zone=0), endpoint(2, zone=1), endpoint(3, zone=1), classes=ZONE_DEDUP_CLASSES, senders=1
    )
    zone_of = {address(1): 0, address(2): 1, address(3): 1}
    for number in range(1, 9):
        driver.submit(number, number * 20.0, KEYED_INDEX)
        first_zone = zone_of[driver.last_endpoint[number]]
        driver.end_attempt(number, RESET, driver.now + 0.1)
        driver.run_until_sent(number, 2)
        assert len(driver.send_times(number)) == 2
        assert zone_of[driver.last_endpoint[number]] == first_zone
        driver.end_attempt(number, OK, driver.now + 0.1)


def test_separate_routes_have_their_own_limits_rates_and_timeouts() -> None:
    driver = Driver(endpoint(1, rate=40.0), endpoint(2, rate=1.0), kinds=SEPARATE_ROUTE_KINDS, senders=1)
    driver.turn(1.0, *(driver.message_received(n, 1.0, UNSAFE_INDEX) for n in (1, 2)))
    slow, fast = (1, 2) if driver.last_endpoint[1] == address(2) else (2, 1)
    driver.end_attempt(fast, OK, 1.2)
    at = driver.deliver(10, 6, 1.3)  # all on the route that answers: the other still has a call in flight
    driver.turn(at + 3.0)
    driver.submit(50, driver.now, UNSAFE_INDEX)
    assert driver.last_endpoint[50] == address(1), (
        "an answer on one route does not hide that the other is silent"
    )
    driver.end_attempt(slow, FULL, driver.now + 0.1)
    driver.end_attempt(50, FULL, driver.now + 0.1)
    assert driver.run_until_sent(50, 2) - driver.now < 0.2, (
        "paced by its own rate of 40 calls/s, not by the 1 call/s of the other route"
    )


def test_a_failed_endpoint_is_avoided_for_one_failure_window_only() -> None:
    driver = Driver(endpoint(1), endpoint(2))
    driver.submit(1, 1.0, UNSAFE_INDEX)
    failed = driver.last_endpoint[1]
    driver.end_attempt(1, ERROR, 1.1)
    driver.deliver(10, 8, 1.2)
    assert failed not in {driver.last_endpoint[n] for n in range(10, 18)}
    driver.deliver(20, 12, 1.2 + 2 * FAILURE_WINDOW, gap=SETTINGS.keepalive + 1.0)
    assert failed in {driver.last_endpoint[n] for n in range(20, 32)}


def test_one_of_many_senders_retries_a_refused_call_within_seconds() -> None:
    delays = []
    for seed in range(20):
        driver = Driver(endpoint(1), senders=200, listed_rates=False, report_fields=(), seed=seed)
        driver.submit(1, 1.0)
        driver.end_attempt(1, FULL, 1.1)
        driver.turn(12.0)
        delays.append(driver.send_times(1)[1] - 1.1)
    assert 0.5 * MAX_INITIAL_CALL_GAP <= min(delays) < 0.8 * MAX_INITIAL_CALL_GAP
    assert 1.2 * MAX_INITIAL_CALL_GAP < max(delays) <= 1.5 * MAX_INITIAL_CALL_GAP


@pytest.mark.parametrize("outcome", [ERROR, CONNECT_FAILED])
def test_a_failure_is_gossiped_and_enough_from_any_sender_open_the_breaker_with_a_warm_up(
    outcome: api.Outcome,
) -> None:
    driver = Driver(**GOSSIPING)
    driver.submit(1, 1.0, UNSAFE_INDEX)
    driver.end_attempt(1, outcome, 1.1)
    assert driver.gossip_sent == [(1.1, b"F\x01")]
    receive_gossip(driver, b"F", GOSSIP_FAILURE_THRESHOLD - 2, 1.2)
    driver.submit(2, 1.3, UNSAFE_INDEX)
    assert driver.send_times(2) == [1.3], (
        "fewer failures than the threshold, one of them local, do not open the breaker"
    )
    driver.end_attempt(2, OK, 1.35)
    assert (1.35, b"S\x01") in driver.gossip_sent
    receive_gossip(driver, b"F", GOSSIP_FAILURE_THRESHOLD, 1.5)
    driver.submit(3, 1.6)
    driver.turn(1.5 + OPEN_DURATION - 0.1)
    assert not driver.send_times(3)
    receive_gossip(driver, b"S", 1, 1.5 + OPEN_DURATION + 0.1)
    assert driver.run_until_sent(3) > 1.5 + OPEN_DURATION
    driver.turn(driver.now, *(driver.message_received(n, driver.now) for n in range(10, 16)))
    driver.turn(driver.now + 2.0)
    assert sum(bool(driver.send_times(n)) for n in range(10, 16)) < 6, "a recovering destination is warmed up"


def test_a_sender_with_few_calls_takes_refusals_for_an_outage_only_with_gossip() -> None:
    def sent_after_recovery(gossip: bool) -> int:
        driver = Driver(endpoint(1), senders=200, may_gossip=gossip, max_attempts=9)
        driver.submit(1, 1.0)
        for attempt in (1, 2, 3):
            driver.end_attempt(1, FULL, driver.now + 0.1)
            driver.run_until_sent(1, attempt + 1)
        assert all(sent_at > 1.1 + OUTAGE_AFTER for sent_at, _ in driver.gossip_sent)
        assert bool(driver.gossip_sent) == gossip
        driver.end_attempt(1, OK, driver.now + 0.1)
        at = driver.now
        driver.turn(at, *(driver.message_received(n, at) for n in (50, 51, 52, 53)))
        driver.turn(at + 12.0)
        return sum(bool(driver.send_times(n)) for n in (50, 51, 52, 53))

    assert sent_after_recovery(gossip=False) < sent_after_recovery(gossip=True)


@pytest.mark.parametrize(
    "datagrams",
    [
        ([b"F\x01"] * (GOSSIP_FAILURE_THRESHOLD - 1) + [b"S\x01"]) * 3,
        [b"", b"F", b"F\x07", b"?\x01", b"S" * 256],
    ],
)
def test_gossip_about_unknown_keys_or_with_successes_opens_no_breaker(datagrams: list[bytes]) -> None:
    driver = Driver(**GOSSIPING)
    driver.turn(1.0, *(api.PeerMessage(9, data) for data in datagrams))
    driver.submit(1, 1.1)
    assert (driver.send_times(1), driver.gossip_sent) == ([1.1], [])


def test_idle_connections_are_closed_only_after_crowding_is_gossiped() -> None:
    driver = Driver(**GOSSIPING)
    driver.deliver(1, 1, 1.0)
    assert driver.closed_idle == []
    receive_gossip(driver, b"C", 1, 2.0)
    driver.deliver(2, 1, 2.1)
    assert len(driver.closed_idle) == 1
    driver.deliver(3, 1, 2.2 + CROWDED_DURATION)
    assert len(driver.closed_idle) == 1
    driver.turn(40.0, *(driver.message_received(n, 40.0) for n in (4, 5)))
    driver.turn(40.1, driver.attempt_ended(4, CONNECT_FAILED, 40.1))
    driver.deliver(6, 2, 40.2)
    assert (b"C\x01") in [datagram for _, datagram in driver.gossip_sent]


def test_endpoints_in_the_own_zone_are_preferred_when_crossing_zones_costs() -> None:
    for zone, cost in ((0, 0.01), (1, 0.01), (1, 0.0)):
        driver = Driver(
            endpoint(1, zone=0), endpoint(2, zone=1), zones=("a", "b"), zone=zone, cross_zone_price=cost
        )
        driver.deliver(1, 12, 1.0, gap=11.0)
        used = {driver.last_endpoint[n] for n in range(1, 13)}
        assert used == ({address(zone + 1)} if cost else {address(1), address(2)})


def test_shadow_evaluation_changes_no_decision_and_counts_divergences() -> None:
    def run(trial: api.Settings | None) -> tuple[Driver, Counter[Divergence]]:
        counts: Counter[Divergence] = Counter()
        endpoints = endpoint(1), endpoint(2, zone=1), endpoint(3, destination=2)
        driver = Driver(*endpoints, senders=200)
        if trial is not None:
            driver.sender = ShadowSender(
                driver.sender._settings, trial, 1, lambda divergence: counts.update([divergence])
            )
        driver.turn(0.5, api.EndpointsUpdated(api.UpdateScope.CACHED, 1, endpoints))
        driver.deliver(1, 12, 1.0)
        driver.submit(15, driver.now, UNSAFE_INDEX, destination=2)
        driver.end_attempt(15, ERROR, driver.now + 0.1)
        for number, outcome in ((20, ERROR), (21, CONNECT_FAILED), (22, FULL)):
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
        classes=tuple(
            replace(message_class, effect=api.Effect.KEYED, dedup_window=20.0) for message_class in CLASSES
        ),
    )
    expected, _ = run(None)
    shadowed, counts = run(trial)
    assert (shadowed.sends, shadowed.refused, shadowed.failed) == (
        expected.sends,
        expected.refused,
        expected.failed,
    )
    assert shadowed.gossip_sent == []
    assert set(counts) == set(Divergence)
    unchanged, no_counts = run(replace(SETTINGS, senders=200))
    assert unchanged.sends == expected.sends
    assert not no_counts


def test_retry_after_of_a_message_that_may_have_run_is_the_time_until_the_breaker_closes() -> None:
    driver = Driver(senders=200)
    driver.turn(
        1.0, *(driver.message_received(n, 1.0, KEYED_INDEX, due=1.3 + OPEN_DURATION) for n in (1, 2, 3))
    )
    driver.turn(1.1, *(driver.attempt_ended(n, ERROR, 1.1) for n in (1, 2, 3)))
    assert [driver.refused[n].retry_after for n in (1, 2, 3)] == [pytest.approx(OPEN_DURATION)] * 3
