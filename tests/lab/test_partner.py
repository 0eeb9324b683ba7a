"""The model of a partner: limits, lines, keys, cold returns that feed back, and every kind of trouble."""

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


class Bench:
    """Carries out what a partner wants done, on a queue of its own."""

    def __init__(self, folder: Path, **changes: Any) -> None:
        self.now = 0.0
        self.queue: list[tuple[float, int, Callable[..., None], tuple[object, ...]]] = []
        self.answers: list[tuple[float, int, Answer]] = []
        self.ended: list[tuple[str, int]] = []
        self.effects: list[tuple[int, bool]] = []
        self.falls: list[float] = []
        world = small_world(folder, **changes)
        self.destination = Destination(world.destinations[1], world, self)
        self.endpoint = next(iter(self.destination.endpoints.values()))

    def call_later(self, delay: float, act: Callable[..., None], *arguments: object) -> None:
        heappush(self.queue, (self.now + delay, len(self.queue) + id(act) % 7, act, arguments))

    def send_answer(self, now: float, endpoint: Endpoint, call: PartnerCall, answer: Answer) -> None:
        self.answers.append((now, call.items[0].message, answer))

    def send_malformed_answer(self, now: float, endpoint: Endpoint, call: PartnerCall) -> None:
        self.ended.append(("spoilt", call.items[0].message))

    def drop_connection(self, now: float, endpoint: Endpoint, call: PartnerCall) -> None:
        self.ended.append(("cut", call.items[0].message))

    def message_executed(self, now: float, endpoint: Endpoint, item: Item, effect: bool) -> None:
        self.effects.append((item.message, effect))

    def destination_overloaded(self, now: float, destination: int) -> None:
        self.falls.append(now)

    def call(self, at: float, message: int, chain: int | None = None, message_class: int = 0) -> PartnerCall:
        self.until(at)
        call = PartnerCall(0, [Item(message, chain or message, message_class, 1.0)], False)
        self.endpoint.receive(at, call)
        return call

    def until(self, time: float) -> None:
        while self.queue and self.queue[0][0] <= time:
            self.now, _, act, arguments = heappop(self.queue)
            act(self.now, *arguments)
        self.now = max(self.now, time)


@given(st.lists(st.floats(0.0, 0.5), min_size=1, max_size=200), st.floats(1.0, 20.0), st.booleans())
def test_a_rate_limit_is_never_exceeded(gaps: list[float], rate: float, used_up: bool) -> None:
    limiter, now, taken = TokenBucketLimiter(rate, used_up), 0.0, []
    for gap in gaps:
        now += gap
        wait = limiter.acquire(now)
        if not wait:
            taken.append(now)
        elif not used_up:
            assert TokenBucketLimiter.acquire(limiter, now + wait + 1e-6) == 0.0  # the told wait is enough
            now += wait + 1e-6
            taken.append(now)
    for first in taken:
        assert sum(first <= t <= first + 1.0 for t in taken) <= max(1.0, rate) + rate + 1


