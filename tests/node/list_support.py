"""Scripted discovery services, and the part of a node that follows the endpoint list."""

import copy
import queue
import socket
import threading
import time
from contextlib import suppress
from enum import Enum, auto

import gevent

from irisstack import interface as api
from irisstack.choice import Sender
from irisstack.node import http
from irisstack.node.discovery import Discovery
from irisstack.node.list_reader import ListReader
from irisstack.settings import Reader, read
from tests.node_support import SETTINGS, ScriptedEndpoint, ScriptedPlatform, http_response

BUSY_S = 1.0
"""Seconds until a busy service answers 503."""
TRICKLE_PAUSE_S = 0.2
RESPONSE_HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"


class CallBehavior(Enum):
    """How the service treats one list call."""

    SERVED = auto()
    """Answered with the list, and then with a heartbeat (an empty line) every 2 s."""
    REFUSED = auto()
    """Answered 503 at once."""
    BUSY = auto()
    """Answered 503 after `BUSY_S`."""
    SILENT = auto()
    """Accepted and never answered."""
    HEAD_ONLY = auto()
    """Only the head of an answer is sent."""
    TRICKLING = auto()
    """An endless answer, sent a byte at a time."""
    CUT_OFF = auto()
    """Half of an object, then the connection is closed."""
    MALFORMED = auto()
    """An object that is not valid JSON."""
    WATCH_FALLS_SILENT = auto()
    """Answered with the list, and silent from then on."""


class ScriptedDiscovery(ScriptedPlatform):
    """Treats watch calls as its script says and others normally; records the time of each watch call."""

    def __init__(self, *script: CallBehavior) -> None:
        self.script = list(script)
        self.call_times: list[float] = []
        self.closed = threading.Event()
        super().__init__()
        threading.Thread(target=self._send_heartbeats, daemon=True).start()

    def close(self) -> None:
        self.closed.set()
        super().close()

    def _send_heartbeats(self) -> None:
        while not self.closed.wait(2.0):
            self.send_update("")

    def reply(self, connection: socket.socket, request: http.Message) -> None:
        if "watch=1" not in request.path:
            super().reply(connection, request)
            return
        self.call_times.append(time.monotonic())
        behavior = self.script.pop(0) if self.script else CallBehavior.SERVED
        with suppress(OSError):
            self._respond(connection, request, behavior)

    def _respond(self, connection: socket.socket, request: http.Message, behavior: CallBehavior) -> None:
        match behavior:
            case CallBehavior.SERVED:
                super().reply(connection, request)
            case CallBehavior.WATCH_FALLS_SILENT:
                super().reply(connection, request)
                self.watchers.remove(connection)
            case CallBehavior.REFUSED:
                connection.sendall(http_response(503))
            case CallBehavior.BUSY:
                time.sleep(BUSY_S)
                connection.sendall(http_response(503))
            case CallBehavior.SILENT:
                pass
            case CallBehavior.HEAD_ONLY:
                connection.sendall(RESPONSE_HEAD)
            case CallBehavior.TRICKLING:
                connection.sendall(RESPONSE_HEAD + b'ffffff\r\n{"revision": 5, "members": ["')
                while not self.closed.wait(TRICKLE_PAUSE_S):
                    connection.sendall(b"x")
            case CallBehavior.CUT_OFF:
                connection.sendall(RESPONSE_HEAD + b'ff\r\n{"revision": 5, "mem')
                connection.shutdown(socket.SHUT_RDWR)
            case CallBehavior.MALFORMED:
                connection.sendall(RESPONSE_HEAD + b'b\r\n{"members":}\r\n')


class SequentialDiscovery(ScriptedPlatform):
    """Serves list calls one after another, even those whose callers have disconnected."""

    def __init__(self, call_s: float) -> None:
        """`call_s` is the seconds that one call takes."""
        self._call_s = call_s
        self._calls: queue.Queue[tuple[socket.socket, http.Message]] = queue.Queue()
        super().__init__()
        threading.Thread(target=self._serve_calls, daemon=True).start()

    def reply(self, connection: socket.socket, request: http.Message) -> None:
        self._calls.put((connection, request))

    def _serve_calls(self) -> None:
        while True:
            connection, request = self._calls.get()
            time.sleep(self._call_s)
            with suppress(OSError):
                super().reply(connection, request)


class SlowDiscovery(ScriptedPlatform):
    """Answers each list call after `delay_s` seconds; the calls do not wait for each other."""

    def __init__(self, delay_s: float = 0.0) -> None:
        self.delay_s = delay_s
        super().__init__()

    def reply(self, connection: socket.socket, request: http.Message) -> None:
        if request.method == "GET":
            time.sleep(self.delay_s)
        super().reply(connection, request)


class SilentDiscovery(ScriptedPlatform):
    """Accepts list calls and never answers them; takes notices."""

    def reply(self, connection: socket.socket, request: http.Message) -> None:
        if request.method != "GET":
            super().reply(connection, request)


class HeartbeatDiscovery(SilentDiscovery):
    """Has nothing to tell a watch: sends a heartbeat (an empty line) at once; never answers a fetch."""

    def reply(self, connection: socket.socket, request: http.Message) -> None:
        if "watch=1" in request.path:
            connection.sendall(RESPONSE_HEAD + b"1\r\n\n\r\n")
        else:
            super().reply(connection, request)


class TimedEndpoint(ScriptedEndpoint):
    """An endpoint that records when each call arrived."""

    def __init__(self) -> None:
        self.received_at: list[float] = []
        super().__init__()

    def reply(self, connection: socket.socket, request: http.Message) -> None:
        self.received_at.append(time.monotonic())
        super().reply(connection, request)


def settings_for_fleet(fleet_size: int) -> dict[str, object]:
    """The settings for a fleet of `fleet_size` nodes."""
    settings = copy.deepcopy(SETTINGS)
    settings["balancers"] = fleet_size
    return settings


class ListFollower:
    """The part of a node that follows the list, including the decisions when to call; runs in real time."""

    def __init__(self, service: ScriptedPlatform, fleet_size: int, seed: int, pushed: bool) -> None:
        raw_settings = settings_for_fleet(fleet_size)
        raw_settings["discovery"] = "pushed" if pushed else "on_request"
        settings = read(Reader(raw_settings))
        reader = ListReader(settings)
        self._sender = Sender(settings, seed)
        self.discovery = Discovery(("127.0.0.1", service.port), reader, self._post, 1, pushed)
        self._greenlets: list[gevent.Greenlet[..., None]] = [gevent.spawn(self.discovery.run)]
        self._turn(reader.parse_update(service.document(), api.UpdateScope.CACHED))

    def on_update(self, update: api.EndpointsUpdated) -> None:
        """Called with each list, each change of it and each failure of a call."""

    def _post(self, update: api.EndpointsUpdated) -> None:
        self.on_update(update)
        self._turn(update)

    def _turn(self, event: api.Event) -> None:
        for action in self._sender.turn(time.monotonic(), [event]):
            match action:
                case api.Subscribe():
                    self.discovery.mailbox.put(action)
                case api.SetTimer(delay, token):
                    self._greenlets.append(gevent.spawn(self._fire_later, delay, token))

    def _fire_later(self, delay: float, token: int) -> None:
        gevent.sleep(delay)
        self._turn(api.TimerFired(token))

    def close(self) -> None:
        """End all greenlets and calls."""
        gevent.killall(self._greenlets)
        self.discovery.close()
