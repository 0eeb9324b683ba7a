"""Regression tests for faults of the decisions, one for each."""

import gc
from dataclasses import replace

import pytest

from irisstack import interface as api
from irisstack.choice import (
    CROWDED_DURATION,
    FAILURE_THRESHOLD,
    OPEN_DURATION,
    OUTAGE_AFTER,
    STALE_LOSS_THRESHOLD,
    TOLERATED_FAILURE_RATIO,
)
from irisstack.delivery_state import Destination
from tests.support import CLASSES, KEYED_INDEX, SETTINGS, UNSAFE_INDEX, Driver, address, endpoint

OK, FULL, ERROR, RESET = api.Outcome.OK, api.Outcome.FULL, api.Outcome.ERROR, api.Outcome.RESET


def send_delays(driver: Driver, at: float, first: int, count: int = 3) -> list[float]:
    """Seconds until each of some messages submitted together is sent."""
    numbers = range(first, first + count)
    driver.turn(at, *(driver.message_received(n, at) for n in numbers))
    driver.turn(at + 12.0)
    return sorted(sent_at - at for n in numbers for sent_at in driver.send_times(n)[:1])


def test_an_outcome_that_opens_the_breaker_gives_up_its_message_once() -> None:
    driver = Driver()
    driver.turn(1.0, *(driver.message_received(n, 1.0, due=2.0) for n in (1, 2, 3)))
    driver.turn(1.1, *(driver.attempt_ended(n, FULL, 1.1) for n in (1, 2, 3)))
    assert set(driver.refused) == {1, 2, 3}


def test_refusals_while_calls_are_accepted_are_not_an_outage() -> None:
    driver = Driver()
    driver.turn(1.0, *(driver.message_received(n, 1.0) for n in (1, 2, 3, 4)))
    driver.end_attempt(4, OK, 1.05)
    driver.turn(1.1, *(driver.attempt_ended(n, FULL, 1.1) for n in (1, 2, 3)))
    driver.turn(1.2, *(api.MessageWithdrawn(n) for n in (1, 2, 3)))
    delays = send_delays(driver, 1.1 + OPEN_DURATION + 2.0, 50)
    assert delays[-1] < 3.0


def test_refusals_while_the_reported_limit_is_in_use_are_never_an_outage() -> None:
    def delays(remaining_share: float) -> list[float]:
        driver = Driver()
        driver.submit(1, 1.0)
        for attempt in (1, 2, 3):
            driver.end_attempt(
                1, FULL, driver.now + 0.1, retry_after=OUTAGE_AFTER / 2.0, report=(remaining_share, 4.0)
            )
            driver.run_until_sent(1, attempt + 1)
        driver.end_attempt(1, OK, driver.now + 0.1)
        return send_delays(driver, driver.now + 0.1, 50)

    assert len(delays(0.1)) == 3 > len(delays(0.95))


@pytest.mark.parametrize(
    ("senders", "successes", "report", "is_outage"),
    [
        (200, 0, (), True),
        (200, 0, (0.95, 4.0), True),
        (200, 0, (0.0, 4.0), True),
        (200, 1, (), False),
        (200, 1, (0.95, 4.0), False),
        (200, 1, (0.0, 4.0), False),
        (200, 1, (0.1, 4.0), False),
        (2, 0, (), False),
    ],
)
def test_a_long_gap_after_a_refusal_without_a_known_cause_is_an_outage(
    senders: int, successes: int, report: tuple[float, ...], is_outage: bool
) -> None:
    """One of very many senders sees a single refusal in an outage; two calls in a window would show it."""
    driver = Driver(senders=senders)
    driver.deliver(90, successes, 0.2)
    driver.submit(1, 1.0, due=100.0)
    driver.end_attempt(1, FULL, 1.1, report=report)
    driver.end_attempt(1, OK, driver.run_until_sent(1, attempts=2) + 0.1)
    sent_at_once = [delay for delay in send_delays(driver, driver.now + 0.1, 50) if delay < 1.0]
    assert (len(sent_at_once) < 3) == is_outage


