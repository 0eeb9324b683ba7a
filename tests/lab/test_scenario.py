"""Scenario files: bad ones are refused with all that is wrong, and one change redraws nothing else."""

from pathlib import Path

import pytest

from irisstack.configuration.document import DocumentError
from irisstack.lab import scenario, world
from tests.lab.support import SMALL_SCENARIO, small_scenario, small_world, trouble_toml


@pytest.mark.parametrize(
    ("extra", "changed", "due"),
    [
        ("", ("rate = 20.0", "rate = -1.0"), "traffic.rate"),
        ("", ("rate = 20.0", "rate = 20.0\nwaves = 3"), "traffic.waves: no such key"),
        ("", ('name = "order"', 'name = "notice"'), "the name 'notice' stands twice"),
        ("", ("window_s = 6.0", ""), "a keyed class needs window_s"),
        ("", ("deadline_s = 8.0", "deadline_s = 0.5"), "deadline_s (0.5) is below aim_s (1)"),
        ("", ("capacity = 2.0", "capacity = [3.0, 2.0]"), "the low end comes first"),
        (trouble_toml("silent", at_s=12.5), None, "begins at 12.5 s, after the end at 12 s"),
        (trouble_toml("class_fails", at_s=1.0, message_class="memo"), None, "nobody sends a class 'memo'"),
        (trouble_toml("slow", at_s=1.0, of_kind="bank"), None, "there is no kind 'bank'"),
        (trouble_toml("slow", at_s=1.0, destinations=[4]), None, "troubles[0].destinations: there are 3"),
        (trouble_toml("killed", at_s=1.0, destinations=[1]), None, "killed strikes no destination"),
        (
            trouble_toml("resets", at_s=1.0, strength=1.5),
            None,
            "for resets a part from 0 to 1 is due, not 1.5",
        ),
        (trouble_toml("shut", at_s=1.0, strength=0.5), None, "shut has none"),
        (trouble_toml("explodes", at_s=1.0), None, "troubles[0].kind"),
    ],
)
def test_a_bad_scenario_is_refused(
    tmp_path: Path, extra: str, changed: tuple[str, str] | None, due: str
) -> None:
    text = SMALL_SCENARIO.replace(*changed, 1) if changed else SMALL_SCENARIO
    assert changed is None or text != SMALL_SCENARIO
    path = tmp_path / "bad.toml"
    path.write_text(text + extra)
    with pytest.raises(DocumentError) as caught:
        scenario.read(path)
    assert due in str(caught.value)


def test_a_key_that_is_not_there_cannot_be_changed(tmp_path: Path) -> None:
    with pytest.raises(DocumentError, match="no such key"):
        small_scenario(tmp_path, "", senders__colour__shade=3)


def test_all_shipped_scenarios_are_good_and_say_what_they_show() -> None:
    paths = sorted(scenario.SCENARIO_DIRECTORY.glob("*.toml"))
    assert len(paths) >= 7
    for path in paths:
        read = scenario.read(path)
        assert read.scenario.name == path.stem
        assert read.scenario.shows


def test_one_change_leaves_every_other_draw_as_it_was(tmp_path: Path) -> None:
    before = small_world(tmp_path)
    silent = trouble_toml("silent", at_s=[2.0, 4.0], for_s=2.0, share=0.5)
    after = small_world(tmp_path, silent, senders__slots=4.0)
    assert before.messages == after.messages
    assert before.destinations == after.destinations
    assert small_world(tmp_path, seed=2).messages != before.messages


def test_drawn_capacity_is_what_work_and_servers_give(tmp_path: Path) -> None:
    for spec in small_world(tmp_path).destinations.values():
        at_once = sum(endpoint.concurrency for endpoint in spec.endpoints)
        work = world.mean_work_seconds(small_scenario(tmp_path)) * spec.duration_factor
        assert at_once / work == pytest.approx(spec.capacity)
