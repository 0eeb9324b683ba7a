"""One scenario in virtual time: thousands of senders, any policy, one ledger."""

import gc
import time
from collections import Counter, deque
from collections.abc import Callable, Sequence
from dataclasses import dataclass

from irisstack import interface as api
from irisstack.lab import ledger as records
from irisstack.lab import troubles
from irisstack.lab.clients import MIN_TIME_LEFT, ClientBehaviour
from irisstack.lab.node_settings import decision_settings
from irisstack.lab.partner import Answer, Destination, Endpoint, Item, PartnerCall
from irisstack.lab.policy import Policy, PolicyFactory
from irisstack.lab.sampling import sample
from irisstack.lab.virtual.clock import Clock
from irisstack.lab.virtual.listing import Listing, address, number_of
from irisstack.lab.virtual.node import END_BY, Node, OutCall, Owed
from irisstack.lab.world import Incident, Message, World

AFTER_END = 5.0
"""Seconds after the last deadline at which a run ends, whatever is still out."""

SWEEP = 0.25
"""Seconds between two looks of a full endpoint for idle connections that have reached their age."""

Progress = Callable[[float], None]


@dataclass(slots=True, frozen=True)
class Played:
    """A run: its ledger, and what it cost to play."""

    ledger: records.Ledger
    events: int
    """Events handed to the nodes' policies."""
    acts: int
    """Acts of the whole world in virtual time."""
    turns: int
    cpu_s: float


def play(world: World, make: PolicyFactory, progress: Progress | None = None) -> Played:
    """Play a world to its end; the same world and policy give the same ledger."""
    return _Play(world, make, progress).run()


