"""Nodes that follow a simulated etcd cluster in virtual time, with members whose failures a test chooses.

Members and nodes exchange the bytes of the JSON gateway, so that every test covers the codec as well.
"""

import base64
import json
from collections import Counter
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from enum import Enum, auto
from heapq import heappop, heappush
from itertools import count
from typing import Any

from irisstack.dynamic_settings import etcd
from irisstack.dynamic_settings.budget import READ_CHUNK_BYTES, ByteBudget
from irisstack.dynamic_settings.decisions import (
    ANSWER_TIMEOUT_S,
    CONNECT_TIMEOUT_S,
    MAX_FRAME_BYTES,
    MAX_RESPONSE_BYTES,
    ResumeState,
    SettingsFollower,
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
    OpenWatch,
    ProposeDocument,
    RangeResponseReceived,
    SendRangeRequest,
    WakeAt,
    WatchResponseReceived,
)
from irisstack.lab.standins import etcd as standin
from irisstack.lab.standins import etcd_cluster, etcd_json

PREFIX = b"/irisstack/settings/"
CLUSTER = 77
OTHER_CLUSTER = 99
LATENCY_S = 0.005
HTTP_HEAD_BYTES = 200
"""Approximate size of the HTTP heads of a request and its response."""
BYTES_PER_S = 11_000.0


def encode_base64(data: bytes) -> str:
    return base64.b64encode(data).decode()


@dataclass(slots=True, frozen=True)
class Change:
    """The new value of one key; `None` deletes it."""

    key: bytes
    value: bytes | None


def encode_frame(response: standin.WatchResponse, cluster: int = CLUSTER) -> bytes:
    return etcd_json.encode_watch(etcd_json.Header(cluster, 1, response.revision, 2), response)


def frame_with_changes(revisions: list[tuple[int, list[Change]]], newest: int) -> bytes:
    """A watch frame with these changes, even if no real member would send it."""
    events = [to_event(change, revision) for revision, changes in revisions for change in changes]
    return encode_frame(standin.WatchResponse(newest, events=tuple(events)))


def created_frame(revision: int, cluster: int = CLUSTER) -> bytes:
    return encode_frame(standin.WatchResponse(revision, created=True), cluster)


def to_event(change: Change, revision: int) -> standin.Event:
    if change.value is None:
        deleted_item = standin.KeyValue(change.key, b"", 0, revision, 0)
        return standin.Event(standin.EventType.DELETE, deleted_item, None)
    put_item = standin.KeyValue(change.key, change.value, revision, revision, 1)
    return standin.Event(standin.EventType.PUT, put_item, None)


class MemberMode(Enum):
    """How a member behaves."""

    HEALTHY = auto()
    REFUSES_CONNECTION = auto()
    DROPS_PACKETS = auto()
    """Connection attempts time out; connections that were open receive nothing."""
    SILENT = auto()
    """Accepts connections and sends nothing."""
    NO_LEADER = auto()
    SILENT_WATCH = auto()
    """Healthy, except that its watches deliver no changes."""
    REPORTS_NEWER = auto()
    """Freshness checks report a newer change than there is."""
    OVERSIZED_VALUE = auto()
    """Every snapshot holds a value of 300 KiB."""
    REPORTS_OLDER = auto()
    """Responses are at the first revision."""
    OTHER_CLUSTER = auto()


class VirtualLoop:
    """An event loop in virtual time, in seconds."""

    def __init__(self) -> None:
        self.now = 100.0
        self._scheduled: list[tuple[float, int, Callable[[], None]]] = []
        self._sequence = count()

    def call_later(self, delay: float, callback: Callable[[], None]) -> None:
        heappush(self._scheduled, (self.now + max(0.0, delay), next(self._sequence), callback))

    def run_until(self, end: float) -> None:
        while self._scheduled and self._scheduled[0][0] <= end:
            self.now, _, callback = heappop(self._scheduled)
            callback()
        self.now = end

    def run_for(self, seconds: float) -> None:
        self.run_until(self.now + seconds)


UNRESPONSIVE_MODES = (MemberMode.REFUSES_CONNECTION, MemberMode.DROPS_PACKETS, MemberMode.SILENT)
"""Modes in which a member sends nothing, on existing or new connections."""


@dataclass(slots=True)
class ServedWatch:
    """A node's watch that a member serves."""

    node: "Node"
    call_id: int
    watch: standin.Watch


