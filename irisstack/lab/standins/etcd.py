"""An in-memory key-value store with the semantics of etcd's v3 API; it performs no I/O and reads no clock.

Every write creates a new revision of the whole store. Old revisions can be read and watched until a
compaction drops them. Requests and responses are named as in etcd's `rpc.proto`; `etcd_json` converts them
from and to JSON.
"""

from bisect import bisect_left, bisect_right, insort
from collections.abc import Iterator, Sequence
from dataclasses import dataclass, field
from enum import IntEnum

UNBOUNDED_END = b"\0"
"""The range end that stands for no upper bound: all keys from the start of the range on."""
FIRST_REVISION = 1
"""The revision of an empty store, before the first write."""
WATCH_BATCH_REVISIONS = 1000
"""Maximum number of revisions in one response to a watch that is catching up, as in etcd."""


class Code(IntEnum):
    """The gRPC status codes used in the gateway's error responses."""

    INVALID_ARGUMENT = 3
    OUT_OF_RANGE = 11
    UNIMPLEMENTED = 12
    UNAVAILABLE = 14


class EtcdError(Exception):
    """A request that etcd rejects."""

    def __init__(self, code: Code, message: str) -> None:
        super().__init__(message)
        self.code = code
        self.message = message


class InvalidArgumentError(EtcdError):
    """The request is malformed or contradicts itself."""

    def __init__(self, message: str) -> None:
        super().__init__(Code.INVALID_ARGUMENT, message)


class CompactedError(EtcdError):
    """The requested revision has been compacted."""

    def __init__(self) -> None:
        super().__init__(Code.OUT_OF_RANGE, "etcdserver: mvcc: required revision has been compacted")


class FutureRevisionError(EtcdError):
    """The requested revision does not exist yet."""

    def __init__(self) -> None:
        super().__init__(Code.OUT_OF_RANGE, "etcdserver: mvcc: required revision is a future revision")


class NoLeaderError(EtcdError):
    """The member has no quorum."""

    def __init__(self) -> None:
        super().__init__(Code.UNAVAILABLE, "etcdserver: no leader")


class SortOrder(IntEnum):
    NONE = 0
    ASCEND = 1
    DESCEND = 2


class SortTarget(IntEnum):
    KEY = 0
    VERSION = 1
    CREATE = 2
    MOD = 3
    VALUE = 4


class CompareResult(IntEnum):
    EQUAL = 0
    GREATER = 1
    LESS = 2
    NOT_EQUAL = 3


class CompareTarget(IntEnum):
    VERSION = 0
    CREATE = 1
    MOD = 2
    VALUE = 3


class EventType(IntEnum):
    PUT = 0
    DELETE = 1


@dataclass(slots=True, frozen=True)
class KeyValue:
    """One version of a key; `version` 0 marks a tombstone, as in a DELETE event."""

    key: bytes
    value: bytes
    create_revision: int
    mod_revision: int
    version: int

    @property
    def deleted(self) -> bool:
        return self.version == 0


@dataclass(slots=True, frozen=True)
class Event:
    """One change of one key."""

    type: EventType
    kv: KeyValue
    prev_kv: KeyValue | None


@dataclass(slots=True, frozen=True)
class Change:
    """All events of one revision."""

    revision: int
    events: tuple[Event, ...]


@dataclass(slots=True, frozen=True)
class RangeRequest:
    """Reads the keys from `key` up to but not including `range_end`; only `key` if `range_end` is empty."""

    key: bytes
    range_end: bytes = b""
    limit: int = 0
    revision: int = 0
    sort_order: SortOrder = SortOrder.NONE
    sort_target: SortTarget = SortTarget.KEY
    serializable: bool = False
    keys_only: bool = False
    count_only: bool = False


@dataclass(slots=True, frozen=True)
class PutRequest:
    key: bytes
    value: bytes
    prev_kv: bool = False


@dataclass(slots=True, frozen=True)
class DeleteRangeRequest:
    key: bytes
    range_end: bytes = b""
    prev_kv: bool = False


@dataclass(slots=True, frozen=True)
class Compare:
    """A condition of a transaction; it has to hold for every key of the range."""

    key: bytes
    range_end: bytes
    target: CompareTarget
    result: CompareResult
    operand: int | bytes


