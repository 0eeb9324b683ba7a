"""Selection of the cluster member to call."""

from collections.abc import Sequence
from random import Random

FAILURE_SUSPICION_S = 10.0
"""Seconds for which a failed member is avoided if there are others."""
CONTRADICTION_SUSPICION_S = 60.0
"""The same after a response that contradicts what is known: an older revision or another cluster."""


class Members:
    """The members in a random order for each node, so that a fleet spreads over them.

    A working member is kept. A failed one is avoided for a while; if all have failed, they take turns.
    """

    def __init__(self, names: Sequence[str], random: Random) -> None:
        self._order = list(names)
        random.shuffle(self._order)
        self._preferred = 0
        self._suspect_until: dict[str, float] = {}

    def pick(self, now: float) -> str:
        """The member to call: the preferred one, or the next in order that is not suspect."""
        for offset in range(len(self._order)):
            index = (self._preferred + offset) % len(self._order)
            if not self.is_suspect(self._order[index], now):
                self._preferred = index
                break
        return self._order[self._preferred]

    def pick_other(self, excluded: str, random: Random, now: float) -> str:
        """A random other member, not a suspect one if possible; the excluded one if it is the only one."""
        others = [name for name in self._order if name != excluded]
        trusted = [name for name in others if not self.is_suspect(name, now)]
        return random.choice(trusted or others or [excluded])

    def pick_any(self, random: Random, now: float) -> str:
        """A random member, not a suspect one if possible."""
        trusted = [name for name in self._order if not self.is_suspect(name, now)]
        return random.choice(trusted or self._order)

    def is_suspect(self, name: str, now: float) -> bool:
        """Whether the member failed or sent a contradicting response recently."""
        return now < self._suspect_until.get(name, 0.0)

    def prefer(self, name: str) -> None:
        """Make this member the preferred one."""
        self._preferred = self._order.index(name)

    def record_success(self, name: str) -> None:
        """Clear the suspicion of a member that gave a valid response."""
        self._suspect_until.pop(name, None)

    def record_failure(self, name: str, now: float, suspect_for: float = FAILURE_SUSPICION_S) -> None:
        """Mark a member as suspect for some seconds; if it is the preferred one, prefer the next in order."""
        self._suspect_until[name] = max(now + suspect_for, self._suspect_until.get(name, 0.0))
        if self._order[self._preferred] == name:
            self._preferred = (self._preferred + 1) % len(self._order)
