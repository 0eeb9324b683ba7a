"""A node is held up for 0.15 s while requests come on connections that rest: each needs an answer."""

import socket
import sys
import threading
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lib2"))

import signal

import rig

HELD_UP = 0.15
"""Seconds for which a node may be held up, by the page on the standing test."""
CONNECTIONS = 100
REST = (2.0, 2.6)
"""Seconds from a client's connect to its request, spread evenly; the node ends a silent one after 2.5 s."""
CROSSING = 0.02
"""Seconds: an end of the connection so soon behind a request's last byte counts as one that crossed it."""
HELD_UP_AT = 2.38
"""Seconds from the first connect to the hold-up."""
PATIENCE = 5.0


class Client(threading.Thread):
    """Connects, rests, and hands in one message."""

    def __init__(self, record: rig.Record, port: int, number: int, rest: float) -> None:
        super().__init__(daemon=True)
        self.record = record
        self.id = f"{number:016x}"
        self.rest = rest
        self.socket = socket.create_connection((rig.HOST, port), timeout=5.0)
        self.socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.connected_at = rig.now()
        self.written_at: float | None = None
        self.status = 0
        self.end = "not handed in: the connection had ended"
        self.ended_at = 0.0

    def run(self) -> None:
        request = (
            f"POST /warning-notice HTTP/1.1\r\nHost: backend.local\r\nX-Request-ID: {self.id}\r\n"
            "X-Priority-Class: warning-notice\r\nX-Tenant-Id: acme\r\nX-Timeout: 16.000\r\n"
            f"Idempotency-Key: k{self.id}\r\nX-Consignee: dest=1\r\nContent-Length: 5\r\n\r\nhello"
        ).encode()
        try:
            time.sleep(max(0.0, self.connected_at + self.rest - rig.now()))
            self.socket.settimeout(0.0)
            try:
                if not self.socket.recv(1, socket.MSG_PEEK):
                    return
            except BlockingIOError:
                pass
            self.socket.settimeout(PATIENCE)
            self.socket.sendall(request)
            self.written_at = rig.now()
            data = self.socket.recv(4096)
            self.ended_at = rig.now()
            self.status = int(data[9:12]) if data else 0
            self.end = "answered" if data else "end of the stream"
        except TimeoutError:
            self.end = "nothing"
        except OSError as error:
            self.end = f"reset ({error.strerror})"
        finally:
            self.ended_at = self.ended_at or rig.now()
            self.socket.close()
            self.record.add(
                "request",
                id=self.id,
                connected=round(self.connected_at, 4),
                written=self.written_at,
                status=self.status,
                end=self.end,
            )

    @property
    def lost(self) -> bool:
        """Ended without an answer although its last byte had long been written, and not by a reset.

        A close over unread bytes resets the connection, so without a reset the request was read.
        """
        return (
            self.written_at is not None
            and self.end == "end of the stream"
            and self.ended_at > self.written_at + CROSSING
        )


def case(record: rig.Record, folder: Path) -> tuple[bool, str]:
    platform, endpoint = rig.Platform(record), rig.Endpoint(record, "s-1")
    platform.update(endpoint.member(1, "minor-host"))
    node = rig.Node(record, folder, platform.address, platform.document(), rig.settings())
    node.start()
    node.wait_ready()
    time.sleep(1.0)
    begin = rig.now()
    spread = (REST[1] - REST[0]) / CONNECTIONS
    clients = [Client(record, node.port, n + 1, REST[0] + n * spread) for n in range(CONNECTIONS)]
    for client in clients:
        client.start()
    if rig.TROUBLE:
        time.sleep(max(0.0, begin + HELD_UP_AT - rig.now()))
        node.send(signal.SIGSTOP)
        time.sleep(HELD_UP)
        node.send(signal.SIGCONT)
    for client in clients:
        client.join(PATIENCE + 4.0)
    if node.crashed:
        return False, "the node has crashed"
    handed_in = [c for c in clients if c.written_at is not None]
    lost = [c for c in handed_in if c.lost]
    if not handed_in:
        raise rig.CannotRun("no request was written")
    answered = sum(c.status > 0 for c in handed_in)
    return not lost, f"{len(lost)} of {len(handed_in)} requests read and never answered, {answered} answered"


rig.main(__file__, case)
