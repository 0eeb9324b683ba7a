"""A simulated etcd cluster with fault injection for tests and experiments; no I/O, no clock.

Replication is instantaneous: all members with a quorum share one store. A member that loses its quorum keeps
a snapshot of the store from that moment and serves serializable reads and watches from it, as etcd does.
"""

from collections.abc import Callable, Collection, Iterable
from dataclasses import dataclass, field
from enum import Enum, auto

from irisstack.lab.standins import etcd, etcd_json

CLUSTER_ID = 0x6B1C_51E7_0A11_D0C5
MEMBER_ID_STEP = 0x0101_0101_0101_0101
"""Difference between the ids of consecutive members."""


class Availability(Enum):
    """How a member reacts to clients."""

    UP = auto()
    DOWN = auto()
    """New connections are refused and open ones are reset."""
    UNRESPONSIVE = auto()
    """Connections are accepted but no request is answered, as by a process that hangs."""
    TRICKLING = auto()
    """Requests are answered, but only a few bytes at a time."""


@dataclass(slots=True, eq=False)
class Member:
    """One member of the cluster and the faults injected into it."""

    number: int
    cluster: "Cluster"
    availability: Availability = Availability.UP
    watches_stalled: bool = False
    """Watches are created but send no events and no progress notifications."""
    cluster_id: int | None = None
    """Overrides the cluster id in response headers."""
    reported_revision: int | None = None
    """Overrides the store's revision in response headers."""
    _isolated_store: etcd.Store | None = field(default=None)
    _encoded_watch: tuple[tuple[etcd.WatchResponse, bool, etcd_json.Header], bytes] | None = field(
        default=None
    )
    _range_cache: dict[bytes, bytes] = field(default_factory=dict)
    _range_cache_key: tuple[int, int, etcd_json.Header] | None = field(default=None)

    @property
    def has_quorum(self) -> bool:
        """Whether this member belongs to a majority of the cluster."""
        return self._isolated_store is None

    @property
    def store(self) -> etcd.Store:
        """The store this member serves: the cluster's, or its own snapshot while it has no quorum."""
        return self.cluster.store if self._isolated_store is None else self._isolated_store

    def header(self, revision: int) -> etcd_json.Header:
        """The response header for a revision of the store."""
        cluster = self.cluster
        return etcd_json.Header(
            cluster.cluster_id if self.cluster_id is None else self.cluster_id,
            (self.number + 1) * MEMBER_ID_STEP,
            revision if self.reported_revision is None else self.reported_revision,
            cluster.term,
        )

    def execute(self, request: etcd.Request) -> etcd.Response:
        """Execute a request; raises `EtcdError` if it is rejected."""
        serializable = isinstance(request, etcd.RangeRequest) and request.serializable
        if not self.has_quorum and not serializable:
            raise etcd.NoLeaderError
        revision_before = self.store.revision
        response = self.store.execute(request)
        if self.store.revision != revision_before or isinstance(request, etcd.CompactionRequest):
            self.cluster.notify_listeners()
        return response

    def handle_request(self, path: str, body: bytes) -> tuple[int, bytes]:
        """Status and body of the response to any request other than a watch."""
        cached = self._valid_range_cache()
        if path == etcd_json.RANGE_PATH and body in cached:
            return 200, cached[body]
        try:
            request = etcd_json.decode_request(path, body)
            if request is None:
                return 404, b'{"error":"Not Found","code":5,"message":"Not Found"}'
            response = self.execute(request)
        except etcd.EtcdError as error:
            return etcd_json.encode_error(error)
        response_body = etcd_json.encode_response(self.header(self.store.revision), response)
        if path == etcd_json.RANGE_PATH:
            cached[body] = response_body
        return 200, response_body

    def _valid_range_cache(self) -> dict[bytes, bytes]:
        """Cached range responses by request body, since many nodes send the same request.

        The cache is cleared when the store or the response header has changed.
        """
        cache_key = id(self.store), self.store.compact_revision, self.header(self.store.revision)
        if cache_key != self._range_cache_key:
            self._range_cache_key = cache_key
            self._range_cache.clear()
        return self._range_cache

    def encode_watch(self, response: etcd.WatchResponse, *, prev_kv: bool = False) -> bytes:
        """Encode one object of a watch stream; the last one is cached, since many watches send the same."""
        key = response, prev_kv, self.header(response.revision)
        if self._encoded_watch is None or self._encoded_watch[0] != key:
            self._encoded_watch = key, etcd_json.encode_watch(key[2], response, prev_kv=prev_kv)
        return self._encoded_watch[1]

    def lose_quorum(self) -> None:
        """Continue with a snapshot of the store."""
        if self._isolated_store is None:
            self._isolated_store = self.cluster.store.copy()

    def regain_quorum(self) -> None:
        """Serve the cluster's store again."""
        self._isolated_store = None


