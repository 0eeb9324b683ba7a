"""The real program on real sockets: messages taken on, sent, ended, and what outlives a process."""

import os
import signal
import socket
import time
from pathlib import Path

from irisstack.node import http
from tests.node_support import (
    SETTINGS,
    Node,
    ScriptedEndpoint,
    ScriptedPlatform,
    eventually,
    http_response,
    message_request,
    node_and_platform,
)


def delivered(node: Node, count: int) -> None:
    eventually(lambda: node.counters().get("delivered") == count, f"{count} delivered")


def test_a_message_is_taken_on_and_passes_on_unchanged(tmp_path: Path) -> None:
    partner = ScriptedEndpoint()
    body = bytes(range(256))
    with node_and_platform(tmp_path, partner) as (node, platform):
        assert node.submit("m1", "keyed", body).status == 202
        delivered(node, 1)
        (call,) = partner.requests
        assert (call.method, call.path) == ("POST", "/v1/messages")
        assert (call.headers["x-request-id"], call.headers["idempotency-key"]) == ("m1", "key-m1")
        assert 0.0 < float(call.headers["x-timeout"]) <= 20.0
        assert call.body == body
        assert platform.notices == []


def test_a_connection_is_kept_on_either_side(tmp_path: Path) -> None:
    partner = ScriptedEndpoint()
    with node_and_platform(tmp_path, partner) as (node, _):
        client = node.connect()
        for number in range(1, 5):
            client.send(message_request(f"m{number}"))
            assert client.read_response().status == 202
            delivered(node, number)
        client.close()
        assert partner.connection_count == 1


def test_a_connection_that_the_endpoint_ended_is_not_used_again(tmp_path: Path) -> None:
    partner = ScriptedEndpoint(http_response(200))
    with node_and_platform(tmp_path, partner) as (node, _):
        node.submit("m1", "unsafe")
        delivered(node, 1)
        for connection in partner._sockets:
            connection.shutdown(2)
        node.submit("m2", "unsafe")
        delivered(node, 2)
        assert len(partner.calls_with("m2")) == 1


class SharingPeer(ScriptedEndpoint):
    """Takes every message of a shared call but those whose id ends in `x`."""

    def reply(self, connection: socket.socket, request: http.Message) -> None:
        ids = [line.split()[0] for line in bytes(request.body).decode().splitlines()[::3]]
        ends = (f"{id_} {'fault' if id_.endswith('x') else 'accepted'}\r\n" for id_ in ids)
        connection.sendall(http_response(200, body="".join(ends)))


def test_messages_that_wait_for_one_endpoint_share_a_call(tmp_path: Path) -> None:
    partner = SharingPeer()
    with node_and_platform(tmp_path) as (node, platform):
        for id_ in ("m1", "m2", "m3", "m4", "m5x"):  # no endpoint yet: they wait
            assert node.submit(id_, "unsafe", b"y\r\nz").status == 202
        eventually(lambda: platform.watchers)
        platform.update_members(platform.add_member(partner, 1, flavor="shared"))
        delivered(node, 4)
        assert eventually(lambda: platform.notice_for("m5x"))["result"] == "dead"
        (call,) = partner.requests
        assert call.path == "/v1/messages:batch"
        assert b"m1 - 4\r\ny\r\nz\r\n" in bytes(call.body)
        partner.close()


def test_an_endpoint_that_is_told_to_drain_gets_nothing_more(tmp_path: Path) -> None:
    first, second = ScriptedEndpoint(), ScriptedEndpoint()
    with node_and_platform(tmp_path, first, second) as (node, platform):
        eventually(lambda: platform.watchers)
        platform.members[0]["phase"] = "DRAINING"
        platform.update_members(platform.members[0])
        platform.send_update("no JSON")
        eventually(lambda: len(platform.watchers) > 1, "a new watch after a line that cannot be read")
        before = len(first.requests)
        for number in range(6):
            node.submit(f"m{number}")
        delivered(node, 6)
        assert len(first.requests) == before


def test_what_cannot_be_delivered_in_time_ends_with_a_notice_told_until_it_is_taken(tmp_path: Path) -> None:
    partner = ScriptedEndpoint(http_response(500))
    with node_and_platform(tmp_path, partner) as (node, platform):
        platform.rejections_left = 2
        node.submit("m1", "unsafe")
        eventually(lambda: platform.notice_for("m1"))
        assert platform.notice_for("m1") == {"ref": "m1", "result": "dead"}
        assert len(partner.calls_with("m1")) == 1
        eventually(lambda: node.counters().get("notices_taken") == 1)
        assert len(platform.notices) == 1


