"""The events of one soak run, and the audit that checks them against the node's guarantees."""

import itertools
import math
from dataclasses import dataclass, field

RESULT_SLACK_S = 0.35
"""Seconds after a message's deadline within which its final result must be known."""
HARNESS_SLACK_S = 1.0
"""Seconds that the harness may add on a busy machine; every step of the wall clock is longer."""
RETRY_AFTER_GRACE_S = 0.25
"""Seconds after a retry-after response in which calls already in flight may still arrive."""
RETRY_AFTER_END_SLACK_S = 0.05
"""Seconds by which the node may read a retry-after before the endpoint records it."""
RESTART_SLACK_S = 1.5
"""Seconds after a restarted node is ready in which no result is overdue."""
DEDUP_WINDOW_S = 3.0
"""Seconds in which the endpoint recognises a repeat of a keyed message."""
MAX_UNREAD_S = 0.2
"""Seconds for which data written to the node may still be unread."""
READ_FAILURE_LAG_S = 0.05
"""Seconds by which a write may be recorded after the failed read that lost it."""
NOTIFICATION_DEADLINE_S = 6.0
"""Seconds after which a node counts as notified of a change in discovery, whether or not it was received."""
OVERLAP_SLACK_S = 0.2
"""Seconds that an endpoint may take to find a connection closed."""
DRAIN_GRACE_S = 0.3
"""Seconds after the notification in which calls to a draining endpoint may still start."""


@dataclass(slots=True)
class SubmittedMessage:
    """A message that a client submitted; times are in monotonic seconds."""

    id: str
    class_name: str
    sent_at: float
    deadline: float
    connected_at: float = 0.0
    """When the connection that it was last sent on was opened."""
    status: int | None = None
    """Status of the answer; `None` if the connection ended without one."""
    answered_at: float = 0.0


@dataclass(slots=True)
class ReceivedCall:
    """A call that an endpoint received completely."""

    id: str
    received_at: float
    ran: bool
    delivered: bool = False
    endpoint: int = 0
    """The number of the endpoint that received it."""
    ended_at: float = math.inf
    """When the endpoint had answered it, or found its connection closed."""


@dataclass(slots=True)
class DrainPeriod:
    """A period in which an endpoint is draining or deleted."""

    endpoint: int
    started_at: float
    """When discovery had the change."""
    ended_at: float = math.inf
    written_at: list[float] = field(default_factory=list)
    """When discovery wrote the change to a watch of the node."""


@dataclass(slots=True)
class SoakRun:
    """The events of one seed's run; times are in monotonic seconds."""

    seed: int
    faults: list[str] = field(default_factory=list)
    peak_memory_bytes: int = 0
    """The largest resident memory of any of the node's processes."""
    submitted: list[SubmittedMessage] = field(default_factory=list)
    calls: list[ReceivedCall] = field(default_factory=list)
    notified_at: dict[str, float] = field(default_factory=dict)
    """When the platform received a message's notice, by id."""
    downtimes: list[tuple[float, float]] = field(default_factory=list)
    """From the signal that ends the node to when the restarted node is ready."""
    retry_after_waits: list[tuple[float, float]] = field(default_factory=list)
    """From when an endpoint had sent a retry-after until when the wait ends."""
    kills: list[tuple[float, float]] = field(default_factory=list)
    """From SIGKILL to when the process was gone."""
    launches: list[float] = field(default_factory=list)
    """When a process was launched in place of one that had ended."""
    drains: list[DrainPeriod] = field(default_factory=list)
    connect_failures: list[tuple[float, float]] = field(default_factory=list)
    """From when to when no connect of the node could succeed."""
    failed_reads: list[float] = field(default_factory=list)
    """When the rig was seen to fail a read of the node."""
    resting_requests: int = 0
    """Requests that were answered on connections that the node was about to end."""
    hold_ups: int = 0
    """How often the node's process was stopped and continued."""
    repetitions_with_calls: int = 0
    """Responses, or parts of them, that an endpoint sent a second time as the next call arrived."""
    violations: list[str] = field(default_factory=list)

    def may_be_lost(self, written_at: float) -> bool:
        """Whether a read failed while data written to the node at this time may have been unread."""
        return any(
            written_at - READ_FAILURE_LAG_S <= failed_at <= written_at + MAX_UNREAD_S
            for failed_at in self.failed_reads
        )


