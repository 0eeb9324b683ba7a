"""When to write to the state directory again after a write that failed."""

import time

import structlog

FIRST_PAUSE_S, MAX_PAUSE_S = 0.05, 0.4
"""Seconds from a failed write to the next attempt; doubled with each failure up to the maximum."""

log = structlog.get_logger()


class WriteBackoff:
    """Follows the failures of writes, and logs the first and the end of each series of them."""

    def __init__(self) -> None:
        self._failed_since: float | None = None  # monotonic time of the first failure
        self._retry_at = 0.0
        self._pause = FIRST_PAUSE_S

    @property
    def failing(self) -> bool:
        """Whether the last write failed."""
        return self._failed_since is not None

    @property
    def may_write(self) -> bool:
        """Whether a write may be attempted: the last one succeeded, or the pause has passed."""
        return not self.failing or time.monotonic() >= self._retry_at

    def failed(self, error: OSError, unwritten: int) -> None:
        """A write has failed; `unwritten` records are kept in memory."""
        now = time.monotonic()
        if self._failed_since is None:
            self._failed_since = now
            self._pause = FIRST_PAUSE_S
            log.error("folder_not_written", error=str(error), unwritten=unwritten)
        self._retry_at = now + self._pause
        self._pause = min(2.0 * self._pause, MAX_PAUSE_S)

    def succeeded(self) -> None:
        """A write has succeeded."""
        if self._failed_since is not None:
            log.info("folder_written_again", after_s=round(time.monotonic() - self._failed_since, 3))
            self._failed_since = None
