"""The record clock: shared by all processes of one boot, and unaffected by steps of the wall clock."""

import time
from pathlib import Path

import pytest

from irisstack.node import record_clock, records
from irisstack.node.record_clock import Anchor, resume_clock
from irisstack.node.store import Record, Store


@pytest.fixture
def wall_clock(monkeypatch: pytest.MonkeyPatch) -> list[float]:
    """A fake wall clock, in seconds; a test steps it by changing the only item."""
    reading = [1_000_000.0]
    monkeypatch.setattr(record_clock, "wall_clock", lambda: reading[0])
    return reading


def test_a_new_process_resumes_the_record_clock(tmp_path: Path, wall_clock: list[float]) -> None:
    first = Store(tmp_path, 3_000_000)
    wall_clock[0] -= 3600.0
    second = Store(tmp_path, 3_000_000)
    assert second.clock.anchor == first.clock.anchor
    assert second.clock.now() == pytest.approx(1_000_000.0, abs=5.0)


def test_the_anchor_survives_the_removal_of_segments(tmp_path: Path, wall_clock: list[float]) -> None:
    first = Store(tmp_path, 1_000_000)
    for _ in range(60):
        first.write([Record(records.encode({"t": "filler"}, bytes(30_000)))], first.clock.now())
    wall_clock[0] += 3600.0
    assert Store(tmp_path, 1_000_000).clock.anchor == first.clock.anchor


def test_a_boot_starts_a_new_record_clock(
    tmp_path: Path, wall_clock: list[float], monkeypatch: pytest.MonkeyPatch
) -> None:
    first = Store(tmp_path, 3_000_000)
    monkeypatch.setattr(record_clock, "_boot_id", lambda: "the next boot")
    wall_clock[0] += 60.0
    second = Store(tmp_path, 3_000_000)
    assert second.clock.anchor != first.clock.anchor
    assert second.clock.now() == pytest.approx(1_000_060.0, abs=5.0)
    monkeypatch.undo()


def test_without_a_boot_id_a_monotonic_clock_before_the_anchor_shows_a_boot() -> None:
    in_the_future = time.monotonic() + 1000.0
    assert resume_clock(Anchor("", 5.0, 0.0)).anchor.boot
    boot = resume_clock(None).anchor.boot
    assert resume_clock(Anchor(boot, 5.0, 0.0)).anchor.offset == 5.0
    assert resume_clock(Anchor(boot, 5.0, in_the_future)).anchor.offset != 5.0


def test_a_state_directory_without_an_anchor_uses_the_wall_clock(
    tmp_path: Path, wall_clock: list[float]
) -> None:
    """The segments of an earlier release hold Unix time and no anchor."""
    previous = Store(tmp_path, 3_000_000)
    path = next(tmp_path.glob("*.log"))
    path.write_bytes(b"")
    previous.close()
    store = Store(tmp_path, 3_000_000)
    assert store.clock.now() == pytest.approx(1_000_000.0, abs=5.0)


def test_trailing_zeros_count_as_a_torn_record(tmp_path: Path) -> None:
    store = Store(tmp_path, 3_000_000)
    path = next(tmp_path.glob("*.log"))
    path.write_bytes(path.read_bytes() + bytes(4096))
    assert Store(tmp_path, 3_000_000).clock.anchor == store.clock.anchor
