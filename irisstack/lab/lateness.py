"""Measures how late this process wakes its greenlets. A laboratory that runs late gives no valid results."""

import time

import gevent

PROBE_INTERVAL = 0.01
"""Seconds between two measurements."""


class LatenessMonitor:
    """Records by how many seconds a sleeping greenlet is woken late."""

    def __init__(self) -> None:
        self.samples: list[float] = []

    def run(self) -> None:
        """Measure until killed."""
        while True:
            due = time.monotonic() + PROBE_INTERVAL
            gevent.sleep(PROBE_INTERVAL)
            self.samples.append(max(0.0, time.monotonic() - due))

    def quantile(self, share: float) -> float:
        """The lateness that this share of the samples did not exceed, in seconds."""
        return sorted(self.samples)[int((len(self.samples) - 1) * share)] if self.samples else 0.0

    @property
    def maximum(self) -> float:
        """The largest lateness, in seconds."""
        return max(self.samples, default=0.0)
