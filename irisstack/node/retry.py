"""Tries again for a time what fails for want of something that may be had in a moment."""

import time
from collections.abc import Callable
from typing import TypeVar

import gevent

Made = TypeVar("Made")


def retry(
    attempt: Callable[[float], Made],
    passes: Callable[[OSError], bool],
    seconds: float,
    first_pause: float,
    longest_pause: float,
) -> Made:
    """Call `attempt` with the seconds that are left until it succeeds.

    Raises its error if that does not pass by itself, or if the time would be over before the next attempt.
    The pauses between attempts double, up to the longest.
    """
    end, pause = time.monotonic() + seconds, first_pause
    while True:
        try:
            return attempt(end - time.monotonic())
        except OSError as error:
            if not passes(error) or time.monotonic() + pause >= end:
                raise
        gevent.sleep(pause)
        pause = min(2.0 * pause, longest_pause)
