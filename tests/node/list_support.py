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
HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"


class CallFate(Enum):
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
    CUT = auto()
    """Half of an object, then a reset."""
    SPOILT = auto()
    """An object that cannot be read."""
    FALLS_SILENT = auto()
    """Answered with the list, and never heard of again."""


class ScriptedDiscovery(ScriptedPlatform):
    """Serves calls for the list as its script says, the rest as ever; keeps when each of them came."""

    def __init__(self, *script: CallFate) -> None:
        self.script = list(script)
        self.called_at: list[float] = []
        self.over = threading.Event()
        super().__init__()
        threading.Thread(target=self._beat, daemon=True).start()

    def close(self) -> None:
        self.over.set()
        super().close()

    def _beat(self) -> None:
        while not self.over.wait(2.0):
            self.send_update("")

    def reply(self, connection: socket.socket, request: http.Message) -> None:
        if "watch=1" not in request.path:
            super().reply(connection, request)
            return
        self.called_at.append(time.monotonic())
        fate = self.script.pop(0) if self.script else CallFate.SERVED
        with suppress(OSError):
            self._fail(connection, request, fate)

    def _fail(self, connection: socket.socket, request: http.Message, fate: CallFate) -> None:
        match fate:
            case CallFate.SERVED:
                super().reply(connection, request)
            case CallFate.FALLS_SILENT:
                super().reply(connection, request)
                self.watchers.remove(connection)
            case CallFate.REFUSED:
                connection.sendall(http_response(503))
            case CallFate.BUSY:
                time.sleep(BUSY_S)
                connection.sendall(http_response(503))
            case CallFate.SILENT:
                pass
            case CallFate.HEAD_ONLY:
                connection.sendall(HEAD)
            case CallFate.TRICKLING:
                connection.sendall(HEAD + b'ffffff\r\n{"revision": 5, "members": ["')
                while not self.over.wait(TRICKLE_PAUSE_S):
                    connection.sendall(b"x")
            case CallFate.CUT:
                connection.sendall(HEAD + b'ff\r\n{"revision": 5, "mem')
                connection.shutdown(socket.SHUT_RDWR)
            case CallFate.SPOILT:
                connection.sendall(HEAD + b'b\r\n{"members":}\r\n')


class CrowdedDiscovery(ScriptedPlatform):
    """Works through calls for the list one after another, those of callers that have left too."""

    def __init__(self, call_s: float) -> None:
        """`call_s` is how many seconds one call takes."""
        self._call_s = call_s
        self._calls: queue.Queue[tuple[socket.socket, http.Message]] = queue.Queue()
        super().__init__()
        threading.Thread(target=self._work, daemon=True).start()

    def reply(self, connection: socket.socket, request: http.Message) -> None:
        self._calls.put((connection, request))

    def _work(self) -> None:
        while True:
            connection, request = self._calls.get()
            time.sleep(self._call_s)
            with suppress(OSError):
                super().reply(connection, request)


class TimedPeer(ScriptedEndpoint):
    """An endpoint that keeps when each call came."""

    def __init__(self) -> None:
        self.received_at: list[float] = []
        super().__init__()

    def reply(self, connection: socket.socket, request: http.Message) -> None:
        self.received_at.append(time.monotonic())
        super().reply(connection, request)


def settings_for(senders: int) -> dict[str, object]:
    """The platform's settings for a fleet of so many."""
    settings = copy.deepcopy(SETTINGS)
    settings["balancers"] = senders
    return settings


class ListFollower:
    """A node's part that follows the list, with the decisions on when it asks; all of it in real time."""

    def __init__(self, service: ScriptedPlatform, senders: int, seed: int, pushed: bool) -> None:
        raw_settings = settings_for(senders)
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
