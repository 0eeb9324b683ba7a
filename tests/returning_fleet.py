"""Simulates a fleet of senders and one destination that goes down and comes back cold, in virtual time.

All calls that reach the destination count. It is overloaded when it gets more than N + 2 * sqrt(N) + 2 calls
within `overload_window`, where N is the number that the settings allow at that time. This breaks the rule of
the warm-up if over two thirds of these calls came from senders that knew of the outage: those of the others
could not be held back.

`python -m tests.returning_fleet FIRST LAST` runs the whole table with each seed from FIRST to LAST - 1.
"""

import sys
from collections import Counter, deque
from dataclasses import dataclass
from heapq import heappop, heappush
from itertools import count, product
from random import Random

from irisstack.interface import Outcome, Send
from tests.support import KEYED_INDEX, SAFE_INDEX, SETTINGS, UNSAFE_INDEX, Driver, endpoint

DOWN, BACK = 20.0, 34.0
"""Seconds at which the destination goes down and at which it comes back cold."""
END = BACK + SETTINGS.warmup_seconds
"""Seconds after which it is warm again at the latest."""
CAPACITY_FACTOR = 1.2
"""Its capacity as a multiple of its listed rate."""
LOAD_FACTOR = 0.9
"""Messages per second that arrive, as a multiple of its listed rate."""
SUCCESS_LATENCY = 0.15
"""Seconds that a successful call takes on average."""
REFUSAL_LATENCY = 0.02
"""Seconds until a call is refused."""
MESSAGE_DEADLINE = 20.0
"""Seconds from the arrival of a message to its deadline."""
NEVER = float("inf")

SENDERS = (2, 5, 30, 120, 200, 400, 840)
RATES = (2.0, 5.0, 12.0, 30.0, 61.0)
OUTCOMES = (Outcome.FULL, Outcome.CONNECT_FAILED, Outcome.TIMEOUT)
"""The table: fleet sizes, listed rates, and outcomes of calls while the destination is down."""


@dataclass(frozen=True, slots=True)
class Scenario:
    """One run of the simulation."""

    senders: int
    rate: float
    outage_outcome: Outcome
    seed: int


@dataclass(frozen=True, slots=True, order=True)
class Arrival:
    """A call that reached the destination after it came back."""

    at: float
    sender_was_informed: bool


@dataclass(frozen=True, slots=True)
class MessageArrival:
    """A message is submitted."""

    message: int


@dataclass(frozen=True, slots=True)
class CallEnd:
    """The call that carries a message ends."""

    message: int
    outcome: Outcome


@dataclass(frozen=True, slots=True)
class TimerExpiry:
    """A timer of the sender is due."""


Event = MessageArrival | CallEnd | TimerExpiry


