"""The HTTP server for clients: the listening socket, and which connections there may be."""

import time
from collections.abc import Callable, Collection
from enum import Enum, auto
from typing import Any

from gevent import socket

from irisstack import interface as api
from irisstack.node.client_connection import SMALL_REQUEST_BYTES, ClientConnection, Phase
from irisstack.node.config import HostPort
from irisstack.node.counters import Counters
from irisstack.node.decider import Submission, rejection_retry_after
from irisstack.node.listener import BACKLOG, Listener
from irisstack.node.submission_parser import SubmissionParser


class Stage(Enum):
    """The intake's stages; it goes through each once, in this order."""

    ACCEPTING = auto()  # messages are accepted
    DRAINING = auto()  # connections are still accepted; new messages are rejected with a last answer
    CLOSED = auto()  # no new connections; those that are open still get their answer


class Intake:
    """The listening socket and the connections of clients."""

    def __init__(
        self,
        listen: HostPort,
        settings: api.Settings,
        post: Callable[[Submission], None],
        counters: Counters,
        max_connections: int,
        max_input_bytes: int,
    ) -> None:
        """`max_input_bytes` limits the requests of all clients that are incomplete or not answered yet."""
        self.post = post
        self.parser = SubmissionParser()
        self.update_settings(
            settings,
            {message_class.name for message_class in settings.classes},
            {tenant.name for tenant in settings.tenants},
        )
        self._max_connections = max_connections
        self._connections: dict[int, ClientConnection] = {}
        self._max_input_bytes = max_input_bytes
        self._input_bytes = 0
        self._server = Listener(listen, self._serve, backlog=BACKLOG)
        self.counters = counters
        self.stage = Stage.ACCEPTING

    def update_settings(
        self, settings: api.Settings, classes: Collection[str], tenants: Collection[str]
    ) -> None:
        """Accept new messages of these classes and tenants only; `settings` gives their positions."""
        self.parser.update_settings(settings, classes, tenants)
        self.retry_after = rejection_retry_after(settings)

    def start(self) -> None:
        self._server.start()

    @property
    def accepting(self) -> bool:
        """Whether messages are accepted."""
        return self.stage is Stage.ACCEPTING

    @property
    def address(self) -> HostPort:
        """The address it listens on."""
        assert self._server.server_port is not None
        return str(self._server.server_host), self._server.server_port

    @property
    def no_clients(self) -> bool:
        """Whether all connections have been answered and closed."""
        return not self._connections

    def usage(self) -> dict[str, int]:
        """How many connections are open, in all and in each phase, and the bytes of input that they hold."""
        connections = self._connections.values()
        counts = {
            f"clients_{phase.name.lower()}": sum(c.phase is phase for c in connections) for phase in Phase
        }
        return {"clients": len(connections), **counts, "client_input_bytes": self._input_bytes}

    @property
    def input_exceeds_limit(self) -> bool:
        """Whether the clients' requests take up more memory than they may."""
        return self._input_bytes > self._max_input_bytes

    def count_input(self, connection: ClientConnection, size: int) -> None:
        """Count the bytes of a connection's request; over the limit, end the oldest large incomplete ones."""
        if connection.stopped:  # what it still reads is discarded
            size = min(size, connection.counted_bytes)
        self._input_bytes += size - connection.counted_bytes
        connection.counted_bytes = size
        self.counters.record_max("client_input_max_kb", self._input_bytes // 1024)
        while self.input_exceeds_limit and self._end_large_request():
            self.counters.add("clients_evicted_for_memory")

    def _end_large_request(self) -> bool:
        """End the large incomplete request that began first; returns whether there was one."""
        large = [
            c
            for c in self._connections.values()
            if c.phase is Phase.READING and not c.stopped and c.counted_bytes > SMALL_REQUEST_BYTES
        ]
        if not large:
            return False
        oldest = min(large, key=lambda c: c.phase_since)
        self._uncount_input(oldest)
        oldest.end_for_memory()
        return True

    def _uncount_input(self, connection: ClientConnection) -> None:
        """Leave out a connection that ends and frees its memory at once."""
        self._input_bytes -= connection.counted_bytes
        connection.counted_bytes = 0

    def drain(self) -> None:
        """Answer at most one more request on each connection, and end idle connections now.

        New connections are still accepted. A connection without a request so far keeps its time to send one:
        closed without an answer, that request would be lost.
        """
        self.stage = Stage.DRAINING
        for connection in list(self._connections.values()):
            if connection.phase is Phase.IDLE:
                connection.stop()

    def close(self) -> None:
        """Stop listening. Connections in the backlog are accepted first: the close would reset them."""
        if self.stage is Stage.CLOSED:
            return
        self.stage = Stage.CLOSED
        self._server.accept_backlog()
        self._server.close()

    def _serve(self, sock: socket.socket, _: Any) -> None:
        connection = ClientConnection(self, sock)
        if len(self._connections) >= self._max_connections and not self._make_room():
            self.counters.add("clients_turned_away")
            connection.reject()
            return
        self._connections[id(connection)] = connection
        self.counters.record_max("clients_max", len(self._connections))
        try:
            connection.serve()
        finally:
            self._uncount_input(connection)
            del self._connections[id(connection)]

    def _make_room(self) -> bool:
        """Evict one connection to make room for a new client; returns whether there was one to evict.

        The last choice is a connection that became idle only recently: if its client is just sending a
        request, it retries that on a new connection, while a new client that is rejected may not retry.
        """
        now = time.monotonic()
        for phase, min_age in (*((phase, phase.value) for phase in Phase), (Phase.IDLE, 0.0)):
            candidates = [
                c
                for c in self._connections.values()
                if c.phase is phase and not c.stopped and c.phase_since + min_age <= now
            ]
            if candidates:
                self.counters.add(f"clients_evicted_{phase.name.lower()}")
                min(candidates, key=lambda c: c.phase_since).stop()
                return True
        return False
