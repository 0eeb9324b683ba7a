"""The decision module's interface: settings, events and actions. Nothing here decides anything.

Times are seconds on one clock that never goes back. `None` stands for "not told" or "not present".
"""

import math
from dataclasses import dataclass
from enum import Enum, IntEnum, auto

Address = tuple[bytes, int]
"""An endpoint's address and port; opaque to the decisions."""


class Effect(Enum):
    """What a second delivery of the same message does."""

    SAFE = auto()
    KEYED = auto()
    UNSAFE = auto()


class DedupScope(Enum):
    """Which endpoints of a destination drop repeats of a keyed message."""

    DESTINATION = auto()
    ZONE = auto()


class Decay(Enum):
    """How worth falls once the aim has passed."""

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


class EndpointState(Enum):
    """What discovery says of an endpoint; it says nothing of its health."""

    READY = auto()
    DRAINING = auto()
    GONE = auto()


class UpdateScope(Enum):
    """What a discovery update holds."""

    DELTA = auto()
    FULL = auto()
    CACHED = auto()
    FAILED = auto()


@dataclass(slots=True, frozen=True)
class MessageClass:
    """One class of message."""

    name: str
    effect: Effect
    latency_target: float
    deadline: float
    worth: float
    late_worth: float
    dedup_scope: DedupScope = DedupScope.DESTINATION
    dedup_window: float = 0.0
    ordered: bool = False


@dataclass(slots=True, frozen=True)
class DestinationKind:
    """One kind of destination."""

    name: str
    max_batch: int = 1
    separate_routes: bool = False


@dataclass(slots=True, frozen=True)
class Tenant:
    """A tenant and what counts in full for it, over all senders together."""

    name: str
    rate: float
    share: float


@dataclass(slots=True, frozen=True)
class Settings:
    """What a sender is told at start, and with `SettingsChanged`."""

    classes: tuple[MessageClass, ...]
    kinds: tuple[DestinationKind, ...]
    tenants: tuple[Tenant, ...]
    zones: tuple[str, ...]
    zone: int
    """In which of them this sender stands."""
    cross_zone_price: float
    """Points off the result for attempts that go to another zone, by first try."""
    senders: int
    ordinal: int
    max_calls: int
    max_pending: int
    max_attempts: int
    may_cancel: bool
    may_duplicate: bool
    may_probe: bool
    may_gossip: bool
    advises_retry_after: bool
    max_retry_after: float
    connect_timeout: float
    keepalive: float
    calls_per_connection: int
    discovery_on_request: bool
    list_refresh_interval: float | None
    listed_rates: bool
    rates_are_rough: bool
    report_fields: tuple[str, ...]
    decay: Decay
    over_share_worth: float
    answer_slack: float
    drain_grace: float
    warmup_start_share: float
    warmup_seconds: float
    overload_multiple: float
    overload_window: float
    order_pause: float
    clock_resolution: float


@dataclass(slots=True, frozen=True)
class Endpoint:
    """One line of the endpoint list."""

    address: Address
    state: EndpointState
    kind: int
    destination: int
    zone: int
    rate: float
    added_at: float | None


@dataclass(slots=True, frozen=True)
class EndpointsUpdated:
    """News of the endpoint list."""

    scope: UpdateScope
    version: int
    endpoints: tuple[Endpoint, ...]
    silent_for: float = -math.inf
    """Of one that failed: seconds since the service, which took the call, was heard; 0 if not reached.

    What it is where nobody can tell stands for that.
    """
    list_age: float = math.inf
    """Of one that failed: seconds since the list was last known to be the newest, by any call; as above."""


@dataclass(slots=True, frozen=True)
class MessageReceived:
    """A message was handed in; the sender now owes it exactly one final answer.

    The last two tell what an earlier life of this sender did with one that outlived it.
    """

    message: int
    message_class: int
    destination: int
    due: float
    tenant: int = 0
    key: int | None = None
    work_hint: float | None = None
    is_retry: bool = False
    from_dead_sender: bool = False
    is_write: bool = False
    attempts: int = 0
    may_have_run_at: float | None = None
    """When the first attempt that may have run was sent."""
    may_have_run_zone: int | None = None
    """The zone of the endpoint that it was sent to, where that is still known."""


@dataclass(slots=True, frozen=True)
class StreamStarted:
    """A streamed answer has begun; the attempt now belongs to the client."""

    message: int
    endpoint: Address
    attempt: int
    elapsed: float


@dataclass(slots=True, frozen=True)
class AttemptEnded:
    """The outcome of one attempt. `final` is set if the message is over."""

    message: int
    endpoint: Address
    attempt: int
    elapsed: float
    final: bool
    outcome: Outcome
    retry_after: float | None = None
    no_free_slot: bool = False
    report: tuple[float, ...] = ()


@dataclass(slots=True, frozen=True)
class MessageWithdrawn:
    """Nobody waits for this message any more; no answer is owed."""

    message: int


@dataclass(slots=True, frozen=True)
class TimerFired:
    """A timer that the sender set has come due."""

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
    """Another sender has sent bytes."""

    sender: int
    data: bytes


@dataclass(slots=True, frozen=True)
class SettingsChanged:
    """Other settings are in force from here on.

    Classes, kinds, tenants and zones keep the positions that they had under their names, those that went
    included.
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
    """Call an endpoint with a message; `give_up_at` of None means the message's deadline.

    A call that cannot have left in whole by `write_deadline` must not leave: its effect might come twice.
    """

    message: int
    endpoint: Address
    give_up_at: float | None = None
    write_deadline: float = math.inf


@dataclass(slots=True, frozen=True)
class Cancel:
    """Stop waiting for one attempt."""

    message: int
    attempt: int


@dataclass(slots=True, frozen=True)
class Refuse:
    """Final answer: not delivered, and handing it in again is harmless."""

    message: int
    retry_after: float | None = None


@dataclass(slots=True, frozen=True)
class Fail:
    """Final answer: failed, with nothing said of its effect."""

    message: int


@dataclass(slots=True, frozen=True)
class SetTimer:
    """Ask for a `TimerFired` after a delay."""

    delay: float
    token: int


@dataclass(slots=True, frozen=True)
class Subscribe:
    """Ask discovery for changes from now on, or stop asking."""

    on: bool


@dataclass(slots=True, frozen=True)
class FetchEndpoints:
    """Ask discovery once for the whole list."""


@dataclass(slots=True, frozen=True)
class Probe:
    """Check an endpoint."""

    endpoint: Address


@dataclass(slots=True, frozen=True)
class CloseIdle:
    """Close the idle connections to an endpoint."""

    endpoint: Address


@dataclass(slots=True, frozen=True)
class TellPeer:
    """Send bytes to one peer, or to all of them."""

    peer: int | None
    data: bytes


@dataclass(slots=True, frozen=True)
class Log:
    """A line for the operators."""

    text: str


Action = (
    Send | Cancel | Refuse | Fail | SetTimer | Subscribe | FetchEndpoints | Probe | CloseIdle | TellPeer | Log
)
