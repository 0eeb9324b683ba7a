"""State machine that follows the settings in etcd: which member to call and which revisions to propose.

`SettingsFollower.step(now, events)` takes events and returns actions; it does no I/O and reads no clock. It
runs one main call at a time and, beside a watch, a small periodic call, the freshness check:

    WAITING   no main call; the next one starts at a random time
    FETCHING  reading a snapshot in pages, all at the revision of the first page
    OPENING   opening a watch from the revision after the last one received; not confirmed yet
    WATCHING  the watch is confirmed and delivers each change

A watch that breaks is reopened at another member, from where it stopped. A snapshot is needed again only
after a compaction, or if the history to catch up on is longer than a document may be.

Freshness check: the gateway's watch has no heartbeat, so a silent watch may be idle or dead. The check is a
linearizable read of the newest change and the number of keys, sent in turn to the watch's member and to
another one. It shows that the node is up to date, that the watch lags, or that the member does not work. A
failed check does not end the watch; the watch moves only once another member has given a good response. If no
member gives one, as in the minority part of a partitioned cluster, the watch stays and the checks are the
only new connections, so that a cluster that heals is not hit by a wave of reconnects.

Longest time until a small change is in force, if one member dies silently just before it:

    CHECK_INTERVAL_MAX_S  4.0   the next check starts
    CONNECT_TIMEOUT_S     1.5   it goes to the dead member: no connection,
    ANSWER_TIMEOUT_S      2.0     or a connection without a response
    CHECK_RETRY_BASE_S    0.5   the next check, at another member, succeeds and the watch moves there
                          8.0   in force, 10 s before the limit of 18 s. If that member is dead too, 3.5 s of
                                time-outs and at most 1 s until the next check make it 12.5

If the dead member's connections were closed, the change is in force after RETRY_BASE_S, 1.5. If the member
lets the watch lag but answers checks: 4.0 + LAG_GRACE_S, 2.0. If the whole cluster was down and comes back
with one dead member: RETRY_CAP_S + 3.5 + RETRY_CAP_S = 13.5.

Reading a document of the largest size takes 16.6 s at the rate that a budget of 11,000 bytes a second earns,
whether it has few items or many (`limits.py`). The check notices a missed compaction in the remaining time.
"""

import math
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass
from enum import Enum, auto
from itertools import groupby
from random import Random
from typing import Any

from irisstack.dynamic_settings.budget import ByteBudget
from irisstack.dynamic_settings.etcd import (
    ErrorKind,
    GatewayError,
    RangeRequest,
    RangeResponse,
    ResponseHeader,
    WatchEvent,
    WatchRequest,
    WatchResponse,
    prefix_range_end,
)
from irisstack.dynamic_settings.events import (
    Action,
    CallFailed,
    CancelCall,
    DocumentAccepted,
    DocumentRefused,
    Event,
    FailureKind,
    FrameProgress,
    IncrementCounter,
    Log,
    LogLevel,
    OpenWatch,
    ProposeDocument,
    RangeResponseReceived,
    SendRangeRequest,
    WakeAt,
    WatchResponseReceived,
)
from irisstack.dynamic_settings.items import DocumentTooLargeError, StreamItems
from irisstack.dynamic_settings.members import CONTRADICTION_SUSPICION_S, FAILURE_SUSPICION_S, Members
from irisstack.dynamic_settings.pages import SnapshotPages
from irisstack.dynamic_settings.staleness import StalenessMonitor

