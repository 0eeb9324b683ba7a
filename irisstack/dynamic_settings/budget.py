"""How many bytes a second the node may spend on following the settings."""

READ_CHUNK_BYTES = 256
"""Most bytes to read from a connection at once, so that a debt stays small."""
BURST_S = 0.02
"""A budget that has rested holds what so many seconds bring: a timer which fires late loses nothing."""
ROUNDING_TOLERANCE_BYTES = 0.5
"""A debt below this counts as none: times are floats."""


class ByteBudget:
    """A token bucket that may go into debt: what was spent has to be earned before more is spent.

    It earns a burst and a piece less than `bytes_per_s`, so that one who asks `delay` before each piece
    spends no more than `bytes_per_s` in any second. Bytes are those of HTTP, both ways, without the heads of
    TCP and IP.
    """

    def __init__(self, bytes_per_s: float, now: float) -> None:
        self._max_balance = BURST_S * bytes_per_s
        self.rate = bytes_per_s - self._max_balance - READ_CHUNK_BYTES
        """Bytes earned in a second."""
        self._balance = self._max_balance
        self._updated_at = now

    def spend(self, now: float, size: int) -> None:
        """Bytes were sent or received."""
        self._refill(now)
        self._balance -= size

    def delay(self, now: float) -> float:
        """Seconds until more may be spent, 0 if that is now."""
        self._refill(now)
        if self._balance >= -ROUNDING_TOLERANCE_BYTES:
            return 0.0
        return -self._balance / self.rate

    def _refill(self, now: float) -> None:
        elapsed = max(0.0, now - self._updated_at)
        self._balance = min(self._max_balance, self._balance + elapsed * self.rate)
        self._updated_at = max(self._updated_at, now)
