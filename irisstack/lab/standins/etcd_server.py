"""Serves the members of a simulated etcd cluster on loopback, each on a listener with etcd's v3 JSON gateway.

All members run on the caller's gevent hub. Tests inject faults through the `Cluster` (a member that is down
or unresponsive, a network partition) and through the server (a restored backup, ended watches, split writes).
"""

import time
from contextlib import suppress
from types import TracebackType

import gevent
import httptools
from gevent import socket
from gevent.event import Event
from gevent.server import StreamServer

from irisstack.lab.sockets import http
from irisstack.lab.standins import etcd, etcd_http, etcd_json
from irisstack.lab.standins.etcd_cluster import Availability, Cluster, Member
from irisstack.lab.standins.traffic import Traffic

HOST = "127.0.0.1"
BACKLOG = 1024
PROGRESS_INTERVAL_S = 600.0
"""Seconds without events until a progress notification, if the watch requested one; etcd's default."""
TRICKLE_BYTES = 16
"""Maximum size of one write of a trickling member, in bytes."""
TRICKLE_INTERVAL_S = 0.1
"""Pause between two writes of a trickling member, in seconds."""
REQUIRE_LEADER_HEADER = "grpc-metadata-hasleader"
"""The header with which a client requests an error when the member has no leader."""


class Connection:
    """One client connection to a member."""

    def __init__(self, server: "MemberServer", sock: socket.socket) -> None:
        self._server = server
        self._socket = sock
        self._watch_greenlet: gevent.Greenlet[..., None] | None = None

    def serve(self) -> None:
        """Answer requests until the client or the member closes the connection."""
        reader = http.RequestReader()
        try:
            while data := self._socket.recv(65536):
                request = reader.feed(data)
                if request is not None and not self._handle_request(request):
                    break
        except (OSError, httptools.HttpParserError):
            pass
        finally:
            if self._watch_greenlet is not None:
                self._watch_greenlet.kill(block=False)
            self._socket.close()

    def reset(self) -> None:
        """Shut the connection down at once, which also wakes a greenlet that reads from it."""
        with suppress(OSError):
            self._socket.shutdown(socket.SHUT_RDWR)

    def end_watch(self) -> None:
        """End the open watch as a server does in a graceful shutdown."""
        if self._watch_greenlet is not None:
            self._watch_greenlet.kill()
            with suppress(OSError):
                self._send(etcd_http.STREAM_END)
            self.reset()

    @property
    def has_watch(self) -> bool:
        """Whether a watch is open on this connection."""
        return self._watch_greenlet is not None and not self._watch_greenlet.dead

    def _handle_request(self, request: http.Request) -> bool:
        """Answer one request; returns whether the connection stays open."""
        server = self._server
        server.traffic.requests.add(server.now())
        if request.target == etcd_json.WATCH_PATH:
            self._watch_greenlet = gevent.spawn(self._serve_watch, request)
            return True
        server.wait_while_unresponsive()
        self._send(etcd_http.handle_request(server.member, request.method, request.target, request.body))
        return request.headers.get("connection", "").lower() != "close"

    def _serve_watch(self, request: http.Request) -> None:
        """Serve one watch until the connection ends."""
        server = self._server
        server.wait_while_unresponsive()
        try:
            watch_request = etcd_json.decode_watch(request.body)
        except etcd.EtcdError as error:
            self._send_and_reset(etcd_http.error_response(error))
            return
        if not isinstance(watch_request, etcd.WatchRequest):
            return  # cancel and progress requests refer to another stream and get no response
        with suppress(OSError):
            self._send_changes(
                watch_request, needs_leader=request.headers.get(REQUIRE_LEADER_HEADER) == "true"
            )

    def _send_changes(self, watch_request: etcd.WatchRequest, *, needs_leader: bool) -> None:
        server, member = self._server, self._server.member
        watch, response = etcd.Watch.create(watch_request, member.store)
        created = etcd_http.encode_chunk(member.encode_watch(response))
        self._send(etcd_http.STREAM_HEAD + created)
        while True:
            changed = server.changed
            server.wait_while_unresponsive()
            if needs_leader and not member.has_quorum:
                error = etcd_http.encode_chunk(etcd_json.encode_stream_error(etcd.NoLeaderError()))
                self._send_and_reset(error + etcd_http.STREAM_END)
                return
            next_response = None if member.watches_stalled else watch.read(member.store)
            if next_response is None:
                if changed.wait(server.progress_interval_s) or member.watches_stalled:
                    continue
                next_response = watch.progress(member.store) if watch_request.progress_notify else None
            if next_response is not None:
                self._send(
                    etcd_http.encode_chunk(member.encode_watch(next_response, prev_kv=watch_request.prev_kv))
                )

    def _send_and_reset(self, data: bytes) -> None:
        with suppress(OSError):
            self._send(data)
        self.reset()

    def _send(self, data: bytes) -> None:
        """Write bytes, split into several writes if `max_write_bytes` is set or the member is trickling."""
        server = self._server
        write_bytes, pause_s = server.max_write_bytes or len(data), 0.0
        if server.member.availability is Availability.TRICKLING:
            write_bytes, pause_s = TRICKLE_BYTES, TRICKLE_INTERVAL_S
        for start in range(0, len(data), write_bytes):
            if start:
                gevent.sleep(pause_s)
            part = data[start : start + write_bytes]
            self._socket.sendall(part)
            server.traffic.bytes_out.add(server.now(), len(part))