def test_a_message_over_at_the_endpoint_is_owed_nothing_more(tmp_path: Path) -> None:
    partner = ScriptedEndpoint(http_response(410))
    with node_and_platform(tmp_path, partner) as (node, platform):
        node.submit("m1")
        eventually(lambda: node.counters().get("ended_not_sent") == 1)
        node.submit("m2")
        eventually(lambda: node.counters().get("ended_not_sent") == 2)
        assert len(partner.calls_with("m1")) == 1
        assert platform.notices == []


def test_an_answer_that_is_no_http_is_an_outcome(tmp_path: Path) -> None:
    partner = ScriptedEndpoint(b"nonsense\r\n\r\n")
    with node_and_platform(tmp_path, partner) as (node, platform):
        node.submit("m1", "unsafe")
        assert eventually(lambda: platform.notice_for("m1"))["result"] == "dead"
        assert node.is_healthy()


def test_a_refused_connection_never_ran(tmp_path: Path) -> None:
    closed, partner = ScriptedEndpoint(), ScriptedEndpoint()
    with node_and_platform(tmp_path, closed, partner) as (node, _):
        closed.close()
        for number in range(4):
            node.submit(f"m{number}", "unsafe")
        delivered(node, 4)
        assert node.counters().get("dead", 0) == 0


UNTAKEN = [
    (b"nonsense\r\n\r\n", 400),
    (http.request("POST", "/safe", "node", [("X-Request-ID", "m1")]), 400),
    (message_request("m1", X_Timeout="soon"), 400),
    (message_request("m1", X_Timeout="nan"), 400),
    (message_request("m1", X_Consignee="dest=x"), 400),
    (message_request("m1", X_Tenant_Id="nobody"), 400),
    (message_request("two words"), 400),
    (message_request("m1", "keyed", Idempotency_Key=""), 400),
    (message_request("m1", X_Priority_Class="unsafe"), 400),
    (message_request("m1", body=bytes(http.MAX_BODY + 1)), 413),
    (b"POST /safe HTTP/1.1\r\nX-Long: " + b"x" * 40000 + b"\r\n\r\n", 431),
    (message_request("m1", "unknown"), 404),
    (http.request("GET", "/safe", "node"), 405),
    (http.request("POST", "/healthz", "node"), 405),
]


def test_what_cannot_be_taken_is_answered_and_the_node_goes_on(tmp_path: Path) -> None:
    with node_and_platform(tmp_path, ScriptedEndpoint()) as (node, _):
        assert [node.send_request(data).status for data, _ in UNTAKEN] == [status for _, status in UNTAKEN]
        assert node.submit("m2").status == 202


def test_the_largest_body_is_taken_and_requests_may_come_together(tmp_path: Path) -> None:
    partner = ScriptedEndpoint()
    with node_and_platform(tmp_path, partner) as (node, _):
        client = node.connect()
        client.send(message_request("m1", body=bytes(http.MAX_BODY)) + message_request("m2"))
        assert [client.read_response().status, client.read_response().status] == [202, 202]
        delivered(node, 2)
        assert max(len(call.body) for call in partner.requests) == http.MAX_BODY


def test_a_client_that_left_before_the_answer_has_withdrawn_its_message(tmp_path: Path) -> None:
    partner = ScriptedEndpoint()
    with node_and_platform(tmp_path, partner) as (node, platform):
        os.kill(node.process.pid, 19)  # stopped: the request waits unread
        client = node.connect()
        client.send(message_request("m1"))
        client.close()
        os.kill(node.process.pid, 18)
        eventually(lambda: node.counters().get("clients_left") == 1)
        node.submit("m2")
        delivered(node, 1)
        assert partner.calls_with("m1") == []
        assert platform.notices == []


def test_the_same_handing_in_once_more_is_not_taken_twice(tmp_path: Path) -> None:
    partner = ScriptedEndpoint()
    with node_and_platform(tmp_path, partner) as (node, _):
        assert node.submit("m1", "unsafe").status == 202
        delivered(node, 1)
        node.kill()
        node.start()
        assert node.submit("m1", "unsafe").status == 200
        assert len(partner.calls_with("m1")) == 1


