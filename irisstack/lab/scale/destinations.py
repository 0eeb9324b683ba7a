"""Destinations of hollow nodes: they serve, are down for a while, and come back cold."""

import math
from collections import deque
from dataclasses import dataclass, field
from enum import Enum
from random import Random

from irisstack import interface as api

CAPACITY_PER_LISTED_RATE = 1.2
"""The true capacity of a destination, as a multiple of the rate that the list tells."""
SERVED_IN = 0.15
"""Seconds that a served call takes in the mean; each takes half to one and a half times as long."""
REFUSED_IN = 0.02
"""Seconds until a refusal, or a connection that is refused at once."""
STEPS = 40
"""Steps in which the rising share of a cold destination's capacity is summed up."""


class Failure(Enum):
    """How a destination that is down ends calls."""

    UNREACHABLE = api.Outcome.CONNECT_FAILED
    REFUSING = api.Outcome.FULL
    SILENT = api.Outcome.TIMEOUT


@dataclass(slots=True, frozen=True)
class Outage:
    """One destination's time down."""

    begins: float
    ends: float
    failure: Failure


@dataclass(slots=True, frozen=True)
class Arrival:
    """A call that reached the destination."""

    at: float
    sender_knew: bool
    """Whether an earlier call of its sender had failed here."""


@dataclass(slots=True, frozen=True)
class Answer:
    """How a call ends, and how long that takes."""

    outcome: api.Outcome
    elapsed: float


@dataclass(slots=True)
class Destination:
    """One destination with one endpoint; it keeps what reaches it in an outage and while cold."""

    number: int
    listed_rate: float
    outage: Outage
    cold_seconds: float
    random: Random
    while_down: list[Arrival] = field(default_factory=list)
    while_cold: list[Arrival] = field(default_factory=list)
    _knowing: set[int] = field(default_factory=set)

    @property
    def endpoint(self) -> api.Endpoint:
        """Its line of the endpoint list."""
        address = (10 << 24 | self.number).to_bytes(4, "big"), 7070
        return api.Endpoint(address, api.EndpointState.READY, 0, self.number, 0, self.listed_rate, None)

    def take(self, now: float, sender: int, give_up_at: float) -> Answer:
        """A call has arrived."""
        down = self.outage.begins <= now < self.outage.ends
        arrival = Arrival(now, sender in self._knowing)
        if down:
            self.while_down.append(arrival)
            self._knowing.add(sender)
            return self._fail(now, give_up_at)
        if self.outage.ends <= now < self.outage.ends + self.cold_seconds:
            self.while_cold.append(arrival)
        return Answer(api.Outcome.OK, SERVED_IN * self.random.uniform(0.5, 1.5))

    def _fail(self, now: float, give_up_at: float) -> Answer:
        if self.outage.failure is Failure.SILENT:
            return Answer(api.Outcome.TIMEOUT, max(0.0, give_up_at - now))
        return Answer(self.outage.failure.value, REFUSED_IN)


@dataclass(slots=True, frozen=True)
class ReturnRule:
    """What the settings allow a destination that comes back cold."""

    listed_rate: float
    returns_at: float
    settings: api.Settings

    def allowed_until(self, at: float) -> float:
        """How many calls it can take in the settings' span that ends then."""
        start = max(self.returns_at, at - self.settings.overload_window)
        step = (at - start) / STEPS
        middles = (start + step * (i + 0.5) - self.returns_at for i in range(STEPS))
        share = sum(self._share(since) for since in middles) / STEPS
        capacity = CAPACITY_PER_LISTED_RATE * self.listed_rate
        return self.settings.overload_multiple * capacity * share * self.settings.overload_window

    def _share(self, since: float) -> float:
        """Part of its capacity so many seconds after the return."""
        start = self.settings.warmup_start_share
        return start + (1.0 - start) * min(1.0, since / self.settings.warmup_seconds)

    def limit_at(self, at: float) -> float:
        """The count above which it falls: what is allowed, and the spread of a random count."""
        allowed = self.allowed_until(at)
        return allowed + 2.0 * math.sqrt(allowed) + 2.0


@dataclass(slots=True, frozen=True)
class ReturnLoad:
    """What reached one destination while it was cold, against the rule."""

    first_window_calls: int
    first_window_of_limit: float
    """Calls of the first span as a part of the limit at its end."""
    worst_of_limit: float
    """The largest part of the limit that any span of calls reached."""
    falls: bool
    """Whether the limit was passed, and mostly by senders that knew of the outage."""


def return_load(destination: Destination, settings: api.Settings) -> ReturnLoad:
    """Judge the calls that reached a destination while it was cold."""
    returns_at = destination.outage.ends
    rule = ReturnRule(destination.listed_rate, returns_at, settings)
    window_end = returns_at + settings.overload_window
    first = sum(arrival.at < window_end for arrival in destination.while_cold)
    span: deque[Arrival] = deque()
    worst, falls = 0.0, False
    for arrival in destination.while_cold:
        span.append(arrival)
        while span[0].at <= arrival.at - settings.overload_window:
            span.popleft()
        part = len(span) / rule.limit_at(arrival.at)
        worst = max(worst, part)
        knew = sum(each.sender_knew for each in span)
        falls |= part > 1.0 and 3 * knew > 2 * len(span)
    return ReturnLoad(first, first / rule.limit_at(window_end), worst, falls)
