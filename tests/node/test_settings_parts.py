"""How the parts of a node take new settings: configuration, list reader, endpoints, decider, intake."""

import json
import os
import subprocess
import sys
from collections.abc import Collection
from dataclasses import replace
from pathlib import Path
from typing import Any

import gevent
import pytest

from irisstack import interface as api
from irisstack.node.call import Call, OutgoingMessage
from irisstack.node.config import ConfigError, DynamicSettings, load
from irisstack.node.counters import Counters
from irisstack.node.decider import Attempt, Decider, NewSettings
from irisstack.node.endpoint import AttemptResult, Endpoint, Reconfigure
from irisstack.node.intake import Intake
from irisstack.node.list_reader import ListReader
from irisstack.node.live_settings import LiveSettings
from irisstack.node.results import Reached, Result
from irisstack.node.store import Store
from irisstack.settings import Reader, SettingsError, read
from tests.node.support import listening_socket, wait_until
from tests.node_support import MAX_INPUT_BYTES, SETTINGS, http_response

FILE_SETTINGS = read(Reader(SETTINGS))
MEMBERS = ["10.0.0.1:2379", "10.0.0.2:2379"]
DYNAMIC_SETTINGS = {"members": MEMBERS, "prefix": "/irisstack/settings/"}
NEW_CLASS = {"repeat": "read_like", "slo": 2.0, "hardLimit": 20.0}
KEYED_CLASS = SETTINGS["lanes"][1]


def write_config(folder: Path, **changes: Any) -> dict[str, str]:
    document = {
        "listen": "127.0.0.1:1",
        "discovery": "127.0.0.1:2",
        "limits": {"sockets": 100, "disk_mb": 3},
        "settings": SETTINGS,
        **changes,
    }
    (folder / "config.json").write_text(json.dumps(document))
    return {"RELAY_CONFIG": str(folder / "config.json"), "RELAY_STATE": str(folder)}


# ---- configuration ----


def test_dynamic_settings_are_read_with_defaults(tmp_path: Path) -> None:
    assert load(write_config(tmp_path)).dynamic_settings is None
    members = (("10.0.0.1", 2379), ("10.0.0.2", 2379))
    loaded = load(write_config(tmp_path, dynamic_settings=DYNAMIC_SETTINGS)).dynamic_settings
    assert loaded == DynamicSettings(members, "/irisstack/settings/", 11_000, SETTINGS)


@pytest.mark.parametrize(
    ("changes", "message_start"),
    [
        ({"dynamic_settings": []}, "dynamic_settings: "),
        ({"dynamic_settings": {**DYNAMIC_SETTINGS, "members": []}}, "dynamic_settings.members: "),
        ({"dynamic_settings": {**DYNAMIC_SETTINGS, "members": ["nowhere"]}}, "dynamic_settings.members[0]: "),
        (
            {"dynamic_settings": {**DYNAMIC_SETTINGS, "members": [*MEMBERS, 5]}},
            "dynamic_settings.members[2]: ",
        ),
        ({"dynamic_settings": {"members": MEMBERS}}, "dynamic_settings.prefix: "),
        ({"dynamic_settings": {**DYNAMIC_SETTINGS, "prefix": "/settings"}}, "dynamic_settings.prefix: "),
        ({"dynamic_settings": {**DYNAMIC_SETTINGS, "prefix": ""}}, "dynamic_settings.prefix: "),
        ({"dynamic_settings": {**DYNAMIC_SETTINGS, "bytes_per_s": 0}}, "dynamic_settings.bytes_per_s: "),
        ({"dynamic_settings": {**DYNAMIC_SETTINGS, "bytes_per_s": "fast"}}, "dynamic_settings.bytes_per_s: "),
        ({"dynamic_settings": DYNAMIC_SETTINGS, "watch": {"balancers": 3}}, "watch: "),
        (
            {"dynamic_settings": DYNAMIC_SETTINGS, "limits": {"sockets": 100, "disk_mb": 1}},
            "limits.disk_mb: ",
        ),
    ],
)
def test_invalid_dynamic_settings_are_reported_with_their_key(
    tmp_path: Path, changes: dict[str, Any], message_start: str
) -> None:
    with pytest.raises(ConfigError) as caught:
        load(write_config(tmp_path, **changes))
    assert str(caught.value).startswith(message_start)


