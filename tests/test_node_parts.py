"""Unit tests of the node's parts: configuration, buffer, HTTP, results, store, endpoints, list and intake."""

import json
import socket
import subprocess
import sys
import time
from contextlib import suppress
from dataclasses import replace
from http import HTTPStatus
from pathlib import Path
from typing import Any

import gevent
import pytest
from gevent import socket as gevent_socket

from irisstack import interface as api
from irisstack.node import http
from irisstack.node.buffer import INITIAL_SIZE, Buffer
from irisstack.node.call import Call, OutgoingMessage
from irisstack.node.config import ConfigError, load
from irisstack.node.counters import Counters
from irisstack.node.decider import Decider, Submission
from irisstack.node.discovery import Discovery
from irisstack.node.endpoint import AttemptResult, CancelAttempt, Command, Endpoint, Retire, WithholdCalls
from irisstack.node.intake import Intake
from irisstack.node.list_reader import ListReader
from irisstack.node.record_clock import wall_clock
from irisstack.node.results import (
    EndReason,
    Reached,
    Result,
    answer_result,
    batch_results,
    unanswered_result,
)
from irisstack.node.store import Entry, Store
from irisstack.settings import Reader, read
from tests.node_support import MAX_INPUT_BYTES, SETTINGS, http_response, message_request


class ChunkedSource:
    """A fake socket that delivers its data in chunks."""

    def __init__(self, data: bytes, chunk_size: int) -> None:
        self._data, self._chunk_size = data, chunk_size

    def recv_into(self, buffer: memoryview, /) -> int:
        size = min(self._chunk_size, len(buffer), len(self._data))
        buffer[:size], self._data = self._data[:size], self._data[size:]
        return size


# ---- configuration ----

CLASS = SETTINGS["lanes"][0]


def write_config(directory: Path, **changes: Any) -> dict[str, str]:
    config = {
        "name": "n",
        "listen": "127.0.0.1:1",
        "discovery": "127.0.0.1:2",
        "seed": "ff",
        "limits": {"sockets": 100, "disk_mb": 3},
        "known": {"revision": 1, "members": []},
        "settings": SETTINGS,
        **changes,
    }
    (directory / "config.json").write_text(json.dumps(config))
    return {"RELAY_CONFIG": str(directory / "config.json"), "RELAY_STATE": str(directory)}


def test_environment_variables_override_the_file(tmp_path: Path) -> None:
    config = load({**write_config(tmp_path), "RELAY_LISTEN": "127.0.0.9:7070", "RELAY_NAME": "n9"})
    assert (config.name, config.listen, config.discovery) == ("n9", ("127.0.0.9", 7070), ("127.0.0.1", 2))
    assert (config.seed, config.sockets, config.disk_bytes) == (255, 100, 3_000_000)
    assert config.settings.classes[1].effect is api.Effect.KEYED
    unset_options = config.settings.zone, config.settings.cross_zone_price, config.peers, config.trial
    assert unset_options == (0, 0.0, (), None)


def test_gossip_is_enabled_only_if_peers_are_configured(tmp_path: Path) -> None:
    gossip_allowed = {"settings": {**SETTINGS, "allowed": {**SETTINGS["allowed"], "mayTell": True}}}
    assert not load(write_config(tmp_path, **gossip_allowed)).settings.may_gossip
    assert load(write_config(tmp_path, **gossip_allowed, peers=["127.0.0.1:9"])).settings.may_gossip


def test_the_watch_key_overrides_settings_for_the_shadow_sender(tmp_path: Path) -> None:
    config = load(
        write_config(tmp_path, watch={"allowed": {"mayTell": True}, "tariffs": {"crossZone": 0.01}})
    )
    assert config.trial is not None
    assert replace(config.trial, may_gossip=False, cross_zone_price=0.0) == config.settings
    assert (config.trial.may_gossip, config.trial.cross_zone_price) == (True, 0.01)


