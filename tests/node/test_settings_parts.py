"""What each part of the node makes of other settings: configuration, list, endpoints, reports, the start."""

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
from irisstack.node.config import ConfigError, DynamicSettings, load
from irisstack.node.counters import Counters
from irisstack.node.decider import Decider, NewSettings
from irisstack.node.endpoint import AttemptResult, Call, Endpoint, OutgoingMessage, Reconfigure
from irisstack.node.intake import Intake
from irisstack.node.list_reader import ListReader
from irisstack.node.live_settings import LiveSettings
from irisstack.node.results import Reached, Result
from irisstack.node.store import Store
from irisstack.settings import Reader, SettingsError, read
from tests.node.support import listening_socket, wait_until
from tests.node_support import SETTINGS, http_response

OWN = read(Reader(SETTINGS))
MEMBERS = ["10.0.0.1:2379", "10.0.0.2:2379"]
KEY = {"members": MEMBERS, "prefix": "/irisstack/settings/"}
MORE = {"repeat": "read_like", "slo": 2.0, "hardLimit": 20.0}
KEYED = SETTINGS["lanes"][1]


def environment(folder: Path, **changes: Any) -> dict[str, str]:
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


def test_the_key_is_read_with_its_defaults(tmp_path: Path) -> None:
    assert load(environment(tmp_path)).dynamic_settings is None
    members = (("10.0.0.1", 2379), ("10.0.0.2", 2379))
    found = load(environment(tmp_path, dynamic_settings=KEY)).dynamic_settings
    assert found == DynamicSettings(members, "/irisstack/settings/", 11_000, SETTINGS)


@pytest.mark.parametrize(
    ("changes", "start"),
    [
        ({"dynamic_settings": []}, "dynamic_settings: "),
        ({"dynamic_settings": {**KEY, "members": []}}, "dynamic_settings.members: "),
        ({"dynamic_settings": {**KEY, "members": ["nowhere"]}}, "dynamic_settings.members[0]: "),
        ({"dynamic_settings": {**KEY, "members": [*MEMBERS, 5]}}, "dynamic_settings.members[2]: "),
        ({"dynamic_settings": {"members": MEMBERS}}, "dynamic_settings.prefix: "),
        ({"dynamic_settings": {**KEY, "prefix": "/settings"}}, "dynamic_settings.prefix: "),
        ({"dynamic_settings": {**KEY, "prefix": ""}}, "dynamic_settings.prefix: "),
        ({"dynamic_settings": {**KEY, "bytes_per_s": 0}}, "dynamic_settings.bytes_per_s: "),
        ({"dynamic_settings": {**KEY, "bytes_per_s": "fast"}}, "dynamic_settings.bytes_per_s: "),
        ({"dynamic_settings": KEY, "watch": {"balancers": 3}}, "watch: "),
        ({"dynamic_settings": KEY, "limits": {"sockets": 100, "disk_mb": 1}}, "limits.disk_mb: "),
    ],
)
def test_a_fault_of_the_key_is_named(tmp_path: Path, changes: dict[str, Any], start: str) -> None:
    with pytest.raises(ConfigError) as caught:
        load(environment(tmp_path, **changes))
    assert str(caught.value).startswith(start)


@pytest.mark.parametrize(
    ("changes", "start"),
    [
        ({"dynamic_settings": KEY, "watch": {"balancers": 3}}, "irisstack: watch: "),
        (
            {"dynamic_settings": KEY, "settings": {**SETTINGS, "balancers": 0}},
            "irisstack: settings: balancers: ",
        ),
    ],
)
def test_a_node_that_cannot_follow_says_so_in_one_line_and_ends_with_2(
    tmp_path: Path, changes: dict[str, Any], start: str
) -> None:
    node = subprocess.run(
        [sys.executable, "-m", "irisstack", "run"],
        env={**os.environ, **environment(tmp_path, **changes)},
        capture_output=True,
        text=True,
        timeout=20,
        check=False,
    )
    assert node.returncode == 2
    assert node.stderr.startswith(start)
    assert node.stderr.count("\n") == 1