CONNECT_TIMEOUT_S = 1.5
"""Seconds to wait for a connection."""
ANSWER_TIMEOUT_S = 2.0
"""Seconds that a member may keep the node waiting for one response, without the node's own pauses."""
RETRY_BASE_S = 1.5
"""Seconds; the first retry comes after a random delay up to this. The range doubles with each failure."""
RETRY_CAP_S = 5.0
"""Seconds; upper bound of the retry range."""
CHECK_INTERVAL_MIN_S = 3.0
CHECK_INTERVAL_MAX_S = 4.0
"""Seconds; the delay from the end of a freshness check to the next one is random between these bounds."""
FIRST_CHECK_DELAY_MAX_S = 0.5
"""Seconds; the first check of a newly confirmed watch comes after a random delay up to this."""
CHECK_RETRY_BASE_S = 0.5
"""Seconds; as `RETRY_BASE_S`, for a freshness check."""
LAG_GRACE_S = 2.0
"""Seconds that the watch has to deliver a change that a check has seen."""
MIN_FRAME_RATE_SHARE = 0.5
"""Share of the budget's rate at which a long frame has to arrive; other calls may use the rest."""
OVERSIZED_RETRY_S = 15.0
"""Seconds until the next read of a document that more than one member has shown to be too large to hold."""
MAX_RESPONSE_BYTES = 512 * 1024
"""Longest response to a range request."""
MAX_FRAME_BYTES = 256 * 1024
"""Longest frame of a watch; for a longer history a snapshot is shorter."""
MAX_PROPOSALS = 16
"""Most revisions of one frame that are proposed, the last ones; earlier ones have been superseded."""


@dataclass(slots=True, frozen=True)
class ResumeState:
    """The document last in force, saved by the previous process or before a restart of the follower."""

    cluster_id: int
    revision: int
    items: Mapping[str, Any]


class FollowerState(Enum):
    """State of the main call, as described at the head of the module."""

    WAITING = auto()
    FETCHING = auto()
    OPENING = auto()
    WATCHING = auto()


@dataclass(slots=True, frozen=True)
class Call:
    """A call in progress."""

    call_id: int
    member: str
    started_at: float
    known_revision: int
    """The last revision received when the call was made."""


@dataclass(slots=True)
class FreshnessCheck:
    """State of the freshness check that runs beside the watch."""

    call: Call | None = None
    due_at: float = math.inf
    failures: int = 0
    """Consecutive failures."""
    use_other_member: bool = False
    """Whether the next check goes to a member other than the watch's."""
    watch_suspect: bool = False
    """Whether a check at the watch's member has failed and no check has succeeded since."""


@dataclass(slots=True)
class Lag:
    """A check has seen a change that the watch has not delivered."""

    since: float
    reported_by: str
    revision: int
    """Revision of the change seen; 0 if only the number of keys differed."""


class ContradictionError(Exception):
    """A response that contradicts what the node knows of the cluster; the text is the log event's name."""