def audit(run: SoakRun) -> None:
    """Check a run and add what it finds to the run's violations."""
    run.violations += _check_retry_after(run)
    run.violations += _check_drains(run)
    for message in run.submitted:
        calls = [call for call in run.calls if call.id == message.id]
        run.violations += _check_final_result(run, message, calls)
        run.violations += _check_duplicates(message, calls)
        run.violations += _check_overlaps(message, calls)
        notified = run.notified_at.get(message.id)
        if notified is not None:
            late = [call for call in calls if call.received_at > notified + HARNESS_SLACK_S / 4]
            run.violations += [
                f"call after notice: {message.id} called {call.received_at - notified:.3f} s later"
                for call in late
            ]


def _check_retry_after(run: SoakRun) -> list[str]:
    """Finds calls that arrived during a retry-after wait; a restart of the node ends a wait.

    An endpoint may have written the retry-after to a process that had just ended.
    """
    violations: list[str] = []
    for started, end in run.retry_after_waits:
        if run.may_be_lost(started):
            continue  # the node may not have received the retry-after
        end = min([end, *(launch for launch in run.launches if launch > started)])
        for call in run.calls:
            if started + RETRY_AFTER_GRACE_S < call.received_at < end - RETRY_AFTER_END_SLACK_S:
                violations.append(
                    f"wait: {call.id} called {end - call.received_at:.3f} s before the end of the wait"
                )
    return violations


def _check_drains(run: SoakRun) -> list[str]:
    """Finds calls to an endpoint after the node counts as notified that it is draining or deleted."""
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
                violations.append(f"drain: {call.id} arrived {late:.3f} s after the grace period")
    return violations


def _check_final_result(run: SoakRun, message: SubmittedMessage, calls: list[ReceivedCall]) -> list[str]:
    """Finds messages without an answer or a final result, and rejected messages that ran all the same."""
    if message.status is None:
        killed = any(
            message.connected_at <= ended and message.answered_at >= kill for kill, ended in run.kills
        )
        return (
            []
            if killed
            else [f"lost: {message.id} ({message.class_name}) got no answer, sent at {message.sent_at:.3f}"]
        )
    if message.status in (429, 503):
        ran = [call for call in calls if call.ran]
        return (
            [f"rejected but run: {message.id} ({message.class_name}), status {message.status}"] if ran else []
        )
    if message.status != 202 or any(call.delivered for call in calls):
        return []
    due_by = message.deadline + RESULT_SLACK_S
    interruptions = [(since, ready + RESTART_SLACK_S) for since, ready in run.downtimes]
    interruptions += [(since, end + RESULT_SLACK_S) for since, end in run.connect_failures]
    for since, until in sorted(interruptions):
        if due_by >= since:
            due_by = max(due_by, until)
    notified = run.notified_at.get(message.id)
    if notified is None or notified > due_by + HARNESS_SLACK_S:
        when = "never" if notified is None else f"{notified - message.deadline:+.3f} s after its deadline"
        return [
            f"lost: {message.id} ({message.class_name}) accepted at {message.sent_at:.3f}, notified {when}"
        ]
    return []


def _check_duplicates(message: SubmittedMessage, calls: list[ReceivedCall]) -> list[str]:
    """Finds unsafe messages that ran twice, and keyed ones that ran again after the dedup window."""
    ran = [call for call in calls if call.ran]
    if message.class_name == "unsafe" and len(ran) > 1:
        return [f"duplicate: {message.id} (unsafe) ran {len(ran)} times"]
    if message.class_name == "keyed" and ran and ran[-1].received_at > ran[0].received_at + DEDUP_WINDOW_S:
        return [
            f"duplicate: {message.id} (keyed) ran {ran[-1].received_at - ran[0].received_at:.3f} s "
            "after its first run"
        ]
    return []


def _check_overlaps(message: SubmittedMessage, calls: list[ReceivedCall]) -> list[str]:
    """Finds attempts that arrived while an earlier one was still out."""
    calls = sorted(calls, key=lambda call: call.received_at)
    return [
        f"overlap: {message.id} ({message.class_name}) called {earlier.ended_at - later.received_at:.3f} s "
        "before the end of the call before"
        for earlier, later in itertools.pairwise(calls)
        if later.received_at < earlier.ended_at - OVERLAP_SLACK_S
    ]
