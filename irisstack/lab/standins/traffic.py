"""What a stand-in's clients cost it: connects, requests and bytes, in all and for each second."""

from collections import defaultdict
from dataclasses import dataclass, field


@dataclass(slots=True)
class RateCounter:
    """A count, and how it spreads over whole seconds."""

    total: int = 0
    by_second: defaultdict[int, int] = field(default_factory=lambda: defaultdict(int))

    def add(self, now: float, amount: int = 1) -> None:
        """Count so much at a time in seconds."""
        self.total += amount
        self.by_second[int(now)] += amount

    @property
    def peak(self) -> int:
        """The most in one second."""
        return max(self.by_second.values(), default=0)

    def peak_since(self, second: int) -> int:
        """The most in one second from that one on."""
        return max(
            (count for counted_second, count in self.by_second.items() if counted_second >= second), default=0
        )


@dataclass(slots=True)
class Traffic:
    """One server's counts."""

    connections: RateCounter = field(default_factory=RateCounter)
    requests: RateCounter = field(default_factory=RateCounter)
    bytes_out: RateCounter = field(default_factory=RateCounter)
