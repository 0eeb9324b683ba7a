"""The decision module's interface: settings, events and actions. Contains no decision logic.

Times and durations are seconds on one monotonic clock. `None` means unknown or absent.
"""

import math
from dataclasses import dataclass, field
from enum import Enum, IntEnum, auto

MAX_BODY_BYTES = 64 * 1024
"""Most bytes of a request's or response's body, and so of the messages that share a call."""

Address = tuple[bytes, int]
"""An endpoint's address and port; opaque to the decision module."""


class Effect(Enum):
    """What a repeated delivery of the same message does."""

    SAFE = auto()
    """No additional effect: the message is idempotent."""
    KEYED = auto()
    """Endpoints drop a repeat by its idempotency key, within the dedup window."""
    UNSAFE = auto()
    """The effect may happen twice: the message must not be sent again once it may have run."""


class DedupScope(Enum):
    """Which endpoints of a destination recognize a repeat of a keyed message: all, or those of one zone."""

    DESTINATION = auto()
    ZONE = auto()


class Decay(Enum):
    """How a message's worth falls once its latency target has passed."""

    LINEAR = auto()
    HALVING = auto()


class Outcome(IntEnum):
    """How an attempt (or a probe) ended."""

    OK = 0
    ERROR = 1
    FULL = 2
    TIMEOUT = 3
    CONNECT_FAILED = 4
    RESET = 5
    CANCELLED = 6
    NOT_SENT = 7


class GiveUpReason(Enum):
    """Why a message is given up without being delivered. The values are logged and name counters."""

    NO_ATTEMPT_LEFT = "no_attempt_left"
    MAY_HAVE_RUN = "may_have_run"
    """An attempt may have run, and no repeat is allowed, or none any more."""
    BREAKER_OPEN = "breaker_open"
    """The destination's circuit breaker stays open for longer than the message can wait."""
    NO_TIME_LEFT = "no_time_left"
    """A call of the expected latency no longer fits before the deadline."""
    NO_ROOM = "no_room"
    """There are too many pending messages."""


class EndpointState(Enum):
    """The state of an endpoint according to discovery; it says nothing about its health."""

    READY = auto()
    DRAINING = auto()
    GONE = auto()


class UpdateScope(Enum):
    """What an update of the endpoint list contains."""

    DELTA = auto()
    """The endpoints that changed."""
    FULL = auto()
    """The whole list."""
    CACHED = auto()
    """The whole list as last known before the process started."""
    FAILED = auto()
    """No endpoints: the request for the list failed."""


@dataclass(slots=True, frozen=True)
class MessageClass:
    """One class of message."""

    name: str
    effect: Effect
    latency_target: float
    """Seconds from acceptance within which the message should be delivered."""
    deadline: float
    """Seconds from acceptance after which the message is given up."""
    worth: float
    """Of a delivery within the latency target."""
    late_worth: float
    """Share of `worth` that is left at the deadline."""
    dedup_scope: DedupScope = DedupScope.DESTINATION
    dedup_window: float = 0.0
    """Seconds for which endpoints remember an idempotency key."""
    ordered: bool = False
    """Messages with the same ordering key are sent one at a time, in order of arrival."""


@dataclass(slots=True, frozen=True)
class DestinationKind:
    """One kind of destination."""

    name: str
    max_batch: int = 1
    """Messages that one call may carry."""
    separate_routes: bool = False
    """Each endpoint has a circuit breaker and a limit of its own, instead of the destination as a whole."""


@dataclass(slots=True, frozen=True)
class Tenant:
    """A tenant and the allowance within which its messages count at full worth, over all senders together."""

    name: str
    rate: float
    """Messages per second."""
    share: float


