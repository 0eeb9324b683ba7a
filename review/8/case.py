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
"""Seconds for which a node may be held up at most, by the page on the standing test."""
HOLD_UP = 0.135
"""Seconds that the script holds it up; it measures them, and a round that took over HELD_UP is not judged."""
HOLD_UP_AT = 2.405
"""Seconds from the middle of the connects to the hold-up."""
ROUNDS = 5
CONNECTIONS = 80
"""Clients in a round."""
REST = (2.0, 2.6)
"""Seconds from a client's connect to its request, spread evenly; the node ends a silent one after 2.5 s."""
CROSSING = 0.02
"""Seconds: an end of the connection so soon behind a request's last byte counts as one that crossed it."""
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


def play_round(record: rig.Record, node: rig.Node, number: int) -> list[Client]:
    """Have clients rest and hand in; returns those that did, none if the hold-up took too long."""
    begin = rig.now()
    spread = (REST[1] - REST[0]) / CONNECTIONS
    clients = [Client(record, node.port, 1000 * number + n, REST[0] + n * spread) for n in range(CONNECTIONS)]
    middle = (begin + rig.now()) / 2
    for client in clients:
        client.start()
    held_up = 0.0
    if rig.TROUBLE:
        time.sleep(max(0.0, middle + HOLD_UP_AT - rig.now()))
        held_from = rig.now()
        node.send(signal.SIGSTOP)
        time.sleep(HOLD_UP)
        node.send(signal.SIGCONT)
        held_up = rig.now() - held_from
    for client in clients:
        client.join(PATIENCE + 4.0)
    record.add("round", number=number, held_up=round(held_up, 4), judged=held_up <= HELD_UP)
    return [c for c in clients if c.written_at is not None] if held_up <= HELD_UP else []


def case(record: rig.Record, folder: Path) -> tuple[bool, str]:
    platform, endpoint = rig.Platform(record), rig.Endpoint(record, "s-1")
    platform.update(endpoint.member(1, "minor-host"))
    node = rig.Node(record, folder, platform.address, platform.document(), rig.settings())
    node.start()
    node.wait_ready()
    time.sleep(1.0)
    handed_in = [client for number in range(1, ROUNDS + 1) for client in play_round(record, node, number)]
    if node.crashed:
        return False, "the node has crashed"
    if not handed_in:
        raise rig.CannotRun("no request was written, or each hold-up took too long")
    lost = [c for c in handed_in if c.lost]
    answered = sum(c.status > 0 for c in handed_in)
    return not lost, f"{len(lost)} of {len(handed_in)} requests read and never answered, {answered} answered"


rig.main(__file__, case)
