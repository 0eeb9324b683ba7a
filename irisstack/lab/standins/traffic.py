"""Traffic of a stand-in: connections, requests and bytes sent, in total and per second."""

from collections import defaultdict
from dataclasses import dataclass, field


@dataclass(slots=True)
class RateCounter:
    """Counts in total and in each whole second."""

    total: int = 0
    by_second: defaultdict[int, int] = field(default_factory=lambda: defaultdict(int))

    def add(self, now: float, amount: int = 1) -> None:
        """Add `amount` at the time `now`, in seconds."""
        self.total += amount
        self.by_second[int(now)] += amount

    @property
    def peak(self) -> int:
        """The highest count in one second."""
        return max(self.by_second.values(), default=0)

    def peak_since(self, second: int) -> int:
        """The highest count in one second, from `second` on."""
        return max(
            (count for counted_second, count in self.by_second.items() if counted_second >= second), default=0
        )


@dataclass(slots=True)
class Traffic:
    """The traffic counters of one server."""

    connections: RateCounter = field(default_factory=RateCounter)
    requests: RateCounter = field(default_factory=RateCounter)
    bytes_out: RateCounter = field(default_factory=RateCounter)
