"""The follower's decisions: what to ask of which member, what to take, what to refuse. No clock, no I/O.

`SettingsFollower.step(now, events)` is told what happened and gives what to do. It keeps one main call and
beside it, now and then, a small one, the check:

    WAITING   no main call; the next begins at a time drawn at random
    FETCHING  a snapshot, page by page, every page at the revision of the first
    OPENING   a watch from the revision behind the last one received; not confirmed yet
    WATCHING  the watch is confirmed and brings each change

A watch that breaks is opened anew where it stopped, at another member. Only a compaction, or a history that
is longer than a document may be, makes a snapshot necessary.

The check. The gateway's watch has no heartbeat, so silence tells nothing. A linearizable read of the newest
change and the number of keys, by turns at the watch's member and at another, shows three things: that what is
held is the newest, that the watch lags behind, or that the member asked is of no use. A check that fails ends
no watch: only when another member has given a good answer is the watch moved there. Where no member gives
one, as in the smaller part of a cluster that fell apart, all stays as it is and no connection is made anew
but the check's, so that a cluster that comes together again meets no wave.

Time until a change is in force, at most, with one member that died without a word just before it, the change
itself being small:

    CHECK_INTERVAL_MAX_S 4.0  the next check begins
    CONNECT_TIMEOUT_S   1.5   it is at the dead member: no connection,
    ANSWER_TIMEOUT_S    2.0     or a connection and no answer
    CHECK_RETRY_BASE_S  0.5   the next check, at another member, finds the watch doubtful and moves it there
                        8.0   in force, and 10 s are left: should that member be dead too, 3.5 s for the
                              time-outs and at most 1 s for the next check bring it to 12.5

Where the dead member had ended its connections it is RETRY_BASE_S, 1.5. Where it lets the watch lag but
answers checks, 4.0 + LAG_GRACE_S, 2.0. Where the whole cluster was away and comes back with one dead member,
RETRY_CAP_S, 3.5 and RETRY_CAP_S again: 13.5.

A whole document of the largest size takes 16.6 s at the bytes a second that a budget of 11,000 earns, whether
in few items or in many (`limits.py`), and the check finds a missed compaction within the rest.
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
"""Seconds until a connection that does not come about counts as failed."""
ANSWER_TIMEOUT_S = 2.0
"""Seconds that a member may keep the node waiting for one answer, the node's own pauses left out."""
RETRY_BASE_S = 1.5
"""The first retry comes within this time, drawn at random; the range doubles with each failure."""
RETRY_CAP_S = 5.0
"""Where that doubling ends."""
CHECK_INTERVAL_MIN_S = 3.0
CHECK_INTERVAL_MAX_S = 4.0
"""Between these, drawn at random, lies the time from the end of one check to the next."""
FIRST_CHECK_DELAY_MAX_S = 0.5
"""A watch just confirmed is checked within this time."""
CHECK_RETRY_BASE_S = 0.5
"""As `RETRY_BASE_S`, for a check."""
LAG_GRACE_S = 2.0
"""Seconds that the watch is given to bring a change that a check has seen."""
MIN_FRAME_RATE_SHARE = 0.5
"""A long frame has to come at this share of the budget's rate; the rest is for what comes beside it."""
OVERSIZED_RETRY_S = 15.0
"""Seconds until what was too large to be held, by more than one member's word, is looked at again."""
MAX_RESPONSE_BYTES = 512 * 1024
"""Most bytes of the answer to a range request."""
MAX_FRAME_BYTES = 256 * 1024
"""Most bytes of a watch's frame: a longer one is a history that a snapshot is shorter than."""
MAX_PROPOSALS = 16
"""Of the revisions of one frame the last so many are checked; those before were superseded long ago."""


@dataclass(slots=True, frozen=True)
class ResumeState:
    """The document last in force, from an earlier life of the node."""

    cluster_id: int
    revision: int
    items: Mapping[str, Any]


class FollowerState(Enum):
    """What the main call does."""

    WAITING = auto()
    FETCHING = auto()
    OPENING = auto()
    WATCHING = auto()


@dataclass(slots=True, frozen=True)
class Call:
    """A call that is under way."""

    call_id: int
    member: str
    started_at: float
    known_revision: int
    """The last one received when the call was made."""


@dataclass(slots=True)
class FreshnessCheck:
    """The check beside the watch."""

    call: Call | None = None
    due_at: float = math.inf
    failures: int = 0
    """In a row."""
    use_other_member: bool = False
    """Whether the next one goes to another member than the watch's."""
    watch_suspect: bool = False
    """Whether one at the watch's member has failed, and none since has given a good answer."""


