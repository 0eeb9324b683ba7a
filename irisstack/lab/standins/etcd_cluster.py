"""A cluster of members over one store, with the faults that tests and plays bring about; no I/O, no clock.

Replication takes no time: all members with a quorum share one store. One without a quorum goes on with a copy
as it was at that moment, which it serves to serializable reads and watches, as etcd does.
"""

from collections.abc import Callable, Collection, Iterable
from dataclasses import dataclass, field
from enum import Enum, auto

from irisstack.lab.standins import etcd, etcd_json

CLUSTER_ID = 0x6B1C_51E7_0A11_D0C5
MEMBER_ID_STEP = 0x0101_0101_0101_0101


class Availability(Enum):
    """What a client that connects to a member meets."""

    UP = auto()
    DOWN = auto()
    """Connections are refused, those that there were are reset."""
    UNRESPONSIVE = auto()
    """Connections are taken, and nothing is ever answered: the process hangs."""
    TRICKLING = auto()
    """All is answered, a few bytes at a time."""


@dataclass(slots=True, eq=False)
class Member:
    """One member: its place in the cluster and what is wrong with it."""

    number: int
    cluster: "Cluster"
    availability: Availability = Availability.UP
    watches_stalled: bool = False
    """Watches are taken and never say anything."""
    cluster_id: int | None = None
    """The id that the headers report in place of the cluster's."""
    reported_revision: int | None = None
    """A revision that the headers report in place of the store's."""
    _isolated_store: etcd.Store | None = field(default=None)
    _encoded_watch: tuple[tuple[etcd.WatchResponse, bool, etcd_json.Header], bytes] | None = field(
        default=None
    )
    _range_cache: dict[bytes, bytes] = field(default_factory=dict)
    _range_cache_key: tuple[int, int, etcd_json.Header] | None = field(default=None)

    @property
    def has_quorum(self) -> bool:
        """Whether this member reaches a majority of the cluster."""
        return self._isolated_store is None

    @property
    def store(self) -> etcd.Store:
        """What this member knows."""
        return self.cluster.store if self._isolated_store is None else self._isolated_store

    def header(self, revision: int) -> etcd_json.Header:
        """The header of an answer at that revision of the store."""
        cluster = self.cluster
        return etcd_json.Header(
            cluster.cluster_id if self.cluster_id is None else self.cluster_id,
            (self.number + 1) * MEMBER_ID_STEP,
            revision if self.reported_revision is None else self.reported_revision,
            cluster.term,
        )

    def execute(self, request: etcd.Request) -> etcd.Response:
        """Carry out a request; raises `EtcdError`."""
        serializable = isinstance(request, etcd.RangeRequest) and request.serializable
        if not self.has_quorum and not serializable:
            raise etcd.NoLeaderError
        revision_before = self.store.revision
        response = self.store.execute(request)
        if self.store.revision != revision_before or isinstance(request, etcd.CompactionRequest):
            self.cluster.notify_listeners()
        return response

    def handle_request(self, path: str, body: bytes) -> tuple[int, bytes]:
        """Status and body of the answer to a request that is no watch."""
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
        """Answers by body, as long as nothing has changed: many nodes ask the same."""
        cache_key = id(self.store), self.store.compact_revision, self.header(self.store.revision)
        if cache_key != self._range_cache_key:
            self._range_cache_key = cache_key
            self._range_cache.clear()
        return self._range_cache

    def encode_watch(self, response: etcd.WatchResponse, *, prev_kv: bool = False) -> bytes:
        """One object of a watch's stream; cached, since many watches send the same."""
        key = response, prev_kv, self.header(response.revision)
        if self._encoded_watch is None or self._encoded_watch[0] != key:
            self._encoded_watch = key, etcd_json.encode_watch(key[2], response, prev_kv=prev_kv)
        return self._encoded_watch[1]

    def lose_quorum(self) -> None:
        """Go on with a copy of the store as it is now."""
        if self._isolated_store is None:
            self._isolated_store = self.cluster.store.copy()

    def regain_quorum(self) -> None:
        """Share the cluster's store again."""
        self._isolated_store = None


class Cluster:
    """Members over one store."""

    def __init__(self, size: int = 1, cluster_id: int = CLUSTER_ID) -> None:
        self.cluster_id = cluster_id
        self.term = 2
        self.store = etcd.Store()
        self.members = tuple(Member(number, self) for number in range(size))
        self.listeners: list[Callable[[], None]] = []
        """Called after every change of the store or of what members can reach."""
        self._groups: tuple[frozenset[int], ...] = (frozenset(range(size)),)

    def notify_listeners(self) -> None:
        """Call all listeners."""
        for listener in self.listeners:
            listener()

    # ---- writes, made by a client of a member that has a quorum; `NoLeaderError` if none has one ----

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
        """Drop what lies before a revision."""
        self._execute(etcd.CompactionRequest(revision))

    def _execute(self, request: etcd.Request) -> int:
        member = next((member for member in self.members if member.has_quorum), None)
        if member is None:
            raise etcd.NoLeaderError
        member.execute(request)
        return self.store.revision

    # ---- faults ----

    def set_availability(self, number: int, availability: Availability) -> None:
        """Change what clients of a member meet; a member that is down or hangs counts to no quorum."""
        self.members[number].availability = availability
        self._update_quorums()

    def partition(self, *groups: Collection[int]) -> None:
        """Cut the network between groups of members; members that no group names are alone."""
        named = tuple(frozenset(group) for group in groups)
        isolated = set(range(len(self.members))).difference(*named)
        self._groups = named + tuple(frozenset({number}) for number in isolated)
        self._update_quorums()

    def heal(self) -> None:
        """All members reach one another again."""
        self.partition(range(len(self.members)))

    def restore(self, backup: etcd.Store, cluster_id: int | None = None) -> None:
        """Start over from a backup: the revision may be lower than what clients have seen.

        `etcdctl snapshot restore` makes a cluster with another id; other means of restoring keep it.
        """
        self.store = backup.copy()
        if cluster_id is not None:
            self.cluster_id = cluster_id
        for member in self.members:
            member.regain_quorum()
        self._update_quorums()

    def _update_quorums(self) -> None:
        """Find out which members have a quorum; a copy that is no longer needed is dropped."""
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
