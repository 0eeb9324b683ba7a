"""Watches the resident memory of this process and says what holds it when the limit comes near."""

import os
from collections.abc import Callable, Mapping
from pathlib import Path

import gevent
import structlog

from irisstack.node.counters import Counters

STATM = Path("/proc/self/statm")
"""Linux's sizes of this process in pages; the second one is the resident size."""
CHECK_INTERVAL_S = 1.0
HIGH_SHARE = 0.8
"""Share of the limit from which the resident memory is logged as high."""
LOG_INTERVAL_CHECKS = 10
"""While the memory stays high, it is logged once in this many checks."""

log = structlog.get_logger()


def resident_bytes() -> int:
    """The resident memory of this process; 0 if the system does not provide it."""
    try:
        return int(STATM.read_text().split()[1]) * os.sysconf("SC_PAGE_SIZE")
    except (OSError, ValueError, IndexError):
        return 0


class MemoryMonitor:
    """Records the largest resident memory seen, and logs when it is near the limit."""

    def __init__(self, limit_bytes: int, usage: Callable[[], Mapping[str, int]], counters: Counters) -> None:
        """`usage` tells what the parts of the node hold, for the log."""
        self._limit_bytes = limit_bytes
        self._usage = usage
        self._counters = counters
        self._high_checks = 0  # checks in a row that found it high

    def run(self) -> None:
        """Check at regular intervals; never returns."""
        while True:
            self.check(resident_bytes())
            gevent.sleep(CHECK_INTERVAL_S)

    def check(self, resident: int) -> None:
        """Record a resident size in bytes."""
        self._counters.record_max("memory_resident_max_kb", resident // 1024)
        if resident < HIGH_SHARE * self._limit_bytes:
            self._high_checks = 0
            return
        if self._high_checks % LOG_INTERVAL_CHECKS == 0:
            log.warning(
                "memory_high",
                resident_kb=resident // 1024,
                limit_kb=self._limit_bytes // 1024,
                **self._usage(),
            )
        self._high_checks += 1
