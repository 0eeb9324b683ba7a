"""A hollow node's calls to members: each on a connection of its own, read as the byte budget allows."""

from collections import deque
from collections.abc import Callable
from functools import lru_cache

from irisstack.dynamic_settings.budget import READ_CHUNK_BYTES, ByteBudget
from irisstack.dynamic_settings.decisions import ANSWER_TIMEOUT_S, CONNECT_TIMEOUT_S, MAX_FRAME_BYTES
from irisstack.dynamic_settings.etcd import (
    RANGE_PATH,
    WATCH_PATH,
    ErrorKind,
    GatewayError,
    RangeResponse,
    WatchResponse,
    parse_range_response,
    parse_watch_response,
)
from irisstack.dynamic_settings.events import (
    CallFailed,
    Event,
    FailureKind,
    FrameProgress,
    OpenWatch,
    RangeResponseReceived,
    SendRangeRequest,
    WatchResponseReceived,
)
from irisstack.lab.scale.settings_member import Request, VirtualMember
from irisstack.lab.scale.settings_network import Place, StreamNetwork
from irisstack.lab.sockets import http
from irisstack.lab.standins import etcd_http
from irisstack.lab.standins.etcd_http import JSON_HEADERS
from irisstack.lab.virtual.clock import Clock

KNOWN_ANSWERS = 256
"""Answers whose meaning is kept, since all watches of a member are sent the same bytes."""
FAILURES = {
    ErrorKind.COMPACTED: FailureKind.COMPACTED,
    ErrorKind.REFUSED: FailureKind.REFUSED,
    ErrorKind.MALFORMED: FailureKind.MALFORMED,
}
Post = Callable[[float, Event], None]


class Exchange:
    """One call of a node: a range request with its answer, or a watch."""

    def __init__(self, client: "SettingsClient", action: SendRangeRequest | OpenWatch) -> None:
        self.call = action.call_id
        self.place = client.place
        self.member = client.members[action.member]
        self.open = True
        path = WATCH_PATH if isinstance(action, OpenWatch) else RANGE_PATH
        self.is_watch = path == WATCH_PATH
        self.request = Request(path, action.request.body())
        self._client = client
        self._connected = False
        self._answered = False

    def begin(self, now: float) -> None:
        """Ask for a connection."""
        client = self._client
        client.network.send_connect(self.place, self.member.place, self.member.connect, self)
        client.clock.after(CONNECT_TIMEOUT_S, self._connect_timed_out)

    def connected(self, now: float) -> None:
        if not self.open:
            self.leave()
            return
        self._connected = True
        client = self._client
        client.spend(now, request_size(self.request, client.host_of(self.member)))
        client.network.send(self.place, self.member.place, self.member.request, self, self.request)
        client.clock.after(ANSWER_TIMEOUT_S, self._answer_timed_out)

    def refused(self, now: float) -> None:
        self._client.fail(now, self, FailureKind.UNREACHABLE, "connection refused")

    def received(self, now: float, data: bytes) -> None:
        if not self.open:
            self.leave()
            return
        self._answered = True
        self._client.queue(now, self, data)

    def ended(self, now: float) -> None:
        self._client.queue(now, self, b"")

    def leave(self) -> None:
        """Close the connection; the member hears of it if it can be reached."""
        self.open = False
        self._client.network.send(self.place, self.member.place, self.member.left, self)

    def _connect_timed_out(self, now: float) -> None:
        if not self._connected:
            self._client.fail(now, self, FailureKind.UNREACHABLE, "no connection in time")

    def _answer_timed_out(self, now: float) -> None:
        if not self._answered:
            self._client.fail(now, self, FailureKind.SILENT, "no answer in time")


