"""Settings changes while a node serves: no message is lost or duplicated, no change is applied in part."""

import json
import os
import subprocess
import sys
import threading
from pathlib import Path
from typing import Any

import pytest

from tests.node.settings_support import (
    LANES,
    dynamic_settings_node,
    lane_items,
    logged_events,
    wait_until_in_force,
)
from tests.node_support import SETTINGS, Node, ScriptedEndpoint, eventually, http_response, node_and_platform

ROOT = Path(__file__).resolve().parents[2]
NEW_CLASS = {"repeat": "read_like", "slo": 2.0, "hardLimit": 20.0}
CLOSE_UNANSWERED = b""
"""For an endpoint's script: the connection closes without an answer, so the call may have run."""


def wait_until_delivered(node: Node, count: int) -> None:
    eventually(lambda: node.counters().get("delivered") == count, f"{count} delivered")


def saved_settings(node: Node) -> dict[str, Any]:
    document: dict[str, Any] = json.loads((node.state / "settings.json").read_text())["settings"]
    return document


def test_a_new_class_is_accepted_while_the_node_runs(tmp_path: Path) -> None:
    endpoint = ScriptedEndpoint()
    with dynamic_settings_node(tmp_path, endpoint) as (node, _, cluster):
        assert node.submit("m1", "more").status == 404
        wait_until_in_force(node, cluster.publish(lane_items("safe", "keyed", "unsafe", more=NEW_CLASS)))
        assert node.submit("m2", "more").status == 202
        assert node.submit("m3", "safe").status == 202
        wait_until_delivered(node, 2)
        assert [len(endpoint.calls_with(id_)) for id_ in ("m1", "m2", "m3")] == [0, 1, 1]


def test_without_a_cluster_the_node_uses_the_settings_of_its_file(tmp_path: Path) -> None:
    endpoint = ScriptedEndpoint()
    with dynamic_settings_node(tmp_path, endpoint) as (node, _, cluster):
        cluster.stop()
        assert node.submit("m1", "keyed").status == 202
        wait_until_delivered(node, 1)


@pytest.mark.parametrize("restarted", [False, True], ids=["running", "killed"])
def test_a_removed_class_is_rejected_and_its_pending_messages_are_delivered(
    tmp_path: Path, restarted: bool
) -> None:
    endpoint = ScriptedEndpoint()
    with dynamic_settings_node(tmp_path) as (node, platform, cluster):
        for id_ in ("m1", "m2"):  # queued, since there is no endpoint yet
            assert node.submit(id_, "keyed").status == 202
        wait_until_in_force(node, cluster.publish(lane_items("safe")))
        assert node.submit("m3", "keyed").status == 404
        assert saved_settings(node)["retired"].keys() == {"lanes/keyed", "lanes/unsafe"}
        if restarted:
            node.kill()
            node.start()
            wait_until_in_force(node, 1)
            assert saved_settings(node)["retired"].keys() == {"lanes/keyed"}, (
                "only what pending messages need is kept"
            )
            assert node.submit("m3", "keyed").status == 404
        platform.update_members(platform.add_member(endpoint, 1))
        wait_until_delivered(node, 2)
        assert [len(endpoint.calls_with(id_)) for id_ in ("m1", "m2", "m3")] == [1, 1, 0]
        assert not platform.notices
        node.kill()
        node.start()
        wait_until_in_force(node, 1)
        assert saved_settings(node)["retired"] == {}, "nothing is pending any more"
        endpoint.close()