@dataclass(slots=True, frozen=True)
class TxnRequest:
    """Executes `success` atomically if every comparison holds, else `failure`."""

    compare: tuple[Compare, ...]
    success: "tuple[Operation, ...]"
    failure: "tuple[Operation, ...]"


@dataclass(slots=True, frozen=True)
class CompactionRequest:
    revision: int


@dataclass(slots=True, frozen=True)
class WatchRequest:
    """Watches a range from `start_revision` on, or from the next change if it is 0."""

    key: bytes
    range_end: bytes = b""
    start_revision: int = 0
    progress_notify: bool = False
    prev_kv: bool = False


@dataclass(slots=True, frozen=True)
class RangeResponse:
    kvs: tuple[KeyValue, ...]
    more: bool
    count: int


@dataclass(slots=True, frozen=True)
class PutResponse:
    prev_kv: KeyValue | None


@dataclass(slots=True, frozen=True)
class DeleteRangeResponse:
    deleted: int
    prev_kvs: tuple[KeyValue, ...]


@dataclass(slots=True, frozen=True)
class TxnResponse:
    succeeded: bool
    responses: "tuple[OperationResponse, ...]"


@dataclass(slots=True, frozen=True)
class CompactionResponse:
    """Acknowledges a compaction."""


Operation = RangeRequest | PutRequest | DeleteRangeRequest | TxnRequest
OperationResponse = RangeResponse | PutResponse | DeleteRangeResponse | TxnResponse
Request = Operation | CompactionRequest
Response = OperationResponse | CompactionResponse


def in_range(key: bytes, start: bytes, end: bytes) -> bool:
    """Whether a key lies in a range; `end` follows etcd's `range_end`."""
    if not end:
        return key == start
    return key >= start and (end == UNBOUNDED_END or key < end)