class MemberServer:
    """The listener of one member; it keeps its port when the member goes down and comes back."""

    def __init__(self, member: Member, progress_interval_s: float) -> None:
        self.member = member
        self.progress_interval_s = progress_interval_s
        self.max_write_bytes: int | None = None
        """Maximum size of one write in bytes; headers and frames may be split anywhere. `None`: no limit."""
        self.traffic = Traffic()
        self.changed = Event()
        """Set and replaced by a new event on every change of the cluster."""
        self._connections: set[Connection] = set()
        self._server: StreamServer | None = None
        self._bound_address = (HOST, 0)
        self._started_at = time.monotonic()
        self._listen()

    @property
    def address(self) -> str:
        return f"{self._bound_address[0]}:{self._bound_address[1]}"

    @property
    def watch_count(self) -> int:
        """The number of open watches."""
        return sum(connection.has_watch for connection in self._connections)

    def now(self) -> float:
        """Seconds since the server started."""
        return time.monotonic() - self._started_at

    def wait_while_unresponsive(self) -> None:
        while self.member.availability is Availability.UNRESPONSIVE:
            self.changed.wait()

    def on_cluster_change(self) -> None:
        """Start or stop listening after a change in the cluster, and wake the watches."""
        if self.member.availability is Availability.DOWN:
            self.stop()
        else:
            self._listen()
        changed, self.changed = self.changed, Event()
        changed.set()

    def end_watches(self) -> None:
        """End all watches as in a graceful shutdown."""
        for connection in list(self._connections):
            connection.end_watch()

    def reset_connections(self) -> None:
        """Shut all connections down at once."""
        for connection in list(self._connections):
            connection.reset()

    def stop(self) -> None:
        """Stop listening and shut all connections down."""
        if self._server is not None:
            self._server.close()
            self._server = None
        self.reset_connections()

    def _listen(self) -> None:
        if self._server is not None:
            return
        listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind(self._bound_address)
        listener.listen(BACKLOG)
        self._bound_address = listener.getsockname()
        self._server = StreamServer(listener, self._accept)
        self._server.start()

    def _accept(self, sock: socket.socket, _: object) -> None:
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.traffic.connections.add(self.now())
        connection = Connection(self, sock)
        self._connections.add(connection)
        try:
            connection.serve()
        finally:
            self._connections.discard(connection)


class EtcdServer:
    """A cluster on loopback; as a context manager it stops all members on exit."""

    def __init__(self, size: int = 1, progress_interval_s: float = PROGRESS_INTERVAL_S) -> None:
        self.cluster = Cluster(size)
        self.members = tuple(MemberServer(member, progress_interval_s) for member in self.cluster.members)
        self.cluster.listeners.append(self._on_cluster_change)

    @property
    def addresses(self) -> list[str]:
        """`HOST:PORT` of each member."""
        return [member.address for member in self.members]

    def restore(self, backup: etcd.Store, cluster_id: int | None = None) -> None:
        """Restore all members from a backup and reset all connections."""
        self.cluster.restore(backup, cluster_id)
        for member in self.members:
            member.reset_connections()

    def stop(self) -> None:
        for member in self.members:
            member.stop()

    def _on_cluster_change(self) -> None:
        for member in self.members:
            member.on_cluster_change()

    def __enter__(self) -> "EtcdServer":
        return self

    def __exit__(
        self,
        exc_type: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        self.stop()
