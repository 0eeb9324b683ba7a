"""Troubles that strike partners, by schedule, in whatever process the partners live."""

from collections.abc import Callable

from irisstack.lab import ledger as book
from irisstack.lab import troubles
from irisstack.lab.sampling import sample
from irisstack.lab.scenario import OF_LIST, OF_NODES
from irisstack.lab.sockets.partners import Partners
from irisstack.lab.sockets.run_context import RunContext
from irisstack.lab.world import Incident

LOOK = 0.01
"""Seconds after its fall's end at which a destination's listeners look again."""

Listed = Callable[[int, int, str, tuple[str, int]], None]
"""Told of each change that the list is to hear of: endpoint, destination, phase, address."""


class Strikes:
    """What goes wrong at the partners of one process."""

    def __init__(self, context: RunContext, partners: Partners, listed: Listed) -> None:
        self._context = context
        self._partners = partners
        self._listed = listed
        self._down: dict[int, int] = {}
        partners.fell_over = self._fell

    def plan(self) -> None:
        """Set every trouble that strikes a partner here."""
        for incident in self._context.world.incidents:
            if incident.trouble.kind in OF_NODES | OF_LIST | {"hot"}:
                continue
            if incident.trouble.kind == "replaced":
                stream = self._context.world.streams.stream("replaced", incident.begins)
                times = {
                    number: sample([incident.begins, incident.ends], stream) for number in incident.endpoints
                }
                for number, time in times.items():
                    if number in self._partners.servers:
                        self._context.at(time, self._replace, number)
                continue
            self._context.at(incident.begins, self._begin, incident)
            self._context.at(incident.ends, self._end, incident)

    def _begin(self, now: float, incident: Incident) -> None:
        names = [kind.name for kind in self._context.world.scenario.classes]
        name = incident.trouble.message_class
        for number in incident.endpoints:
            if (server := self._partners.servers.get(number)) is not None:
                troubles.begin(incident, server.endpoint, names.index(name) if name else None)
                server.heed(now)
        self._strike_destinations(now, incident, begins=True)

    def _end(self, now: float, incident: Incident) -> None:
        for number in incident.endpoints:
            if (server := self._partners.servers.get(number)) is not None:
                troubles.end(incident, server.endpoint)
                server.heed(now)
        self._strike_destinations(now, incident, begins=False)

    def _strike_destinations(self, now: float, incident: Incident, *, begins: bool) -> None:
        for number in incident.destinations:
            destination = self._partners.destinations.get(number)
            if destination is None:
                continue
            if begins:
                troubles.begin_for(incident, destination)
            else:
                troubles.end_for(incident, destination, now)
            if troubles.is_outage(incident):
                self._count_down(now, number, 1 if begins else -1)

    def _count_down(self, now: float, destination: int, step: int) -> None:
        before = self._down.get(destination, 0)
        self._down[destination] = before + step
        if not before or not self._down[destination]:
            self._context.ledger.append(book.Outage(now, destination, bool(self._down[destination])))

    def _fell(self, now: float, number: int) -> None:
        self._count_down(now, number, 1)
        self._heed_all(now, number)
        self._context.at(self._partners.destinations[number].fallen_until + LOOK, self._rose, number)

    def _rose(self, now: float, number: int) -> None:
        self._count_down(now, number, -1)
        self._heed_all(now, number)

    def _heed_all(self, now: float, number: int) -> None:
        for endpoint in self._partners.destinations[number].endpoints:
            self._partners.servers[endpoint].heed(now)

    def _replace(self, now: float, number: int) -> None:
        world, old = self._context.world, self._partners.servers[number]
        destination = old.endpoint.destination
        new = self._partners.open(destination.add(world.new_endpoint(old.endpoint.spec), world.streams))
        place = destination.spec.number
        self._listed(new.endpoint.spec.number, place, "SERVING", new.address)
        self._listed(number, place, "DRAINING", old.address)
        self._context.after(troubles.DRAIN_FOR, self._leave, number)

    def _leave(self, now: float, number: int) -> None:
        server = self._partners.servers[number]
        server.endpoint.lose_all(now)
        server.endpoint.conditions.refuses_connections = True
        server.stop()
        self._listed(number, server.endpoint.destination.spec.number, "DELETED", server.address)
