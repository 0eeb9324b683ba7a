"""Retries and reused connections: events between the decision to send a call and its last byte."""

import time
from collections.abc import Callable
from contextlib import suppress
from dataclasses import replace
from pathlib import Path
from random import Random
from typing import Any

import gevent
import pytest
from gevent import socket

from irisstack.interface import DedupScope, MessageWithdrawn, Outcome
from irisstack.node import sockets
from irisstack.node.buffer import Buffer, ByteSource
from irisstack.node.call import Call, OutgoingMessage
from irisstack.node.counters import Counters
from irisstack.node.decider import Decider
from irisstack.node.endpoint import AttemptResult, CancelAttempt, Endpoint, Retire, WithholdCalls
from irisstack.node.results import Reached
from irisstack.node.store import Store
from irisstack.settings import Reader, read
from tests.node.support import listening_socket, wait_until
from tests.node_support import SETTINGS, http_response
from tests.support import CLASSES, KEYED, KEYED_INDEX, UNSAFE_INDEX, Driver, endpoint
from tests.test_node_parts import add_message, make_entry

FAR_FUTURE = 1e9
"""A deadline, in seconds of the monotonic clock, that no test reaches."""
LATER_S = 0.05
"""Seconds between two parts of a response."""


def start_endpoint_actor(
    server: socket.socket, results: list[AttemptResult], store: Store, connect_timeout: float = 5.0
) -> Endpoint:
    actor = Endpoint(
        (bytes([127, 0, 0, 1]), 1),
        server.getsockname(),
        results.append,
        store,
        Counters(),
        connect_timeout=connect_timeout,
        idle_timeout=60.0,
        max_idle_connections=5,
        max_calls=5,
        report_fields=(),
    )
    actor.worker.start()
    return actor


# ---- the dedup window ----


def test_a_keyed_retry_must_be_written_within_its_dedup_window() -> None:
    driver = Driver(endpoint(1))
    driver.submit(1, 1.0, KEYED_INDEX)
    driver.end_attempt(1, Outcome.RESET, 1.5)
    driver.turn(5.0)
    assert [send.write_deadline for _, send in driver.sends] == [float("inf"), 1.0 + KEYED.dedup_window]


@pytest.mark.parametrize("late", ["in the mailbox", "while connecting", "while writing"])
def test_a_retry_that_misses_its_write_deadline_does_not_run(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, late: str
) -> None:
    """The call is withheld, or aborted before its last byte is written; in neither case can it have run."""
    results: list[AttemptResult] = []
    store = Store(tmp_path, 3_000_000, 1000.0)
    add_message(store, 1)
    write_deadline = time.monotonic() + (-0.1 if late == "in the mailbox" else 0.3)
    if late == "while connecting":
        connect = sockets.connect

        def connect_slowly(*arguments: Any) -> socket.socket:
            wait_until(lambda: time.monotonic() > write_deadline)
            return connect(*arguments)

        monkeypatch.setattr(sockets, "connect", connect_slowly)
    with listening_socket() as server:
        actor = start_endpoint_actor(server, results, store)
        body = bytes(50_000_000 if late == "while writing" else 5)  # far more than socket buffers hold
        actor.mailbox.put(
            Call([OutgoingMessage(1, 1, "m1", "k", body, FAR_FUTURE, FAR_FUTURE, write_deadline)], 1001.0)
        )
        wait_until(lambda: results)
        actor.worker.kill()
        connection, _ = server.accept()
        with connection:
            received = 0
            while data := connection.recv(1_000_000):
                received += len(data)
    assert results[0].result.reached is Reached.CONNECTED
    if late == "while writing":
        assert 0 < received < len(body)
        assert results[0].result.outcome is Outcome.CONNECT_FAILED
    else:
        assert received == 0
        assert results[0].result.outcome is Outcome.NOT_SENT
        assert store.entries[1].out_at is None


def send_command_later(actor: Endpoint, command: Retire | WithholdCalls) -> None:
    gevent.sleep(0.1)
    actor.mailbox.put(command)