class SettingsClient:
    """All calls of one node, with the budget that they share."""

    def __init__(
        self,
        clock: Clock,
        network: StreamNetwork,
        place: Place,
        members: dict[str, VirtualMember],
        budget: ByteBudget,
        post: Post,
        count_bytes: Callable[[float, int], None],
    ) -> None:
        self.clock = clock
        self.network = network
        self.place = place
        self.members = members
        self._budget = budget
        self._post = post
        self._count_bytes = count_bytes
        self._exchanges: dict[int, Exchange] = {}
        self._unread: deque[tuple[Exchange, bytes]] = deque()
        self._read_of_first = 0
        self._pausing = False

    def host_of(self, member: VirtualMember) -> str:
        """The member's name, as a request carries it."""
        return next(name for name, each in self.members.items() if each is member)

    def begin(self, now: float, action: SendRangeRequest | OpenWatch) -> None:
        """Begin a call."""
        exchange = self._exchanges[action.call_id] = Exchange(self, action)
        exchange.begin(now)

    def end(self, call: int) -> None:
        """Close a call's connection."""
        exchange = self._exchanges.pop(call, None)
        if exchange is not None:
            exchange.leave()

    def end_all(self) -> None:
        """Close all connections, as the end of the process does."""
        for call in list(self._exchanges):
            self.end(call)

    def vanish(self) -> None:
        """Forget all connections without a word, as a machine does that loses power."""
        for exchange in self._exchanges.values():
            exchange.open = False
        self._exchanges.clear()

    def fail(self, now: float, exchange: Exchange, kind: FailureKind, reason: str) -> None:
        """A call is over without an answer."""
        if exchange.open:
            self.end(exchange.call)
            self._post(now, CallFailed(exchange.call, kind, reason))

    def spend(self, now: float, size: int) -> None:
        """Bytes are sent or read."""
        self._budget.spend(now, size)
        self._count_bytes(now, size)

    # ---- reading ----

    def queue(self, now: float, exchange: Exchange, data: bytes) -> None:
        """Bytes lie in a connection's buffer; none mean its end."""
        self._unread.append((exchange, data))
        if not self._pausing:
            self._read(now)

    def _read(self, now: float) -> None:
        """Read piece by piece until the budget is spent or nothing is left."""
        self._pausing = False
        while self._unread:
            exchange, data = self._unread[0]
            if exchange.open and data:
                pause = self._budget.delay(now)
                if pause > 0.0:
                    self._pausing = True
                    self.clock.after(pause, self._read)
                    return
                if self._read_piece(now, exchange, len(data)):
                    continue
            self._unread.popleft()
            self._read_of_first = 0
            if exchange.open:
                self._take(now, exchange, data)

    def _read_piece(self, now: float, exchange: Exchange, size: int) -> bool:
        """Read a piece of the first buffer; returns whether some of it is left."""
        piece = min(READ_CHUNK_BYTES, size - self._read_of_first)
        self._read_of_first += piece
        self.spend(now, piece)
        if self._read_of_first == size:
            return False
        if exchange.is_watch:
            self._post(now, FrameProgress(exchange.call, self._read_of_first))
        return True

    def _take(self, now: float, exchange: Exchange, data: bytes) -> None:
        """A whole answer, a whole frame, or the connection's end has been read."""
        call = exchange.call
        if not data:
            self.fail(now, exchange, FailureKind.ENDED, "the connection ended")
            return
        if len(data) > MAX_FRAME_BYTES and exchange.is_watch:
            self.fail(now, exchange, FailureKind.TOO_LARGE, "the frame is too long")
            return
        try:
            if exchange.is_watch:
                frame = watch_answer(data)
                if len(data) > READ_CHUNK_BYTES:
                    self._post(now, FrameProgress(call, 0))
                self._post(now, WatchResponseReceived(call, frame))
            else:
                answer = range_answer(data)
                self.end(call)
                self._post(now, RangeResponseReceived(call, answer))
        except GatewayError as error:
            self.fail(now, exchange, FAILURES[error.kind], str(error))


@lru_cache(KNOWN_ANSWERS)
def request_size(request: Request, host: str) -> int:
    """Bytes of a request's head and body."""
    return len(http.request("POST", request.path, host, JSON_HEADERS, request.body))


@lru_cache(KNOWN_ANSWERS)
def range_answer(data: bytes) -> RangeResponse:
    """The message of a whole answer; raises `GatewayError`."""
    reply = http.ReplyReader().feed(data)
    if reply is None:
        raise GatewayError(ErrorKind.MALFORMED, "the answer is cut")
    return parse_range_response(reply.status, reply.body)


@lru_cache(KNOWN_ANSWERS)
def watch_answer(data: bytes) -> WatchResponse:
    """The message of one frame, with the answer's head before the first; raises `GatewayError`."""
    chunk = data.removeprefix(etcd_http.STREAM_HEAD)
    _, _, frame = chunk.partition(b"\r\n")
    return parse_watch_response(frame)
