"""A real node whose settings change while it serves: nothing owed is lost or doubled, nothing half taken."""

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
MORE = {"repeat": "read_like", "slo": 2.0, "hardLimit": 20.0}
RESET = b""
"""An endpoint's script: the connection ends with no answer, so that the call may have run."""


def delivered(node: Node, count: int) -> None:
    eventually(lambda: node.counters().get("delivered") == count, f"{count} delivered")


def saved(node: Node) -> dict[str, Any]:
    document: dict[str, Any] = json.loads((node.state / "settings.json").read_text())["settings"]
    return document


def test_a_new_class_is_offered_while_the_node_runs(tmp_path: Path) -> None:
    partner = ScriptedEndpoint()
    with dynamic_settings_node(tmp_path, partner) as (node, _, cluster):
        assert node.submit("m1", "more").status == 404
        wait_until_in_force(node, cluster.publish(lane_items("safe", "keyed", "unsafe", more=MORE)))
        assert node.submit("m2", "more").status == 202
        assert node.submit("m3", "safe").status == 202
        delivered(node, 2)
        assert [len(partner.calls_with(id_)) for id_ in ("m1", "m2", "m3")] == [0, 1, 1]


def test_without_a_cluster_the_node_serves_by_its_file(tmp_path: Path) -> None:
    partner = ScriptedEndpoint()
    with dynamic_settings_node(tmp_path, partner) as (node, _, cluster):
        cluster.stop()
        assert node.submit("m1", "keyed").status == 202
        delivered(node, 1)


@pytest.mark.parametrize("killed", [False, True], ids=["running", "killed"])
def test_a_class_that_went_is_offered_no_more_and_what_waits_under_it_goes_on(
    tmp_path: Path, killed: bool
) -> None:
    partner = ScriptedEndpoint()
    with dynamic_settings_node(tmp_path) as (node, platform, cluster):
        for id_ in ("m1", "m2"):  # no endpoint yet: they wait
            assert node.submit(id_, "keyed").status == 202
        wait_until_in_force(node, cluster.publish(lane_items("safe")))
        assert node.submit("m3", "keyed").status == 404
        assert saved(node)["retired"].keys() == {"lanes/keyed", "lanes/unsafe"}
        if killed:
            node.kill()
            node.start()
            wait_until_in_force(node, 1)
            assert saved(node)["retired"].keys() == {"lanes/keyed"}, "only what is owed under is kept"
            assert node.submit("m3", "keyed").status == 404
        platform.update_members(platform.add_member(partner, 1))
        delivered(node, 2)
        assert [len(partner.calls_with(id_)) for id_ in ("m1", "m2", "m3")] == [1, 1, 0]
        assert not platform.notices
        node.kill()
        node.start()
        wait_until_in_force(node, 1)
        assert saved(node)["retired"] == {}, "nothing is owed any more"
        partner.close()


@pytest.mark.parametrize("killed", [False, True], ids=["running", "killed"])
def test_a_class_that_went_with_a_repeat_pending_keeps_its_terms(tmp_path: Path, killed: bool) -> None:
    first = ScriptedEndpoint(RESET)
    with dynamic_settings_node(tmp_path, first) as (node, platform, cluster):
        assert node.submit("m1", "keyed").status == 202
        assert node.submit("m2", "unsafe").status == 202
        eventually(lambda: first.calls_with("m1") and first.calls_with("m2"), "a call of each")
        wait_until_in_force(node, cluster.publish(lane_items("safe")))
        if killed:
            node.kill()
            node.start()
        assert eventually(lambda: platform.notice_for("m2"))["result"] == "dead", "it may have run"
        first.script = [http_response(200)]
        eventually(lambda: len(first.calls_with("m1")) >= 2, "a repeat")
        assert {call.headers["idempotency-key"] for call in first.calls_with("m1")} == {"key-m1"}
        eventually(lambda: node.counters().get("delivered") == 1)
        assert platform.notice_for("m1") is None
        assert len(first.calls_with("m2")) == 1


def test_a_call_that_is_out_as_its_class_goes_ends_as_ever(tmp_path: Path) -> None:
    partner = ScriptedEndpoint(None)
    with dynamic_settings_node(tmp_path, partner) as (node, platform, cluster):
        assert node.submit("m1", "unsafe").status == 202
        eventually(lambda: partner.calls_with("m1"))
        wait_until_in_force(node, cluster.publish(lane_items("safe")))
        partner._sockets[-1].sendall(http_response(200))
        delivered(node, 1)
        assert len(partner.calls_with("m1")) == 1
        assert not platform.notices


