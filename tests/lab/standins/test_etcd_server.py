"""The cluster's members on loopback: the gateway's bytes, and each fault that a test may bring about."""

import base64
import json
from collections.abc import Iterator
from typing import Any

import gevent
import pytest
from gevent import socket

from irisstack.lab.sockets import http
from irisstack.lab.standins import etcd_server
from irisstack.lab.standins.etcd_cluster import Availability
from irisstack.lab.standins.etcd_server import EtcdServer

WAIT = 5.0
"""Seconds in which what has to come comes, on a machine of any speed."""
QUIET = 0.1
"""Seconds in which nothing comes where nothing has to."""

Json = dict[str, Any]


def text(value: bytes) -> str:
    return base64.b64encode(value).decode()


class Client:
    """One connection to a member."""

    def __init__(self, address: str) -> None:
        host, port = address.split(":")
        self.socket = socket.create_connection((host, int(port)), timeout=WAIT)
        self._left = b""

    def send(self, path: str, body: Json, headers: dict[str, str] | None = None) -> None:
        self.socket.sendall(http.request("POST", path, "etcd", headers or {}, json.dumps(body).encode()))

    def ask(self, path: str, body: Json) -> tuple[int, Json]:
        """One request, and its answer's status and object."""
        self.send(path, body)
        reader = http.ReplyReader()
        while (reply := reader.feed(self.socket.recv(65536))) is None:
            pass
        return reply.status, json.loads(reply.body)

    def watch(self, key: bytes, *, headers: dict[str, str] | None = None, **fields: object) -> None:
        create = {"key": text(key), "range_end": text(b"\0"), **fields}
        self.send("/v3/watch", {"create_request": create}, headers)

    def next(self) -> Json | None:
        """The next object of a watch; `None` at its end."""
        while b"\n" not in (body := self._body()):
            data = self.socket.recv(65536)
            if not data:
                return None
            self._left += data
        line, _, _ = body.partition(b"\n")
        head, _, chunks = self._left.partition(b"\r\n\r\n")
        if not head.startswith(b"HTTP/"):
            head, chunks = b"", self._left
        size, _, rest = chunks.partition(b"\r\n")
        self._left = rest[int(size, 16) + 2 :]
        found: Json = json.loads(line)
        return found

    def _body(self) -> bytes:
        """The first chunk, if it is here whole."""
        left = self._left
        if left.startswith(b"HTTP/"):
            head, found, left = left.partition(b"\r\n\r\n")
            if not found:
                return b""
            assert head.startswith(b"HTTP/1.1 200")
        size, found, rest = left.partition(b"\r\n")
        length = int(size, 16) if found else 0
        return rest[:length] if found and len(rest) >= length + 2 else b""

    def silent(self) -> bool:
        """Whether nothing comes for a while."""
        self.socket.settimeout(QUIET)
        try:
            self.socket.recv(1)
        except TimeoutError:
            return True
        else:
            return False
        finally:
            self.socket.settimeout(WAIT)


@pytest.fixture
def server() -> Iterator[EtcdServer]:
    with EtcdServer(7) as running:
        yield running


def client(server: EtcdServer, member: int = 0) -> Client:
    return Client(server.addresses[member])


def test_a_key_is_put_and_read_as_the_gateway_writes_it(server: EtcdServer) -> None:
    asking = client(server)
    status, answer = asking.ask("/v3/kv/put", {"key": text(b"a"), "value": text(b"1")})
    assert status == 200
    assert answer["header"]["revision"] == "2"
    status, answer = asking.ask("/v3/kv/range", {"key": text(b"a")})
    assert answer["kvs"] == [
        {"key": "YQ==", "create_revision": "2", "mod_revision": "2", "version": "1", "value": "MQ=="}
    ]
    assert answer["count"] == "1"
    assert "more" not in answer
    status, answer = asking.ask("/v3/kv/range", {"key": text(b"z")})
    assert set(answer) == {"header"}
    assert server.members[0].traffic.requests.total == 3
    assert server.members[0].traffic.connections.total == 1


