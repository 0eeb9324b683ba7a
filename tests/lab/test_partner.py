"""The partner model: limits, queues, idempotency keys, overload while warming up and fault conditions."""

from collections.abc import Callable
from heapq import heappop, heappush
from pathlib import Path
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from irisstack.lab.limits import FixedWindowLimiter, TokenBucketLimiter
from irisstack.lab.partner import Answer, Destination, Endpoint, Item, PartnerCall, Warmup
from irisstack.lab.scenario import Cold
from tests.lab.support import small_world


class PartnerHarness:
    """Hosts one destination, schedules its callbacks and records its actions."""

    def __init__(self, folder: Path, **changes: Any) -> None:
        self.now = 0.0
        self.scheduled: list[tuple[float, int, Callable[..., None], tuple[object, ...]]] = []
        self.answers: list[tuple[float, int, Answer]] = []
        self.closed: list[tuple[str, int]] = []
        self.executions: list[tuple[int, bool]] = []
        self.overloads: list[float] = []
        world = small_world(folder, **changes)
        self.destination = Destination(world.destinations[1], world, self)
        self.endpoint = next(iter(self.destination.endpoints.values()))

    def call_later(self, delay: float, callback: Callable[..., None], *arguments: object) -> None:
        heappush(
            self.scheduled, (self.now + delay, len(self.scheduled) + id(callback) % 7, callback, arguments)
        )

    def send_answer(self, now: float, endpoint: Endpoint, call: PartnerCall, answer: Answer) -> None:
        self.answers.append((now, call.items[0].message, answer))

    def send_malformed_answer(self, now: float, endpoint: Endpoint, call: PartnerCall) -> None:
        self.closed.append(("malformed", call.items[0].message))

    def drop_connection(self, now: float, endpoint: Endpoint, call: PartnerCall) -> None:
        self.closed.append(("dropped", call.items[0].message))

    def message_executed(self, now: float, endpoint: Endpoint, item: Item, effect: bool) -> None:
        self.executions.append((item.message, effect))

    def destination_overloaded(self, now: float, destination: int) -> None:
        self.overloads.append(now)

    def call(self, at: float, message: int, chain: int | None = None, message_class: int = 0) -> PartnerCall:
        """Deliver a call to the endpoint at that time."""
        self.run_until(at)
        call = PartnerCall(0, [Item(message, chain or message, message_class, 1.0)], False)
        self.endpoint.receive(at, call)
        return call

    def run_until(self, time: float) -> None:
        while self.scheduled and self.scheduled[0][0] <= time:
            self.now, _, callback, arguments = heappop(self.scheduled)
            callback(self.now, *arguments)
        self.now = max(self.now, time)


@given(st.lists(st.floats(0.0, 0.5), min_size=1, max_size=200), st.floats(1.0, 20.0), st.booleans())
def test_token_bucket_never_exceeds_its_rate(gaps: list[float], rate: float, count_rejected: bool) -> None:
    limiter, now, admitted = TokenBucketLimiter(rate, count_rejected), 0.0, []
    for gap in gaps:
        now += gap
        wait = limiter.acquire(now)
        if not wait:
            admitted.append(now)
        elif not count_rejected:
            assert TokenBucketLimiter.acquire(limiter, now + wait + 1e-6) == 0.0  # the returned wait suffices
            now += wait + 1e-6
            admitted.append(now)
    for first in admitted:
        assert sum(first <= t <= first + 1.0 for t in admitted) <= max(1.0, rate) + rate + 1


