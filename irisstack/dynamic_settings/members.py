"""Which member of the cluster to ask."""

from collections.abc import Sequence
from random import Random

FAILURE_SUSPICION_S = 10.0
"""Seconds for which a member that failed is passed over while another is left."""
CONTRADICTION_SUSPICION_S = 60.0
"""The same for one whose answers contradict what is known: an older revision, another cluster."""


class Members:
    """The members in an order that differs from node to node, so that a fleet spreads over them.

    The member that works is kept. One that fails is passed over for a while, unless all have failed: then the
    next in the order is asked, so that each has its turn.
    """

    def __init__(self, names: Sequence[str], random: Random) -> None:
        self._order = list(names)
        random.shuffle(self._order)
        self._preferred = 0
        self._suspect_until: dict[str, float] = {}

    def pick(self, now: float) -> str:
        """The member to ask: the one preferred, or the first behind it that is not suspect."""
        for offset in range(len(self._order)):
            index = (self._preferred + offset) % len(self._order)
            if not self.is_suspect(self._order[index], now):
                self._preferred = index
                break
        return self._order[self._preferred]

    def pick_other(self, excluded: str, random: Random, now: float) -> str:
        """Any member but this one, best one that is not suspect; this one if it is alone."""
        others = [name for name in self._order if name != excluded]
        trusted = [name for name in others if not self.is_suspect(name, now)]
        return random.choice(trusted or others or [excluded])

    def pick_any(self, random: Random, now: float) -> str:
        """Any member, best one that is not suspect."""
        trusted = [name for name in self._order if not self.is_suspect(name, now)]
        return random.choice(trusted or self._order)

    def is_suspect(self, name: str, now: float) -> bool:
        """Whether the member failed or lied a short while ago."""
        return now < self._suspect_until.get(name, 0.0)

    def prefer(self, name: str) -> None:
        """Ask this member from now on."""
        self._preferred = self._order.index(name)

    def record_success(self, name: str) -> None:
        """The member gave a good answer."""
        self._suspect_until.pop(name, None)

    def record_failure(self, name: str, now: float, suspect_for: float = FAILURE_SUSPICION_S) -> None:
        """The member failed or lied; if it was the one preferred, the next in the order is."""
        self._suspect_until[name] = max(now + suspect_for, self._suspect_until.get(name, 0.0))
        if self._order[self._preferred] == name:
            self._preferred = (self._preferred + 1) % len(self._order)
