"""A cluster and nodes that follow it, in virtual time: `Follower` with members that behave as a test says.

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
from irisstack.dynamic_settings.budget import PIECE_BYTES, ByteBudget
from irisstack.dynamic_settings.decisions import (
    ANSWER_TIMEOUT_S,
    CONNECT_TIMEOUT_S,
    MAX_ANSWER_BYTES,
    MAX_FRAME_BYTES,
    Follower,
    Held,
)
from irisstack.dynamic_settings.events import (
    Action,
    AskRange,
    CallFailed,
    Count,
    DocumentAccepted,
    DocumentRefused,
    EndCall,
    Event,
    FailureKind,
    FrameProgress,
    Log,
    OpenWatch,
    ProposeDocument,
    RangeAnswered,
    WakeAt,
    WatchAnswered,
)

PREFIX = b"/irisstack/settings/"
CLUSTER = 77
LATENCY_S = 0.005
HEAD_BYTES = 200
"""What the heads of a request and its answer come to."""
BYTES_PER_S = 11264.0


def encoded(data: bytes) -> str:
    return base64.b64encode(data).decode()


def header(revision: int, cluster: int = CLUSTER, member: int = 1) -> dict[str, str]:
    return {
        "cluster_id": str(cluster),
        "member_id": str(member),
        "revision": str(revision),
        "raft_term": "2",
    }


@dataclass(slots=True, frozen=True)
class Change:
    """One key's new value, `None` for a deletion."""

    key: bytes
    value: bytes | None


class Store:
    """Keys, their history and its compaction."""

    def __init__(self) -> None:
        self.revision = 1
        self.compact_revision = 0
        self.history: list[tuple[int, list[Change]]] = []

    def commit(self, changes: list[Change]) -> int:
        self.revision += 1
        self.history.append((self.revision, changes))
        return self.revision

    def at(self, revision: int) -> dict[bytes, tuple[bytes, int]]:
        """Each key's value and the revision of its last change."""
        items: dict[bytes, tuple[bytes, int]] = {}
        for changed_at, changes in self.history:
            if changed_at > revision:
                break
            for change in changes:
                if change.value is None:
                    items.pop(change.key, None)
                else:
                    items[change.key] = (change.value, changed_at)
        return items


def kv(key: bytes, value: bytes | None, revision: int, keys_only: bool = False) -> dict[str, Any]:
    made: dict[str, Any] = {"key": encoded(key), "create_revision": str(revision)}
    made |= {"mod_revision": str(revision), "version": "1"}
    if value and not keys_only:
        made["value"] = encoded(value)
    return made


def range_answer(store: Store, request: etcd.RangeRequest, cluster: int = CLUSTER) -> bytes:
    """What a healthy member answers."""
    revision = request.revision or store.revision
    if revision < store.compact_revision:
        text = "etcdserver: mvcc: required revision has been compacted"
        return json.dumps({"error": text, "code": 11, "message": text}).encode()
    found = [(k, *v) for k, v in store.at(revision).items() if request.key <= k < request.range_end]
    found.sort(key=lambda item: -item[2] if request.newest_first else 0)
    if not request.newest_first:
        found.sort()
    page = found[: request.limit or None]
    raw: dict[str, Any] = {"header": header(store.revision, cluster)}
    if page:
        raw["kvs"] = [kv(key, value, changed, request.keys_only) for key, value, changed in page]
    if len(page) < len(found):
        raw["more"] = True
    if found:
        raw["count"] = str(len(found))
    return json.dumps(raw, separators=(",", ":")).encode()


def event_of(change: Change, revision: int) -> dict[str, Any]:
    if change.value is None:
        return {"type": "DELETE", "kv": {"key": encoded(change.key), "mod_revision": str(revision)}}
    return {"kv": kv(change.key, change.value, revision)}


def changes_frame(revisions: list[tuple[int, list[Change]]], newest: int) -> bytes:
    events = [event_of(change, revision) for revision, changes in revisions for change in changes]
    raw = {"result": {"header": header(newest), "events": events}}
    return json.dumps(raw, separators=(",", ":")).encode()


def created_frame(revision: int, cluster: int = CLUSTER) -> bytes:
    return json.dumps({"result": {"header": header(revision, cluster), "created": True}}).encode()


def compacted_frame(compact_revision: int) -> bytes:
    """The end of a watch whose history is gone; its header tells no revision, as in etcd."""
    told = header(0)
    del told["revision"]
    result = {"header": told, "canceled": True, "compact_revision": str(compact_revision)}
    return json.dumps({"result": result}).encode()


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


@dataclass(slots=True)
class Watcher:
    """A watch that a member serves."""

    node: "Node"
    call: int
    next_revision: int