def test_a_call_that_is_out_as_its_class_goes_and_the_node_dies_may_have_run(tmp_path: Path) -> None:
    partner = ScriptedEndpoint(None)
    with dynamic_settings_node(tmp_path, partner) as (node, platform, cluster):
        assert node.submit("m1", "unsafe").status == 202
        assert node.submit("m2", "keyed").status == 202
        eventually(lambda: partner.calls_with("m1") and partner.calls_with("m2"))
        wait_until_in_force(node, cluster.publish(lane_items("safe")))
        node.kill()
        partner.script = [http_response(200)]
        node.start()
        assert eventually(lambda: platform.notice_for("m1"))["result"] == "dead"
        delivered(node, 1)
        assert (len(partner.calls_with("m1")), len(partner.calls_with("m2"))) == (1, 2)


@pytest.mark.parametrize(
    ("items", "path"),
    [
        (
            lane_items("safe", unsafe={**LANES["unsafe"], "repeat": "read_like"}, more=MORE),
            "lanes/unsafe.repeat: ",
        ),
        (lane_items("safe", keyed={**LANES["keyed"], "window": 99.0}, more=MORE), "lanes/keyed.window: "),
        ({**lane_items("safe", more=MORE), "allowed/attemptsCap": 0}, "allowed.attemptsCap: "),
        ({**lane_items("safe", more=MORE), "allowed/mostHeld": "many"}, "allowed.mostHeld: "),
        ({**lane_items("safe", more=MORE), "ordinal": 7}, "ordinal: "),
        ({**lane_items("safe", more=MORE), "extra/maxCalls": 4000}, "extra.maxCalls: "),
        (
            {**lane_items("safe", more=MORE), "kinds/plain": {"separateRoutes": True}},
            "kinds/plain.separateRoutes: ",
        ),
        ({**lane_items("safe", more=MORE), "nonsense": 1}, "nonsense: "),
    ],
)
def test_a_document_with_one_bad_value_changes_nothing_and_is_named(
    tmp_path: Path, items: dict[str, Any], path: str
) -> None:
    partner = ScriptedEndpoint()
    with dynamic_settings_node(tmp_path, partner) as (node, _, cluster):
        wait_until_in_force(node, cluster.publish({"allowed/attemptsCap": 5}))
        bad = cluster.publish(items)
        eventually(lambda: node.counters().get("settings_refused") == 1, "a refusal")
        (line,) = logged_events(node, "settings_refused")
        assert line["revision"] == bad
        assert line["reason"].startswith(path)
        assert "Traceback" not in node.log.read_text()
        assert node.submit("m1", "more").status == 404, "nothing of it is taken"
        assert node.submit("m2", "unsafe").status == 202, "what was there before still is"
        assert saved(node)["items"] == {"allowed/attemptsCap": 5}
        good = cluster.publish(
            lane_items("safe", more=MORE), *(p for p in items if not p.startswith("lanes/"))
        )
        cluster.publish({}, "lanes/unsafe", "lanes/keyed")
        wait_until_in_force(node, good)
        assert node.submit("m3", "more").status == 202
        delivered(node, 2)


def test_a_tenant_that_went_is_turned_down_and_what_it_is_owed_goes_on(tmp_path: Path) -> None:
    partner = ScriptedEndpoint()
    with dynamic_settings_node(tmp_path) as (node, platform, cluster):
        assert node.submit("m1").status == 202
        wait_until_in_force(node, cluster.publish({"tenants/zeta": {"allowancePerS": 1.0, "share": 1.0}}))
        assert node.submit("m2").status == 400
        assert node.submit("m3", X_Tenant_Id="zeta").status == 202
        platform.update_members(platform.add_member(partner, 1))
        delivered(node, 2)
        assert not partner.calls_with("m2")
        partner.close()


@pytest.mark.parametrize("killed", [False, True], ids=["running", "killed"])
def test_endpoints_of_a_kind_that_went_still_get_what_is_owed(tmp_path: Path, killed: bool) -> None:
    partner = ScriptedEndpoint(http_response(503, "Retry-After: 4"))
    with dynamic_settings_node(tmp_path, partner) as (node, _, cluster):
        assert node.submit("m1").status == 202
        eventually(lambda: partner.calls_with("m1"))
        wait_until_in_force(node, cluster.publish({"kinds/shared": {"maxBatch": 5}}))
        if killed:
            node.kill()
        partner.script = [http_response(200)]  # only now: it is delivered by the last life
        if killed:
            node.start()
        delivered(node, 1)
        assert len(partner.calls_with("m1")) >= 2


