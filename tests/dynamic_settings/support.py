"""Nodes that follow the stand-in of a cluster, in virtual time, with members that behave as a test says.

The bytes are those of the gateway, so that the codec is part of every play.
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
HEAD_BYTES = 200
"""What the heads of a request and its answer come to."""
BYTES_PER_S = 11_000.0


def encoded(data: bytes) -> str:
    return base64.b64encode(data).decode()


@dataclass(slots=True, frozen=True)
class Change:
    """One key's new value, `None` for a deletion."""

    key: bytes
    value: bytes | None


def frame_of(response: standin.WatchResponse, cluster: int = CLUSTER) -> bytes:
    return etcd_json.encode_watch(etcd_json.Header(cluster, 1, response.revision, 2), response)


def changes_frame(revisions: list[tuple[int, list[Change]]], newest: int) -> bytes:
    """A watch's frame with these changes, whether or not a member would ever send it."""
    events = [event_of(change, revision) for revision, changes in revisions for change in changes]
    return frame_of(standin.WatchResponse(newest, events=tuple(events)))


def created_frame(revision: int, cluster: int = CLUSTER) -> bytes:
    return frame_of(standin.WatchResponse(revision, created=True), cluster)


def event_of(change: Change, revision: int) -> standin.Event:
    if change.value is None:
        gone = standin.KeyValue(change.key, b"", 0, revision, 0)
        return standin.Event(standin.EventType.DELETE, gone, None)
    written = standin.KeyValue(change.key, change.value, revision, revision, 1)
    return standin.Event(standin.EventType.PUT, written, None)


class Mode(Enum):
    """How a member behaves."""

    GOOD = auto()
    REFUSES_CONNECTION = auto()
    NO_ROUTE = auto()
    """A connection neither comes about nor is refused; those that were open are silent."""
    SILENT = auto()
    """Connections come about and bring nothing."""
    NO_LEADER = auto()
    WATCH_SILENT = auto()
    """Good, but that its watches bring no change."""
    SAYS_NEWER = auto()
    """Claims a newer change than there is."""
    SAYS_TOO_MUCH = auto()
    """Has a value of 300 KiB in every snapshot."""
    SAYS_OLDER = auto()
    """Answers with the first revision."""
    OTHER_CLUSTER = auto()


class Loop:
    """Virtual time."""

    def __init__(self) -> None:
        self.now = 100.0
        self._due: list[tuple[float, int, Callable[[], None]]] = []
        self._order = count()

    def after(self, delay: float, call: Callable[[], None]) -> None:
        heappush(self._due, (self.now + max(0.0, delay), next(self._order), call))

    def run_until(self, end: float) -> None:
        while self._due and self._due[0][0] <= end:
            self.now, _, call = heappop(self._due)
            call()
        self.now = end

    def run_for(self, seconds: float) -> None:
        self.run_until(self.now + seconds)


UNANSWERED = (Mode.REFUSES_CONNECTION, Mode.NO_ROUTE, Mode.SILENT)
"""Modes in which a member sends nothing, on connections old or new."""


@dataclass(slots=True)
class Watcher:
    """A watch that a member serves."""

    node: "Node"
    call: int
    watch: standin.Watch


