"""The node's parts by themselves: configuration, buffer, HTTP, results, the lasting folder, the list."""

import json
import socket
import subprocess
import sys
import time
from contextlib import suppress
from dataclasses import replace
from pathlib import Path
from typing import Any

import gevent
import pytest
from gevent import socket as gevent_socket

from irisstack import interface as api
from irisstack.node import http
from irisstack.node.buffer import INITIAL_SIZE, Buffer
from irisstack.node.config import ConfigError, load
from irisstack.node.counters import Counters
from irisstack.node.decider import Decider
from irisstack.node.discovery import Discovery
from irisstack.node.endpoint import (
    AttemptResult,
    Call,
    CancelAttempt,
    Endpoint,
    OutgoingMessage,
    Retire,
    WithholdCalls,
)
from irisstack.node.intake import Intake
from irisstack.node.list_reader import ListReader
from irisstack.node.record_clock import wall_clock
from irisstack.node.results import EndReason, Reached, answer_result, batch_results, unanswered_result
from irisstack.node.store import Entry, Store
from irisstack.settings import Reader, read
from tests.node_support import SETTINGS, http_response, message_request


class Source:
    """A socket's stand-in that hands out bytes in pieces."""

    def __init__(self, data: bytes, piece: int) -> None:
        self._data, self._piece = data, piece

    def recv_into(self, buffer: memoryview, /) -> int:
        size = min(self._piece, len(buffer), len(self._data))
        buffer[:size], self._data = self._data[:size], self._data[size:]
        return size


# ---- configuration ----

LANE = SETTINGS["lanes"][0]


def written(folder: Path, **changes: Any) -> dict[str, str]:
    raw = {
        "name": "n",
        "listen": "127.0.0.1:1",
        "discovery": "127.0.0.1:2",
        "seed": "ff",
        "limits": {"sockets": 100, "disk_mb": 3},
        "known": {"revision": 1, "members": []},
        "settings": SETTINGS,
        **changes,
    }
    (folder / "config.json").write_text(json.dumps(raw))
    return {"RELAY_CONFIG": str(folder / "config.json"), "RELAY_STATE": str(folder)}


def test_the_environment_stands_above_the_file(tmp_path: Path) -> None:
    config = load({**written(tmp_path), "RELAY_LISTEN": "127.0.0.9:7070", "RELAY_NAME": "n9"})
    assert (config.name, config.listen, config.discovery) == ("n9", ("127.0.0.9", 7070), ("127.0.0.1", 2))
    assert (config.seed, config.sockets, config.disk_bytes) == (255, 100, 3_000_000)
    assert config.settings.classes[1].effect is api.Effect.KEYED
    new = config.settings.zone, config.settings.cross_zone_price, config.peers, config.trial
    assert new == (0, 0.0, (), None)


def test_notes_count_only_where_the_other_nodes_places_are_known(tmp_path: Path) -> None:
    tells = {"settings": {**SETTINGS, "allowed": {**SETTINGS["allowed"], "mayTell": True}}}
    assert not load(written(tmp_path, **tells)).settings.may_gossip
    assert load(written(tmp_path, **tells, peers=["127.0.0.1:9"])).settings.may_gossip


def test_what_stands_under_watch_is_laid_over_the_settings(tmp_path: Path) -> None:
    config = load(written(tmp_path, watch={"allowed": {"mayTell": True}, "tariffs": {"crossZone": 0.01}}))
    assert config.trial is not None
    assert replace(config.trial, may_gossip=False, cross_zone_price=0.0) == config.settings
    assert (config.trial.may_gossip, config.trial.cross_zone_price) == (True, 0.01)


def test_read_anew_the_file_tells_where_discovery_is(tmp_path: Path) -> None:
    environment = {**written(tmp_path), "RELAY_DISCOVERY": "127.0.0.1:3"}
    assert load(environment).discovery == ("127.0.0.1", 3)
    assert load(environment, reload=True).discovery == ("127.0.0.1", 2)