@pytest.mark.parametrize("restarted", [False, True], ids=["running", "killed"])
def test_a_removed_class_keeps_its_retry_rules_for_pending_messages(tmp_path: Path, restarted: bool) -> None:
    endpoint = ScriptedEndpoint(CLOSE_UNANSWERED)
    with dynamic_settings_node(tmp_path, endpoint) as (node, platform, cluster):
        assert node.submit("m1", "keyed").status == 202
        assert node.submit("m2", "unsafe").status == 202
        eventually(lambda: endpoint.calls_with("m1") and endpoint.calls_with("m2"), "a call for each message")
        wait_until_in_force(node, cluster.publish(lane_items("safe")))
        if restarted:
            node.kill()
            node.start()
        assert eventually(lambda: platform.notice_for("m2"))["result"] == "dead", "the call may have run"
        endpoint.script = [http_response(200)]
        eventually(lambda: len(endpoint.calls_with("m1")) >= 2, "a retry")
        assert {call.headers["idempotency-key"] for call in endpoint.calls_with("m1")} == {"key-m1"}
        eventually(lambda: node.counters().get("delivered") == 1)
        assert platform.notice_for("m1") is None
        assert len(endpoint.calls_with("m2")) == 1


def test_a_call_in_flight_when_its_class_is_removed_ends_normally(tmp_path: Path) -> None:
    endpoint = ScriptedEndpoint(None)
    with dynamic_settings_node(tmp_path, endpoint) as (node, platform, cluster):
        assert node.submit("m1", "unsafe").status == 202
        eventually(lambda: endpoint.calls_with("m1"))
        wait_until_in_force(node, cluster.publish(lane_items("safe")))
        endpoint._sockets[-1].sendall(http_response(200))
        wait_until_delivered(node, 1)
        assert len(endpoint.calls_with("m1")) == 1
        assert not platform.notices


def test_a_call_in_flight_when_its_class_is_removed_and_the_node_is_killed_may_have_run(
    tmp_path: Path,
) -> None:
    endpoint = ScriptedEndpoint(None)
    with dynamic_settings_node(tmp_path, endpoint) as (node, platform, cluster):
        assert node.submit("m1", "unsafe").status == 202
        assert node.submit("m2", "keyed").status == 202
        eventually(lambda: endpoint.calls_with("m1") and endpoint.calls_with("m2"))
        wait_until_in_force(node, cluster.publish(lane_items("safe")))
        node.kill()
        endpoint.script = [http_response(200)]
        node.start()
        assert eventually(lambda: platform.notice_for("m1"))["result"] == "dead"
        wait_until_delivered(node, 1)
        assert (len(endpoint.calls_with("m1")), len(endpoint.calls_with("m2"))) == (1, 2)


@pytest.mark.parametrize(
    ("items", "path"),
    [
        (
            lane_items("safe", unsafe={**LANES["unsafe"], "repeat": "read_like"}, more=NEW_CLASS),
            "lanes/unsafe.repeat: ",
        ),
        (
            lane_items("safe", keyed={**LANES["keyed"], "window": 99.0}, more=NEW_CLASS),
            "lanes/keyed.window: ",
        ),
        ({**lane_items("safe", more=NEW_CLASS), "allowed/attemptsCap": 0}, "allowed.attemptsCap: "),
        ({**lane_items("safe", more=NEW_CLASS), "allowed/mostHeld": "many"}, "allowed.mostHeld: "),
        ({**lane_items("safe", more=NEW_CLASS), "ordinal": 7}, "ordinal: "),
        ({**lane_items("safe", more=NEW_CLASS), "extra/maxCalls": 4000}, "extra.maxCalls: "),
        (
            {**lane_items("safe", more=NEW_CLASS), "kinds/plain": {"separateRoutes": True}},
            "kinds/plain.separateRoutes: ",
        ),
        ({**lane_items("safe", more=NEW_CLASS), "nonsense": 1}, "nonsense: "),
    ],
)
def test_a_document_with_one_invalid_value_is_refused_with_its_path(
    tmp_path: Path, items: dict[str, Any], path: str
) -> None:
    endpoint = ScriptedEndpoint()
    with dynamic_settings_node(tmp_path, endpoint) as (node, _, cluster):
        wait_until_in_force(node, cluster.publish({"allowed/attemptsCap": 5}))
        bad = cluster.publish(items)
        eventually(lambda: node.counters().get("settings_refused") == 1, "a refusal")
        (line,) = logged_events(node, "settings_refused")
        assert line["revision"] == bad
        assert line["reason"].startswith(path)
        assert "Traceback" not in node.log.read_text()
        assert node.submit("m1", "more").status == 404, "nothing of the document is applied"
        assert node.submit("m2", "unsafe").status == 202, "the earlier classes are still accepted"
        assert saved_settings(node)["items"] == {"allowed/attemptsCap": 5}
        good = cluster.publish(
            lane_items("safe", more=NEW_CLASS), *(p for p in items if not p.startswith("lanes/"))
        )
        cluster.publish({}, "lanes/unsafe", "lanes/keyed")
        wait_until_in_force(node, good)
        assert node.submit("m3", "more").status == 202
        wait_until_delivered(node, 2)