class Cluster:
    """The stand-in's members, and how each behaves to a node that calls it."""

    def __init__(self, loop: Loop, size: int = 7) -> None:
        self.loop = loop
        self.etcd = etcd_cluster.Cluster(size, CLUSTER)
        self.members = {f"10.0.0.{i}:2379": member for i, member in enumerate(self.etcd.members, 1)}
        self.modes = dict.fromkeys(self.members, Mode.GOOD)
        self.watchers: dict[str, list[Watcher]] = {name: [] for name in self.members}
        self.connects: list[tuple[float, str]] = []

    @property
    def names(self) -> list[str]:
        return list(self.members)

    def put(self, **values: Any) -> int:
        """One revision that sets paths to JSON values; `__` stands for a slash."""
        texts = {name.replace("__", "/"): json.dumps(value) for name, value in values.items()}
        return self.write({path: text.encode() for path, text in texts.items()})

    def write(self, values: Mapping[str, bytes | None]) -> int:
        """One revision that sets paths to bytes, or deletes them."""
        return self.commit([Change(PREFIX + path.encode(), value) for path, value in values.items()])

    def commit(self, changes: list[Change]) -> int:
        """One revision, made by whoever has a quorum."""
        operations = tuple(
            standin.DeleteRangeRequest(change.key)
            if change.value is None
            else standin.PutRequest(change.key, change.value)
            for change in changes
        )
        self.etcd.store.execute(standin.TxnRequest((), operations, ()))
        for name in self.members:
            self._serve(name)
        return self.etcd.store.revision

    def compact(self, revision: int) -> None:
        self.etcd.compact(revision)

    def set_mode(self, name: str, mode: Mode) -> None:
        """A member behaves otherwise from now on; one that ends takes its connections with it."""
        self.modes[name] = mode
        member = self.members[name]
        member.watches_silent = mode is Mode.WATCH_SILENT
        member.reported_revision = 1 if mode is Mode.SAYS_OLDER else None
        member.cluster_id = OTHER_CLUSTER if mode is Mode.OTHER_CLUSTER else None
        if mode is Mode.NO_LEADER:
            member.lose_quorum()
        else:
            member.regain_quorum()
        if mode is Mode.REFUSES_CONNECTION:
            for watcher in self.watchers[name]:
                watcher.node.fail(watcher.call, FailureKind.ENDED, LATENCY_S)
            self.watchers[name] = []
        self._serve(name)

    def set_all(self, mode: Mode) -> None:
        for name in self.members:
            self.set_mode(name, mode)

    def _serve(self, name: str) -> None:
        """Tell the member's watches what they have not been told."""
        member = self.members[name]
        if self.modes[name] in UNANSWERED or member.watches_silent:
            return
        for watcher in self.watchers[name]:
            while (response := watcher.watch.read(member.store)) is not None:
                watcher.node.frame(watcher.call, member.encode_watch(response))

    def ask_range(self, node: "Node", call: SendRangeRequest) -> None:
        mode = self._connect(node, call.call_id, call.member)
        if mode is None:
            return
        status, body = self.members[call.member].answer(etcd.RANGE_PATH, call.request.body())
        if mode is Mode.SAYS_NEWER and call.request.newest_first:
            body = self._newer(body)
        if mode is Mode.SAYS_TOO_MUCH and not call.request.newest_first:
            body = self._too_much(body)
        node.answer(call.call_id, body, status)

    def _newer(self, body: bytes) -> bytes:
        """The answer with a change in it that there never was."""
        raw = json.loads(body)
        newer = str(self.etcd.store.revision + 5)
        raw["header"]["revision"] = newer
        raw["kvs"] = [{"key": encoded(PREFIX + b"x"), "mod_revision": newer}]
        return json.dumps(raw).encode()

    def _too_much(self, body: bytes) -> bytes:
        raw = json.loads(body)
        value = encoded(b'"' + b"x" * 300 * 1024 + b'"')
        raw["kvs"] = [{"key": encoded(PREFIX + b"x"), "mod_revision": "2", "value": value}]
        return json.dumps(raw).encode()

    def open_watch(self, node: "Node", call: OpenWatch) -> None:
        if self._connect(node, call.call_id, call.member) is None:
            return
        member = self.members[call.member]
        wanted = etcd_json.decode_watch(call.request.body())
        assert isinstance(wanted, standin.WatchRequest)
        watch, response = standin.Watch.create(wanted, member.store)
        node.frame(call.call_id, member.encode_watch(response))
        self.watchers[call.member].append(Watcher(node, call.call_id, watch))
        self._serve(call.member)

    def _connect(self, node: "Node", call: int, member: str) -> Mode | None:
        """The member's mode if it answers; otherwise the call fails as that mode has it."""
        self.connects.append((self.loop.now, member))
        mode = self.modes[member]
        if mode is Mode.REFUSES_CONNECTION:
            node.fail(call, FailureKind.UNREACHABLE, LATENCY_S)
        elif mode is Mode.NO_ROUTE:
            node.fail(call, FailureKind.UNREACHABLE, CONNECT_TIMEOUT_S)
        elif mode is Mode.SILENT:
            node.fail(call, FailureKind.SILENT, ANSWER_TIMEOUT_S)
        else:
            return mode
        return None

    def forget(self, node: "Node", call: int) -> None:
        for name, watchers in self.watchers.items():
            self.watchers[name] = [w for w in watchers if (w.node, w.call) != (node, call)]


def accept_all(items: Mapping[str, Any]) -> str:
    return ""


@dataclass(slots=True)
class Incoming:
    """What a call still has to read."""

    member: str
    is_watch: bool
    waiting: list[bytes] = field(default_factory=list)
    status: int = 200
    read: int = 0
    """Bytes of the first of them."""
    reading: bool = False


