"""What a sender knows of its destinations, calls and messages; the decisions on it are in `choice.py`."""

from dataclasses import dataclass, field

from irisstack import interface as api
from irisstack.interface import Effect

NEVER = float("inf")


@dataclass(slots=True, eq=False)
class CircuitBreaker:
    """The circuit breaker of one destination (or route): everything that is known of its trouble."""

    failures: int = 0
    gossip_failures: int = 0  # of these, the ones that all senders were told of
    successes: int = 0  # calls that succeeded in the same window
    window_end: float = 0.0
    open_until: float = 0.0
    slowdown_steps: float = 0.0  # refusals as full not yet made good by successes: how far calls are slowed
    next_call_at: float = 0.0  # while spaced: the earliest time of the next call
    warmup_budget_used: float = 0.0  # of the fail-back budget since then, beside what the next call weighs
    warmup_budget_since: float = 0.0
    unavailable_since: float = NEVER  # since when calls were turned away with none taken
    cold_until: float = 0.0  # until when it may be cold from an outage; NEVER before a call has succeeded


@dataclass(slots=True, eq=False)
class BreakerScope:
    """What calls to a destination, or to one of its routes apart, have in common: breaker, limit, outages."""

    gossip_key: bytes  # names it in notes: the destination's number, or the route's address
    destination: "Destination"
    listed_rate: float = 0.0
    reported_limit: float = 0.0  # calls a second, as it reports them
    last_success_sent_at: float = -NEVER  # when the newest call that succeeded was sent
    connect_failed_at: "dict[Route, float]" = field(
        default_factory=dict
    )  # failed connects, unless in an outage


@dataclass(slots=True, eq=False)
class Route:
    """One endpoint of a destination, and what this sender has there."""

    address: api.Address
    zone: int
    breaker_scope: BreakerScope
    calls_in_flight: int = 0
    connections: int = 0  # believed open
    all_in_use_at: float = 0.0  # when all of its connections were last in use
    avoid_until: dict[int, float] = field(default_factory=dict)  # until when it is second choice, by class


@dataclass(slots=True, eq=False)
class Destination:
    """A destination's routes, waiting messages and what its calls have shown."""

    number: int
    kind: api.DestinationKind = field(default_factory=lambda: api.DestinationKind("unknown"))
    routes: dict[api.Address, Route] = field(default_factory=dict)
    queues: "dict[int | None, DestinationQueue]" = field(
        default_factory=dict
    )  # by the zone that they are held to
    latency_ema: dict[int, float] = field(default_factory=dict)
    arrival_rate: float = 0.0  # messages a second of late for it that came to this sender
    arrival_rate_at: float = 0.0
    calls_in_flight: int = 0

    def queue(self, zone: int | None) -> "DestinationQueue":
        return self.queues.get(zone) or self.queues.setdefault(zone, DestinationQueue(self, zone))


@dataclass(slots=True, eq=False)
class DestinationQueue:
    """Messages that wait for any route of a destination, or for one in the zone that drops their repeats."""

    destination: Destination
    zone: int | None
    on_time: "list[QueueEntry]" = field(default_factory=list)  # by end of the aim
    late: "list[QueueEntry]" = field(default_factory=list)  # by worth, newest first

    def queued_messages(self) -> "list[Message]":
        return [entry[-1] for entry in (*self.on_time, *self.late) if entry[-1].queued]

    def routes(self) -> "list[Route]":
        return [route for route in self.destination.routes.values() if self.zone in (None, route.zone)]


@dataclass(slots=True, eq=False)
class Call:
    """One call: the messages that went to one endpoint in one turn, with one fate."""

    route: Route
    sent_at: float
    timeout_at: float = NEVER  # when a repeatable message's time-out comes
    connection_idle: float = 0.0  # how long the connection may have been idle
    open_attempts: int = 0
    messages: "list[Message]" = field(default_factory=list)
    outcome_counted: bool = False  # its outcome is counted already


@dataclass(slots=True, eq=False)
class Message:
    """A message that is owed its final answer, or that still has an attempt out."""

    id: int
    class_index: int
    message_class: api.MessageClass
    destination: int
    due: float
    latency_target_at: float
    ordering_key: int | None
    attempts: int = 0
    may_have_run_at: float | None = None  # when the first attempt that may have run was sent
    may_have_run_zone: int | None = None  # and in which zone
    order_pause_until: float = 0.0  # order: when the last attempt that may run on has surely ended
    call: "Call | None" = None
    finished: bool = False

    @property
    def zone_scoped_dedup(self) -> bool:
        """Whether its repeats are dropped by the endpoints of one zone alone."""
        return (
            self.message_class.effect is Effect.KEYED
            and self.message_class.dedup_scope is api.DedupScope.ZONE
        )

    @property
    def queued(self) -> bool:
        return not self.finished and self.call is None  # owed an answer, with no attempt out


QueueEntry = tuple[float, float, int, Message]  # rank, second rank, a number that settles ties, the message
