"""The platform's list of endpoints in virtual time: what it says, how late, and to whom."""

from collections.abc import Callable

from irisstack import interface as api
from irisstack.lab.sampling import sample
from irisstack.lab.scenario import EndpointList
from irisstack.lab.virtual.clock import Clock
from irisstack.lab.world import EndpointSpec, World

Post = Callable[[float, api.EndpointsUpdated], None]


def address(number: int) -> api.Address:
    """An endpoint's address: its number, in a private range of its own."""
    return (10 << 24 | number).to_bytes(4, "big"), 7070


def number_of(where: api.Address) -> int:
    """The endpoint behind an address."""
    return int.from_bytes(where[0][1:], "big")


class Listing:
    """The list, and what it has still to tell."""

    def __init__(self, world: World, clock: Clock) -> None:
        self._world = world
        self._clock = clock
        self._told: EndpointList = world.scenario.endpoint_list
        self._late = world.streams.stream("list")
        self._entries = {
            number: self._entry(spec, api.EndpointState.READY) for number, spec in world.endpoints.items()
        }
        self._version = 1
        self._nodes: dict[int, Post] = {}
        self._watching: set[int] = set()
        self.down = False
        self.later = 0.0
        """Seconds by which every change is told later than usual."""

    def _entry(self, spec: EndpointSpec, state: api.EndpointState) -> api.Endpoint:
        destination = self._world.destinations[spec.destination]
        return api.Endpoint(
            address(spec.number),
            state,
            destination.kind_index,
            destination.number,
            0,
            destination.rate_limit or destination.capacity,
            None,
        )

    def snapshot(self, scope: api.UpdateScope) -> api.EndpointsUpdated:
        """The whole list as it stands."""
        return api.EndpointsUpdated(scope, self._version, tuple(self._entries.values()))

    def join(self, node: int, post: Post) -> None:
        """A node has started; what it held before it was given at its start."""
        self._nodes[node] = post
        if self._told.mode == "pushed":
            self._watching.add(node)

    def leave(self, node: int) -> None:
        self._nodes.pop(node, None)
        self._watching.discard(node)

    def ask(self, now: float, node: int, *, watch: bool) -> None:
        """A node asks for the whole list, and to be told of changes if it watches."""
        if self.down:
            self._clock.after(0.05, self._give, node, api.EndpointsUpdated(api.UpdateScope.FAILED, 0, ()))
            return
        if watch:
            self._watching.add(node)
        self._clock.after(0.05, self._give_whole, node)

    def _give_whole(self, now: float, node: int) -> None:
        """The list as it stands when it leaves: never older than a change that went before it."""
        self._give(now, node, self.snapshot(api.UpdateScope.FULL))

    def _give(self, now: float, node: int, update: api.EndpointsUpdated) -> None:
        if node in self._nodes:
            self._nodes[node](now, update)

    def change(self, now: float, spec: EndpointSpec, state: api.EndpointState) -> None:
        """Something is so from now on; the list hears of it late."""
        late = sample(self._told.late_s, self._late) + self.later
        self._clock.at(now + late, self._hear, self._entry(spec, state))

    def _hear(self, now: float, entry: api.Endpoint) -> None:
        if self.down:
            self._clock.after(0.5, self._hear, entry)
            return
        self._version += 1
        if entry.state is api.EndpointState.GONE:
            self._entries.pop(number_of(entry.address), None)
        else:
            self._entries[number_of(entry.address)] = entry
        update = api.EndpointsUpdated(api.UpdateScope.DELTA, self._version, (entry,))
        for node in sorted(self._watching):
            self._give(now, node, update)

    def go_down(self, now: float) -> None:
        """The list answers nobody; watches end."""
        self.down = True
        if self._told.mode == "on_request":
            for node in sorted(self._watching):
                self._give(now, node, api.EndpointsUpdated(api.UpdateScope.FAILED, 0, ()))
            self._watching.clear()

    def come_back(self, now: float) -> None:
        self.down = False