class SettingsFollower:
    """The state machine that follows the settings for one node."""

    def __init__(
        self,
        members: Sequence[str],
        prefix: bytes,
        budget: ByteBudget,
        seed: int,
        resume_state: ResumeState | None,
        now: float,
    ) -> None:
        self._random = Random(seed)
        self._members = Members(members, self._random)
        self._prefix = prefix
        self._range_end = prefix_range_end(prefix)
        self._budget = budget
        self._resume_state = resume_state  # None once it has been proposed
        self._awaiting_resume_result = resume_state is not None  # until the document is accepted or refused
        self._now = now
        self._actions: list[Action] = []

        self._cluster_id = resume_state.cluster_id if resume_state is not None else None
        self._revision = resume_state.revision if resume_state is not None else 0  # last received
        self._confirmed_revision = self._revision  # a check has shown that no change up to here is missing
        self._min_snapshot_revision = 0  # a snapshot after a compaction must be at least this new
        self._accepted_revision = 0
        self._items: StreamItems | None = None  # content at `_revision`
        self._snapshot: SnapshotPages | None = None
        self._no_progress_since_snapshot = False  # no change or good check since the last snapshot

        self._state = FollowerState.WAITING
        self._main_call: Call | None = None
        self._last_call_id = 0
        self._retry_at = now
        self._failures = 0  # consecutive failures of the main call
        self._oversized_member: str | None = None  # last member that sent a page over the limit
        self._freshness_check = FreshnessCheck()
        self._lag: Lag | None = None
        self._partial_frame_bytes = 0  # received so far of the watch's current frame
        self._staleness = StalenessMonitor(now)
        self._last_refusal = (0, "")  # revision and reason; reset when a document is accepted
        # (member, problem) pairs that have been logged; a member's are cleared when it works again.
        self._logged_problems: set[tuple[str, str]] = set()

    def step(self, now: float, events: Iterable[Event]) -> list[Action]:
        """Process the events in order, then the timers that are due; returns the actions in order."""
        self._now = now
        self._actions = []
        self._propose_resumed_document()
        for event in events:
            self._handle_event(event)
        self._handle_timers()
        self._actions.append(WakeAt(self._next_wake_time()))
        return self._actions

    @property
    def state(self) -> FollowerState:
        """The state of the main call."""
        return self._state

    @property
    def revision(self) -> int:
        """The last revision received, whether accepted or refused."""
        return self._revision

    def _handle_event(self, event: Event) -> None:
        match event:
            case RangeResponseReceived(call_id, response):
                if (call := self._freshness_check.call) is not None and call.call_id == call_id:
                    self._on_check_response(call, response)
                elif (call := self._main_call) is not None and call.call_id == call_id:
                    self._on_page(call, response)
            case WatchResponseReceived(call_id, response):
                if (call := self._main_call) is not None and call.call_id == call_id:
                    self._on_watch_response(call, response)
            case FrameProgress(call_id, received_bytes):
                if (call := self._main_call) is not None and call.call_id == call_id:
                    self._partial_frame_bytes = received_bytes
            case CallFailed(call_id, kind, reason):
                if (call := self._freshness_check.call) is not None and call.call_id == call_id:
                    self._on_check_failed(call, kind.name.lower(), reason)
                elif (call := self._main_call) is not None and call.call_id == call_id:
                    self._main_call = None
                    self._on_main_call_failed(call, kind, reason)
            case DocumentAccepted(revision):
                self._on_accepted(revision)
            case DocumentRefused(revision, reason):
                self._on_refused(revision, reason)
                if self._awaiting_resume_result:
                    self._discard_resumed_document()

    # ---- timers ----

    def _handle_timers(self) -> None:
        """Start the calls that are due and handle the time-outs that have passed."""
        self._actions += self._staleness.check(self._now, self._revision)
        if self._lag is not None and self._now >= self._lag_deadline(self._lag):
            self._on_lag_expired(self._lag)
        if self._now >= self._main_call_due_at():
            self._start_main_call()
        if self._freshness_check.call is None and self._now >= self._freshness_check.due_at:
            self._start_check()

    def _next_wake_time(self) -> float:
        times = [self._main_call_due_at()]
        if self._freshness_check.call is None:
            times.append(self._freshness_check.due_at)
        if self._lag is not None:
            times.append(self._lag_deadline(self._lag))
        if (stale_at := self._staleness.stale_at) is not None:
            times.append(stale_at)
        return min(times)

    def _main_call_due_at(self) -> float:
        """When the next main call starts: at its scheduled time, or once the byte budget allows."""
        if self._main_call is not None or self._awaiting_resume_result:
            return math.inf
        return max(self._retry_at, self._now + self._budget.delay(self._now))

    def _lag_deadline(self, lag: Lag) -> float:
        """When the lag expires; a partly received frame gets the extra time that the byte budget costs it."""
        return (
            lag.since + LAG_GRACE_S + self._partial_frame_bytes / (self._budget.rate * MIN_FRAME_RATE_SHARE)
        )

    def _jittered_retry_time(self, base: float, failures: int) -> float:
        """A random time within a range from now that doubles with each failure."""
        return self._now + self._random.uniform(0.0, min(RETRY_CAP_S, base * 2.0 ** min(failures, 16)))

    # ---- the main call ----

    def _new_call(self, member: str) -> Call:
        self._last_call_id += 1
        return Call(self._last_call_id, member, self._now, self._revision)

    def _start_main_call(self) -> None:
        """Request the next page of the snapshot or, if the items are known, open the watch."""
        call = self._main_call = self._new_call(self._members.pick(self._now))
        if self._items is not None:
            self._state = FollowerState.OPENING
            request = WatchRequest(self._prefix, self._range_end, self._watch_start_revision())
            self._actions.append(OpenWatch(call.call_id, call.member, request))
            return
        self._state = FollowerState.FETCHING
        if self._snapshot is None:
            self._snapshot = SnapshotPages(self._prefix)
        if not self._snapshot.revision:
            self._snapshot.requested_at = self._now
        self._actions.append(SendRangeRequest(call.call_id, call.member, self._snapshot.next_request()))

    def _watch_start_revision(self) -> int:
        return max(self._revision, self._confirmed_revision) + 1

    def _cancel_calls(self) -> None:
        """Cancel the main call and the freshness check, if in progress."""
        if self._main_call is not None:
            self._actions.append(CancelCall(self._main_call.call_id))
            self._main_call = None
        if self._freshness_check.call is not None:
            self._actions.append(CancelCall(self._freshness_check.call.call_id))
        self._freshness_check = FreshnessCheck()
        self._lag = None
        self._partial_frame_bytes = 0
        self._state = FollowerState.WAITING

    def _schedule_main_call(self, pause: float = 0.0) -> None:
        """Cancel the calls in progress and start the next main call after a pause in seconds."""
        self._cancel_calls()
        self._retry_at = self._now + pause

    def _back_off(self) -> None:
        """Cancel the calls in progress and retry after a pause that grows with consecutive failures."""
        self._cancel_calls()
        self._retry_at = self._jittered_retry_time(RETRY_BASE_S, self._failures)
        self._failures += 1

    def _try_other_member(
        self, member: str, problem: str, reason: str, suspect_for: float = FAILURE_SUSPICION_S
    ) -> None:
        """Mark the member as suspect and retry, at another member if one is left."""
        self._log_member_problem(member, problem, reason)
        self._members.record_failure(member, self._now, suspect_for)
        self._back_off()

    def _on_main_call_failed(self, call: Call, kind: FailureKind, reason: str) -> None:
        is_watch = self._items is not None
        if kind is FailureKind.COMPACTED:
            self._on_compacted(call, 0)
        elif kind is FailureKind.TOO_LARGE and is_watch:
            self._log(LogLevel.INFO, "settings_history_too_long", member=call.member)
            self._refetch_snapshot(call)
        elif kind is FailureKind.TOO_LARGE:
            self._on_page_too_large(call, reason)
        else:
            self._try_other_member(call.member, kind.name.lower(), reason)

    # ---- the snapshot ----

    def _on_page(self, call: Call, response: RangeResponse) -> None:
        self._main_call = None
        snapshot = self._snapshot
        if snapshot is None:
            return
        try:
            self._validate_header(
                response.header, max(call.known_revision, self._min_snapshot_revision, snapshot.revision)
            )
            complete = snapshot.add_page(response)
        except ContradictionError as error:
            self._try_other_member(
                call.member, str(error), self._describe_mismatch(response.header), CONTRADICTION_SUSPICION_S
            )
        except GatewayError as error:
            self._snapshot = None
            self._try_other_member(call.member, "malformed", str(error), CONTRADICTION_SUSPICION_S)
        except DocumentTooLargeError as error:
            self._on_document_too_large(call, snapshot.revision, str(error))
        else:
            self._members.record_success(call.member)
            if complete:
                self._on_snapshot_complete(snapshot)

    def _on_snapshot_complete(self, snapshot: SnapshotPages) -> None:
        """Propose the complete snapshot and watch for changes from its revision on."""
        self._snapshot = None
        self._no_progress_since_snapshot = True
        self._cluster_id = snapshot.cluster_id
        self._items = snapshot.items
        self._revision = self._confirmed_revision = snapshot.revision
        self._min_snapshot_revision = 0
        self._actions += self._staleness.confirm(self._now, snapshot.requested_at, self._revision)
        self._propose(snapshot.revision)
        self._schedule_main_call()

    def _on_compacted(self, call: Call, compact_revision: int) -> None:
        """The revision of the watch or of the snapshot is no longer in the history: read a new snapshot."""
        self._log(LogLevel.INFO, "settings_compacted", member=call.member, compact_revision=compact_revision)
        self._min_snapshot_revision = max(self._min_snapshot_revision, compact_revision)
        self._refetch_snapshot(call)

    def _refetch_snapshot(self, call: Call) -> None:
        """Read a new snapshot at the same member at once.

        If a snapshot was being read, or nothing has confirmed the last one, try another member after a pause.
        """
        self._items = None
        self._snapshot = None
        if self._no_progress_since_snapshot or self._state is FollowerState.FETCHING:
            self._members.record_failure(call.member, self._now)
            self._back_off()
        else:
            self._schedule_main_call()

    def _on_document_too_large(self, call: Call, revision: int, reason: str) -> None:
        """Drop a document that is too large to hold; read it again at another member, then less often."""
        self._items = None
        self._snapshot = None
        self._members.record_failure(call.member, self._now)
        if reason == self._last_refusal[1]:
            self._schedule_main_call(OVERSIZED_RETRY_S)
        else:
            self._on_refused(revision, reason)
            self._back_off()

    def _on_page_too_large(self, call: Call, reason: str) -> None:
        """Try another member; once two members have sent a page over the limit, refuse the document."""
        if self._oversized_member not in (None, call.member) and reason != self._last_refusal[1]:
            self._on_refused(self._revision, reason)
        self._oversized_member = call.member
        self._try_other_member(call.member, "too_large", reason)

    # ---- the watch ----

    def _on_watch_response(self, call: Call, response: WatchResponse) -> None:
        try:
            self._validate_header(response.header, 0)
            if response.canceled:
                self._on_watch_canceled(call, response)
                return
            if self._state is FollowerState.OPENING:
                self._on_watch_opened(call)
            if response.events:
                self._on_changes(call, response)
        except ContradictionError as error:
            self._try_other_member(
                call.member, str(error), self._describe_mismatch(response.header), CONTRADICTION_SUSPICION_S
            )
        except GatewayError as error:
            self._try_other_member(call.member, "malformed", str(error), CONTRADICTION_SUSPICION_S)

    def _on_watch_opened(self, call: Call) -> None:
        self._state = FollowerState.WATCHING
        self._members.record_success(call.member)
        self._members.prefer(call.member)
        self._freshness_check = FreshnessCheck(
            due_at=self._now + self._random.uniform(0.0, FIRST_CHECK_DELAY_MAX_S)
        )

    def _on_watch_canceled(self, call: Call, response: WatchResponse) -> None:
        if response.compact_revision > self._watch_start_revision():
            self._on_compacted(call, response.compact_revision)
        else:
            self._try_other_member(call.member, "canceled", response.cancel_reason)

    def _on_changes(self, call: Call, response: WatchResponse) -> None:
        """Apply the changes, each revision as a whole, and propose the latest revisions."""
        revisions = [
            (revision, list(events))
            for revision, events in groupby(response.events, key=lambda event: event.item.mod_revision)
        ]
        self._validate_changes(response, [revision for revision, _ in revisions])
        self._failures = 0
        self._no_progress_since_snapshot = False
        skipped = max(0, len(revisions) - MAX_PROPOSALS)
        if skipped:
            self._log(LogLevel.INFO, "settings_superseded", count=skipped, before=revisions[skipped][0])
        for index, (revision, events) in enumerate(revisions):
            if not self._apply_revision(call, revision, events, propose=index >= skipped):
                return
        self._on_watch_progress()

    def _on_watch_progress(self) -> None:
        """After changes from the watch: clear the lag if it has caught up, else restart the grace period."""
        if self._lag is None:
            return
        if self._revision >= self._lag.revision:
            self._lag = None
        else:
            self._lag.since = self._now

    def _validate_changes(self, response: WatchResponse, revisions: list[int]) -> None:
        """Raise an error for changes that cannot occur in the watch."""
        last = self._revision
        for revision in revisions:
            if revision <= last:
                raise ContradictionError("settings_older_revision")
            last = revision
        if last > response.header.revision:
            raise GatewayError(ErrorKind.MALFORMED, "change of a later revision than the frame's")
        if not all(event.item.key.startswith(self._prefix) for event in response.events):
            raise GatewayError(ErrorKind.MALFORMED, "change of a key outside the watched range")

    def _apply_revision(self, call: Call, revision: int, events: list[WatchEvent], propose: bool) -> bool:
        """Apply the changes of one revision; returns whether the watch continues."""
        items = self._items
        if items is None:
            return False
        self._revision = revision
        self._confirmed_revision = max(self._confirmed_revision, revision)
        try:
            items.apply(events)
        except DocumentTooLargeError as error:
            self._on_document_too_large(call, revision, str(error))
            return False
        if propose:
            self._propose(revision)
        return True

    # ---- the freshness check ----

    def _start_check(self) -> None:
        if self._main_call is None or self._state is not FollowerState.WATCHING:
            return
        check = self._freshness_check
        if check.failures:
            member = self._members.pick_any(self._random, self._now)
        elif check.use_other_member:
            member = self._members.pick_other(self._main_call.member, self._random, self._now)
        else:
            member = self._main_call.member
        check.use_other_member = member == self._main_call.member
        check.call = self._new_call(member)
        request = RangeRequest(self._prefix, self._range_end, limit=1, newest_first=True, keys_only=True)
        self._actions.append(SendRangeRequest(check.call.call_id, member, request))

    def _on_check_response(self, call: Call, response: RangeResponse) -> None:
        try:
            self._validate_header(response.header, call.known_revision)
            if response.items and response.items[0].mod_revision > response.header.revision:
                raise GatewayError(ErrorKind.MALFORMED, "change of a later revision than the response's")
        except ContradictionError as error:
            self._on_check_failed(
                call, str(error), self._describe_mismatch(response.header), CONTRADICTION_SUSPICION_S
            )
            return
        except GatewayError as error:
            self._on_check_failed(call, "malformed", str(error), CONTRADICTION_SUSPICION_S)
            return
        self._freshness_check.call = None
        self._freshness_check.failures = 0
        self._freshness_check.due_at = self._now + self._random.uniform(
            CHECK_INTERVAL_MIN_S, CHECK_INTERVAL_MAX_S
        )
        self._members.record_success(call.member)
        self._clear_logged_problems(call.member)
        lag = self._detect_lag(call, response)
        if lag is None:
            self._on_confirmed(call, response)
        elif self._lag is None:
            self._lag = lag
        self._resolve_watch_suspicion(call)

    def _detect_lag(self, call: Call, response: RangeResponse) -> Lag | None:
        """The lag, if the response shows a change that the watch has not delivered."""
        newest = response.items[0].mod_revision if response.items else 0
        if newest > self._revision:
            return Lag(self._now, call.member, newest)
        key_count = len(self._items) if self._items is not None else 0
        if response.header.revision >= self._revision and response.count != key_count:
            return Lag(self._now, call.member, 0)
        return None

    def _on_confirmed(self, call: Call, response: RangeResponse) -> None:
        """The node was up to date when the check was made."""
        self._lag = None
        self._failures = 0
        self._no_progress_since_snapshot = False
        self._confirmed_revision = max(self._confirmed_revision, response.header.revision)
        self._actions += self._staleness.confirm(self._now, call.started_at, self._revision)

    def _resolve_watch_suspicion(self, call: Call) -> None:
        """After a good check: if the watch's own member had failed one, move the watch to this member."""
        if not self._freshness_check.watch_suspect or self._main_call is None:
            return
        self._freshness_check.watch_suspect = False
        if call.member != self._main_call.member:
            self._log(LogLevel.INFO, "settings_watch_moved", member=self._main_call.member, to=call.member)
            self._move_watch(call.member)

    def _on_check_failed(
        self, call: Call, problem: str, reason: str, suspect_for: float = FAILURE_SUSPICION_S
    ) -> None:
        """Mark the member as suspect; the watch stays until a check at another member succeeds."""
        check = self._freshness_check
        check.call = None
        check.due_at = self._jittered_retry_time(CHECK_RETRY_BASE_S, check.failures)
        check.failures += 1
        if self._main_call is not None and call.member == self._main_call.member:
            check.watch_suspect = True
        self._log_member_problem(call.member, problem, reason)
        self._members.record_failure(call.member, self._now, suspect_for)

    def _on_lag_expired(self, lag: Lag) -> None:
        """The watch has not delivered in time a change that a check has seen: reopen it.

        A watch's member that reported the change itself contradicts its own watch and is avoided for longer;
        otherwise the watch moves to the member that reported the change.
        """
        if self._main_call is None:
            return
        member = self._main_call.member
        self._log(LogLevel.WARNING, "settings_watch_behind", member=member, seen_at=lag.reported_by)
        self._confirmed_revision = self._revision
        if lag.reported_by == member:
            self._members.record_failure(member, self._now, CONTRADICTION_SUSPICION_S)
            self._schedule_main_call()
        else:
            self._members.record_failure(member, self._now)
            self._move_watch(lag.reported_by)

    def _move_watch(self, member: str) -> None:
        self._members.prefer(member)
        self._schedule_main_call()

    # ---- documents ----

    def _propose_resumed_document(self) -> None:
        """Propose the document from the previous process before the first call."""
        resume_state, self._resume_state = self._resume_state, None
        if resume_state is None:
            return
        try:
            self._items = StreamItems.from_values(self._prefix, resume_state.items)
        except DocumentTooLargeError:
            self._discard_resumed_document()
            return
        self._actions.append(
            ProposeDocument(resume_state.revision, resume_state.cluster_id, resume_state.items)
        )

    def _discard_resumed_document(self) -> None:
        """The document from the previous process cannot be used: start with a snapshot."""
        self._awaiting_resume_result = False
        self._items = None

    def _propose(self, revision: int) -> None:
        if self._items is None or self._cluster_id is None:
            return
        problem = self._items.problem()
        if problem:
            self._on_refused(revision, problem)
        else:
            self._actions.append(ProposeDocument(revision, self._cluster_id, self._items.values()))

    def _on_accepted(self, revision: int) -> None:
        self._last_refusal = (0, "")
        self._awaiting_resume_result = False
        self._accepted_revision = revision
        self._log(LogLevel.INFO, "settings_accepted", revision=revision)

    def _on_refused(self, revision: int, reason: str) -> None:
        """Log and count a refused document, once for each revision and reason."""
        if self._last_refusal == (revision, reason):
            return
        self._last_refusal = (revision, reason)
        self._increment_counter("settings_refused")
        in_force = self._accepted_revision
        self._log(LogLevel.ERROR, "settings_refused", revision=revision, reason=reason, in_force=in_force)

    # ---- the cluster's identity and revision ----

    def _validate_header(self, header: ResponseHeader, min_revision: int) -> None:
        """Raise `ContradictionError` for a response of another cluster or of too old a revision."""
        if self._cluster_id is not None and header.cluster_id != self._cluster_id:
            raise ContradictionError("settings_other_cluster")
        if header.revision < min_revision:
            raise ContradictionError("settings_older_revision")

    def _describe_mismatch(self, header: ResponseHeader) -> str:
        return (
            f"got cluster {header.cluster_id} at revision {header.revision}, "
            f"this node has cluster {self._cluster_id} at revision {self._revision}"
        )

    # ---- log and counters ----

    def _log_member_problem(self, member: str, problem: str, reason: str) -> None:
        """Log a problem with a member, once until the member works again."""
        if (member, problem) in self._logged_problems:
            return
        self._logged_problems.add((member, problem))
        contradicts = problem.startswith("settings_")
        level = LogLevel.WARNING if contradicts else LogLevel.INFO
        event = problem if contradicts else "settings_member_failed"
        self._log(level, event, member=member, kind=problem, reason=reason)

    def _clear_logged_problems(self, member: str) -> None:
        self._logged_problems = {logged for logged in self._logged_problems if logged[0] != member}

    def _log(self, level: LogLevel, event: str, **fields: Any) -> None:
        self._actions.append(Log(level, event, fields))

    def _increment_counter(self, name: str, amount: int = 1) -> None:
        self._actions.append(IncrementCounter(name, amount))