def test_what_was_taken_on_outlives_a_kill(tmp_path: Path) -> None:
    partner = ScriptedEndpoint()
    with node_and_platform(tmp_path) as (node, platform):
        for number in range(5):  # no endpoint yet: they wait
            assert node.submit(f"m{number}", "unsafe", bytes([number])).status == 202
        node.kill()
        platform.add_member(partner, 1)
        node.config_data["known"] = platform.document()
        node.start()
        delivered(node, 5)
        assert sorted(bytes(call.body) for call in partner.requests) == [bytes([n]) for n in range(5)]
        partner.close()


def kill_with_a_call_out(node: Node, partner: ScriptedEndpoint, kind: str) -> None:
    """Kill the node while the endpoint holds `m1` unanswered; in its next life the endpoint answers."""
    node.submit("m1", kind)
    eventually(lambda: partner.calls_with("m1"))
    node.kill()
    partner.script = [http_response(200)]
    node.start()


def test_an_unsafe_message_with_a_call_out_at_a_kill_is_never_sent_again(tmp_path: Path) -> None:
    partner = ScriptedEndpoint(None)
    with node_and_platform(tmp_path, partner) as (node, platform):
        kill_with_a_call_out(node, partner, "unsafe")
        assert eventually(lambda: platform.notice_for("m1")) == {"ref": "m1", "result": "dead"}
        node.submit("m2")
        delivered(node, 1)
        assert len(partner.calls_with("m1")) == 1


def test_a_keyed_message_with_a_call_out_at_a_kill_goes_again_under_its_key(tmp_path: Path) -> None:
    partner = ScriptedEndpoint(None)
    with node_and_platform(tmp_path, partner) as (node, platform):
        kill_with_a_call_out(node, partner, "keyed")
        delivered(node, 1)
        calls = partner.calls_with("m1")
        assert [call.headers["idempotency-key"] for call in calls] == ["key-m1", "key-m1"]
        assert platform.notices == []


def test_a_message_whose_time_ran_out_while_the_node_was_down_ends_with_a_notice(tmp_path: Path) -> None:
    with node_and_platform(tmp_path) as (node, platform):
        node.submit("m1", "safe", X_Timeout="2.0")
        node.kill()
        time.sleep(2.1)
        node.start()
        assert eventually(lambda: platform.notice_for("m1"))["result"] == "bounced"


def test_a_notice_that_nobody_took_outlives_a_kill(tmp_path: Path) -> None:
    partner = ScriptedEndpoint(http_response(500))
    with node_and_platform(tmp_path, partner) as (node, platform):
        platform.rejections_left = 1_000_000
        node.submit("m1", "unsafe")
        eventually(lambda: node.counters().get("dead") == 1)
        node.kill()
        platform.rejections_left = 0
        node.start()
        assert eventually(lambda: platform.notice_for("m1"))["result"] == "dead"


