"""A destination's limit: how many calls it takes from all senders together. Pure; the clock is handed in."""

from typing import Protocol

from irisstack.lab.scenario import Limit


class Limiter(Protocol):
    """Takes calls or tells how long there is no room."""

    factor: float
    """The part of the limit that is in force; troubles lower it."""

    def acquire(self, now: float) -> float:
        """0.0 if the call is taken, else the seconds until there is room."""

    def available_calls(self, now: float) -> float:
        """Calls that it would take now."""

    def available_share(self, now: float) -> float:
        """The share of the limit that is left, from 0 to 1."""


class TokenBucketLimiter:
    """A plain rate: tokens that come back evenly, a second's worth at most."""

    def __init__(self, rate: float, refused_use_it: bool) -> None:
        self.factor = 1.0
        self._rate = rate
        self._refused_use_it = refused_use_it
        self._tokens = self._most
        self._at = 0.0

    @property
    def _most(self) -> float:
        return max(1.0, self._rate * self.factor)

    def _refill(self, now: float) -> None:
        self._tokens = min(self._most, self._tokens + (now - self._at) * self._rate * self.factor)
        self._at = now

    def acquire(self, now: float) -> float:
        self._refill(now)
        if self._tokens >= 1.0:
            self._tokens -= 1.0
            return 0.0
        if self._refused_use_it:
            # Bounded: however many calls are refused, a second without any gives room again.
            self._tokens = max(1.0 - self._most, self._tokens - 1.0)
        return (1.0 - self._tokens) / (self._rate * self.factor)

    def available_calls(self, now: float) -> float:
        self._refill(now)
        return self._tokens

    def available_share(self, now: float) -> float:
        return max(0.0, min(1.0, self.available_calls(now) / self._most))


class FixedWindowLimiter:
    """A count in each span of fixed length."""

    def __init__(self, rate: float, span: float, refused_use_it: bool) -> None:
        self.factor = 1.0
        self._count = rate * span
        self._span = span
        self._refused_use_it = refused_use_it
        self._used = 0.0
        self._ends = span

    @property
    def _most(self) -> float:
        return max(1.0, self._count * self.factor)

    def _roll(self, now: float) -> None:
        if now >= self._ends:
            # What was refused above the count may be charged to the next span, half of it at the most.
            self._used = min(max(0.0, self._used - self._most), self._most / 2.0)
            self._ends = (now // self._span + 1.0) * self._span

    def acquire(self, now: float) -> float:
        self._roll(now)
        if self._used + 1.0 <= self._most:
            self._used += 1.0
            return 0.0
        if self._refused_use_it:
            self._used += 1.0
        return self._ends - now

    def available_calls(self, now: float) -> float:
        self._roll(now)
        return self._most - self._used

    def available_share(self, now: float) -> float:
        return max(0.0, self.available_calls(now) / self._most)


def make_limiter(limit: Limit, rate: float) -> Limiter:
    """The limiter that a scenario asks for, at a rate in calls a second."""
    if limit.form == "span":
        return FixedWindowLimiter(rate, limit.span_s, limit.refused_use_it)
    return TokenBucketLimiter(rate, limit.refused_use_it)