class Store:
    """The versions of all keys that no compaction has dropped."""

    def __init__(self) -> None:
        self.revision = FIRST_REVISION
        self.compact_revision = 0
        self._sorted_keys: list[bytes] = []
        self._versions: dict[bytes, list[KeyValue]] = {}
        self._changes: list[Change] = []

    def copy(self) -> "Store":
        """A snapshot of the store, used as a backup or as the data of a member that loses its quorum."""
        copied = Store()
        copied.revision, copied.compact_revision = self.revision, self.compact_revision
        copied._sorted_keys = list(self._sorted_keys)
        copied._versions = {key: list(versions) for key, versions in self._versions.items()}
        copied._changes = list(self._changes)
        return copied

    def execute(self, request: Request) -> Response:
        """Execute one request; raises `EtcdError` and changes nothing if the request is rejected."""
        if isinstance(request, CompactionRequest):
            return self._compact(request.revision)
        self._validate(request, set())
        events: list[Event] = []
        response = self._apply(request, self.revision + 1, events)
        if events:
            self.revision += 1
            self._changes.append(Change(self.revision, tuple(events)))
        return response

    def changes_from(self, revision: int) -> Sequence[Change]:
        """The changes from `revision` on, at most `WATCH_BATCH_REVISIONS`.

        Raises `CompactedError` if the revision has been compacted.
        """
        if revision < self.compact_revision:
            raise CompactedError
        first = bisect_left(self._changes, revision, key=lambda change: change.revision)
        return self._changes[first : first + WATCH_BATCH_REVISIONS]

    # ---- requests ----

    def _validate(self, request: Operation, written_keys: set[bytes]) -> None:
        """Raise `EtcdError` for an operation that cannot be executed, before anything changes."""
        match request:
            case RangeRequest(revision=revision):
                if revision > self.revision:
                    raise FutureRevisionError
                if 0 < revision < self.compact_revision:
                    raise CompactedError
            case PutRequest(key=key):
                if not key:
                    raise InvalidArgumentError("etcdserver: key is not provided")
                if key in written_keys:
                    raise InvalidArgumentError("etcdserver: duplicate key given in txn request")
                written_keys.add(key)
            case TxnRequest(success=success, failure=failure):
                for branch in (success, failure):
                    branch_keys = set(written_keys)
                    for operation in branch:
                        self._validate(operation, branch_keys)

    def _apply(self, request: Operation, revision: int, events: list[Event]) -> OperationResponse:
        match request:
            case RangeRequest():
                return self._range(request)
            case PutRequest():
                return self._put(request, revision, events)
            case DeleteRangeRequest():
                return self._delete(request, revision, events)
            case TxnRequest():
                succeeded = all(self._is_satisfied(compare) for compare in request.compare)
                branch = request.success if succeeded else request.failure
                return TxnResponse(
                    succeeded, tuple(self._apply(operation, revision, events) for operation in branch)
                )

    def _range(self, request: RangeRequest) -> RangeResponse:
        found = list(self._iter_range(request.key, request.range_end, request.revision))
        count = len(found)
        if request.count_only:
            return RangeResponse((), False, count)
        if request.sort_order is not SortOrder.NONE:
            found.sort(
                key=lambda kv: _sort_key(kv, request.sort_target),
                reverse=request.sort_order is SortOrder.DESCEND,
            )
        if request.limit:
            found = found[: request.limit]
        if request.keys_only:
            found = [KeyValue(kv.key, b"", kv.create_revision, kv.mod_revision, kv.version) for kv in found]
        return RangeResponse(tuple(found), len(found) < count, count)

    def _put(self, request: PutRequest, revision: int, events: list[Event]) -> PutResponse:
        prev_kv = self._latest_version(request.key)
        if prev_kv is None:
            kv = KeyValue(request.key, request.value, revision, revision, 1)
        else:
            kv = KeyValue(request.key, request.value, prev_kv.create_revision, revision, prev_kv.version + 1)
        self._append_version(kv)
        events.append(Event(EventType.PUT, kv, prev_kv))
        return PutResponse(prev_kv if request.prev_kv else None)

    def _delete(self, request: DeleteRangeRequest, revision: int, events: list[Event]) -> DeleteRangeResponse:
        found = tuple(self._iter_range(request.key, request.range_end, 0))
        for prev_kv in found:
            tombstone = KeyValue(prev_kv.key, b"", 0, revision, 0)
            self._append_version(tombstone)
            events.append(Event(EventType.DELETE, tombstone, prev_kv))
        return DeleteRangeResponse(len(found), found if request.prev_kv else ())

    def _is_satisfied(self, compare: Compare) -> bool:
        if compare.range_end:
            return all(
                _key_satisfies(kv, compare) for kv in self._iter_range(compare.key, compare.range_end, 0)
            )
        kv = self._latest_version(compare.key)
        if kv is None:
            if compare.target is CompareTarget.VALUE:
                return False
            kv = KeyValue(compare.key, b"", 0, 0, 0)
        return _key_satisfies(kv, compare)

    def _compact(self, revision: int) -> CompactionResponse:
        if revision > self.revision:
            raise FutureRevisionError
        if revision <= self.compact_revision:
            raise CompactedError
        self.compact_revision = revision
        self._changes = [change for change in self._changes if change.revision >= revision]
        for key, versions in list(self._versions.items()):
            kept = versions[max(0, _count_versions_up_to(versions, revision) - 1) :]
            if kept[0].deleted and kept[0].mod_revision < revision:
                kept = kept[1:]
            if kept:
                self._versions[key] = kept
            else:
                del self._versions[key]
        self._sorted_keys = sorted(self._versions)
        return CompactionResponse()

    # ---- keys ----

    def _append_version(self, kv: KeyValue) -> None:
        versions = self._versions.get(kv.key)
        if versions is None:
            insort(self._sorted_keys, kv.key)
            self._versions[kv.key] = [kv]
        else:
            versions.append(kv)

    def _latest_version(self, key: bytes) -> KeyValue | None:
        versions = self._versions.get(key)
        return None if versions is None or versions[-1].deleted else versions[-1]

    def _iter_range(self, start: bytes, end: bytes, revision: int) -> Iterator[KeyValue]:
        """The keys of a range at `revision`; 0 stands for the latest revision."""
        for key in self._keys_in(start, end):
            versions = self._versions[key]
            count = len(versions) if not revision else _count_versions_up_to(versions, revision)
            if count and not versions[count - 1].deleted:
                yield versions[count - 1]

    def _keys_in(self, start: bytes, end: bytes) -> Sequence[bytes]:
        if not end:
            return [start] if start in self._versions else []
        first = bisect_left(self._sorted_keys, start)
        last = len(self._sorted_keys) if end == UNBOUNDED_END else bisect_left(self._sorted_keys, end)
        return self._sorted_keys[first:last]


