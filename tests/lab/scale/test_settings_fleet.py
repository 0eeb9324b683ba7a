"""A small fleet that follows the settings in virtual time: what is in force, what it costs, how it grows.

All is counted in virtual time, so that the figures are the same on every machine.
"""

from dataclasses import replace
from functools import cache, partial

import pytest

from irisstack.dynamic_settings.budget import BURST_S, READ_CHUNK_BYTES
from irisstack.dynamic_settings.decisions import CHECK_INTERVAL_MAX_S, SettingsFollower
from irisstack.dynamic_settings.items import StreamItems
from irisstack.dynamic_settings.staleness import STALE_AFTER_S
from irisstack.lab.scale import settings_plays as plays
from irisstack.lab.scale.settings_fleet import KIB, SettingsFleet
from irisstack.lab.scale.settings_network import ZONES
from irisstack.lab.scale.settings_node import BYTES_PER_S
from irisstack.lab.scale.settings_plays import Play, PlayFigures

NODES = 16
APART_S = 60.0
WITHIN_S = 18.0
"""The operators' limit for a change to be in force everywhere."""
WINDOW_S = 10
CHECKS_EVERY_S = 3.5
"""The mean time between two checks of a node."""


APART = partial(plays.regions_apart, apart_s=APART_S)
APART_COMPACTED = partial(plays.regions_apart_compacted, apart_s=APART_S)


def shortened(play: Play) -> Play:
    """A play of the measurements, made shorter: each is to take about a second."""
    match play.name:
        case "steady":
            return replace(play, seconds=120)
        case "regions-apart":
            return replace(play, seconds=160, schedule=APART)
        case "regions-apart-compacted" | "regions-apart-compacted-large":
            return replace(play, seconds=160, schedule=APART_COMPACTED)
        case "ordinary-day":
            return replace(play, seconds=300)
    return play


PLAYS = {play.name: shortened(play) for play in plays.PLAYS}


@cache
def played(name: str, nodes: int = NODES) -> tuple[SettingsFleet, PlayFigures]:
    return plays.run(PLAYS[name], nodes)


def figures(name: str, nodes: int = NODES) -> PlayFigures:
    return played(name, nodes)[1]


@pytest.mark.parametrize("name", list(PLAYS))
def test_nothing_is_put_in_force_half_or_backward(name: str) -> None:
    assert figures(name).faults == ()


@pytest.mark.parametrize("name", [name for name in PLAYS if "compact" not in name])
def test_each_change_is_in_force_at_the_last_node_that_can_be_reached(name: str) -> None:
    found = figures(name)
    assert found.changes > 0
    assert found.never == 0
    assert found.last_s <= WITHIN_S


@pytest.mark.parametrize("name", list(PLAYS))
def test_a_node_keeps_to_its_bytes(name: str) -> None:
    """The budget's own bound: what a second brings, a burst and a piece."""
    most = (WINDOW_S + BURST_S) * BYTES_PER_S + READ_CHUNK_BYTES
    assert figures(name).node_worst_10_s <= most / WINDOW_S


def test_a_document_that_is_half_is_found(monkeypatch: pytest.MonkeyPatch) -> None:
    """The comparison itself: decisions that lose an item do not pass."""
    whole = StreamItems.values
    monkeypatch.setattr(StreamItems, "values", lambda items: dict(list(whole(items).items())[1:]))
    assert plays.run(PLAYS["bad-change"], 2)[1].faults


def test_restarts_and_failures_leave_no_node_behind() -> None:
    found = figures("ordinary-day")
    assert found.starts == NODES
    assert found.catching_up == 0
    assert found.caught_up_s <= WITHIN_S