class Cluster:
    """The members of the simulated cluster and the mode of each."""

    def __init__(self, loop: VirtualLoop, size: int = 7) -> None:
        self.loop = loop
        self.etcd = etcd_cluster.Cluster(size, CLUSTER)
        self.members = {f"10.0.0.{i}:2379": member for i, member in enumerate(self.etcd.members, 1)}
        self.modes = dict.fromkeys(self.members, MemberMode.HEALTHY)
        self.served_watches: dict[str, list[ServedWatch]] = {name: [] for name in self.members}
        self.connection_attempts: list[tuple[float, str]] = []

    @property
    def names(self) -> list[str]:
        return list(self.members)

    def put(self, **values: Any) -> int:
        """Set paths to JSON values in one revision; `__` in a name stands for a slash."""
        texts = {name.replace("__", "/"): json.dumps(value) for name, value in values.items()}
        return self.write({path: text.encode() for path, text in texts.items()})

    def write(self, values: Mapping[str, bytes | None]) -> int:
        """Set paths to bytes, or delete them, in one revision."""
        return self.commit([Change(PREFIX + path.encode(), value) for path, value in values.items()])

    def commit(self, changes: list[Change]) -> int:
        """Commit the changes in one revision, whatever the members' modes."""
        operations = tuple(
            standin.DeleteRangeRequest(change.key)
            if change.value is None
            else standin.PutRequest(change.key, change.value)
            for change in changes
        )
        self.etcd.store.execute(standin.TxnRequest((), operations, ()))
        for name in self.members:
            self._deliver_changes(name)
        return self.etcd.store.revision

    def compact(self, revision: int) -> None:
        self.etcd.compact(revision)

    def set_mode(self, name: str, mode: MemberMode) -> None:
        """Change a member's mode; `REFUSES_CONNECTION` also closes the connections of its watches."""
        self.modes[name] = mode
        member = self.members[name]
        member.watches_stalled = mode is MemberMode.SILENT_WATCH
        member.reported_revision = 1 if mode is MemberMode.REPORTS_OLDER else None
        member.cluster_id = OTHER_CLUSTER if mode is MemberMode.OTHER_CLUSTER else None
        if mode is MemberMode.NO_LEADER:
            member.lose_quorum()
        else:
            member.regain_quorum()
        if mode is MemberMode.REFUSES_CONNECTION:
            for served_watch in self.served_watches[name]:
                served_watch.node.fail(served_watch.call_id, FailureKind.ENDED, LATENCY_S)
            self.served_watches[name] = []
        self._deliver_changes(name)

    def set_all(self, mode: MemberMode) -> None:
        for name in self.members:
            self.set_mode(name, mode)

    def _deliver_changes(self, name: str) -> None:
        """Send the member's watches the changes that they have not received."""
        member = self.members[name]
        if self.modes[name] in UNRESPONSIVE_MODES or member.watches_stalled:
            return
        for served_watch in self.served_watches[name]:
            while (response := served_watch.watch.read(member.store)) is not None:
                served_watch.node.send_frame(served_watch.call_id, member.encode_watch(response))

    def handle_range_request(self, node: "Node", action: SendRangeRequest) -> None:
        mode = self._connect(node, action.call_id, action.member)
        if mode is None:
            return
        status, body = self.members[action.member].handle_request(etcd.RANGE_PATH, action.request.body())
        if mode is MemberMode.REPORTS_NEWER and action.request.newest_first:
            body = self._with_newer_change(body)
        if mode is MemberMode.OVERSIZED_VALUE and not action.request.newest_first:
            body = self._with_oversized_value(body)
        node.respond(action.call_id, body, status)

    def _with_newer_change(self, body: bytes) -> bytes:
        """The response with a change at a revision that does not exist."""
        raw = json.loads(body)
        newer = str(self.etcd.store.revision + 5)
        raw["header"]["revision"] = newer
        raw["kvs"] = [{"key": encode_base64(PREFIX + b"x"), "mod_revision": newer}]
        return json.dumps(raw).encode()

    def _with_oversized_value(self, body: bytes) -> bytes:
        raw = json.loads(body)
        value = encode_base64(b'"' + b"x" * 300 * 1024 + b'"')
        raw["kvs"] = [{"key": encode_base64(PREFIX + b"x"), "mod_revision": "2", "value": value}]
        return json.dumps(raw).encode()

    def handle_watch_request(self, node: "Node", action: OpenWatch) -> None:
        if self._connect(node, action.call_id, action.member) is None:
            return
        member = self.members[action.member]
        request = etcd_json.decode_watch(action.request.body())
        assert isinstance(request, standin.WatchRequest)
        watch, response = standin.Watch.create(request, member.store)
        node.send_frame(action.call_id, member.encode_watch(response))
        self.served_watches[action.member].append(ServedWatch(node, action.call_id, watch))
        self._deliver_changes(action.member)

    def _connect(self, node: "Node", call_id: int, member: str) -> MemberMode | None:
        """Return the member's mode if it responds; otherwise fail the call as the mode requires."""
        self.connection_attempts.append((self.loop.now, member))
        mode = self.modes[member]
        if mode is MemberMode.REFUSES_CONNECTION:
            node.fail(call_id, FailureKind.UNREACHABLE, LATENCY_S)
        elif mode is MemberMode.DROPS_PACKETS:
            node.fail(call_id, FailureKind.UNREACHABLE, CONNECT_TIMEOUT_S)
        elif mode is MemberMode.SILENT:
            node.fail(call_id, FailureKind.SILENT, ANSWER_TIMEOUT_S)
        else:
            return mode
        return None

    def remove_watch(self, node: "Node", call_id: int) -> None:
        for name, served_watches in self.served_watches.items():
            self.served_watches[name] = [w for w in served_watches if (w.node, w.call_id) != (node, call_id)]


