"""The list's one clock: what has fallen silent is broken in time, and nothing that was read is lost."""

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

HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"


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
def follower(
    post: Callable[[api.EndpointsUpdated], None], pushed: bool = False
) -> Iterator[tuple[Discovery, socket.socket]]:
    """What follows the list, and where it looks for it."""
    with listening_socket() as server:
        part = Discovery(server.getsockname(), ListReader(read(Reader(SETTINGS))), post, 4, pushed)
        worker = gevent.spawn(part.run)
        yield part, server
        worker.kill()
        part.close()


def accept(server: socket.socket) -> tuple[socket.socket, bytes]:
    """The next call to discovery and its head."""
    with gevent.Timeout(20.0, AssertionError("no call came")):
        connection, _ = server.accept()
        return connection, connection.recv(65536)


def trickle(connection: socket.socket, data: bytes) -> None:
    """Endlessly a byte at a time, far sooner each than the silence that is borne."""
    with suppress(OSError):
        for byte in data:
            connection.sendall(bytes([byte]))
            gevent.sleep(list_call.SILENCE_TIMEOUT_S / 10)


ENDLESS = b'{"revision": 5, "members": ["' + b"x" * 100_000
FALLEN_SILENT: dict[str, tuple[bytes, bytes]] = {  # what comes at once, and what trickles then
    "says nothing": (b"", b""),
    "an answer's head": (HEAD, b""),
    "half a head": (HEAD[:20], b""),
    "after an object": (HEAD + chunk(document(5)), b""),
    "after an empty line": (HEAD + chunk("\n"), b""),
    "an object without end": (HEAD + b"ffffff\r\n", ENDLESS),
    "a chunk's length without end": (HEAD, b"0" * 10_000),
    "a head without end": (b"HTTP/1.1 200 OK\r\nX: ", b"y" * 10_000),
}


@pytest.mark.parametrize("watch", [True, False], ids=["watch", "fetch"])
@pytest.mark.parametrize(("at_once", "then"), FALLEN_SILENT.values(), ids=FALLEN_SILENT)
def test_a_call_that_falls_silent_is_given_up_however_its_bytes_trickle(
    monkeypatch: pytest.MonkeyPatch, at_once: bytes, then: bytes, watch: bool
) -> None:
    monkeypatch.setattr(list_call, "SILENCE_TIMEOUT_S", 0.3)
    told: list[api.EndpointsUpdated] = []
    with follower(told.append) as (part, server):
        part.mailbox.put(api.Subscribe(True) if watch else api.FetchEndpoints())
        connection, _ = accept(server)
        with connection:
            connection.sendall(at_once)
            feeding = gevent.spawn(trickle, connection, then)
            failed = wait_until(lambda: told and told[-1].scope is api.UpdateScope.FAILED and told[-1])
            feeding.kill()
        assert failed.silent_for >= list_call.SILENCE_TIMEOUT_S
        part.mailbox.put(api.Subscribe(True) if watch else api.FetchEndpoints())
        accept(server)[0].close()  # nothing keeps the next call from starting