def _count_versions_up_to(versions: Sequence[KeyValue], revision: int) -> int:
    """The number of versions of a key with a revision not above `revision`."""
    return bisect_right(versions, revision, key=lambda kv: kv.mod_revision)


def _sort_key(kv: KeyValue, target: SortTarget) -> int | bytes:
    match target:
        case SortTarget.KEY:
            return kv.key
        case SortTarget.VERSION:
            return kv.version
        case SortTarget.CREATE:
            return kv.create_revision
        case SortTarget.MOD:
            return kv.mod_revision
        case SortTarget.VALUE:
            return kv.value


def _key_satisfies(kv: KeyValue, compare: Compare) -> bool:
    match compare.target:
        case CompareTarget.VALUE:
            return _values_satisfy(kv.value, compare.operand, compare.result)
        case CompareTarget.VERSION:
            return _values_satisfy(kv.version, compare.operand, compare.result)
        case CompareTarget.CREATE:
            return _values_satisfy(kv.create_revision, compare.operand, compare.result)
        case CompareTarget.MOD:
            return _values_satisfy(kv.mod_revision, compare.operand, compare.result)


def _values_satisfy(left: int | bytes, right: int | bytes, result: CompareResult) -> bool:
    if isinstance(left, bytes) != isinstance(right, bytes):
        raise InvalidArgumentError("etcdserver: a comparison of unlike values")
    order = (left > right) - (left < right)  # type: ignore[operator]  # both bytes or both int, as checked above
    match result:
        case CompareResult.EQUAL:
            return order == 0
        case CompareResult.GREATER:
            return order > 0
        case CompareResult.LESS:
            return order < 0
        case CompareResult.NOT_EQUAL:
            return order != 0


@dataclass(slots=True, frozen=True)
class WatchResponse:
    """One response of a watch; `revision` is the header's revision, 0 where etcd omits it."""

    revision: int
    created: bool = False
    canceled: bool = False
    compact_revision: int = 0
    events: tuple[Event, ...] = ()


@dataclass(slots=True, eq=False)
class Watch:
    """A cursor over the changes of a store; the caller decides when to read the next response."""

    request: WatchRequest
    next_revision: int
    canceled: bool = field(default=False)

    @classmethod
    def create(cls, request: WatchRequest, store: Store) -> tuple["Watch", WatchResponse]:
        """Create a watch; returns it with the response that confirms its creation."""
        next_revision = request.start_revision or store.revision + 1
        return cls(request, next_revision), WatchResponse(store.revision, created=True)

    def read(self, store: Store) -> WatchResponse | None:
        """The next response, or `None` if there are no new events.

        A compaction beyond the cursor cancels the watch. As in etcd, the header of that response has no
        revision.
        """
        if self.canceled:
            return None
        while self.next_revision <= store.revision:
            try:
                changes = store.changes_from(self.next_revision)
            except CompactedError:
                self.canceled = True
                return WatchResponse(0, canceled=True, compact_revision=store.compact_revision)
            if not changes:
                self.next_revision = store.revision + 1
                return None
            self.next_revision = changes[-1].revision + 1
            events = tuple(
                event for change in changes for event in change.events if self._in_watched_range(event)
            )
            if events:
                return WatchResponse(store.revision, events=events)
        return None

    def progress(self, store: Store) -> WatchResponse | None:
        """A progress notification: all events up to its revision were sent; `None` if the watch is behind."""
        if self.canceled or self.next_revision <= store.revision:
            return None
        return WatchResponse(store.revision)

    def _in_watched_range(self, event: Event) -> bool:
        return in_range(event.kv.key, self.request.key, self.request.range_end)
