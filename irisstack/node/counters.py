"""What the node has taken in, sent and answered since its start."""

from collections import Counter


class Counters:
    """Named counts; printed on request and at exit."""

    def __init__(self) -> None:
        self._counts: Counter[str] = Counter()

    def add(self, name: str, count: int = 1) -> None:
        self._counts[name] += count

    def snapshot(self) -> dict[str, int]:
        return dict(sorted(self._counts.items()))
