"""Repeated attempts and kept connections: what may come between a decision and a call's last byte."""

import time
from collections.abc import Callable
from dataclasses import replace
from pathlib import Path
from random import Random
from typing import Any

import gevent
import pytest
from gevent import socket

from irisstack.interface import DedupScope, MessageWithdrawn, Outcome
from irisstack.node import sockets
from irisstack.node.counters import Counters
from irisstack.node.decider import Decider
from irisstack.node.endpoint import AttemptResult, Call, Endpoint, OutgoingMessage, Retire, WithholdCalls
from irisstack.node.results import Reached
from irisstack.node.store import Store
from irisstack.settings import Reader, read
from tests.node.support import listening_socket, wait_until
from tests.node_support import SETTINGS, http_response
from tests.support import CLASSES, KEYED, KEYED_INDEX, UNSAFE_INDEX, Driver, endpoint
from tests.test_node_parts import add_message, make_entry

FOREVER = 1e9


def actor(
    server: socket.socket, ended: list[AttemptResult], store: Store, connect_timeout: float = 5.0
) -> Endpoint:
    part = Endpoint(
        (bytes([127, 0, 0, 1]), 1),
        server.getsockname(),
        ended.append,
        store,
        Counters(),
        connect_timeout=connect_timeout,
        idle_timeout=60.0,
        max_idle_connections=5,
        max_calls=5,
        report_fields=(),
    )
    part.worker.start()
    return part


# ---- the window in which a repeat is dropped ----


def test_a_repeat_carries_the_end_of_its_window_and_a_first_attempt_none() -> None:
    driver = Driver(endpoint(1))
    driver.submit(1, 1.0, KEYED_INDEX)
    driver.end_attempt(1, Outcome.RESET, 1.5)
    driver.turn(5.0)
    assert [send.write_deadline for _, send in driver.sends] == [float("inf"), 1.0 + KEYED.dedup_window]


@pytest.mark.parametrize("late", ["in the mailbox", "on the way up", "in the writing"])
def test_a_repeat_whose_window_ends_before_its_last_byte_does_not_run(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, late: str
) -> None:
    """It is held back, or broken off while a part of it is missing: neither can have run."""
    ended: list[AttemptResult] = []
    store = Store(tmp_path, 3_000_000, 1000.0)
    add_message(store, 1)
    leave_by = time.monotonic() + (-0.1 if late == "in the mailbox" else 0.3)
    if late == "on the way up":
        connect = sockets.connect

        def slowly(*given: Any) -> socket.socket:
            wait_until(lambda: time.monotonic() > leave_by)
            return connect(*given)

        monkeypatch.setattr(sockets, "connect", slowly)
    with listening_socket() as server:
        part = actor(server, ended, store)
        body = bytes(50_000_000 if late == "in the writing" else 5)  # far more than the system holds
        part.mailbox.put(Call([OutgoingMessage(1, 1, "m1", "k", body, FOREVER, FOREVER, leave_by)], 1001.0))
        wait_until(lambda: ended)
        part.worker.kill()
        connection, _ = server.accept()
        with connection:
            came = 0
            while data := connection.recv(1_000_000):
                came += len(data)
    assert ended[0].result.reached is Reached.CONNECTED
    if late == "in the writing":
        assert 0 < came < len(body)
        assert ended[0].result.outcome is Outcome.CONNECT_FAILED
    else:
        assert came == 0
        assert ended[0].result.outcome is Outcome.NOT_SENT
        assert store.entries[1].out_at is None


def tell_later(part: Endpoint, told: Retire | WithholdCalls) -> None:
    gevent.sleep(0.1)
    part.mailbox.put(told)