# ---- what is in force, and the start ----


def live(most_calls: int = 50) -> LiveSettings:
    return LiveSettings(SETTINGS, (), most_calls)


def class_names(settings: api.Settings) -> list[str]:
    return [kind.name for kind in settings.classes]


def test_a_check_changes_nothing_by_itself() -> None:
    settings = live()
    accepted = settings.check({"lanes/more": MORE})
    assert settings.in_force.settings == OWN
    assert accepted.classes == {"more"}
    assert class_names(accepted.settings) == ["safe", "keyed", "unsafe", "more"]
    assert accepted.retired.keys() == {"lanes/safe", "lanes/keyed", "lanes/unsafe"}


def test_notes_stay_off_where_the_other_nodes_places_are_not_known() -> None:
    assert not live().check({"allowed/mayTell": True}).settings.may_gossip
    with_peers = LiveSettings(SETTINGS, (("127.0.0.1", 9),), 50)
    assert with_peers.check({"allowed/mayTell": True}).settings.may_gossip


def test_more_calls_than_the_descriptors_carry_are_refused() -> None:
    assert live(most_calls=20).check({"extra/maxCalls": 20}).settings.max_calls == 20
    with pytest.raises(SettingsError, match=r"^extra\.maxCalls: "):
        live(most_calls=20).check({"extra/maxCalls": 21})
    assert live(most_calls=1).check({"extra/maxCalls": 12}).settings.max_calls == 12, "as the file has it"


def test_whatever_goes_wrong_in_a_check_refuses_the_document(monkeypatch: pytest.MonkeyPatch) -> None:
    def broken(*_: object) -> None:
        raise ZeroDivisionError

    monkeypatch.setattr("irisstack.node.live_settings.merge", broken)
    with pytest.raises(SettingsError, match=r"^the document: ZeroDivisionError"):
        live().check({})


def test_what_went_is_bounded_in_size() -> None:
    settings = live()
    first, second, third = (f"lanes/{letter * 40000}" for letter in "xyz")
    settings.in_force = settings.check({first: MORE})
    settings.in_force = settings.check({second: MORE})
    with pytest.raises(SettingsError, match=r"^removed definitions: "):
        settings.check({third: MORE})
    assert settings.check({second: MORE, third: MORE}).classes == {second[6:], third[6:]}


def test_at_the_start_what_is_owed_under_is_kept_and_the_rest_dropped() -> None:
    settings = live()
    gone = {"lanes/keyed": KEYED, "lanes/other": MORE, "kinds/old": {"maxBatch": 7}}
    settings.restore({"lanes/more": MORE}, gone, {"keyed", "more"})
    assert settings.in_force.classes == {"more"}
    assert class_names(settings.in_force.settings) == ["more", "keyed"]
    assert [kind.name for kind in settings.in_force.settings.kinds] == ["plain", "shared", "old"]
    settings.restore({"lanes/more": MORE}, gone, set())
    assert class_names(settings.in_force.settings) == ["more"]
    assert [kind.name for kind in settings.in_force.settings.kinds] == ["plain", "shared"]


@pytest.mark.parametrize("items", [{"ordinal": 5}, {"az": 3}, {"resolution": 1.0}, {"lanes/bad": {}}])
def test_saved_items_that_no_longer_fit_are_left_and_what_is_owed_under_is_kept(
    items: dict[str, Any],
) -> None:
    settings = live()
    settings.restore({"lanes/more": MORE, **items}, {"lanes/other": MORE}, {"more", "other"})
    assert settings.in_force.classes == {"safe", "keyed", "unsafe"}
    assert class_names(settings.in_force.settings) == ["safe", "keyed", "unsafe", "more", "other"]
    assert settings.in_force.retired.keys() == {"lanes/more", "lanes/other"}