def test_a_line_of_a_kind_that_is_yet_to_come_is_read_once_it_is_there(tmp_path: Path) -> None:
    partner = ScriptedEndpoint()
    with dynamic_settings_node(tmp_path) as (node, platform, cluster):
        eventually(lambda: platform.watchers)
        platform.update_members(platform.add_member(partner, 1, flavor="fresh"))
        eventually(lambda: logged_events(node, "list_line_waits_for_its_kind"), "a line that waits")
        assert node.submit("m1").status == 202, "no list has named a destination yet"
        kinds = {"kinds/plain": {}, "kinds/shared": {"maxBatch": 5}, "kinds/fresh": {"maxBatch": 2}}
        wait_until_in_force(node, cluster.publish(kinds))
        delivered(node, 1)
        partner.close()


def test_limits_below_what_is_held_drop_nothing(tmp_path: Path) -> None:
    partner = ScriptedEndpoint()
    with dynamic_settings_node(tmp_path) as (node, platform, cluster):
        for number in range(30):
            assert node.submit(f"m{number}").status == 202
        wait_until_in_force(
            node, cluster.publish({"allowed/mostHeld": 5, "extra/maxCalls": 1, "allowed/attemptsCap": 1})
        )
        assert not platform.notices
        platform.update_members(platform.add_member(partner, 1))
        delivered(node, 30)
        assert all(len(partner.calls_with(f"m{number}")) == 1 for number in range(30))
        assert not platform.notices
        partner.close()


def test_more_calls_at_once_are_made_once_that_is_allowed(tmp_path: Path) -> None:
    partners = [ScriptedEndpoint(None) for _ in range(16)]
    with dynamic_settings_node(tmp_path) as (node, platform, cluster):
        eventually(lambda: platform.watchers)
        platform.update_members(*(platform.add_member(partner, n) for n, partner in enumerate(partners)))
        for number in range(16):
            assert node.submit(f"m{number}", X_Consignee=f"dest={number}").status == 202
        eventually(
            lambda: sum(len(partner.requests) for partner in partners) == 12, "as many as the file says"
        )
        wait_until_in_force(node, cluster.publish({"extra/maxCalls": 60}))
        eventually(lambda: sum(len(partner.requests) for partner in partners) == 16, "all of them")
        for partner in partners:
            partner.close()


def test_a_burst_of_changes_while_serving_loses_and_doubles_nothing(tmp_path: Path) -> None:
    partners = [ScriptedEndpoint(), ScriptedEndpoint()]
    with dynamic_settings_node(tmp_path, *partners) as (node, platform, cluster):
        answers: dict[str, int] = {}

        def serve(client: int) -> None:
            for number in range(60):
                id_ = f"c{client}-{number}"
                kind = ("safe", "unsafe", "come_and_go")[number % 3]
                answers[id_] = node.submit(id_, kind).status

        clients = [threading.Thread(target=serve, args=(client,)) for client in range(3)]
        for client in clients:
            client.start()
        for number in range(80):
            if number % 2:
                cluster.publish({"allowed/mostHeld": 60 + number}, "lanes/come_and_go")
            else:
                cluster.publish(
                    lane_items("safe", "unsafe", come_and_go=MORE) | {"extra/maxCalls": 12 + number % 7}
                )
        for client in clients:
            client.join()
        last = cluster.publish({"balancers": 3})
        wait_until_in_force(node, last)
        taken = [id_ for id_, status in answers.items() if status == 202]
        assert len(answers) == 180
        assert set(answers.values()) <= {202, 404}
        assert all(answers[id_] == 202 for id_ in answers if int(id_.split("-")[1]) % 3 != 2)
        delivered(node, len(taken))
        calls = {id_: sum(len(partner.calls_with(id_)) for partner in partners) for id_ in taken}
        assert set(calls.values()) == {1}
        assert not platform.notices


