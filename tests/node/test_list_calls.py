"""List calls: a stalled call is given up in time, no update is lost, and the next call is in time."""

import json
from collections.abc import Callable, Iterator
from contextlib import contextmanager, suppress
from random import Random
from typing import Any

import gevent
import pytest
from gevent import socket
from gevent.event import Event

from irisstack import interface as api
from irisstack.node import list_call
from irisstack.node.discovery import WATCH_RETRY_PAUSE_S, AddressChanged, Discovery
from irisstack.node.list_call import PARTIAL_ANSWER_OVERDUE_AFTER_S, SILENCE_TIMEOUT_S, WATCH_OVERDUE_AFTER_S
from irisstack.node.list_reader import ListReader
from irisstack.settings import Reader, read
from tests.node.support import listening_socket, wait_until
from tests.node_support import SETTINGS
from tests.support import Driver, endpoint

RESPONSE_HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"


def chunk(text: str) -> bytes:
    return b"%x\r\n%s\r\n" % (len(text.encode()), text.encode())


def member(number: int) -> dict[str, Any]:
    return {
        "id": f"s{number}",
        "host_port": f"10.0.0.{number}:7070",
        "locality": "z",
        "flavor": "plain",
        "cell": number,
        "phase": "SERVING",
        "size": 2.5,
        "up_since_ms": 0,
    }


def document(revision: int, indent: int | None = None) -> str:
    return (
        json.dumps({"revision": revision, "complete": True, "members": [member(1), member(2)]}, indent=indent)
        + "\n"
    )


@contextmanager
def running_discovery(
    post: Callable[[api.EndpointsUpdated], None], pushed: bool = False
) -> Iterator[tuple[Discovery, socket.socket]]:
    """A running discovery actor and the server that it calls."""
    with listening_socket() as server:
        discovery = Discovery(server.getsockname(), ListReader(read(Reader(SETTINGS))), post, 4, pushed)
        worker = gevent.spawn(discovery.run)
        yield discovery, server
        worker.kill()
        discovery.close()


def accept(server: socket.socket) -> tuple[socket.socket, bytes]:
    """The next connection to the server and the head of its request."""
    with gevent.Timeout(20.0, AssertionError("no connection arrived")):
        connection, _ = server.accept()
        return connection, connection.recv(65536)


def trickle(connection: socket.socket, data: bytes) -> None:
    """Send a byte at a time, at intervals far below the silence time-out."""
    with suppress(OSError):
        for byte in data:
            connection.sendall(bytes([byte]))
            gevent.sleep(list_call.SILENCE_TIMEOUT_S / 10)


ENDLESS_OBJECT = b'{"revision": 5, "members": ["' + b"x" * 100_000
STALLED_ANSWERS: dict[
    str, tuple[bytes, bytes]
] = {  # the bytes sent at once, and those that trickle after them
    "no bytes": (b"", b""),
    "an answer's head": (RESPONSE_HEAD, b""),
    "half a head": (RESPONSE_HEAD[:20], b""),
    "after an object": (RESPONSE_HEAD + chunk(document(5)), b""),
    "after a heartbeat": (RESPONSE_HEAD + chunk("\n"), b""),
    "an endless object": (RESPONSE_HEAD + b"ffffff\r\n", ENDLESS_OBJECT),
    "an endless chunk size": (RESPONSE_HEAD, b"0" * 10_000),
    "an endless head": (b"HTTP/1.1 200 OK\r\nX: ", b"y" * 10_000),
}


