"""Call limits of a destination, over all senders together. The caller passes the time."""

from typing import Protocol

from irisstack.lab.scenario import Limit


class Limiter(Protocol):
    """Admits calls, or says how long to wait."""

    factor: float
    """The share of the limit that is in force; troubles lower it."""

    def acquire(self, now: float) -> float:
        """Admit a call and return 0.0, or return the seconds until the next call is admitted."""

    def available_calls(self, now: float) -> float:
        """Calls that would be admitted now."""

    def available_share(self, now: float) -> float:
        """The unused share of the limit, from 0 to 1."""


class TokenBucketLimiter:
    """A token bucket that is refilled at a constant rate and holds the tokens of one second."""

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
            # Bounded, so that after any number of rejected calls one second without calls restores a token.
            self._tokens = max(1.0 - self._max_calls, self._tokens - 1.0)
        return (1.0 - self._tokens) / (self._rate * self.factor)

    def available_calls(self, now: float) -> float:
        self._refill(now)
        return self._tokens

    def available_share(self, now: float) -> float:
        return max(0.0, min(1.0, self.available_calls(now) / self._max_calls))


class FixedWindowLimiter:
    """A number of calls in each time window of fixed length."""

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
            # Rejected calls beyond the limit may count towards the next window, up to half of its limit.
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
    """The limiter for a scenario's limit, at a rate in calls a second."""
    if limit.form == "span":
        return FixedWindowLimiter(rate, limit.span_s, limit.refused_use_it)
    return TokenBucketLimiter(rate, limit.refused_use_it)
