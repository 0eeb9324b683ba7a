"""One small test for each failure that a day or an incident showed."""

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
from tests.support import KEYED_INDEX, SETTINGS, UNSAFE_INDEX, Driver, address, endpoint

OK, FULL, ERROR, RESET = api.Outcome.OK, api.Outcome.FULL, api.Outcome.ERROR, api.Outcome.RESET


def spread(driver: Driver, at: float, first: int, count: int = 3) -> list[float]:
    """When a handful of messages handed in together are sent."""
    numbers = range(first, first + count)
    driver.turn(at, *(driver.message_received(n, at) for n in numbers))
    driver.turn(at + 12.0)
    return sorted(when - at for n in numbers for when in driver.send_times(n)[:1])


def test_an_outcome_that_opens_the_row_does_not_give_up_its_own_message_twice() -> None:
    driver = Driver()
    driver.turn(1.0, *(driver.message_received(n, 1.0, due=2.0) for n in (1, 2, 3)))
    driver.turn(1.1, *(driver.attempt_ended(n, FULL, 1.1) for n in (1, 2, 3)))
    assert set(driver.refused) == {1, 2, 3}


def test_a_busy_limit_is_no_outage() -> None:
    driver = Driver()
    driver.turn(1.0, *(driver.message_received(n, 1.0) for n in (1, 2, 3, 4)))
    driver.end_attempt(4, OK, 1.05)
    driver.turn(1.1, *(driver.attempt_ended(n, FULL, 1.1) for n in (1, 2, 3)))
    driver.turn(1.2, *(api.MessageWithdrawn(n) for n in (1, 2, 3)))
    times = spread(driver, 1.1 + OPEN_DURATION + 2.0, 50)
    assert times[-1] < 3.0


def test_a_limit_that_reports_itself_used_up_is_no_outage_however_long() -> None:
    def waits(left: float) -> list[float]:
        driver = Driver()
        driver.submit(1, 1.0)
        for attempt in (1, 2, 3):
            driver.end_attempt(1, FULL, driver.now + 0.1, retry_after=OUTAGE_AFTER / 2.0, report=(left, 4.0))
            driver.run_until_sent(1, attempt + 1)
        driver.end_attempt(1, OK, driver.now + 0.1)
        return spread(driver, driver.now + 0.1, 50)

    assert len(waits(0.1)) == 3 > len(waits(0.95))


