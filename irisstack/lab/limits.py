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

    def __init__(self, rate: float, count_rejected: bool) -> None:
        self.factor = 1.0
        self._rate = rate
        self._count_rejected = count_rejected
        self._tokens = self._max_calls
        self._updated_at = 0.0

    @property
    def _max_calls(self) -> float:
        return max(1.0, self._rate * self.factor)

    def _refill(self, now: float) -> None:
        self._tokens = min(
            self._max_calls, self._tokens + (now - self._updated_at) * self._rate * self.factor
        )
        self._updated_at = now

    def acquire(self, now: float) -> float:
        self._refill(now)
        if self._tokens >= 1.0:
            self._tokens -= 1.0
            return 0.0
        if self._count_rejected:
            # Bounded: however many calls are refused, a second without any gives room again.
            self._tokens = max(1.0 - self._max_calls, self._tokens - 1.0)
        return (1.0 - self._tokens) / (self._rate * self.factor)

    def available_calls(self, now: float) -> float:
        self._refill(now)
        return self._tokens

    def available_share(self, now: float) -> float:
        return max(0.0, min(1.0, self.available_calls(now) / self._max_calls))


class FixedWindowLimiter:
    """A count in each span of fixed length."""

    def __init__(self, rate: float, window: float, count_rejected: bool) -> None:
        self.factor = 1.0
        self._full_count = rate * window
        self._window = window
        self._count_rejected = count_rejected
        self._used = 0.0
        self._window_end = window

    @property
    def _max_calls(self) -> float:
        return max(1.0, self._full_count * self.factor)

    def _advance(self, now: float) -> None:
        if now >= self._window_end:
            # What was refused above the count may be charged to the next span, half of it at the most.
            self._used = min(max(0.0, self._used - self._max_calls), self._max_calls / 2.0)
            self._window_end = (now // self._window + 1.0) * self._window

    def acquire(self, now: float) -> float:
        self._advance(now)
        if self._used + 1.0 <= self._max_calls:
            self._used += 1.0
            return 0.0
        if self._count_rejected:
            self._used += 1.0
        return self._window_end - now

    def available_calls(self, now: float) -> float:
        self._advance(now)
        return self._max_calls - self._used

    def available_share(self, now: float) -> float:
        return max(0.0, self.available_calls(now) / self._max_calls)


def make_limiter(limit: Limit, rate: float) -> Limiter:
    """The limiter that a scenario asks for, at a rate in calls a second."""
    if limit.form == "span":
        return FixedWindowLimiter(rate, limit.span_s, limit.refused_use_it)
    return TokenBucketLimiter(rate, limit.refused_use_it)