def accept_all(items: Mapping[str, Any]) -> str:
    return ""


@dataclass(slots=True)
class ResponseRead:
    """The response that a call is reading."""

    member: str
    is_watch: bool
    unread: list[bytes] = field(default_factory=list)
    status: int = 200
    bytes_read: int = 0
    """Bytes read of the first unread response or frame."""
    is_reading: bool = False


class Node:
    """One follower and the execution of its actions in virtual time."""

    def __init__(
        self,
        cluster: Cluster,
        seed: int = 0,
        resume_state: ResumeState | None = None,
        check: Callable[[Mapping[str, Any]], str] = accept_all,
        bytes_per_s: float = BYTES_PER_S,
    ) -> None:
        self.loop, self.cluster, self.check = cluster.loop, cluster, check
        self.budget = ByteBudget(bytes_per_s, self.loop.now)
        self.follower = SettingsFollower(
            cluster.names, PREFIX, self.budget, seed, resume_state, self.loop.now
        )
        self.counters: Counter[str] = Counter()
        self.logs: list[Log] = []
        self.in_force: list[tuple[float, int, dict[str, Any]]] = []
        self.sent_actions: list[Action] = []
        self.sent_times: list[float] = []
        self.spent_bytes: list[tuple[float, int]] = []
        self._calls: dict[int, ResponseRead] = {}
        self._wake_number = 0
        self.loop.call_later(0.0, lambda: self.step([]))

    # ---- results for tests ----

    @property
    def document(self) -> dict[str, Any]:
        return self.in_force[-1][2]

    @property
    def revision(self) -> int:
        return self.in_force[-1][1] if self.in_force else 0

    @property
    def watch_member(self) -> str:
        return next(call.member for call in self._calls.values() if call.is_watch)

    @property
    def page_requests(self) -> list[etcd.RangeRequest]:
        """The requests for snapshot pages."""
        ranges = [action.request for action in self.sent_actions if isinstance(action, SendRangeRequest)]
        return [request for request in ranges if not request.newest_first]

    @property
    def snapshot_count(self) -> int:
        """Number of snapshots that were started."""
        return sum(not page.revision for page in self.page_requests)

    @property
    def opened_watches(self) -> list[OpenWatch]:
        return [action for action in self.sent_actions if isinstance(action, OpenWatch)]

    def logged(self, event: str) -> list[Log]:
        return [line for line in self.logs if line.event == event]

    # ---- called by the members ----

    def fail(self, call_id: int, kind: FailureKind, delay: float) -> None:
        self.loop.call_later(delay, lambda: self._fail(call_id, kind, kind.name))

    def respond(self, call_id: int, body: bytes, status: int) -> None:
        self.loop.call_later(LATENCY_S, lambda: self._on_data(call_id, body, status))

    def send_frame(self, call_id: int, frame: bytes) -> None:
        self.loop.call_later(LATENCY_S, lambda: self._on_data(call_id, frame, 200))

    # ---- execution of actions ----

    def step(self, events: list[Event]) -> None:
        for action in self.follower.step(self.loop.now, events):
            self._execute(action)

    def _execute(self, action: Action) -> None:
        match action:
            case SendRangeRequest(call_id, member, request):
                self._send(action, ResponseRead(member, False), call_id, len(request.body()))
                self.cluster.handle_range_request(self, action)
            case OpenWatch(call_id, member, request):
                self._send(action, ResponseRead(member, True), call_id, len(request.body()))
                self.cluster.handle_watch_request(self, action)
            case CancelCall(call_id):
                self._calls.pop(call_id, None)
                self.cluster.remove_watch(self, call_id)
            case ProposeDocument(revision, _, items):
                self._propose(revision, dict(items))
            case WakeAt(at):
                self._wake_number += 1
                wake_number = self._wake_number
                if at - self.loop.now < 1e6:
                    self.loop.call_later(at - self.loop.now, lambda: self._wake(wake_number))
            case Log():
                self.logs.append(action)
            case IncrementCounter(name, amount):
                self.counters[name] += amount

    def _send(self, action: Action, response_read: ResponseRead, call_id: int, size: int) -> None:
        self.sent_actions.append(action)
        self.sent_times.append(self.loop.now)
        self._spend(size + HTTP_HEAD_BYTES)
        self._calls[call_id] = response_read

    def _spend(self, size: int) -> None:
        self.budget.spend(self.loop.now, size)
        self.spent_bytes.append((self.loop.now, size))

    def _wake(self, wake_number: int) -> None:
        if wake_number == self._wake_number:
            self.step([])

    def _propose(self, revision: int, items: dict[str, Any]) -> None:
        reason = self.check(items)
        if reason:
            self.loop.call_later(0.0, lambda: self.step([DocumentRefused(revision, reason)]))
            return
        self.in_force.append((self.loop.now, revision, items))
        self.loop.call_later(0.0, lambda: self.step([DocumentAccepted(revision)]))

    def _fail(self, call_id: int, kind: FailureKind, reason: str) -> None:
        if self._calls.pop(call_id, None) is not None:
            self.cluster.remove_watch(self, call_id)
            self.step([CallFailed(call_id, kind, reason)])

    def _on_data(self, call_id: int, data: bytes, status: int) -> None:
        response_read = self._calls.get(call_id)
        if response_read is not None:
            response_read.status = status
            response_read.unread.append(data)
            if not response_read.is_reading:
                response_read.is_reading = True
                self._read(call_id)

    def _read(self, call_id: int) -> None:
        """Read one chunk as soon as the budget allows."""
        response_read = self._calls.get(call_id)
        if response_read is None:
            return
        if not response_read.unread:
            response_read.is_reading = False
            return
        delay = self.budget.delay(self.loop.now)
        if delay:
            self.loop.call_later(delay, lambda: self._read(call_id))
            return
        data = response_read.unread[0]
        chunk_size = min(READ_CHUNK_BYTES, len(data) - response_read.bytes_read)
        self._spend(chunk_size)
        response_read.bytes_read += chunk_size
        if response_read.bytes_read > (MAX_FRAME_BYTES if response_read.is_watch else MAX_RESPONSE_BYTES):
            self._fail(call_id, FailureKind.TOO_LARGE, "the response is too long")
        elif response_read.bytes_read < len(data):
            self.loop.call_later(0.0, lambda: self._read(call_id))
            if response_read.is_watch:
                self.step([FrameProgress(call_id, response_read.bytes_read)])
        else:
            response_read.unread.pop(0)
            response_read.bytes_read = 0
            self.loop.call_later(0.0, lambda: self._read(call_id))
            self._complete(call_id, response_read, data)

    def _complete(self, call_id: int, response_read: ResponseRead, data: bytes) -> None:
        try:
            if response_read.is_watch:
                self.step(
                    [
                        FrameProgress(call_id, 0),
                        WatchResponseReceived(call_id, etcd.parse_watch_response(data)),
                    ]
                )
                return
            response = etcd.parse_range_response(response_read.status, data)
            del self._calls[call_id]
            self.step([RangeResponseReceived(call_id, response)])
        except etcd.GatewayError as error:
            kinds = {
                etcd.ErrorKind.COMPACTED: FailureKind.COMPACTED,
                etcd.ErrorKind.REFUSED: FailureKind.REFUSED,
                etcd.ErrorKind.MALFORMED: FailureKind.MALFORMED,
            }
            self._fail(call_id, kinds[error.kind], str(error))
