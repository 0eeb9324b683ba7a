"""The settings watch over sockets, against a stand-in for etcd and against members with invalid answers.

No test asserts a bound on elapsed time; time-outs that have to pass are made short.
"""

import json
import time
from collections.abc import Callable, Iterator, Mapping
from contextlib import contextmanager, suppress
from dataclasses import dataclass, field
from pathlib import Path
from random import Random
from typing import Any

import gevent
import pytest
from gevent import socket
from gevent.pool import Group
from structlog.testing import capture_logs

from irisstack.dynamic_settings import decisions
from irisstack.dynamic_settings.members import Members
from irisstack.dynamic_settings.snapshot import SavedSettings, SavedSettingsFile
from irisstack.lab.standins.etcd_cluster import Availability
from irisstack.lab.standins.etcd_server import EtcdServer
from irisstack.node import member_call, settings_watch
from irisstack.node.config import HostPort
from irisstack.node.counters import Counters
from irisstack.node.settings_watch import SettingsWatch
from irisstack.settings import SettingsError
from tests.node.support import listening_socket, wait_until

PREFIX = "/irisstack/settings/"


@dataclass(frozen=True)
class Document:
    """The result of a check that accepted the items."""

    items: dict[str, Any]
    retired: Mapping[str, Any] = field(default_factory=lambda: {"lanes/gone": {"name": "gone"}})


def check(items: Mapping[str, Any]) -> Document:
    if items.get("bad"):
        raise SettingsError(f"bad: expected nothing, got {items['bad']!r}")
    if items.get("broken"):
        raise ZeroDivisionError("an error in the check")
    return Document(dict(items))


@dataclass
class RunningWatch:
    """A running watch and the settings that it put in force."""

    watch: SettingsWatch[Document]
    counters: Counters
    in_force: list[tuple[int, dict[str, Any]]]
    greenlet: "gevent.Greenlet[..., None]"

    @property
    def document(self) -> dict[str, Any]:
        return self.in_force[-1][1] if self.in_force else {}

    def wait_for(self, **items: Any) -> None:
        wait_until(lambda: self.document == items, f"{items} in force, not {self.document}")


@contextmanager
def running_watch(
    members: list[HostPort], folder: Path, bytes_per_s: float = 1e6, seed: int = 1
) -> Iterator[RunningWatch]:
    in_force: list[tuple[int, dict[str, Any]]] = []
    counters = Counters()
    watch = SettingsWatch(
        members,
        PREFIX,
        bytes_per_s,
        SavedSettingsFile(folder),
        check,
        lambda revision, accepted: in_force.append((revision, accepted.items)),
        counters,
        seed,
    )
    greenlet = gevent.spawn(watch.run)
    try:
        yield RunningWatch(watch, counters, in_force, greenlet)
        assert not greenlet.dead, "the watch must not end"
    finally:
        greenlet.kill()
        for call in list(watch._calls.values()):
            call.kill()


def members_of(server: EtcdServer) -> list[HostPort]:
    addresses = [address.rpartition(":") for address in server.addresses]
    return [(host, int(port)) for host, _, port in addresses]


def put(server: EtcdServer, **values: Any) -> int:
    """Set several keys in one revision."""
    items = [(f"{PREFIX}{name}".encode(), json.dumps(value).encode()) for name, value in values.items()]
    return server.cluster.put_all(items)


@pytest.fixture
def short_timeouts(monkeypatch: pytest.MonkeyPatch) -> None:
    """Shortens time-outs and pauses."""
    monkeypatch.setattr(member_call, "CONNECT_TIMEOUT_S", 0.5)
    monkeypatch.setattr(member_call, "ANSWER_TIMEOUT_S", 0.3)
    monkeypatch.setattr(decisions, "RETRY_BASE_S", 0.1)
    monkeypatch.setattr(decisions, "RETRY_CAP_S", 0.2)
    monkeypatch.setattr(decisions, "CHECK_INTERVAL_MIN_S", 0.1)
    monkeypatch.setattr(decisions, "CHECK_INTERVAL_MAX_S", 0.2)
    monkeypatch.setattr(decisions, "LAG_GRACE_S", 0.3)