def test_a_saved_document_is_in_force_from_the_start_without_the_cluster(tmp_path: Path) -> None:
    partner = ScriptedEndpoint()
    with dynamic_settings_node(tmp_path, partner) as (node, _, cluster):
        wait_until_in_force(node, cluster.publish(lane_items("safe", more=MORE)))
        node.kill()
        cluster.stop()
        node.start()
        assert node.submit("m1", "more").status == 202
        assert node.submit("m2", "keyed").status == 404
        delivered(node, 1)


def test_a_saved_document_that_no_longer_fits_the_file_is_one_line(tmp_path: Path) -> None:
    partner = ScriptedEndpoint()
    with dynamic_settings_node(tmp_path) as (node, platform, cluster):
        wait_until_in_force(node, cluster.publish({**lane_items("safe", more=MORE), "extra/maxCalls": 100}))
        assert node.submit("m1", "more").status == 202
        node.kill()
        cluster.stop()
        node.config_data["limits"]["sockets"] = 80  # too few for so many calls
        platform.add_member(
            partner, 1
        )  # before the watch is held: a change as it opens may cross the whole list
        node.start()
        (line,) = logged_events(node, "saved_settings_refused")
        assert line["error"].startswith("extra.maxCalls: ")
        assert node.submit("m2", "keyed").status == 202, "the file's settings go on"
        assert node.submit("m3", "more").status == 404
        delivered(node, 2)
        assert len(partner.calls_with("m1")) == 1, "and what is owed under the saved ones is tried"
        partner.close()


def test_a_class_that_went_and_came_back_otherwise_is_refused(tmp_path: Path) -> None:
    with dynamic_settings_node(tmp_path) as (node, _, cluster):
        wait_until_in_force(node, cluster.publish(lane_items("safe", "keyed")))
        wait_until_in_force(node, cluster.publish({}, "lanes/keyed"))
        cluster.publish({"lanes/keyed": {**LANES["keyed"], "group": "zone"}})
        (line,) = eventually(lambda: logged_events(node, "settings_refused"))
        assert line["reason"].startswith("lanes/keyed.group: ")
        assert node.submit("m1", "keyed").status == 404


def test_without_the_key_nothing_of_it_is_loaded_and_the_node_counts_as_before(tmp_path: Path) -> None:
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
    partner = ScriptedEndpoint()
    with node_and_platform(tmp_path, partner) as (node, _):
        assert node.submit("m1").status == 202
        delivered(node, 1)
        assert not [name for name in node.counters() if "settings" in name]
        assert not [path for path in node.state.iterdir() if "settings" in path.name]
        assert "settings" not in node.log.read_text()


def test_at_a_signal_the_file_is_read_and_what_is_in_force_stays(tmp_path: Path) -> None:
    with dynamic_settings_node(tmp_path) as (node, _, cluster):
        wait_until_in_force(node, cluster.publish(lane_items("safe", more=MORE)))
        node.config_data["settings"] = {**SETTINGS, "balancers": 9}
        node.reload_config()
        (line,) = logged_events(node, "configuration_taken")
        assert set(line["await_restart"]) == {"settings", "dynamic_settings"}
        assert node.submit("m1", "more").status == 202


def test_a_message_whose_class_is_not_known_at_the_start_waits_for_the_settings(tmp_path: Path) -> None:
    partner = ScriptedEndpoint()
    with dynamic_settings_node(tmp_path) as (node, platform, cluster):
        revision = cluster.publish(lane_items("safe", more=MORE))
        wait_until_in_force(node, revision)
        assert node.submit("m1", "more").status == 202
        assert node.submit("m2", "more", X_Timeout="0.500").status == 202
        node.kill()
        (node.state / "settings.json").write_text("torn")
        platform.add_member(partner, 1)
        node.config_data["known"] = platform.document()
        node.start()
        wait_until_in_force(node, revision)
        delivered(node, 1)
        assert len(partner.calls_with("m1")) == 1
        partner.close()


def test_a_message_whose_class_never_comes_is_told_at_its_end(tmp_path: Path) -> None:
    with dynamic_settings_node(tmp_path) as (node, platform, cluster):
        wait_until_in_force(node, cluster.publish(lane_items("safe", more=MORE)))
        assert node.submit("m1", "more", X_Timeout="4.000").status == 202
        node.kill()
        cluster.stop()
        (node.state / "settings.json").unlink()
        node.start()
        assert platform.notice_for("m1") is None
        notice = eventually(lambda: platform.notice_for("m1"))
        assert notice["result"] == "dead"
        assert logged_events(node, "class_gone")
