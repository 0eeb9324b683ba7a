"""A fleet of hollow nodes around one service of the endpoint list."""

import gc
from dataclasses import dataclass
from enum import Enum

from irisstack import interface as api
from irisstack.lab.capacity import targets
from irisstack.lab.scale.hollow_node import HollowNode, Surroundings
from irisstack.lab.scale.list_client import PUSHED_PAUSE_S, ListClient
from irisstack.lab.scale.list_service import Costs, ListService, State
from irisstack.lab.scale.network import Network
from irisstack.lab.scale.settings import fleet_settings
from irisstack.lab.virtual.clock import Clock

SERVICE = -1
"""The service's number as a member of the network."""
CHECK_S = 0.25
"""Virtual seconds between two looks at whether all nodes have recovered."""
REGIONS = 2


class Mode(Enum):
    """How nodes have the list: when the decisions ask for it, or unasked."""

    ON_REQUEST = "on-request"
    PUSHED = "pushed"


@dataclass(slots=True, frozen=True)
class Recovery:
    """How a fleet came to have a change again."""

    seconds: float | None
    """Until the last node had it; `None` if some had it not by the end of the play."""
    nodes_without: int
    calls: int
    """Calls of nodes from the event on."""
    given_up: int
    """Calls that the service worked through for nobody."""
    longest_queue: int
    bytes_sent: int
    """Bytes that the service wrote, empty lines of watches not counted."""


class ListFleet(Surroundings):
    """Nodes of which each holds the same list; half of them stand in another region than the service."""

    def __init__(self, nodes: int, mode: Mode, costs: Costs, seed: int) -> None:
        self.clock = Clock()
        self.network = Network(self.clock, seed)
        self.service = ListService(self.clock, costs, targets.DESTINATIONS)
        self.network.join(SERVICE, 0)
        self.clients: dict[int, ListClient] = {}
        self._mode = mode
        self._seed = seed
        self._lives = 0
        self._nodes: dict[int, HollowNode] = {}
        self._size = nodes
        self._without: set[int] = set()
        self._wanted_version = 1
        self._last_at = 0.0
        for number in range(nodes):
            self.network.join(number, number * REGIONS // nodes)

    def start_all(self) -> None:
        """Start every node at the present time."""
        for number in range(self._size):
            self._start(self.clock.now, number, self.service.version)

    def run(self, until: float) -> None:
        """Play until that time."""
        gc.disable()
        try:
            self.clock.run(until, over=lambda: False)
        finally:
            gc.enable()
        self.clock.now = until

    def _start(self, now: float, number: int, known_version: int) -> None:
        """Begin a life of a node with the list as last held."""
        self._lives += 1
        settings = fleet_settings(self._size, number, on_request=self._mode is Mode.ON_REQUEST)
        node = HollowNode(number, settings, self._seed * 1_000_003 + self._lives, self.clock, self)
        client = ListClient(
            number,
            known_version,
            self.clock,
            self.network,
            self.service,
            SERVICE,
            lambda at, version: self._updated(at, node, version),
            lambda at, unheard, age: self._failed(at, node, unheard, age),
        )
        self._nodes[number], self.clients[number] = node, client
        node.turn(now, api.EndpointsUpdated(api.UpdateScope.CACHED, known_version, ()))
        if self._mode is Mode.PUSHED:
            client.subscribe(now, True)

    def subscribe(self, now: float, node: HollowNode, on: bool) -> None:
        if self._nodes.get(node.number) is node:
            self.clients[node.number].subscribe(now, on)

    def _updated(self, now: float, node: HollowNode, version: int) -> None:
        node.turn(now, api.EndpointsUpdated(api.UpdateScope.DELTA, version, ()))
        if version >= self._wanted_version and node.number in self._without:
            self._without.discard(node.number)
            self._last_at = now

    def _failed(self, now: float, node: HollowNode, unheard: float, list_age: float) -> None:
        node.turn(now, api.EndpointsUpdated(api.UpdateScope.FAILED, 0, (), unheard, list_age))
        if self._mode is Mode.PUSHED:
            self.clock.after(PUSHED_PAUSE_S, self._hold_again, node)

    def _hold_again(self, now: float, node: HollowNode) -> None:
        self.subscribe(now, node, True)

    # ---- events ----

    def restart(self, count: int) -> None:
        """End so many nodes at once and start them again with the list that they held."""
        now = self.clock.now
        for number in range(count):
            self._nodes[number].stop()
            client = self.clients[number]
            client.stop()
            self._start(now, number, client.known_version)

    def lose_contact(self, regions: tuple[int, ...] = (0, 1)) -> None:
        """The watches of the nodes in these regions hear nothing more."""
        for number, client in self.clients.items():
            if number * REGIONS // self._size in regions:
                client.lose_contact(self.clock.now)

    def go_down(self, state: State) -> None:
        """The service is down from now on."""
        self.service.go_down(self.clock.now, state)
        if state is State.SILENT:
            self.lose_contact()

    def change(self) -> None:
        """One line of the list changes; from now on it counts which nodes do not have it."""
        self.service.change(self.clock.now)
        self._wanted_version = self.service.version
        self._without = {n for n, c in self.clients.items() if c.known_version < self._wanted_version}

    def recover(self, within: float) -> Recovery:
        """Play until all nodes have the last change and hold a watch, or until the time is up."""
        began, counts = self.clock.now, self.service.counts
        calls = self.calls
        given_up, bytes_sent = counts.given_up, counts.bytes_sent
        counts.longest_queue = 0
        while self._incomplete() and self.clock.now < began + within:
            self.run(min(self.clock.now + CHECK_S, began + within))
        missing = self._incomplete()
        return Recovery(
            None if missing else max(0.0, self._last_at - began),
            missing,
            self.calls - calls,
            counts.given_up - given_up,
            counts.longest_queue,
            counts.bytes_sent - bytes_sent,
        )

    def _incomplete(self) -> int:
        """Nodes that have not heard of the last change or hold no watch."""
        return sum(n in self._without or not c.watching for n, c in self.clients.items())

    @property
    def calls(self) -> int:
        """Calls that reached the service or were refused by it so far."""
        return self.network.traffic[SERVICE].messages_received