def is_withheld(directory: Path, command: Retire | WithholdCalls | None) -> bool:
    """Whether a call is not sent if this command, or its write deadline, comes 0.1 s after the decision."""
    results: list[AttemptResult] = []
    store = Store(directory, 3_000_000, 1000.0)
    add_message(store, 1)
    with listening_socket() as server:
        actor = start_endpoint_actor(server, results, store)
        if command is not None:
            gevent.spawn(send_command_later, actor, command)
        write_deadline = time.monotonic() + 0.1 if command is None else FAR_FUTURE
        actor.mailbox.put(
            Call([OutgoingMessage(1, 1, "m1", "k", b"", FAR_FUTURE, FAR_FUTURE, write_deadline)], 1001.0)
        )
        connection, _ = server.accept()
        with connection:
            wait_until(lambda: results or not sockets.nothing_to_read(connection))
        actor.worker.kill()
    return bool(results) and results[0].result.outcome is Outcome.NOT_SENT


def test_a_call_is_checked_again_after_a_slow_write_of_its_record(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A write blocks the whole node, so commands queued meanwhile are read only after it."""
    record_send = Store.record_send

    def record_slowly(*arguments: Any) -> bool:
        time.sleep(0.3)
        return record_send(*arguments)

    monkeypatch.setattr(Store, "record_send", record_slowly)
    sent: list[str] = []
    for number, command in enumerate((Retire(), WithholdCalls(FAR_FUTURE), None)):
        directory = tmp_path / str(number)
        directory.mkdir()
        if not is_withheld(directory, command):
            sent.append(str(command))
    assert sent == []


@pytest.mark.parametrize("seed", range(8))
def test_a_message_sent_ahead_of_its_queue_is_retried_only_in_its_zone(seed: int) -> None:
    """On a destination not known to have recovered, a keyed message overtakes an unsafe one.

    It must leave no entry in the destination's queue, from which it could be retried in another zone.
    """
    zoned = tuple(replace(message_class, dedup_scope=DedupScope.ZONE) for message_class in CLASSES)
    driver = Driver(endpoint(1, zone=0), endpoint(2, zone=1), classes=zoned, zones=("a", "b"), seed=seed)
    failing = (1, 2, 3)
    driver.turn(1.0, *(driver.message_received(number, 1.0) for number in failing))
    driver.turn(1.1, *(driver.attempt_ended(number, Outcome.ERROR, 1.1) for number in failing))
    driver.turn(1.2, *(MessageWithdrawn(number) for number in failing))
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


# ---- time limits of a batch call ----


def test_a_batch_call_that_cannot_connect_ends_at_its_first_deadline(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """With the connect timeout alone, the message would get its result after its deadline."""
    timeouts: list[float] = []

    def time_out(_: Any, timeout: float, keep_trying: float) -> socket.socket:
        timeouts.extend((timeout, keep_trying))
        raise TimeoutError

    monkeypatch.setattr(sockets, "connect", time_out)
    results: list[AttemptResult] = []
    with listening_socket() as server:
        actor = start_endpoint_actor(
            server, results, Store(tmp_path, 3_000_000, 1000.0), connect_timeout=50.0
        )
        due = time.monotonic() + 5.0
        actor.mailbox.put(
            Call(
                [
                    OutgoingMessage(1, 0, "m1", "", b"", due, due),
                    OutgoingMessage(2, 0, "m2", "", b"", FAR_FUTURE, FAR_FUTURE),
                ],
                1001.0,
            )
        )
        wait_until(lambda: len(results) == 2)
        actor.worker.kill()
    assert all(0.0 < seconds <= 5.0 for seconds in timeouts)
    assert {end.result.outcome for end in results} == {Outcome.CONNECT_FAILED}


# ---- reused connections ----


def reset_connection(connection: socket.socket) -> None:
    """Close with a linger time of zero, which sends a reset."""
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\x01\0\0\0\0\0\0\0")
    connection.close()


LATE_EVENTS: dict[str, Callable[[socket.socket], object]] = {
    "end of stream": lambda connection: connection.shutdown(socket.SHUT_WR),
    "reset": reset_connection,
    "partial status line": lambda connection: connection.sendall(b"HTTP/1.1 20"),
    "duplicate answer": lambda connection: connection.sendall(http_response(200, body="m1")),
}


@pytest.mark.parametrize("late_event", LATE_EVENTS.values(), ids=LATE_EVENTS)
def test_late_data_on_a_reused_connection_is_not_the_answer_to_the_next_call(
    tmp_path: Path, late_event: Callable[[socket.socket], object]
) -> None:
    results: list[AttemptResult] = []
    with listening_socket() as server:
        actor = start_endpoint_actor(server, results, Store(tmp_path, 3_000_000, 1000.0))
        actor.mailbox.put(Call([OutgoingMessage(1, 0, "m1", "", b"", FAR_FUTURE, FAR_FUTURE)], 1001.0))
        first, _ = server.accept()
        assert b"m1" in first.recv(65536)
        first.sendall(http_response(200, body="m1"))
        wait_until(lambda: actor._idle)
        choose_connection = actor._take_connection

        def choose_then_late_event() -> Any:
            connection = choose_connection()
            late_event(first)
            return connection

        actor._take_connection = choose_then_late_event  # type: ignore[method-assign]
        actor.mailbox.put(Call([OutgoingMessage(2, 0, "m2", "", b"", FAR_FUTURE, FAR_FUTURE)], 1001.0))
        with gevent.Timeout(20.0, AssertionError("no new connection")):
            second, _ = server.accept()
        assert b"m2" in second.recv(65536)
        assert len(results) == 1
        second.sendall(http_response(500))
        wait_until(lambda: len(results) == 2)
        actor.worker.kill()
        for each in (first, second):
            each.close()
    assert results[1].result.outcome is Outcome.ERROR


@pytest.mark.parametrize(
    "invalid",
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
def test_a_truncated_or_invalid_answer_means_that_the_attempt_may_have_run(
    tmp_path: Path, invalid: bytes
) -> None:
    results: list[AttemptResult] = []
    with listening_socket() as server:
        actor = start_endpoint_actor(server, results, Store(tmp_path, 3_000_000, 1000.0))
        actor.mailbox.put(Call([OutgoingMessage(1, 0, "m1", "", b"", FAR_FUTURE, FAR_FUTURE)], 1001.0))
        connection, _ = server.accept()
        with connection:
            connection.recv(65536)
            connection.sendall(invalid)
        wait_until(lambda: results)
        actor.worker.kill()
    assert (results[0].result.outcome, results[0].result.reached) == (Outcome.RESET, Reached.WRITTEN)


@pytest.mark.parametrize(
    "trailing", [b"x", http_response(200), b"\r\n"], ids=["extra bytes", "second answer", "empty line"]
)
def test_a_valid_answer_with_trailing_bytes_counts_but_its_connection_is_not_reused(
    tmp_path: Path, trailing: bytes
) -> None:
    results: list[AttemptResult] = []
    with listening_socket() as server:
        actor = start_endpoint_actor(server, results, Store(tmp_path, 3_000_000, 1000.0))
        actor.mailbox.put(Call([OutgoingMessage(1, 0, "m1", "", b"", FAR_FUTURE, FAR_FUTURE)], 1001.0))
        connection, _ = server.accept()
        with connection:
            connection.recv(65536)
            connection.sendall(http_response(200, body="m1") + trailing)
            wait_until(lambda: results and not actor._calls)
        actor.worker.kill()
    assert results[0].result.outcome is Outcome.OK
    assert not actor._idle


class ShortReads:
    """A socket that reads few bytes at a time."""

    def __init__(self, source: ByteSource, size: int) -> None:
        self._source, self._size = source, size

    def recv_into(self, buffer: memoryview, /) -> int:
        with buffer[: self._size] as part:
            return self._source.recv_into(part)


def call_with(*ids: str) -> Call:
    messages = [
        OutgoingMessage(number, 0, id_, "", b"", FAR_FUTURE, FAR_FUTURE) for number, id_ in enumerate(ids)
    ]
    return Call(messages, 1001.0)


@pytest.mark.parametrize("end", ["response", "response before cancellation", "cancellation", "timeout"])
def test_call_is_not_ended_by_the_response_to_the_call_before_it(tmp_path: Path, end: str) -> None:
    """The response before is sent once more with the next call, here a batch call."""
    results: list[AttemptResult] = []
    first_response = http_response(200, body="m1")
    with listening_socket() as server:
        actor = start_endpoint_actor(server, results, Store(tmp_path, 3_000_000, 1000.0))
        actor.mailbox.put(call_with("m1"))
        connection, _ = server.accept()
        connection.recv(65536)
        connection.sendall(first_response)
        wait_until(lambda: actor._idle)
        call = call_with("b1", "b2")
        if end == "timeout":
            soon = time.monotonic() + 0.2
            call.messages = [replace(message, attempt_deadline=soon) for message in call.messages]
        actor.mailbox.put(call)
        assert b"b1" in connection.recv(65536)
        response = http_response(200, body="b1 deferred\r\nb2 accepted\r\n")
        connection.sendall(first_response + (response if end == "response before cancellation" else b""))
        if end == "response":
            gevent.sleep(0.05)
            assert len(results) == 1
            connection.sendall(response)
        if "cancellation" in end:
            actor.mailbox.put(CancelAttempt(0, 0))
        wait_until(lambda: len(results) == 3)
        wait_until(lambda: not actor._calls)
        assert not actor._idle
        actor.worker.kill()
        connection.close()
    outcomes = {
        "response": [Outcome.FULL, Outcome.OK],
        "response before cancellation": [Outcome.FULL, Outcome.OK],
        "cancellation": [Outcome.CANCELLED] * 2,
        "timeout": [Outcome.TIMEOUT] * 2,
    }
    assert [result.result.outcome for result in results[1:]] == outcomes[end]


REFUSALS = {
    "without a body": http_response(503),
    "with a body": http_response(503, body="busy"),
    "that names the message": http_response(503, "X-Request-ID: m2"),
    "with a wait": http_response(429, "Retry-After: 0.5"),
}


@pytest.mark.parametrize("read_size", [1, 4, 7, 4096])
@pytest.mark.parametrize("refusal", REFUSALS.values(), ids=REFUSALS)
def test_call_is_not_ended_by_a_part_of_the_response_to_the_call_before_it(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, refusal: bytes, read_size: int
) -> None:
    """The part, cut anywhere, takes the bytes that it lacks from the response to the call."""
    first_response = http_response(200, "X-Server-Load: x0=0.5", body="0123456789abcdef")
    for cut in range(1, len(first_response), 1 if read_size > 100 else 5):
        directory = tmp_path / str(cut)
        directory.mkdir()
        part = first_response[:cut]
        outcome = outcome_behind_part(directory, monkeypatch, first_response, part + refusal, read_size)
        assert outcome is Outcome.RESET, part


@pytest.mark.parametrize("missing", [1, 2, 3, 4])
def test_call_is_not_ended_by_a_part_that_the_first_bytes_of_a_refusal_complete(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, missing: int
) -> None:
    """The rest of the refusal arrives later, so that nothing behind the completed part gives it away."""
    first_response = http_response(200, body="0123456789abcdef")
    completed = first_response[:-missing] + REFUSALS["without a body"][:missing]
    rest = REFUSALS["without a body"][missing:]
    outcome = outcome_behind_part(tmp_path, monkeypatch, first_response, completed, 4096, rest)
    assert outcome is Outcome.RESET


def outcome_behind_part(
    directory: Path,
    monkeypatch: pytest.MonkeyPatch,
    first_response: bytes,
    second_response: bytes,
    read_size: int,
    sent_later: bytes = b"",
) -> Outcome:
    """The outcome of the second call on a connection; reads bring at most `read_size` bytes."""
    results: list[AttemptResult] = []
    receive = Buffer.receive

    def receive_little(buffer: Buffer, source: ByteSource) -> int:
        return receive(buffer, ShortReads(source, read_size))

    monkeypatch.setattr(Buffer, "receive", receive_little)
    with listening_socket() as server:
        actor = start_endpoint_actor(server, results, Store(directory, 3_000_000, 1000.0))
        actor._body_variety.observe("another body")
        actor.mailbox.put(call_with("m1"))
        connection, _ = server.accept()
        connection.recv(65536)
        connection.sendall(first_response)
        wait_until(lambda: actor._idle)
        actor.mailbox.put(call_with("m2"))
        connection.recv(65536)
        connection.sendall(second_response)
        if sent_later:
            gevent.sleep(LATER_S)
            with suppress(OSError):  # the call may have ended and its connection with it
                connection.sendall(sent_later)
        wait_until(lambda: len(results) == 2)
        wait_until(lambda: not actor._calls)
        assert not actor._idle
        actor.worker.kill()
        connection.close()
    monkeypatch.setattr(Buffer, "receive", receive)
    return results[1].result.outcome


# ---- across restarts ----


@pytest.mark.parametrize("may_have_run", [None, True, False], ids=["in flight", "may have run", "not run"])
@pytest.mark.parametrize(("zone", "zone_index"), [("z", 0), ("an unknown zone", None), ("", None)])
def test_a_restarted_node_knows_when_and_where_the_first_attempt_that_may_have_run_was_sent(
    tmp_path: Path, may_have_run: bool | None, zone: str, zone_index: int | None
) -> None:
    store = Store(tmp_path, 3_000_000, 1000.0)
    add_message(store, 1)
    store.record_send([(1, 0)], 1001.0, "where it never ran")
    store.write([store.end_attempt(1, 0, False)], 1001.0)
    store.record_send([(1, 1)], 1002.0, zone)
    if may_have_run is not None:
        store.write([store.end_attempt(1, 1, may_have_run)], 1003.0)
        store.record_send([(1, 2)], 1004.0, "later")
        store.write([store.end_attempt(1, 2, may_have_run)], 1005.0)
    reopened = Store(tmp_path, 3_000_000, 1006.0)
    decider = Decider(
        read(Reader(SETTINGS)),
        1,
        reopened,
        Counters(),
        send_command=lambda *_: None,
        request_endpoints=lambda _: None,
        post_notice=lambda _: None,
        mailbox_capacity=10,
    )
    event = decider._received_event(reopened.entries[1])
    if may_have_run is False:
        assert (event.may_have_run_at, event.may_have_run_zone) == (None, None)
    else:
        assert (event.may_have_run_at, event.may_have_run_zone) == (
            reopened.clock.to_monotonic(1002.0),
            zone_index,
        )


@pytest.mark.parametrize("second_attempt", ["untried", "in flight", "withheld", "ended"])
def test_an_attempt_in_flight_at_a_crash_is_known_after_two_restarts(
    tmp_path: Path, second_attempt: str
) -> None:
    """Otherwise each restart would begin a new dedup window, and a retry could come too late."""
    first_store = Store(tmp_path, 3_000_000, 1000.0)
    add_message(first_store, 1)
    first_store.record_send([(1, 0)], 1001.0, "z")
    second_store = Store(tmp_path, 3_000_000, 1002.0)
    if second_attempt in ("in flight", "ended"):
        second_store.record_send([(1, 1)], 1003.0, "elsewhere")
    if second_attempt in ("withheld", "ended"):
        second_store.write([second_store.end_attempt(1, 1, ran=False)], 1004.0)
    entry = Store(tmp_path, 3_000_000, 1005.0).entries[1]
    assert (entry.ran_at, entry.ran_in, entry.out_at) == (1001.0, "z", None)
    assert entry.attempts == 1 + (second_attempt != "untried")


@pytest.mark.parametrize("seed", range(3))
def test_a_log_truncated_at_any_byte_keeps_its_complete_records(tmp_path: Path, seed: int) -> None:
    store = Store(tmp_path, 3_000_000, 1000.0)
    sizes: list[int] = []
    path = next(tmp_path.glob("*.log"))
    random = Random(seed)
    for number in range(1, 8):
        entry = make_entry(number, 5000.0)
        entry.body = random.randbytes(random.randint(0, 300))
        store.add(entry)
        store.write([store.accepted_record(number)], 1000.0)
        sizes.append(path.stat().st_size)
    data = path.read_bytes()
    for cut in range(len(data) + 1):
        directory = tmp_path / "cut"
        directory.mkdir(exist_ok=True)
        for old in directory.iterdir():
            old.unlink()
        (directory / path.name).write_bytes(data[:cut])
        reopened = Store(directory, 3_000_000, 1000.0)
        assert sorted(reopened.entries) == [n for n, size in enumerate(sizes, start=1) if size <= cut]
        reopened.close()
