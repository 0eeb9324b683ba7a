"""One client that sends at full speed does not hold up the others, and its requests leave nothing behind."""

import itertools
import socket
import threading
import time
from collections.abc import Callable, Iterator
from contextlib import suppress
from pathlib import Path

import pytest

from irisstack.node import http
from tests.node.hostile_clients import HEAD, peak_memory_bytes, short_fields
from tests.node_support import (
    ClientConnection,
    Node,
    ScriptedEndpoint,
    eventually,
    message_request,
    node_and_platform,
)

FLOOD_S = 1.5
ANSWER_WITHIN_S = 0.4
"""Seconds for which clients wait for an answer."""
BATCH = 20
"""Requests that are written at once."""
MAX_GROWTH_BYTES = 8_000_000
"""Memory that the node may take up during a flood: buffers and what it keeps of accepted messages."""
UNREADABLE = b"NONSENSE%d / HTTP/1.1\r\n\r\n"

REQUESTS: dict[str, Callable[[int], bytes]] = {
    "health": lambda _: http.request("GET", "/healthz", "node"),
    "valid": lambda number: message_request(f"flood-{number}"),
    "malformed": lambda number: message_request(f"flood-{number}", X_Timeout="soon"),
    "unknown class": lambda number: message_request(f"flood-{number}", f"class-{number}"),
    "unknown destination": lambda number: message_request(f"flood-{number}", X_Consignee=f"dest={number}"),
    "unreadable": lambda number: UNREADABLE % number,
    "short fields": lambda _: short_fields() + b"\r\n",
    "small chunks": lambda _: (
        HEAD + b"Transfer-Encoding: chunked\r\n\r\n" + b"1\r\na\r\n" * 3_000 + b"0\r\n\r\n"
    ),
}


class Flood(threading.Thread):
    """Sends requests at full speed, on a new connection whenever one ends, and reads all answers."""

    def __init__(self, node: Node, make_request: Callable[[int], bytes]) -> None:
        super().__init__(daemon=True)
        self._node = node
        numbers = itertools.count(10)
        self._batches: Iterator[bytes] = (
            b"".join(make_request(next(numbers)) for _ in range(BATCH)) for _ in itertools.count()
        )
        self._stopped = threading.Event()
        self._client: ClientConnection | None = None

    def stop(self) -> None:
        """End the flood, also in the middle of a request."""
        self._stopped.set()
        if self._client is not None:
            with suppress(OSError):
                self._client._socket.shutdown(socket.SHUT_RDWR)
        self.join()

    def run(self) -> None:
        while not self._stopped.is_set():
            self._client = client = self._node.connect()
            reader = threading.Thread(target=self._read, args=(client._socket,), daemon=True)
            reader.start()
            with suppress(OSError):
                while not self._stopped.is_set():
                    client.send(next(self._batches))
            client.close()

    @staticmethod
    def _read(connection: socket.socket) -> None:
        with suppress(OSError):
            while connection.recv(65536):
                pass


@pytest.mark.parametrize("kind", REQUESTS)
def test_other_clients_are_answered_in_time_during_a_flood(tmp_path: Path, kind: str) -> None:
    endpoint = ScriptedEndpoint()
    with node_and_platform(tmp_path, endpoint, sockets=1024) as (node, _):
        for number in range(20):
            node.submit(f"before-{number}")
        memory_before = peak_memory_bytes(node.process.pid)
        flood = Flood(node, REQUESTS[kind])
        flood.start()
        end = time.monotonic() + FLOOD_S
        waits: list[float] = []
        ids: list[str] = []
        while time.monotonic() < end:
            ids.append(f"usual-{len(ids)}")
            started_at = time.monotonic()
            assert node.submit(ids[-1]).status == 202
            waits.append(time.monotonic() - started_at)
            time.sleep(0.02)
        flood.stop()
        assert max(waits) < ANSWER_WITHIN_S
        eventually(lambda: all(endpoint.calls_with(id_) for id_ in ids))
        assert peak_memory_bytes(node.process.pid) - memory_before < MAX_GROWTH_BYTES