def test_empty_lines_and_objects_keep_a_watch(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(list_call, "SILENCE_TIMEOUT_S", 0.3)
    told: list[api.EndpointsUpdated] = []
    with follower(told.append) as (part, server):
        part.mailbox.put(api.Subscribe(True))
        connection, _ = accept(server)
        with connection:
            connection.sendall(HEAD)
            for _ in range(8):
                gevent.sleep(0.1)
                connection.sendall(chunk("\n"))
            connection.sendall(chunk(document(9)))
            wait_until(lambda: told)
    assert told[0].version == 9


def test_a_call_that_reaches_nobody_missed_nothing(monkeypatch: pytest.MonkeyPatch) -> None:
    def fails(*_: Any) -> None:
        raise TimeoutError

    monkeypatch.setattr("irisstack.node.sockets.connect", fails)
    told: list[api.EndpointsUpdated] = []
    with follower(told.append) as (part, _):
        part.mailbox.put(api.Subscribe(True))
        wait_until(lambda: told)
    assert told[0].silent_for == 0.0


def test_nor_did_one_that_is_late_and_has_reached_nobody_yet(monkeypatch: pytest.MonkeyPatch) -> None:
    """A connection that does not come up costs the service nothing, however long it is waited for."""
    monkeypatch.setattr(list_call, "ANSWER_OVERDUE_AFTER_S", 0.3)
    monkeypatch.setattr("irisstack.node.sockets.connect", lambda *_: gevent.sleep(60.0))
    told: list[api.EndpointsUpdated] = []
    with follower(told.append) as (part, _):
        part.mailbox.put(api.Subscribe(True))
        wait_until(lambda: told)
    assert told[0].silent_for == 0.0
    assert told[0].list_age >= list_call.ANSWER_OVERDUE_AFTER_S


@pytest.mark.parametrize("seed", range(5))
def test_an_indented_list_on_a_watch_is_followed_wherever_it_is_cut(seed: int) -> None:
    random, told = Random(seed), list[api.EndpointsUpdated]()
    text = "".join(document(revision, indent=random.choice([None, 2])) for revision in range(5, 12))
    with follower(told.append) as (part, server):
        part.mailbox.put(api.Subscribe(True))
        connection, _ = accept(server)
        with connection:
            connection.sendall(HEAD)
            while text:
                size = random.randint(1, 150)
                connection.sendall(chunk(text[:size]))
                text = text[size:]
            wait_until(lambda: len(told) == 7)
    assert [(update.version, len(update.endpoints)) for update in told] == [(r, 2) for r in range(5, 12)]


def test_what_a_watch_says_as_it_ends_is_heard() -> None:
    told: list[api.EndpointsUpdated] = []
    with follower(told.append) as (part, server):
        part.mailbox.put(api.Subscribe(True))
        connection, _ = accept(server)
        with connection:
            connection.sendall(HEAD + chunk(document(9)) + b"0\r\n\r\n")
            wait_until(lambda: len(told) == 2)
    assert [(update.scope, update.version) for update in told] == [
        (api.UpdateScope.FULL, 9),
        (api.UpdateScope.FAILED, 9),
    ]


def test_a_watch_that_ends_between_reading_and_handing_on_is_told_again() -> None:
    """The way to the module may be full just then: what was read and not handed on is not known yet."""
    way = Event()
    told: list[api.EndpointsUpdated] = []

    def post(update: api.EndpointsUpdated) -> None:
        reading.set()
        way.wait()
        told.append(update)

    reading = Event()
    with follower(post) as (part, server):
        part.mailbox.put(api.Subscribe(True))
        connection, _ = accept(server)
        connection.sendall(HEAD + chunk(document(9)))
        assert reading.wait(20.0)
        part.mailbox.put(api.Subscribe(False))
        wait_until(lambda: not part._watches)
        way.set()
        part.mailbox.put(api.Subscribe(True))
        again, request = accept(server)
        assert b"from=4 " in request
        for each in (connection, again):
            each.close()


def test_a_watch_at_a_new_address_is_not_ended_by_what_was_due_at_the_old_one() -> None:
    """Its place was lost, and the module meant to ask again, when the file named another address."""
    told: list[api.EndpointsUpdated] = []
    with follower(told.append) as (part, server), listening_socket() as elsewhere:
        part.mailbox.put(api.Subscribe(True))
        accept(server)[0].close()
        wait_until(lambda: told)
        part.mailbox.put(AddressChanged(elsewhere.getsockname()))
        connection, request = accept(elsewhere)
        assert b"from=0 " in request
        part.mailbox.put(api.Subscribe(True))
        connection.sendall(HEAD + chunk(document(2)))
        wait_until(lambda: told[-1].version == 2)
        part.mailbox.put(api.Subscribe(True))
        wait_until(part.mailbox.empty)
        gevent.sleep(0.05)  # a watch held anew would have dialled
        elsewhere.settimeout(0.0)
        with pytest.raises(BlockingIOError):
            elsewhere.accept()
        connection.close()


def test_a_full_way_to_the_module_and_a_full_mailbox_do_not_wait_for_each_other() -> None:
    """The module's side fills the mailbox while what follows the list waits to be heard by it."""
    heard = Event()
    with follower(lambda update: heard.wait() and None) as (part, server):
        part.mailbox.put(api.Subscribe(True))
        connection, _ = accept(server)
        connection.sendall(HEAD + chunk(document(9)))
        with gevent.Timeout(20.0, AssertionError("the mailbox is not read")):
            for _ in range(3 * (part.mailbox.maxsize or 1)):
                part.mailbox.put(api.FetchEndpoints())
        heard.set()
        connection.close()


GOOD = {"revision": 6, "complete": True, "members": [member(1), member(2)]}
LISTS: dict[str, tuple[Any, int | None]] = {  # an object, and how many endpoints it is good for, if any
    "no members": ({"revision": 6, "complete": True, "members": []}, 0),
    "one bad member": ({**GOOD, "members": [member(1), {"id": 5}, None, "x", {**member(3), "cell": "y"}]}, 1),
    "a member twice": ({**GOOD, "members": [member(1), member(1)]}, 2),
    "an address twice": ({**GOOD, "members": [member(1), {**member(1), "id": "other"}]}, 3),
    "a port of 0": ({**GOOD, "members": [{**member(1), "host_port": "10.0.0.1:0"}, member(2)]}, 1),
    "a host by name": ({**GOOD, "members": [{**member(1), "host_port": "there:7070"}, member(2)]}, 1),
    "an endless size": ({**GOOD, "members": [{**member(1), "size": 1e999}, member(2)]}, 2),
    "no revision": ({"complete": True, "members": [member(1)]}, None),
    "members that are no list": ({**GOOD, "members": 5}, None),
    "neither whole nor a change": ({"revision": 6, "members": [member(1)]}, None),
}


@pytest.mark.parametrize(("said", "good_for"), LISTS.values(), ids=LISTS)
def test_a_list_that_is_spoilt_or_contradicts_itself_costs_no_more_than_itself(
    said: Any, good_for: int | None
) -> None:
    told: list[api.EndpointsUpdated] = []
    with follower(told.append) as (part, server):
        part.mailbox.put(api.Subscribe(True))
        connection, _ = accept(server)
        with connection:
            connection.sendall(HEAD + chunk(json.dumps(said) + "\n") + chunk(document(7)))
            wait_until(lambda: told and (told[-1].version == 7 or good_for is None))
        first, known = told[0], part._revision
    if good_for is None:  # said once, and asked for again from what is known
        assert (first.scope, known) == (api.UpdateScope.FAILED, 4)
    else:
        assert (first.version, len(first.endpoints)) == (6, good_for)


# ---- what is decided on it ----

ANSWER = 0.5
"""Seconds that a call for the list may take once its service can answer."""


@pytest.mark.parametrize("senders", [2, 20, 200])
@pytest.mark.parametrize("unheard", [0.0, 0.1, 1.0, SILENCE_TIMEOUT_S])
def test_news_that_a_call_missed_is_asked_for_in_time(senders: int, unheard: float) -> None:
    """Due 6 s after the service had it and could be reached; here over the first failure of many senders."""
    waits = []
    for seed in range(30):
        driver = Driver(
            endpoint(1), discovery_on_request=True, list_refresh_interval=10.0, senders=senders, seed=seed
        )
        driver.turn(50.0)
        before = len(driver.subscribed)
        driver.turn(60.0, api.EndpointsUpdated(api.UpdateScope.FAILED, 1, (), unheard, list_age=unheard))
        driver.turn(90.0)
        waits.append(driver.subscribed[before] - 60.0)
    assert unheard + max(waits) + ANSWER <= 6.0
    assert senders == 2 or max(waits) - min(waits) > 0.4  # they do not all come back at once


def test_a_service_that_is_down_is_asked_often_enough_however_long_it_lasts() -> None:
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
            assert wait + ANSWER <= 6.0
            at += 21.0


def test_where_nobody_can_tell_what_was_missed_the_pause_is_as_ever() -> None:
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


def test_where_the_list_comes_unasked_a_silent_watch_is_made_good_in_time() -> None:
    """Also where the call that takes its place is late, and each pause is the longest that is drawn."""
    assert (
        WATCH_OVERDUE_AFTER_S
        + 1.5 * WATCH_RETRY_PAUSE_S
        + PARTIAL_ANSWER_OVERDUE_AFTER_S
        + 1.5 * WATCH_RETRY_PAUSE_S
        + ANSWER
        < 6.0
    )
