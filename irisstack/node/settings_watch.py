"""The actor that follows the published settings: performs the I/O for `dynamic_settings.decisions`."""

import math
import time
from collections.abc import Callable, Mapping, Sequence
from typing import Any, Generic, Protocol, TypeVar

import gevent
import structlog
from gevent.queue import Empty, Queue

from irisstack.dynamic_settings import etcd
from irisstack.dynamic_settings.budget import ByteBudget
from irisstack.dynamic_settings.decisions import ResumeState, SettingsFollower
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
    OpenWatch,
    ProposeDocument,
    RangeResponseReceived,
    SendRangeRequest,
    WakeAt,
    WatchResponseReceived,
)
from irisstack.dynamic_settings.snapshot import SavedSettings, SavedSettingsFile
from irisstack.node.config import HostPort, format_host_port
from irisstack.node.counters import Counters
from irisstack.node.member_call import CallError, MemberCall
from irisstack.settings import SettingsError

MAILBOX_SIZE = 16
"""Maximum of queued events; a call that has another one blocks until there is room."""
MIN_WAIT_S = 0.01
"""Seconds between steps without an event, at the least, so that other greenlets run."""
RESTART_PAUSE_S = 5.0
"""Seconds before a restart after an unexpected error in this actor."""

log = structlog.get_logger()


class Accepted(Protocol):
    """The result of a check that accepted a document."""

    @property
    def retired(self) -> Mapping[str, Any]: ...


AcceptedType = TypeVar("AcceptedType", bound=Accepted)


class SettingsWatch(Generic[AcceptedType]):
    """Follows the published settings while the node runs; its errors never end the node.

    `check` raises `SettingsError` to refuse a document; `apply` puts its result in force and must not raise.
    The seed must differ from node to node, to spread the nodes' calls over members and time.

    Counters: `settings_revision` is the revision in force, `settings_refused` the number of documents that
    were reported as refused, `settings_stale` how often the settings became stale.
    """

    def __init__(
        self,
        members: Sequence[HostPort],
        prefix: str,
        bytes_per_s: float,
        saved_settings_file: SavedSettingsFile,
        check: Callable[[Mapping[str, Any]], AcceptedType],
        apply: Callable[[int, AcceptedType], None],
        counters: Counters,
        seed: int,
    ) -> None:
        self._members = {format_host_port(member): member for member in members}
        self._prefix = prefix.encode()
        self._saved_settings_file = saved_settings_file
        self._check = check
        self._apply = apply
        self._counters = counters
        self._seed = seed
        self._budget = ByteBudget(bytes_per_s, time.monotonic())
        self._resume_state: ResumeState | None = None
        self._counted_revision = 0
        self._calls: dict[int, gevent.Greenlet[..., None]] = {}
        self._mailbox: Queue[Event] = Queue(MAILBOX_SIZE)

    def run(self) -> None:
        """Follow the settings; an unexpected error is logged, and the actor restarts."""
        saved = self._saved_settings_file.load()
        if saved is not None:
            self._resume_state = ResumeState(saved.cluster_id, saved.revision, saved.items)
        while True:
            try:
                self._follow()
            except Exception as error:  # any error: the node goes on with the settings in force
                log.error("settings_watch_failed", error=repr(error))
            for greenlet in self._calls.values():
                greenlet.kill(block=False)
            self._calls.clear()
            gevent.sleep(RESTART_PAUSE_S)

    def _follow(self) -> None:
        self._mailbox = Queue(MAILBOX_SIZE)
        now = time.monotonic()
        follower = SettingsFollower(
            list(self._members), self._prefix, self._budget, self._seed, self._resume_state, now
        )
        events: list[Event] = []
        while True:
            actions = follower.step(time.monotonic(), events)
            events = []
            wake_at = math.inf
            for action in actions:
                if isinstance(action, WakeAt):
                    wake_at = action.at
                elif isinstance(action, ProposeDocument):
                    events.append(self._try_document(action))
                else:
                    self._execute(action)
            if not events:
                events = self._wait(wake_at)

    def _wait(self, wake_at: float) -> list[Event]:
        """All queued events; none if `wake_at` passes first."""
        remaining = max(MIN_WAIT_S, wake_at - time.monotonic())
        try:
            events = [self._mailbox.get(timeout=remaining if remaining < math.inf else None)]
        except Empty:
            return []
        while not self._mailbox.empty():
            events.append(self._mailbox.get_nowait())
        return events

    def _execute(self, action: Action) -> None:
        match action:
            case SendRangeRequest(call_id, member, request):
                self._calls[call_id] = gevent.spawn(self._run_range, call_id, self._members[member], request)
            case OpenWatch(call_id, member, request):
                self._calls[call_id] = gevent.spawn(self._run_watch, call_id, self._members[member], request)
            case CancelCall(call_id):
                if (greenlet := self._calls.pop(call_id, None)) is not None:
                    greenlet.kill(block=False)
            case Log(level, event, fields):
                getattr(log, level.value)(event, **fields)
            case IncrementCounter(name, amount):
                self._counters.add(name, amount)

    # ---- documents ----

    def _try_document(self, proposal: ProposeDocument) -> Event:
        """Check a document as a whole and put it in force; a refused one changes nothing."""
        gevent.sleep(0)  # a check may take long: yields to other greenlets between two
        try:
            accepted = self._check(proposal.items)
            # Saved first, so that a message accepted under a new class is known to the next process.
            self._save(proposal, accepted)
            self._apply(proposal.revision, accepted)
        except SettingsError as error:
            return DocumentRefused(proposal.revision, str(error))
        except Exception as error:  # any error: a document must not end the node
            return DocumentRefused(proposal.revision, f"the document: {error!r}")
        self._resume_state = ResumeState(proposal.cluster_id, proposal.revision, proposal.items)
        self._counters.add("settings_revision", proposal.revision - self._counted_revision)
        self._counted_revision = proposal.revision
        return DocumentAccepted(proposal.revision)

    def _save(self, proposal: ProposeDocument, accepted: AcceptedType) -> None:
        settings = SavedSettings(proposal.cluster_id, proposal.revision, proposal.items, accepted.retired)
        if self._saved_settings_file.load() != settings:
            self._saved_settings_file.save(settings)

    # ---- calls, each in its own greenlet ----

    def _run_range(self, call_id: int, address: HostPort, request: etcd.RangeRequest) -> None:
        call = MemberCall(address, self._budget)
        try:
            self._mailbox.put(RangeResponseReceived(call_id, call.request_range(request)))
        except Exception as error:  # any error must reach the follower, or it would wait forever
            self._mailbox.put(_failure(call_id, error))
        finally:
            call.close()
            self._calls.pop(call_id, None)

    def _run_watch(self, call_id: int, address: HostPort, request: etcd.WatchRequest) -> None:
        call = MemberCall(address, self._budget)
        try:
            for response, frame_bytes in call.watch(request):
                self._mailbox.put(FrameProgress(call_id, frame_bytes))
                if response is not None:
                    self._mailbox.put(WatchResponseReceived(call_id, response))
        except Exception as error:  # as above
            self._mailbox.put(_failure(call_id, error))
        finally:
            call.close()
            self._calls.pop(call_id, None)


def _failure(call_id: int, error: Exception) -> CallFailed:
    if isinstance(error, CallError):
        return CallFailed(call_id, error.kind, str(error))
    return CallFailed(call_id, FailureKind.MALFORMED, repr(error))