def test_a_saved_definition_that_the_file_contradicts_gives_way() -> None:
    settings = live()
    settings.restore({}, {"lanes/keyed": {**KEYED, "window": 99.0}, "lanes/other": MORE}, {"keyed", "other"})
    assert class_names(settings.in_force.settings) == ["safe", "keyed", "unsafe", "other"]
    assert settings.in_force.settings.classes[1].dedup_window == KEYED["window"]


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


FRESH = replace(OWN, kinds=(*OWN.kinds, api.DestinationKind("fresh")), zones=("z", "new"))


def test_lines_wait_for_their_kind_and_the_newest_of_an_id_counts() -> None:
    reader = ListReader(OWN, max_waiting=10)
    lines = member(1, flavor="fresh"), member(2, flavor="fresh"), member(3, flavor="fresh"), member(4)
    assert len(reader.parse_update(delta(*lines)).endpoints) == 1
    reader.parse_update(delta(member(1, flavor="fresh", cell=9), member(2, flavor="fresh", phase="DELETED")))
    reader.parse_update(delta(member(3)))
    assert reader.apply_settings(replace(OWN, max_pending=3)) is None
    update = reader.apply_settings(FRESH)
    assert update is not None
    assert (update.scope, update.version) == (api.UpdateScope.DELTA, 5)
    assert [(e.address[0][-1], e.destination, e.kind) for e in update.endpoints] == [(1, 9, 2)]
    assert reader.apply_settings(FRESH) is None


def test_lines_that_wait_are_bounded_and_a_whole_list_replaces_them() -> None:
    reader = ListReader(OWN, max_waiting=2)
    reader.parse_update(delta(*(member(n, flavor="fresh") for n in range(1, 6))))
    reader.parse_update({"revision": 6, "complete": True, "members": [member(9, flavor="fresh")]})
    update = reader.apply_settings(FRESH)
    assert update is not None
    assert [endpoint.address[0][-1] for endpoint in update.endpoints] == [9]
    reader.parse_update(delta(*(member(n, flavor="later") for n in range(1, 6))))
    later = reader.apply_settings(replace(FRESH, kinds=(*FRESH.kinds, api.DestinationKind("later"))))
    assert later is not None
    assert len(later.endpoints) == 2


def test_without_settings_that_change_no_line_waits() -> None:
    reader = ListReader(OWN)
    reader.parse_update(delta(member(1, flavor="fresh")))
    assert reader.apply_settings(FRESH) is None


def test_a_zone_that_the_settings_do_not_name_never_passes_for_one_that_they_name_later() -> None:
    reader = ListReader(OWN)
    (unnamed,) = reader.parse_update(delta(member(1, locality="other"))).endpoints
    reader.apply_settings(FRESH)
    zones = {e.zone for e in reader.parse_update(delta(member(2, locality="new"), member(3))).endpoints}
    assert zones == {1, 0}
    assert unnamed.zone not in zones
    (again,) = reader.parse_update(delta(member(4, locality="other"))).endpoints
    assert again.zone == unnamed.zone


# ---- endpoints ----


def test_an_endpoint_goes_by_other_terms_from_the_next_call_on(tmp_path: Path) -> None:
    server = listening_socket()
    ended: list[AttemptResult] = []
    part = Endpoint(
        (bytes([127, 0, 0, 1]), 1),
        server.getsockname(),
        ended.append,
        Store(tmp_path, 3_000_000, 1000.0),
        Counters(),
        connect_timeout=5.0,
        idle_timeout=60.0,
        max_idle_connections=5,
        max_calls=2,
        report_fields=("x0",),
    )
    part.worker.start()
    clock = gevent.get_hub().loop.now
    room = part.mailbox.maxsize
    assert room is not None

    def call(number: int) -> Result:
        until_then = clock() + 1e9
        part.mailbox.put(
            Call([OutgoingMessage(number, 0, f"m{number}", "", b"", until_then, until_then)], 0.0)
        )
        wait_until(lambda: len(ended) == number, "an end")
        result: Result = ended[-1].result
        return result

    def serve() -> None:
        while True:
            connection, _ = server.accept()
            gevent.spawn(answer, connection)

    def answer(connection: Any) -> None:
        while connection.recv(65536):
            connection.sendall(http_response(200, "X-Server-Load: x0=0.5,x1=7"))

    server_part = gevent.spawn(serve)
    assert call(1).report == (0.5,)
    part.mailbox.put(Reconfigure(5.0, 60.0, 5, 20, ("x1", "x0")))
    second = call(2)
    assert (second.report, second.report_fields) == ((7.0, 0.5), ("x1", "x0")), (
        "on the connection that is kept"
    )
    assert len(part._idle) == 1
    assert part.mailbox.maxsize is not None
    assert part.mailbox.maxsize > room
    part.mailbox.put(Reconfigure(5.0, 60.0, 0, 2, ()))
    wait_until(lambda: not part._idle, "an idle connection to be closed")
    assert part.mailbox.maxsize > room, "what was under way may still come"
    part.worker.kill()
    server_part.kill()
    server.close()


