"""Tries again for a time what fails for want of something that may be had in a moment."""

import time
from collections.abc import Callable
from typing import TypeVar

import gevent

ResultT = TypeVar("ResultT")


def retry(
    operation: Callable[[float], ResultT],
    is_transient: Callable[[OSError], bool],
    time_limit: float,
    first_pause: float,
    max_pause: float,
) -> ResultT:
    """Call `attempt` with the seconds that are left until it succeeds.

    Raises its error if that does not pass by itself, or if the time would be over before the next attempt.
    The pauses between attempts double, up to the longest.
    """
    end, pause = time.monotonic() + time_limit, first_pause
    while True:
        try:
            return operation(end - time.monotonic())
        except OSError as error:
            if not is_transient(error) or time.monotonic() + pause >= end:
                raise
        gevent.sleep(pause)
        pause = min(2.0 * pause, max_pause)
