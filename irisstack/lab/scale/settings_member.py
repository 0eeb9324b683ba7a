"""A member of the control cluster in virtual time: the stand-in's answers, without sockets.

A member answers at once and sends as fast as the network takes it; its processor time is measured elsewhere.
"""

from dataclasses import dataclass
from typing import Protocol

from irisstack.lab.scale.settings_network import Place, StreamNetwork
from irisstack.lab.standins import etcd, etcd_http, etcd_json
from irisstack.lab.standins.etcd_cluster import Availability, Member
from irisstack.lab.standins.traffic import Traffic


@dataclass(slots=True, frozen=True)
class Request:
    """One request as a node sends it."""

    path: str
    body: bytes


class Client(Protocol):
    """The node's end of one connection."""

    place: Place

    def connected(self, now: float) -> None:
        """The connection is there."""

    def refused(self, now: float) -> None:
        """The member's machine is there, and nothing listens."""

    def received(self, now: float, data: bytes) -> None:
        """Bytes have come."""

    def ended(self, now: float) -> None:
        """The member has ended the connection."""


@dataclass(slots=True, eq=False)
class Stream:
    """One watch that a member holds."""

    client: Client
    watch: etcd.Watch


class VirtualMember:
    """One member: connections come in, answers and frames go out."""

    def __init__(self, member: Member, place: Place, network: StreamNetwork) -> None:
        self.member = member
        self.place = place
        self.traffic = Traffic()
        self._network = network
        self._powered = True
        self._connections: dict[Client, Stream | None] = {}

    # ---- what comes from nodes ----

    def connect(self, now: float, client: Client) -> None:
        """A node wants a connection."""
        if not self._powered:
            return
        if self.member.availability is Availability.DOWN:
            self._network.send(self.place, client.place, client.refused)
            return
        self.traffic.connections.add(now)
        self._connections[client] = None
        self._network.send(self.place, client.place, client.connected)

    def request(self, now: float, client: Client, request: Request) -> None:
        """A whole request has come on a connection."""
        if client not in self._connections or self.member.availability is Availability.UNRESPONSIVE:
            return
        self.traffic.requests.add(now)
        if request.path == etcd_json.WATCH_PATH:
            self._open_watch(now, client, request.body)
        else:
            self._send(now, client, etcd_http.handle_request(self.member, "POST", request.path, request.body))

    def left(self, now: float, client: Client) -> None:
        """A node has closed its end."""
        self._connections.pop(client, None)

    # ---- what becomes of the member ----

    def on_cluster_change(self, now: float) -> None:
        """Send new changes to the watches, or end all connections if the member is down."""
        if self.member.availability is Availability.DOWN:
            self._end_all()
        elif self._powered and self.member.availability is not Availability.UNRESPONSIVE:
            for stream in list(self._connections.values()):
                if stream is not None:
                    self._send_changes(now, stream)

    def lose_power(self) -> None:
        """The machine is gone without a word; its connections are gone with it."""
        self._powered = False
        self._connections.clear()

    def regain_power(self) -> None:
        """The machine is there again."""
        self._powered = True

    @property
    def watches(self) -> int:
        """How many watches are held."""
        return sum(stream is not None for stream in self._connections.values())

    def _end_all(self) -> None:
        for client in self._connections:
            self._network.send(self.place, client.place, client.ended)
        self._connections.clear()

    def _open_watch(self, now: float, client: Client, body: bytes) -> None:
        wanted = etcd_json.decode_watch(body)
        if not isinstance(wanted, etcd.WatchRequest):
            raise TypeError(f"a watch is opened with a create request, not {wanted}")
        watch, response = etcd.Watch.create(wanted, self.member.store)
        created = etcd_http.encode_chunk(self.member.encode_watch(response))
        stream = self._connections[client] = Stream(client, watch)
        self._send(now, client, etcd_http.STREAM_HEAD + created)
        self._send_changes(now, stream)

    def _send_changes(self, now: float, stream: Stream) -> None:
        while (response := stream.watch.read(self.member.store)) is not None:
            self._send(now, stream.client, etcd_http.encode_chunk(self.member.encode_watch(response)))

    def _send(self, now: float, client: Client, data: bytes) -> None:
        self.traffic.bytes_out.add(now, len(data))
        self._network.send(self.place, client.place, client.received, data)