@dataclass(slots=True, frozen=True)
class Settings:
    """The settings of one sender, given at start and replaced by `SettingsChanged`."""

    classes: tuple[MessageClass, ...]
    kinds: tuple[DestinationKind, ...]
    tenants: tuple[Tenant, ...]
    zones: tuple[str, ...]
    zone: int
    """Index in `zones` of the zone that this sender runs in."""
    cross_zone_price: float
    """Score deduction for attempts sent to another zone, per first attempt.

    Above 0, endpoints in the own zone are preferred.
    """
    senders: int
    """Number of senders in the fleet."""
    ordinal: int
    """Number of this sender in the fleet."""
    max_calls: int
    """Calls in flight at once."""
    max_pending: int
    """Messages pending at once."""
    max_attempts: int
    """Attempts per message."""
    may_cancel: bool
    may_duplicate: bool
    may_probe: bool
    may_gossip: bool
    advises_retry_after: bool
    """Whether a rejection may tell the client when to retry."""
    max_retry_after: float
    connect_timeout: float
    keepalive: float
    """Seconds for which an idle connection stays usable."""
    calls_per_connection: int
    """Calls in flight at once on one connection."""
    discovery_on_request: bool
    """The sender requests the endpoint list itself; otherwise discovery pushes it."""
    list_refresh_interval: float | None
    """Longest pause between two requests for the endpoint list."""
    listed_rates: bool
    """Whether the endpoint list states each destination's rate."""
    rates_are_rough: bool
    """Whether these rates are estimates."""
    report_fields: tuple[str, ...]
    """Names of the load values in an endpoint's report, in the order of `AttemptEnded.report`."""
    decay: Decay
    over_share_worth: float
    """Worth of a tenant's messages beyond its allowance, relative to those within it."""
    answer_slack: float
    """Seconds after its deadline within which a message must have its final answer."""
    drain_grace: float
    """Seconds for which an endpoint may still be called after it began to drain."""
    warmup_start_share: float
    """Share of its capacity that a recovering destination has when it comes back."""
    warmup_seconds: float
    """Time in which this share rises to 1."""
    overload_multiple: float
    """A recovering destination fails again above this multiple of its current capacity."""
    overload_window: float
    """Seconds over which that load is measured."""
    order_pause: float
    """Seconds before the next message of an ordering key, after an attempt that may still be running."""
    clock_resolution: float
    """Seconds between two turns, at least: timers may fire this much late."""


@dataclass(slots=True, frozen=True)
class Endpoint:
    """One entry of the endpoint list."""

    address: Address
    state: EndpointState
    kind: int
    """Index in `Settings.kinds`."""
    destination: int
    zone: int
    """Index in `Settings.zones`."""
    rate: float
    """Calls per second that the destination accepts from all senders together, as listed."""
    added_at: float | None


@dataclass(slots=True, frozen=True)
class EndpointsUpdated:
    """An update of the endpoint list, or the failure to get one."""

    scope: UpdateScope
    version: int
    endpoints: tuple[Endpoint, ...]
    silent_for: float = -math.inf
    """FAILED only: seconds since discovery last sent something on this call; 0 if it was not reached.

    The default means unknown.
    """
    list_age: float = math.inf
    """FAILED only: seconds since any call last confirmed the list as current. The default means unknown."""
    call_ended: bool = False
    """FAILED only: whether the call is over, so that discovery no longer works on it."""
    update_expected: bool = False
    """CACHED only: whether discovery sends its own list unasked, which counts as notified already."""


@dataclass(slots=True, frozen=True)
class MessageReceived:
    """A message was accepted; the sender must give it exactly one final answer.

    `attempts` and the two fields after it describe what the previous process of this sender did with a
    message that it left pending.
    """

    message: int
    message_class: int
    destination: int
    due: float
    """Time of its deadline."""
    tenant: int = 0
    key: int | None = None
    work_hint: float | None = None
    """Expected work of the message, if the client stated it."""
    is_retry: bool = False
    """The client submitted it before."""
    from_dead_sender: bool = False
    """The sender that the client submitted it to before has stopped."""
    is_write: bool = False
    attempts: int = 0
    may_have_run_at: float | None = None
    """Time at which the first attempt that may have run was sent."""
    may_have_run_zone: int | None = None
    """Zone of the endpoint that this attempt was sent to, if still known."""
    size: int = 0
    """Bytes that it takes up in a call with others; 0 if such calls are not bounded."""


