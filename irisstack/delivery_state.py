"""What a sender knows of its destinations, calls and messages; the decisions on it are in `choice.py`."""

from dataclasses import dataclass, field

from irisstack import interface as api
from irisstack.interface import Effect

NEVER = float("inf")


@dataclass(slots=True, eq=False)
class CircuitBreaker:
    """The circuit breaker of one destination (or route): everything that is known of its trouble."""

    failures: int = 0
    shared: int = 0  # of these, the ones that all senders were told of
    successes: int = 0  # calls that succeeded in the same window
    window_end: float = 0.0
    open_until: float = 0.0
    slowdown_steps: float = 0.0  # refusals as full not yet made good by successes: how far calls are slowed
    next_at: float = 0.0  # while spaced: the earliest time of the next call
    warmup_budget_used: float = 0.0  # of the fail-back budget since then, beside what the next call weighs
    warmup_budget_at: float = 0.0
    unreachable_since: float = NEVER  # since when calls were turned away with none taken
    cold_until: float = 0.0  # until when it may be cold from an outage; NEVER before a call has succeeded


@dataclass(slots=True, eq=False)
class BreakerScope:
    """What calls to a destination, or to one of its routes apart, have in common: breaker, limit, outages."""

    key: bytes  # names it in notes: the destination's number, or the route's address
    destination: "Destination"
    listed: float = 0.0
    reported_limit: float = 0.0  # calls a second, as it reports them
    ok_sent: float = -NEVER  # when the newest call that succeeded was sent
    refused_at: "dict[Route, float]" = field(default_factory=dict)  # failed connects, unless in an outage


@dataclass(slots=True, eq=False)
class Route:
    """One endpoint of a destination, and what this sender has there."""

    address: api.Address
    zone: int
    limit: BreakerScope
    calls: int = 0
    connections: int = 0  # believed open
    all_used: float = 0.0  # when all of its connections were last in use
    avoid_until: dict[int, float] = field(default_factory=dict)  # until when it is second choice, by class


@dataclass(slots=True, eq=False)
class Destination:
    """A destination's routes, waiting messages and what its calls have shown."""

    number: int
    kind: api.DestinationKind = field(default_factory=lambda: api.DestinationKind("unknown"))
    routes: dict[api.Address, Route] = field(default_factory=dict)
    lines: "dict[int | None, DestinationQueue]" = field(
        default_factory=dict
    )  # by the zone that they are held to
    usual: dict[int, float] = field(default_factory=dict)
    flow: float = 0.0  # messages a second of late for it that came to this sender
    flow_at: float = 0.0
    calls: int = 0

    def line(self, zone: int | None) -> "DestinationQueue":
        return self.lines.get(zone) or self.lines.setdefault(zone, DestinationQueue(self, zone))


@dataclass(slots=True, eq=False)
class DestinationQueue:
    """Messages that wait for any route of a destination, or for one in the zone that drops their repeats."""

    destination: Destination
    zone: int | None
    fresh: "list[QueueEntry]" = field(default_factory=list)  # by end of the aim
    late: "list[QueueEntry]" = field(default_factory=list)  # by worth, newest first

    def waiting(self) -> "list[Message]":
        return [entry[-1] for entry in (*self.fresh, *self.late) if entry[-1].in_line]

    def routes(self) -> "list[Route]":
        return [route for route in self.destination.routes.values() if self.zone in (None, route.zone)]


@dataclass(slots=True, eq=False)
class Call:
    """One call: the messages that went to one endpoint in one turn, with one fate."""

    route: Route
    sent: float
    lost_at: float = NEVER  # when a repeatable message's time-out comes
    idle: float = 0.0  # how long the connection may have been idle
    left: int = 0
    messages: "list[Message]" = field(default_factory=list)
    judged: bool = False  # its outcome is counted already


@dataclass(slots=True, eq=False)
class Message:
    """A message that is owed its final answer, or that still has an attempt out."""

    id: int
    class_index: int
    message_class: api.MessageClass
    destination: int
    due: float
    aim_at: float
    key: int | None
    attempts: int = 0
    maybe_ran: float | None = None  # when the first attempt that may have run was sent
    ran_in: int | None = None  # and in which zone
    rest_until: float = 0.0  # order: when the last attempt that may run on has surely ended
    call: "Call | None" = None
    over: bool = False

    @property
    def zoned(self) -> bool:
        """Whether its repeats are dropped by the endpoints of one zone alone."""
        return (
            self.message_class.effect is Effect.KEYED
            and self.message_class.dedup_scope is api.DedupScope.ZONE
        )

    @property
    def in_line(self) -> bool:
        return not self.over and self.call is None  # owed an answer, with no attempt out


QueueEntry = tuple[float, float, int, Message]  # rank, second rank, a number that settles ties, the message
