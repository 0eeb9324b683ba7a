"""The limit of bytes a second that the node may use to follow the settings."""

READ_CHUNK_BYTES = 256
"""Most bytes to read from a connection at once, so that a debt stays small."""
BURST_S = 0.02
"""Seconds of bytes that an idle budget can hold, so that a timer that fires late loses none."""
ROUNDING_TOLERANCE_BYTES = 0.5
"""Bytes; a smaller debt counts as none, because times are floats."""


class ByteBudget:
    """A token bucket that may go into debt; the debt has to be earned back before more is spent.

    The rate is `bytes_per_s` less one burst and one chunk, so that a caller that waits for `delay` before
    each chunk uses no more than `bytes_per_s` in any second. Counted are the bytes of HTTP in both
    directions, without TCP and IP headers.
    """

    def __init__(self, bytes_per_s: float, now: float) -> None:
        self._max_balance = BURST_S * bytes_per_s
        self.rate = bytes_per_s - self._max_balance - READ_CHUNK_BYTES
        """Bytes earned per second."""
        self._balance = self._max_balance
        self._updated_at = now

    def spend(self, now: float, size: int) -> None:
        """Record bytes that were sent or received."""
        self._refill(now)
        self._balance -= size

    def delay(self, now: float) -> float:
        """Seconds until more may be spent; 0 if it may be now."""
        self._refill(now)
        if self._balance >= -ROUNDING_TOLERANCE_BYTES:
            return 0.0
        return -self._balance / self.rate

    def _refill(self, now: float) -> None:
        elapsed = max(0.0, now - self._updated_at)
        self._balance = min(self._max_balance, self._balance + elapsed * self.rate)
        self._updated_at = max(self._updated_at, now)