@pytest.mark.parametrize(
    ("changes", "message_start"),
    [
        ({"dynamic_settings": DYNAMIC_SETTINGS, "watch": {"balancers": 3}}, "irisstack: watch: "),
        (
            {"dynamic_settings": DYNAMIC_SETTINGS, "settings": {**SETTINGS, "balancers": 0}},
            "irisstack: settings: balancers: ",
        ),
    ],
)
def test_node_with_invalid_settings_prints_one_line_and_exits_with_2(
    tmp_path: Path, changes: dict[str, Any], message_start: str
) -> None:
    node = subprocess.run(
        [sys.executable, "-m", "irisstack", "run"],
        env={**os.environ, **write_config(tmp_path, **changes)},
        capture_output=True,
        text=True,
        timeout=20,
        check=False,
    )
    assert node.returncode == 2
    assert node.stderr.startswith(message_start)
    assert node.stderr.count("\n") == 1


# ---- settings in force, and the start ----


def live_settings(max_calls_limit: int = 50) -> LiveSettings:
    return LiveSettings(SETTINGS, (), max_calls_limit)


def class_names(settings: api.Settings) -> list[str]:
    return [message_class.name for message_class in settings.classes]


def test_check_does_not_put_settings_in_force() -> None:
    settings = live_settings()
    accepted = settings.check({"lanes/more": NEW_CLASS})
    assert settings.in_force.settings == FILE_SETTINGS
    assert accepted.classes == {"more"}
    assert class_names(accepted.settings) == ["safe", "keyed", "unsafe", "more"]
    assert accepted.retired.keys() == {"lanes/safe", "lanes/keyed", "lanes/unsafe"}


def test_gossip_stays_off_without_configured_peers() -> None:
    assert not live_settings().check({"allowed/mayTell": True}).settings.may_gossip
    live_with_peers = LiveSettings(SETTINGS, (("127.0.0.1", 9),), 50)
    assert live_with_peers.check({"allowed/mayTell": True}).settings.may_gossip


def test_more_calls_than_descriptors_allow_are_refused() -> None:
    assert live_settings(max_calls_limit=20).check({"extra/maxCalls": 20}).settings.max_calls == 20
    with pytest.raises(SettingsError, match=r"^extra\.maxCalls: "):
        live_settings(max_calls_limit=20).check({"extra/maxCalls": 21})
    assert live_settings(max_calls_limit=1).check({"extra/maxCalls": 12}).settings.max_calls == 12, (
        "the value of the node's own file is always allowed"
    )


def test_any_error_in_a_check_refuses_the_document(monkeypatch: pytest.MonkeyPatch) -> None:
    def broken(*_: object) -> None:
        raise ZeroDivisionError

    monkeypatch.setattr("irisstack.node.live_settings.merge", broken)
    with pytest.raises(SettingsError, match=r"^the document: ZeroDivisionError"):
        live_settings().check({})


def test_size_of_removed_definitions_is_limited() -> None:
    settings = live_settings()
    first, second, third = (f"lanes/{letter * 40000}" for letter in "xyz")
    settings.in_force = settings.check({first: NEW_CLASS})
    settings.in_force = settings.check({second: NEW_CLASS})
    with pytest.raises(SettingsError, match=r"^removed definitions: "):
        settings.check({third: NEW_CLASS})
    assert settings.check({second: NEW_CLASS, third: NEW_CLASS}).classes == {second[6:], third[6:]}


def test_restore_keeps_definitions_of_pending_messages_and_drops_the_rest() -> None:
    settings = live_settings()
    removed = {"lanes/keyed": KEYED_CLASS, "lanes/other": NEW_CLASS, "kinds/old": {"maxBatch": 7}}
    settings.restore({"lanes/more": NEW_CLASS}, removed, {"keyed", "more"})
    assert settings.in_force.classes == {"more"}
    assert class_names(settings.in_force.settings) == ["more", "keyed"]
    assert [kind.name for kind in settings.in_force.settings.kinds] == ["plain", "shared", "old"]
    settings.restore({"lanes/more": NEW_CLASS}, removed, set())
    assert class_names(settings.in_force.settings) == ["more"]
    assert [kind.name for kind in settings.in_force.settings.kinds] == ["plain", "shared"]


@pytest.mark.parametrize("items", [{"ordinal": 5}, {"az": 3}, {"resolution": 1.0}, {"lanes/bad": {}}])
def test_restore_ignores_unusable_items_and_keeps_definitions_of_pending_messages(
    items: dict[str, Any],
) -> None:
    settings = live_settings()
    settings.restore({"lanes/more": NEW_CLASS, **items}, {"lanes/other": NEW_CLASS}, {"more", "other"})
    assert settings.in_force.classes == {"safe", "keyed", "unsafe"}
    assert class_names(settings.in_force.settings) == ["safe", "keyed", "unsafe", "more", "other"]
    assert settings.in_force.retired.keys() == {"lanes/more", "lanes/other"}


