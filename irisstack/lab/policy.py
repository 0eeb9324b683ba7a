"""What decides in a node: the decision module, or something to compare it with."""

from collections.abc import Callable, Collection
from typing import Protocol

from irisstack import interface as api
from irisstack.choice import Sender


class Policy(Protocol):
    """The decision module's own interface."""

    def turn(self, now: float, events: Collection[api.Event]) -> list[api.Action]:
        """Take all that came at one time and answer with what to do about it."""


class Oracle(Protocol):
    """What no sender can see; for the upper bound alone."""

    def find_endpoint(self, now: float, destination: int) -> api.Address | None:
        """An endpoint that would serve a call leaving now; `None` if there is none."""

    def reserve_endpoint(self, now: float, destination: int) -> api.Address | None:
        """The same, and the room is taken."""


PolicyFactory = Callable[[api.Settings, int, Oracle], Policy]
"""Makes a node's policy from its settings and a seed."""


def decision_module(settings: api.Settings, seed: int, oracle: Oracle) -> Policy:
    """The decision module of this program."""
    return Sender(settings, seed)
