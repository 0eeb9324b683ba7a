"""Reading from a connection until a deadline."""

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
    local, remote = socket.socketpair()
    with local, remote:
        yield local, remote


def test_data_is_read_as_it_arrives_and_end_of_stream_is_zero(pair: Pair) -> None:
    local, remote = pair
    buffer = Buffer()
    remote.sendall(b"one")
    assert receive_before(local, buffer, time.monotonic() + 20.0) == 3
    gevent.spawn_later(0.02, remote.sendall, b"two")
    assert receive_before(local, buffer, time.monotonic() + 20.0) == 3
    assert buffer.take(6) == b"onetwo"
    remote.close()
    assert receive_before(local, buffer, time.monotonic() + 20.0) == 0


def test_deadline_without_data_raises_timeout(pair: Pair) -> None:
    local, _ = pair
    deadline = time.monotonic() + 0.05
    with pytest.raises(TimeoutError):
        receive_before(local, Buffer(), deadline)
    assert deadline <= time.monotonic() < deadline + 20.0


def test_past_deadline_does_not_wait(pair: Pair) -> None:
    local, _ = pair
    with gevent.Timeout(20.0), pytest.raises(TimeoutError):
        receive_before(local, Buffer(), time.monotonic() - 1.0)


@pytest.mark.parametrize("closed", [False, True])
def test_received_data_is_read_after_deadline(pair: Pair, closed: bool) -> None:
    local, remote = pair
    if closed:
        remote.close()
    else:
        remote.sendall(b"late")
    assert receive_before(local, Buffer(), time.monotonic() - 1.0) == (0 if closed else 4)


def test_data_received_while_suspended_is_read_though_timeout_fires_first(
    pair: Pair, monkeypatch: pytest.MonkeyPatch
) -> None:
    local, remote = pair
    buffer, receive = Buffer(), Buffer.receive
    deadline = time.monotonic() + 0.05

    def suspend(buffer: Buffer, source: Any) -> int:
        monkeypatch.setattr(Buffer, "receive", receive)
        remote.sendall(b"late")
        time.sleep(max(0.0, deadline - time.monotonic()))
        raise TimeoutError

    monkeypatch.setattr(Buffer, "receive", suspend)
    assert receive_before(local, buffer, deadline) == 4
    assert buffer.take(4) == b"late"