def test_long_refusals_without_an_accepted_call_are_an_outage() -> None:
    driver = Driver()
    driver.submit(1, 1.0)
    driver.end_attempt(1, FULL, 1.1, retry_after=OUTAGE_AFTER + 1.0)
    closes_at = 1.1 + OUTAGE_AFTER + 1.0
    numbers = range(50, 56)
    driver.turn(2.0, *(driver.message_received(n, 2.0) for n in numbers))
    driver.turn(closes_at + 5.5)
    budget = 5.5 * 4.0 * SETTINGS.warmup_start_share * SETTINGS.overload_multiple / SETTINGS.senders
    assert 1 <= len(driver.sends) - 1 <= 1 + budget


def test_an_outage_is_remembered_between_two_openings() -> None:
    driver = Driver()
    failed = api.Outcome.CONNECT_FAILED
    driver.turn(1.0, *(driver.message_received(n, 1.0) for n in (1, 2, 3)))
    driver.turn(1.1, *(driver.attempt_ended(n, failed, 1.1) for n in (1, 2, 3)))
    driver.turn(1.2, *(api.MessageWithdrawn(n) for n in (1, 2, 3)))
    # The breaker has closed, the window has ended, and no call was accepted since.
    at = 1.1 + OPEN_DURATION + OUTAGE_AFTER + 7.0
    driver.turn(at, *(driver.message_received(n, at) for n in (4, 5, 6)))
    driver.turn(at + 0.1, *(driver.attempt_ended(n, failed, at + 0.1) for n in (4, 5, 6)))
    driver.turn(at + 0.2, *(api.MessageWithdrawn(n) for n in (4, 5, 6)))
    delays = send_delays(driver, at + 0.1 + OPEN_DURATION + 0.1, 50)
    assert sum(delay < delays[0] + 3.0 for delay in delays) == 1


def test_a_few_errors_among_many_successes_do_not_open_the_breaker() -> None:
    driver = Driver()
    driver.submit(1, 1.0, UNSAFE_INDEX)
    driver.end_attempt(1, ERROR, 1.1)
    at = driver.deliver(10, int(3 / TOLERATED_FAILURE_RATIO) + 1, 1.2, gap=0.2)
    for number in (2, 3):
        driver.submit(number, at, UNSAFE_INDEX)
        driver.end_attempt(number, ERROR, at + 0.1)
        at += 0.2
    driver.submit(50, at)
    assert driver.send_times(50) == [at]


def test_refusals_among_many_successes_open_the_breaker() -> None:
    driver = Driver()
    driver.submit(1, 1.0)
    driver.end_attempt(1, FULL, 1.1)
    driver.turn(1.2, api.MessageWithdrawn(1))
    at = driver.deliver(10, int(3 / TOLERATED_FAILURE_RATIO) + 1, 1.7, gap=0.56)
    for number in (2, 3):
        driver.submit(number, at)
        driver.end_attempt(number, FULL, at + 0.1)
        driver.turn(at + 0.15, api.MessageWithdrawn(number))
        at += 0.8
    driver.submit(50, at - 0.6, due=at + OPEN_DURATION - 0.7)
    assert 50 in driver.refused


def lose_idle_calls(driver: Driver, outcome: api.Outcome, count: int, at: float = 1.0) -> float:
    """Make calls on connections idle for 2 s that end with this outcome; returns the time after."""
    for number in range(100, 100 + count):
        driver.submit(number, at)
        driver.end_attempt(number, OK, at + 0.1)
        driver.submit(number + 100, at + 2.1, UNSAFE_INDEX)
        driver.end_attempt(number + 100, outcome, at + 2.13)
        at += 14.0
    return at


def test_idle_connections_are_closed_before_a_call_once_calls_were_lost_on_them() -> None:
    driver = Driver()
    at = lose_idle_calls(driver, RESET, int(STALE_LOSS_THRESHOLD))
    assert driver.closed_idle == []
    driver.submit(50, at)
    driver.end_attempt(50, OK, at + 0.1)
    driver.submit(51, at + 0.3)
    driver.end_attempt(51, OK, at + 0.4)
    before = len(driver.closed_idle)
    driver.submit(52, at + 3.0)
    assert driver.closed_idle[before:] == [(at + 3.0, address(1))]
    assert driver.send_times(52) == [at + 3.0]


def test_resets_of_busy_connections_do_not_count_against_idle_ones() -> None:
    driver = Driver()
    at = 1.0
    for number in range(100, 120):
        driver.submit(number, at, UNSAFE_INDEX)
        driver.end_attempt(number, RESET if number % 10 == 5 else OK, at + 0.05)
        at += 0.3
    driver.submit(50, at + 20.0)
    driver.end_attempt(50, OK, at + 20.1)
    driver.submit(51, at + 24.0)
    assert driver.closed_idle == []