@dataclass(slots=True, frozen=True)
class StreamStarted:
    """A streamed response has begun; from now on the attempt is the client's."""

    message: int
    endpoint: Address
    attempt: int
    elapsed: float


@dataclass(slots=True, frozen=True)
class AttemptEnded:
    """The outcome of one attempt. `final` is set if the message is finished."""

    message: int
    endpoint: Address
    attempt: int
    elapsed: float
    final: bool
    outcome: Outcome
    retry_after: float | None = None
    no_free_slot: bool = False
    """The endpoint answered that it had no free slot for the call."""
    report: tuple[float, ...] = ()
    """Load values reported by the endpoint, in the order of `Settings.report_fields`."""


@dataclass(slots=True, frozen=True)
class MessageWithdrawn:
    """The client no longer waits for this message; it needs no final answer."""

    message: int


@dataclass(slots=True, frozen=True)
class TimerFired:
    """A timer set with `SetTimer` has expired."""

    token: int


@dataclass(slots=True, frozen=True)
class ProbeEnded:
    """The outcome of one probe."""

    endpoint: Address
    outcome: Outcome
    elapsed: float
    report: tuple[float, ...] = ()


@dataclass(slots=True, frozen=True)
class PeerMessage:
    """Gossip received from another sender."""

    sender: int
    data: bytes


@dataclass(slots=True, frozen=True)
class SettingsChanged:
    """New settings are in force from this event on.

    Classes, kinds, tenants and zones keep the position that they had under their name. Removed ones stay in
    the list.
    """

    settings: Settings


Event = (
    EndpointsUpdated
    | MessageReceived
    | StreamStarted
    | AttemptEnded
    | MessageWithdrawn
    | TimerFired
    | ProbeEnded
    | PeerMessage
    | SettingsChanged
)


@dataclass(slots=True, frozen=True)
class Send:
    """Send a message to an endpoint; without `give_up_at` the call times out at the message's deadline.

    A call must not be sent unless it is written completely by `write_deadline`: after it the destination may
    no longer recognize a repeat, and the effect might happen twice.
    """

    message: int
    endpoint: Address
    give_up_at: float | None = None
    write_deadline: float = math.inf


@dataclass(slots=True, frozen=True)
class Cancel:
    """Stop waiting for the outcome of one attempt."""

    message: int
    attempt: int


@dataclass(slots=True, frozen=True)
class Refuse:
    """Final answer: not delivered, and safe for the client to submit again."""

    message: int
    retry_after: float | None = None
    reason: GiveUpReason | None = field(default=None, compare=False)


@dataclass(slots=True, frozen=True)
class Fail:
    """Final answer: failed; the message may or may not have taken effect."""

    message: int
    reason: GiveUpReason | None = field(default=None, compare=False)


@dataclass(slots=True, frozen=True)
class SetTimer:
    """Request a `TimerFired` after a delay."""

    delay: float
    token: int


@dataclass(slots=True, frozen=True)
class Subscribe:
    """Start or stop watching discovery for changes of the endpoint list."""

    on: bool


@dataclass(slots=True, frozen=True)
class FetchEndpoints:
    """Request the whole endpoint list once."""


@dataclass(slots=True, frozen=True)
class Probe:
    """Send a health check to an endpoint."""

    endpoint: Address


@dataclass(slots=True, frozen=True)
class CloseIdle:
    """Close the idle connections to an endpoint."""

    endpoint: Address


@dataclass(slots=True, frozen=True)
class TellPeer:
    """Gossip to one peer, or to all of them if `peer` is None."""

    peer: int | None
    data: bytes


@dataclass(slots=True, frozen=True)
class Log:
    """A log line for the operators."""

    text: str


Action = (
    Send | Cancel | Refuse | Fail | SetTimer | Subscribe | FetchEndpoints | Probe | CloseIdle | TellPeer | Log
)