def test_a_reload_takes_the_discovery_address_from_the_file(tmp_path: Path) -> None:
    environment = {**write_config(tmp_path), "RELAY_DISCOVERY": "127.0.0.1:3"}
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
        ({"watch": {"lanes": [CLASS]}}, "watch.lanes"),
        ({"watch": {"allowed": {"mayTell": "yes"}}}, "watch.allowed.mayTell"),
        ({"settings": {**SETTINGS, "lanes": [{**CLASS, "slo": "x"}]}}, "settings.lanes[0].slo"),
        ({"settings": {**SETTINGS, "lanes": [{**CLASS, "repeat": "x"}]}}, "settings.lanes[0].repeat"),
    ],
)
def test_a_configuration_error_begins_with_its_key(tmp_path: Path, changes: dict[str, Any], key: str) -> None:
    with pytest.raises(ConfigError) as error:
        load(write_config(tmp_path, **changes))
    assert str(error.value).startswith(f"{key}:")


def test_an_invalid_configuration_gives_a_one_line_error_and_an_exit_code(tmp_path: Path) -> None:
    completed = subprocess.run(
        [sys.executable, "-m", "irisstack", "run"],
        env=write_config(tmp_path, seed="?"),
        capture_output=True,
        text=True,
        check=False,
    )
    assert completed.returncode != 0
    assert completed.stderr == "irisstack: seed: expected a hexadecimal number, got '?'\n"


@pytest.mark.parametrize("environment", [{}, {"RELAY_CONFIG": "/nowhere"}])
def test_a_missing_file_is_reported(environment: dict[str, str]) -> None:
    with pytest.raises(ConfigError, match="RELAY_CONFIG"):
        load(environment)


# ---- buffer and HTTP ----


def test_a_buffer_grows_and_returns_bytes_in_order() -> None:
    data = bytes(i % 251 for i in range(5 * INITIAL_SIZE))
    source, buffer, taken = ChunkedSource(data, 1000), Buffer(), b""
    while buffer.receive(source):
        if len(buffer) > INITIAL_SIZE:
            taken += buffer.take(700)
    assert taken + buffer.take(len(buffer)) == data


@pytest.mark.parametrize("chunk_size", [1, 7, 4096])
def test_a_request_is_parsed_alike_for_any_chunk_size(chunk_size: int) -> None:
    data = http.request("POST", "/a?b=1", "node", [("X-One", "1")], b"\r\n\r\nbody")
    source, buffer, reader = ChunkedSource(data * 2, chunk_size), Buffer(), http.RequestReader()
    found = []
    while buffer.receive(source):
        while (message := reader.advance(buffer)) is not None:
            found.append((message.method, message.path, message.headers["x-one"], bytes(message.body)))
    assert found == [("POST", "/a?b=1", "1", b"\r\n\r\nbody")] * 2


def read_answer(data: bytes) -> http.Message | None:
    source, buffer, reader = ChunkedSource(data, 5), Buffer(), http.ResponseReader()
    while buffer.receive(source):
        if (message := reader.advance(buffer)) is not None:
            return message
    return reader.finish_at_eof()


def test_answers_that_are_chunked_without_length_or_after_an_interim_answer() -> None:
    chunked = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\na\nb\n\r\n1\r\nc\r\n0\r\n\r\n"
    assert (message := read_answer(chunked)) is not None
    assert bytes(message.body) == b"a\nb\nc"
    assert (message := read_answer(b"HTTP/1.1 200 OK\r\n\r\nto the end")) is not None
    assert bytes(message.body) == b"to the end"
    assert not message.keep_alive
    interim = b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n"
    assert (message := read_answer(interim)) is not None
    assert message.status == 503
    assert read_answer(chunked[:-3]) is None


# ---- results ----


