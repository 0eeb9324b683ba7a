"""Reading from a connection by a deadline."""

import time
from collections.abc import Iterator
from typing import Any

import gevent
import pytest
from gevent import socket

from irisstack.node.buffer import Buffer
from irisstack.node.sockets import receive_before

Pair = tuple[socket.socket, socket.socket]


@pytest.fixture
def pair() -> Iterator[Pair]:
    near, far = socket.socketpair()
    with near, far:
        yield near, far


def test_bytes_are_read_as_they_come_and_the_end_is_zero(pair: Pair) -> None:
    near, far = pair
    buffer = Buffer()
    far.sendall(b"one")
    assert receive_before(near, buffer, time.monotonic() + 20.0) == 3
    gevent.spawn_later(0.02, far.sendall, b"two")
    assert receive_before(near, buffer, time.monotonic() + 20.0) == 3
    assert buffer.take(6) == b"onetwo"
    far.close()
    assert receive_before(near, buffer, time.monotonic() + 20.0) == 0


def test_a_deadline_that_passes_while_nothing_comes_is_a_timeout(pair: Pair) -> None:
    near, _ = pair
    deadline = time.monotonic() + 0.05
    with pytest.raises(TimeoutError):
        receive_before(near, Buffer(), deadline)
    assert deadline <= time.monotonic() < deadline + 20.0


def test_a_deadline_that_has_passed_does_not_wait(pair: Pair) -> None:
    near, _ = pair
    with gevent.Timeout(20.0), pytest.raises(TimeoutError):
        receive_before(near, Buffer(), time.monotonic() - 1.0)


@pytest.mark.parametrize("ends", [False, True])
def test_what_has_come_counts_after_the_deadline(pair: Pair, ends: bool) -> None:
    near, far = pair
    if ends:
        far.close()
    else:
        far.sendall(b"late")
    assert receive_before(near, Buffer(), time.monotonic() - 1.0) == (0 if ends else 4)


def test_what_came_during_a_standstill_counts_though_its_timeout_fires_first(
    pair: Pair, monkeypatch: pytest.MonkeyPatch
) -> None:
    near, far = pair
    buffer, receive = Buffer(), Buffer.receive
    deadline = time.monotonic() + 0.05

    def stand_still(buffer: Buffer, source: Any) -> int:
        monkeypatch.setattr(Buffer, "receive", receive)
        far.sendall(b"late")
        time.sleep(max(0.0, deadline - time.monotonic()))
        raise TimeoutError

    monkeypatch.setattr(Buffer, "receive", stand_still)
    assert receive_before(near, buffer, deadline) == 4
    assert buffer.take(4) == b"late"