@pytest.mark.parametrize(
    ("changes", "key"),
    [
        ({"listen": "nowhere"}, "listen"),
        ({"listen": 7}, "listen"),
        ({"discovery": "127.0.0.1:99999"}, "discovery"),
        ({"seed": "xyz"}, "seed"),
        ({"limits": {"sockets": 5}}, "limits.sockets"),
        ({"limits": {"disk_mb": 0.1}}, "limits.disk_mb"),
        ({"limits": []}, "limits"),
        ({"known": []}, "known"),
        ({"settings": {**SETTINGS, "lanes": []}}, "settings.lanes"),
        ({"settings": {**SETTINGS, "shapes": []}}, "settings.shapes"),
        ({"settings": {**SETTINGS, "extra": {}}}, "settings.extra.maxCalls"),
        (
            {"settings": {**SETTINGS, "extra": {"maxCalls": 4, "batchByKind": [1, None]}}},
            "settings.extra.batchByKind[1]",
        ),
        ({"settings": {**SETTINGS, "shapes": ["plain", []]}}, "settings.shapes[1]"),
        (
            {"settings": {**SETTINGS, "extra": {"maxCalls": 4, "batchByKind": [1, 2, 3]}}},
            "settings.extra.batchByKind",
        ),
        (
            {"settings": {**SETTINGS, "extra": {"maxCalls": 4, "separateRoutes": [False, "no"]}}},
            "settings.extra.separateRoutes[1]",
        ),
        ({"settings": {**SETTINGS, "az": "west"}}, "settings.az"),
        ({"settings": {**SETTINGS, "az": 1}}, "settings.az"),
        ({"settings": {**SETTINGS, "az": -1}}, "settings.az"),
        ({"settings": {**SETTINGS, "tariffs": {"crossZone": "dear"}}}, "settings.tariffs.crossZone"),
        ({"settings": {**SETTINGS, "tariffs": {"crossZone": -0.1}}}, "settings.tariffs.crossZone"),
        ({"peers": "127.0.0.1:7"}, "peers"),
        ({"peers": ["127.0.0.1:7", "next door"]}, "peers[1]"),
        ({"watch": []}, "watch"),
        ({"watch": {"az": 5}}, "watch.az"),
        ({"watch": {"lanes": [LANE]}}, "watch.lanes"),
        ({"watch": {"allowed": {"mayTell": "yes"}}}, "watch.allowed.mayTell"),
        ({"settings": {**SETTINGS, "lanes": [{**LANE, "slo": "x"}]}}, "settings.lanes[0].slo"),
        ({"settings": {**SETTINGS, "lanes": [{**LANE, "repeat": "x"}]}}, "settings.lanes[0].repeat"),
    ],
)
def test_a_fault_is_named_by_its_key(tmp_path: Path, changes: dict[str, Any], key: str) -> None:
    with pytest.raises(ConfigError) as told:
        load(written(tmp_path, **changes))
    assert str(told.value).startswith(f"{key}:")


def test_a_bad_configuration_is_one_line_and_an_exit_code(tmp_path: Path) -> None:
    ended = subprocess.run(
        [sys.executable, "-m", "irisstack", "run"],
        env=written(tmp_path, seed="?"),
        capture_output=True,
        text=True,
        check=False,
    )
    assert ended.returncode != 0
    assert ended.stderr == "irisstack: seed: expected a hexadecimal number, got '?'\n"


@pytest.mark.parametrize("environment", [{}, {"RELAY_CONFIG": "/nowhere"}])
def test_a_file_that_is_not_there_is_named(environment: dict[str, str]) -> None:
    with pytest.raises(ConfigError, match="RELAY_CONFIG"):
        load(environment)


# ---- buffer and HTTP ----


def test_a_buffer_grows_and_hands_out_what_came_in_order() -> None:
    data = bytes(i % 251 for i in range(5 * INITIAL_SIZE))
    source, buffer, taken = Source(data, 1000), Buffer(), b""
    while buffer.receive(source):
        if len(buffer) > INITIAL_SIZE:
            taken += buffer.take(700)
    assert taken + buffer.take(len(buffer)) == data


@pytest.mark.parametrize("piece", [1, 7, 4096])
def test_a_request_is_the_same_however_it_is_cut(piece: int) -> None:
    data = http.request("POST", "/a?b=1", "node", [("X-One", "1")], b"\r\n\r\nbody")
    source, buffer, reader = Source(data * 2, piece), Buffer(), http.RequestReader()
    found = []
    while buffer.receive(source):
        while (whole := reader.advance(buffer)) is not None:
            found.append((whole.method, whole.path, whole.headers["x-one"], bytes(whole.body)))
    assert found == [("POST", "/a?b=1", "1", b"\r\n\r\nbody")] * 2


