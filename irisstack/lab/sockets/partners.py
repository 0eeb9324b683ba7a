"""Partners on real sockets: the model of a partner behind one listener for each endpoint."""

import struct
from collections.abc import Callable, Sequence
from contextlib import suppress
from dataclasses import dataclass

import httptools
from gevent import socket
from gevent.server import StreamServer

from irisstack.lab import ledger as records
from irisstack.lab.partner import Answer, Destination, Endpoint, Item, PartnerCall
from irisstack.lab.ports import HOST
from irisstack.lab.sockets import http
from irisstack.lab.sockets.run_context import RunContext, Submission

MOST_BODY = 64 * 1024
BACKLOG = 512
CROSSING = 0.05
"""Seconds after an answer in which a reset of its connection means that it need not have been heard."""
SPOILT = b"HTTP/1.1 2OO spoilt\r\n\r\n"
RESET = struct.pack("ii", 1, 0)
VERDICTS: dict[str, records.Verdict] = {"ok": "ok", "error": "error", "refused": "refused"}


@dataclass(slots=True, eq=False)
class SocketCall(PartnerCall):
    """One call, and the connection that its answer goes to."""

    connection: "Connection | None" = None
    submissions: "tuple[Submission, ...]" = ()
    ids: tuple[str, ...] = ()
    shared: bool = False
    told: bool = False  # its end stands in the ledger


class Connection:
    """One connection of a node to an endpoint."""

    def __init__(self, server: "EndpointServer", sock: socket.socket) -> None:
        self.server = server
        self.socket = sock
        self.open = True
        self.broken = False
        self.call: SocketCall | None = None
        self.calls = 0
        self.idle_since = 0.0

    def serve(self) -> None:
        """Read calls until the connection ends."""
        reader = http.RequestReader()
        try:
            while self.open:
                data = self.socket.recv(65536)
                if not data:
                    break
                request = reader.feed(data)
                if request is not None:
                    self.server.take(self, request)
        except OSError:
            self.broken = self.open  # a node that closes with an answer unread resets the connection
        except httptools.HttpParserError:
            pass
        finally:
            self.close()

    def write(self, data: bytes) -> bool:
        """Write an answer; returns whether the connection was still there."""
        if not self.open:
            return False
        try:
            self.socket.sendall(data)
        except OSError:
            self.close()
            return False
        return True

    def reset(self) -> None:
        """End the connection at once, with a reset."""
        with suppress(OSError):
            self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
        self.close()

    def close(self) -> None:
        if not self.open:
            return
        self.open = False
        self.server.left(self)
        with suppress(OSError):
            self.socket.shutdown(socket.SHUT_RDWR)
        self.socket.close()


