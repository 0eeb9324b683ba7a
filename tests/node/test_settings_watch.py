"""The settings' actor on sockets: against the stand-in of etcd, and against peers that speak no HTTP at all.

No bound here is one of elapsed time; where a time-out has to pass, it is made short.
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
    """What the check makes of the items."""

    items: dict[str, Any]
    retired: Mapping[str, Any] = field(default_factory=lambda: {"lanes/gone": {"name": "gone"}})


def check(items: Mapping[str, Any]) -> Document:
    if items.get("bad"):
        raise SettingsError(f"bad: nothing is due, not {items['bad']!r}")
    if items.get("broken"):
        raise ZeroDivisionError("a fault of the check itself")
    return Document(dict(items))


@dataclass
class Running:
    """A watch that runs, and what it put in force."""

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
def running(
    members: list[HostPort], folder: Path, bytes_per_s: float = 1e6, seed: int = 1
) -> Iterator[Running]:
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
        yield Running(watch, counters, in_force, greenlet)
        assert not greenlet.dead, "it never ends"
    finally:
        greenlet.kill()
        for call in list(watch._calls.values()):
            call.kill()


def members_of(server: EtcdServer) -> list[HostPort]:
    places = [address.rpartition(":") for address in server.addresses]
    return [(host, int(port)) for host, _, port in places]


def put(server: EtcdServer, **values: Any) -> int:
    """One revision that sets several keys."""
    items = [(f"{PREFIX}{name}".encode(), json.dumps(value).encode()) for name, value in values.items()]
    return server.cluster.put_all(items)


@pytest.fixture
def quick(monkeypatch: pytest.MonkeyPatch) -> None:
    """Time-outs and pauses that a test need not wait long for."""
    monkeypatch.setattr(member_call, "CONNECT_TIMEOUT_S", 0.5)
    monkeypatch.setattr(member_call, "ANSWER_TIMEOUT_S", 0.3)
    monkeypatch.setattr(decisions, "RETRY_BASE_S", 0.1)
    monkeypatch.setattr(decisions, "RETRY_CAP_S", 0.2)
    monkeypatch.setattr(decisions, "CHECK_INTERVAL_MIN_S", 0.1)
    monkeypatch.setattr(decisions, "CHECK_INTERVAL_MAX_S", 0.2)
    monkeypatch.setattr(decisions, "LAG_GRACE_S", 0.3)


# ---- against the stand-in ----


def test_a_document_and_its_changes_come_into_force_and_onto_the_disk(tmp_path: Path) -> None:
    with EtcdServer(3) as server:
        put(server, a=1)
        with running(members_of(server), tmp_path) as node:
            node.wait_for(a=1)
            revision = put(server, a=2, b=3)
            node.wait_for(a=2, b=3)
            wait_until(lambda: node.counters.snapshot()["settings_revision"] == revision)
    saved = SavedSettingsFile(tmp_path).load()
    expected = {"a": 2, "b": 3}
    retired = {"lanes/gone": {"name": "gone"}}
    assert saved == SavedSettings(server.cluster.cluster_id, revision, expected, retired)


def test_a_bad_document_is_refused_and_a_later_good_one_taken(tmp_path: Path) -> None:
    with EtcdServer(3) as server, capture_logs() as logs:
        put(server, a=1)
        with running(members_of(server), tmp_path) as node:
            node.wait_for(a=1)
            bad = put(server, a=2, bad=True)
            wait_until(lambda: node.counters.snapshot().get("settings_refused"))
            assert node.document == {"a": 1}
            put(server, a=3, bad=False)
            node.wait_for(a=3, bad=False)
    refused = [line for line in logs if line["event"] == "settings_refused"]
    assert [(line["revision"], line["reason"]) for line in refused] == [
        (bad, "bad: nothing is due, not True")
    ]


def test_a_fault_of_the_check_refuses_the_document_and_ends_nothing(tmp_path: Path) -> None:
    with EtcdServer(1) as server:
        put(server, a=1)
        with running(members_of(server), tmp_path) as node:
            node.wait_for(a=1)
            put(server, broken=True)
            wait_until(lambda: node.counters.snapshot().get("settings_refused"))
            put(server, broken=False)
            node.wait_for(a=1, broken=False)


def test_a_restart_goes_on_without_a_cluster_and_resumes_with_one(tmp_path: Path) -> None:
    with EtcdServer(3) as server:
        put(server, a=1)
        with running(members_of(server), tmp_path) as node:
            node.wait_for(a=1)
        for number in range(3):
            server.cluster.set_availability(number, Availability.DOWN)
        with running(members_of(server), tmp_path) as node:
            node.wait_for(a=1)
            for number in range(3):
                server.cluster.set_availability(number, Availability.UP)
            put(server, a=2)
            node.wait_for(a=2)


def test_a_compaction_while_away_brings_a_snapshot(tmp_path: Path) -> None:
    with EtcdServer(3) as server:
        put(server, a=1)
        with running(members_of(server), tmp_path) as node:
            node.wait_for(a=1)
        for value in range(2, 20):
            put(server, a=value)
        server.cluster.compact(15)
        with capture_logs() as logs, running(members_of(server), tmp_path) as node:
            node.wait_for(a=19)
    assert [line["compact_revision"] for line in logs if line["event"] == "settings_compacted"] == [15]


@pytest.mark.usefixtures("quick")
@pytest.mark.parametrize("availability", [Availability.DOWN, Availability.UNRESPONSIVE])
def test_the_watch_moves_away_from_a_member_that_is_lost(tmp_path: Path, availability: Availability) -> None:
    with EtcdServer(3) as server:
        put(server, a=1)
        with running(members_of(server), tmp_path) as node:
            node.wait_for(a=1)
            wait_until(lambda: any(member.watch_count for member in server.members))
            number = next(n for n, member in enumerate(server.members) if member.watch_count)
            server.cluster.set_availability(number, availability)
            put(server, a=2)
            node.wait_for(a=2)


@pytest.mark.usefixtures("quick")
def test_a_silent_watch_is_found_by_the_check(tmp_path: Path) -> None:
    with EtcdServer(3) as server:
        put(server, a=1)
        with running(members_of(server), tmp_path) as node:
            node.wait_for(a=1)
            wait_until(lambda: any(member.watch_count for member in server.members))
            for member in server.members:
                if member.watch_count:
                    member.member.watches_stalled = True
            put(server, a=2)
            node.wait_for(a=2)


def test_answers_cut_anywhere_are_read(tmp_path: Path) -> None:
    with EtcdServer(1) as server:
        server.members[0].max_write_bytes = 1
        put(server, a="x" * 300)
        with running(members_of(server), tmp_path) as node:
            node.wait_for(a="x" * 300)
            put(server, a="y" * 300)
            node.wait_for(a="y" * 300)


def test_the_largest_document_is_read_piece_by_piece_within_the_budget(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The pauses asked for, by the budget's own clock, come to what the bytes cost at its rate."""
    paused: list[float] = []

    def sleep(seconds: float) -> None:
        """Pass the time at once."""
        paused.append(seconds)
        gevent.sleep(0)

    now = time.monotonic  # the module's own, which the tests' clock goes ahead of
    clock = FakeModule(monotonic=lambda: now() + sum(paused))
    monkeypatch.setattr(member_call, "gevent", FakeModule(sleep=sleep))
    for module in (member_call, settings_watch):
        monkeypatch.setattr(module, "time", clock)
    value = "x" * 130_000
    with EtcdServer(1) as server:
        put(server, a=value)
        with running(members_of(server), tmp_path, bytes_per_s=11_000.0) as node:
            node.wait_for(a=value)
    assert 130_000 * 4 / 3 / 11_000.0 - 1.0 < sum(paused) < 18.0


