"""The members of the etcd stand-in on loopback: the gateway's JSON, and each fault that can be injected."""

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

TIMEOUT_S = 5.0
"""Timeout in seconds for expected responses, long enough for a slow machine."""
QUIET_PERIOD_S = 0.1
"""Seconds to wait in a check that no response arrives."""

Json = dict[str, Any]


def encode_base64(value: bytes) -> str:
    return base64.b64encode(value).decode()


class GatewayClient:
    """A client with one connection to a member."""

    def __init__(self, address: str) -> None:
        host, port = address.split(":")
        self.socket = socket.create_connection((host, int(port)), timeout=TIMEOUT_S)
        self._buffer = b""

    def send(self, path: str, body: Json, headers: dict[str, str] | None = None) -> None:
        self.socket.sendall(http.request("POST", path, "etcd", headers or {}, json.dumps(body).encode()))

    def post(self, path: str, body: Json) -> tuple[int, Json]:
        """Send a request; returns the status and the decoded body of the response."""
        self.send(path, body)
        reader = http.ReplyReader()
        while (reply := reader.feed(self.socket.recv(65536))) is None:
            pass
        return reply.status, json.loads(reply.body)

    def watch(self, key: bytes, *, headers: dict[str, str] | None = None, **fields: object) -> None:
        create = {"key": encode_base64(key), "range_end": encode_base64(b"\0"), **fields}
        self.send("/v3/watch", {"create_request": create}, headers)

    def next_object(self) -> Json | None:
        """The next object of a watch stream; `None` at its end."""
        while b"\n" not in (body := self._first_chunk()):
            data = self.socket.recv(65536)
            if not data:
                return None
            self._buffer += data
        line, _, _ = body.partition(b"\n")
        head, _, chunks = self._buffer.partition(b"\r\n\r\n")
        if not head.startswith(b"HTTP/"):
            head, chunks = b"", self._buffer
        size, _, rest = chunks.partition(b"\r\n")
        self._buffer = rest[int(size, 16) + 2 :]
        decoded: Json = json.loads(line)
        return decoded

    def _first_chunk(self) -> bytes:
        """The payload of the first chunk in the buffer; empty if the chunk is incomplete."""
        buffer = self._buffer
        if buffer.startswith(b"HTTP/"):
            head, separator, buffer = buffer.partition(b"\r\n\r\n")
            if not separator:
                return b""
            assert head.startswith(b"HTTP/1.1 200")
        size, separator, rest = buffer.partition(b"\r\n")
        length = int(size, 16) if separator else 0
        return rest[:length] if separator and len(rest) >= length + 2 else b""

    def receives_nothing(self) -> bool:
        """Whether nothing arrives within `QUIET_PERIOD_S`."""
        self.socket.settimeout(QUIET_PERIOD_S)
        try:
            self.socket.recv(1)
        except TimeoutError:
            return True
        else:
            return False
        finally:
            self.socket.settimeout(TIMEOUT_S)


@pytest.fixture
def server() -> Iterator[EtcdServer]:
    with EtcdServer(7) as running:
        yield running


def connect(server: EtcdServer, member: int = 0) -> GatewayClient:
    return GatewayClient(server.addresses[member])


def test_put_and_range_responses_match_the_json_of_the_gateway(server: EtcdServer) -> None:
    client = connect(server)
    status, response = client.post("/v3/kv/put", {"key": encode_base64(b"a"), "value": encode_base64(b"1")})
    assert status == 200
    assert response["header"]["revision"] == "2"
    status, response = client.post("/v3/kv/range", {"key": encode_base64(b"a")})
    assert response["kvs"] == [
        {"key": "YQ==", "create_revision": "2", "mod_revision": "2", "version": "1", "value": "MQ=="}
    ]
    assert response["count"] == "1"
    assert "more" not in response
    status, response = client.post("/v3/kv/range", {"key": encode_base64(b"z")})
    assert set(response) == {"header"}
    assert server.members[0].traffic.requests.total == 3
    assert server.members[0].traffic.connections.total == 1


def test_a_transaction_and_a_deletion_over_the_gateway(server: EtcdServer) -> None:
    client = connect(server)
    compare = {"key": encode_base64(b"a"), "target": "MOD", "result": "EQUAL", "mod_revision": "0"}
    put = {"request_put": {"key": encode_base64(b"a"), "value": encode_base64(b"1")}}
    read = {"request_range": {"key": encode_base64(b"a")}}
    _, response = client.post("/v3/kv/txn", {"compare": [compare], "success": [put], "failure": [read]})
    assert response["succeeded"] is True
    _, response = client.post("/v3/kv/txn", {"compare": [compare], "success": [put], "failure": [read]})
    assert "succeeded" not in response
    assert response["responses"][0]["response_range"]["kvs"][0]["mod_revision"] == "2"
    _, response = client.post("/v3/kv/deleterange", {"key": encode_base64(b"a")})
    assert response["deleted"] == "1"