class EndpointServer:
    """One endpoint's listener."""

    def __init__(self, partners: "Partners", endpoint: Endpoint, one_way: float) -> None:
        self.endpoint = endpoint
        self._partners = partners
        self._context = partners.context
        self._one_way = one_way
        self._connections: set[Connection] = set()
        self._server: StreamServer | None = None
        self._stopped = False
        self.address = (HOST, 0)
        self.listen()

    def listen(self) -> None:
        """Take connections, on the same port as before if there was one."""
        if self._server is not None:
            return
        listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind(self.address)
        listener.listen(BACKLOG)
        self.address = listener.getsockname()
        self._server = StreamServer(listener, self._accept)
        self._server.max_accept = 1  # a look at the table before each
        self._server.start()

    def refuse(self) -> None:
        """Refuse connections from now on."""
        if self._server is not None:
            self._server.close()
            self._server = None

    def update_listener(self, now: float) -> None:
        """Listen or refuse, as the endpoint's conditions and its bound on connections say."""
        if self.endpoint.accepts_connections(now):
            self.listen()
        else:
            self.refuse()

    def _accept(self, sock: socket.socket, _: object) -> None:
        now = self._context.now()
        if not self.endpoint.accepts_connections(now):  # it came as the table filled
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
            sock.close()
            return
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        connection = Connection(self, sock)
        self._connections.add(connection)
        self.endpoint.connection_count += 1
        self.update_listener(now)
        connection.idle_since = now
        connection.serve()

    def take(self, connection: Connection, request: http.Request) -> None:
        """A call's last byte has come."""
        now = self._context.now()
        idle, connection.calls = now - connection.idle_since, connection.calls + 1
        call = self._partners.read(request, connection)
        if call is None:
            connection.write(http.reply(400))
            connection.close()
            return
        connection.call = call
        for submission in call.submissions:
            submission.called = True
            self._context.mark_changed(submission)
            self._context.ledger.append(
                records.Sent(
                    now,
                    submission.node,
                    submission.number,
                    self.endpoint.spec.number,
                    self.endpoint.destination.spec.number,
                )
            )
        if connection.calls > 1 and self.endpoint.drops_idle_connection(idle):
            self._partners.drop_connection(now, self.endpoint, call)
            return
        self._context.after(self._one_way, self._reach, call)

    def _reach(self, now: float, call: SocketCall) -> None:
        if not call.abandoned:
            self.endpoint.receive(now, call)

    def left(self, connection: Connection) -> None:
        """A connection has ended; a call on it has no answer any more."""
        self._connections.discard(connection)
        self.endpoint.connection_count -= 1
        if not self._stopped:
            self.update_listener(self._context.now())
        call = connection.call
        if call is not None and not call.abandoned:
            self.endpoint.abandon(call)
            self._partners.tell(call, self._context.now(), "timeout")

    def write(self, now: float, call: SocketCall, answer: Answer) -> None:
        """Write an answer once it has travelled."""
        connection = call.connection
        if connection is None or not connection.open:
            return
        connection.call, connection.idle_since = None, now
        if connection.write(_reply(call, answer)):
            self._context.after(CROSSING, self._settle, call, answer, now, connection.calls)
        else:
            self._partners.tell(call, now, "timeout")

    def _settle(self, now: float, call: SocketCall, answer: Answer, written: float, calls: int) -> None:
        """Whether an answer was heard: a node that gave up just then has reset the connection meanwhile."""
        connection = call.connection
        if connection is not None and connection.broken and connection.calls == calls:
            self._partners.tell(call, written, "crossed", over=answer.status == "ok")
        else:
            self._partners.tell(call, written, VERDICTS[answer.status], answer.retry_after)

    def spoil(self, now: float, call: SocketCall) -> None:
        """Write what is no answer."""
        if call.connection is not None and call.connection.open:
            self._partners.tell(call, now, "reset")
            call.connection.write(SPOILT)
            call.connection.close()

    def cut(self, now: float, call: SocketCall) -> None:
        """End the connection."""
        if call.connection is not None and call.connection.open:
            self._partners.tell(call, now, "reset")
            call.connection.reset()

    def stop(self) -> None:
        self._stopped = True
        self.refuse()
        for connection in list(self._connections):
            connection.close()


def _reply(call: SocketCall, answer: Answer) -> bytes:
    headers = {}
    if answer.report:
        headers["X-Server-Load"] = ",".join(f"x{i}={value:g}" for i, value in enumerate(answer.report))
    if answer.status == "ok":
        body = "".join(f"{id_} accepted\r\n" for id_ in call.ids) if call.shared else call.ids[0]
        return http.reply(200, headers, body.encode())
    if answer.status == "error":
        return http.reply(500, headers)
    if answer.retry_after:
        return http.reply(429, {**headers, "Retry-After": f"{answer.retry_after:.3f}"})
    return http.reply(503, headers)