class ReturningFleet:
    """Runs one scenario from a single heap of events."""

    def __init__(self, scenario: Scenario) -> None:
        senders, rate, seed = scenario.senders, scenario.rate, scenario.seed
        self._outage_outcome = scenario.outage_outcome
        self._random = Random(seed)
        self._tie_breakers = count()
        self._events: list[tuple[float, int, int, Event]] = []  # time, tie-breaker, sender, event
        self._drivers = [
            Driver(endpoint(1, rate=rate), senders=senders, seed=seed * 1000 + number, max_calls=12)
            for number in range(senders)
        ]
        self._sends_processed = [0] * senders
        self._informed = [False] * senders
        self._timer_at = [NEVER] * senders
        self._arrivals: list[Arrival] = []
        self._schedule_arrivals(rate)

    def run(self) -> list[Arrival]:
        """Return the calls that reached the destination while it was cold, in order."""
        while self._events and self._events[0][0] < END:
            now, _, sender, event = heappop(self._events)
            self._handle(now, sender, event)
            self._process_sends(sender)
            self._schedule_timer(sender)
        return sorted(arrival for arrival in self._arrivals if arrival.at < END)

    def _schedule(self, at: float, sender: int, event: Event) -> None:
        heappush(self._events, (at, next(self._tie_breakers), sender, event))

    def _schedule_arrivals(self, rate: float) -> None:
        """Messages arrive at random intervals, more of them at the first senders."""
        at, message_numbers, senders = 0.0, count(1), len(self._drivers)
        while at < END:
            at += self._random.expovariate(LOAD_FACTOR * rate)
            sender = min(self._random.randrange(senders), self._random.randrange(senders))
            self._schedule(at, sender, MessageArrival(next(message_numbers)))

    def _handle(self, now: float, sender: int, event: Event) -> None:
        driver = self._drivers[sender]
        match event:
            case MessageArrival(message):
                class_index = self._random.choice([SAFE_INDEX, KEYED_INDEX, UNSAFE_INDEX])
                driver.submit(message, now, class_index, due=now + MESSAGE_DEADLINE)
            case CallEnd(message, outcome):
                driver.end_attempt(message, outcome, now)
                self._informed[sender] |= outcome is not Outcome.OK
            case TimerExpiry() if driver.next_timer() == now:
                driver.fire_timer()

    def _process_sends(self, sender: int) -> None:
        """Pass the calls that a sender has just made to the destination and schedule their ends."""
        driver = self._drivers[sender]
        for at, send in driver.sends[self._sends_processed[sender] :]:
            if at >= BACK:
                self._arrivals.append(Arrival(at, self._informed[sender]))
            outcome, ends_at = self._call_result(at, send)
            self._schedule(ends_at, sender, CallEnd(send.message, outcome))
        self._sends_processed[sender] = len(driver.sends)

    def _call_result(self, at: float, send: Send) -> tuple[Outcome, float]:
        if not DOWN <= at < BACK:
            return Outcome.OK, at + SUCCESS_LATENCY * self._random.uniform(0.5, 1.5)
        if self._outage_outcome is Outcome.TIMEOUT:
            return self._outage_outcome, max(at, send.give_up_at or END)
        return self._outage_outcome, at + REFUSAL_LATENCY

    def _schedule_timer(self, sender: int) -> None:
        due = self._drivers[sender].next_timer()
        if due != self._timer_at[sender]:
            self._timer_at[sender] = due
            self._schedule(due, sender, TimerExpiry())


def allowed_calls(at: float, rate: float) -> float:
    """Calls that the settings allow in the overload window that ends at this time, by the listed rate."""
    steps = 40
    start = max(BACK, at - SETTINGS.overload_window)
    progress = [
        min(1.0, (start + (at - start) * (step + 0.5) / steps - BACK) / SETTINGS.warmup_seconds)
        for step in range(steps)
    ]
    capacity = (
        sum(SETTINGS.warmup_start_share + (1.0 - SETTINGS.warmup_start_share) * each for each in progress)
        / steps
    )
    return SETTINGS.overload_multiple * CAPACITY_FACTOR * rate * capacity * SETTINGS.overload_window


def overloaded_by_informed_senders(scenario: Scenario) -> bool:
    """Whether the destination is overloaded while cold, mostly by senders that knew of the outage."""
    window: deque[Arrival] = deque()
    for arrival in ReturningFleet(scenario).run():
        window.append(arrival)
        while window[0].at <= arrival.at - SETTINGS.overload_window:
            window.popleft()
        budget = allowed_calls(arrival.at, scenario.rate)
        overloaded = len(window) > budget + 2.0 * budget**0.5 + 2.0
        if overloaded and 3 * sum(each.sender_was_informed for each in window) > 2 * len(window):
            return True
    return False


def main(first_seed: int, last_seed: int) -> int:
    """Run the whole table and print the runs with an overload; the exit code is 1 if there are any."""
    seeds = range(first_seed, last_seed)
    overloads = [
        scenario
        for scenario in (Scenario(*row) for row in product(SENDERS, RATES, OUTCOMES, seeds))
        if overloaded_by_informed_senders(scenario)
    ]
    counts = Counter((scenario.senders, scenario.outage_outcome) for scenario in overloads)
    print(f"overloads in {len(RATES) * len(seeds)} runs each; seeds {first_seed} to {last_seed - 1}")
    for senders in SENDERS:
        print(
            f"{senders:4d} senders:", *(f"{outcome.name} {counts[senders, outcome]}" for outcome in OUTCOMES)
        )
    for scenario in overloads:
        print(f"overloaded: {scenario}")
    return int(bool(overloads))


if __name__ == "__main__":
    sys.exit(main(int(sys.argv[1]), int(sys.argv[2])))
