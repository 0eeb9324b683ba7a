"""Events that the settings follower processes and actions that it returns."""

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum, auto
from typing import Any

from irisstack.dynamic_settings.etcd import RangeRequest, RangeResponse, WatchRequest, WatchResponse


class FailureKind(Enum):
    """How a call to a member failed."""

    UNREACHABLE = auto()
    """No connection within `CONNECT_TIMEOUT_S`."""
    SILENT = auto()
    """The node waited for the member longer than `ANSWER_TIMEOUT_S` in all, even if parts arrived."""
    ENDED = auto()
    """The connection closed before the response was complete, or the watch ended."""
    REFUSED = auto()
    """The member responded with an error."""
    COMPACTED = auto()
    """The requested revision is no longer in the history."""
    MALFORMED = auto()
    """The response is not HTTP or does not conform to etcd's interface."""
    TOO_LARGE = auto()
    """The response exceeds the node's limit."""


# ---- events ----


@dataclass(slots=True, frozen=True)
class RangeResponseReceived:
    """The response to a `SendRangeRequest`; the call is finished."""

    call_id: int
    answer: RangeResponse


@dataclass(slots=True, frozen=True)
class WatchResponseReceived:
    """One frame of the watch; the call continues."""

    call_id: int
    answer: WatchResponse


@dataclass(slots=True, frozen=True)
class FrameProgress:
    """Bytes received so far of the watch's current frame; 0 between frames."""

    call_id: int
    received_bytes: int


@dataclass(slots=True, frozen=True)
class CallFailed:
    """A call failed without a response, or the watch ended."""

    call_id: int
    kind: FailureKind
    reason: str


@dataclass(slots=True, frozen=True)
class DocumentAccepted:
    """A proposed document passed the check and is in force."""

    revision: int


@dataclass(slots=True, frozen=True)
class DocumentRefused:
    """A proposed document failed the check; the one in force stays."""

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
    """Send a range request; results in `RangeResponseReceived` or `CallFailed`."""

    call_id: int
    member: str
    request: RangeRequest


@dataclass(slots=True, frozen=True)
class OpenWatch:
    """Open a watch; results in `WatchResponseReceived` for each frame and ends only with `CallFailed`."""

    call_id: int
    member: str
    request: WatchRequest


@dataclass(slots=True, frozen=True)
class CancelCall:
    """Close the call's connection; no more events follow for it."""

    call_id: int


@dataclass(slots=True, frozen=True)
class ProposeDocument:
    """Check a document as a whole and put it in force if it passes; proposals are handled in order."""

    revision: int
    cluster_id: int
    items: Mapping[str, Any]
    """Values by path below the prefix."""


@dataclass(slots=True, frozen=True)
class WakeAt:
    """Call `step` at this time at the latest, even without an event. Each step returns exactly one."""

    at: float


class LogLevel(Enum):
    """Level of a log line."""

    INFO = "info"
    WARNING = "warning"
    ERROR = "error"


@dataclass(slots=True, frozen=True)
class Log:
    """Write a line to the log."""

    level: LogLevel
    event: str
    fields: Mapping[str, Any] = field(default_factory=dict)


@dataclass(slots=True, frozen=True)
class IncrementCounter:
    """Add to one of the node's counters."""

    name: str
    amount: int = 1


Action = SendRangeRequest | OpenWatch | CancelCall | ProposeDocument | WakeAt | Log | IncrementCounter