def answer_of(data: bytes) -> http.Message | None:
    source, buffer, reader = Source(data, 5), Buffer(), http.ResponseReader()
    while buffer.receive(source):
        if (whole := reader.advance(buffer)) is not None:
            return whole
    return reader.finish_at_eof()


def test_answers_with_chunks_with_no_length_and_after_an_interim_one() -> None:
    chunked = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\na\nb\n\r\n1\r\nc\r\n0\r\n\r\n"
    assert (whole := answer_of(chunked)) is not None
    assert bytes(whole.body) == b"a\nb\nc"
    assert (whole := answer_of(b"HTTP/1.1 200 OK\r\n\r\nto the end")) is not None
    assert bytes(whole.body) == b"to the end"
    assert not whole.keep_alive
    interim = b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n"
    assert (whole := answer_of(interim)) is not None
    assert whole.status == 503
    assert answer_of(chunked[:-3]) is None


# ---- results ----


@pytest.mark.parametrize(
    ("reached", "ending", "outcome"),
    [
        (Reached.NOTHING, EndReason.GIVEN_UP, api.Outcome.CONNECT_FAILED),
        (Reached.CONNECTED, EndReason.BROKEN, api.Outcome.CONNECT_FAILED),
        (Reached.CONNECTED, EndReason.CALLED_OFF, api.Outcome.CONNECT_FAILED),
        (Reached.CONNECTED, EndReason.WITHHELD, api.Outcome.NOT_SENT),
        (Reached.WRITTEN, EndReason.BROKEN, api.Outcome.RESET),
        (Reached.WRITTEN, EndReason.GIVEN_UP, api.Outcome.TIMEOUT),
        (Reached.WRITTEN, EndReason.CALLED_OFF, api.Outcome.CANCELLED),
    ],
)
def test_whether_it_may_have_run_is_told_by_the_last_byte(
    reached: Reached, ending: EndReason, outcome: api.Outcome
) -> None:
    assert unanswered_result(reached, ending).outcome is outcome


def said(status: int, body: str = "", **headers: str) -> http.Message:
    named = {name.replace("_", "-"): value for name, value in headers.items()}
    return http.Message(named, bytearray(body.encode()), status=status)


@pytest.mark.parametrize(
    ("answer", "outcome", "over", "wait"),
    [
        (said(200), api.Outcome.OK, True, None),
        (said(500), api.Outcome.ERROR, False, None),
        (said(418), api.Outcome.ERROR, False, None),
        (said(429, retry_after="1.25"), api.Outcome.FULL, False, 1.25),
        (said(429, retry_after="later"), api.Outcome.FULL, False, None),
        (said(503), api.Outcome.FULL, False, None),
        (said(503, x_line_busy="1"), api.Outcome.NOT_SENT, False, None),
        (said(504), api.Outcome.NOT_SENT, False, None),
        (said(410), api.Outcome.NOT_SENT, True, None),
    ],
)
def test_the_outcome_of_an_answer(
    answer: http.Message, outcome: api.Outcome, over: bool, wait: float | None
) -> None:
    result = answer_result(answer, ())
    assert (result.outcome, result.final, result.retry_after) == (outcome, over, wait)


def test_a_report_is_read_in_the_order_of_the_settings() -> None:
    fields = ("x0", "x1")
    assert answer_result(said(200, x_server_load="x1=25,x0=0.4"), fields).report == (0.4, 25.0)
    assert answer_result(said(200, x_server_load="x1=25"), fields).report == (0.0, 25.0)
    assert answer_result(said(200, x_server_load="nonsense"), fields).report == ()
    assert answer_result(said(200, x_server_load="x0=nan,x1=inf"), fields).report == ()


