"""Notices to a platform whose answer is late, cut or endless."""

from contextlib import suppress
from pathlib import Path

import gevent
import pytest

from irisstack.node import notices
from irisstack.node.counters import Counters
from irisstack.node.notices import Notices
from irisstack.node.store import Store
from tests.node.support import listening, until
from tests.test_node_parts import take

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
    take(store, 1)
    store.write([store.over(1, "dead")], 1000.0)
    with listening() as server:
        part = Notices(server.getsockname(), store, Counters())
        worker = gevent.spawn(part.run)
        part.owe(store.entries[1])
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
            until(lambda: part.idle)
        feeding.kill()
        worker.kill()
        for each in (first, second):
            each.close()
    assert store.entries[1].told
