"""Scenario files: all errors are reported with their key paths, and each random draw has its own stream."""

from pathlib import Path

import pytest

from irisstack.configuration.document import DocumentError
from irisstack.lab import scenario, world
from tests.lab.support import SMALL_SCENARIO, small_scenario, small_world, trouble_toml


@pytest.mark.parametrize(
    ("extra", "replacement", "expected"),
    [
        ("", ("rate = 20.0", "rate = -1.0"), "traffic.rate"),
        ("", ("rate = 20.0", "rate = 20.0\nwaves = 3"), "traffic.waves: no such key"),
        ("", ('name = "order"', 'name = "notice"'), "expected unique names, got 'notice' twice"),
        ("", ("window_s = 6.0", ""), "a keyed class requires window_s above 0"),
        ("", ("deadline_s = 8.0", "deadline_s = 0.5"), "deadline_s (0.5) must not be below aim_s (1)"),
        ("", ("capacity = 2.0", "capacity = [3.0, 2.0]"), "expected [low, high], got [3.0, 2.0]"),
        (
            trouble_toml("silent", at_s=12.5),
            None,
            "troubles[0].at_s: expected a start before the end at 12 s, got 12.5 s",
        ),
        (trouble_toml("class_fails", at_s=1.0, message_class="memo"), None, "unknown class 'memo'"),
        (trouble_toml("slow", at_s=1.0, of_kind="bank"), None, "unknown kind 'bank'"),
        (
            trouble_toml("slow", at_s=1.0, destinations=[4]),
            None,
            "troubles[0].destinations: expected numbers up to 3",
        ),
        (trouble_toml("killed", at_s=1.0, destinations=[1]), None, "destinations: not allowed for killed"),
        (
            trouble_toml("resets", at_s=1.0, strength=1.5),
            None,
            "expected a share from 0 to 1 for resets, got 1.5",
        ),
        (trouble_toml("shut", at_s=1.0, strength=0.5), None, "strength: not allowed for shut"),
        (trouble_toml("explodes", at_s=1.0), None, "troubles[0].kind"),
    ],
)
def test_an_invalid_scenario_is_refused(
    tmp_path: Path, extra: str, replacement: tuple[str, str] | None, expected: str
) -> None:
    text = SMALL_SCENARIO.replace(*replacement, 1) if replacement else SMALL_SCENARIO
    assert replacement is None or text != SMALL_SCENARIO
    path = tmp_path / "bad.toml"
    path.write_text(text + extra)
    with pytest.raises(DocumentError) as caught:
        scenario.read(path)
    assert expected in str(caught.value)


def test_an_unknown_key_cannot_be_changed(tmp_path: Path) -> None:
    with pytest.raises(DocumentError, match="no such key"):
        small_scenario(tmp_path, "", senders__colour__shade=3)


def test_shipped_scenarios_are_valid_and_have_a_description() -> None:
    paths = sorted(scenario.SCENARIO_DIRECTORY.glob("*.toml"))
    assert len(paths) >= 7
    for path in paths:
        loaded = scenario.read(path)
        assert loaded.scenario.name == path.stem
        assert loaded.scenario.shows


def test_a_change_leaves_all_other_random_draws_unchanged(tmp_path: Path) -> None:
    before = small_world(tmp_path)
    silent = trouble_toml("silent", at_s=[2.0, 4.0], for_s=2.0, share=0.5)
    after = small_world(tmp_path, silent, senders__slots=4.0)
    assert before.messages == after.messages
    assert before.destinations == after.destinations
    assert small_world(tmp_path, seed=2).messages != before.messages


def test_capacity_follows_from_concurrency_and_work(tmp_path: Path) -> None:
    for spec in small_world(tmp_path).destinations.values():
        concurrency = sum(endpoint.concurrency for endpoint in spec.endpoints)
        work = world.mean_work_seconds(small_scenario(tmp_path)) * spec.duration_factor
        assert concurrency / work == pytest.approx(spec.capacity)
