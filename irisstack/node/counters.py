"""Counters of what the node has received, sent and answered since its start."""

from collections import Counter


class Counters:
    """Named counters, served at `/counters` and logged at exit."""

    def __init__(self) -> None:
        self._counts: Counter[str] = Counter()

    def add(self, name: str, count: int = 1) -> None:
        """Increase a counter, which starts at 0."""
        self._counts[name] += count

    def record_max(self, name: str, value: int) -> None:
        """Record a value; the counter holds the largest one so far."""
        self._counts[name] = max(self._counts[name], value)

    def snapshot(self) -> dict[str, int]:
        """All counters, sorted by name."""
        return dict(sorted(self._counts.items()))