def test_a_transaction_and_a_deletion_over_the_gateway(server: EtcdServer) -> None:
    asking = client(server)
    compare = {"key": text(b"a"), "target": "MOD", "result": "EQUAL", "mod_revision": "0"}
    put = {"request_put": {"key": text(b"a"), "value": text(b"1")}}
    read = {"request_range": {"key": text(b"a")}}
    _, answer = asking.ask("/v3/kv/txn", {"compare": [compare], "success": [put], "failure": [read]})
    assert answer["succeeded"] is True
    _, answer = asking.ask("/v3/kv/txn", {"compare": [compare], "success": [put], "failure": [read]})
    assert "succeeded" not in answer
    assert answer["responses"][0]["response_range"]["kvs"][0]["mod_revision"] == "2"
    _, answer = asking.ask("/v3/kv/deleterange", {"key": text(b"a")})
    assert answer["deleted"] == "1"


def test_errors_carry_the_gateways_codes(server: EtcdServer) -> None:
    for value in range(4):
        server.cluster.put(b"a", b"%d" % value)
    server.cluster.compact(4)
    asking = client(server)
    status, answer = asking.ask("/v3/kv/range", {"key": text(b"a"), "revision": "3"})
    assert (status, answer["code"]) == (400, 11)
    assert answer["message"] == answer["error"]
    status, answer = asking.ask("/v3/kv/range", {"key": text(b"a"), "revision": "99"})
    assert (status, answer["code"]) == (400, 11)
    status, answer = asking.ask("/v3/kv/range", {"key": text(b"a"), "rangeend": ""})
    assert (status, answer["code"]) == (400, 3)
    status, answer = asking.ask("/v3/kv/range", {"key": "*"})
    assert (status, answer["code"]) == (400, 3)
    status, answer = asking.ask("/v3/kv/other", {})
    assert status == 404


def test_a_watch_tells_changes_as_they_come(server: EtcdServer) -> None:
    watching = client(server, 1)
    watching.watch(b"a")
    created = watching.next()
    assert created is not None
    assert created["result"]["created"] is True
    server.cluster.put(b"a", b"1")
    told = watching.next()
    assert told is not None
    assert told["result"]["events"][0]["kv"]["value"] == "MQ=="
    assert "type" not in told["result"]["events"][0]
    server.cluster.delete(b"a")
    told = watching.next()
    assert told is not None
    assert told["result"]["events"] == [{"type": "DELETE", "kv": {"key": "YQ==", "mod_revision": "3"}}]
    assert server.members[1].watch_count == 1


def test_a_watch_of_a_compacted_revision_is_cancelled(server: EtcdServer) -> None:
    for value in range(4):
        server.cluster.put(b"a", b"%d" % value)
    server.cluster.compact(4)
    watching = client(server)
    watching.watch(b"a", start_revision="2")
    assert watching.next() is not None
    told = watching.next()
    assert told is not None
    assert told["result"]["canceled"] is True
    assert told["result"]["compact_revision"] == "4"
    assert "revision" not in told["result"]["header"]


def test_progress_is_told_to_a_watch_that_asked() -> None:
    with EtcdServer(progress_interval_s=0.02) as server:
        watching, other = client(server), client(server)
        watching.watch(b"a", progress_notify=True)
        other.watch(b"a")
        assert watching.next() is not None
        told = watching.next()
        assert told is not None
        assert set(told["result"]) == {"header"}
        assert other.next() is not None
        assert other.silent()


def test_a_member_that_is_down_refuses_and_comes_back_on_its_port(server: EtcdServer) -> None:
    watching = client(server)
    watching.watch(b"a")
    assert watching.next() is not None
    server.cluster.set_availability(0, Availability.DOWN)
    assert watching.next() is None
    with pytest.raises(ConnectionRefusedError):
        client(server)
    server.cluster.put(b"a", b"1")
    server.cluster.set_availability(0, Availability.UP)
    assert client(server).ask("/v3/kv/range", {"key": text(b"a")})[1]["count"] == "1"


def test_a_member_that_hangs_takes_connections_and_never_answers(server: EtcdServer) -> None:
    watching = client(server)
    watching.watch(b"a")
    assert watching.next() is not None
    server.cluster.set_availability(0, Availability.UNRESPONSIVE)
    server.cluster.put(b"a", b"1")
    assert watching.silent()
    asking = client(server)
    asking.send("/v3/kv/range", {"key": text(b"a")})
    assert asking.silent()
    server.cluster.set_availability(0, Availability.UP)
    told = watching.next()
    assert told is not None
    assert told["result"]["events"][0]["kv"]["value"] == "MQ=="