class FakeModule:
    """Stands for a module in which a few functions are replaced."""

    def __init__(self, **functions: Callable[..., Any]) -> None:
        self.__dict__.update(functions)


# ---- against peers that speak no HTTP, or too much of it ----

HEAD = b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
NO_ANSWERS = {
    "nothing": b"",
    "half a head": HEAD,
    "half a body": HEAD + b'Content-Length: 500\r\n\r\n{"header"',
    "an endless head": HEAD + b"X: " + b"y" * 30_000,
    "no HTTP": b"\x00\xff\r\n\r\n",
    "no JSON": HEAD + b"Content-Length: 5\r\n\r\n<htm>",
    "a body too long": HEAD + b"Content-Length: 99999999\r\n\r\n",
    "an endless body": HEAD + b"\r\n" + b" " * 700_000,
    "chunks of nonsense": HEAD + b"Transfer-Encoding: chunked\r\n\r\nZZ\r\n",
    "an upgrade": b"HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\nConnection: upgrade\r\n\r\n\x00",
    "a proxy's error": b"HTTP/1.1 502 Bad Gateway\r\nContent-Length: 6\r\n\r\n<html>",
    "an empty object": HEAD + b"Content-Length: 2\r\n\r\n{}",
}


@contextmanager
def peer(answer: bytes, then: str) -> Iterator[HostPort]:
    """A member that answers each request with these bytes, and then ends, is silent or trickles."""
    with listening_socket() as server:

        def serve(client: socket.socket) -> None:
            with client, suppress(OSError):
                client.recv(65536)
                client.sendall(answer)
                while then == "silence":
                    gevent.sleep(1.0)
                while then == "trickle":
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


