"""Crowds of clients that send requests slowly, in part, or with very many headers."""

import itertools
import selectors
import socket
import string
import time
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from pathlib import Path

from irisstack.node import http
from tests.node_support import message_request

HEAD = message_request("hostile", body=b"").replace(b"Content-Length: 0\r\n\r\n", b"")
"""The head of a valid request, without the length of its body and the end of the head."""
WRITE_SIZE = 64
"""Bytes that a slow client writes at once."""
STEP_S = 0.02
"""Seconds between two rounds of a crowd."""


def short_fields(size: int = http.MAX_HEAD - 64) -> bytes:
    """A head, `size` bytes long and without its end, of as many different short fields as it has room for."""
    data = bytearray(HEAD)
    names = itertools.chain.from_iterable(
        itertools.product(string.ascii_lowercase, repeat=length) for length in (2, 3)
    )
    for name in names:
        field = "".join(name).encode() + b":\xe9\xe8\r\n"
        if len(data) + len(field) > size:
            break
        data += field
    return bytes(data)


def half_body() -> bytes:
    """A request with the largest body that is accepted, less its last bytes."""
    return HEAD + b"Content-Length: %d\r\n\r\n" % http.MAX_BODY + bytes(http.MAX_BODY - 64)


def half_chunk() -> bytes:
    """The same in one chunk."""
    return HEAD + b"Transfer-Encoding: chunked\r\n\r\n%x\r\n" % http.MAX_BODY + bytes(http.MAX_BODY - 64)


def long_chunk_extension() -> bytes:
    """A chunk whose first line does not end."""
    return HEAD + b"Transfer-Encoding: chunked\r\n\r\n10;" + b"x" * (http.MAX_BODY + http.MAX_HEAD - 64)


def long_trailer() -> bytes:
    """A whole chunked body and a trailer that does not end."""
    body = b"%x\r\n%s\r\n0\r\n" % (http.MAX_BODY, bytes(http.MAX_BODY))
    return HEAD + b"Transfer-Encoding: chunked\r\n\r\n" + body + b"X-Trailer: " + b"x" * http.MAX_BODY


INCOMPLETE_REQUESTS: dict[str, Callable[[], bytes]] = {
    "short_fields": short_fields,
    "half_body": half_body,
    "half_chunk": half_chunk,
    "long_chunk_extension": long_chunk_extension,
    "long_trailer": long_trailer,
}


class Crowd:
    """Clients that are connected at once, send the same bytes as far as they are taken, and stay."""

    def __init__(self, port: int, size: int, data: bytes, write_size: int = 1 << 20) -> None:
        """`write_size` is the number of bytes that each client sends in a round."""
        self._data, self._write_size = data, write_size
        self._selector = selectors.DefaultSelector()
        self._sent: dict[socket.socket, int] = {}
        self._connected_at: dict[socket.socket, float] = {}
        self.ended_after_s: list[float] = []
        """Seconds from the connect to an answer or a close, for each client that got one."""
        self.unconnected = 0
        for _ in range(size):
            self._connect(port)

    def _connect(self, port: int) -> None:
        try:
            client = socket.create_connection(("127.0.0.1", port), timeout=5.0)
        except OSError:
            self.unconnected += 1
            return
        client.setblocking(False)
        self._sent[client], self._connected_at[client] = 0, time.monotonic()
        self._selector.register(client, selectors.EVENT_READ)

    def run(self, seconds: float) -> None:
        """Send and read for a while, also once all clients have left."""
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            for client in list(self._sent):
                self._send(client)
            for key, _ in self._selector.select(STEP_S):
                assert isinstance(key.fileobj, socket.socket)
                self._end(key.fileobj)

    def _send(self, client: socket.socket) -> None:
        start = self._sent[client]
        try:
            self._sent[client] += client.send(self._data[start : start + self._write_size])
        except BlockingIOError:
            pass
        except OSError:
            self._end(client)

    def _end(self, client: socket.socket) -> None:
        """Note that a client got an answer or a close, and leave."""
        if client in self._sent:
            self.ended_after_s.append(time.monotonic() - self._connected_at[client])
            self._selector.unregister(client)
            del self._sent[client]
            client.close()

    def close(self) -> None:
        """Disconnect all clients that are left."""
        for client in self._sent:
            client.close()
        self._selector.close()


@contextmanager
def crowd(port: int, size: int, data: bytes, write_size: int = 1 << 20) -> Iterator[Crowd]:
    """A crowd that leaves at the end."""
    clients = Crowd(port, size, data, write_size)
    try:
        yield clients
    finally:
        clients.close()


def peak_memory_bytes(process: int) -> int:
    """The largest resident memory that a process has had."""
    return _status_bytes(process, "VmHWM")


def anonymous_memory_bytes(process: int) -> int:
    """The resident memory of a process without the pages of files, which processes share."""
    return _status_bytes(process, "RssAnon")


def _status_bytes(process: int, key: str) -> int:
    status = Path(f"/proc/{process}/status").read_text()
    line = next(line for line in status.splitlines() if line.startswith(f"{key}:"))
    return int(line.split()[1]) * 1024