def test_each_message_of_a_shared_call_has_its_end() -> None:
    body = "a accepted\r\nb fault\r\nc deferred\r\nd expired\r\ne no_more\r\nf nonsense\r\n"
    results = batch_results(said(200, body, retry_after="2"), ["a", "b", "c", "d", "e", "f", "g"], ())
    assert [(r.outcome.name, r.final) for r in results.values()] == [
        ("OK", True),
        ("ERROR", False),
        ("FULL", False),
        ("NOT_SENT", True),
        ("NOT_SENT", False),
        ("RESET", False),
        ("RESET", False),
    ]
    assert {r.retry_after for r in results.values()} == {2.0}
    assert {r.outcome for r in batch_results(said(413), ["a", "b"], ()).values()} == {api.Outcome.NOT_SENT}
    assert {r.outcome for r in batch_results(said(500), ["a", "b"], ()).values()} == {api.Outcome.ERROR}


# ---- the lasting folder ----


def make_entry(number: int, due: float, body: bytes = b"body") -> Entry:
    return Entry(number, f"m{number}", "key", "safe", 0, 1, due, False, False, body)


def add_message(store: Store, number: int, due: float = 2000.0, body: bytes = b"body") -> None:
    store.add(make_entry(number, due, body))
    store.write([store.accepted_record(number)], 1000.0)


def test_what_is_known_of_a_message_comes_back(tmp_path: Path) -> None:
    store = Store(tmp_path, 3_000_000, 1000.0)
    for number in range(1, 7):
        add_message(store, number)
    store.record_send([(1, 0), (2, 0), (3, 0)], 1001.0)
    store.write(
        [
            store.end_attempt(1, 0, ran=True),
            store.end_attempt(2, 0, ran=False),
            store.finish(4, "delivered"),
            store.finish(5, "bounced", 700),
            store.finish(6, "dead"),
        ],
        1002.0,
    )
    store.record_send([(1, 1)], 1003.0)
    store.mark_notified([6], 1004.0)
    again = Store(tmp_path, 3_000_000, 1005.0).entries
    assert [(again[n].attempts, again[n].ran_at, again[n].pending) for n in (1, 2, 3)] == [
        (2, 1001.0, True),
        (1, None, True),
        (1, 1001.0, True),
    ]
    assert [(again[n].result, again[n].wait_ms, again[n].notice_pending) for n in (4, 5, 6)] == [
        ("delivered", 0, False),
        ("bounced", 700, True),
        ("dead", 0, False),
    ]
    assert again[1].body == b"body"
    assert again[4].body == b""


@pytest.mark.parametrize("cut", [1, 10, 100])
def test_a_torn_record_is_dropped_and_what_came_before_holds(tmp_path: Path, cut: int) -> None:
    store = Store(tmp_path, 3_000_000, 1000.0)
    add_message(store, 1)
    add_message(store, 2)
    store.close()
    (path,) = tmp_path.iterdir()
    path.write_bytes(path.read_bytes()[:-cut])
    again = Store(tmp_path, 3_000_000, 1000.0)
    assert list(again.entries) == [1]
    add_message(again, 2)
    assert list(Store(tmp_path, 3_000_000, 1000.0).entries) == [1, 2]


