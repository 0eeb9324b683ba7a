"""What a sender knows of its destinations, calls and messages. The decisions on it are in `choice.py`.

Times are seconds on the sender's clock.
"""

from dataclasses import dataclass, field

from irisstack import interface as api
from irisstack.interface import Effect

NEVER = float("inf")
"""A time that does not come; `-NEVER` is before all others."""


@dataclass(slots=True, eq=False)
class CircuitBreaker:
    """State of the circuit breaker of one scope: failures, opening, spacing of calls and warm-up."""

    failures: int = 0
    """Failed calls in the current window, with those announced by gossip."""
    gossip_failures: int = 0
    """Those of them that all senders know by gossip."""
    successes: int = 0
    """Successful calls in the current window."""
    window_end: float = 0.0
    open_until: float = 0.0
    slowdown_steps: float = 0.0
    """Refusals (`Outcome.FULL`) not offset by successes; each lengthens the gap between calls."""
    next_call_at: float = 0.0
    """Earliest time of the next call while calls are spaced."""
    warmup_budget_used: float = 0.0
    """Warm-up budget used at `warmup_budget_since`, in calls, without the weight of the next call."""
    warmup_budget_since: float = 0.0
    unavailable_since: float = NEVER
    """Since when calls were refused or did not connect, and none was accepted."""
    cold_until: float = 0.0
    """Until when the destination may be cold after an outage; NEVER until a call has succeeded."""


@dataclass(slots=True, eq=False)
class BreakerScope:
    """What one circuit breaker covers: a destination, or one of its routes if they are separate."""

    gossip_key: bytes
    """Identifies the scope in gossip: the destination's number, or the route's address."""
    destination: "Destination"
    listed_rate: float = 0.0
    """Calls per second by the endpoint list; 0 if not known."""
    reported_limit: float = 0.0
    """Calls per second by the destination's own reports; 0 if not known."""
    last_success_sent_at: float = -NEVER
    """When the latest successful call was sent."""
    connect_failed_at: "dict[Route, float]" = field(default_factory=dict)
    """Times of failed connects; cleared after an outage."""


@dataclass(slots=True, eq=False)
class Route:
    """One endpoint of a destination, with this sender's calls and connections to it."""

    address: api.Address
    zone: int
    breaker_scope: BreakerScope
    calls_in_flight: int = 0
    connections: int = 0
    """Connections believed to be open."""
    all_in_use_at: float = 0.0
    """When all connections were last in use."""
    avoid_until: dict[int, float] = field(default_factory=dict)
    """Until when other routes are preferred, by the index of the message class."""


@dataclass(slots=True, eq=False)
class Destination:
    """A destination's routes and queues, and what its calls have shown."""

    number: int
    kind: api.DestinationKind = field(default_factory=lambda: api.DestinationKind("unknown"))
    routes: dict[api.Address, Route] = field(default_factory=dict)
    queues: "dict[int | None, DestinationQueue]" = field(default_factory=dict)
    """By the zone that the messages are limited to."""
    latency_ema: dict[int, float] = field(default_factory=dict)
    """Moving average of the duration of successful calls in seconds, by the index of the message class."""
    arrival_rate: float = 0.0
    """Recent messages per second for it that this sender received."""
    arrival_rate_at: float = 0.0
    """When `arrival_rate` was last updated."""
    calls_in_flight: int = 0
    messages: int = 0
    """Messages for it that are not removed yet."""
    listed: bool = False
    """Whether the endpoint list has named it, now or before; otherwise only clients have."""

    def queue(self, zone: int | None) -> "DestinationQueue":
        return self.queues.get(zone) or self.queues.setdefault(zone, DestinationQueue(self, zone))


@dataclass(slots=True, eq=False)
class DestinationQueue:
    """Messages that wait for any route of a destination, or for one in the zone that drops their repeats.

    Entries of messages that are no longer queued are skipped when they are reached.
    """

    destination: Destination
    zone: int | None
    on_time: "list[QueueEntry]" = field(default_factory=list)
    """Heap by the time of the latency target."""
    late: "list[QueueEntry]" = field(default_factory=list)
    """Heap of messages past their latency target: by worth, then the latest target first."""

    def queued_messages(self) -> "list[Message]":
        return [entry[-1] for entry in (*self.on_time, *self.late) if entry[-1].queued]

    def routes(self) -> "list[Route]":
        return [route for route in self.destination.routes.values() if self.zone in (None, route.zone)]


@dataclass(slots=True, eq=False)
class Call:
    """One request to one endpoint with the messages that were sent in it; they share its outcome."""

    route: Route
    sent_at: float
    timeout_at: float = NEVER
    """When the attempt of a repeatable message times out."""
    connection_idle: float = 0.0
    """Seconds for which its connection may have been idle before."""
    open_attempts: int = 0
    """Messages whose attempt has not ended."""
    messages: "list[Message]" = field(default_factory=list)
    size: int = 0
    """Bytes of its messages."""
    outcome_counted: bool = False
    """Whether its outcome, or its silence, has been counted."""


@dataclass(slots=True, eq=False)
class Message:
    """A pending message, or a finished one with an attempt still in flight."""

    id: int
    class_index: int
    message_class: api.MessageClass
    destination: int
    due: float
    latency_target_at: float
    ordering_key: int | None
    attempts: int = 0
    may_have_run_at: float | None = None
    """When the first attempt that may have run was sent."""
    may_have_run_zone: int | None = None
    """The zone of that attempt's endpoint."""
    order_pause_until: float = 0.0
    """When the last attempt, which may go on running at the endpoint, has surely ended."""
    call: "Call | None" = None
    finished: bool = False
    size: int = 0
    """Bytes that it takes up in a call with others."""

    @property
    def zone_scoped_dedup(self) -> bool:
        """Whether only the endpoints of one zone drop its repeats."""
        return (
            self.message_class.effect is Effect.KEYED
            and self.message_class.dedup_scope is api.DedupScope.ZONE
        )

    @property
    def queued(self) -> bool:
        """Whether it is pending with no attempt in flight."""
        return not self.finished and self.call is None


QueueEntry = tuple[float, float, int, Message]
"""Rank, second rank, tie-breaker, message."""