# ---- against the stand-in for etcd ----


def test_document_and_its_changes_are_applied_and_saved(tmp_path: Path) -> None:
    with EtcdServer(3) as server:
        put(server, a=1)
        with running_watch(members_of(server), tmp_path) as running:
            running.wait_for(a=1)
            revision = put(server, a=2, b=3)
            running.wait_for(a=2, b=3)
            wait_until(lambda: running.counters.snapshot()["settings_revision"] == revision)
    saved = SavedSettingsFile(tmp_path).load()
    expected = {"a": 2, "b": 3}
    retired = {"lanes/gone": {"name": "gone"}}
    assert saved == SavedSettings(server.cluster.cluster_id, revision, expected, retired)


def test_bad_document_is_refused_and_a_later_good_one_applied(tmp_path: Path) -> None:
    with EtcdServer(3) as server, capture_logs() as logs:
        put(server, a=1)
        with running_watch(members_of(server), tmp_path) as running:
            running.wait_for(a=1)
            bad = put(server, a=2, bad=True)
            wait_until(lambda: running.counters.snapshot().get("settings_refused"))
            assert running.document == {"a": 1}
            put(server, a=3, bad=False)
            running.wait_for(a=3, bad=False)
    refused = [line for line in logs if line["event"] == "settings_refused"]
    assert [(line["revision"], line["reason"]) for line in refused] == [
        (bad, "bad: expected nothing, got True")
    ]


def test_error_in_the_check_refuses_the_document(tmp_path: Path) -> None:
    with EtcdServer(1) as server:
        put(server, a=1)
        with running_watch(members_of(server), tmp_path) as running:
            running.wait_for(a=1)
            put(server, broken=True)
            wait_until(lambda: running.counters.snapshot().get("settings_refused"))
            put(server, broken=False)
            running.wait_for(a=1, broken=False)


def test_restart_without_a_cluster_uses_saved_settings_and_resumes_later(tmp_path: Path) -> None:
    with EtcdServer(3) as server:
        put(server, a=1)
        with running_watch(members_of(server), tmp_path) as running:
            running.wait_for(a=1)
        for number in range(3):
            server.cluster.set_availability(number, Availability.DOWN)
        with running_watch(members_of(server), tmp_path) as running:
            running.wait_for(a=1)
            for number in range(3):
                server.cluster.set_availability(number, Availability.UP)
            put(server, a=2)
            running.wait_for(a=2)


def test_compaction_while_stopped_leads_to_a_snapshot(tmp_path: Path) -> None:
    with EtcdServer(3) as server:
        put(server, a=1)
        with running_watch(members_of(server), tmp_path) as running:
            running.wait_for(a=1)
        for value in range(2, 20):
            put(server, a=value)
        server.cluster.compact(15)
        with capture_logs() as logs, running_watch(members_of(server), tmp_path) as running:
            running.wait_for(a=19)
    assert [line["compact_revision"] for line in logs if line["event"] == "settings_compacted"] == [15]


@pytest.mark.usefixtures("short_timeouts")
@pytest.mark.parametrize("availability", [Availability.DOWN, Availability.UNRESPONSIVE])
def test_watch_moves_away_from_a_lost_member(tmp_path: Path, availability: Availability) -> None:
    with EtcdServer(3) as server:
        put(server, a=1)
        with running_watch(members_of(server), tmp_path) as running:
            running.wait_for(a=1)
            wait_until(lambda: any(member.watch_count for member in server.members))
            number = next(n for n, member in enumerate(server.members) if member.watch_count)
            server.cluster.set_availability(number, availability)
            put(server, a=2)
            running.wait_for(a=2)