def test_the_folder_stays_within_its_limit_and_loses_nothing_owed(tmp_path: Path) -> None:
    disk = 1_000_000
    store, now = Store(tmp_path, disk, 1000.0), 1000.0
    keep = [1, 2, 3]
    for number in keep:
        add_message(store, number, due=1e9, body=bytes([number]) * 30_000)
    for number in range(10, 400):
        now += 1.0
        store.add(make_entry(number, now + 5.0, bytes(9_000)))
        store.write([store.accepted_record(number)], now)
        store.record_send([(number, 0)], now)
        store.write([store.end_attempt(number, 0, ran=True), store.finish(number, "delivered")], now)
        assert sum(-(-path.stat().st_size // 512) * 512 for path in tmp_path.iterdir()) <= disk
    assert len(store.entries) < 200
    again = Store(tmp_path, disk, now)
    assert {n: again.entries[n].body for n in keep} == {n: bytes([n]) * 30_000 for n in keep}
    assert all(again.entries[n].pending for n in keep)


def test_many_large_messages_at_once_stay_within_the_limit(tmp_path: Path) -> None:
    disk = 3_000_000
    store, taken = Store(tmp_path, disk, 1000.0), []
    for number in range(1, 100):
        new = make_entry(number, 2000.0, bytes(http.MAX_BODY))
        if not store.fits(new, 1000.0):
            break
        store.add(new)
        taken.append(number)
    store.write([store.accepted_record(number) for number in taken], 1000.0)
    assert len(taken) > 10
    assert sum(-(-path.stat().st_size // 512) * 512 for path in tmp_path.iterdir()) <= disk
    assert list(Store(tmp_path, disk, 1000.0).entries) == taken


def test_a_folder_full_of_what_is_owed_has_room_again_once_that_is_over(tmp_path: Path) -> None:
    store, number = Store(tmp_path, 1_000_000, 1000.0), 1
    while store.fits(make_entry(number, 1010.0, bytes(100)), 1000.0):
        store.add(make_entry(number, 1010.0, bytes(100)))
        store.finish(number, "dead")  # its notice is still owed
        number += 1
    assert not store.fits(make_entry(number, 1010.0), 1009.0)
    store.mark_notified(range(1, number), 1009.0)
    assert store.fits(make_entry(number, 1030.0), 1011.0)
    assert store.entries == {}


def test_what_is_over_and_told_makes_room_for_what_comes(tmp_path: Path) -> None:
    store = Store(tmp_path, 1_000_000, 1000.0)
    for number in range(1, 5000):
        assert store.fits(make_entry(number, 1010.0 + number), 1000.0)
        store.add(make_entry(number, 1010.0 + number))
        store.finish(number, "delivered")
    assert 4999 in store.entries  # the newest are known again
    assert 1 not in store.entries


def test_a_message_that_was_refused_leaves_no_trace(tmp_path: Path) -> None:
    store = Store(tmp_path, 3_000_000, 1000.0)
    store.add(make_entry(1, 2000.0))
    store.discard(1)
    assert (store.entries, store.by_id) == ({}, {})
    assert Store(tmp_path, 3_000_000, 1000.0).entries == {}


# ---- endpoints ----


def lone_endpoint(peer: tuple[str, int], ended: list[AttemptResult], store: Store) -> Endpoint:
    return Endpoint(
        (bytes([127, 0, 0, 1]), 1),
        peer,
        ended.append,
        store,
        Counters(),
        connect_timeout=5.0,
        idle_timeout=60.0,
        max_idle_connections=5,
        max_calls=5,
        report_fields=(),
    )


@pytest.mark.parametrize(
    ("commands", "outcome", "reached"),
    [
        ([], api.Outcome.TIMEOUT, Reached.WRITTEN),
        ([Retire()], api.Outcome.NOT_SENT, Reached.CONNECTED),
        ([WithholdCalls(time.monotonic() + 1e6)], api.Outcome.NOT_SENT, Reached.CONNECTED),
        ([WithholdCalls(time.monotonic() - 1.0)], api.Outcome.TIMEOUT, Reached.WRITTEN),
    ],
)
def test_a_call_that_has_not_left_is_held_back_by_a_drain_and_by_a_wait(
    tmp_path: Path, commands: list[Retire | WithholdCalls], outcome: api.Outcome, reached: Reached
) -> None:
    ended: list[AttemptResult] = []
    store = Store(tmp_path, 3_000_000, 1000.0)
    add_message(store, 1)
    with socket.create_server(("127.0.0.1", 0)) as server:
        endpoint = lone_endpoint(server.getsockname(), ended, store)
        endpoint.worker.start()
        for command in commands:
            endpoint.mailbox.put(command)
        give_up = time.monotonic() + 0.5
        endpoint.mailbox.put(Call([OutgoingMessage(1, 0, "m1", "", b"body", give_up, give_up)], 1001.0))
        while not ended:
            gevent.sleep(0.01)
        endpoint.worker.kill()
    assert (ended[0].result.outcome, ended[0].result.reached) == (outcome, reached)
    assert (store.entries[1].out_at is None) == (reached is Reached.CONNECTED)


def test_a_shared_call_ends_whole_and_with_the_first_message_that_is_out_of_time(tmp_path: Path) -> None:
    """One that merely wants to go again does not end it; an attempt that was told its end has no call out."""
    ended: list[AttemptResult] = []
    came: list[bytes] = []  # what the endpoint had read by the first end that was told, b"" for its own end
    store = Store(tmp_path, 3_000_000, 1000.0)
    with socket.create_server(("127.0.0.1", 0)) as server:
        endpoint = lone_endpoint(server.getsockname(), ended, store)

        def told(end: AttemptResult) -> None:
            """At the moment of the first end, the call is no longer out."""
            if not came:
                connection, _ = server.accept()
                connection.settimeout(3.0)
                with connection, suppress(TimeoutError):
                    while not came or came[-1]:
                        came.append(connection.recv(65536))
            ended.append(end)

        endpoint._post_result = told
        endpoint.worker.start()
        now = time.monotonic()
        times = {
            "hurried": (now + 0.1, now + 60.0),
            "patient": (now + 60.0, now + 60.0),
            "out-of-time": (now + 0.2, now + 0.2),
        }
        endpoint.mailbox.put(
            Call(
                [OutgoingMessage(number, 0, id_, "", b"", *times[id_]) for number, id_ in enumerate(times)],
                1001.0,
            )
        )
        while len(ended) < 3:
            gevent.sleep(0.01)
        endpoint.worker.kill()
    assert {end.number: end.result for end in ended} == dict.fromkeys(
        range(3), unanswered_result(Reached.WRITTEN, EndReason.GIVEN_UP)
    )
    assert time.monotonic() >= times["out-of-time"][0]  # not before: the hurried one alone ended nothing
    assert b"patient" in b"".join(came)
    assert came[-1] == b""


def test_a_shared_call_outlasts_a_message_that_would_go_again(tmp_path: Path) -> None:
    """Given up for the first that would, it took the unsafe ones beside it down, whose answer was to come."""
    ended: list[AttemptResult] = []
    with socket.create_server(("127.0.0.1", 0)) as server:
        endpoint = lone_endpoint(server.getsockname(), ended, Store(tmp_path, 3_000_000, 1000.0))
        endpoint.worker.start()
        hurried = time.monotonic() + 0.1
        endpoint.mailbox.put(
            Call(
                [
                    OutgoingMessage(0, 0, "hurried", "", b"", hurried, 1e9),
                    OutgoingMessage(1, 0, "patient", "", b"", 1e9, 1e9),
                ],
                1001.0,
            )
        )
        connection, _ = gevent.get_hub().threadpool.apply(server.accept)
        with connection:
            while time.monotonic() < hurried + 0.1:
                gevent.sleep(0.01)
            connection.sendall(http_response(200, body="hurried accepted\r\npatient accepted\r\n"))
            while len(ended) < 2:
                gevent.sleep(0.01)
        endpoint.worker.kill()
    assert {end.number: end.result.outcome for end in ended} == {0: api.Outcome.OK, 1: api.Outcome.OK}


def test_a_call_whose_time_has_passed_does_not_leave_on_a_kept_connection(tmp_path: Path) -> None:
    """As after a standstill of the node between the decision and the write."""
    ended: list[AttemptResult] = []
    with socket.create_server(("127.0.0.1", 0)) as server:
        endpoint = lone_endpoint(server.getsockname(), ended, Store(tmp_path, 3_000_000, 1000.0))
        endpoint.worker.start()
        endpoint.mailbox.put(Call([OutgoingMessage(1, 0, "m1", "", b"", 1e9, 1e9)], 1001.0))
        while not endpoint._calls:
            gevent.sleep(0.01)
        connection, _ = server.accept()
        with connection:
            connection.sendall(http_response(200))
            while endpoint._calls:
                gevent.sleep(0.01)
            past = time.monotonic() - 1.0
            endpoint.mailbox.put(Call([OutgoingMessage(2, 0, "m2", "", b"", past, past)], 1001.0))
            while len(ended) < 2:
                gevent.sleep(0.01)
            endpoint.worker.kill()
            assert b"m2" not in connection.recv(65536)
    assert ended[1].result == unanswered_result(Reached.CONNECTED, EndReason.GIVEN_UP)


@pytest.mark.parametrize("call_off", [False, True])
def test_an_answer_that_came_during_a_standstill_counts(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, call_off: bool
) -> None:
    """Time-outs and commands that fell due meanwhile come first, and must not hide what has come."""
    ended: list[AttemptResult] = []
    receive, end = Buffer.receive, time.monotonic() + 0.3
    with socket.create_server(("127.0.0.1", 0)) as server:
        endpoint = lone_endpoint(server.getsockname(), ended, Store(tmp_path, 3_000_000, 1000.0))

        def stand_still(buffer: Buffer, source: Any) -> int:
            """The answer comes and the time passes before this process looks, at its clock first."""
            monkeypatch.setattr(Buffer, "receive", receive)
            connection, _ = server.accept()
            with connection:
                connection.recv(65536)
                connection.sendall(http_response(200))
            if call_off:
                endpoint.mailbox.put(CancelAttempt(1, 0))
                gevent.sleep(1e9)
            time.sleep(max(0.0, end - time.monotonic()))
            raise TimeoutError

        monkeypatch.setattr(Buffer, "receive", stand_still)
        endpoint.worker.start()
        endpoint.mailbox.put(
            Call([OutgoingMessage(1, 0, "m1", "", b"", 1e9 if call_off else end, 1e9)], 1001.0)
        )
        while not ended:
            gevent.sleep(0.01)
        endpoint.worker.kill()
    assert ended[0].result.outcome is api.Outcome.OK


def test_a_call_called_off_before_it_began_never_ran(tmp_path: Path) -> None:
    ended: list[AttemptResult] = []
    store = Store(tmp_path, 3_000_000, 1000.0)
    endpoint = lone_endpoint(("127.0.0.1", 1), ended, store)
    endpoint.mailbox.put(Call([OutgoingMessage(1, 0, "m1", "", b"", 1e9, 1e9)], 1001.0))
    endpoint.mailbox.put(CancelAttempt(1, 0))
    endpoint.worker.start()
    while not ended:
        gevent.sleep(0.01)
    assert ended[0].result == unanswered_result(Reached.NOTHING, EndReason.CALLED_OFF)


# ---- the list ----


def member(number: int, **changes: Any) -> dict[str, Any]:
    return {
        "id": f"s{number}",
        "host_port": f"10.0.0.{number}:7070",
        "locality": "z",
        "flavor": "shared",
        "cell": number,
        "phase": "SERVING",
        "size": 2.5,
        "up_since_ms": 0,
        **changes,
    }


def test_the_list_is_read_and_a_bad_line_costs_only_itself() -> None:
    reader = ListReader(read(Reader(SETTINGS)))
    update = reader.parse_update(
        {
            "revision": 7,
            "complete": True,
            "members": [
                member(1),
                {"id": "x"},
                member(2, flavor="unheard of"),
                5,
                member(3, host_port="here"),
                member(4, phase="DRAINING", up_since_ms=1000.0 * wall_clock()),
            ],
        }
    )
    assert (update.scope, update.version) == (api.UpdateScope.FULL, 7)
    first, last = update.endpoints
    assert first == api.Endpoint((bytes([10, 0, 0, 1]), 7070), api.EndpointState.READY, 1, 1, 0, 2.5, None)
    assert last.state is api.EndpointState.DRAINING
    assert last.added_at is not None


HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
WHOLE = json.dumps({"revision": 9, "complete": True, "members": [member(1)]}).encode() + b"\n"


@pytest.mark.parametrize(
    "spoilt",
    [
        b"",
        HEAD,
        HEAD + b"%x\r\n" % len(WHOLE) + WHOLE[:20],
        HEAD + b"3\r\n{]\n\r\n",
        HEAD + b"3\r\n[]\n\r\n",
        HEAD + b"zz\r\n",
        http_response(503),
        http_response(200, body="{}"),
        b"\x00" * 64,
        HEAD + b"20\r\n" + b'{"revision":1e999,"members":[]}\n',
    ],
    ids=range(10),
)
def test_a_watch_that_breaks_or_is_spoilt_is_told_once_and_the_next_one_is_followed(spoilt: bytes) -> None:
    told: list[api.EndpointsUpdated] = []
    with gevent.Timeout(10.0), gevent_socket.socket() as server:
        server.bind(("127.0.0.1", 0))
        server.listen()
        discovery = Discovery(server.getsockname(), ListReader(read(Reader(SETTINGS))), told.append, 4, False)
        worker = gevent.spawn(discovery.run)
        for answer in (spoilt, HEAD + b"%x\r\n" % len(WHOLE) + WHOLE + b"\r\n"):
            before = len(told)
            discovery.mailbox.put(api.Subscribe(True))
            connection, _ = server.accept()
            assert b"from=4 " in connection.recv(65536)  # nothing spoilt was taken for a revision
            connection.sendall(answer)
            if answer is spoilt:
                connection.close()
            while len(told) == before:
                gevent.sleep(0.01)
        worker.kill()
        connection.close()
    assert [update.scope for update in told[:2]] == [api.UpdateScope.FAILED, api.UpdateScope.FULL]
    assert (told[1].version, len(told[1].endpoints)) == (9, 1)


def test_an_endpoint_that_moved_is_gone_from_its_old_address() -> None:
    reader = ListReader(read(Reader(SETTINGS)))
    reader.parse_update({"revision": 1, "complete": True, "members": [member(1)]})
    update = reader.parse_update(
        {"revision": 2, "complete": False, "members": [member(1, host_port="10.0.0.9:1")]}
    )
    assert [(e.address[0][3], e.state) for e in update.endpoints] == [
        (1, api.EndpointState.GONE),
        (9, api.EndpointState.READY),
    ]
    gone = reader.parse_update(
        {"revision": 3, "complete": False, "members": [{"id": "s1", "phase": "DELETED"}]}
    )
    assert [(e.address[0][3], e.state) for e in gone.endpoints] == [(9, api.EndpointState.GONE)]


def test_an_address_under_a_new_id_is_another_endpoint() -> None:
    """Told in any order, the endpoint that went does not take the one in its place with it."""
    reader, place = ListReader(read(Reader(SETTINGS))), "10.0.0.1:7070"
    states = api.EndpointState

    def told(*members: dict[str, Any], complete: bool = False) -> list[api.EndpointState]:
        update = reader.parse_update({"revision": 1, "complete": complete, "members": list(members)})
        return [endpoint.state for endpoint in update.endpoints]

    assert told(member(1), complete=True) == [states.READY]
    assert told(member(2, host_port=place), member(1, phase="DELETED")) == [states.GONE, states.READY]
    assert told(member(2, host_port=place, phase="DRAINING")) == [states.DRAINING]
    assert told(member(3, host_port=place), complete=True) == [states.GONE, states.READY]
    assert told(member(2, host_port=place, phase="DELETED")) == []
    assert told(member(3, host_port="10.0.0.5:7070")) == [states.GONE, states.READY]
    assert told(member(4, host_port=place)) == [states.READY]


def test_a_destination_is_known_for_a_while_after_its_last_endpoint_has_gone(tmp_path: Path) -> None:
    settings = read(Reader(SETTINGS))
    decider = Decider(
        settings,
        1,
        Store(tmp_path, 3_000_000, 1000.0),
        Counters(),
        send_command=lambda *_: None,
        request_endpoints=lambda _: None,
        post_notice=lambda _: None,
        mailbox_capacity=10,
    )
    reader = ListReader(settings)

    def learn(now: float, complete: bool, *members: dict[str, Any]) -> set[int]:
        decider._apply_update(
            reader.parse_update({"revision": 1, "complete": complete, "members": list(members)}), now
        )
        return decider._destinations

    assert learn(0.0, True, member(1), member(2), member(3)) == {1, 2, 3}
    assert learn(1.0, False, member(1, phase="DELETED")) == {1, 2, 3}
    assert learn(2.0, True, member(3)) == {1, 2, 3}
    assert learn(20.5, False, member(2)) == {1, 2, 3}
    assert learn(21.5, False) == {2, 3}
    assert len(decider._listed) == 2


def test_an_ended_message_is_forgotten_once_its_time_is_up_and_its_notice_taken(tmp_path: Path) -> None:
    store = Store(tmp_path, 3_000_000, 1000.0)
    for number in (1, 2):
        add_message(store, number)
    store.write([store.finish(1, "delivered"), store.finish(2, "dead")], 1000.0)
    store.drop_expired(3000.0)
    assert list(store.entries) == [2]
    store.mark_notified([2], 3000.0)
    store.drop_expired(3000.0)
    assert store.entries == {}


# ---- clients ----


def test_a_request_that_fails_inside_the_node_is_answered(monkeypatch: pytest.MonkeyPatch) -> None:
    intake = Intake(("127.0.0.1", 0), read(Reader(SETTINGS)), lambda _: None, Counters(), 10)
    monkeypatch.setattr(intake, "make_submission", lambda *_: 1 / 0)
    intake.start()
    with gevent_socket.create_connection(intake.address) as client:
        client.sendall(message_request("m1"))
        assert client.recv(65536).startswith(b"HTTP/1.1 500 ")
    intake.close()
