"""The clock of what is recorded: Unix time as of an anchor, which no later step of the wall clock moves.

A record outlives the process, so its times need a clock that all lives of the process share. The monotonic
clock is one, for as long as the machine has not booted. Its readings mean nothing after a boot, so what is
recorded is Unix time all the same: the monotonic clock plus an offset. The offset is taken from the wall
clock once for each boot, recorded, and taken over by every later life. Only after a boot is the wall clock
asked again, and has to be trusted for the time in between.
"""

import time
from dataclasses import asdict, dataclass
from pathlib import Path

BOOT_ID = Path("/proc/sys/kernel/random/boot_id")
MIN_STEP = 0.25
"""Seconds by which the clocks part between two looks, at least, in a step: one that is slewed drifts."""


@dataclass(slots=True, frozen=True)
class Anchor:
    """What the clock is held by."""

    boot: str
    """Names the boot of the machine; empty where the system does not tell it."""
    offset: float
    """Seconds from the monotonic clock to Unix time, as of when the anchor was set."""
    since: float
    """When it was set, on the monotonic clock."""


class RecordClock:
    """Turns the monotonic clock into the time of records and back."""

    def __init__(self, anchor: Anchor) -> None:
        self.anchor = anchor

    def now(self) -> float:
        """The time of a record that is made now."""
        return self.to_record_time(time.monotonic())

    def to_record_time(self, monotonic: float) -> float:
        return monotonic + self.anchor.offset

    def to_monotonic(self, recorded: float) -> float:
        return recorded - self.anchor.offset

    def anchor_record(self) -> dict[str, object]:
        """The anchor as a note for the folder."""
        return {"t": "clock", **asdict(self.anchor)}


def resume_clock(recorded: Anchor | None) -> RecordClock:
    """The clock of the lives before, unless the machine has booted since; else one that begins now.

    Where the system does not tell its boots, a monotonic clock that stands before the anchor shows one.
    """
    boot, monotonic = _boot_id(), time.monotonic()
    if recorded is not None and recorded.boot == boot and recorded.since <= monotonic:
        return RecordClock(recorded)
    return RecordClock(Anchor(boot, wall_clock() - monotonic, monotonic))


class StepDetector:
    """Notices steps of the wall clock, for the log: nothing is decided by them."""

    def __init__(self) -> None:
        self._offset = wall_clock() - time.monotonic()

    def detect(self) -> float | None:
        """By how many seconds the wall clock was stepped since the last look, if it was."""
        offset = wall_clock() - time.monotonic()
        step, self._offset = offset - self._offset, offset
        return step if abs(step) >= MIN_STEP else None


def wall_clock() -> float:
    """Unix time as the machine tells it just now; it may be stepped, so no span is measured with it."""
    return time.time()  # noqa: TID251


def _boot_id() -> str:
    try:
        return BOOT_ID.read_text().strip()
    except OSError:
        return ""