@pytest.mark.parametrize("watch", [True, False], ids=["watch", "fetch"])
@pytest.mark.parametrize(("first_bytes", "later_bytes"), STALLED_ANSWERS.values(), ids=STALLED_ANSWERS)
def test_stalled_call_is_given_up_even_if_bytes_trickle_in(
    monkeypatch: pytest.MonkeyPatch, first_bytes: bytes, later_bytes: bytes, watch: bool
) -> None:
    monkeypatch.setattr(list_call, "SILENCE_TIMEOUT_S", 0.3)
    updates: list[api.EndpointsUpdated] = []
    with running_discovery(updates.append) as (discovery, server):
        discovery.mailbox.put(api.Subscribe(True) if watch else api.FetchEndpoints())
        connection, _ = accept(server)
        with connection:
            connection.sendall(first_bytes)
            trickling = gevent.spawn(trickle, connection, later_bytes)
            failed = wait_until(
                lambda: updates and updates[-1].scope is api.UpdateScope.FAILED and updates[-1]
            )
            trickling.kill()
        assert failed.silent_for >= list_call.SILENCE_TIMEOUT_S
        discovery.mailbox.put(api.Subscribe(True) if watch else api.FetchEndpoints())
        accept(server)[0].close()  # the next call can start


def test_heartbeats_and_objects_keep_a_watch_open(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(list_call, "SILENCE_TIMEOUT_S", 0.3)
    updates: list[api.EndpointsUpdated] = []
    with running_discovery(updates.append) as (discovery, server):
        discovery.mailbox.put(api.Subscribe(True))
        connection, _ = accept(server)
        with connection:
            connection.sendall(RESPONSE_HEAD)
            for _ in range(8):
                gevent.sleep(0.1)
                connection.sendall(chunk("\n"))
            connection.sendall(chunk(document(9)))
            wait_until(lambda: updates)
    assert updates[0].version == 9


def test_failed_connect_reports_no_silence(monkeypatch: pytest.MonkeyPatch) -> None:
    def failing_connect(*_: Any) -> None:
        raise TimeoutError

    monkeypatch.setattr("irisstack.node.sockets.connect", failing_connect)
    updates: list[api.EndpointsUpdated] = []
    with running_discovery(updates.append) as (discovery, _):
        discovery.mailbox.put(api.Subscribe(True))
        wait_until(lambda: updates)
    assert updates[0].silent_for == 0.0


def test_overdue_connect_reports_no_silence(monkeypatch: pytest.MonkeyPatch) -> None:
    """While the connection is not established, the service has not been reached, however long that takes."""
    monkeypatch.setattr(list_call, "ANSWER_OVERDUE_AFTER_S", 0.3)
    monkeypatch.setattr("irisstack.node.sockets.connect", lambda *_: gevent.sleep(60.0))
    updates: list[api.EndpointsUpdated] = []
    with running_discovery(updates.append) as (discovery, _):
        discovery.mailbox.put(api.Subscribe(True))
        wait_until(lambda: updates)
    assert updates[0].silent_for == 0.0
    assert updates[0].list_age >= list_call.ANSWER_OVERDUE_AFTER_S


@pytest.mark.parametrize("seed", range(5))
def test_indented_objects_on_a_watch_are_parsed_wherever_chunks_split(seed: int) -> None:
    random, updates = Random(seed), list[api.EndpointsUpdated]()
    text = "".join(document(revision, indent=random.choice([None, 2])) for revision in range(5, 12))
    with running_discovery(updates.append) as (discovery, server):
        discovery.mailbox.put(api.Subscribe(True))
        connection, _ = accept(server)
        with connection:
            connection.sendall(RESPONSE_HEAD)
            while text:
                size = random.randint(1, 150)
                connection.sendall(chunk(text[:size]))
                text = text[size:]
            wait_until(lambda: len(updates) == 7)
    assert [(update.version, len(update.endpoints)) for update in updates] == [(r, 2) for r in range(5, 12)]


def test_update_in_the_last_bytes_of_a_watch_is_posted() -> None:
    updates: list[api.EndpointsUpdated] = []
    with running_discovery(updates.append) as (discovery, server):
        discovery.mailbox.put(api.Subscribe(True))
        connection, _ = accept(server)
        with connection:
            connection.sendall(RESPONSE_HEAD + chunk(document(9)) + b"0\r\n\r\n")
            wait_until(lambda: len(updates) == 2)
    assert [(update.scope, update.version) for update in updates] == [
        (api.UpdateScope.FULL, 9),
        (api.UpdateScope.FAILED, 9),
    ]


def test_update_is_requested_again_if_the_watch_ends_before_it_is_posted() -> None:
    """The decision module's mailbox may be full: an update that is parsed but not posted is not known yet."""
    post_allowed = Event()
    updates: list[api.EndpointsUpdated] = []

    def post(update: api.EndpointsUpdated) -> None:
        post_called.set()
        post_allowed.wait()
        updates.append(update)

    post_called = Event()
    with running_discovery(post) as (discovery, server):
        discovery.mailbox.put(api.Subscribe(True))
        connection, _ = accept(server)
        connection.sendall(RESPONSE_HEAD + chunk(document(9)))
        assert post_called.wait(20.0)
        discovery.mailbox.put(api.Subscribe(False))
        wait_until(lambda: not discovery._watches)
        post_allowed.set()
        discovery.mailbox.put(api.Subscribe(True))
        second_connection, request = accept(server)
        assert b"from=4 " in request
        for each in (connection, second_connection):
            each.close()


def test_watch_at_a_new_address_is_kept_despite_a_late_subscription() -> None:
    """The old watch was lost, and a new subscription was due when the file named a new address."""
    updates: list[api.EndpointsUpdated] = []
    with running_discovery(updates.append) as (discovery, server), listening_socket() as new_server:
        discovery.mailbox.put(api.Subscribe(True))
        accept(server)[0].close()
        wait_until(lambda: updates)
        discovery.mailbox.put(AddressChanged(new_server.getsockname()))
        connection, request = accept(new_server)
        assert b"from=0 " in request
        discovery.mailbox.put(api.Subscribe(True))
        connection.sendall(RESPONSE_HEAD + chunk(document(2)))
        wait_until(lambda: updates[-1].version == 2)
        discovery.mailbox.put(api.Subscribe(True))
        wait_until(discovery.mailbox.empty)
        gevent.sleep(0.05)  # a new watch would have connected by now
        new_server.settimeout(0.0)
        with pytest.raises(BlockingIOError):
            new_server.accept()
        connection.close()


def test_blocked_post_and_full_mailbox_do_not_deadlock() -> None:
    """The decision module fills the mailbox while the discovery actor waits to post an update to it."""
    post_allowed = Event()
    with running_discovery(lambda update: post_allowed.wait() and None) as (discovery, server):
        discovery.mailbox.put(api.Subscribe(True))
        connection, _ = accept(server)
        connection.sendall(RESPONSE_HEAD + chunk(document(9)))
        with gevent.Timeout(20.0, AssertionError("the mailbox is not read")):
            for _ in range(3 * (discovery.mailbox.maxsize or 1)):
                discovery.mailbox.put(api.FetchEndpoints())
        post_allowed.set()
        connection.close()


VALID_UPDATE = {"revision": 6, "complete": True, "members": [member(1), member(2)]}
UPDATES: dict[
    str, tuple[Any, int | None]
] = {  # an update and the number of endpoints it yields; `None` if it is rejected
    "no members": ({"revision": 6, "complete": True, "members": []}, 0),
    "one bad member": (
        {**VALID_UPDATE, "members": [member(1), {"id": 5}, None, "x", {**member(3), "cell": "y"}]},
        1,
    ),
    "a member twice": ({**VALID_UPDATE, "members": [member(1), member(1)]}, 2),
    "an address twice": ({**VALID_UPDATE, "members": [member(1), {**member(1), "id": "other"}]}, 3),
    "a port of 0": ({**VALID_UPDATE, "members": [{**member(1), "host_port": "10.0.0.1:0"}, member(2)]}, 1),
    "a host name": ({**VALID_UPDATE, "members": [{**member(1), "host_port": "there:7070"}, member(2)]}, 1),
    "an infinite size": ({**VALID_UPDATE, "members": [{**member(1), "size": 1e999}, member(2)]}, 2),
    "no revision": ({"complete": True, "members": [member(1)]}, None),
    "members that are not a list": ({**VALID_UPDATE, "members": 5}, None),
    "complete is missing": ({"revision": 6, "members": [member(1)]}, None),
}


@pytest.mark.parametrize(("raw_update", "endpoint_count"), UPDATES.values(), ids=UPDATES)
def test_malformed_or_contradictory_update_affects_only_itself(
    raw_update: Any, endpoint_count: int | None
) -> None:
    updates: list[api.EndpointsUpdated] = []
    with running_discovery(updates.append) as (discovery, server):
        discovery.mailbox.put(api.Subscribe(True))
        connection, _ = accept(server)
        with connection:
            connection.sendall(RESPONSE_HEAD + chunk(json.dumps(raw_update) + "\n") + chunk(document(7)))
            wait_until(lambda: updates and (updates[-1].version == 7 or endpoint_count is None))
        first, known_revision = updates[0], discovery._revision
    if endpoint_count is None:  # reported as failed once and requested again from the known revision
        assert (first.scope, known_revision) == (api.UpdateScope.FAILED, 4)
    else:
        assert (first.version, len(first.endpoints)) == (6, endpoint_count)


# ---- when the decision module calls again ----

ANSWER_S = 0.5
"""Seconds that a list call may take once its service can answer."""


@pytest.mark.parametrize("senders", [2, 20, 200])
@pytest.mark.parametrize("silent_for", [0.0, 0.1, 1.0, SILENCE_TIMEOUT_S])
def test_next_call_after_a_failure_is_in_time_for_the_missed_update(senders: int, silent_for: float) -> None:
    """An update is due 6 s after the service had it and could be reached; here for the first failure."""
    waits = []
    for seed in range(30):
        driver = Driver(
            endpoint(1), discovery_on_request=True, list_refresh_interval=10.0, senders=senders, seed=seed
        )
        driver.turn(50.0)
        before = len(driver.subscribed)
        driver.turn(
            60.0, api.EndpointsUpdated(api.UpdateScope.FAILED, 1, (), silent_for, list_age=silent_for)
        )
        driver.turn(90.0)
        waits.append(driver.subscribed[before] - 60.0)
    assert silent_for + max(waits) + ANSWER_S <= 6.0
    assert senders == 2 or max(waits) - min(waits) > 0.4  # the calls of a fleet are spread over time


def test_retries_stay_frequent_during_a_long_outage() -> None:
    for seed in range(10):
        driver = Driver(
            endpoint(1), discovery_on_request=True, list_refresh_interval=10.0, senders=200, seed=seed
        )
        driver.turn(50.0)
        at = 60.0
        for _ in range(10):
            before = len(driver.subscribed)
            driver.turn(at, api.EndpointsUpdated(api.UpdateScope.FAILED, 1, (), 0.0))
            driver.turn(at + 20.0)
            wait = driver.subscribed[before] - at
            assert wait + ANSWER_S <= 6.0
            at += 21.0


def test_usual_pause_applies_if_the_silence_is_unknown() -> None:
    waits = []
    for seed in range(30):
        driver = Driver(
            endpoint(1), discovery_on_request=True, list_refresh_interval=10.0, senders=200, seed=seed
        )
        driver.turn(50.0)
        driver.turn(60.0, api.EndpointsUpdated(api.UpdateScope.FAILED, 1, ()))
        driver.turn(90.0)
        waits.append(driver.subscribed[1] - 60.0)
    assert 5.0 <= min(waits) < 7.0 < 13.0 < max(waits) <= 15.01


def test_silent_watch_is_replaced_in_time_where_lists_are_pushed() -> None:
    """Even if the call that replaces it is overdue and each pause is the longest that can be drawn."""
    assert (
        WATCH_OVERDUE_AFTER_S
        + 1.5 * WATCH_RETRY_PAUSE_S
        + PARTIAL_ANSWER_OVERDUE_AFTER_S
        + 1.5 * WATCH_RETRY_PAUSE_S
        + ANSWER_S
        < 6.0
    )