@pytest.mark.usefixtures("short_timeouts")
def test_silent_watch_is_detected_by_the_check(tmp_path: Path) -> None:
    with EtcdServer(3) as server:
        put(server, a=1)
        with running_watch(members_of(server), tmp_path) as running:
            running.wait_for(a=1)
            wait_until(lambda: any(member.watch_count for member in server.members))
            for member in server.members:
                if member.watch_count:
                    member.member.watches_stalled = True
            put(server, a=2)
            running.wait_for(a=2)


def test_answers_split_anywhere_are_parsed(tmp_path: Path) -> None:
    with EtcdServer(1) as server:
        server.members[0].max_write_bytes = 1
        put(server, a="x" * 300)
        with running_watch(members_of(server), tmp_path) as running:
            running.wait_for(a="x" * 300)
            put(server, a="y" * 300)
            running.wait_for(a="y" * 300)


def test_largest_document_is_read_within_the_byte_budget(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The requested pauses add up to the time that the bytes take at the budget's rate."""
    pauses: list[float] = []

    def sleep(seconds: float) -> None:
        """Record the pause without waiting."""
        pauses.append(seconds)
        gevent.sleep(0)

    real_monotonic = time.monotonic  # the fake clock runs ahead of it by the recorded pauses
    clock = FakeModule(monotonic=lambda: real_monotonic() + sum(pauses))
    monkeypatch.setattr(member_call, "gevent", FakeModule(sleep=sleep))
    for module in (member_call, settings_watch):
        monkeypatch.setattr(module, "time", clock)
    value = "x" * 130_000
    with EtcdServer(1) as server:
        put(server, a=value)
        with running_watch(members_of(server), tmp_path, bytes_per_s=11_000.0) as running:
            running.wait_for(a=value)
    assert 130_000 * 4 / 3 / 11_000.0 - 1.0 < sum(pauses) < 18.0


class FakeModule:
    """Replaces a module by the given functions."""

    def __init__(self, **functions: Callable[..., Any]) -> None:
        self.__dict__.update(functions)


# ---- against members with invalid or endless answers ----

RESPONSE_HEAD = b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
INVALID_ANSWERS = {
    "nothing": b"",
    "half a head": RESPONSE_HEAD,
    "half a body": RESPONSE_HEAD + b'Content-Length: 500\r\n\r\n{"header"',
    "an endless head": RESPONSE_HEAD + b"X: " + b"y" * 30_000,
    "not HTTP": b"\x00\xff\r\n\r\n",
    "not JSON": RESPONSE_HEAD + b"Content-Length: 5\r\n\r\n<htm>",
    "a content length above the limit": RESPONSE_HEAD + b"Content-Length: 99999999\r\n\r\n",
    "an endless body": RESPONSE_HEAD + b"\r\n" + b" " * 700_000,
    "malformed chunks": RESPONSE_HEAD + b"Transfer-Encoding: chunked\r\n\r\nZZ\r\n",
    "an upgrade": b"HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\nConnection: upgrade\r\n\r\n\x00",
    "an error of a proxy": b"HTTP/1.1 502 Bad Gateway\r\nContent-Length: 6\r\n\r\n<html>",
    "an empty object": RESPONSE_HEAD + b"Content-Length: 2\r\n\r\n{}",
}


@contextmanager
def scripted_member(answer: bytes, afterwards: str) -> Iterator[HostPort]:
    """A member that answers each request with these bytes, then closes, stays silent or trickles newlines."""
    with listening_socket() as server:

        def serve(client: socket.socket) -> None:
            with client, suppress(OSError):
                client.recv(65536)
                client.sendall(answer)
                while afterwards == "silence":
                    gevent.sleep(1.0)
                while afterwards == "trickle":
                    client.sendall(b"\n")
                    gevent.sleep(0.02)

        def accept() -> None:
            while True:
                client, _ = server.accept()
                serving.spawn(serve, client)

        serving = Group()
        serving.spawn(accept)
        try:
            yield server.getsockname()
        finally:
            serving.kill()


@pytest.mark.usefixtures("short_timeouts")
@pytest.mark.parametrize("afterwards", ["end", "silence", "trickle"])
@pytest.mark.parametrize("answer", INVALID_ANSWERS.values(), ids=INVALID_ANSWERS)
def test_member_with_invalid_or_no_answers_does_not_block_the_node(
    tmp_path: Path, answer: bytes, afterwards: str
) -> None:
    with EtcdServer(1) as server, scripted_member(answer, afterwards) as bad, capture_logs() as logs:
        put(server, a=1)
        with running_watch(
            [bad, *members_of(server)], tmp_path, bytes_per_s=1e8, seed=seed_starting_at(0)
        ) as running:
            running.wait_for(a=1)
    assert [line for line in logs if line["event"] == "settings_member_failed"]
    assert not [line for line in logs if line["event"] == "settings_watch_failed"]


def seed_starting_at(position: int, size: int = 2) -> int:
    """A seed with which the member at this position is called first."""
    names = [str(number) for number in range(size)]
    return next(seed for seed in range(1000) if Members(names, Random(seed)).pick(0.0) == str(position))


INVALID_STREAMS = {
    "an immediate end": b"",
    "not JSON": b"9\r\n<nonsense\r\n",
    "half a frame": b'400\r\n{"result": {"header"',
    "an endless frame": b'FFFFFF\r\n{"result": {"x": "' + b"y" * 400_000,
    "an etcd error": b'35\r\n{"error":{"grpc_code":14,"message":"no leader at all"}}\r\n',
}


def watch_answer(stream: bytes) -> bytes:
    return RESPONSE_HEAD + b"Transfer-Encoding: chunked\r\n\r\n" + stream


@pytest.mark.usefixtures("short_timeouts")
@pytest.mark.parametrize("afterwards", ["end", "silence", "trickle"])
@pytest.mark.parametrize("stream", INVALID_STREAMS.values(), ids=INVALID_STREAMS)
def test_watch_with_an_invalid_stream_moves_to_another_member(
    tmp_path: Path, stream: bytes, afterwards: str
) -> None:
    with EtcdServer(1) as server:
        put(server, a=1)
        with running_watch(members_of(server), tmp_path) as running:
            running.wait_for(a=1)
        put(server, a=2)
        with (
            scripted_member(watch_answer(stream), afterwards) as bad,
            running_watch(
                [bad, *members_of(server)], tmp_path, bytes_per_s=1e8, seed=seed_starting_at(0)
            ) as running,
        ):
            running.wait_for(a=2)


def test_failed_save_does_not_affect_the_settings_in_force(tmp_path: Path) -> None:
    (tmp_path / "settings.json.new").mkdir()
    with EtcdServer(1) as server, capture_logs() as logs:
        put(server, a=1)
        with running_watch(members_of(server), tmp_path) as running:
            running.wait_for(a=1)
            put(server, a=2)
            running.wait_for(a=2)
    assert [line["event"] for line in logs].count("settings_not_saved") == 2


def test_unexpected_error_in_the_actor_is_logged_and_it_restarts(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr("irisstack.node.settings_watch.RESTART_PAUSE_S", 0.1)
    with EtcdServer(1) as server, capture_logs() as logs:
        put(server, a=1)
        with running_watch(members_of(server), tmp_path) as running:
            running.wait_for(a=1)
            monkeypatch.setattr(
                decisions.SettingsFollower, "step", fail_first_step(decisions.SettingsFollower.step)
            )
            put(server, a=2)
            running.wait_for(a=2)
            assert running.counters.snapshot()["settings_revision"] == running.in_force[-1][0]
    assert "settings_watch_failed" in [line["event"] for line in logs]


def fail_first_step(step: Callable[..., Any]) -> Callable[..., Any]:
    """Wrap `step` so that the first call raises."""
    failed_before: list[bool] = []

    def step_or_fail(*arguments: Any) -> Any:
        if not failed_before:
            failed_before.append(True)
            raise ZeroDivisionError("an error")
        return step(*arguments)

    return step_or_fail