def test_silence_opens_the_breaker_before_the_timeout() -> None:
    driver = Driver()
    driver.deliver(10, 5, 1.0)
    driver.turn(5.0, *(driver.message_received(n, 5.0, UNSAFE_INDEX) for n in (1, 2, 3)))
    driver.turn(7.5)
    driver.submit(50, 7.5, due=8.2)
    assert 50 in driver.refused
    assert not driver.failed


def test_slow_messages_do_not_count_as_failures_while_others_succeed() -> None:
    driver = Driver()
    driver.turn(1.0, *(driver.message_received(n, 1.0, UNSAFE_INDEX) for n in (1, 2, 3)))
    at = driver.deliver(10, 10, 1.5)
    driver.submit(50, at)
    assert driver.send_times(50) == [at]


def test_calls_stuck_at_a_silent_destination_are_cancelled_when_others_need_slots() -> None:
    driver = Driver(endpoint(1), endpoint(2, destination=2), max_calls=2)
    driver.turn(1.0, *(driver.message_received(n, 1.0, UNSAFE_INDEX) for n in (1, 2)))
    driver.submit(50, 6.0, destination=2)
    assert [number for _, number in driver.cancelled] == [1]
    driver.end_attempt(1, api.Outcome.CANCELLED, 6.01)
    assert driver.failed == {1}
    assert driver.send_times(50) == [6.01]


def test_a_repeatable_stuck_call_is_cancelled_before_an_unsafe_one() -> None:
    driver = Driver(endpoint(1), endpoint(2, destination=2), max_calls=2)
    driver.submit(1, 1.0, UNSAFE_INDEX)
    driver.submit(2, 1.2)
    driver.submit(50, 5.0, destination=2)
    assert [number for _, number in driver.cancelled] == [2]


def test_stuck_calls_are_kept_while_no_slot_is_needed_or_without_may_cancel() -> None:
    driver = Driver(endpoint(1), endpoint(2, destination=2), max_calls=2)
    driver.turn(1.0, *(driver.message_received(n, 1.0, UNSAFE_INDEX) for n in (1, 2)))
    driver.turn(15.0)
    assert driver.cancelled == []
    without_cancel = Driver(endpoint(1), endpoint(2, destination=2), max_calls=2, may_cancel=False)
    without_cancel.turn(1.0, *(without_cancel.message_received(n, 1.0, UNSAFE_INDEX) for n in (1, 2)))
    without_cancel.submit(50, 6.0, destination=2)
    assert without_cancel.cancelled == []


def test_a_call_in_flight_past_its_timeout_is_cancelled_though_others_are_answered() -> None:
    driver = Driver(endpoint(1), endpoint(2, destination=2), max_calls=3)
    driver.submit(1, 1.0, UNSAFE_INDEX)
    driver.deliver(10, 15, 1.2)
    driver.turn(9.5, *(driver.message_received(n, 9.5, destination=2) for n in (50, 51, 52)))
    assert [number for _, number in driver.cancelled] == [1]


def test_one_destination_cannot_use_all_slots() -> None:
    driver = Driver(endpoint(1), endpoint(2, destination=2), max_calls=6)
    driver.turn(1.0, *(driver.message_received(n, 1.0) for n in range(1, 20)))
    driver.submit(50, 1.1, destination=2)
    assert driver.send_times(50) == [1.1]


def test_scarce_slots_go_to_calls_with_the_most_worth_per_time() -> None:
    driver = Driver(endpoint(1), endpoint(2, destination=2), max_calls=2)
    driver.submit(1, 1.0)
    driver.end_attempt(1, OK, 2.5)
    driver.submit(2, 3.0, destination=2)
    driver.end_attempt(2, OK, 3.1)
    both_in_flight = (driver.message_received(3, 4.0), driver.message_received(4, 4.0, destination=2))
    driver.turn(4.0, *both_in_flight)
    driver.turn(4.1, driver.message_received(5, 4.1), driver.message_received(6, 4.1, destination=2))
    driver.end_attempt(3, OK, 4.2)
    assert driver.send_times(6) == [4.2]
    assert driver.send_times(5) == []


