"""How late a process's own greenlets are woken: a laboratory that is late itself can judge nobody."""

import time

import gevent

PROBE_INTERVAL = 0.01
"""Seconds between two looks."""


class LatenessMonitor:
    """What was seen of it."""

    def __init__(self) -> None:
        self.samples: list[float] = []

    def run(self) -> None:
        """Look for ever."""
        while True:
            due = time.monotonic() + PROBE_INTERVAL
            gevent.sleep(PROBE_INTERVAL)
            self.samples.append(max(0.0, time.monotonic() - due))

    def quantile(self, share: float) -> float:
        """Seconds that this share of the looks did not exceed."""
        return sorted(self.samples)[int((len(self.samples) - 1) * share)] if self.samples else 0.0

    @property
    def maximum(self) -> float:
        return max(self.samples, default=0.0)
