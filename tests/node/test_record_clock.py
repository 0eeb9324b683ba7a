"""The clock of the records: one for all lives of a boot, which no step of the wall clock moves."""

import time
from pathlib import Path

import pytest

from irisstack.node import record_clock, records
from irisstack.node.record_clock import Anchor, resume_clock
from irisstack.node.store import Store


@pytest.fixture
def wall_clock(monkeypatch: pytest.MonkeyPatch) -> list[float]:
    """What the wall clock says; a test steps it by writing to the first place."""
    reading = [1_000_000.0]
    monkeypatch.setattr(record_clock, "wall_clock", lambda: reading[0])
    return reading


def test_a_life_goes_on_with_the_clock_of_the_one_before(tmp_path: Path, wall_clock: list[float]) -> None:
    first = Store(tmp_path, 3_000_000)
    wall_clock[0] -= 3600.0
    second = Store(tmp_path, 3_000_000)
    assert second.clock.anchor == first.clock.anchor
    assert second.clock.now() == pytest.approx(1_000_000.0, abs=5.0)


def test_the_anchor_outlasts_every_segment(tmp_path: Path, wall_clock: list[float]) -> None:
    first = Store(tmp_path, 1_000_000)
    for _ in range(60):
        first.write([records.encode({"t": "filler"}, bytes(30_000))], first.clock.now())
    wall_clock[0] += 3600.0
    assert Store(tmp_path, 1_000_000).clock.anchor == first.clock.anchor


def test_a_clock_begins_anew_after_a_boot(
    tmp_path: Path, wall_clock: list[float], monkeypatch: pytest.MonkeyPatch
) -> None:
    first = Store(tmp_path, 3_000_000)
    monkeypatch.setattr(record_clock, "_boot_id", lambda: "the next boot")
    wall_clock[0] += 60.0
    second = Store(tmp_path, 3_000_000)
    assert second.clock.anchor != first.clock.anchor
    assert second.clock.now() == pytest.approx(1_000_060.0, abs=5.0)
    monkeypatch.undo()


def test_a_boot_that_nobody_names_shows_by_a_monotonic_clock_that_stands_before_the_anchor() -> None:
    later = time.monotonic() + 1000.0
    assert resume_clock(Anchor("", 5.0, 0.0)).anchor.boot
    boot = resume_clock(None).anchor.boot
    assert resume_clock(Anchor(boot, 5.0, 0.0)).anchor.offset == 5.0
    assert resume_clock(Anchor(boot, 5.0, later)).anchor.offset != 5.0


def test_a_folder_of_an_earlier_release_is_read_by_the_wall_clock(
    tmp_path: Path, wall_clock: list[float]
) -> None:
    """Its segments hold Unix time and no anchor."""
    old = Store(tmp_path, 3_000_000)
    path = next(tmp_path.glob("*.log"))
    path.write_bytes(b"")
    old.close()
    life = Store(tmp_path, 3_000_000)
    assert life.clock.now() == pytest.approx(1_000_000.0, abs=5.0)


def test_a_tail_of_zeros_is_torn(tmp_path: Path) -> None:
    store = Store(tmp_path, 3_000_000)
    path = next(tmp_path.glob("*.log"))
    path.write_bytes(path.read_bytes() + bytes(4096))
    assert Store(tmp_path, 3_000_000).clock.anchor == store.clock.anchor
