"""What a play of the soak has brought about, and the audit of the rules."""

import math
from dataclasses import dataclass, field

RESULT_SLACK_S = 0.35
"""Seconds after a message's time within which its end must be known."""
HARNESS_SLACK_S = 1.0
"""What the harness itself may add on a busy machine; every step of the wall clock is longer."""
RETRY_AFTER_GRACE_S = 0.25
"""Seconds after a wait was told in which calls that were under way may still come."""
RETRY_AFTER_END_SLACK_S = 0.05
"""Seconds by which the node may read of a wait before the endpoint has noted it."""
RESTART_SLACK_S = 1.5
"""Seconds after a restarted node is ready in which nothing is overdue."""
DEDUP_WINDOW_S = 3.0
"""In which the endpoint recognises a repeat of a keyed message."""
MAX_UNREAD_S = 0.2
"""Seconds for which what was written may still be unread."""
READ_FAILURE_LAG_S = 0.05
"""Seconds by which a write may be noted after the read that broke."""
NOTIFICATION_DEADLINE_S = 6.0
"""Seconds after which a node counts as told of what discovery has, whether or not it has heard."""
DRAIN_GRACE_S = 0.3
"""Seconds in which calls to a draining endpoint may still begin then."""


@dataclass(slots=True)
class SubmittedMessage:
    """A message that a client handed in."""

    id: str
    class_name: str
    sent_at: float
    deadline: float
    connected_at: float = 0.0
    """When the connection was opened that it was last sent on."""
    status: int | None = None
    """Of the answer; None if the connection ended without one."""
    answered_at: float = 0.0


@dataclass(slots=True)
class ReceivedCall:
    """A call that the endpoint received in whole."""

    id: str
    received_at: float
    ran: bool
    delivered: bool = False
    endpoint: int = 0
    """The number of the endpoint that received it."""


@dataclass(slots=True)
class DrainPeriod:
    """A time in which an endpoint drains, or is gone."""

    endpoint: int
    started_at: float
    """When discovery had it."""
    ended_at: float = math.inf
    written_at: list[float] = field(default_factory=list)
    """When discovery wrote it to a watch that the node held."""


@dataclass(slots=True)
class SoakRun:
    """What one seed has brought about."""

    seed: int
    faults: list[str] = field(default_factory=list)
    submitted: list[SubmittedMessage] = field(default_factory=list)
    calls: list[ReceivedCall] = field(default_factory=list)
    notified_at: dict[str, float] = field(default_factory=dict)
    downtimes: list[tuple[float, float]] = field(default_factory=list)
    """From a signal that ends the node to when it is ready again."""
    retry_after_waits: list[tuple[float, float]] = field(default_factory=list)
    """From when the endpoint had told to wait, and until when."""
    kills: list[tuple[float, float]] = field(default_factory=list)
    """From SIGKILL to when the process was gone."""
    drains: list[DrainPeriod] = field(default_factory=list)
    failed_reads: list[float] = field(default_factory=list)
    """When a read of the node's was seen to break."""
    violations: list[str] = field(default_factory=list)

    def may_be_lost(self, written_at: float) -> bool:
        """Whether a read broke while what was written to the node then may have been on its way."""
        return any(
            written_at - READ_FAILURE_LAG_S <= failed_at <= written_at + MAX_UNREAD_S
            for failed_at in self.failed_reads
        )


def audit(run: SoakRun) -> None:
    """Add to a play what broke in it."""
    run.violations += _check_retry_after(run)
    run.violations += _check_drains(run)
    for message in run.submitted:
        calls = [call for call in run.calls if call.id == message.id]
        run.violations += _check_final_result(run, message, calls)
        run.violations += _check_duplicates(message, calls)
        notified = run.notified_at.get(message.id)
        if notified is not None:
            late = [call for call in calls if call.received_at > notified + HARNESS_SLACK_S / 4]
            run.violations += [
                f"after the end: {message.id} called {call.received_at - notified:.3f} s later"
                for call in late
            ]


def _check_retry_after(run: SoakRun) -> list[str]:
    """Calls that came although the endpoint had told to wait; a restart ends a wait."""
    violations: list[str] = []
    for started, end in run.retry_after_waits:
        if run.may_be_lost(started):
            continue  # what the node cannot have heard does not bind it
        end = min([end, *(kill for kill, _ in run.kills if kill > started)])
        for call in run.calls:
            if started + RETRY_AFTER_GRACE_S < call.received_at < end - RETRY_AFTER_END_SLACK_S:
                violations.append(f"wait: {call.id} called {end - call.received_at:.3f} s before its end")
    return violations


def _check_drains(run: SoakRun) -> list[str]:
    """Calls that came to an endpoint although the node counts as notified that it drains or is gone."""
    violations: list[str] = []
    for drain in run.drains:
        for call in run.calls:
            if call.endpoint != drain.endpoint or not drain.started_at < call.received_at < drain.ended_at:
                continue
            process_start = max(
                (ready for _, ready in run.downtimes if ready <= call.received_at), default=-math.inf
            )
            notified = max(drain.started_at, process_start) + NOTIFICATION_DEADLINE_S
            written = [at for at in drain.written_at if at >= process_start and not run.may_be_lost(at)]
            notified = min([notified, *written])
            late = call.received_at - notified - DRAIN_GRACE_S
            if late > HARNESS_SLACK_S / 2:
                violations.append(f"drain: {call.id} came {late:.3f} s after the grace")
    return violations


def _check_final_result(run: SoakRun, message: SubmittedMessage, calls: list[ReceivedCall]) -> list[str]:
    if message.status is None:
        killed = any(
            message.connected_at <= ended and message.answered_at >= kill for kill, ended in run.kills
        )
        return (
            []
            if killed
            else [f"lost: {message.id} ({message.class_name}) got no answer, sent {message.sent_at:.3f}"]
        )
    if message.status in (429, 503):
        ran = [call for call in calls if call.ran]
        return [f"refused and run: {message.id} ({message.class_name}), {message.status}"] if ran else []
    if message.status != 202 or any(call.delivered for call in calls):
        return []
    due_by = message.deadline + RESULT_SLACK_S
    for down_since, ready in run.downtimes:
        if due_by >= down_since:
            due_by = max(due_by, ready + RESTART_SLACK_S)
    notified = run.notified_at.get(message.id)
    if notified is None or notified > due_by + HARNESS_SLACK_S:
        when = "never" if notified is None else f"{notified - message.deadline:+.3f} s after its time"
        return [f"lost: {message.id} ({message.class_name}) taken on at {message.sent_at:.3f}, told {when}"]
    return []


def _check_duplicates(message: SubmittedMessage, calls: list[ReceivedCall]) -> list[str]:
    ran = [call for call in calls if call.ran]
    if message.class_name == "unsafe" and len(ran) > 1:
        return [f"duplicate: {message.id} (unsafe) ran {len(ran)} times"]
    if message.class_name == "keyed" and ran and ran[-1].received_at > ran[0].received_at + DEDUP_WINDOW_S:
        return [
            f"duplicate: {message.id} (keyed) ran {ran[-1].received_at - ran[0].received_at:.3f} s "
            "after its first run"
        ]
    return []