def test_errors_carry_the_codes_of_the_gateway(server: EtcdServer) -> None:
    for value in range(4):
        server.cluster.put(b"a", b"%d" % value)
    server.cluster.compact(4)
    client = connect(server)
    status, response = client.post("/v3/kv/range", {"key": encode_base64(b"a"), "revision": "3"})
    assert (status, response["code"]) == (400, 11)
    assert response["message"] == response["error"]
    status, response = client.post("/v3/kv/range", {"key": encode_base64(b"a"), "revision": "99"})
    assert (status, response["code"]) == (400, 11)
    status, response = client.post("/v3/kv/range", {"key": encode_base64(b"a"), "rangeend": ""})
    assert (status, response["code"]) == (400, 3)
    status, response = client.post("/v3/kv/range", {"key": "*"})
    assert (status, response["code"]) == (400, 3)
    status, response = client.post("/v3/kv/other", {})
    assert status == 404


def test_a_watch_delivers_changes_as_they_occur(server: EtcdServer) -> None:
    watcher = connect(server, 1)
    watcher.watch(b"a")
    created = watcher.next_object()
    assert created is not None
    assert created["result"]["created"] is True
    server.cluster.put(b"a", b"1")
    watch_response = watcher.next_object()
    assert watch_response is not None
    assert watch_response["result"]["events"][0]["kv"]["value"] == "MQ=="
    assert "type" not in watch_response["result"]["events"][0]
    server.cluster.delete(b"a")
    watch_response = watcher.next_object()
    assert watch_response is not None
    assert watch_response["result"]["events"] == [
        {"type": "DELETE", "kv": {"key": "YQ==", "mod_revision": "3"}}
    ]
    assert server.members[1].watch_count == 1


def test_a_watch_of_a_compacted_revision_is_cancelled(server: EtcdServer) -> None:
    for value in range(4):
        server.cluster.put(b"a", b"%d" % value)
    server.cluster.compact(4)
    watcher = connect(server)
    watcher.watch(b"a", start_revision="2")
    assert watcher.next_object() is not None
    watch_response = watcher.next_object()
    assert watch_response is not None
    assert watch_response["result"]["canceled"] is True
    assert watch_response["result"]["compact_revision"] == "4"
    assert "revision" not in watch_response["result"]["header"]


def test_progress_is_sent_only_to_a_watch_that_requested_it() -> None:
    with EtcdServer(progress_interval_s=0.02) as server:
        watcher, other_watcher = connect(server), connect(server)
        watcher.watch(b"a", progress_notify=True)
        other_watcher.watch(b"a")
        assert watcher.next_object() is not None
        watch_response = watcher.next_object()
        assert watch_response is not None
        assert set(watch_response["result"]) == {"header"}
        assert other_watcher.next_object() is not None
        assert other_watcher.receives_nothing()


def test_a_member_that_is_down_refuses_connections_and_returns_on_its_port(server: EtcdServer) -> None:
    watcher = connect(server)
    watcher.watch(b"a")
    assert watcher.next_object() is not None
    server.cluster.set_availability(0, Availability.DOWN)
    assert watcher.next_object() is None
    with pytest.raises(ConnectionRefusedError):
        connect(server)
    server.cluster.put(b"a", b"1")
    server.cluster.set_availability(0, Availability.UP)
    assert connect(server).post("/v3/kv/range", {"key": encode_base64(b"a")})[1]["count"] == "1"


def test_an_unresponsive_member_accepts_connections_and_never_answers(server: EtcdServer) -> None:
    watcher = connect(server)
    watcher.watch(b"a")
    assert watcher.next_object() is not None
    server.cluster.set_availability(0, Availability.UNRESPONSIVE)
    server.cluster.put(b"a", b"1")
    assert watcher.receives_nothing()
    client = connect(server)
    client.send("/v3/kv/range", {"key": encode_base64(b"a")})
    assert client.receives_nothing()
    server.cluster.set_availability(0, Availability.UP)
    watch_response = watcher.next_object()
    assert watch_response is not None
    assert watch_response["result"]["events"][0]["kv"]["value"] == "MQ=="