@pytest.mark.parametrize(
    ("reached", "reason", "outcome"),
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
def test_an_attempt_may_have_run_only_if_its_last_byte_was_written(
    reached: Reached, reason: EndReason, outcome: api.Outcome
) -> None:
    assert unanswered_result(reached, reason).outcome is outcome


def make_answer(status: int, body: str = "", **headers: str) -> http.Message:
    named = {name.replace("_", "-"): value for name, value in headers.items()}
    return http.Message(named, bytearray(body.encode()), status=status)


@pytest.mark.parametrize(
    ("answer", "outcome", "final", "retry_after"),
    [
        (make_answer(200), api.Outcome.OK, True, None),
        (make_answer(500), api.Outcome.ERROR, False, None),
        (make_answer(418), api.Outcome.ERROR, False, None),
        (make_answer(429, retry_after="1.25"), api.Outcome.FULL, False, 1.25),
        (make_answer(429, retry_after="later"), api.Outcome.FULL, False, None),
        (make_answer(503), api.Outcome.FULL, False, None),
        (make_answer(503, x_line_busy="1"), api.Outcome.NOT_SENT, False, None),
        (make_answer(504), api.Outcome.NOT_SENT, False, None),
        (make_answer(410), api.Outcome.NOT_SENT, True, None),
    ],
)
def test_the_outcome_of_an_answer(
    answer: http.Message, outcome: api.Outcome, final: bool, retry_after: float | None
) -> None:
    result = answer_result(answer, ())
    assert (result.outcome, result.final, result.retry_after) == (outcome, final, retry_after)


def test_a_load_report_is_read_in_the_order_of_the_settings() -> None:
    fields = ("x0", "x1")
    assert answer_result(make_answer(200, x_server_load="x1=25,x0=0.4"), fields).report == (0.4, 25.0)
    assert answer_result(make_answer(200, x_server_load="x1=25"), fields).report == (0.0, 25.0)
    assert answer_result(make_answer(200, x_server_load="nonsense"), fields).report == ()
    assert answer_result(make_answer(200, x_server_load="x0=nan,x1=inf"), fields).report == ()


def test_each_message_of_a_batch_call_has_its_own_result() -> None:
    body = "a accepted\r\nb fault\r\nc deferred\r\nd expired\r\ne no_more\r\nf nonsense\r\n"
    results = batch_results(make_answer(200, body, retry_after="2"), ["a", "b", "c", "d", "e", "f", "g"], ())
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
    assert {r.outcome for r in batch_results(make_answer(413), ["a", "b"], ()).values()} == {
        api.Outcome.NOT_SENT
    }
    assert {r.outcome for r in batch_results(make_answer(500), ["a", "b"], ()).values()} == {
        api.Outcome.ERROR
    }


# ---- store ----


def make_entry(number: int, due: float, body: bytes = b"body") -> Entry:
    return Entry(number, f"m{number}", "key", "safe", 0, 1, due, False, False, body)


def add_message(store: Store, number: int, due: float = 2000.0, body: bytes = b"body") -> None:
    store.add(make_entry(number, due, body))
    store.write([store.accepted_record(number)], 1000.0)


def test_the_state_of_messages_survives_a_restart(tmp_path: Path) -> None:
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
    reopened = Store(tmp_path, 3_000_000, 1005.0).entries
    assert [(reopened[n].attempts, reopened[n].ran_at, reopened[n].pending) for n in (1, 2, 3)] == [
        (2, 1001.0, True),
        (1, None, True),
        (1, 1001.0, True),
    ]
    assert [(reopened[n].result, reopened[n].wait_ms, reopened[n].notice_pending) for n in (4, 5, 6)] == [
        ("delivered", 0, False),
        ("bounced", 700, True),
        ("dead", 0, False),
    ]
    assert reopened[1].body == b"body"
    assert reopened[4].body == b""


@pytest.mark.parametrize("cut", [1, 10, 100])
def test_a_torn_record_is_dropped_and_earlier_ones_are_kept(tmp_path: Path, cut: int) -> None:
    store = Store(tmp_path, 3_000_000, 1000.0)
    add_message(store, 1)
    add_message(store, 2)
    store.close()
    (path,) = tmp_path.iterdir()
    path.write_bytes(path.read_bytes()[:-cut])
    reopened = Store(tmp_path, 3_000_000, 1000.0)
    assert list(reopened.entries) == [1]
    add_message(reopened, 2)
    assert list(Store(tmp_path, 3_000_000, 1000.0).entries) == [1, 2]


def test_the_state_directory_stays_within_its_limit_and_keeps_pending_messages(tmp_path: Path) -> None:
    disk_bytes = 1_000_000
    store, now = Store(tmp_path, disk_bytes, 1000.0), 1000.0
    pending = [1, 2, 3]
    for number in pending:
        add_message(store, number, due=1e9, body=bytes([number]) * 30_000)
    for number in range(10, 400):
        now += 1.0
        store.add(make_entry(number, now + 5.0, bytes(9_000)))
        store.write([store.accepted_record(number)], now)
        store.record_send([(number, 0)], now)
        store.write([store.end_attempt(number, 0, ran=True), store.finish(number, "delivered")], now)
        assert sum(-(-path.stat().st_size // 512) * 512 for path in tmp_path.iterdir()) <= disk_bytes
    assert len(store.entries) < 200
    reopened = Store(tmp_path, disk_bytes, now)
    assert {n: reopened.entries[n].body for n in pending} == {n: bytes([n]) * 30_000 for n in pending}
    assert all(reopened.entries[n].pending for n in pending)


def test_many_large_messages_at_once_stay_within_the_disk_limit(tmp_path: Path) -> None:
    disk_bytes = 3_000_000
    store, accepted = Store(tmp_path, disk_bytes, 1000.0), []
    for number in range(1, 100):
        entry = make_entry(number, 2000.0, bytes(http.MAX_BODY))
        if not store.fits(entry, 1000.0):
            break
        store.add(entry)
        accepted.append(number)
    store.write([store.accepted_record(number) for number in accepted], 1000.0)
    assert len(accepted) > 10
    assert sum(-(-path.stat().st_size // 512) * 512 for path in tmp_path.iterdir()) <= disk_bytes
    assert list(Store(tmp_path, disk_bytes, 1000.0).entries) == accepted


def test_a_full_state_directory_has_room_again_once_notices_are_acknowledged(tmp_path: Path) -> None:
    store, number = Store(tmp_path, 1_000_000, 1000.0), 1
    while store.fits(make_entry(number, 1010.0, bytes(100)), 1000.0):
        store.add(make_entry(number, 1010.0, bytes(100)))
        store.finish(number, "dead")  # its notice is pending
        number += 1
    assert not store.fits(make_entry(number, 1010.0), 1009.0)
    store.mark_notified(range(1, number), 1009.0)
    assert store.fits(make_entry(number, 1030.0), 1011.0)
    assert store.entries == {}


def test_finished_messages_make_room_for_new_ones(tmp_path: Path) -> None:
    store = Store(tmp_path, 1_000_000, 1000.0)
    for number in range(1, 5000):
        assert store.fits(make_entry(number, 1010.0 + number), 1000.0)
        store.add(make_entry(number, 1010.0 + number))
        store.finish(number, "delivered")
    assert 4999 in store.entries  # repeated submissions of the newest are still recognised
    assert 1 not in store.entries


def test_a_discarded_message_is_not_recorded(tmp_path: Path) -> None:
    store = Store(tmp_path, 3_000_000, 1000.0)
    store.add(make_entry(1, 2000.0))
    store.discard(1)
    assert (store.entries, store.by_id) == ({}, {})
    assert Store(tmp_path, 3_000_000, 1000.0).entries == {}


# ---- endpoints ----


def make_endpoint(peer: tuple[str, int], results: list[AttemptResult], store: Store) -> Endpoint:
    return Endpoint(
        (bytes([127, 0, 0, 1]), 1),
        peer,
        results.append,
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
def test_an_unsent_call_is_withheld_after_a_retirement_and_after_a_retry_after(
    tmp_path: Path, commands: list[Retire | WithholdCalls], outcome: api.Outcome, reached: Reached
) -> None:
    results: list[AttemptResult] = []
    store = Store(tmp_path, 3_000_000, 1000.0)
    add_message(store, 1)
    with socket.create_server(("127.0.0.1", 0)) as server:
        endpoint = make_endpoint(server.getsockname(), results, store)
        endpoint.worker.start()
        for command in commands:
            endpoint.mailbox.put(command)
        deadline = time.monotonic() + 0.5
        endpoint.mailbox.put(Call([OutgoingMessage(1, 0, "m1", "", b"body", deadline, deadline)], 1001.0))
        while not results:
            gevent.sleep(0.01)
        endpoint.worker.kill()
    assert (results[0].result.outcome, results[0].result.reached) == (outcome, reached)
    assert (store.entries[1].out_at is None) == (reached is Reached.CONNECTED)


def test_a_batch_call_ends_as_a_whole_at_its_first_deadline(tmp_path: Path) -> None:
    """A message that is due for a retry does not end the call; one with a result has no call in flight."""
    results: list[AttemptResult] = []
    received: list[bytes] = []  # what the endpoint has read by the first result; b"" is the end of stream
    store = Store(tmp_path, 3_000_000, 1000.0)
    with socket.create_server(("127.0.0.1", 0)) as server:
        endpoint = make_endpoint(server.getsockname(), results, store)

        def post_result(result: AttemptResult) -> None:
            """At the first result, the connection of the call must be closed already."""
            if not received:
                connection, _ = server.accept()
                connection.settimeout(3.0)
                with connection, suppress(TimeoutError):
                    while not received or received[-1]:
                        received.append(connection.recv(65536))
            results.append(result)

        endpoint._post_result = post_result
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
        while len(results) < 3:
            gevent.sleep(0.01)
        endpoint.worker.kill()
    assert {result.number: result.result for result in results} == dict.fromkeys(
        range(3), unanswered_result(Reached.WRITTEN, EndReason.GIVEN_UP)
    )
    assert time.monotonic() >= times["out-of-time"][0]  # the give-up time of "hurried" did not end the call
    assert b"patient" in b"".join(received)
    assert received[-1] == b""


def test_a_batch_call_does_not_end_for_one_message_that_would_be_retried(tmp_path: Path) -> None:
    """Ending the call at the first give-up time also failed unsafe messages in it whose answer was due."""
    results: list[AttemptResult] = []
    with socket.create_server(("127.0.0.1", 0)) as server:
        endpoint = make_endpoint(server.getsockname(), results, Store(tmp_path, 3_000_000, 1000.0))
        endpoint.worker.start()
        first_give_up = time.monotonic() + 0.1
        endpoint.mailbox.put(
            Call(
                [
                    OutgoingMessage(0, 0, "hurried", "", b"", first_give_up, 1e9),
                    OutgoingMessage(1, 0, "patient", "", b"", 1e9, 1e9),
                ],
                1001.0,
            )
        )
        connection, _ = gevent.get_hub().threadpool.apply(server.accept)
        with connection:
            while time.monotonic() < first_give_up + 0.1:
                gevent.sleep(0.01)
            connection.sendall(http_response(200, body="hurried accepted\r\npatient accepted\r\n"))
            while len(results) < 2:
                gevent.sleep(0.01)
        endpoint.worker.kill()
    assert {result.number: result.result.outcome for result in results} == {
        0: api.Outcome.OK,
        1: api.Outcome.OK,
    }


def test_a_call_past_its_deadline_is_not_sent_on_a_reused_connection(tmp_path: Path) -> None:
    """This happens when the node stalls between the decision and the write."""
    results: list[AttemptResult] = []
    with socket.create_server(("127.0.0.1", 0)) as server:
        endpoint = make_endpoint(server.getsockname(), results, Store(tmp_path, 3_000_000, 1000.0))
        endpoint.worker.start()
        endpoint.mailbox.put(Call([OutgoingMessage(1, 0, "m1", "", b"", 1e9, 1e9)], 1001.0))
        while not endpoint._calls:
            gevent.sleep(0.01)
        connection, _ = server.accept()
        with connection:
            connection.sendall(http_response(200, body="m1"))
            while endpoint._calls:
                gevent.sleep(0.01)
            assert endpoint._idle
            past = time.monotonic() - 1.0
            endpoint.mailbox.put(Call([OutgoingMessage(2, 0, "m2", "", b"", past, past)], 1001.0))
            while len(results) < 2:
                gevent.sleep(0.01)
            endpoint.worker.kill()
            assert b"m2" not in connection.recv(65536)
    assert results[1].result == unanswered_result(Reached.CONNECTED, EndReason.GIVEN_UP)


@pytest.mark.parametrize("cancelled", [False, True])
def test_an_answer_received_while_the_process_was_stalled_counts(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, cancelled: bool
) -> None:
    """Timeouts and commands due during the stall are handled first and must not hide a received answer."""
    results: list[AttemptResult] = []
    receive, deadline = Buffer.receive, time.monotonic() + 0.3
    with socket.create_server(("127.0.0.1", 0)) as server:
        endpoint = make_endpoint(server.getsockname(), results, Store(tmp_path, 3_000_000, 1000.0))

        def stall(buffer: Buffer, source: Any) -> int:
            """The answer arrives and the deadline passes before the process checks its clock, then reads."""
            monkeypatch.setattr(Buffer, "receive", receive)
            connection, _ = server.accept()
            with connection:
                connection.recv(65536)
                connection.sendall(http_response(200))
            if cancelled:
                endpoint.mailbox.put(CancelAttempt(1, 0))
                gevent.sleep(1e9)
            time.sleep(max(0.0, deadline - time.monotonic()))
            raise TimeoutError

        monkeypatch.setattr(Buffer, "receive", stall)
        endpoint.worker.start()
        endpoint.mailbox.put(
            Call([OutgoingMessage(1, 0, "m1", "", b"", 1e9 if cancelled else deadline, 1e9)], 1001.0)
        )
        while not results:
            gevent.sleep(0.01)
        endpoint.worker.kill()
    assert results[0].result.outcome is api.Outcome.OK


def test_a_call_cancelled_before_it_began_did_not_run(tmp_path: Path) -> None:
    results: list[AttemptResult] = []
    store = Store(tmp_path, 3_000_000, 1000.0)
    endpoint = make_endpoint(("127.0.0.1", 1), results, store)
    endpoint.mailbox.put(Call([OutgoingMessage(1, 0, "m1", "", b"", 1e9, 1e9)], 1001.0))
    endpoint.mailbox.put(CancelAttempt(1, 0))
    endpoint.worker.start()
    while not results:
        gevent.sleep(0.01)
    assert results[0].result == unanswered_result(Reached.NOTHING, EndReason.CALLED_OFF)


# ---- endpoint list ----


def make_member(number: int, **changes: Any) -> dict[str, Any]:
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


def test_an_invalid_list_line_is_skipped_alone() -> None:
    reader = ListReader(read(Reader(SETTINGS)))
    update = reader.parse_update(
        {
            "revision": 7,
            "complete": True,
            "members": [
                make_member(1),
                {"id": "x"},
                make_member(2, flavor="unknown"),
                5,
                make_member(3, host_port="here"),
                make_member(4, phase="DRAINING", up_since_ms=1000.0 * wall_clock()),
            ],
        }
    )
    assert (update.scope, update.version) == (api.UpdateScope.FULL, 7)
    first, last = update.endpoints
    assert first == api.Endpoint((bytes([10, 0, 0, 1]), 7070), api.EndpointState.READY, 1, 1, 0, 2.5, None)
    assert last.state is api.EndpointState.DRAINING
    assert last.added_at is not None


RESPONSE_HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
COMPLETE_LIST = json.dumps({"revision": 9, "complete": True, "members": [make_member(1)]}).encode() + b"\n"


@pytest.mark.parametrize(
    "invalid",
    [
        b"",
        RESPONSE_HEAD,
        RESPONSE_HEAD + b"%x\r\n" % len(COMPLETE_LIST) + COMPLETE_LIST[:20],
        RESPONSE_HEAD + b"3\r\n{]\n\r\n",
        RESPONSE_HEAD + b"3\r\n[]\n\r\n",
        RESPONSE_HEAD + b"zz\r\n",
        http_response(503),
        http_response(200, body="{}"),
        b"\x00" * 64,
        RESPONSE_HEAD + b"20\r\n" + b'{"revision":1e999,"members":[]}\n',
    ],
    ids=range(10),
)
def test_a_broken_or_invalid_watch_is_reported_once_and_the_next_one_is_followed(invalid: bytes) -> None:
    updates: list[api.EndpointsUpdated] = []
    with gevent.Timeout(10.0), gevent_socket.socket() as server:
        server.bind(("127.0.0.1", 0))
        server.listen()
        discovery = Discovery(
            server.getsockname(), ListReader(read(Reader(SETTINGS))), updates.append, 4, False
        )
        worker = gevent.spawn(discovery.run)
        for answer in (invalid, RESPONSE_HEAD + b"%x\r\n" % len(COMPLETE_LIST) + COMPLETE_LIST + b"\r\n"):
            before = len(updates)
            discovery.mailbox.put(api.Subscribe(True))
            connection, _ = server.accept()
            assert b"from=4 " in connection.recv(65536)  # no revision was taken from an invalid list
            connection.sendall(answer)
            if answer is invalid:
                connection.close()
            while len(updates) == before:
                gevent.sleep(0.01)
        worker.kill()
        connection.close()
    assert [update.scope for update in updates[:2]] == [api.UpdateScope.FAILED, api.UpdateScope.FULL]
    assert (updates[1].version, len(updates[1].endpoints)) == (9, 1)


def test_an_endpoint_with_a_new_address_is_gone_from_its_old_one() -> None:
    reader = ListReader(read(Reader(SETTINGS)))
    reader.parse_update({"revision": 1, "complete": True, "members": [make_member(1)]})
    update = reader.parse_update(
        {"revision": 2, "complete": False, "members": [make_member(1, host_port="10.0.0.9:1")]}
    )
    assert [(e.address[0][3], e.state) for e in update.endpoints] == [
        (1, api.EndpointState.GONE),
        (9, api.EndpointState.READY),
    ]
    gone = reader.parse_update(
        {"revision": 3, "complete": False, "members": [{"id": "s1", "phase": "DELETED"}]}
    )
    assert [(e.address[0][3], e.state) for e in gone.endpoints] == [(9, api.EndpointState.GONE)]


def test_a_new_id_at_the_same_address_is_another_endpoint() -> None:
    """In any order of lines, the removal of the old endpoint does not remove the new one at its address."""
    reader, address = ListReader(read(Reader(SETTINGS))), "10.0.0.1:7070"
    states = api.EndpointState

    def read_states(*members: dict[str, Any], complete: bool = False) -> list[api.EndpointState]:
        update = reader.parse_update({"revision": 1, "complete": complete, "members": list(members)})
        return [endpoint.state for endpoint in update.endpoints]

    assert read_states(make_member(1), complete=True) == [states.READY]
    assert read_states(make_member(2, host_port=address), make_member(1, phase="DELETED")) == [
        states.GONE,
        states.READY,
    ]
    assert read_states(make_member(2, host_port=address, phase="DRAINING")) == [states.DRAINING]
    assert read_states(make_member(3, host_port=address), complete=True) == [states.GONE, states.READY]
    assert read_states(make_member(2, host_port=address, phase="DELETED")) == []
    assert read_states(make_member(3, host_port="10.0.0.5:7070")) == [states.GONE, states.READY]
    assert read_states(make_member(4, host_port=address)) == [states.READY]


@pytest.mark.parametrize(
    "change", [{"cell": 7}, {"locality": "elsewhere"}, {"up_since_ms": 2_000}], ids=lambda change: min(change)
)
def test_another_process_at_an_address_is_another_endpoint_under_the_same_id(change: dict[str, Any]) -> None:
    reader = ListReader(read(Reader(SETTINGS)))

    def states(member: dict[str, Any]) -> list[api.EndpointState]:
        update = reader.parse_update({"revision": 1, "complete": False, "members": [member]})
        return [endpoint.state for endpoint in update.endpoints]

    member = make_member(1, up_since_ms=1_000)
    assert states(member) == [api.EndpointState.READY]
    assert states({**member, "size": 9.0}) == [api.EndpointState.READY]
    assert states({**member, **change}) == [api.EndpointState.GONE, api.EndpointState.READY]
    assert states({**member, **change}) == [api.EndpointState.READY]
    assert states({**member, **change, "phase": "DRAINING"}) == [api.EndpointState.DRAINING]


def test_a_destination_stays_known_for_a_while_after_its_last_endpoint_is_gone(tmp_path: Path) -> None:
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

    def apply_update(now: float, complete: bool, *members: dict[str, Any]) -> set[int]:
        decider._apply_update(
            reader.parse_update({"revision": 1, "complete": complete, "members": list(members)}), now
        )
        return decider._endpoints.destinations

    assert apply_update(0.0, True, make_member(1), make_member(2), make_member(3)) == {1, 2, 3}
    assert apply_update(1.0, False, make_member(1, phase="DELETED")) == {1, 2, 3}
    assert apply_update(2.0, True, make_member(3)) == {1, 2, 3}
    assert apply_update(20.5, False, make_member(2)) == {1, 2, 3}
    assert apply_update(21.5, False) == {2, 3}
    assert len(decider._endpoints) == 2


class RecordingClient:
    """A client that takes any answer."""

    def answer(self, status: HTTPStatus, retry_after: float | None = None) -> bool:
        return True


def test_a_retry_after_of_an_endpoint_whose_address_was_reused_is_that_of_its_destination(
    tmp_path: Path,
) -> None:
    commands: list[tuple[api.Address, Command]] = []
    settings = read(Reader(SETTINGS))
    decider = Decider(
        settings,
        1,
        Store(tmp_path, 3_000_000),
        Counters(),
        send_command=lambda address, command: commands.append((address, command)),
        request_endpoints=lambda _: None,
        post_notice=lambda _: None,
        mailbox_capacity=10,
    )
    reader = ListReader(settings)

    def submit(id_: str, destination: int) -> None:
        due = time.monotonic() + 10.0
        submission = Submission(RecordingClient(), id_, "", 0, 0, destination, due, False, False, b"")
        decider._turn([submission])

    def listed(*members: dict[str, Any]) -> api.EndpointsUpdated:
        return reader.parse_update({"revision": 1, "complete": True, "members": list(members)})

    decider.recover(listed(make_member(1), make_member(2, cell=1)))
    submit("m1", 1)
    submit("m2", 1)
    (first, first_call), (second, _) = commands
    assert isinstance(first_call, Call)
    assert first != second
    number = first_call.messages[0].number
    reused, kept = "10.0.0.1:7070", make_member(2, cell=1)
    if first[0] != bytes([10, 0, 0, 1]):
        reused, kept = "10.0.0.2:7070", make_member(1)
    decider._turn([listed(make_member(9, host_port=reused, cell=9), kept)])
    submit("m3", 9)
    commands.clear()
    refused = Result(api.Outcome.FULL, Reached.ANSWERED, retry_after=2.0)
    decider._turn([AttemptResult(number, 0, first, refused)])
    withheld = [(to, command.destination) for to, command in commands if isinstance(command, WithholdCalls)]
    assert withheld == [(second, 1)]


def test_a_finished_message_is_dropped_after_its_deadline_and_its_acknowledged_notice(tmp_path: Path) -> None:
    store = Store(tmp_path, 3_000_000, 1000.0)
    for number in (1, 2):
        add_message(store, number)
    store.write([store.finish(1, "delivered"), store.finish(2, "dead")], 1000.0)
    store.drop_expired(3000.0)
    assert list(store.entries) == [2]
    store.mark_notified([2], 3000.0)
    store.drop_expired(3000.0)
    assert store.entries == {}


# ---- intake ----


def test_a_request_that_fails_with_an_internal_error_is_answered(monkeypatch: pytest.MonkeyPatch) -> None:
    intake = Intake(("127.0.0.1", 0), read(Reader(SETTINGS)), lambda _: None, Counters(), 10, MAX_INPUT_BYTES)
    monkeypatch.setattr(intake.parser, "parse", lambda *_: 1 / 0)
    intake.start()
    with gevent_socket.create_connection(intake.address) as client:
        client.sendall(message_request("m1"))
        assert client.recv(65536).startswith(b"HTTP/1.1 500 ")
    intake.close()
