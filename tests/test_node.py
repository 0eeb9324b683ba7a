"""The node as a process on real sockets: messages accepted, sent and finished, shutdown and restarts."""

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


def wait_until_delivered(node: Node, count: int) -> None:
    eventually(lambda: node.counters().get("delivered") == count, f"{count} delivered")


def test_a_message_is_accepted_and_delivered_unchanged(tmp_path: Path) -> None:
    endpoint = ScriptedEndpoint()
    body = bytes(range(256))
    with node_and_platform(tmp_path, endpoint) as (node, platform):
        assert node.submit("m1", "keyed", body).status == 202
        wait_until_delivered(node, 1)
        (call,) = endpoint.requests
        assert (call.method, call.path) == ("POST", "/v1/messages")
        assert (call.headers["x-request-id"], call.headers["idempotency-key"]) == ("m1", "key-m1")
        assert 0.0 < float(call.headers["x-timeout"]) <= 20.0
        assert call.body == body
        assert platform.notices == []


def test_connections_to_clients_and_endpoints_are_reused(tmp_path: Path) -> None:
    endpoint = ScriptedEndpoint()
    with node_and_platform(tmp_path, endpoint) as (node, _):
        client = node.connect()
        for number in range(1, 5):
            client.send(message_request(f"m{number}"))
            assert client.read_response().status == 202
            wait_until_delivered(node, number)
        client.close()
        assert endpoint.connection_count == 1


def test_a_connection_that_the_endpoint_closed_is_not_reused(tmp_path: Path) -> None:
    endpoint = ScriptedEndpoint()
    with node_and_platform(tmp_path, endpoint) as (node, _):
        node.submit("m1", "unsafe")
        wait_until_delivered(node, 1)
        for connection in endpoint._sockets:
            connection.shutdown(2)
        node.submit("m2", "unsafe")
        wait_until_delivered(node, 2)
        assert len(endpoint.calls_with("m2")) == 1


class BatchEndpoint(ScriptedEndpoint):
    """Accepts every message of a batch call except those whose id ends in `x`."""

    def reply(self, connection: socket.socket, request: http.Message) -> None:
        ids = [line.split()[0] for line in bytes(request.body).decode().splitlines()[::3]]
        ends = (f"{id_} {'fault' if id_.endswith('x') else 'accepted'}\r\n" for id_ in ids)
        connection.sendall(http_response(200, body="".join(ends)))


def test_messages_queued_for_one_endpoint_are_sent_in_a_batch_call(tmp_path: Path) -> None:
    endpoint = BatchEndpoint()
    with node_and_platform(tmp_path) as (node, platform):
        for id_ in ("m1", "m2", "m3", "m4", "m5x"):  # queued, since there is no endpoint yet
            assert node.submit(id_, "unsafe", b"y\r\nz").status == 202
        eventually(lambda: platform.watchers)
        platform.update_members(platform.add_member(endpoint, 1, flavor="shared"))
        wait_until_delivered(node, 4)
        assert eventually(lambda: platform.notice_for("m5x"))["result"] == "dead"
        (call,) = endpoint.requests
        assert call.path == "/v1/messages:batch"
        assert b"m1 - 4\r\ny\r\nz\r\n" in bytes(call.body)
        endpoint.close()


def test_a_draining_endpoint_gets_no_further_calls(tmp_path: Path) -> None:
    first_endpoint, second_endpoint = ScriptedEndpoint(), ScriptedEndpoint()
    with node_and_platform(tmp_path, first_endpoint, second_endpoint) as (node, platform):
        eventually(lambda: platform.watchers)
        platform.members[0]["phase"] = "DRAINING"
        platform.update_members(platform.members[0])
        platform.send_update("no JSON")
        eventually(lambda: len(platform.watchers) > 1, "a new watch after an invalid line")
        before = len(first_endpoint.requests)
        for number in range(6):
            node.submit(f"m{number}")
        wait_until_delivered(node, 6)
        assert len(first_endpoint.requests) == before


def test_a_notice_of_a_failed_message_is_sent_until_it_is_acknowledged(tmp_path: Path) -> None:
    endpoint = ScriptedEndpoint(http_response(500))
    with node_and_platform(tmp_path, endpoint) as (node, platform):
        platform.rejections_left = 2
        node.submit("m1", "unsafe")
        eventually(lambda: platform.notice_for("m1"))
        assert platform.notice_for("m1") == {"ref": "m1", "result": "dead"}
        assert len(endpoint.calls_with("m1")) == 1
        eventually(lambda: node.counters().get("notices_taken") == 1)
        assert len(platform.notices) == 1