def test_a_removed_tenant_is_rejected_and_its_pending_messages_are_delivered(tmp_path: Path) -> None:
    endpoint = ScriptedEndpoint()
    with dynamic_settings_node(tmp_path) as (node, platform, cluster):
        assert node.submit("m1").status == 202
        wait_until_in_force(node, cluster.publish({"tenants/zeta": {"allowancePerS": 1.0, "share": 1.0}}))
        assert node.submit("m2").status == 400
        assert node.submit("m3", X_Tenant_Id="zeta").status == 202
        platform.update_members(platform.add_member(endpoint, 1))
        wait_until_delivered(node, 2)
        assert not endpoint.calls_with("m2")
        endpoint.close()


@pytest.mark.parametrize("restarted", [False, True], ids=["running", "killed"])
def test_endpoints_of_a_removed_kind_still_receive_pending_messages(tmp_path: Path, restarted: bool) -> None:
    endpoint = ScriptedEndpoint(http_response(503, "Retry-After: 4"))
    with dynamic_settings_node(tmp_path, endpoint) as (node, _, cluster):
        assert node.submit("m1").status == 202
        eventually(lambda: endpoint.calls_with("m1"))
        wait_until_in_force(node, cluster.publish({"kinds/shared": {"maxBatch": 5}}))
        if restarted:
            node.kill()
        endpoint.script = [http_response(200)]  # only now, so that the last process delivers
        if restarted:
            node.start()
        wait_until_delivered(node, 1)
        assert len(endpoint.calls_with("m1")) >= 2


def test_a_list_line_of_an_unknown_kind_is_read_once_the_kind_is_defined(tmp_path: Path) -> None:
    endpoint = ScriptedEndpoint()
    with dynamic_settings_node(tmp_path) as (node, platform, cluster):
        eventually(lambda: platform.watchers)
        platform.update_members(platform.add_member(endpoint, 1, flavor="fresh"))
        eventually(lambda: logged_events(node, "list_line_waits_for_its_kind"), "a list line that waits")
        assert node.submit("m1").status == 202, "no list has contained a destination yet"
        kinds = {"kinds/plain": {}, "kinds/shared": {"maxBatch": 5}, "kinds/fresh": {"maxBatch": 2}}
        wait_until_in_force(node, cluster.publish(kinds))
        wait_until_delivered(node, 1)
        endpoint.close()


def test_limits_below_the_number_of_held_messages_drop_none(tmp_path: Path) -> None:
    endpoint = ScriptedEndpoint()
    with dynamic_settings_node(tmp_path) as (node, platform, cluster):
        for number in range(30):
            assert node.submit(f"m{number}").status == 202
        wait_until_in_force(
            node, cluster.publish({"allowed/mostHeld": 5, "extra/maxCalls": 1, "allowed/attemptsCap": 1})
        )
        assert not platform.notices
        platform.update_members(platform.add_member(endpoint, 1))
        wait_until_delivered(node, 30)
        assert all(len(endpoint.calls_with(f"m{number}")) == 1 for number in range(30))
        assert not platform.notices
        endpoint.close()