class Partners:
    """All partners of a run; carries out what their models want done."""

    def __init__(self, context: RunContext, only: Sequence[int] | None = None) -> None:
        self.context = context
        world = context.world
        self._one_way = world.one_way_delays()
        self.destinations = {
            n: Destination(spec, world, self)
            for n, spec in world.destinations.items()
            if only is None or n in only
        }
        self.servers: dict[int, EndpointServer] = {}
        self.on_overload: Callable[[float, int], None] = lambda now, destination: None
        for destination in self.destinations.values():
            for endpoint in destination.endpoints.values():
                self.open(endpoint)

    def open(self, endpoint: Endpoint) -> EndpointServer:
        """A listener for an endpoint."""
        server = EndpointServer(self, endpoint, self._one_way[endpoint.destination.spec.number])
        self.servers[endpoint.spec.number] = server
        return server

    def stop(self) -> None:
        for server in self.servers.values():
            server.stop()

    # ---- calls ----

    def read(self, request: http.Request, connection: Connection) -> SocketCall | None:
        """The call that a request makes; `None`, and a fault, if it makes none."""
        shared = request.target == "/v1/messages:batch"
        ids = _batch_ids(request.body) if shared else [request.headers.get("x-request-id", "")]
        submissions = [self.context.find(id_) for id_ in ids]
        known = [submission for submission in submissions if submission is not None]
        endpoint = connection.server.endpoint
        place = endpoint.destination.spec.number
        if request.method != "POST" or not known or len(known) != len(submissions):
            self.context.invalidate(
                f"endpoint {endpoint.spec.number} got a call with no client's message behind it"
            )
            return None
        if any(submission.message.destination != place for submission in known):
            self.context.invalidate(f"a message for another destination came to destination {place}")
            return None
        items: list[Item] = [submission.item for submission in known]
        return SocketCall(
            known[0].node,
            items,
            connection.calls == 1,
            connection=connection,
            submissions=tuple(known),
            ids=tuple(ids),
            shared=shared,
        )

    def tell(
        self, call: SocketCall, t: float, verdict: records.Verdict, wait: float = 0.0, *, over: bool = False
    ) -> None:
        """A call's end goes into the ledger, once; `over`: its messages are delivered all the same."""
        if call.told:
            return
        call.told = True
        endpoint = call.connection.server.endpoint.spec.number if call.connection is not None else -1
        for submission in call.submissions:
            self.context.ledger.append(
                records.Answered(t, submission.node, submission.number, endpoint, verdict, wait)
            )
            if (verdict == "ok" or over) and not submission.over:
                self.context.end(submission, "delivered", at=t)

    # ---- what the models want done ----

    def call_later(self, delay: float, act: Callable[..., None], *arguments: object) -> None:
        self.context.after(delay, act, *arguments)

    def send_answer(self, now: float, endpoint: Endpoint, call: PartnerCall, answer: Answer) -> None:
        server = self.servers[endpoint.spec.number]
        self.context.after(self._one_way[endpoint.destination.spec.number], server.write, call, answer)

    def send_malformed_answer(self, now: float, endpoint: Endpoint, call: PartnerCall) -> None:
        server = self.servers[endpoint.spec.number]
        self.context.after(self._one_way[endpoint.destination.spec.number], server.spoil, call)

    def drop_connection(self, now: float, endpoint: Endpoint, call: PartnerCall) -> None:
        server = self.servers[endpoint.spec.number]
        self.context.after(self._one_way[endpoint.destination.spec.number], server.cut, call)

    def message_executed(self, now: float, endpoint: Endpoint, item: Item, effect: bool) -> None:
        self.context.ledger.append(
            records.Executed(now, item.message, item.chain, endpoint.spec.number, effect)
        )

    def destination_overloaded(self, now: float, destination: int) -> None:
        self.context.ledger.append(records.Overloaded(now, destination))
        self.on_overload(now, destination)


def _batch_ids(body: bytes) -> list[str]:
    """The request ids in the body of a shared call; what cannot be read ends the list with an empty one."""
    ids: list[str] = []
    at = 0
    while at < len(body):
        head, found, _ = body[at : at + 512].partition(b"\r\n")
        words = head.split(b" ")
        if not found or len(words) != 3 or not words[2].isdigit() or int(words[2]) > MOST_BODY:
            return [*ids, ""]
        ids.append(words[0].decode("latin-1"))
        at += len(head) + 2 + int(words[2]) + 2
    return ids
