"""Notices to a platform whose response is late, incomplete or endless."""

import errno
import time
from contextlib import suppress
from pathlib import Path

import gevent
import pytest

from irisstack.node import notices, sockets
from irisstack.node.counters import Counters
from irisstack.node.notices import NoticeSender
from irisstack.node.store import Store
from tests.node.support import listening_socket, wait_until
from tests.test_node_parts import add_message

NOTICE_DUE_S = 0.35
"""Seconds after a message's deadline within which its notice must arrive."""
SUSPENSION_S = 0.15
"""Seconds for which the node may be suspended meanwhile."""
UNFINISHED_RESPONSES = {
    "nothing": b"",
    "incomplete status line": b"HTTP/1.1 20",
    "incomplete headers": b"HTTP/1.1 204 No Content\r\nX: ",
}


@pytest.mark.parametrize("response", UNFINISHED_RESPONSES.values(), ids=UNFINISHED_RESPONSES)
@pytest.mark.parametrize("trickles", [False, True], ids=["then nothing", "then single bytes"])
def test_unfinished_response_does_not_block_notices(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, response: bytes, trickles: bool
) -> None:
    monkeypatch.setattr(notices, "MAX_REQUEST_TIMEOUT", 0.3)
    store = Store(tmp_path, 3_000_000, 1000.0)
    add_message(store, 1)
    store.write([store.finish(1, "dead")], 1000.0)
    with listening_socket() as server:
        notice_sender = NoticeSender(server.getsockname(), store, Counters())
        worker = gevent.spawn(notice_sender.run)
        notice_sender.add(store.entries[1])
        with gevent.Timeout(20.0, AssertionError("the notice was not sent again")):
            first, _ = server.accept()
            first.sendall(response)

            def trickle() -> None:
                with suppress(OSError):
                    while trickles:
                        first.sendall(b"y")
                        gevent.sleep(0.03)

            trickling = gevent.spawn(trickle)
            second, _ = server.accept()
            assert b'{"ref": "m1", "result": "dead"}' in second.recv(65536)
            second.sendall(b"HTTP/1.1 204 No Content\r\n\r\n")
            wait_until(lambda: notice_sender.idle)
        trickling.kill()
        worker.kill()
        for connection in (first, second):
            connection.close()
    assert store.entries[1].told


def test_silent_connection_does_not_delay_notice(tmp_path: Path) -> None:
    """A notice is due 0.3 s after its message's deadline; the silent connection is a reused one."""
    store = Store(tmp_path, 3_000_000, 1000.0)
    for number in (1, 2):
        add_message(store, number)
        store.write([store.finish(number, "dead")], 1000.0)
    with listening_socket() as server:
        notice_sender = NoticeSender(server.getsockname(), store, Counters())
        worker = gevent.spawn(notice_sender.run)
        notice_sender.add(store.entries[1])
        first, _ = server.accept()
        assert first.recv(65536)
        first.sendall(b"HTTP/1.1 204 No Content\r\n\r\n")
        wait_until(lambda: notice_sender.idle)
        added_at = time.monotonic()
        notice_sender.add(store.entries[2])
        with gevent.Timeout(20.0, AssertionError("the notice was not sent again")):
            second, _ = server.accept()
            assert b'{"ref": "m2", "result": "dead"}' in second.recv(65536)
        notified_after = time.monotonic() - added_at
        worker.kill()
        for connection in (first, second):
            connection.close()
    assert notified_after <= NOTICE_DUE_S - SUSPENSION_S


def test_failed_requests_do_not_lengthen_timeout(tmp_path: Path) -> None:
    """A platform that is down fails requests at once, which says nothing about its response time."""
    store = Store(tmp_path, 3_000_000, 1000.0)
    add_message(store, 1)
    store.write([store.finish(1, "dead")], 1000.0)
    with listening_socket() as server:
        notice_sender = NoticeSender(server.getsockname(), store, Counters())
        worker = gevent.spawn(notice_sender.run)
        notice_sender.add(store.entries[1])
        for _ in range(5):
            failed, _ = server.accept()
            failed.recv(65536)
            failed.close()
        silent, _ = server.accept()
        assert silent.recv(65536)
        silent_at = time.monotonic()
        with gevent.Timeout(20.0, AssertionError("the notice was not sent again")):
            second, _ = server.accept()
        notified_after = time.monotonic() - silent_at
        worker.kill()
        for connection in (silent, second):
            connection.close()
    assert notified_after <= NOTICE_DUE_S - SUSPENSION_S


def test_notice_is_sent_on_the_used_connection_while_no_other_can_be_opened(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Its response may be a repetition of the one before, so the notice is sent again on a new connection."""
    store = Store(tmp_path, 3_000_000, 1000.0)
    for number in (1, 2):
        add_message(store, number)
        store.write([store.finish(number, "dead")], 1000.0)
    connect = sockets.connect

    def fail_to_connect(*_: object) -> None:
        raise sockets.LocalResourceError(errno.EADDRNOTAVAIL, "no ports")

    with listening_socket() as server:
        notice_sender = NoticeSender(server.getsockname(), store, Counters())
        worker = gevent.spawn(notice_sender.run)
        notice_sender.add(store.entries[1])
        with gevent.Timeout(20.0, AssertionError("the notice was not sent")):
            first, _ = server.accept()
            assert b"m1" in first.recv(65536)
            first.sendall(b"HTTP/1.1 204 No Content\r\n\r\n")
            wait_until(lambda: notice_sender.idle)
            monkeypatch.setattr(sockets, "connect", fail_to_connect)
            added_at = time.monotonic()
            notice_sender.add(store.entries[2])
            assert b"m2" in first.recv(65536)
            notified_after = time.monotonic() - added_at
            first.sendall(b"HTTP/1.1 204 No Content\r\n\r\n")
            gevent.sleep(0.05)
            assert not notice_sender.idle
            monkeypatch.setattr(sockets, "connect", connect)
            second, _ = server.accept()
            assert b"m2" in second.recv(65536)
            second.sendall(b"HTTP/1.1 204 No Content\r\n\r\n")
            wait_until(lambda: notice_sender.idle)
        worker.kill()
        for connection in (first, second):
            connection.close()
    assert notified_after <= NOTICE_DUE_S - SUSPENSION_S