@dataclass(slots=True)
class Lag:
    """A check has seen what the watch has not brought."""

    since: float
    reported_by: str
    revision: int
    """The change seen, 0 where only the number of keys differed."""


class ContradictionError(Exception):
    """An answer that contradicts what is known; the text is the name of the line for the log."""


class SettingsFollower:
    """The state machine of one node."""

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
        self._resume_state = resume_state  # until it is proposed
        self._awaiting_resume_result = resume_state is not None  # until it is accepted or refused
        self._now = now
        self._actions: list[Action] = []

        self._cluster_id = resume_state.cluster_id if resume_state is not None else None
        self._revision = resume_state.revision if resume_state is not None else 0  # the last one received
        self._confirmed_revision = self._revision  # up to here a check has seen no later change
        self._min_snapshot_revision = 0  # what a snapshot has to reach, after a compaction
        self._accepted_revision = 0
        self._items: StreamItems | None = None  # as of `_revision`
        self._snapshot: SnapshotPages | None = None
        self._no_progress_since_snapshot = False  # nothing has come since the last one

        self._state = FollowerState.WAITING
        self._main_call: Call | None = None
        self._last_call_id = 0
        self._retry_at = now
        self._failures = 0  # in a row
        self._oversized_member: str | None = None  # the last one with a page too long to be read
        self._freshness_check = FreshnessCheck()
        self._lag: Lag | None = None
        self._partial_frame_bytes = 0  # of the watch's frame under way
        self._staleness = StalenessMonitor(now)
        self._last_refusal = (0, "")  # the last one's revision and reason, until a document is accepted
        # Members and what was logged of each, until it works again.
        self._logged_problems: set[tuple[str, str]] = set()

    def step(self, now: float, events: Iterable[Event]) -> list[Action]:
        """Take in what happened, in order, and the time; returns what to do, in order."""
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
        """What the main call does."""
        return self._state

    @property
    def revision(self) -> int:
        """The last revision received, good or bad."""
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

    # ---- time ----

    def _handle_timers(self) -> None:
        """Do what has come due."""
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
        """When the next main call begins: not before its time, nor before the bytes spent are earned."""
        if self._main_call is not None or self._awaiting_resume_result:
            return math.inf
        return max(self._retry_at, self._now + self._budget.delay(self._now))

    def _lag_deadline(self, lag: Lag) -> float:
        """A long frame is given the time that the node's own budget makes it take."""
        return (
            lag.since + LAG_GRACE_S + self._partial_frame_bytes / (self._budget.rate * MIN_FRAME_RATE_SHARE)
        )

    def _jittered_retry_time(self, base: float, failures: int) -> float:
        """A time from now, drawn at random from a range that doubles with each failure."""
        return self._now + self._random.uniform(0.0, min(RETRY_CAP_S, base * 2.0 ** min(failures, 16)))

    # ---- the main call ----

    def _new_call(self, member: str) -> Call:
        self._last_call_id += 1
        return Call(self._last_call_id, member, self._now, self._revision)

    def _start_main_call(self) -> None:
        """Ask for a page or open the watch."""
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
        """Give up the main call, if one is under way, and with it the check."""
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
        """Begin the next main call after this pause."""
        self._cancel_calls()
        self._retry_at = self._now + pause

    def _back_off(self) -> None:
        """Begin the next main call after a pause that grows with the failures in a row."""
        self._cancel_calls()
        self._retry_at = self._jittered_retry_time(RETRY_BASE_S, self._failures)
        self._failures += 1

    def _try_other_member(
        self, member: str, problem: str, reason: str, suspect_for: float = FAILURE_SUSPICION_S
    ) -> None:
        """The member is of no use for now: try another."""
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
        """The snapshot is whole: from here on the watch tells what changes."""
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
        """The history no longer reaches back to where the watch or the snapshot stands."""
        self._log(LogLevel.INFO, "settings_compacted", member=call.member, compact_revision=compact_revision)
        self._min_snapshot_revision = max(self._min_snapshot_revision, compact_revision)
        self._refetch_snapshot(call)

    def _refetch_snapshot(self, call: Call) -> None:
        """Begin a snapshot at the same member; where the last one led to nothing, later and at another."""
        self._items = None
        self._snapshot = None
        if self._no_progress_since_snapshot or self._state is FollowerState.FETCHING:
            self._members.record_failure(call.member, self._now)
            self._back_off()
        else:
            self._schedule_main_call()

    def _on_document_too_large(self, call: Call, revision: int, reason: str) -> None:
        """More lies below the prefix than is held: look again at another member, and again later."""
        self._items = None
        self._snapshot = None
        self._members.record_failure(call.member, self._now)
        if reason == self._last_refusal[1]:
            self._schedule_main_call(OVERSIZED_RETRY_S)
        else:
            self._on_refused(revision, reason)
            self._back_off()

    def _on_page_too_large(self, call: Call, reason: str) -> None:
        """A page is longer than is read. That is said of the document once two members have shown it."""
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
        """Take in the changes revision by revision, each as a whole."""
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
        """The watch has brought something: it has caught up, or has time for more."""
        if self._lag is None:
            return
        if self._revision >= self._lag.revision:
            self._lag = None
        else:
            self._lag.since = self._now

    def _validate_changes(self, response: WatchResponse, revisions: list[int]) -> None:
        """Raises an error for changes that the stream cannot hold."""
        last = self._revision
        for revision in revisions:
            if revision <= last:
                raise ContradictionError("settings_older_revision")
            last = revision
        if last > response.header.revision:
            raise GatewayError(ErrorKind.MALFORMED, "a change of a later revision than the frame's")
        if not all(event.item.key.startswith(self._prefix) for event in response.events):
            raise GatewayError(ErrorKind.MALFORMED, "a change of a key that was not asked for")

    def _apply_revision(self, call: Call, revision: int, events: list[WatchEvent], propose: bool) -> bool:
        """Take in one revision; returns whether the watch still goes on."""
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

    # ---- the check ----

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
                raise GatewayError(ErrorKind.MALFORMED, "a change of a later revision than the answer's")
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
        """Whether the answer shows a change that the watch has not brought."""
        newest = response.items[0].mod_revision if response.items else 0
        if newest > self._revision:
            return Lag(self._now, call.member, newest)
        key_count = len(self._items) if self._items is not None else 0
        if response.header.revision >= self._revision and response.count != key_count:
            return Lag(self._now, call.member, 0)
        return None

    def _on_confirmed(self, call: Call, response: RangeResponse) -> None:
        """What is held was the newest when the check was made."""
        self._lag = None
        self._failures = 0
        self._no_progress_since_snapshot = False
        self._confirmed_revision = max(self._confirmed_revision, response.header.revision)
        self._actions += self._staleness.confirm(self._now, call.started_at, self._revision)

    def _resolve_watch_suspicion(self, call: Call) -> None:
        """A good answer has come: where the watch's own member gave none, the watch moves to this one."""
        if not self._freshness_check.watch_suspect or self._main_call is None:
            return
        self._freshness_check.watch_suspect = False
        if call.member != self._main_call.member:
            self._log(LogLevel.INFO, "settings_watch_moved", member=self._main_call.member, to=call.member)
            self._move_watch(call.member)

    def _on_check_failed(
        self, call: Call, problem: str, reason: str, suspect_for: float = FAILURE_SUSPICION_S
    ) -> None:
        """The member is of no use for now. The watch stays until another member has given a good answer."""
        check = self._freshness_check
        check.call = None
        check.due_at = self._jittered_retry_time(CHECK_RETRY_BASE_S, check.failures)
        check.failures += 1
        if self._main_call is not None and call.member == self._main_call.member:
            check.watch_suspect = True
        self._log_member_problem(call.member, problem, reason)
        self._members.record_failure(call.member, self._now, suspect_for)

    def _on_lag_expired(self, lag: Lag) -> None:
        """The watch has not brought in time what a check has seen: open it anew from what is held."""
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
        """Put the document of an earlier life in force before anything is asked."""
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
        """The document of an earlier life is of no use: begin with a snapshot."""
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
        """Name a bad document, once; the one in force stays."""
        if self._last_refusal == (revision, reason):
            return
        self._last_refusal = (revision, reason)
        self._increment_counter("settings_refused")
        in_force = self._accepted_revision
        self._log(LogLevel.ERROR, "settings_refused", revision=revision, reason=reason, in_force=in_force)

    # ---- what is known of the cluster ----

    def _validate_header(self, header: ResponseHeader, min_revision: int) -> None:
        """Raises `ContradictionError` for an answer of another cluster, or from before what was received."""
        if self._cluster_id is not None and header.cluster_id != self._cluster_id:
            raise ContradictionError("settings_other_cluster")
        if header.revision < min_revision:
            raise ContradictionError("settings_older_revision")

    def _describe_mismatch(self, header: ResponseHeader) -> str:
        return (
            f"cluster {header.cluster_id} at revision {header.revision}, "
            f"held are {self._cluster_id} and {self._revision}"
        )

    # ---- what is said ----

    def _log_member_problem(self, member: str, problem: str, reason: str) -> None:
        """Log what is wrong with a member, once until it works again."""
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