def decider(folder: Path, taken: list[NewSettings]) -> Decider:
    def settings_taken(new: NewSettings) -> None:
        taken.append(new)

    return Decider(
        OWN,
        1,
        Store(folder, 3_000_000, 1000.0),
        Counters(),
        send_command=lambda *_: None,
        request_endpoints=lambda _: None,
        post_notice=lambda _: None,
        mailbox_capacity=10,
        apply_settings=settings_taken,
    )


def turns_of(part: Decider, monkeypatch: pytest.MonkeyPatch) -> list[list[api.Event]]:
    """The events of each turn, about which nothing is decided."""
    turns: list[list[api.Event]] = []

    def turn(now: float, events: Collection[api.Event]) -> list[api.Action]:
        turns.append(list(events))
        return []

    monkeypatch.setattr(part._sender, "turn", turn)
    return turns


def new_settings(revision: int, settings: api.Settings) -> NewSettings:
    return NewSettings(revision, settings, frozenset(), frozenset())


def test_a_report_read_by_names_no_longer_in_force_is_left_out(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    part = decider(tmp_path, [])
    turns = turns_of(part, monkeypatch)
    address = (bytes([10, 0, 0, 1]), 7070)

    def ended(number: int, fields: tuple[str, ...]) -> AttemptResult:
        part._in_flight[number] = address, 0.0
        result = Result(api.Outcome.OK, Reached.ANSWERED, report=(0.5, 7.0), report_fields=fields)
        return AttemptResult(number, 0, address, result)

    names = OWN.report_fields
    part._turn([ended(1, names), new_settings(2, replace(OWN, report_fields=("x1", "x0")))])
    part._turn([ended(2, names), ended(3, ("x1", "x0"))])
    reports = {e.message: e.report for turn in turns for e in turn if isinstance(e, api.AttemptEnded)}
    assert reports == {1: (), 2: (), 3: (0.5, 7.0)}


def test_a_turn_is_under_one_set_of_settings_the_newest_that_came(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    taken: list[NewSettings] = []
    part = decider(tmp_path, taken)
    turns = turns_of(part, monkeypatch)
    update = api.EndpointsUpdated(api.UpdateScope.DELTA, 3, ())
    first, second = new_settings(1, replace(OWN, max_pending=1)), new_settings(2, replace(OWN, max_pending=2))
    part._turn([update, first, second])
    assert turns == [[api.SettingsChanged(second.settings), update]]
    assert taken == [second]


def test_the_intake_takes_what_is_offered_on_at_its_position() -> None:
    part = Intake(("127.0.0.1", 0), OWN, lambda _: None, Counters(), 10)
    advice = replace(OWN, advises_retry_after=False, tenants=(*OWN.tenants, api.Tenant("zeta", 1.0, 1.0)))
    part.update_settings(advice, {"unsafe"}, {"zeta"})
    assert part.classes == {"unsafe": 2}
    assert part._tenants == {"zeta": 1}
    assert part.retry_after is None