@pytest.mark.parametrize(
    ("senders", "served", "report", "looks_shut"),
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
def test_a_turn_put_off_for_long_after_an_unexplained_refusal_is_an_outage(
    senders: int, served: int, report: tuple[float, ...], looks_shut: bool
) -> None:
    """One of very many senders sees one refusal of a shut destination; two calls in a window tell."""
    driver = Driver(senders=senders)
    driver.deliver(90, served, 0.2)
    driver.submit(1, 1.0, due=100.0)
    driver.end_attempt(1, FULL, 1.1, report=report)
    driver.end_attempt(1, OK, driver.run_until_sent(1, attempts=2) + 0.1)
    at_once = [wait for wait in spread(driver, driver.now + 0.1, 50) if wait < 1.0]
    assert (len(at_once) < 3) == looks_shut


def test_refusals_for_long_with_no_call_taken_are_an_outage() -> None:
    driver = Driver()
    driver.submit(1, 1.0)
    driver.end_attempt(1, FULL, 1.1, retry_after=OUTAGE_AFTER + 1.0)
    close = 1.1 + OUTAGE_AFTER + 1.0
    numbers = range(50, 56)
    driver.turn(2.0, *(driver.message_received(n, 2.0) for n in numbers))
    driver.turn(close + 5.5)
    budget = 5.5 * 4.0 * SETTINGS.warmup_start_share * SETTINGS.overload_multiple / SETTINGS.senders
    assert 1 <= len(driver.sends) - 1 <= 1 + budget


def test_that_outage_is_remembered_between_two_openings() -> None:
    driver = Driver()
    failed = api.Outcome.CONNECT_FAILED
    driver.turn(1.0, *(driver.message_received(n, 1.0) for n in (1, 2, 3)))
    driver.turn(1.1, *(driver.attempt_ended(n, failed, 1.1) for n in (1, 2, 3)))
    driver.turn(1.2, *(api.MessageWithdrawn(n) for n in (1, 2, 3)))
    at = 1.1 + OPEN_DURATION + OUTAGE_AFTER + 7.0  # closed, its window lapsed, and nothing was taken since
    driver.turn(at, *(driver.message_received(n, at) for n in (4, 5, 6)))
    driver.turn(at + 0.1, *(driver.attempt_ended(n, failed, at + 0.1) for n in (4, 5, 6)))
    driver.turn(at + 0.2, *(api.MessageWithdrawn(n) for n in (4, 5, 6)))
    times = spread(driver, at + 0.1 + OPEN_DURATION + 0.1, 50)
    assert sum(when < times[0] + 3.0 for when in times) == 1


def test_few_errors_among_many_successes_do_not_open() -> None:
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


def test_refusals_among_many_successes_do_open() -> None:
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
    """Calls on a connection that was idle for two seconds, each lost with this outcome."""
    for number in range(100, 100 + count):
        driver.submit(number, at)
        driver.end_attempt(number, OK, at + 0.1)
        driver.submit(number + 100, at + 2.1, UNSAFE_INDEX)
        driver.end_attempt(number + 100, outcome, at + 2.13)
        at += 14.0
    return at


def test_connections_that_proved_stale_when_idle_are_closed_before_a_call() -> None:
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


def test_resets_of_busy_connections_say_nothing_of_idle_ones() -> None:
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


def test_silence_counts_before_the_time_out() -> None:
    driver = Driver()
    driver.deliver(10, 5, 1.0)
    driver.turn(5.0, *(driver.message_received(n, 5.0, UNSAFE_INDEX) for n in (1, 2, 3)))
    driver.turn(7.5)
    driver.submit(50, 7.5, due=8.2)
    assert 50 in driver.refused
    assert not driver.failed


def test_one_slow_message_does_not_count_while_others_are_served() -> None:
    driver = Driver()
    driver.turn(1.0, *(driver.message_received(n, 1.0, UNSAFE_INDEX) for n in (1, 2, 3)))
    at = driver.deliver(10, 10, 1.5)
    driver.submit(50, at)
    assert driver.send_times(50) == [at]


def test_calls_stuck_at_a_silent_destination_give_up_their_slots_when_others_wait() -> None:
    driver = Driver(endpoint(1), endpoint(2, destination=2), max_calls=2)
    driver.turn(1.0, *(driver.message_received(n, 1.0, UNSAFE_INDEX) for n in (1, 2)))
    driver.submit(50, 6.0, destination=2)
    assert [number for _, number in driver.cancelled] == [1]
    driver.end_attempt(1, api.Outcome.CANCELLED, 6.01)
    assert driver.failed == {1}
    assert driver.send_times(50) == [6.01]


def test_a_stuck_call_that_may_go_again_is_cut_before_an_unsafe_one() -> None:
    driver = Driver(endpoint(1), endpoint(2, destination=2), max_calls=2)
    driver.submit(1, 1.0, UNSAFE_INDEX)
    driver.submit(2, 1.2)
    driver.submit(50, 5.0, destination=2)
    assert [number for _, number in driver.cancelled] == [2]


def test_they_keep_them_while_nobody_waits_or_where_cancelling_is_not_allowed() -> None:
    driver = Driver(endpoint(1), endpoint(2, destination=2), max_calls=2)
    driver.turn(1.0, *(driver.message_received(n, 1.0, UNSAFE_INDEX) for n in (1, 2)))
    driver.turn(15.0)
    assert driver.cancelled == []
    bound = Driver(endpoint(1), endpoint(2, destination=2), max_calls=2, may_cancel=False)
    bound.turn(1.0, *(bound.message_received(n, 1.0, UNSAFE_INDEX) for n in (1, 2)))
    bound.submit(50, 6.0, destination=2)
    assert bound.cancelled == []


def test_a_call_out_for_a_full_time_out_is_cut_though_others_are_answered() -> None:
    driver = Driver(endpoint(1), endpoint(2, destination=2), max_calls=3)
    driver.submit(1, 1.0, UNSAFE_INDEX)
    driver.deliver(10, 15, 1.2)
    driver.turn(9.5, *(driver.message_received(n, 9.5, destination=2) for n in (50, 51, 52)))
    assert [number for _, number in driver.cancelled] == [1]


def test_one_destination_cannot_take_every_slot() -> None:
    driver = Driver(endpoint(1), endpoint(2, destination=2), max_calls=6)
    driver.turn(1.0, *(driver.message_received(n, 1.0) for n in range(1, 20)))
    driver.submit(50, 1.1, destination=2)
    assert driver.send_times(50) == [1.1]


def test_scarce_slots_go_to_the_calls_with_most_worth_for_their_time() -> None:
    driver = Driver(endpoint(1), endpoint(2, destination=2), max_calls=2)
    driver.submit(1, 1.0)
    driver.end_attempt(1, OK, 2.5)
    driver.submit(2, 3.0, destination=2)
    driver.end_attempt(2, OK, 3.1)
    busy = (driver.message_received(3, 4.0), driver.message_received(4, 4.0, destination=2))
    driver.turn(4.0, *busy)
    driver.turn(4.1, driver.message_received(5, 4.1), driver.message_received(6, 4.1, destination=2))
    driver.end_attempt(3, OK, 4.2)
    assert driver.send_times(6) == [4.2]
    assert driver.send_times(5) == []


def test_at_the_holding_limit_the_longest_wait_is_refused() -> None:
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


def test_an_endpoint_that_failed_is_second_choice_and_one_that_was_full_is_not() -> None:
    driver = Driver(endpoint(1), endpoint(2))
    driver.submit(1, 1.0, UNSAFE_INDEX)
    bad = driver.last_endpoint[1]
    driver.end_attempt(1, ERROR, 1.1)
    at = 1.2
    for number in range(10, 14):
        driver.submit(number, at, KEYED_INDEX)
        assert driver.last_endpoint[number] != bad
        driver.end_attempt(number, OK, at + 0.1)
        at += 0.2
    full = Driver(endpoint(1), endpoint(2))
    full.submit(1, 1.0)
    first = full.last_endpoint[1]
    full.end_attempt(1, FULL, 1.1)
    full.turn(2.0)
    assert full.last_endpoint[1] == first


def first_gap(driver: Driver, lowered: float) -> float:
    """The time between the first two calls after a long told wait, with this limit reported at its start."""
    driver.submit(1, 1.0)
    driver.end_attempt(1, OK, 1.1, report=(0.9, 8.0))
    driver.submit(2, 2.0)
    driver.end_attempt(2, FULL, 2.1, retry_after=OUTAGE_AFTER + 1.0, report=(0.0, lowered))
    driver.turn(3.0, *(driver.message_received(n, 3.0) for n in range(50, 60)))
    driver.turn(2.1 + OUTAGE_AFTER + 1.0 + 12.0)
    first, second = [at for at, _ in driver.sends[2:4]]
    return second - first


def test_a_limit_lowered_for_a_while_does_not_slow_the_return() -> None:
    assert first_gap(Driver(), lowered=2.0) == first_gap(Driver(), lowered=8.0)


@pytest.mark.parametrize("outcome", [ERROR, RESET, api.Outcome.TIMEOUT])
def test_one_of_many_senders_opens_at_the_first_failure_that_may_have_run(outcome: api.Outcome) -> None:
    def sent_at_once(senders: int, seen: api.Outcome) -> bool:
        driver = Driver(endpoint(1, rate=4.0), senders=senders)
        driver.submit(1, 1.0, UNSAFE_INDEX)
        driver.end_attempt(1, seen, 1.1)
        driver.submit(50, 1.2, UNSAFE_INDEX)
        return driver.send_times(50) == [1.2]

    assert not sent_at_once(200, outcome)
    assert sent_at_once(2, outcome)
    assert sent_at_once(200, api.Outcome.CONNECT_FAILED)


def test_after_a_failed_connect_idle_connections_are_given_back() -> None:
    driver = Driver(endpoint(1), endpoint(2, destination=2))
    driver.deliver(10, 3, 1.0, destination=2)
    assert driver.closed_idle == []
    driver.submit(1, 3.0)
    driver.end_attempt(1, api.Outcome.CONNECT_FAILED, 3.1)  # and goes again at once
    driver.submit(2, 3.2, destination=2)
    driver.end_attempt(2, OK, 3.3)
    assert driver.closed_idle == []  # it may be down as well
    driver.end_attempt(1, OK, 3.3)
    driver.submit(4, 3.3, destination=2)
    driver.end_attempt(4, OK, 3.3)
    assert (3.3, address(2)) in driver.closed_idle
    before = len(driver.closed_idle)
    driver.submit(3, 3.3 + CROWDED_DURATION, destination=2)
    driver.end_attempt(3, OK, 3.4 + CROWDED_DURATION)
    assert len(driver.closed_idle) == before


def test_a_destination_back_from_an_outage_is_no_sign_of_full_tables() -> None:
    driver = Driver(endpoint(1), endpoint(2, destination=2), max_attempts=10)
    driver.submit(1, 1.0)
    for attempt in range(
        1, 2 * FAILURE_THRESHOLD + 1
    ):  # two closes, no call taken: longer than a full table refuses
        driver.end_attempt(1, api.Outcome.CONNECT_FAILED, driver.run_until_sent(1, attempt))
    driver.end_attempt(1, OK, driver.run_until_sent(1, 2 * FAILURE_THRESHOLD + 1))
    driver.submit(50, driver.now + 0.1, destination=2)
    driver.end_attempt(50, OK, driver.now + 0.1)
    assert driver.closed_idle == []


def test_a_wait_told_while_the_limit_is_unused_tells_of_a_shut_destination() -> None:
    def calls(left: float, served: bool) -> int:
        driver = Driver(senders=100, max_calls=1)
        driver.deliver(10, 1, 1.0)
        if served:
            driver.deliver(30, 1, 12.0)
        driver.turn(13.5, *(driver.message_received(n, 13.5) for n in range(40, 49)))
        driver.end_attempt(driver.sends[-1][1].message, FULL, 13.6, retry_after=0.5, report=(left, 4.0))
        driver.turn(18.0)
        return sum(at > 13.7 for at, _ in driver.sends)

    assert calls(0.95, served=False) < calls(0.1, served=False)
    assert calls(0.95, served=True) == calls(0.1, served=True)


def test_senders_told_the_same_close_do_not_come_back_together() -> None:
    returns = []
    for seed in range(20):
        driver = Driver(endpoint(1, rate=100.0), senders=100, seed=seed)
        driver.turn(1.0, *(driver.message_received(n, 1.0) for n in range(1, 21)))
        out = [send.message for _, send in driver.sends]
        driver.turn(1.1, *(driver.attempt_ended(n, FULL, 1.1, retry_after=OUTAGE_AFTER + 1.0) for n in out))
        driver.turn(9.0)
        returns += [at for at, _ in driver.sends[len(out) : len(out) + 1]]
    close = 1.1 + OUTAGE_AFTER + 1.0
    assert all(at >= close for at in returns)
    assert len(returns) > 10
    assert sum(at < close + 0.3 for at in returns) < len(returns) / 2


def test_own_flow_far_above_the_rate_does_not_hurry_the_trial_calls() -> None:
    def first_trial(count: int) -> float:
        total = 0.0
        for seed in range(20):
            driver = Driver(endpoint(1, rate=20.0), senders=100, seed=seed)
            driver.turn(1.0, *(driver.message_received(n, 1.0, UNSAFE_INDEX) for n in range(1, count + 1)))
            driver.end_attempt(driver.sends[0][1].message, ERROR, 1.1)
            out = len(driver.sends)
            driver.turn(20.0)
            total += (driver.sends[out][0] if len(driver.sends) > out else 20.0) - 1.1 - OPEN_DURATION
        return total

    assert first_trial(40) > 0.6 * first_trial(8)


def test_a_connect_without_an_answer_is_silence_and_a_quick_no_is_not() -> None:
    def sent_at_once(after: float) -> bool:
        driver = Driver(senders=200)
        driver.submit(1, 1.0, UNSAFE_INDEX)
        driver.end_attempt(1, api.Outcome.CONNECT_FAILED, 1.0 + after)
        return len(driver.send_times(1)) == 2

    assert sent_at_once(0.03)
    assert not sent_at_once(SETTINGS.connect_timeout)


def test_refusals_of_a_shut_destination_do_not_slow_its_return() -> None:
    """Each stretched the gap by half: after a few seconds shut, calls came tens of seconds apart."""
    driver = Driver(endpoint(1, rate=20.0))
    at = driver.deliver(1, 4, 1.0, gap=0.05)
    numbers = range(50, 110)
    driver.turn(at, *(driver.message_received(n, at, due=at + 60.0) for n in numbers))
    shut_until = at + OUTAGE_AFTER + 4.0
    end = shut_until + SETTINGS.warmup_seconds + 2.0
    answered: set[tuple[int, int]] = set()
    while driver.now < end:
        driver.turn(driver.now + 0.05)
        out = [(n, driver.attempts[n]) for n in numbers if n in driver.attempts]
        for number, attempt in out:
            if (number, attempt) not in answered:
                answered.add((number, attempt))
                driver.end_attempt(number, FULL if driver.now < shut_until else OK, driver.now)
    assert sum(1 for n in numbers if driver.send_times(n) and driver.send_times(n)[-1] >= shut_until) > 40


@pytest.mark.parametrize(("senders", "gap", "kept"), [(200, 2.0, False), (200, 0.3, True), (3, 2.0, True)])
def test_one_of_many_senders_keeps_no_connection_that_it_hardly_uses(
    senders: int, gap: float, kept: bool
) -> None:
    driver = Driver(senders=senders)
    for number in range(60):  # long enough to learn the flow and how long a call takes
        driver.submit(number, 1.0 + number * gap)
        driver.end_attempt(number, OK, driver.now + 0.1)
    assert ((driver.now, address(1)) not in driver.closed_idle) is kept


def test_messages_that_may_not_go_yet_keep_no_connection() -> None:
    driver = Driver(senders=200)
    driver.turn(1.0, *(driver.message_received(number, 1.0) for number in range(4)))
    for number in range(1, 4):
        driver.end_attempt(number, FULL, 1.1)
    driver.end_attempt(0, OK, 1.2)  # the others wait for the close
    assert (1.2, address(1)) in driver.closed_idle


def test_senders_with_one_list_do_not_all_call_its_first_endpoint() -> None:
    first = []
    for seed in range(40):
        driver = Driver(endpoint(1), endpoint(2), seed=seed, senders=40)
        driver.submit(1, 1.0)
        first.append(driver.last_endpoint[1])
    assert min(first.count(address(1)), first.count(address(2))) >= 10


def test_a_limit_on_calls_is_not_shared_by_the_flow_of_messages() -> None:
    """40 senders that each spaced calls by five messages a second would send five times the limit of 40."""
    driver = Driver(endpoint(1, kind=1, rate=40.0), senders=40)
    for number in range(40):
        driver.submit(number, 1.0 + number * 0.2)
        driver.end_attempt(number, OK, driver.now + 0.1, report=(0.5, 40.0))
    driver.submit(40, 10.0)
    driver.end_attempt(40, FULL, 10.1, report=(0.0, 40.0))
    open_calls = set(range(40, 56))
    for number in range(41, 56):
        driver.submit(number, 10.1 + (number - 40) * 0.2)
        for sent in [n for n in open_calls if driver.last_sent_at.get(n, 0.0) > 10.1]:
            open_calls.remove(sent)
            driver.end_attempt(sent, OK, driver.now, report=(0.5, 40.0))
    assert 2 <= len({at for at, _ in driver.sends if at > 10.1}) <= 4  # each takes along what has come


@pytest.mark.parametrize(
    ("left", "senders", "spaced"), [(0.2, 40, True), (0.9, 40, False), (0.2, 400, False)]
)
def test_an_answer_that_reports_little_of_the_limit_left_has_calls_spaced(
    left: float, senders: int, spaced: bool
) -> None:
    """Each of many senders sees few calls: all would run into the limit together and be refused at once.

    A part so small that a gap outlasts the aim is not worth it.
    """
    driver = Driver(endpoint(1, rate=40.0), senders=senders)
    driver.submit(1, 1.0)
    driver.end_attempt(1, OK, 1.1, report=(left, 40.0))
    driver.submit(2, 1.2)
    driver.end_attempt(2, OK, 1.3, report=(left, 40.0))
    driver.submit(3, 1.4)
    assert (driver.send_times(3) == []) is spaced
    assert driver.run_until_sent(3) < 3.0


def test_room_is_made_in_the_line_of_the_shut_destination_not_of_a_healthy_one() -> None:
    """Nothing paces the healthy one's small calls, though the rate told for all makes their line long."""
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