def test_file_overrides_a_contradicting_saved_definition() -> None:
    settings = live_settings()
    settings.restore(
        {}, {"lanes/keyed": {**KEYED_CLASS, "window": 99.0}, "lanes/other": NEW_CLASS}, {"keyed", "other"}
    )
    assert class_names(settings.in_force.settings) == ["safe", "keyed", "unsafe", "other"]
    assert settings.in_force.settings.classes[1].dedup_window == KEYED_CLASS["window"]


# ---- the list ----


def member(number: int, **changes: Any) -> dict[str, Any]:
    return {
        "id": f"s-{number}",
        "host_port": f"10.0.0.{number}:7070",
        "locality": "z",
        "flavor": "plain",
        "cell": 1,
        "phase": "SERVING",
        **changes,
    }


def delta(*members: dict[str, Any]) -> dict[str, Any]:
    return {"revision": 5, "complete": False, "members": list(members)}


SETTINGS_WITH_NEW_KIND = replace(
    FILE_SETTINGS, kinds=(*FILE_SETTINGS.kinds, api.DestinationKind("fresh")), zones=("z", "new")
)


def test_entries_wait_for_their_kind_and_the_newest_of_an_id_wins() -> None:
    reader = ListReader(FILE_SETTINGS, max_waiting=10)
    members = member(1, flavor="fresh"), member(2, flavor="fresh"), member(3, flavor="fresh"), member(4)
    assert len(reader.parse_update(delta(*members)).endpoints) == 1
    reader.parse_update(delta(member(1, flavor="fresh", cell=9), member(2, flavor="fresh", phase="DELETED")))
    reader.parse_update(delta(member(3)))
    assert reader.apply_settings(replace(FILE_SETTINGS, max_pending=3)) is None
    update = reader.apply_settings(SETTINGS_WITH_NEW_KIND)
    assert update is not None
    assert (update.scope, update.version) == (api.UpdateScope.DELTA, 5)
    assert [(e.address[0][-1], e.destination, e.kind) for e in update.endpoints] == [(1, 9, 2)]
    assert reader.apply_settings(SETTINGS_WITH_NEW_KIND) is None


def test_waiting_entries_are_limited_and_replaced_by_a_full_list() -> None:
    reader = ListReader(FILE_SETTINGS, max_waiting=2)
    reader.parse_update(delta(*(member(n, flavor="fresh") for n in range(1, 6))))
    reader.parse_update({"revision": 6, "complete": True, "members": [member(9, flavor="fresh")]})
    update = reader.apply_settings(SETTINGS_WITH_NEW_KIND)
    assert update is not None
    assert [endpoint.address[0][-1] for endpoint in update.endpoints] == [9]
    reader.parse_update(delta(*(member(n, flavor="later") for n in range(1, 6))))
    later = reader.apply_settings(
        replace(SETTINGS_WITH_NEW_KIND, kinds=(*SETTINGS_WITH_NEW_KIND.kinds, api.DestinationKind("later")))
    )
    assert later is not None
    assert len(later.endpoints) == 2


def test_no_entry_waits_without_dynamic_settings() -> None:
    reader = ListReader(FILE_SETTINGS)
    reader.parse_update(delta(member(1, flavor="fresh")))
    assert reader.apply_settings(SETTINGS_WITH_NEW_KIND) is None


def test_unnamed_zone_is_never_confused_with_one_named_later() -> None:
    reader = ListReader(FILE_SETTINGS)
    (unnamed,) = reader.parse_update(delta(member(1, locality="other"))).endpoints
    reader.apply_settings(SETTINGS_WITH_NEW_KIND)
    zones = {e.zone for e in reader.parse_update(delta(member(2, locality="new"), member(3))).endpoints}
    assert zones == {1, 0}
    assert unnamed.zone not in zones
    (again,) = reader.parse_update(delta(member(4, locality="other"))).endpoints
    assert again.zone == unnamed.zone


# ---- endpoints ----