def test_a_message_that_the_endpoint_reports_as_final_is_finished(tmp_path: Path) -> None:
    endpoint = ScriptedEndpoint(http_response(410))
    with node_and_platform(tmp_path, endpoint) as (node, platform):
        node.submit("m1")
        eventually(lambda: node.counters().get("ended_not_sent") == 1)
        node.submit("m2")
        eventually(lambda: node.counters().get("ended_not_sent") == 2)
        assert len(endpoint.calls_with("m1")) == 1
        assert platform.notices == []


def test_an_answer_that_is_not_http_ends_the_attempt(tmp_path: Path) -> None:
    endpoint = ScriptedEndpoint(b"nonsense\r\n\r\n")
    with node_and_platform(tmp_path, endpoint) as (node, platform):
        node.submit("m1", "unsafe")
        assert eventually(lambda: platform.notice_for("m1"))["result"] == "dead"
        assert node.is_healthy()


def test_an_attempt_on_a_refused_connection_did_not_run(tmp_path: Path) -> None:
    closed, endpoint = ScriptedEndpoint(), ScriptedEndpoint()
    with node_and_platform(tmp_path, closed, endpoint) as (node, _):
        closed.close()
        for number in range(4):
            node.submit(f"m{number}", "unsafe")
        wait_until_delivered(node, 4)
        assert node.counters().get("dead", 0) == 0


