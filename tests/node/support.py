"""Helpers for tests of parts of the node in one process: loopback sockets and waits for conditions."""

from collections.abc import Callable
from contextlib import suppress
from typing import Any

import gevent
from gevent import socket

TIMEOUT = 20.0
"""Seconds after which a waiting test fails."""


def wait_until(condition: Callable[[], Any], what: str = "the condition") -> Any:
    """Let other greenlets run until the condition holds; returns its value."""
    with gevent.Timeout(TIMEOUT, AssertionError(f"timed out waiting for {what}")):
        while not (found := condition()):
            gevent.sleep(0.005)
    return found


def listening_socket() -> socket.socket:
    server = socket.socket()
    server.bind(("127.0.0.1", 0))
    server.listen()
    return server


def read_to_end(client: socket.socket) -> bytes:
    """All further bytes of a connection, until it is closed or reset."""
    data = b""
    with (
        gevent.Timeout(TIMEOUT, AssertionError(f"still open after {data!r}")),
        suppress(ConnectionResetError),
    ):
        while more := client.recv(65536):
            data += more
    return data