def test_endpoint_uses_new_settings_from_the_next_call_on(tmp_path: Path) -> None:
    server = listening_socket()
    results: list[AttemptResult] = []
    endpoint = Endpoint(
        (bytes([127, 0, 0, 1]), 1),
        server.getsockname(),
        results.append,
        Store(tmp_path, 3_000_000, 1000.0),
        Counters(),
        connect_timeout=5.0,
        idle_timeout=60.0,
        max_idle_connections=5,
        max_calls=2,
        report_fields=("x0",),
    )
    endpoint.worker.start()
    clock = gevent.get_hub().loop.now
    capacity = endpoint.mailbox.maxsize
    assert capacity is not None

    def call(number: int) -> Result:
        deadline = clock() + 1e9
        endpoint.mailbox.put(
            Call([OutgoingMessage(number, 0, f"m{number}", "", b"", deadline, deadline)], 0.0)
        )
        wait_until(lambda: len(results) == number, "the result of the attempt")
        result: Result = results[-1].result
        return result

    def serve() -> None:
        while True:
            connection, _ = server.accept()
            gevent.spawn(answer, connection)

    def answer(connection: Any) -> None:
        while request := connection.recv(65536).decode():
            id_ = request.partition("X-Request-ID: ")[2].partition("\r\n")[0]
            connection.sendall(http_response(200, "X-Server-Load: x0=0.5,x1=7", body=id_))

    accepting = gevent.spawn(serve)
    assert call(1).report == (0.5,)
    endpoint.mailbox.put(Reconfigure(5.0, 60.0, 5, 20, ("x1", "x0")))
    second = call(2)
    assert (second.report, second.report_fields) == ((7.0, 0.5), ("x1", "x0")), "on the kept-alive connection"
    assert len(endpoint._idle) == 1
    assert endpoint.mailbox.maxsize is not None
    assert endpoint.mailbox.maxsize > capacity
    endpoint.mailbox.put(Reconfigure(5.0, 60.0, 0, 2, ()))
    wait_until(lambda: not endpoint._idle, "an idle connection to be closed")
    assert endpoint.mailbox.maxsize > capacity, "results of calls in flight may still arrive"
    endpoint.worker.kill()
    accepting.kill()
    server.close()


def make_decider(folder: Path, applied: list[NewSettings]) -> Decider:
    def record_settings(new: NewSettings) -> None:
        applied.append(new)

    return Decider(
        FILE_SETTINGS,
        1,
        Store(folder, 3_000_000, 1000.0),
        Counters(),
        send_command=lambda *_: None,
        request_endpoints=lambda _: None,
        post_notice=lambda _: None,
        mailbox_capacity=10,
        apply_settings=record_settings,
    )


def record_turns(decider: Decider, monkeypatch: pytest.MonkeyPatch) -> list[list[api.Event]]:
    """Record the events of each turn in place of making decisions."""
    turns: list[list[api.Event]] = []

    def turn(now: float, events: Collection[api.Event]) -> list[api.Action]:
        turns.append(list(events))
        return []

    monkeypatch.setattr(decider._sender, "turn", turn)
    return turns


def new_settings(revision: int, settings: api.Settings) -> NewSettings:
    return NewSettings(revision, settings, frozenset(), frozenset())


def test_report_with_outdated_field_names_is_dropped(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    decider = make_decider(tmp_path, [])
    turns = record_turns(decider, monkeypatch)
    address = (bytes([10, 0, 0, 1]), 7070)
    endpoint = api.Endpoint(address, api.EndpointState.READY, 0, 1, 0, 1.0, None)

    def attempt_result(number: int, fields: tuple[str, ...]) -> AttemptResult:
        decider._in_flight[number] = Attempt(endpoint, 0.0)
        result = Result(api.Outcome.OK, Reached.ANSWERED, report=(0.5, 7.0), report_fields=fields)
        return AttemptResult(number, 0, address, result)

    names = FILE_SETTINGS.report_fields
    decider._turn(
        [attempt_result(1, names), new_settings(2, replace(FILE_SETTINGS, report_fields=("x1", "x0")))]
    )
    decider._turn([attempt_result(2, names), attempt_result(3, ("x1", "x0"))])
    reports = {e.message: e.report for turn in turns for e in turn if isinstance(e, api.AttemptEnded)}
    assert reports == {1: (), 2: (), 3: (0.5, 7.0)}


def test_turn_uses_only_the_newest_settings(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    applied: list[NewSettings] = []
    decider = make_decider(tmp_path, applied)
    turns = record_turns(decider, monkeypatch)
    update = api.EndpointsUpdated(api.UpdateScope.DELTA, 3, ())
    first, second = (
        new_settings(1, replace(FILE_SETTINGS, max_pending=1)),
        new_settings(2, replace(FILE_SETTINGS, max_pending=2)),
    )
    decider._turn([update, first, second])
    assert turns == [[api.SettingsChanged(second.settings), update]]
    assert applied == [second]


def test_intake_maps_offered_classes_and_tenants_to_their_positions() -> None:
    intake = Intake(("127.0.0.1", 0), FILE_SETTINGS, lambda _: None, Counters(), 10, MAX_INPUT_BYTES)
    settings = replace(
        FILE_SETTINGS,
        advises_retry_after=False,
        tenants=(*FILE_SETTINGS.tenants, api.Tenant("zeta", 1.0, 1.0)),
    )
    intake.update_settings(settings, {"unsafe"}, {"zeta"})
    assert intake.parser._classes == {"unsafe": 2}
    assert intake.parser._tenants == {"zeta": 1}
    assert intake.retry_after is None
