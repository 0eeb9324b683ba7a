"""How many bytes a second the node may spend on following the settings."""

BURST_S = 0.25
"""A budget that has rested holds what this many seconds bring."""
PIECE_BYTES = 2048
"""Most bytes to read from a connection at once, so that a debt stays small."""
ROUNDING_BYTES = 0.5
"""A debt below this counts as none: times are floats."""


class ByteBudget:
    """A token bucket that may go into debt: what was spent has to be earned before more is spent.

    Over any time of T seconds no more than `(T + BURST_S) * bytes_per_s + PIECE_BYTES` are spent by one that
    asks `delay` before each piece. Bytes are those of HTTP, both ways, without the heads of TCP and IP.
    """

    def __init__(self, bytes_per_s: float, now: float) -> None:
        self.bytes_per_s = bytes_per_s
        self._most = bytes_per_s * BURST_S
        self._balance = self._most
        self._at = now

    def spend(self, now: float, size: int) -> None:
        """Bytes were sent or received."""
        self._refill(now)
        self._balance -= size

    def delay(self, now: float) -> float:
        """Seconds until more may be spent, 0 if that is now."""
        self._refill(now)
        if self._balance >= -ROUNDING_BYTES:
            return 0.0
        return -self._balance / self.bytes_per_s

    def _refill(self, now: float) -> None:
        passed = max(0.0, now - self._at)
        self._balance = min(self._most, self._balance + passed * self.bytes_per_s)
        self._at = max(self._at, now)
