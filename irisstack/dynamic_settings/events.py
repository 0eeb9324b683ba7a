"""What the follower's decisions are told, and what they ask for."""

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum, auto
from typing import Any

from irisstack.dynamic_settings.etcd import RangeRequest, RangeResponse, WatchRequest, WatchResponse


class FailureKind(Enum):
    """How a call to a member failed."""

    UNREACHABLE = auto()
    """There was no connection within `CONNECT_TIMEOUT_S`."""
    SILENT = auto()
    """The member kept the node waiting for longer than `ANSWER_TIMEOUT_S`, whatever it sent meanwhile."""
    ENDED = auto()
    """The connection ended before the answer was whole, or the watch ended."""
    REFUSED = auto()
    """The member answered with an error."""
    COMPACTED = auto()
    """The revision asked for is no longer in the history."""
    MALFORMED = auto()
    """What came is no HTTP, or not what etcd's interface allows."""
    TOO_LARGE = auto()
    """The answer is longer than the node is willing to hold."""


# ---- events ----


@dataclass(slots=True, frozen=True)
class RangeResponseReceived:
    """The answer to an `SendRangeRequest`; that call is over."""

    call_id: int
    answer: RangeResponse


@dataclass(slots=True, frozen=True)
class WatchResponseReceived:
    """One frame of the watch; the call goes on."""

    call_id: int
    answer: WatchResponse


@dataclass(slots=True, frozen=True)
class FrameProgress:
    """How many bytes of the watch's frame under way have come; 0 between two frames."""

    call_id: int
    received_bytes: int


@dataclass(slots=True, frozen=True)
class CallFailed:
    """A call is over without an answer, or the watch has ended."""

    call_id: int
    kind: FailureKind
    reason: str


@dataclass(slots=True, frozen=True)
class DocumentAccepted:
    """A proposed document was checked and is in force."""

    revision: int


@dataclass(slots=True, frozen=True)
class DocumentRefused:
    """A proposed document did not pass the check; the one in force stays."""

    revision: int
    reason: str


Event = (
    RangeResponseReceived
    | WatchResponseReceived
    | FrameProgress
    | CallFailed
    | DocumentAccepted
    | DocumentRefused
)


# ---- actions ----


@dataclass(slots=True, frozen=True)
class SendRangeRequest:
    """Send a range request; ends with `RangeResponseReceived` or `CallFailed`."""

    call_id: int
    member: str
    request: RangeRequest


@dataclass(slots=True, frozen=True)
class OpenWatch:
    """Open a watch; ends with `CallFailed` alone."""

    call_id: int
    member: str
    request: WatchRequest


@dataclass(slots=True, frozen=True)
class CancelCall:
    """Close the call's connection; nothing more is heard of it."""

    call_id: int


@dataclass(slots=True, frozen=True)
class ProposeDocument:
    """Check a document as a whole and, if it is good, put it in force; proposals keep their order."""

    revision: int
    cluster_id: int
    items: Mapping[str, Any]
    """The values by their path below the prefix."""


@dataclass(slots=True, frozen=True)
class WakeAt:
    """Call `step` at this time at the latest, even without an event. Each step gives exactly one."""

    at: float


class LogLevel(Enum):
    """How much a line of the log matters."""

    INFO = "info"
    WARNING = "warning"
    ERROR = "error"


@dataclass(slots=True, frozen=True)
class Log:
    """A line for the operators."""

    level: LogLevel
    event: str
    fields: Mapping[str, Any] = field(default_factory=dict)


@dataclass(slots=True, frozen=True)
class IncrementCounter:
    """Add to a counter of the node."""

    name: str
    amount: int = 1


Action = SendRangeRequest | OpenWatch | CancelCall | ProposeDocument | WakeAt | Log | IncrementCounter