def test_a_higher_limit_of_calls_takes_effect_while_the_node_runs(tmp_path: Path) -> None:
    endpoints = [ScriptedEndpoint(None) for _ in range(16)]
    with dynamic_settings_node(tmp_path) as (node, platform, cluster):
        eventually(lambda: platform.watchers)
        platform.update_members(*(platform.add_member(endpoint, n) for n, endpoint in enumerate(endpoints)))
        for number in range(16):
            assert node.submit(f"m{number}", X_Consignee=f"dest={number}").status == 202
        eventually(
            lambda: sum(len(endpoint.requests) for endpoint in endpoints) == 12,
            "the calls that the file allows",
        )
        wait_until_in_force(node, cluster.publish({"extra/maxCalls": 60}))
        eventually(lambda: sum(len(endpoint.requests) for endpoint in endpoints) == 16, "all calls")
        for endpoint in endpoints:
            endpoint.close()


def test_a_burst_of_changes_while_serving_loses_and_duplicates_no_message(tmp_path: Path) -> None:
    endpoints = [ScriptedEndpoint(), ScriptedEndpoint()]
    with dynamic_settings_node(tmp_path, *endpoints) as (node, platform, cluster):
        answers: dict[str, int] = {}

        def serve(client: int) -> None:
            for number in range(60):
                id_ = f"c{client}-{number}"
                message_class = ("safe", "unsafe", "come_and_go")[number % 3]
                answers[id_] = node.submit(id_, message_class).status

        clients = [threading.Thread(target=serve, args=(client,)) for client in range(3)]
        for client in clients:
            client.start()
        for number in range(80):
            if number % 2:
                cluster.publish({"allowed/mostHeld": 60 + number}, "lanes/come_and_go")
            else:
                cluster.publish(
                    lane_items("safe", "unsafe", come_and_go=NEW_CLASS) | {"extra/maxCalls": 12 + number % 7}
                )
        for client in clients:
            client.join()
        last = cluster.publish({"balancers": 3})
        wait_until_in_force(node, last)
        accepted = [id_ for id_, status in answers.items() if status == 202]
        assert len(answers) == 180
        assert set(answers.values()) <= {202, 404}
        assert all(answers[id_] == 202 for id_ in answers if int(id_.split("-")[1]) % 3 != 2)
        wait_until_delivered(node, len(accepted))
        calls = {id_: sum(len(endpoint.calls_with(id_)) for endpoint in endpoints) for id_ in accepted}
        assert set(calls.values()) == {1}
        assert not platform.notices


def test_a_saved_document_is_in_force_at_startup_without_the_cluster(tmp_path: Path) -> None:
    endpoint = ScriptedEndpoint()
    with dynamic_settings_node(tmp_path, endpoint) as (node, _, cluster):
        wait_until_in_force(node, cluster.publish(lane_items("safe", more=NEW_CLASS)))
        node.kill()
        cluster.stop()
        node.start()
        assert node.submit("m1", "more").status == 202
        assert node.submit("m2", "keyed").status == 404
        wait_until_delivered(node, 1)


def test_a_saved_document_that_no_longer_fits_the_file_is_logged_once(tmp_path: Path) -> None:
    endpoint = ScriptedEndpoint()
    with dynamic_settings_node(tmp_path) as (node, platform, cluster):
        wait_until_in_force(
            node, cluster.publish({**lane_items("safe", more=NEW_CLASS), "extra/maxCalls": 100})
        )
        assert node.submit("m1", "more").status == 202
        node.kill()
        cluster.stop()
        node.config_data["limits"]["sockets"] = 80  # too few for 100 calls
        # Listed before the watch opens: an update sent while it opens could overtake the complete list.
        platform.add_member(endpoint, 1)
        node.start()
        (line,) = logged_events(node, "saved_settings_refused")
        assert line["error"].startswith("extra.maxCalls: ")
        assert node.submit("m2", "keyed").status == 202, "the file's settings are in force"
        assert node.submit("m3", "more").status == 404
        wait_until_delivered(node, 2)
        assert len(endpoint.calls_with("m1")) == 1, "the pending message of the saved class is sent"
        endpoint.close()