def test_a_body_that_no_longer_fits_the_folder_is_turned_away(tmp_path: Path) -> None:
    with node_and_platform(tmp_path, disk_mb=1) as (node, _):
        statuses = [node.submit(f"m{n}", body=os.urandom(http.MAX_BODY)).status for n in range(20)]
        assert statuses[0] == 202
        assert statuses[-1] == 503
        assert sum(-(-path.stat().st_size // 512) * 512 for path in node.state.iterdir()) <= 1_000_000
        assert node.submit("small").status == 202


def test_sigterm_turns_away_what_is_new_and_brings_a_call_to_its_end(tmp_path: Path) -> None:
    partner = ScriptedEndpoint(None)
    with node_and_platform(tmp_path, partner) as (node, _):
        idle = node.connect()
        idle.send(message_request("m1", "unsafe"))
        assert idle.read_response().status == 202
        eventually(lambda: partner.calls_with("m1"))
        node.process.terminate()
        assert idle.is_closed()
        assert node.submit("m2").status == 503
        partner._sockets[0].sendall(http_response(200))
        assert node.process.wait(20) == 0
        assert '"delivered": 1' in node.log.read_text()
        node.start()
        assert "recovered" in node.counters()
        assert node.counters()["recovered"] == 0


def test_what_is_still_owed_at_sigterm_is_left_to_the_next_life(tmp_path: Path) -> None:
    with node_and_platform(tmp_path) as (node, _):
        node.submit("m1")
        assert node.terminate() == 0
        node.start()
        assert node.counters()["recovered"] == 1


def test_a_list_that_comes_unasked_is_watched_without_being_asked_for(tmp_path: Path) -> None:
    partner = ScriptedEndpoint()
    with node_and_platform(tmp_path) as (node, platform):
        node.kill()
        node.config_data["settings"] = {**SETTINGS, "discovery": "pushed"}
        before = len(platform.watchers)
        node.start()
        node.submit("m1")
        eventually(lambda: len(platform.watchers) > before, "a watch")
        platform.watchers[-1].shutdown(socket.SHUT_RDWR)
        eventually(lambda: len(platform.watchers) > before + 1, "a watch held anew")
        platform.update_members(platform.add_member(partner, 1))
        delivered(node, 1)
        partner.close()


def test_an_address_in_use_is_one_line_and_an_exit_code(tmp_path: Path) -> None:
    with node_and_platform(tmp_path) as (node, platform):
        (tmp_path / "second").mkdir()
        second = Node(tmp_path / "second", platform)
        second.config_data["listen"] = node.config_data["listen"]
        assert second.launch().wait(20) == 2
        assert f"irisstack: listen: {node.config_data['listen']}: " in second.log.read_text()


def test_sighup_moves_the_list_and_the_notices_to_the_address_in_the_file(tmp_path: Path) -> None:
    old_partner, partner, moved = ScriptedEndpoint(), ScriptedEndpoint(http_response(500)), ScriptedPlatform()
    with node_and_platform(tmp_path, old_partner) as (node, platform):
        client = node.connect()
        client.send(message_request("m1"))
        assert client.read_response().status == 202
        eventually(lambda: platform.watchers, "a watch")
        moved.add_member(partner, 2, cell=2)
        node.config_data["discovery"] = f"127.0.0.1:{moved.port}"
        node.reload_config()
        eventually(lambda: moved.watchers, "a watch at the new address")
        client.send(message_request("m2", "unsafe", X_Consignee="dest=2"))  # its connection is kept
        assert client.read_response().status == 202
        assert eventually(lambda: moved.notice_for("m2"))["result"] == "dead"
        assert platform.notices == []
        assert len(partner.calls_with("m2")) == 1
        client.close()
    moved.close()
    partner.close()


def test_a_notice_that_the_old_address_leaves_unanswered_goes_to_the_new_one(tmp_path: Path) -> None:
    class Silent(ScriptedPlatform):
        def reply(self, connection: socket.socket, request: http.Message) -> None:
            if request.path != "/reports":
                super().reply(connection, request)

    partner, silent, moved = ScriptedEndpoint(http_response(500)), Silent(), ScriptedPlatform()
    silent.add_member(partner, 1)
    with node_and_platform(tmp_path, partner) as (node, _):
        node.config_data["discovery"] = f"127.0.0.1:{silent.port}"
        node.reload_config()
        node.submit("m1", "unsafe")
        eventually(lambda: [request for request in silent.requests if request.path == "/reports"])
        node.config_data["discovery"] = f"127.0.0.1:{moved.port}"
        node.reload_config()
        assert eventually(lambda: moved.notice_for("m1"))["result"] == "dead"
    silent.close()
    moved.close()


def test_a_file_that_cannot_be_used_changes_nothing(tmp_path: Path) -> None:
    partner = ScriptedEndpoint()
    with node_and_platform(tmp_path, partner) as (node, _):
        node.config_data["discovery"] = "nowhere"
        node.reload_config()
        (line,) = [line for line in node.log.read_text().splitlines() if "configuration_not_taken" in line]
        assert "discovery: expected host:port" in line
        assert node.submit("m1").status == 202
        delivered(node, 1)


def test_sighup_before_the_node_is_ready_does_not_end_it(tmp_path: Path) -> None:
    with node_and_platform(tmp_path) as (node, _):
        node.kill()
        process = node.launch()
        status = Path(f"/proc/{process.pid}/status")

        def minded() -> bool:
            masks = dict(line.split(":", 1) for line in status.read_text().splitlines())
            return bool((int(masks["SigIgn"], 16) | int(masks["SigCgt"], 16)) >> (signal.SIGHUP - 1) & 1)

        eventually(minded, "a node that minds SIGHUP")
        while not node.is_healthy():
            process.send_signal(signal.SIGHUP)
        assert process.poll() is None