def test_at_the_limit_on_pending_messages_the_longest_wait_is_refused() -> None:
    driver = Driver(endpoint(1), endpoint(2, destination=2), max_pending=6, max_calls=2)
    driver.submit(1, 1.0)
    driver.end_attempt(1, FULL, 1.1, retry_after=5.0)
    for number in range(2, 5):
        driver.submit(number, 1.2)
    for number in range(50, 54):
        driver.submit(number, 1.3, destination=2)
    assert set(driver.refused) <= {1, 2, 3, 4}
    assert len(driver.refused) >= 2
    assert all(refusal.retry_after for refusal in driver.refused.values())


def test_an_endpoint_is_avoided_after_a_failure_but_not_after_a_refusal() -> None:
    driver = Driver(endpoint(1), endpoint(2))
    driver.submit(1, 1.0, UNSAFE_INDEX)
    failed_endpoint = driver.last_endpoint[1]
    driver.end_attempt(1, ERROR, 1.1)
    at = 1.2
    for number in range(10, 14):
        driver.submit(number, at, KEYED_INDEX)
        assert driver.last_endpoint[number] != failed_endpoint
        driver.end_attempt(number, OK, at + 0.1)
        at += 0.2
    refusing = Driver(endpoint(1), endpoint(2))
    refusing.submit(1, 1.0)
    first_endpoint = refusing.last_endpoint[1]
    refusing.end_attempt(1, FULL, 1.1)
    refusing.turn(2.0)
    assert refusing.last_endpoint[1] == first_endpoint


def first_gap(driver: Driver, reported_limit: float) -> float:
    """Seconds between the first two calls after a long retry-after wait that came with this limit."""
    driver.submit(1, 1.0)
    driver.end_attempt(1, OK, 1.1, report=(0.9, 8.0))
    driver.submit(2, 2.0)
    driver.end_attempt(2, FULL, 2.1, retry_after=OUTAGE_AFTER + 1.0, report=(0.0, reported_limit))
    driver.turn(3.0, *(driver.message_received(n, 3.0) for n in range(50, 60)))
    driver.turn(2.1 + OUTAGE_AFTER + 1.0 + 12.0)
    first, second = [at for at, _ in driver.sends[2:4]]
    return second - first


def test_a_limit_lowered_during_an_outage_does_not_slow_the_warm_up() -> None:
    assert first_gap(Driver(), reported_limit=2.0) == first_gap(Driver(), reported_limit=8.0)


@pytest.mark.parametrize("outcome", [ERROR, RESET, api.Outcome.TIMEOUT])
def test_one_of_many_senders_opens_its_breaker_at_the_first_failure_that_may_have_run(
    outcome: api.Outcome,
) -> None:
    def sent_at_once(senders: int, first_outcome: api.Outcome) -> bool:
        driver = Driver(endpoint(1, rate=4.0), senders=senders)
        driver.submit(1, 1.0, UNSAFE_INDEX)
        driver.end_attempt(1, first_outcome, 1.1)
        driver.submit(50, 1.2, UNSAFE_INDEX)
        return driver.send_times(50) == [1.2]

    assert not sent_at_once(200, outcome)
    assert sent_at_once(2, outcome)
    assert sent_at_once(200, api.Outcome.CONNECT_FAILED)


def test_idle_connections_are_closed_after_a_failed_connect_at_a_live_destination() -> None:
    driver = Driver(endpoint(1), endpoint(2, destination=2))
    driver.deliver(10, 3, 1.0, destination=2)
    assert driver.closed_idle == []
    driver.submit(1, 3.0)
    driver.end_attempt(1, api.Outcome.CONNECT_FAILED, 3.1)  # and is sent again at once
    driver.submit(2, 3.2, destination=2)
    driver.end_attempt(2, OK, 3.3)
    assert driver.closed_idle == []  # the destination may be down
    driver.end_attempt(1, OK, 3.3)
    driver.submit(4, 3.3, destination=2)
    driver.end_attempt(4, OK, 3.3)
    assert (3.3, address(2)) in driver.closed_idle
    before = len(driver.closed_idle)
    driver.submit(3, 3.3 + CROWDED_DURATION, destination=2)
    driver.end_attempt(3, OK, 3.4 + CROWDED_DURATION)
    assert len(driver.closed_idle) == before