def test_a_removed_class_that_returns_with_other_values_is_refused(tmp_path: Path) -> None:
    with dynamic_settings_node(tmp_path) as (node, _, cluster):
        wait_until_in_force(node, cluster.publish(lane_items("safe", "keyed")))
        wait_until_in_force(node, cluster.publish({}, "lanes/keyed"))
        cluster.publish({"lanes/keyed": {**LANES["keyed"], "group": "zone"}})
        (line,) = eventually(lambda: logged_events(node, "settings_refused"))
        assert line["reason"].startswith("lanes/keyed.group: ")
        assert node.submit("m1", "keyed").status == 404


def test_without_the_dynamic_settings_key_none_of_its_modules_is_loaded(tmp_path: Path) -> None:
    program = (
        "import sys\n"
        "import irisstack.node.service\n"
        "print([name for name in sys.modules if 'dynamic_settings' in name or 'settings_watch' in name"
        " or 'live_settings' in name or 'member_call' in name])\n"
    )
    loaded = subprocess.run(
        [sys.executable, "-c", program], capture_output=True, text=True, check=True, cwd=ROOT, env=os.environ
    )
    assert loaded.stdout.strip() == "[]"
    endpoint = ScriptedEndpoint()
    with node_and_platform(tmp_path, endpoint) as (node, _):
        assert node.submit("m1").status == 202
        wait_until_delivered(node, 1)
        assert not [name for name in node.counters() if "settings" in name]
        assert not [path for path in node.state.iterdir() if "settings" in path.name]
        assert "settings" not in node.log.read_text()


def test_a_reload_of_the_file_keeps_the_settings_in_force(tmp_path: Path) -> None:
    with dynamic_settings_node(tmp_path) as (node, _, cluster):
        wait_until_in_force(node, cluster.publish(lane_items("safe", more=NEW_CLASS)))
        node.config_data["settings"] = {**SETTINGS, "balancers": 9}
        node.reload_config()
        (line,) = logged_events(node, "configuration_taken")
        assert set(line["await_restart"]) == {"settings", "dynamic_settings"}
        assert node.submit("m1", "more").status == 202


def test_a_message_of_a_class_unknown_at_startup_waits_for_the_settings(tmp_path: Path) -> None:
    endpoint = ScriptedEndpoint()
    with dynamic_settings_node(tmp_path) as (node, platform, cluster):
        revision = cluster.publish(lane_items("safe", more=NEW_CLASS))
        wait_until_in_force(node, revision)
        assert node.submit("m1", "more").status == 202
        assert node.submit("m2", "more", X_Timeout="0.500").status == 202
        node.kill()
        (node.state / "settings.json").write_text("torn")
        platform.add_member(endpoint, 1)
        node.config_data["known"] = platform.document()
        node.start()
        wait_until_in_force(node, revision)
        wait_until_delivered(node, 1)
        assert len(endpoint.calls_with("m1")) == 1
        endpoint.close()


def test_a_message_whose_class_stays_unknown_gets_a_notice_at_its_deadline(tmp_path: Path) -> None:
    with dynamic_settings_node(tmp_path) as (node, platform, cluster):
        wait_until_in_force(node, cluster.publish(lane_items("safe", more=NEW_CLASS)))
        assert node.submit("m1", "more", X_Timeout="4.000").status == 202
        node.kill()
        cluster.stop()
        (node.state / "settings.json").unlink()
        node.start()
        assert platform.notice_for("m1") is None
        notice = eventually(lambda: platform.notice_for("m1"))
        assert notice["result"] == "dead"
        assert logged_events(node, "class_gone")