class Cluster:
    """The members of one store."""

    def __init__(self, loop: Loop, size: int = 7) -> None:
        self.loop = loop
        self.store = Store()
        self.modes = {f"10.0.0.{i}:2379": Mode.GOOD for i in range(1, size + 1)}
        self.watchers: dict[str, list[Watcher]] = {name: [] for name in self.modes}
        self.connects: list[tuple[float, str]] = []

    @property
    def names(self) -> list[str]:
        return list(self.modes)

    def put(self, **values: Any) -> int:
        """One revision that sets paths to JSON values; `__` stands for a slash."""
        texts = {name.replace("__", "/"): json.dumps(value) for name, value in values.items()}
        return self.write({path: text.encode() for path, text in texts.items()})

    def write(self, values: Mapping[str, bytes | None]) -> int:
        """One revision that sets paths to bytes, or deletes them."""
        revision = self.store.commit([Change(PREFIX + p.encode(), v) for p, v in values.items()])
        for name in self.modes:
            self._serve(name)
        return revision

    def compact(self, revision: int) -> None:
        self.store.compact_revision = revision

    def set_mode(self, name: str, mode: Mode) -> None:
        """A member behaves otherwise from now on; one that ends takes its connections with it."""
        self.modes[name] = mode
        if mode is Mode.REFUSES_CONNECTION:
            for watcher in self.watchers[name]:
                watcher.node.fail(watcher.call, FailureKind.ENDED, LATENCY_S)
            self.watchers[name] = []
        if mode is Mode.GOOD:
            self._serve(name)

    def set_all(self, mode: Mode) -> None:
        for name in self.modes:
            self.set_mode(name, mode)

    def _serve(self, name: str) -> None:
        if self.modes[name] not in (Mode.GOOD, Mode.SAYS_NEWER):
            return
        for watcher in self.watchers[name]:
            due = [entry for entry in self.store.history if entry[0] >= watcher.next_revision]
            if due:
                watcher.next_revision = due[-1][0] + 1
                watcher.node.frame(watcher.call, changes_frame(due, self.store.revision))

    def ask_range(self, node: "Node", call: AskRange) -> None:
        mode = self._connect(node, call.call, call.member)
        if mode is None:
            return
        if mode is Mode.NO_LEADER:
            node.fail(call.call, FailureKind.REFUSED, LATENCY_S)
            return
        store = self.store
        if mode is Mode.SAYS_OLDER:
            store = Store()
        body = range_answer(store, call.request, 99 if mode is Mode.OTHER_CLUSTER else CLUSTER)
        if mode is Mode.SAYS_NEWER and call.request.newest_first:
            raw = json.loads(body)
            raw["header"]["revision"] = str(store.revision + 5)
            raw["kvs"] = [kv(PREFIX + b"x", b"", store.revision + 5)]
            body = json.dumps(raw).encode()
        node.answer(call.call, body)

    def open_watch(self, node: "Node", call: OpenWatch) -> None:
        mode = self._connect(node, call.call, call.member)
        if mode is None:
            return
        start = call.request.start_revision
        cluster = 99 if mode is Mode.OTHER_CLUSTER else CLUSTER
        node.frame(call.call, created_frame(self.store.revision, cluster))
        if start < self.store.compact_revision:
            node.frame(call.call, compacted_frame(self.store.compact_revision))
            return
        self.watchers[call.member].append(Watcher(node, call.call, start))
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
    read: int = 0
    """Bytes of the first of them."""
    reading: bool = False


class Node:
    """One follower and what carries out its actions, in virtual time."""

    def __init__(
        self,
        cluster: Cluster,
        seed: int = 0,
        held: Held | None = None,
        check: Callable[[Mapping[str, Any]], str] = accept_all,
        bytes_per_s: float = BYTES_PER_S,
    ) -> None:
        self.loop, self.cluster, self.check = cluster.loop, cluster, check
        self.budget = ByteBudget(bytes_per_s, self.loop.now)
        self.follower = Follower(cluster.names, PREFIX, self.budget, seed, held, self.loop.now)
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
        ranges = [action.request for action in self.asked if isinstance(action, AskRange)]
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

    def answer(self, call: int, body: bytes) -> None:
        self.loop.after(LATENCY_S, lambda: self._incoming(call, body))

    frame = answer

    # ---- carrying out ----

    def step(self, events: list[Event]) -> None:
        for action in self.follower.step(self.loop.now, events):
            self._carry_out(action)

    def _carry_out(self, action: Action) -> None:
        match action:
            case AskRange(call, member, request):
                self._ask(action, Incoming(member, False), call, len(request.body()))
                self.cluster.ask_range(self, action)
            case OpenWatch(call, member, request):
                self._ask(action, Incoming(member, True), call, len(request.body()))
                self.cluster.open_watch(self, action)
            case EndCall(call):
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
            case Count(name, amount):
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

    def _incoming(self, call: int, data: bytes) -> None:
        incoming = self._calls.get(call)
        if incoming is not None:
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
        piece = min(PIECE_BYTES, len(data) - incoming.read)
        self._spend(piece)
        incoming.read += piece
        if incoming.read > (MAX_FRAME_BYTES if incoming.is_watch else MAX_ANSWER_BYTES):
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
                self.step([FrameProgress(call, 0), WatchAnswered(call, etcd.read_watch_answer(data))])
                return
            answer = etcd.read_range_answer(200, data)
            del self._calls[call]
            self.step([RangeAnswered(call, answer)])
        except etcd.GatewayError as error:
            kinds = {
                etcd.ErrorKind.COMPACTED: FailureKind.COMPACTED,
                etcd.ErrorKind.REFUSED: FailureKind.REFUSED,
                etcd.ErrorKind.MALFORMED: FailureKind.MALFORMED,
            }
            self._fail(call, kinds[error.kind], str(error))