class _Play:
    """The world while it is played: carries out what nodes and partners want done."""

    def __init__(self, world: World, make: PolicyFactory, progress: Progress | None) -> None:
        self._world = world
        self._make = make
        self._progress = progress
        self._clock = Clock()
        self._ledger: records.Ledger = []
        self._destinations = {n: Destination(spec, world, self) for n, spec in world.destinations.items()}
        self._endpoints: dict[int, Endpoint] = {
            number: endpoint for d in self._destinations.values() for number, endpoint in d.endpoints.items()
        }
        self._behaviour = ClientBehaviour(world.scenario.clients, world.streams)
        self._one_way = world.one_way_delays()
        self._listing = Listing(world, self._clock)
        self._next_id = 1
        self._waiting = len(world.messages)  # messages that clients have still to hand in, or once more
        self._handed: dict[int, tuple[Message, int]] = {}  # id: the message and its handings in so far
        self._down: dict[int, int] = {}  # destinations that are down, with the troubles that hold them
        self._claimed: dict[int, deque[tuple[float, int]]] = {}
        self._swept: dict[int, float] = {}
        self._seeds = world.streams.stream("seeds")
        self._nodes: list[Node] = []
        for spec in world.senders:
            settings = decision_settings(world, spec.number)
            self._nodes.append(
                Node(spec.number, settings, self._policy(settings), self._clock, self, self._ledger)
            )

    def _policy(self, settings: api.Settings) -> Policy:
        return self._make(settings, int(self._seeds.integers(1 << 62)), self)

    def run(self) -> Played:
        cpu = time.process_time()
        world, clock = self._world, self._clock
        known = self._listing.snapshot(api.UpdateScope.CACHED)
        for node in self._nodes:
            self._listing.join(node.number, node.hear_list)
            node.start(0.0, known)
        for incident in world.incidents:
            self._plan(incident)
        if world.messages:
            clock.at(world.messages[0].submit_at, self._arrive, 0)
        last = world.duration + max(kind.deadline_s for kind in world.scenario.classes) + AFTER_END
        if self._progress is not None:
            clock.at(0.0, self._tick, last)
        # Nothing here makes cycles that outlast a call, and looking for them takes a fifth of the time.
        gc.disable()
        try:
            clock.run(last, self._over)
        finally:
            gc.enable()
        if self._progress is not None:
            self._progress(1.0)
        return Played(
            self._ledger,
            sum(node.events_in for node in self._nodes),
            clock.done,
            sum(node.turns for node in self._nodes),
            time.process_time() - cpu,
        )

    def _tick(self, now: float, last: float) -> None:
        assert self._progress is not None
        self._progress(min(1.0, now / self._world.duration) * 0.99)
        if now < last:
            self._clock.after(self._world.duration / 50.0, self._tick, last)

    def _over(self) -> bool:
        return (
            self._clock.now > self._world.duration
            and not self._waiting
            and not any(node.owed for node in self._nodes)
        )

    # ---- clients ----

    def _arrive(self, now: float, index: int) -> None:
        messages = self._world.messages
        message = messages[index]
        if index + 1 < len(messages):
            self._clock.at(messages[index + 1].submit_at, self._arrive, index + 1)
        self._hand_in(now, message, 1, False)

    def _hand_in(self, now: float, message: Message, tries: int, from_dead: bool) -> None:
        kind = self._world.scenario.classes[message.message_class]
        due = message.submit_at + kind.deadline_s
        node = self._nodes[message.sender]
        if not node.alive:
            up = [other for other in self._nodes if other.alive]
            wait = self._behaviour.failover_delay()
            if not up:
                if now + wait + MIN_TIME_LEFT < due:
                    self._clock.after(wait, self._hand_in, message, tries, from_dead)
                else:
                    self._waiting -= 1
                    if tries == 1 and not from_dead:
                        self._ledger.append(
                            records.NeverSubmitted(
                                now, message.number, message.message_class, message.destination, due
                            )
                        )
                return
            node = up[message.number % len(up)]
        self._waiting -= 1
        number, self._next_id = self._next_id, self._next_id + 1
        self._handed[number] = message, tries
        self._ledger.append(
            records.Submitted(
                now,
                node.number,
                number,
                message.number,
                message.message_class,
                message.destination,
                due,
                message.order_key,
            )
        )
        item = Item(number, message.number, message.message_class, message.work)
        owed = Owed(
            number, node.number, item, message.destination, due, message.order_key, tries > 1, from_dead
        )
        node.hand_in(now, owed, leaves=self._behaviour.disconnects_early())

    def ended(self, now: float, owed: Owed, result: records.Result, wait: float) -> None:
        message, tries = self._handed.pop(owed.id)
        self._ledger.append(records.Ended(now, owed.node, owed.id, result, wait))
        if result == "refused":
            pause = self._behaviour.retry_delay(tries, wait, owed.due - now)
            if pause is not None:
                self._waiting += 1
                self._clock.after(pause, self._hand_in, message, tries + 1, False)

    def lost(self, now: float, owed: Sequence[Owed]) -> None:
        for one in owed:
            message, tries = self._handed.pop(one.id)
            kind = self._world.scenario.classes[message.message_class]
            wait = self._behaviour.failover_delay()
            if now + wait + MIN_TIME_LEFT < one.due and (kind.repeat != "unsafe" or one.maybe_ran is None):
                self._waiting += 1
                self._clock.after(wait, self._hand_in, message, tries, True)

    # ---- what nodes reach ----

    def connect(self, now: float, call: OutCall) -> None:
        endpoint = self._endpoints[call.endpoint]
        taken = endpoint.accepts_connections(now)
        if taken is False and now >= self._swept.get(call.endpoint, 0.0):
            self._swept[call.endpoint] = now + SWEEP
            endpoint.connection_count -= sum(node.drop_expired(now, call.endpoint) for node in self._nodes)
            taken = endpoint.accepts_connections(now)
        trip = 2.0 * self._one_way[call.destination]
        assert call.sender is not None
        if taken:
            call.connected = True
            endpoint.connection_count += 1
            self._clock.after(trip, call.sender.connected, call)
        elif taken is None:
            self._clock.after(self._world.scenario.senders.connect_timeout_s, call.sender.not_connected, call)
        else:
            self._clock.after(trip, call.sender.not_connected, call)

    def carry(self, now: float, call: OutCall) -> None:
        self._clock.after(self._one_way[call.destination], self._reach, call)

    def _reach(self, now: float, call: OutCall) -> None:
        endpoint = self._endpoints[call.endpoint]
        if endpoint.drops_idle_connection(call.idle):
            self.drop_connection(now, endpoint, call)
        elif not call.abandoned:
            endpoint.receive(now, call)

    def hang_up(self, call: OutCall) -> None:
        call.connected = False
        self._endpoints[call.endpoint].connection_count -= 1
        self._clock.after(self._one_way[call.destination], self._hung_up, call)

    def _hung_up(self, now: float, call: OutCall) -> None:
        self._endpoints[call.endpoint].abandon(call)

    def close_idle(self, endpoint: int, count: int) -> None:
        self._endpoints[endpoint].connection_count -= count

    def ask_list(self, now: float, node: int, *, watch: bool) -> None:
        self._listing.ask(now, node, watch=watch)

    # ---- what partners want done ----

    def call_later(self, delay: float, act: Callable[..., None], *arguments: object) -> None:
        self._clock.after(delay, act, *arguments)

    def send_answer(self, now: float, endpoint: Endpoint, call: PartnerCall, answer: Answer) -> None:
        assert isinstance(call, OutCall)
        assert call.sender is not None
        self._clock.after(self._one_way[call.destination], call.sender.answered, call, answer)

    def send_malformed_answer(self, now: float, endpoint: Endpoint, call: PartnerCall) -> None:
        self.drop_connection(now, endpoint, call)

    def drop_connection(self, now: float, endpoint: Endpoint, call: PartnerCall) -> None:
        assert isinstance(call, OutCall)
        assert call.sender is not None
        self._clock.after(self._one_way[call.destination], call.sender.broken, call)

    def message_executed(self, now: float, endpoint: Endpoint, item: Item, effect: bool) -> None:
        self._ledger.append(records.Executed(now, item.message, item.chain, endpoint.spec.number, effect))

    def destination_overloaded(self, now: float, destination: int) -> None:
        self._ledger.append(records.Overloaded(now, destination))
        self._go_down(now, destination)
        self._clock.at(self._destinations[destination].down_until, self._come_back, destination)

    # ---- troubles ----

    def _plan(self, incident: Incident) -> None:
        clock, kind = self._clock, incident.trouble.kind
        match kind:
            case "hot":
                return  # its messages are drawn already
            case "list_down":
                clock.at(incident.starts_at, self._listing.go_down)
                clock.at(incident.ends_at, self._listing.come_back)
            case "list_stale":
                clock.at(incident.starts_at, self._make_stale, incident.strength)
                clock.at(incident.ends_at, self._make_stale, 0.0)
            case "killed" | "stopped" | "stalled":
                for number in incident.nodes:
                    clock.at(incident.starts_at, self._strike, incident, number)
            case "replaced":
                stream = self._world.streams.stream("replaced", incident.starts_at)
                for number in incident.endpoints:
                    clock.at(sample([incident.starts_at, incident.ends_at], stream), self._replace, number)
            case _:
                clock.at(incident.starts_at, self._begin, incident)
                clock.at(incident.ends_at, self._end, incident)

    def _make_stale(self, now: float, later: float) -> None:
        self._listing.later = later

    def _begin(self, now: float, incident: Incident) -> None:
        names = [kind.name for kind in self._world.scenario.classes]
        name = incident.trouble.message_class
        for number in incident.endpoints:
            troubles.apply_to_endpoint(incident, self._endpoints[number], names.index(name) if name else None)
        for number in incident.destinations:
            troubles.apply_to_destination(incident, self._destinations[number])
            if troubles.is_outage(incident):
                self._go_down(now, number)

    def _end(self, now: float, incident: Incident) -> None:
        for number in incident.endpoints:
            troubles.clear_from_endpoint(incident, self._endpoints[number])
        for number in incident.destinations:
            troubles.clear_from_destination(incident, self._destinations[number], now)
            if troubles.is_outage(incident):
                self._come_back(now, number)

    def _go_down(self, now: float, destination: int) -> None:
        self._down[destination] = self._down.get(destination, 0) + 1
        if self._down[destination] == 1:
            self._ledger.append(records.Outage(now, destination, True))

    def _come_back(self, now: float, destination: int) -> None:
        self._down[destination] -= 1
        if not self._down[destination]:
            self._ledger.append(records.Outage(now, destination, False))

    def _replace(self, now: float, number: int) -> None:
        old = self._endpoints[number]
        new = old.destination.add_endpoint(self._world.replace_endpoint(old.spec), self._world.streams)
        self._endpoints[new.spec.number] = new
        self._listing.change(now, new.spec, api.EndpointState.READY)
        self._listing.change(now, old.spec, api.EndpointState.DRAINING)
        self._clock.after(troubles.DRAIN_PERIOD, self._leave, number)

    def _leave(self, now: float, number: int) -> None:
        endpoint = self._endpoints[number]
        endpoint.drop_all_calls(now)
        endpoint.conditions.refuses_connections = True
        endpoint.conditions.draining = True
        self._listing.change(now, endpoint.spec, api.EndpointState.GONE)

    def _strike(self, now: float, incident: Incident, number: int) -> None:
        node = self._nodes[number]
        if not node.alive:
            return
        match incident.trouble.kind:
            case "stalled":
                node.sleep(now, incident.ends_at)
            case "killed":
                self._kill(now, number, incident.ends_at - now, incident.trouble.disk_lost)
            case _:
                node.stop(now)
                self._clock.after(END_BY, self._stopped, number, node.life, incident.ends_at - now)

    def _stopped(self, now: float, number: int, life: int, down: float) -> None:
        if self._nodes[number].life == life and self._nodes[number].alive:
            self._kill(now, number, down, False)

    def _kill(self, now: float, number: int, down: float, disk_lost: bool) -> None:
        node = self._nodes[number]
        self._listing.leave(number)
        known = node.kill(now, self._policy(node.settings), disk_lost=disk_lost)
        self._clock.after(down, self._restart, number, known)

    def _restart(self, now: float, number: int, known: api.EndpointsUpdated) -> None:
        node = self._nodes[number]
        self._listing.join(number, node.hear_list)
        node.start(now, known)
        if self._world.scenario.endpoint_list.mode == "pushed":
            self._listing.ask(now, number, watch=True)

    # ---- the truth, for the upper bound ----

    def find_endpoint(self, now: float, destination: int) -> api.Address | None:
        model = self._destinations[destination]
        claimed = self._claimed.setdefault(destination, deque())
        while claimed and claimed[0][0] <= now:
            claimed.popleft()
        if not model.has_capacity(now, len(claimed)):
            return None
        taken = Counter(endpoint for _, endpoint in claimed)
        best = max(model.endpoints.values(), key=lambda e: e.available_slots(now) - taken[e.spec.number])
        return address(best.spec.number) if best.available_slots(now) - taken[best.spec.number] >= 1 else None

    def reserve_endpoint(self, now: float, destination: int) -> api.Address | None:
        where = self.find_endpoint(now, destination)
        if where is not None:
            # Until the call has arrived, its room is not seen as taken by the endpoint itself.
            self._claimed[destination].append((now + 1.5 * self._one_way[destination], number_of(where)))
        return where
