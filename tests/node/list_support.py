"""A scripted service of the endpoint list: how each of its calls goes wrong, in turn."""

import socket
import threading
import time
from contextlib import suppress
from enum import Enum, auto

from irisstack.node import http
from tests.node_support import EndpointPeer, PlatformPeer, raw

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


class ScriptedDiscovery(PlatformPeer):
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
            self.tell("")

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
                connection.sendall(raw(503))
            case CallFate.BUSY:
                time.sleep(BUSY_S)
                connection.sendall(raw(503))
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


class TimedPeer(EndpointPeer):
    """An endpoint that keeps when each call came."""

    def __init__(self) -> None:
        self.received_at: list[float] = []
        super().__init__()

    def reply(self, connection: socket.socket, request: http.Message) -> None:
        self.received_at.append(time.monotonic())
        super().reply(connection, request)
