"""Fault injection at the partners of one process, on the schedule that the scenario gives."""

from collections.abc import Callable

from irisstack.lab import ledger as records
from irisstack.lab import troubles
from irisstack.lab.sampling import sample
from irisstack.lab.scenario import LIST_TROUBLES, NODE_TROUBLES
from irisstack.lab.sockets.partners import Partners
from irisstack.lab.sockets.run_context import RunContext
from irisstack.lab.world import Incident

RECHECK_DELAY = 0.01
"""Seconds after the end of an overload failure at which a destination's listeners are checked again."""

ListChangeCallback = Callable[[int, int, str, tuple[str, int]], None]
"""Called for each change of the endpoint list with endpoint, destination, phase and address."""


class FaultInjector:
    """Begins and ends the incidents that concern the partners of one process."""

    def __init__(self, context: RunContext, partners: Partners, on_list_change: ListChangeCallback) -> None:
        self._context = context
        self._partners = partners
        self._on_list_change = on_list_change
        self._outages: dict[int, int] = {}  # incidents and overloads that hold a destination down
        partners.on_overload = self._begin_overload

    def schedule(self) -> None:
        """Schedule every incident that concerns a partner of this process."""
        for incident in self._context.world.incidents:
            if incident.trouble.kind in NODE_TROUBLES | LIST_TROUBLES | {"hot"}:
                continue
            if incident.trouble.kind == "replaced":
                stream = self._context.world.streams.stream("replaced", incident.starts_at)
                times = {
                    number: sample([incident.starts_at, incident.ends_at], stream)
                    for number in incident.endpoints
                }
                for number, time in times.items():
                    if number in self._partners.servers:
                        self._context.at(time, self._replace, number)
                continue
            self._context.at(incident.starts_at, self._begin, incident)
            self._context.at(incident.ends_at, self._end, incident)

    def _begin(self, now: float, incident: Incident) -> None:
        names = [kind.name for kind in self._context.world.scenario.classes]
        name = incident.trouble.message_class
        for number in incident.endpoints:
            if (server := self._partners.servers.get(number)) is not None:
                troubles.apply_to_endpoint(incident, server.endpoint, names.index(name) if name else None)
                server.update_listener(now)
        self._apply_to_destinations(now, incident, begins=True)

    def _end(self, now: float, incident: Incident) -> None:
        for number in incident.endpoints:
            if (server := self._partners.servers.get(number)) is not None:
                troubles.clear_from_endpoint(incident, server.endpoint)
                server.update_listener(now)
        self._apply_to_destinations(now, incident, begins=False)

    def _apply_to_destinations(self, now: float, incident: Incident, *, begins: bool) -> None:
        for number in incident.destinations:
            destination = self._partners.destinations.get(number)
            if destination is None:
                continue
            if begins:
                troubles.apply_to_destination(incident, destination)
            else:
                troubles.clear_from_destination(incident, destination, now)
            if troubles.is_outage(incident):
                self._count_outage(now, number, 1 if begins else -1)

    def _count_outage(self, now: float, destination: int, step: int) -> None:
        before = self._outages.get(destination, 0)
        self._outages[destination] = before + step
        if not before or not self._outages[destination]:
            self._context.ledger.append(records.Outage(now, destination, bool(self._outages[destination])))

    def _begin_overload(self, now: float, number: int) -> None:
        self._count_outage(now, number, 1)
        self._update_listeners(now, number)
        self._context.at(
            self._partners.destinations[number].down_until + RECHECK_DELAY, self._end_overload, number
        )

    def _end_overload(self, now: float, number: int) -> None:
        self._count_outage(now, number, -1)
        self._update_listeners(now, number)

    def _update_listeners(self, now: float, number: int) -> None:
        for endpoint in self._partners.destinations[number].endpoints:
            self._partners.servers[endpoint].update_listener(now)

    def _replace(self, now: float, number: int) -> None:
        world, old = self._context.world, self._partners.servers[number]
        destination = old.endpoint.destination
        new = self._partners.open(
            destination.add_endpoint(world.replace_endpoint(old.endpoint.spec), world.streams)
        )
        place = destination.spec.number
        self._on_list_change(new.endpoint.spec.number, place, "SERVING", new.address)
        self._on_list_change(number, place, "DRAINING", old.address)
        self._context.after(troubles.DRAIN_PERIOD, self._remove, number)

    def _remove(self, now: float, number: int) -> None:
        server = self._partners.servers[number]
        server.endpoint.drop_all_calls(now)
        server.endpoint.conditions.refuses_connections = True
        server.stop()
        self._on_list_change(number, server.endpoint.destination.spec.number, "DELETED", server.address)