INVALID_REQUESTS = [
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


def test_invalid_requests_are_answered_and_the_node_keeps_serving(tmp_path: Path) -> None:
    with node_and_platform(tmp_path, ScriptedEndpoint()) as (node, _):
        assert [node.send_request(data).status for data, _ in INVALID_REQUESTS] == [
            status for _, status in INVALID_REQUESTS
        ]
        assert node.submit("m2").status == 202


def test_a_timeout_with_any_number_of_digits_is_accepted(tmp_path: Path) -> None:
    """One with more than nine decimals was answered 400."""
    with node_and_platform(tmp_path, ScriptedEndpoint()) as (node, _):
        for number, timeout in enumerate(("2.0000000001", "2." + "3" * 400, "9" * 400, "2.")):
            assert node.submit(f"m{number}", X_Timeout=timeout).status == 202


def test_the_largest_body_and_pipelined_requests_are_accepted(tmp_path: Path) -> None:
    endpoint = ScriptedEndpoint()
    with node_and_platform(tmp_path, endpoint) as (node, _):
        client = node.connect()
        client.send(message_request("m1", body=bytes(http.MAX_BODY)) + message_request("m2"))
        assert [client.read_response().status, client.read_response().status] == [202, 202]
        wait_until_delivered(node, 2)
        assert max(len(call.body) for call in endpoint.requests) == http.MAX_BODY


def test_a_client_that_disconnects_before_the_answer_withdraws_its_message(tmp_path: Path) -> None:
    endpoint = ScriptedEndpoint()
    with node_and_platform(tmp_path, endpoint) as (node, platform):
        os.kill(node.process.pid, 19)  # SIGSTOP: the node does not read the request
        client = node.connect()
        client.send(message_request("m1"))
        client.close()
        os.kill(node.process.pid, 18)  # SIGCONT
        eventually(lambda: node.counters().get("clients_left") == 1)
        node.submit("m2")
        wait_until_delivered(node, 1)
        assert endpoint.calls_with("m1") == []
        assert platform.notices == []


def test_a_repeated_submission_is_not_accepted_twice(tmp_path: Path) -> None:
    endpoint = ScriptedEndpoint()
    with node_and_platform(tmp_path, endpoint) as (node, _):
        assert node.submit("m1", "unsafe").status == 202
        wait_until_delivered(node, 1)
        node.kill()
        node.start()
        assert node.submit("m1", "unsafe").status == 200
        assert len(endpoint.calls_with("m1")) == 1


def test_a_repeated_submission_of_a_message_that_may_have_run_is_not_refused(tmp_path: Path) -> None:
    """It was answered 503, a promise that it may be submitted under another id without a second effect."""
    endpoint = ScriptedEndpoint(http_response(500))
    with node_and_platform(tmp_path, endpoint) as (node, platform):
        assert node.submit("m1", "unsafe").status == 202
        eventually(lambda: platform.notice_for("m1"))
        assert platform.notice_for("m1") == {"ref": "m1", "result": "dead"}
        assert node.submit("m1", "unsafe").status == 500
        node.kill()
        node.start()
        assert node.submit("m1", "unsafe").status == 500
        assert len(endpoint.calls_with("m1")) == 1


def test_accepted_messages_survive_a_kill(tmp_path: Path) -> None:
    endpoint = ScriptedEndpoint()
    with node_and_platform(tmp_path) as (node, platform):
        for number in range(5):  # queued, since there is no endpoint yet
            assert node.submit(f"m{number}", "unsafe", bytes([number])).status == 202
        node.kill()
        platform.add_member(endpoint, 1)
        node.config_data["known"] = platform.document()
        node.start()
        wait_until_delivered(node, 5)
        assert sorted(bytes(call.body) for call in endpoint.requests) == [bytes([n]) for n in range(5)]
        endpoint.close()


def restart_with_a_call_in_flight(node: Node, endpoint: ScriptedEndpoint, message_class: str) -> None:
    """Kill and restart the node while `m1` is unanswered; from then on the endpoint answers."""
    node.submit("m1", message_class)
    eventually(lambda: endpoint.calls_with("m1"))
    node.kill()
    endpoint.script = [http_response(200)]
    node.start()


def test_an_unsafe_message_in_flight_at_a_kill_is_never_sent_again(tmp_path: Path) -> None:
    endpoint = ScriptedEndpoint(None)
    with node_and_platform(tmp_path, endpoint) as (node, platform):
        restart_with_a_call_in_flight(node, endpoint, "unsafe")
        assert eventually(lambda: platform.notice_for("m1")) == {"ref": "m1", "result": "dead"}
        node.submit("m2")
        wait_until_delivered(node, 1)
        assert len(endpoint.calls_with("m1")) == 1


def test_a_keyed_message_in_flight_at_a_kill_is_retried_with_its_key(tmp_path: Path) -> None:
    endpoint = ScriptedEndpoint(None)
    with node_and_platform(tmp_path, endpoint) as (node, platform):
        restart_with_a_call_in_flight(node, endpoint, "keyed")
        wait_until_delivered(node, 1)
        calls = endpoint.calls_with("m1")
        assert [call.headers["idempotency-key"] for call in calls] == ["key-m1", "key-m1"]
        assert platform.notices == []


def test_a_message_whose_deadline_passes_while_the_node_is_down_gets_a_notice(tmp_path: Path) -> None:
    with node_and_platform(tmp_path) as (node, platform):
        node.submit("m1", "safe", X_Timeout="2.0")
        node.kill()
        time.sleep(2.1)
        node.start()
        assert eventually(lambda: platform.notice_for("m1"))["result"] == "bounced"


def test_an_unacknowledged_notice_survives_a_kill(tmp_path: Path) -> None:
    endpoint = ScriptedEndpoint(http_response(500))
    with node_and_platform(tmp_path, endpoint) as (node, platform):
        platform.rejections_left = 1_000_000
        node.submit("m1", "unsafe")
        eventually(lambda: node.counters().get("dead") == 1)
        node.kill()
        platform.rejections_left = 0
        node.start()
        assert eventually(lambda: platform.notice_for("m1"))["result"] == "dead"


def test_a_body_that_does_not_fit_the_disk_limit_is_rejected(tmp_path: Path) -> None:
    with node_and_platform(tmp_path, disk_mb=1) as (node, _):
        statuses = [node.submit(f"m{n}", body=os.urandom(http.MAX_BODY)).status for n in range(20)]
        assert statuses[0] == 202
        assert statuses[-1] == 503
        assert sum(-(-path.stat().st_size // 512) * 512 for path in node.state.iterdir()) <= 1_000_000
        assert node.submit("small").status == 202


def test_sigterm_rejects_new_messages_and_finishes_calls_in_flight(tmp_path: Path) -> None:
    endpoint = ScriptedEndpoint(None)
    with node_and_platform(tmp_path, endpoint) as (node, _):
        client = node.connect()
        client.send(message_request("m1", "unsafe"))
        assert client.read_response().status == 202
        eventually(lambda: endpoint.calls_with("m1"))
        node.process.terminate()
        assert client.is_closed()
        assert node.submit("m2").status == 503
        endpoint._sockets[0].sendall(http_response(200))
        assert node.process.wait(20) == 0
        assert '"delivered": 1' in node.log.read_text()
        node.start()
        assert "recovered" in node.counters()
        assert node.counters()["recovered"] == 0


def test_messages_pending_at_sigterm_are_left_to_the_next_process(tmp_path: Path) -> None:
    with node_and_platform(tmp_path) as (node, _):
        node.submit("m1")
        assert node.terminate() == 0
        node.start()
        assert node.counters()["recovered"] == 1


def test_a_pushed_list_is_watched_without_a_request_from_the_sender(tmp_path: Path) -> None:
    endpoint = ScriptedEndpoint()
    with node_and_platform(tmp_path) as (node, platform):
        node.kill()
        node.config_data["settings"] = {**SETTINGS, "discovery": "pushed"}
        before = len(platform.watchers)
        node.start()
        node.submit("m1")
        eventually(lambda: len(platform.watchers) > before, "a watch")
        platform.watchers[-1].shutdown(socket.SHUT_RDWR)
        eventually(lambda: len(platform.watchers) > before + 1, "a new watch")
        platform.update_members(platform.add_member(endpoint, 1))
        wait_until_delivered(node, 1)
        endpoint.close()


def test_an_address_in_use_gives_a_one_line_error_and_an_exit_code(tmp_path: Path) -> None:
    with node_and_platform(tmp_path) as (node, platform):
        (tmp_path / "second").mkdir()
        second_node = Node(tmp_path / "second", platform)
        second_node.config_data["listen"] = node.config_data["listen"]
        assert second_node.launch().wait(20) == 2
        assert f"irisstack: listen: {node.config_data['listen']}: " in second_node.log.read_text()


def test_sighup_switches_the_list_and_notices_to_the_new_discovery_address(tmp_path: Path) -> None:
    old_endpoint, endpoint, new_platform = (
        ScriptedEndpoint(),
        ScriptedEndpoint(http_response(500)),
        ScriptedPlatform(),
    )
    with node_and_platform(tmp_path, old_endpoint) as (node, platform):
        client = node.connect()
        client.send(message_request("m1"))
        assert client.read_response().status == 202
        eventually(lambda: platform.watchers, "a watch")
        new_platform.add_member(endpoint, 2, cell=2)
        node.config_data["discovery"] = f"127.0.0.1:{new_platform.port}"
        node.reload_config()
        eventually(lambda: new_platform.watchers, "a watch at the new address")
        client.send(message_request("m2", "unsafe", X_Consignee="dest=2"))  # on the old connection
        assert client.read_response().status == 202
        assert eventually(lambda: new_platform.notice_for("m2"))["result"] == "dead"
        assert platform.notices == []
        assert len(endpoint.calls_with("m2")) == 1
        client.close()
    new_platform.close()
    endpoint.close()


def test_a_notice_unanswered_at_the_old_address_is_sent_to_the_new_one(tmp_path: Path) -> None:
    class Silent(ScriptedPlatform):
        def reply(self, connection: socket.socket, request: http.Message) -> None:
            if request.path != "/reports":
                super().reply(connection, request)

    endpoint, silent_platform, new_platform = (
        ScriptedEndpoint(http_response(500)),
        Silent(),
        ScriptedPlatform(),
    )
    silent_platform.add_member(endpoint, 1)
    with node_and_platform(tmp_path, endpoint) as (node, _):
        node.config_data["discovery"] = f"127.0.0.1:{silent_platform.port}"
        node.reload_config()
        node.submit("m1", "unsafe")
        eventually(lambda: [request for request in silent_platform.requests if request.path == "/reports"])
        node.config_data["discovery"] = f"127.0.0.1:{new_platform.port}"
        node.reload_config()
        assert eventually(lambda: new_platform.notice_for("m1"))["result"] == "dead"
    silent_platform.close()
    new_platform.close()


def test_a_reload_of_an_invalid_file_changes_nothing(tmp_path: Path) -> None:
    endpoint = ScriptedEndpoint()
    with node_and_platform(tmp_path, endpoint) as (node, _):
        node.config_data["discovery"] = "nowhere"
        node.reload_config()
        (line,) = [line for line in node.log.read_text().splitlines() if "configuration_not_taken" in line]
        assert "discovery: expected host:port" in line
        assert node.submit("m1").status == 202
        wait_until_delivered(node, 1)


def test_sighup_during_startup_does_not_end_the_node(tmp_path: Path) -> None:
    with node_and_platform(tmp_path) as (node, _):
        node.kill()
        process = node.launch()
        status = Path(f"/proc/{process.pid}/status")

        def handles_sighup() -> bool:
            masks = dict(line.split(":", 1) for line in status.read_text().splitlines())
            return bool((int(masks["SigIgn"], 16) | int(masks["SigCgt"], 16)) >> (signal.SIGHUP - 1) & 1)

        eventually(handles_sighup, "a node that handles SIGHUP")
        while not node.is_healthy():
            process.send_signal(signal.SIGHUP)
        assert process.poll() is None
