"""The policy that decides in a simulated node: the decision module, or a baseline to compare it with."""

from collections.abc import Callable, Collection
from typing import Protocol

from irisstack import interface as api
from irisstack.choice import Sender


class Policy(Protocol):
    """The interface of the decision module."""

    def turn(self, now: float, events: Collection[api.Event]) -> list[api.Action]:
        """Process the events that arrived at one time and return the actions to take."""


class Oracle(Protocol):
    """The true state of the destinations, which no sender can see; only for the upper bound."""

    def find_endpoint(self, now: float, destination: int) -> api.Address | None:
        """An endpoint that would serve a call sent now; `None` if there is none."""

    def reserve_endpoint(self, now: float, destination: int) -> api.Address | None:
        """The same; its capacity for one call is reserved as well."""


PolicyFactory = Callable[[api.Settings, int, Oracle], Policy]
"""Creates a node's policy from its settings and a seed."""


def decision_module(settings: api.Settings, seed: int, oracle: Oracle) -> Policy:
    """The decision module of this program."""
    return Sender(settings, seed)