@given(st.lists(st.floats(0.0, 0.3), min_size=1, max_size=200), st.floats(1.0, 20.0), st.booleans())
def test_fixed_window_never_exceeds_its_count(gaps: list[float], rate: float, count_rejected: bool) -> None:
    limiter, now = FixedWindowLimiter(rate, 2.0, count_rejected), 0.0
    admitted: dict[int, int] = {}
    for gap in gaps:
        now += gap
        if not limiter.acquire(now):
            admitted[int(now // 2.0)] = admitted.get(int(now // 2.0), 0) + 1
    assert all(count <= max(1.0, rate * 2.0) for count in admitted.values())


def test_calls_beyond_the_queue_limit_are_refused(tmp_path: Path) -> None:
    harness = PartnerHarness(tmp_path)
    capacity = harness.endpoint.spec.concurrency + harness.endpoint.spec.queue_limit
    for i in range(capacity + 3):
        harness.call(0.0, i + 1)
    assert [answer.status for _, _, answer in harness.answers] == ["refused"] * 3
    harness.run_until(60.0)
    assert sum(answer.status == "ok" for _, _, answer in harness.answers) == capacity


def test_a_key_is_remembered_for_its_window(tmp_path: Path) -> None:
    harness = PartnerHarness(tmp_path)
    for at, message in ((0.0, 1), (3.0, 2), (9.0, 3)):
        harness.call(at, message, chain=7)
    harness.run_until(20.0)
    assert harness.executions == [(1, True), (2, False), (3, True)]


@pytest.mark.parametrize(
    ("condition", "value", "answers", "closed", "executed"),
    [
        ("silent", True, [], [], True),
        ("host_unreachable", True, [], [], False),
        ("draining", True, ["refused"], [], False),
        ("refuses_until", 5.0, ["refused"], [], False),
        ("error_probability", 1.0, ["error"], [], True),
        ("reset_probability", 1.0, [], ["dropped"], True),
        ("answer_loss_probability", 1.0, [], [], True),
        ("malformed_answer_probability", 1.0, [], ["malformed"], True),
        ("class_error_probability", {0: 1.0}, ["error"], [], True),
    ],
)
def test_effect_of_each_condition_on_a_call(
    tmp_path: Path, condition: str, value: object, answers: list[str], closed: list[str], executed: bool
) -> None:
    harness = PartnerHarness(tmp_path)
    setattr(harness.endpoint.conditions, condition, value)
    harness.endpoint.conditions.execution_probability = 1.0
    harness.call(0.0, 1)
    harness.run_until(30.0)
    assert [answer.status for _, _, answer in harness.answers] == answers
    assert [how for how, _ in harness.closed] == closed
    assert bool(harness.executions) is executed


def test_calls_wait_for_the_end_of_a_pause(tmp_path: Path) -> None:
    harness = PartnerHarness(tmp_path)
    conditions = harness.endpoint.conditions
    conditions.pause_period, conditions.pause_duration, conditions.pauses_start = 10.0, 2.0, 0.0
    harness.call(0.5, 1)
    harness.run_until(1.99)
    assert not harness.answers
    harness.run_until(4.0)
    assert harness.answers[0][2].status == "ok"


def test_an_abandoned_queued_call_is_executed_only_where_cancelled_run_on_is_set(tmp_path: Path) -> None:
    for cancelled_run_on in (True, False):
        harness = PartnerHarness(tmp_path, kinds__0__cancelled_run_on=cancelled_run_on)
        last = [harness.call(0.0, i + 1) for i in range(harness.endpoint.spec.concurrency + 1)][-1]
        harness.endpoint.abandon(last)
        harness.run_until(30.0)
        assert ((last.items[0].message, True) in harness.executions) is cancelled_run_on


def test_a_cold_destination_tolerates_its_load_and_fails_under_twice_as_much() -> None:
    cold = Cold(start=0.2, warm_s=10.0, tip_multiple=2.0, tip_s=2.0)
    for load_factor, overloads in ((1.0, False), (2.2, True)):
        warmup = Warmup(cold, capacity=50.0)
        warmup.begin(100.0)
        overloaded, now = False, 100.0
        while now < 104.0 and not overloaded:
            now += 1.0 / (50.0 * warmup.capacity_share(now) * cold.tip_multiple * load_factor)
            overloaded = warmup.add_load(now, 1.0)
        assert overloaded is overloads
        assert not warmup.add_load(111.0, 1000.0)  # a warm destination is never overloaded


def test_an_overloaded_destination_loses_its_open_calls_and_comes_back_cold(tmp_path: Path) -> None:
    harness = PartnerHarness(tmp_path)
    harness.destination.warmup.begin(0.0)
    for i in range(400):
        harness.call(0.1, i + 1)
    assert harness.overloads == [0.1]
    up_again = harness.destination.down_until
    assert harness.endpoint.accepts_connections(up_again - 0.1) is False
    assert harness.endpoint.accepts_connections(up_again + 0.1) is True
    assert harness.destination.warmup.capacity_share(up_again + 0.1) < 0.3
    served = sum(answer.status == "ok" for _, _, answer in harness.answers)
    harness.run_until(60.0)
    assert sum(answer.status == "ok" for _, _, answer in harness.answers) == served  # open calls were lost