class Node:
    """One follower and what carries out its actions, in virtual time."""

    def __init__(
        self,
        cluster: Cluster,
        seed: int = 0,
        held: ResumeState | None = None,
        check: Callable[[Mapping[str, Any]], str] = accept_all,
        bytes_per_s: float = BYTES_PER_S,
    ) -> None:
        self.loop, self.cluster, self.check = cluster.loop, cluster, check
        self.budget = ByteBudget(bytes_per_s, self.loop.now)
        self.follower = SettingsFollower(cluster.names, PREFIX, self.budget, seed, held, self.loop.now)
        self.counts: Counter[str] = Counter()
        self.logs: list[Log] = []
        self.in_force: list[tuple[float, int, dict[str, Any]]] = []
        self.asked: list[Action] = []
        self.asked_at: list[float] = []
        self.received: list[tuple[float, int]] = []
        self._calls: dict[int, Incoming] = {}
        self._wakes = 0
        self.loop.after(0.0, lambda: self.step([]))

    # ---- what a test looks at ----

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
    def pages(self) -> list[etcd.RangeRequest]:
        """The pages that were asked for."""
        ranges = [action.request for action in self.asked if isinstance(action, SendRangeRequest)]
        return [request for request in ranges if not request.newest_first]

    @property
    def snapshots(self) -> int:
        """How many first pages were asked for."""
        return sum(not page.revision for page in self.pages)

    @property
    def watches(self) -> list[OpenWatch]:
        return [action for action in self.asked if isinstance(action, OpenWatch)]

    def lines(self, event: str) -> list[Log]:
        return [line for line in self.logs if line.event == event]

    # ---- what members do ----

    def fail(self, call: int, kind: FailureKind, delay: float) -> None:
        self.loop.after(delay, lambda: self._fail(call, kind, kind.name))

    def answer(self, call: int, body: bytes, status: int) -> None:
        self.loop.after(LATENCY_S, lambda: self._incoming(call, body, status))

    def frame(self, call: int, frame: bytes) -> None:
        self.loop.after(LATENCY_S, lambda: self._incoming(call, frame, 200))

    # ---- carrying out ----

    def step(self, events: list[Event]) -> None:
        for action in self.follower.step(self.loop.now, events):
            self._carry_out(action)

    def _carry_out(self, action: Action) -> None:
        match action:
            case SendRangeRequest(call, member, request):
                self._ask(action, Incoming(member, False), call, len(request.body()))
                self.cluster.ask_range(self, action)
            case OpenWatch(call, member, request):
                self._ask(action, Incoming(member, True), call, len(request.body()))
                self.cluster.open_watch(self, action)
            case CancelCall(call):
                self._calls.pop(call, None)
                self.cluster.forget(self, call)
            case ProposeDocument(revision, _, items):
                self._propose(revision, dict(items))
            case WakeAt(at):
                self._wakes += 1
                wake = self._wakes
                if at - self.loop.now < 1e6:
                    self.loop.after(at - self.loop.now, lambda: self._wake(wake))
            case Log():
                self.logs.append(action)
            case IncrementCounter(name, amount):
                self.counts[name] += amount

    def _ask(self, action: Action, incoming: Incoming, call: int, size: int) -> None:
        self.asked.append(action)
        self.asked_at.append(self.loop.now)
        self._spend(size + HEAD_BYTES)
        self._calls[call] = incoming

    def _spend(self, size: int) -> None:
        self.budget.spend(self.loop.now, size)
        self.received.append((self.loop.now, size))

    def _wake(self, wake: int) -> None:
        if wake == self._wakes:
            self.step([])

    def _propose(self, revision: int, items: dict[str, Any]) -> None:
        reason = self.check(items)
        if reason:
            self.loop.after(0.0, lambda: self.step([DocumentRefused(revision, reason)]))
            return
        self.in_force.append((self.loop.now, revision, items))
        self.loop.after(0.0, lambda: self.step([DocumentAccepted(revision)]))

    def _fail(self, call: int, kind: FailureKind, reason: str) -> None:
        if self._calls.pop(call, None) is not None:
            self.cluster.forget(self, call)
            self.step([CallFailed(call, kind, reason)])

    def _incoming(self, call: int, data: bytes, status: int) -> None:
        incoming = self._calls.get(call)
        if incoming is not None:
            incoming.status = status
            incoming.waiting.append(data)
            if not incoming.reading:
                incoming.reading = True
                self._read(call)

    def _read(self, call: int) -> None:
        """Read a piece as soon as the budget allows."""
        incoming = self._calls.get(call)
        if incoming is None:
            return
        if not incoming.waiting:
            incoming.reading = False
            return
        delay = self.budget.delay(self.loop.now)
        if delay:
            self.loop.after(delay, lambda: self._read(call))
            return
        data = incoming.waiting[0]
        piece = min(READ_CHUNK_BYTES, len(data) - incoming.read)
        self._spend(piece)
        incoming.read += piece
        if incoming.read > (MAX_FRAME_BYTES if incoming.is_watch else MAX_RESPONSE_BYTES):
            self._fail(call, FailureKind.TOO_LARGE, "the answer is too long")
        elif incoming.read < len(data):
            self.loop.after(0.0, lambda: self._read(call))
            if incoming.is_watch:
                self.step([FrameProgress(call, incoming.read)])
        else:
            incoming.waiting.pop(0)
            incoming.read = 0
            self.loop.after(0.0, lambda: self._read(call))
            self._whole(call, incoming, data)

    def _whole(self, call: int, incoming: Incoming, data: bytes) -> None:
        try:
            if incoming.is_watch:
                self.step(
                    [FrameProgress(call, 0), WatchResponseReceived(call, etcd.parse_watch_response(data))]
                )
                return
            answer = etcd.parse_range_response(incoming.status, data)
            del self._calls[call]
            self.step([RangeResponseReceived(call, answer)])
        except etcd.GatewayError as error:
            kinds = {
                etcd.ErrorKind.COMPACTED: FailureKind.COMPACTED,
                etcd.ErrorKind.REFUSED: FailureKind.REFUSED,
                etcd.ErrorKind.MALFORMED: FailureKind.MALFORMED,
            }
            self._fail(call, kinds[error.kind], str(error))
