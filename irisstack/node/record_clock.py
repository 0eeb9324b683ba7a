"""The record clock: the clock of stored times, which later steps of the wall clock do not affect.

Records outlive the process, so their times need a clock that all processes share. The monotonic clock is one
until the machine boots; after a boot its earlier readings mean nothing. Recorded times are therefore Unix
time, computed as the monotonic clock plus an offset. The offset (the anchor) is read from the wall clock once
per boot, recorded, and reused by every later process. Only after a boot is the wall clock read again, and has
to be trusted for the time in between.
"""

import time
from dataclasses import asdict, dataclass
from pathlib import Path

BOOT_ID = Path("/proc/sys/kernel/random/boot_id")
MIN_STEP = 0.25
"""Seconds; a smaller change between two checks counts as drift of a slewed clock, not as a step."""


@dataclass(slots=True, frozen=True)
class Anchor:
    """The offset of the record clock, and when it was read."""

    boot: str
    """Identifies the boot of the machine; empty if the system does not provide it."""
    offset: float
    """Seconds from the monotonic clock to Unix time when the anchor was set."""
    since: float
    """When the anchor was set, on the monotonic clock."""


class RecordClock:
    """Converts between the monotonic clock and the times in records."""

    def __init__(self, anchor: Anchor) -> None:
        self.anchor = anchor

    def now(self) -> float:
        """The current time for a record."""
        return self.to_record_time(time.monotonic())

    def to_record_time(self, monotonic: float) -> float:
        return monotonic + self.anchor.offset

    def to_monotonic(self, record_time: float) -> float:
        return record_time - self.anchor.offset

    def anchor_record(self) -> dict[str, object]:
        """The fields of the record that stores the anchor."""
        return {"t": "clock", **asdict(self.anchor)}


def resume_clock(anchor: Anchor | None) -> RecordClock:
    """The record clock of the previous process; a new one if the machine has booted since.

    If the system provides no boot id, a monotonic clock earlier than the anchor shows that it has booted.
    """
    boot, monotonic = _boot_id(), time.monotonic()
    if anchor is not None and anchor.boot == boot and anchor.since <= monotonic:
        return RecordClock(anchor)
    return RecordClock(Anchor(boot, wall_clock() - monotonic, monotonic))


class StepDetector:
    """Detects steps of the wall clock, for the log only."""

    def __init__(self) -> None:
        self._offset = wall_clock() - time.monotonic()

    def detect(self) -> float | None:
        """Seconds by which the wall clock was stepped since the last check; None if it was not."""
        offset = wall_clock() - time.monotonic()
        step, self._offset = offset - self._offset, offset
        return step if abs(step) >= MIN_STEP else None


def wall_clock() -> float:
    """Current Unix time. The wall clock may be stepped, so it must not be used to measure durations."""
    return time.time()  # noqa: TID251


def _boot_id() -> str:
    try:
        return BOOT_ID.read_text().strip()
    except OSError:
        return ""