def test_failed_connects_in_an_outage_do_not_show_a_full_connection_table() -> None:
    driver = Driver(endpoint(1), endpoint(2, destination=2), max_attempts=10)
    driver.submit(1, 1.0)
    # Two openings without an accepted call: longer than a full connection table refuses connects.
    for attempt in range(1, 2 * FAILURE_THRESHOLD + 1):
        driver.end_attempt(1, api.Outcome.CONNECT_FAILED, driver.run_until_sent(1, attempt))
    driver.end_attempt(1, OK, driver.run_until_sent(1, 2 * FAILURE_THRESHOLD + 1))
    driver.submit(50, driver.now + 0.1, destination=2)
    driver.end_attempt(50, OK, driver.now + 0.1)
    assert driver.closed_idle == []


def test_a_retry_after_while_the_limit_is_unused_shows_an_outage() -> None:
    def calls_after_refusal(remaining_share: float, recent_success: bool) -> int:
        driver = Driver(senders=100, max_calls=1)
        driver.deliver(10, 1, 1.0)
        if recent_success:
            driver.deliver(30, 1, 12.0)
        driver.turn(13.5, *(driver.message_received(n, 13.5) for n in range(40, 49)))
        driver.end_attempt(
            driver.sends[-1][1].message, FULL, 13.6, retry_after=0.5, report=(remaining_share, 4.0)
        )
        driver.turn(18.0)
        return sum(at > 13.7 for at, _ in driver.sends)

    assert calls_after_refusal(0.95, recent_success=False) < calls_after_refusal(0.1, recent_success=False)
    assert calls_after_refusal(0.95, recent_success=True) == calls_after_refusal(0.1, recent_success=True)


def test_senders_with_the_same_retry_after_do_not_resume_together() -> None:
    resumed_at = []
    for seed in range(20):
        driver = Driver(endpoint(1, rate=100.0), senders=100, seed=seed)
        driver.turn(1.0, *(driver.message_received(n, 1.0) for n in range(1, 21)))
        in_flight = [send.message for _, send in driver.sends]
        driver.turn(
            1.1, *(driver.attempt_ended(n, FULL, 1.1, retry_after=OUTAGE_AFTER + 1.0) for n in in_flight)
        )
        driver.turn(9.0)
        resumed_at += [at for at, _ in driver.sends[len(in_flight) : len(in_flight) + 1]]
    closes_at = 1.1 + OUTAGE_AFTER + 1.0
    assert all(at >= closes_at for at in resumed_at)
    assert len(resumed_at) > 10
    assert sum(at < closes_at + 0.3 for at in resumed_at) < len(resumed_at) / 2


def test_arrivals_far_above_the_rate_do_not_speed_up_the_first_calls_after_an_outage() -> None:
    def total_first_call_delay(count: int) -> float:
        total = 0.0
        for seed in range(20):
            driver = Driver(endpoint(1, rate=20.0), senders=100, seed=seed)
            driver.turn(1.0, *(driver.message_received(n, 1.0, UNSAFE_INDEX) for n in range(1, count + 1)))
            driver.end_attempt(driver.sends[0][1].message, ERROR, 1.1)
            sent_before = len(driver.sends)
            driver.turn(20.0)
            total += (
                (driver.sends[sent_before][0] if len(driver.sends) > sent_before else 20.0)
                - 1.1
                - OPEN_DURATION
            )
        return total

    assert total_first_call_delay(40) > 0.6 * total_first_call_delay(8)


def test_an_unanswered_connect_counts_as_silence_and_a_refused_one_does_not() -> None:
    def sent_at_once(elapsed: float) -> bool:
        driver = Driver(senders=200)
        driver.submit(1, 1.0, UNSAFE_INDEX)
        driver.end_attempt(1, api.Outcome.CONNECT_FAILED, 1.0 + elapsed)
        return len(driver.send_times(1)) == 2

    assert sent_at_once(0.03)
    assert not sent_at_once(SETTINGS.connect_timeout)


def test_refusals_during_an_outage_do_not_slow_the_warm_up() -> None:
    """Each refusal lengthened the gap by half: after a few seconds, calls were tens of seconds apart."""
    driver = Driver(endpoint(1, rate=20.0))
    at = driver.deliver(1, 4, 1.0, gap=0.05)
    numbers = range(50, 110)
    driver.turn(at, *(driver.message_received(n, at, due=at + 60.0) for n in numbers))
    down_until = at + OUTAGE_AFTER + 4.0
    end = down_until + SETTINGS.warmup_seconds + 2.0
    answered: set[tuple[int, int]] = set()
    while driver.now < end:
        driver.turn(driver.now + 0.05)
        attempts = [(n, driver.attempts[n]) for n in numbers if n in driver.attempts]
        for number, attempt in attempts:
            if (number, attempt) not in answered:
                answered.add((number, attempt))
                driver.end_attempt(number, FULL if driver.now < down_until else OK, driver.now)
    assert sum(1 for n in numbers if driver.send_times(n) and driver.send_times(n)[-1] >= down_until) > 40