class Cluster:
    """The members, their store and the network between them."""

    def __init__(self, size: int = 1, cluster_id: int = CLUSTER_ID) -> None:
        self.cluster_id = cluster_id
        self.term = 2
        self.store = etcd.Store()
        self.members = tuple(Member(number, self) for number in range(size))
        self.listeners: list[Callable[[], None]] = []
        """Called after every change of the store, of a member's availability or of the network."""
        self._groups: tuple[frozenset[int], ...] = (frozenset(range(size)),)
        """Numbers of the members that reach one another; more than one group means a network partition."""

    def notify_listeners(self) -> None:
        for listener in self.listeners:
            listener()

    # ---- writes, executed by a member that has a quorum; `NoLeaderError` if there is none ----

    def put(self, key: bytes, value: bytes) -> int:
        """Write a key; returns the revision."""
        return self._execute(etcd.PutRequest(key, value))

    def delete(self, key: bytes, range_end: bytes = b"") -> int:
        """Delete the keys of a range; returns the revision."""
        return self._execute(etcd.DeleteRangeRequest(key, range_end))

    def put_all(self, items: Iterable[tuple[bytes, bytes]]) -> int:
        """Write several keys in one transaction; returns the revision."""
        puts = tuple(etcd.PutRequest(key, value) for key, value in items)
        return self._execute(etcd.TxnRequest((), puts, ()))

    def compact(self, revision: int) -> None:
        """Drop the history before a revision."""
        self._execute(etcd.CompactionRequest(revision))

    def _execute(self, request: etcd.Request) -> int:
        member = next((member for member in self.members if member.has_quorum), None)
        if member is None:
            raise etcd.NoLeaderError
        member.execute(request)
        return self.store.revision

    # ---- faults ----

    def set_availability(self, number: int, availability: Availability) -> None:
        """Set a member's availability; one that is down or unresponsive does not count towards a quorum."""
        self.members[number].availability = availability
        self._update_quorums()

    def partition(self, *groups: Collection[int]) -> None:
        """Partition the network into groups of members; each member in no group is isolated."""
        named = tuple(frozenset(group) for group in groups)
        isolated = set(range(len(self.members))).difference(*named)
        self._groups = named + tuple(frozenset({number}) for number in isolated)
        self._update_quorums()

    def heal(self) -> None:
        """Remove all network partitions."""
        self.partition(range(len(self.members)))

    def restore(self, backup: etcd.Store, cluster_id: int | None = None) -> None:
        """Restore the store from a backup; its revision may be lower than revisions that clients have seen.

        `etcdctl snapshot restore` creates a cluster with another id; other ways to restore keep the id.
        """
        self.store = backup.copy()
        if cluster_id is not None:
            self.cluster_id = cluster_id
        for member in self.members:
            member.regain_quorum()
        self._update_quorums()

    def _update_quorums(self) -> None:
        """Recompute which members have a quorum; members that regain it drop their snapshot."""
        majority = len(self.members) // 2 + 1
        for group in self._groups:
            available = [
                member_number
                for member_number in group
                if self.members[member_number].availability in (Availability.UP, Availability.TRICKLING)
            ]
            for number in group:
                if len(available) >= majority:
                    self.members[number].regain_quorum()
                else:
                    self.members[number].lose_quorum()
        self.term += 1
        self.notify_listeners()