def test_without_the_mechanism_no_node_has_a_change(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(SettingsFollower, "step", lambda *_: [])
    play = PLAYS["member-process-dies"]
    _, found = plays.run(play, NODES)
    assert found.changes == figures(play.name).changes
    assert found.never == found.changes


def test_the_same_seed_plays_the_same() -> None:
    play = PLAYS["zone-lost"]
    assert plays.run(play, NODES)[1] == figures(play.name)


def test_watches_spread_over_the_members_and_stay_there() -> None:
    fleet, found = played("steady")
    assert sum(member.watches for member in fleet.members) == NODES
    assert max(member.watches for member in fleet.members) <= NODES // 2
    assert found.moved_watches == 0
    assert found.stale_nodes == 0


def test_load_on_members_grows_with_the_nodes_and_no_faster() -> None:
    few, many = figures("steady"), figures("steady", 4 * NODES)
    assert many.members.mean_requests == pytest.approx(4 * few.members.mean_requests, rel=0.5)
    assert many.members.peak_connects <= 8 * few.members.peak_connects
    assert many.node_mean == pytest.approx(few.node_mean, rel=0.1)
    assert many.last_s == pytest.approx(few.last_s, rel=0.5)


def test_checks_are_all_that_a_quiet_fleet_asks() -> None:
    fleet, _ = played("steady")
    asked = sum(member.traffic.requests.total for member in fleet.members)
    checks = NODES * fleet.seconds / CHECKS_EVERY_S
    assert 0.8 * checks <= asked <= 1.2 * checks + 4 * NODES


@pytest.mark.parametrize(
    "name", ["member-process-dies", "member-machine-lost", "control-down", "control-silent"]
)
def test_members_that_come_back_meet_no_wave(name: str) -> None:
    """At most as many connects in one second as if each node made one in two seconds, at the one member."""
    assert figures(name).members.peak_connects <= NODES


def test_the_part_without_a_quorum_says_that_it_is_stale_and_then_that_it_is_not() -> None:
    fleet, found = played("regions-apart")
    assert found.stale_nodes == len(fleet.in_region(1))
    assert found.last_stale_s is not None
    assert found.last_stale_s <= plays.TROUBLE_AT + STALE_AFTER_S + 0.1
    assert found.last_fresh_s is not None
    joined_at = plays.TROUBLE_AT + APART_S
    assert joined_at < found.last_fresh_s <= joined_at + CHECK_INTERVAL_MAX_S + 6.0
    assert all(not node.record.stale_at for node in fleet.in_region(0))


def test_all_nodes_say_that_they_are_stale_while_all_members_are_down() -> None:
    found = figures("control-down")
    assert found.stale_nodes == NODES
    assert found.last_fresh_s is not None
    assert found.last_fresh_s <= plays.TROUBLE_AT + 60.0 + WITHIN_S


def test_nodes_that_lost_power_catch_up() -> None:
    for name, nodes in (("rack-lost", NODES // ZONES), ("zone-lost", NODES // ZONES)):
        found = figures(name)
        assert found.starts == nodes
        assert found.catching_up == 0
        assert found.caught_up_s <= WITHIN_S


def test_a_bad_change_is_refused_everywhere_and_its_mending_is_taken() -> None:
    fleet, found = played("bad-change")
    assert found.refused == 2 * NODES  # the bad one, and the one after it that leaves it in place
    assert found.never == 0
    mended = fleet.changes[-1].revision
    assert all(node.in_force == mended for node in fleet.nodes)


@pytest.mark.parametrize(
    "name", ["missed-compaction", "regions-apart-compacted", "regions-apart-compacted-large"]
)
def test_who_missed_the_compaction_takes_the_whole_document(name: str) -> None:
    found = figures(name)
    assert found.never == 0
    assert found.catching_up == 0
    assert max(found.last_s, found.caught_up_s) <= WITHIN_S


@pytest.mark.parametrize("kib", [1, 8, 32])
def test_a_whole_document_comes_as_fast_as_the_bytes_allow(kib: int) -> None:
    item_bytes = min(KIB, kib * KIB)
    play = Play("missed", "", 150, plays.missed_compaction, kib * KIB, item_bytes)
    _, found = plays.run(play, 8)
    values_in_base64 = kib * KIB * 4 / 3
    heads_and_requests = 4 * KIB + 200 * kib * KIB / item_bytes
    assert found.caught_up_s <= (values_in_base64 + heads_and_requests) / BYTES_PER_S + 2.0
