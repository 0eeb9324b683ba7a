"""Retries operations that fail with transient errors."""

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
    """Call `operation` with the remaining seconds until it succeeds, and return its result.

    Raises its error if that is not transient, or if the time limit would pass before the next call.
    The pauses between calls double from `first_pause` up to `max_pause`.
    """
    deadline, pause = time.monotonic() + time_limit, first_pause
    while True:
        try:
            return operation(deadline - time.monotonic())
        except OSError as error:
            if not is_transient(error) or time.monotonic() + pause >= deadline:
                raise
        gevent.sleep(pause)
        pause = min(2.0 * pause, max_pause)
