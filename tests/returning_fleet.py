"""A fleet of senders and one destination that goes down and comes back cold, played in virtual time.

The destination falls when it gets more calls within the settings' span than N + 2 x root of N + 2, N being
what the settings allow it then; all calls that reach it count. The rule is broken where over two thirds came
from senders that had been told of the outage: what the others send nobody could have held back.

`python -m tests.returning_fleet FIRST LAST` plays the whole table with each seed from FIRST to LAST - 1.
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
"""Seconds at which the destination goes and comes back cold."""
END = BACK + SETTINGS.warmup_seconds
"""When it is warm again at the latest."""
SPARE = 1.2
"""Its capacity, as a multiple of the rate that the list tells."""
LOAD = 0.9
"""Messages a second that come in, as a multiple of that rate."""
SERVED_IN = 0.15
REFUSED_IN = 0.02
"""Seconds that a call takes: on average where it is served, and where it is refused."""
MESSAGE_LIFE = 20.0
"""Seconds in which a message is owed its answer."""
NEVER = float("inf")

SENDERS = (2, 5, 30, 120, 200, 400, 840)
RATES = (2.0, 5.0, 12.0, 30.0, 61.0)
OUTCOMES = (Outcome.FULL, Outcome.CONNECT_FAILED, Outcome.TIMEOUT)
"""The table: how many senders, the listed rates, and how calls end while the destination is down."""


@dataclass(frozen=True, slots=True)
class Scenario:
    """One play."""

    senders: int
    rate: float
    outage: Outcome
    seed: int


@dataclass(frozen=True, slots=True, order=True)
class Arrival:
    """A call that reached the destination after its return."""

    at: float
    sender_was_told: bool


@dataclass(frozen=True, slots=True)
class MessageArrives:
    """A message is handed in."""

    message: int


@dataclass(frozen=True, slots=True)
class CallEnds:
    """The call with a message ends."""

    message: int
    outcome: Outcome


@dataclass(frozen=True, slots=True)
class TimerDue:
    """A timer that the sender has set comes due."""


Event = MessageArrives | CallEnds | TimerDue


class ReturningFleet:
    """Plays one scenario; all that happens comes from one heap of events."""

    def __init__(self, scenario: Scenario) -> None:
        senders, rate, seed = scenario.senders, scenario.rate, scenario.seed
        self._outage = scenario.outage
        self._random = Random(seed)
        self._ties = count()
        self._events: list[tuple[float, int, int, Event]] = []  # time, tie, sender, event
        self._drivers = [
            Driver(endpoint(1, rate=rate), senders=senders, seed=seed * 1000 + number, max_calls=12)
            for number in range(senders)
        ]
        self._calls_seen = [0] * senders
        self._told = [False] * senders
        self._timer_at = [NEVER] * senders
        self._arrivals: list[Arrival] = []
        self._hand_in_messages(rate)

    def play(self) -> list[Arrival]:
        """The calls that reached the destination while it was cold, in order."""
        while self._events and self._events[0][0] < END:
            now, _, sender, event = heappop(self._events)
            self._handle(now, sender, event)
            self._take_calls(sender)
            self._note_timer(sender)
        return sorted(arrival for arrival in self._arrivals if arrival.at < END)

    def _schedule(self, at: float, sender: int, event: Event) -> None:
        heappush(self._events, (at, next(self._ties), sender, event))

    def _hand_in_messages(self, rate: float) -> None:
        """Messages come thin and uneven, more of them to the first senders."""
        at, numbers, senders = 0.0, count(1), len(self._drivers)
        while at < END:
            at += self._random.expovariate(LOAD * rate)
            sender = min(self._random.randrange(senders), self._random.randrange(senders))
            self._schedule(at, sender, MessageArrives(next(numbers)))

    def _handle(self, now: float, sender: int, event: Event) -> None:
        driver = self._drivers[sender]
        match event:
            case MessageArrives(message):
                index = self._random.choice([SAFE_INDEX, KEYED_INDEX, UNSAFE_INDEX])
                driver.submit(message, now, index, due=now + MESSAGE_LIFE)
            case CallEnds(message, outcome):
                driver.end_attempt(message, outcome, now)
                self._told[sender] |= outcome is not Outcome.OK
            case TimerDue() if driver.next_timer() == now:
                driver.fire_timer()

    def _take_calls(self, sender: int) -> None:
        """Let the calls that a sender has just made reach the destination, and settle how they end."""
        driver = self._drivers[sender]
        for at, send in driver.sends[self._calls_seen[sender] :]:
            if at >= BACK:
                self._arrivals.append(Arrival(at, self._told[sender]))
            outcome, ends = self._end_of(at, send)
            self._schedule(ends, sender, CallEnds(send.message, outcome))
        self._calls_seen[sender] = len(driver.sends)

    def _end_of(self, at: float, send: Send) -> tuple[Outcome, float]:
        if not DOWN <= at < BACK:
            return Outcome.OK, at + SERVED_IN * self._random.uniform(0.5, 1.5)
        if self._outage is Outcome.TIMEOUT:
            return self._outage, max(at, send.give_up_at or END)
        return self._outage, at + REFUSED_IN

    def _note_timer(self, sender: int) -> None:
        due = self._drivers[sender].next_timer()
        if due != self._timer_at[sender]:
            self._timer_at[sender] = due
            self._schedule(due, sender, TimerDue())


def allowed(at: float, rate: float) -> float:
    """What the settings allow a destination in the span that ends then, whose capacity is the listed rate."""
    steps = 40
    start = max(BACK, at - SETTINGS.overload_window)
    warm = [
        min(1.0, (start + (at - start) * (step + 0.5) / steps - BACK) / SETTINGS.warmup_seconds)
        for step in range(steps)
    ]
    share = (
        sum(SETTINGS.warmup_start_share + (1.0 - SETTINGS.warmup_start_share) * part for part in warm) / steps
    )
    return SETTINGS.overload_multiple * SPARE * rate * share * SETTINGS.overload_window


def falls_by_those_told(scenario: Scenario) -> bool:
    """Whether it falls at any time while cold, mostly by senders that had been told."""
    span: deque[Arrival] = deque()
    for arrival in ReturningFleet(scenario).play():
        span.append(arrival)
        while span[0].at <= arrival.at - SETTINGS.overload_window:
            span.popleft()
        budget = allowed(arrival.at, scenario.rate)
        falls = len(span) > budget + 2.0 * budget**0.5 + 2.0
        if falls and 3 * sum(each.sender_was_told for each in span) > 2 * len(span):
            return True
    return False


def main(first_seed: int, last_seed: int) -> int:
    """Play the whole table and print the plays that fall; the exit code is 1 if there are any."""
    seeds = range(first_seed, last_seed)
    fallen = [
        scenario
        for scenario in (Scenario(*row) for row in product(SENDERS, RATES, OUTCOMES, seeds))
        if falls_by_those_told(scenario)
    ]
    falls = Counter((scenario.senders, scenario.outage) for scenario in fallen)
    print(f"falls of {len(RATES) * len(seeds)} plays each; seeds {first_seed} to {last_seed - 1}")
    for senders in SENDERS:
        print(f"{senders:4d} senders:", *(f"{how.name} {falls[senders, how]}" for how in OUTCOMES))
    for scenario in fallen:
        print(f"fell: {scenario}")
    return int(bool(fallen))


if __name__ == "__main__":
    sys.exit(main(int(sys.argv[1]), int(sys.argv[2])))