@pytest.mark.parametrize(("senders", "gap", "kept"), [(200, 2.0, False), (200, 0.3, True), (3, 2.0, True)])
def test_one_of_many_senders_does_not_keep_a_rarely_used_connection(
    senders: int, gap: float, kept: bool
) -> None:
    driver = Driver(senders=senders)
    for number in range(60):  # enough to learn the arrival rate and the latency
        driver.submit(number, 1.0 + number * gap)
        driver.end_attempt(number, OK, driver.now + 0.1)
    assert ((driver.now, address(1)) not in driver.closed_idle) is kept


def test_messages_held_by_the_breaker_do_not_keep_a_connection() -> None:
    driver = Driver(senders=200)
    driver.turn(1.0, *(driver.message_received(number, 1.0) for number in range(4)))
    for number in range(1, 4):
        driver.end_attempt(number, FULL, 1.1)
    driver.end_attempt(0, OK, 1.2)  # the others wait until the breaker closes
    assert (1.2, address(1)) in driver.closed_idle


def test_senders_with_the_same_list_do_not_all_call_its_first_endpoint() -> None:
    first_endpoints = []
    for seed in range(40):
        driver = Driver(endpoint(1), endpoint(2), seed=seed, senders=40)
        driver.submit(1, 1.0)
        first_endpoints.append(driver.last_endpoint[1])
    assert min(first_endpoints.count(address(1)), first_endpoints.count(address(2))) >= 10


def test_a_limit_on_calls_is_shared_by_call_rates_not_message_rates() -> None:
    """40 senders with 5 messages per second each, if they spaced calls so, would exceed the limit of 40 calls
    per second fivefold.
    """
    driver = Driver(endpoint(1, kind=1, rate=40.0), senders=40)
    for number in range(40):
        driver.submit(number, 1.0 + number * 0.2)
        driver.end_attempt(number, OK, driver.now + 0.1, report=(0.5, 40.0))
    driver.submit(40, 10.0)
    driver.end_attempt(40, FULL, 10.1, report=(0.0, 40.0))
    open_calls = set(range(40, 56))
    for number in range(41, 56):
        driver.submit(number, 10.1 + (number - 40) * 0.2)
        for answered in [n for n in open_calls if driver.last_sent_at.get(n, 0.0) > 10.1]:
            open_calls.remove(answered)
            driver.end_attempt(answered, OK, driver.now, report=(0.5, 40.0))
    assert (
        2 <= len({at for at, _ in driver.sends if at > 10.1}) <= 4
    )  # each call takes the messages that are queued by then


@pytest.mark.parametrize(
    ("remaining_share", "senders", "spaced"), [(0.2, 40, True), (0.9, 40, False), (0.2, 400, False)]
)
def test_calls_are_spaced_when_little_of_the_reported_limit_remains(
    remaining_share: float, senders: int, spaced: bool
) -> None:
    """Each of many senders makes few calls, so all would reach the limit together and be refused.

    Where an even share is so small that a gap would exceed the latency target, calls are not spaced.
    """
    driver = Driver(endpoint(1, rate=40.0), senders=senders)
    driver.submit(1, 1.0)
    driver.end_attempt(1, OK, 1.1, report=(remaining_share, 40.0))
    driver.submit(2, 1.2)
    driver.end_attempt(2, OK, 1.3, report=(remaining_share, 40.0))
    driver.submit(3, 1.4)
    assert (driver.send_times(3) == []) is spaced
    assert driver.run_until_sent(3) < 3.0