def test_a_trickling_member_sends_a_few_bytes_at_a_time(
    server: EtcdServer, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(etcd_server, "TRICKLE_INTERVAL_S", 0.001)
    server.cluster.set_availability(0, Availability.TRICKLING)
    client = connect(server)
    client.send("/v3/kv/range", {"key": encode_base64(b"a")})
    assert len(client.socket.recv(65536)) <= 2 * etcd_server.TRICKLE_BYTES


@pytest.mark.parametrize("size", [1, 7, 64])
def test_responses_may_be_split_at_any_byte(server: EtcdServer, size: int) -> None:
    server.members[0].max_write_bytes = size
    watcher = connect(server)
    watcher.watch(b"a")
    assert watcher.next_object() is not None
    server.cluster.put(b"a", b"x" * 500)
    watch_response = watcher.next_object()
    assert watch_response is not None
    assert watch_response["result"]["events"][0]["kv"]["value"] == encode_base64(b"x" * 500)


def test_a_member_without_quorum_serves_stale_data_to_serializable_reads_only(server: EtcdServer) -> None:
    server.cluster.put(b"a", b"1")
    watcher, leader_watcher = connect(server, 6), connect(server, 6)
    watcher.watch(b"a")
    leader_watcher.watch(b"a", headers={"Grpc-Metadata-Hasleader": "true"})
    assert watcher.next_object() is not None
    assert leader_watcher.next_object() is not None
    server.cluster.partition([0, 1, 2, 3], [4, 5, 6])
    server.cluster.put(b"a", b"2")
    client = connect(server, 6)
    status, response = client.post("/v3/kv/range", {"key": encode_base64(b"a")})
    assert (status, response["code"]) == (503, 14)
    status, response = client.post("/v3/kv/put", {"key": encode_base64(b"a"), "value": ""})
    assert (status, response["code"]) == (503, 14)
    status, response = client.post("/v3/kv/range", {"key": encode_base64(b"a"), "serializable": True})
    assert response["kvs"][0]["value"] == encode_base64(b"1")
    assert watcher.receives_nothing()
    watch_response = leader_watcher.next_object()
    assert watch_response is not None
    assert watch_response["error"]["grpc_code"] == 14
    assert connect(server, 0).post("/v3/kv/range", {"key": encode_base64(b"a")})[1]["kvs"][0][
        "value"
    ] == encode_base64(b"2")
    server.cluster.heal()
    watch_response = watcher.next_object()
    assert watch_response is not None
    assert watch_response["result"]["events"][0]["kv"]["value"] == encode_base64(b"2")


def test_four_of_seven_members_down_leave_no_quorum(server: EtcdServer) -> None:
    for number in range(4):
        server.cluster.set_availability(number, Availability.DOWN)
    assert connect(server, 6).post("/v3/kv/range", {"key": encode_base64(b"a")})[0] == 503
    server.cluster.set_availability(0, Availability.UP)
    assert connect(server, 6).post("/v3/kv/range", {"key": encode_base64(b"a")})[0] == 200


def test_a_restored_backup_has_a_lower_revision_and_may_have_another_cluster_id(server: EtcdServer) -> None:
    server.cluster.put(b"a", b"1")
    backup = server.cluster.store.copy()
    server.cluster.put(b"a", b"2")
    watcher = connect(server)
    watcher.watch(b"a")
    assert watcher.next_object() is not None
    _, before = connect(server).post("/v3/kv/range", {"key": encode_base64(b"a")})
    server.restore(backup, cluster_id=7)
    assert watcher.next_object() is None
    _, after = connect(server).post("/v3/kv/range", {"key": encode_base64(b"a")})
    assert (before["header"]["revision"], after["header"]["revision"]) == ("3", "2")
    assert after["header"]["cluster_id"] == "7"
    assert after["kvs"][0]["value"] == encode_base64(b"1")


def test_a_member_may_report_another_cluster_id_or_revision(server: EtcdServer) -> None:
    server.cluster.members[0].cluster_id = 9
    server.cluster.members[0].reported_revision = 1_000_000
    _, response = connect(server).post("/v3/kv/range", {"key": encode_base64(b"a")})
    assert (response["header"]["cluster_id"], response["header"]["revision"]) == ("9", "1000000")


def test_watches_may_end_or_stall(server: EtcdServer) -> None:
    watcher = connect(server)
    watcher.watch(b"a")
    assert watcher.next_object() is not None
    server.members[0].end_watches()
    assert watcher.next_object() is None
    server.cluster.members[0].watches_stalled = True
    watcher = connect(server)
    watcher.watch(b"a")
    assert watcher.next_object() is not None
    server.cluster.put(b"a", b"1")
    assert watcher.receives_nothing()
    assert connect(server).post("/v3/kv/range", {"key": encode_base64(b"a")})[0] == 200


def test_the_watch_of_a_disconnected_client_is_released(server: EtcdServer) -> None:
    watcher = connect(server)
    watcher.watch(b"a")
    assert watcher.next_object() is not None
    watcher.socket.close()
    with gevent.Timeout(TIMEOUT_S):
        while server.members[0].watch_count:
            gevent.sleep(0.001)
