"""Notices to a platform whose answer is late, cut or endless."""

import time
from contextlib import suppress
from pathlib import Path

import gevent
import pytest

from irisstack.node import notices
from irisstack.node.counters import Counters
from irisstack.node.notices import NoticeSender
from irisstack.node.store import Store
from tests.node.support import listening_socket, wait_until
from tests.test_node_parts import add_message

NOTICE_DUE_S = 0.35
"""Seconds after a message's time in which its notice has to come."""
STANDSTILL_S = 0.15
"""Seconds for which the node may be held up meanwhile."""
NO_ANSWERS = {
    "nothing": b"",
    "half a line": b"HTTP/1.1 20",
    "a head without end": b"HTTP/1.1 204 No Content\r\nX: ",
}


@pytest.mark.parametrize("answer", NO_ANSWERS.values(), ids=NO_ANSWERS)
@pytest.mark.parametrize("trickles", [False, True], ids=["then silence", "then a trickle"])
def test_an_answer_that_never_ends_does_not_hold_up_the_notices(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, answer: bytes, trickles: bool
) -> None:
    monkeypatch.setattr(notices, "REQUEST_TIMEOUT", 0.3)
    store = Store(tmp_path, 3_000_000, 1000.0)
    add_message(store, 1)
    store.write([store.finish(1, "dead")], 1000.0)
    with listening_socket() as server:
        part = NoticeSender(server.getsockname(), store, Counters())
        worker = gevent.spawn(part.run)
        part.add(store.entries[1])
        with gevent.Timeout(20.0, AssertionError("not told anew")):
            first, _ = server.accept()
            first.sendall(answer)

            def trickle() -> None:
                with suppress(OSError):
                    while trickles:
                        first.sendall(b"y")
                        gevent.sleep(0.03)

            feeding = gevent.spawn(trickle)
            second, _ = server.accept()
            assert b'{"ref": "m1", "result": "dead"}' in second.recv(65536)
            second.sendall(b"HTTP/1.1 204 No Content\r\n\r\n")
            wait_until(lambda: part.idle)
        feeding.kill()
        worker.kill()
        for each in (first, second):
            each.close()
    assert store.entries[1].told


def test_a_connection_that_has_fallen_silent_does_not_make_a_notice_late(tmp_path: Path) -> None:
    """A notice is due 0.3 s after its message's time, and the connection was kept from the notice before."""
    store = Store(tmp_path, 3_000_000, 1000.0)
    for number in (1, 2):
        add_message(store, number)
        store.write([store.finish(number, "dead")], 1000.0)
    with listening_socket() as server:
        part = NoticeSender(server.getsockname(), store, Counters())
        worker = gevent.spawn(part.run)
        part.add(store.entries[1])
        first, _ = server.accept()
        assert first.recv(65536)
        first.sendall(b"HTTP/1.1 204 No Content\r\n\r\n")
        wait_until(lambda: part.idle)
        owed_at = time.monotonic()
        part.add(store.entries[2])
        with gevent.Timeout(20.0, AssertionError("not told anew")):
            second, _ = server.accept()
            assert b'{"ref": "m2", "result": "dead"}' in second.recv(65536)
        told_after = time.monotonic() - owed_at
        worker.kill()
        for each in (first, second):
            each.close()
    assert told_after <= NOTICE_DUE_S - STANDSTILL_S


def test_requests_that_are_refused_leave_a_silent_one_as_little_time_as_before(tmp_path: Path) -> None:
    """A platform that is away for a while refuses at once; that says nothing of how long answers take."""
    store = Store(tmp_path, 3_000_000, 1000.0)
    add_message(store, 1)
    store.write([store.finish(1, "dead")], 1000.0)
    with listening_socket() as server:
        part = NoticeSender(server.getsockname(), store, Counters())
        worker = gevent.spawn(part.run)
        part.add(store.entries[1])
        for _ in range(5):
            refused, _ = server.accept()
            refused.recv(65536)
            refused.close()
        silent, _ = server.accept()
        assert silent.recv(65536)
        silent_at = time.monotonic()
        with gevent.Timeout(20.0, AssertionError("not told anew")):
            second, _ = server.accept()
        told_after = time.monotonic() - silent_at
        worker.kill()
        for each in (silent, second):
            each.close()
    assert told_after <= NOTICE_DUE_S - STANDSTILL_S