@given(st.lists(st.floats(0.0, 0.3), min_size=1, max_size=200), st.floats(1.0, 20.0), st.booleans())
def test_a_span_never_takes_more_than_its_count(gaps: list[float], rate: float, used_up: bool) -> None:
    limiter, now = FixedWindowLimiter(rate, 2.0, used_up), 0.0
    taken: dict[int, int] = {}
    for gap in gaps:
        now += gap
        if not limiter.acquire(now):
            taken[int(now // 2.0)] = taken.get(int(now // 2.0), 0) + 1
    assert all(count <= max(1.0, rate * 2.0) for count in taken.values())


def test_the_line_is_bounded_and_what_is_too_much_is_refused(tmp_path: Path) -> None:
    bench = Bench(tmp_path)
    room = bench.endpoint.spec.concurrency + bench.endpoint.spec.queue_limit
    for i in range(room + 3):
        bench.call(0.0, i + 1)
    assert [answer.status for _, _, answer in bench.answers] == ["refused"] * 3
    bench.until(60.0)
    assert sum(answer.status == "ok" for _, _, answer in bench.answers) == room


def test_a_key_is_remembered_for_its_window_and_no_longer(tmp_path: Path) -> None:
    bench = Bench(tmp_path)
    for at, message in ((0.0, 1), (3.0, 2), (9.0, 3)):
        bench.call(at, message, chain=7)
    bench.until(20.0)
    assert bench.effects == [(1, True), (2, False), (3, True)]


@pytest.mark.parametrize(
    ("condition", "value", "answers", "ended", "ran"),
    [
        ("silent", True, [], [], True),
        ("host_unreachable", True, [], [], False),
        ("draining", True, ["refused"], [], False),
        ("refuses_until", 5.0, ["refused"], [], False),
        ("error_probability", 1.0, ["error"], [], True),
        ("reset_probability", 1.0, [], ["cut"], True),
        ("answer_loss_probability", 1.0, [], [], True),
        ("malformed_answer_probability", 1.0, [], ["spoilt"], True),
        ("class_error_probability", {0: 1.0}, ["error"], [], True),
    ],
)
def test_what_each_condition_does_to_a_call(
    tmp_path: Path, condition: str, value: object, answers: list[str], ended: list[str], ran: bool
) -> None:
    bench = Bench(tmp_path)
    setattr(bench.endpoint.conditions, condition, value)
    bench.endpoint.conditions.execution_probability = 1.0
    bench.call(0.0, 1)
    bench.until(30.0)
    assert [answer.status for _, _, answer in bench.answers] == answers
    assert [how for how, _ in bench.ended] == ended
    assert bool(bench.effects) is ran


def test_a_pause_holds_calls_until_its_end(tmp_path: Path) -> None:
    bench = Bench(tmp_path)
    conditions = bench.endpoint.conditions
    conditions.pause_period, conditions.pause_duration, conditions.pauses_start = 10.0, 2.0, 0.0
    bench.call(0.5, 1)
    bench.until(1.99)
    assert not bench.answers
    bench.until(4.0)
    assert bench.answers[0][2].status == "ok"


def test_a_call_given_up_in_line_is_not_carried_out_where_the_partner_notices(tmp_path: Path) -> None:
    for runs_on in (True, False):
        bench = Bench(tmp_path, kinds__0__cancelled_run_on=runs_on)
        last = [bench.call(0.0, i + 1) for i in range(bench.endpoint.spec.concurrency + 1)][-1]
        bench.endpoint.abandon(last)
        bench.until(30.0)
        assert ((last.items[0].message, True) in bench.effects) is runs_on


def test_a_cold_destination_bears_its_load_and_falls_under_twice_as_much() -> None:
    cold = Cold(start=0.2, warm_s=10.0, tip_multiple=2.0, tip_s=2.0)
    for times, falls in ((1.0, False), (2.2, True)):
        strength = Warmup(cold, capacity=50.0)
        strength.begin(100.0)
        fell, now = False, 100.0
        while now < 104.0 and not fell:
            now += 1.0 / (50.0 * strength.capacity_share(now) * cold.tip_multiple * times)
            fell = strength.add_load(now, 1.0)
        assert fell is falls
        assert not strength.add_load(111.0, 1000.0)  # warm: nothing pushes it over


def test_a_fall_feeds_back_it_loses_what_it_holds_and_comes_back_cold(tmp_path: Path) -> None:
    bench = Bench(tmp_path)
    bench.destination.warmup.begin(0.0)
    for i in range(400):
        bench.call(0.1, i + 1)
    assert bench.falls == [0.1]
    back = bench.destination.down_until
    assert bench.endpoint.accepts_connections(back - 0.1) is False
    assert bench.endpoint.accepts_connections(back + 0.1) is True
    assert bench.destination.warmup.capacity_share(back + 0.1) < 0.3
    served = sum(answer.status == "ok" for _, _, answer in bench.answers)
    bench.until(60.0)
    assert sum(answer.status == "ok" for _, _, answer in bench.answers) == served  # what it held is lost