def test_load_is_shed_from_the_queue_of_a_destination_that_is_down_not_of_a_healthy_one() -> None:
    """The healthy destination takes one message per call, so at its listed rate its queue would look longer.

    Its calls are not spaced, however, and the queue drains quickly.
    """
    driver = Driver(
        endpoint(1, rate=8.0),
        endpoint(2, destination=2, kind=1, rate=80.0),
        senders=40,
        max_pending=16,
        max_calls=4,
    )
    for number in range(1, 4):
        driver.submit(number, 1.0 + number * 0.01, UNSAFE_INDEX, destination=2)
        driver.end_attempt(number, ERROR, driver.now + 0.005)
    driver.turn(1.2, *(driver.message_received(n, 1.2, destination=2) for n in range(10, 22)))
    driver.turn(1.3, *(driver.message_received(n, 1.3) for n in range(30, 40)))
    assert len(driver.refused) >= 3
    assert all(number < 30 for number in driver.refused)


@pytest.mark.parametrize(("sent_at", "refused"), [(1.0, False), (9.5, True)])
def test_a_refused_keyed_message_never_takes_effect_after_its_dedup_window(
    sent_at: float, refused: bool
) -> None:
    """A refusal near the end of the window let another sender send the message after it, a second effect."""
    no_endpoint = api.EndpointsUpdated(api.UpdateScope.FULL, 2, (endpoint(2, destination=2),))
    with_endpoint = api.EndpointsUpdated(api.UpdateScope.FULL, 3, (endpoint(1),))
    window_end = sent_at + CLASSES[KEYED_INDEX].dedup_window
    due = 1.0 + CLASSES[KEYED_INDEX].deadline
    first_sender, second_sender = Driver(), Driver()
    for driver in (first_sender, second_sender):
        driver.turn(0.5, no_endpoint)
    first_sender.submit(1, 1.0, KEYED_INDEX)
    first_sender.turn(sent_at, with_endpoint)
    first_sender.turn(sent_at + 1.0, no_endpoint)
    first_sender.end_attempt(1, api.Outcome.TIMEOUT, sent_at + 2.0)
    assert first_sender.send_times(1) == [sent_at]
    first_sender.turn(due)
    assert (1 in first_sender.refused) is refused
    assert (1 in first_sender.failed) is not refused
    if refused:
        second_sender.submit(1, first_sender.now - 0.5, KEYED_INDEX, due=due)
        second_sender.turn(due - 0.5, with_endpoint)
        assert second_sender.send_times(1) != []
        assert max(second_sender.send_times(1)) < window_end


def test_hours_of_refusals_do_not_end_the_process() -> None:
    """The gap between calls is a factor to the power of the refusals, and the power overflowed."""
    driver = Driver(endpoint(1, rate=4000.0), senders=1)
    refusals = 0
    for number in range(1, 9_000):
        driver.submit(number, float(number))
        for _, send in driver.sends:
            refusals += 1
            driver.end_attempt(send.message, FULL, driver.now + 0.01)
        driver.sends.clear()
    assert refusals > 2_000


@pytest.mark.parametrize("from_dead_sender", [False, True])
def test_a_keyed_message_from_a_stopped_sender_is_not_sent_after_its_dedup_window(
    from_dead_sender: bool,
) -> None:
    """Its window began with the first attempt here, although the stopped sender may have sent it before."""
    driver = Driver()
    driver.turn(0.5, api.EndpointsUpdated(api.UpdateScope.FULL, 2, (endpoint(2, destination=2),)))
    first_submitted_at, due = 1.0, 1.0 + CLASSES[KEYED_INDEX].deadline
    submission = driver.message_received(1, 2.5, KEYED_INDEX, due=due)
    driver.turn(2.5, replace(submission, from_dead_sender=from_dead_sender))
    window_end = first_submitted_at + CLASSES[KEYED_INDEX].dedup_window
    driver.turn(window_end + 0.1, api.EndpointsUpdated(api.UpdateScope.FULL, 3, (endpoint(1),)))
    assert (driver.send_times(1) == []) is from_dead_sender
    assert (1 in driver.failed) is from_dead_sender


def test_destinations_that_only_clients_name_are_forgotten() -> None:
    """Each new number in a request was kept for ever where no list says which destinations there are."""
    driver = Driver()
    for number in range(1, 2_000):
        driver.submit(number, number / 100.0, destination=1_000 + number)
    driver.turn(3_600.0)
    driver.submit(2_000, 3_600.0)
    gc.collect()
    kept = [each for each in gc.get_objects() if isinstance(each, Destination)]
    assert len(kept) < 10
    assert driver.refused.keys() | driver.failed == set(range(1, 2_000))
