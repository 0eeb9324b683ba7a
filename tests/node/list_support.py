"""Scripted services of the endpoint list, and the part of a node that follows one."""

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
"""Seconds that a call waits in a crowded service until it is answered 503."""
TRICKLE_PAUSE_S = 0.2
RESPONSE_HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"


class CallBehavior(Enum):
    """What becomes of one call for the list."""

    SERVED = auto()
    """Answered with the list, and with an empty line every 2 s from then on."""
    REFUSED = auto()
    """Answered 503 at once."""
    BUSY = auto()
    """Answered 503 after a wait."""
    SILENT = auto()
    """Accepted, and never answered."""
    HEAD_ONLY = auto()
    """The head of an answer comes, and nothing after it."""
    TRICKLING = auto()
    """An answer that comes a byte at a time and has no end."""
    CUT_OFF = auto()
    """Half of an object, then a reset."""
    MALFORMED = auto()
    """An object that cannot be read."""
    WATCH_FALLS_SILENT = auto()
    """Answered with the list, and never heard of again."""


class ScriptedDiscovery(ScriptedPlatform):
    """Serves calls for the list as its script says, the rest as ever; keeps when each of them came."""

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
    """Works through calls for the list one after another, those of callers that have left too."""

    def __init__(self, call_s: float) -> None:
        """`call_s` is how many seconds one call takes."""
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


class TimedEndpoint(ScriptedEndpoint):
    """An endpoint that keeps when each call came."""

    def __init__(self) -> None:
        self.received_at: list[float] = []
        super().__init__()

    def reply(self, connection: socket.socket, request: http.Message) -> None:
        self.received_at.append(time.monotonic())
        super().reply(connection, request)


def settings_for_fleet(fleet_size: int) -> dict[str, object]:
    """The platform's settings for a fleet of so many."""
    settings = copy.deepcopy(SETTINGS)
    settings["balancers"] = fleet_size
    return settings


class ListFollower:
    """A node's part that follows the list, with the decisions on when it asks; all of it in real time."""

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
        """The list, a change of it, or the failure of a call has been heard."""

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
        """End all that is under way."""
        gevent.killall(self._greenlets)
        self.discovery.close()