def test_a_member_that_trickles_sends_a_few_bytes_at_a_time(
    server: EtcdServer, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(etcd_server, "TRICKLE_INTERVAL_S", 0.001)
    server.cluster.set_availability(0, Availability.TRICKLING)
    asking = client(server)
    asking.send("/v3/kv/range", {"key": text(b"a")})
    assert len(asking.socket.recv(65536)) <= 2 * etcd_server.TRICKLE_BYTES


@pytest.mark.parametrize("size", [1, 7, 64])
def test_bytes_may_be_cut_anywhere(server: EtcdServer, size: int) -> None:
    server.members[0].max_write_bytes = size
    watching = client(server)
    watching.watch(b"a")
    assert watching.next() is not None
    server.cluster.put(b"a", b"x" * 500)
    told = watching.next()
    assert told is not None
    assert told["result"]["events"][0]["kv"]["value"] == text(b"x" * 500)


def test_a_member_without_a_quorum_serves_the_old_state(server: EtcdServer) -> None:
    server.cluster.put(b"a", b"1")
    watching, strict = client(server, 6), client(server, 6)
    watching.watch(b"a")
    strict.watch(b"a", headers={"Grpc-Metadata-Hasleader": "true"})
    assert watching.next() is not None
    assert strict.next() is not None
    server.cluster.partition([0, 1, 2, 3], [4, 5, 6])
    server.cluster.put(b"a", b"2")
    asking = client(server, 6)
    status, answer = asking.ask("/v3/kv/range", {"key": text(b"a")})
    assert (status, answer["code"]) == (503, 14)
    status, answer = asking.ask("/v3/kv/put", {"key": text(b"a"), "value": ""})
    assert (status, answer["code"]) == (503, 14)
    status, answer = asking.ask("/v3/kv/range", {"key": text(b"a"), "serializable": True})
    assert answer["kvs"][0]["value"] == text(b"1")
    assert watching.silent()
    told = strict.next()
    assert told is not None
    assert told["error"]["grpc_code"] == 14
    assert client(server, 0).ask("/v3/kv/range", {"key": text(b"a")})[1]["kvs"][0]["value"] == text(b"2")
    server.cluster.heal()
    told = watching.next()
    assert told is not None
    assert told["result"]["events"][0]["kv"]["value"] == text(b"2")


def test_four_members_of_seven_that_are_down_leave_no_quorum(server: EtcdServer) -> None:
    for number in range(4):
        server.cluster.set_availability(number, Availability.DOWN)
    assert client(server, 6).ask("/v3/kv/range", {"key": text(b"a")})[0] == 503
    server.cluster.set_availability(0, Availability.UP)
    assert client(server, 6).ask("/v3/kv/range", {"key": text(b"a")})[0] == 200


def test_a_restored_backup_has_a_lower_revision_and_may_have_another_id(server: EtcdServer) -> None:
    server.cluster.put(b"a", b"1")
    backup = server.cluster.store.copy()
    server.cluster.put(b"a", b"2")
    watching = client(server)
    watching.watch(b"a")
    assert watching.next() is not None
    _, before = client(server).ask("/v3/kv/range", {"key": text(b"a")})
    server.restore(backup, cluster_id=7)
    assert watching.next() is None
    _, after = client(server).ask("/v3/kv/range", {"key": text(b"a")})
    assert (before["header"]["revision"], after["header"]["revision"]) == ("3", "2")
    assert after["header"]["cluster_id"] == "7"
    assert after["kvs"][0]["value"] == text(b"1")


def test_a_member_may_tell_another_cluster_or_revision(server: EtcdServer) -> None:
    server.cluster.members[0].cluster_id = 9
    server.cluster.members[0].reported_revision = 1_000_000
    _, answer = client(server).ask("/v3/kv/range", {"key": text(b"a")})
    assert (answer["header"]["cluster_id"], answer["header"]["revision"]) == ("9", "1000000")


def test_watches_may_end_or_fall_silent(server: EtcdServer) -> None:
    watching = client(server)
    watching.watch(b"a")
    assert watching.next() is not None
    server.members[0].end_watches()
    assert watching.next() is None
    server.cluster.members[0].watches_stalled = True
    watching = client(server)
    watching.watch(b"a")
    assert watching.next() is not None
    server.cluster.put(b"a", b"1")
    assert watching.silent()
    assert client(server).ask("/v3/kv/range", {"key": text(b"a")})[0] == 200


def test_a_client_that_leaves_is_let_go(server: EtcdServer) -> None:
    watching = client(server)
    watching.watch(b"a")
    assert watching.next() is not None
    watching.socket.close()
    with gevent.Timeout(WAIT):
        while server.members[0].watch_count:
            gevent.sleep(0.001)
