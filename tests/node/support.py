"""Peers on loopback in one process with the part that is tested, and waiting without a guess at time."""

from collections.abc import Callable
from contextlib import suppress
from typing import Any

import gevent
from gevent import socket

TIMEOUT = 20.0
"""Seconds after which a test has failed; nothing else hangs on it."""


def wait_until(condition: Callable[[], Any], what: str = "the condition") -> Any:
    """Let the others run until something holds."""
    with gevent.Timeout(TIMEOUT, AssertionError(f"{what} did not come about")):
        while not (found := condition()):
            gevent.sleep(0.005)
    return found


def listening_socket() -> socket.socket:
    server = socket.socket()
    server.bind(("127.0.0.1", 0))
    server.listen()
    return server


def read_to_end(client: socket.socket) -> bytes:
    """All that a connection still brings, to its end or its reset."""
    data = b""
    with gevent.Timeout(TIMEOUT, AssertionError(f"no end after {data!r}")), suppress(ConnectionResetError):
        while more := client.recv(65536):
            data += more
    return data