def held_back(folder: Path, told: Retire | WithholdCalls | None) -> bool:
    """Whether a call does not leave that is told this, or whose window ends, 0.1 s after its decision."""
    ended: list[AttemptResult] = []
    store = Store(folder, 3_000_000, 1000.0)
    add_message(store, 1)
    with listening_socket() as server:
        part = actor(server, ended, store)
        if told is not None:
            gevent.spawn(tell_later, part, told)
        leave_by = time.monotonic() + 0.1 if told is None else FOREVER
        part.mailbox.put(Call([OutgoingMessage(1, 1, "m1", "k", b"", FOREVER, FOREVER, leave_by)], 1001.0))
        connection, _ = server.accept()
        with connection:
            wait_until(lambda: ended or not sockets.nothing_to_read(connection))
        part.worker.kill()
    return bool(ended) and ended[0].result.outcome is Outcome.NOT_SENT


def test_a_call_that_a_slow_record_holds_up_is_looked_at_once_more_before_it_leaves(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The whole node stands still while it writes; what it was told meanwhile it reads only then."""
    on_record = Store.record_send

    def slowly(*given: Any) -> bool:
        time.sleep(0.3)
        return on_record(*given)

    monkeypatch.setattr(Store, "record_send", slowly)
    left: list[str] = []
    for number, told in enumerate((Retire(), WithholdCalls(FOREVER), None)):
        folder = tmp_path / str(number)
        folder.mkdir()
        if not held_back(folder, told):
            left.append(str(told))
    assert left == []


@pytest.mark.parametrize("seed", range(8))
def test_a_message_sent_ahead_of_its_line_goes_again_in_its_zone_alone(seed: int) -> None:
    """On an unproven destination it passes one that may not be repeated, and leaves no place behind."""
    zoned = tuple(replace(kind, dedup_scope=DedupScope.ZONE) for kind in CLASSES)
    driver = Driver(endpoint(1, zone=0), endpoint(2, zone=1), classes=zoned, zones=("a", "b"), seed=seed)
    outage = (1, 2, 3)
    driver.turn(1.0, *(driver.message_received(number, 1.0) for number in outage))
    driver.turn(1.1, *(driver.attempt_ended(number, Outcome.ERROR, 1.1) for number in outage))
    driver.turn(1.2, *(MessageWithdrawn(number) for number in outage))
    driver.turn(
        1.3, driver.message_received(4, 1.3, UNSAFE_INDEX), driver.message_received(5, 1.3, KEYED_INDEX)
    )
    driver.run_until_sent(5)
    zone = driver.last_endpoint[5]
    assert not driver.send_times(4)
    at = driver.now + 0.1
    driver.turn(at, driver.attempt_ended(5, Outcome.RESET, at), MessageWithdrawn(4))
    driver.run_until_sent(5, attempts=2)
    assert len(driver.send_times(5)) == 2
    assert driver.last_endpoint[5] == zone


# ---- a shared call and time ----


def test_a_shared_call_that_never_comes_up_ends_with_its_first_message(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Waited for as long as a connection may take, the message was told its end after its time."""
    given: list[float] = []

    def never(_: Any, timeout: float, keep_trying: float) -> socket.socket:
        given.extend((timeout, keep_trying))
        raise TimeoutError

    monkeypatch.setattr(sockets, "connect", never)
    ended: list[AttemptResult] = []
    with listening_socket() as server:
        part = actor(server, ended, Store(tmp_path, 3_000_000, 1000.0), connect_timeout=50.0)
        due = time.monotonic() + 5.0
        part.mailbox.put(
            Call(
                [
                    OutgoingMessage(1, 0, "m1", "", b"", due, due),
                    OutgoingMessage(2, 0, "m2", "", b"", FOREVER, FOREVER),
                ],
                1001.0,
            )
        )
        wait_until(lambda: len(ended) == 2)
        part.worker.kill()
    assert all(0.0 < seconds <= 5.0 for seconds in given)
    assert {end.result.outcome for end in ended} == {Outcome.CONNECT_FAILED}


# ---- kept connections ----


def reset(connection: socket.socket) -> None:
    """Close with bytes unread, or told not to linger: the other side gets a reset."""
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\x01\0\0\0\0\0\0\0")
    connection.close()


CROSSINGS: dict[str, Callable[[socket.socket], object]] = {
    "its end": lambda connection: connection.shutdown(socket.SHUT_WR),
    "its reset": reset,
    "half a line": lambda connection: connection.sendall(b"HTTP/1.1 20"),
    "the answer once more": lambda connection: connection.sendall(http_response(200)),
}


@pytest.mark.parametrize("crossing", CROSSINGS.values(), ids=CROSSINGS)
def test_what_comes_on_a_connection_after_it_was_chosen_is_no_answer_to_the_next_call(
    tmp_path: Path, crossing: Callable[[socket.socket], object]
) -> None:
    ended: list[AttemptResult] = []
    with listening_socket() as server:
        part = actor(server, ended, Store(tmp_path, 3_000_000, 1000.0))
        part.mailbox.put(Call([OutgoingMessage(1, 0, "m1", "", b"", FOREVER, FOREVER)], 1001.0))
        first, _ = server.accept()
        assert b"m1" in first.recv(65536)
        first.sendall(http_response(200))
        wait_until(lambda: part._idle)
        choose = part._take_connection

        def chosen() -> Any:
            connection = choose()
            crossing(first)
            return connection

        part._take_connection = chosen  # type: ignore[method-assign]
        part.mailbox.put(Call([OutgoingMessage(2, 0, "m2", "", b"", FOREVER, FOREVER)], 1001.0))
        with gevent.Timeout(20.0, AssertionError("no new connection")):
            second, _ = server.accept()
        assert b"m2" in second.recv(65536)
        assert len(ended) == 1
        second.sendall(http_response(500))
        wait_until(lambda: len(ended) == 2)
        part.worker.kill()
        for each in (first, second):
            each.close()
    assert ended[1].result.outcome is Outcome.ERROR


@pytest.mark.parametrize(
    "spoilt",
    [
        b"HTTP/1.1 20",
        b"HTTP/1.1 500 No\r\nContent-Length: 5\r\n\r\nab",
        b"HTTP/1.1 503 Busy\r\nContent-Le",
        b"HTTP/1.1 500 No\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nab",
        b"HTTP/1.1 500 No\r\nContent-Length: -1\r\n\r\n",
        b"HTTP/1.1 500 No\r\nContent-Length: x\r\n\r\n",
        b"\r\n\r\n\x00",
        b"HTTP/1.1 100 Go on\r\n\r\n" * 30,
    ],
    ids=range(8),
)
def test_an_answer_cut_or_spoilt_anywhere_leaves_open_whether_it_ran(tmp_path: Path, spoilt: bytes) -> None:
    ended: list[AttemptResult] = []
    with listening_socket() as server:
        part = actor(server, ended, Store(tmp_path, 3_000_000, 1000.0))
        part.mailbox.put(Call([OutgoingMessage(1, 0, "m1", "", b"", FOREVER, FOREVER)], 1001.0))
        connection, _ = server.accept()
        with connection:
            connection.recv(65536)
            connection.sendall(spoilt)
        wait_until(lambda: ended)
        part.worker.kill()
    assert (ended[0].result.outcome, ended[0].result.reached) == (Outcome.RESET, Reached.WRITTEN)


@pytest.mark.parametrize(
    "more", [b"x", http_response(200), b"\r\n"], ids=["extra bytes", "twice", "an empty line"]
)
def test_a_good_answer_with_more_behind_it_counts_and_its_connection_is_not_used_again(
    tmp_path: Path, more: bytes
) -> None:
    ended: list[AttemptResult] = []
    with listening_socket() as server:
        part = actor(server, ended, Store(tmp_path, 3_000_000, 1000.0))
        part.mailbox.put(Call([OutgoingMessage(1, 0, "m1", "", b"", FOREVER, FOREVER)], 1001.0))
        connection, _ = server.accept()
        with connection:
            connection.recv(65536)
            connection.sendall(http_response(200) + more)
            wait_until(lambda: ended and not part._calls)
        part.worker.kill()
    assert ended[0].result.outcome is Outcome.OK
    assert not part._idle


# ---- across two lives ----


@pytest.mark.parametrize("ended", [None, True, False], ids=["still out", "may have run", "never ran"])
@pytest.mark.parametrize(("zone", "known_as"), [("z", 0), ("a zone of other settings", None), ("", None)])
def test_the_next_life_knows_when_and_where_the_first_attempt_that_may_have_run_went(
    tmp_path: Path, ended: bool | None, zone: str, known_as: int | None
) -> None:
    store = Store(tmp_path, 3_000_000, 1000.0)
    add_message(store, 1)
    store.record_send([(1, 0)], 1001.0, "where it never ran")
    store.write([store.end_attempt(1, 0, False)], 1001.0)
    store.record_send([(1, 1)], 1002.0, zone)
    if ended is not None:
        store.write([store.end_attempt(1, 1, ended)], 1003.0)
        store.record_send([(1, 2)], 1004.0, "later")
        store.write([store.end_attempt(1, 2, ended)], 1005.0)
    again = Store(tmp_path, 3_000_000, 1006.0)
    decider = Decider(
        read(Reader(SETTINGS)),
        1,
        again,
        Counters(),
        send_command=lambda *_: None,
        request_endpoints=lambda _: None,
        post_notice=lambda _: None,
        mailbox_capacity=10,
    )
    told = decider._received(again.entries[1])
    if ended is False:
        assert (told.may_have_run_at, told.may_have_run_zone) == (None, None)
    else:
        assert (told.may_have_run_at, told.may_have_run_zone) == (again.clock.to_monotonic(1002.0), known_as)


@pytest.mark.parametrize("second", ["untried", "out", "withheld", "ended"])
def test_a_third_life_knows_what_was_out_when_the_first_ended(tmp_path: Path, second: str) -> None:
    """Else the window began anew with each life, and a keyed message went again outside it."""
    first = Store(tmp_path, 3_000_000, 1000.0)
    add_message(first, 1)
    first.record_send([(1, 0)], 1001.0, "z")
    life = Store(tmp_path, 3_000_000, 1002.0)
    if second in ("out", "ended"):
        life.record_send([(1, 1)], 1003.0, "elsewhere")
    if second in ("withheld", "ended"):
        life.write([life.end_attempt(1, 1, ran=False)], 1004.0)
    third = Store(tmp_path, 3_000_000, 1005.0).entries[1]
    assert (third.ran_at, third.ran_in, third.out_at) == (1001.0, "z", None)
    assert third.attempts == 1 + (second != "untried")


@pytest.mark.parametrize("seed", range(3))
def test_a_folder_cut_at_any_byte_owes_what_was_whole(tmp_path: Path, seed: int) -> None:
    store = Store(tmp_path, 3_000_000, 1000.0)
    sizes: list[int] = []
    path = next(tmp_path.glob("*.log"))
    random = Random(seed)
    for number in range(1, 8):
        taken = make_entry(number, 5000.0)
        taken.body = random.randbytes(random.randint(0, 300))
        store.add(taken)
        store.write([store.accepted_record(number)], 1000.0)
        sizes.append(path.stat().st_size)
    data = path.read_bytes()
    for cut in range(len(data) + 1):
        folder = tmp_path / "cut"
        folder.mkdir(exist_ok=True)
        for old in folder.iterdir():
            old.unlink()
        (folder / path.name).write_bytes(data[:cut])
        life = Store(folder, 3_000_000, 1000.0)
        assert sorted(life.entries) == [n for n, size in enumerate(sizes, start=1) if size <= cut]
        life.close()
