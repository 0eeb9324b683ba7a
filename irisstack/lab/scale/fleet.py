"""A fleet of hollow nodes that send to destinations of which each has one outage."""

import gc
from collections.abc import Callable, Sequence
from random import Random

from irisstack import interface as api
from irisstack.lab.scale.destinations import Destination
from irisstack.lab.scale.hollow_node import HollowNode, OutgoingCall, Surroundings
from irisstack.lab.scale.network import UDP_HEADER_BYTES, Network
from irisstack.lab.scale.settings import CLASSES, DEADLINE_S
from irisstack.lab.virtual.clock import Clock

SettingsOf = Callable[[int], api.Settings]


class Fleet(Surroundings):
    """Messages come to each destination at random times and to a random sender; gossip goes to all peers.

    A message that is refused is not handed in again.
    """

    def __init__(
        self,
        senders: int,
        destinations: Sequence[Destination],
        messages_per_s: float,
        settings_of: SettingsOf,
        seed: int,
    ) -> None:
        self.clock = Clock()
        self.network = Network(self.clock, seed)
        self.destinations = tuple(destinations)
        self.gossip_sent = 0
        self._by_address = {destination.endpoint.address: destination for destination in destinations}
        self._random = Random(seed)
        self._messages_per_s = messages_per_s
        self._next_message = 1
        self._ends_at = 0.0
        self.nodes = [self._node(number, settings_of(number), seed) for number in range(senders)]

    def _node(self, number: int, settings: api.Settings, seed: int) -> HollowNode:
        self.network.join(number)
        return HollowNode(number, settings, seed * 1_000_003 + number, self.clock, self)

    def run(self, until: float) -> None:
        """Play from the start until that time."""
        endpoints = tuple(destination.endpoint for destination in self.destinations)
        known = api.EndpointsUpdated(api.UpdateScope.CACHED, 1, endpoints)
        for node in self.nodes:
            node.turn(0.0, known)
        self._ends_at = until
        for destination in self.destinations:
            self.clock.at(self._pause(), self._message, destination)
        gc.disable()  # no cycle outlasts a call, and looking for some takes a fifth of the time
        try:
            self.clock.run(until, over=lambda: False)
        finally:
            gc.enable()

    def _pause(self) -> float:
        return self._random.expovariate(self._messages_per_s)

    def _message(self, now: float, destination: Destination) -> None:
        node = self.nodes[self._random.randrange(len(self.nodes))]
        index = self._random.randrange(len(CLASSES))
        number, self._next_message = self._next_message, self._next_message + 1
        node.receive(now, api.MessageReceived(number, index, destination.number, now + DEADLINE_S))
        self.clock.after(self._pause(), self._message, destination)

    def call(self, now: float, node: HollowNode, call: OutgoingCall) -> None:
        destination = self._by_address[call.endpoint]
        answer = destination.take(now, node.number, call.give_up_at)
        self.clock.after(answer.elapsed, self._end, node, call, answer.outcome)

    def _end(self, now: float, node: HollowNode, call: OutgoingCall, outcome: api.Outcome) -> None:
        node.end_call(now, call, outcome)

    def broadcast(self, now: float, node: HollowNode, data: bytes) -> None:
        self.gossip_sent += 1

        def hear(at: float, member: int) -> None:
            self.nodes[member].hear(at, node.number, data)

        self.network.broadcast(node.number, len(data) + UDP_HEADER_BYTES, hear)