@pytest.mark.usefixtures("quick")
@pytest.mark.parametrize("then", ["end", "silence", "trickle"])
@pytest.mark.parametrize("answer", NO_ANSWERS.values(), ids=NO_ANSWERS)
def test_a_member_that_answers_nonsense_or_never_does_not_hold_up_the_node(
    tmp_path: Path, answer: bytes, then: str
) -> None:
    with EtcdServer(1) as server, peer(answer, then) as bad, capture_logs() as logs:
        put(server, a=1)
        with running(
            [bad, *members_of(server)], tmp_path, bytes_per_s=1e8, seed=seed_that_begins_at(0)
        ) as node:
            node.wait_for(a=1)
    assert [line for line in logs if line["event"] == "settings_member_failed"]
    assert not [line for line in logs if line["event"] == "settings_watch_failed"]


def seed_that_begins_at(place: int, size: int = 2) -> int:
    """A seed with which the member at that place is asked first."""
    names = [str(number) for number in range(size)]
    return next(seed for seed in range(1000) if Members(names, Random(seed)).pick(0.0) == str(place))


BAD_STREAMS = {
    "an end": b"",
    "no JSON": b"9\r\n<nonsense\r\n",
    "half a frame": b'400\r\n{"result": {"header"',
    "an endless frame": b'FFFFFF\r\n{"result": {"x": "' + b"y" * 400_000,
    "an error": b'35\r\n{"error":{"grpc_code":14,"message":"no leader at all"}}\r\n',
}


def watch_answer(stream: bytes) -> bytes:
    return HEAD + b"Transfer-Encoding: chunked\r\n\r\n" + stream


@pytest.mark.usefixtures("quick")
@pytest.mark.parametrize("then", ["end", "silence", "trickle"])
@pytest.mark.parametrize("stream", BAD_STREAMS.values(), ids=BAD_STREAMS)
def test_a_watch_of_nonsense_is_left_for_another_member(tmp_path: Path, stream: bytes, then: str) -> None:
    with EtcdServer(1) as server:
        put(server, a=1)
        with running(members_of(server), tmp_path) as node:
            node.wait_for(a=1)
        put(server, a=2)
        with (
            peer(watch_answer(stream), then) as bad,
            running(
                [bad, *members_of(server)], tmp_path, bytes_per_s=1e8, seed=seed_that_begins_at(0)
            ) as node,
        ):
            node.wait_for(a=2)


def test_a_full_disk_changes_nothing_of_what_is_in_force(tmp_path: Path) -> None:
    (tmp_path / "settings.json.new").mkdir()
    with EtcdServer(1) as server, capture_logs() as logs:
        put(server, a=1)
        with running(members_of(server), tmp_path) as node:
            node.wait_for(a=1)
            put(server, a=2)
            node.wait_for(a=2)
    assert [line["event"] for line in logs].count("settings_not_saved") == 2


def test_a_fault_of_the_actor_itself_is_logged_and_it_begins_anew(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr("irisstack.node.settings_watch.RESTART_PAUSE_S", 0.1)
    with EtcdServer(1) as server, capture_logs() as logs:
        put(server, a=1)
        with running(members_of(server), tmp_path) as node:
            node.wait_for(a=1)
            monkeypatch.setattr(
                decisions.SettingsFollower, "step", failing_once(decisions.SettingsFollower.step)
            )
            put(server, a=2)
            node.wait_for(a=2)
            assert node.counters.snapshot()["settings_revision"] == node.in_force[-1][0]
    assert "settings_watch_failed" in [line["event"] for line in logs]


def failing_once(step: Callable[..., Any]) -> Callable[..., Any]:
    """A step that fails the first time."""
    failed: list[bool] = []

    def fail(*arguments: Any) -> Any:
        if not failed:
            failed.append(True)
            raise ZeroDivisionError("a fault")
        return step(*arguments)

    return fail
