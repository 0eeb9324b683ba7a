"""Decides when a node requests the endpoint list again after a call for it has failed.

An update of the list counts as notified `NOTIFICATION_DEADLINE` seconds after the discovery service had it,
whatever happened to the calls that should have brought it. So the time of the next call depends on when the
list was last known to be the newest, and not on how the last call failed. After the deadline pauses grow, so
that the service can work off its queue, up to the time at which the next update would be missed: the service
may be back at any moment. Only a large fleet whose calls the service keeps open waits longer.
"""

import math
from random import Random

from irisstack import interface as api

RETRY_PAUSE_PER_SENDER = 0.2
"""Seconds per sender of the fleet: the pause before the first retry. It doubles with each further failure."""
MAX_DOUBLINGS = 4
START_SPREAD = 0.25
"""Share of that pause over which senders spread their first call after a start."""
NOTIFICATION_DEADLINE = 6.0
"""Seconds after which an update of the list counts as notified."""
LATEST_CALL_START = 5.0
"""Seconds after an update by which the call that brings it has to start, since its answer takes time too."""
CALLS_IN_TIME_LEFT = 3.0
"""Further calls among which the time left is divided, since each of them may fail."""
LARGE_FLEET_CALLS_IN_TIME_LEFT = 1.5
"""The same for a large fleet once a call was kept waiting: the service may still answer that call."""
ANSWER_OVERDUE_AFTER = 1.2
"""Seconds without an answer after which a call is reported as failed. It may still be answered."""
MIN_PAUSE = 0.15
"""Seconds between two calls."""
MIN_PAUSE_PER_SENDER = 0.005
"""Seconds per sender of a large fleet, so that it does not overload its service."""
DEFAULT_MAX_PAUSE = 10.0
"""Seconds between two calls if the settings have no interval."""
MIN_JITTER, MAX_JITTER = 0.5, 1.5
"""Bounds of the random factor of each pause."""
CONFIRMATION_TOLERANCE = 0.2
"""Seconds by which the time of the last confirmed list must move to be a new one. Less is reporting delay."""
IMMEDIATE_FAILURE = 0.2
"""Seconds. A call that failed sooner was not kept waiting, so its service was not working on it."""


class ListRefresh:
    """Follows one sender's calls for the endpoint list and schedules the next one."""

    def __init__(self, settings: api.Settings, random: Random) -> None:
        """The jitter is drawn from `random`, the sender's generator."""
        self._random = random
        self._failures = self._unanswered_calls = 0
        self._confirmed_at = -math.inf  # when the list was last known to be the newest
        self._unavailable_until = -math.inf  # before this time no update could be received
        self.apply_settings(settings)
        self.next_call_at = 0.0 if self._on_request else math.inf
        """When to call, on the sender's clock; infinity while no call is due."""

    def apply_settings(self, settings: api.Settings) -> None:
        """Use these settings from now on."""
        self._on_request = settings.discovery_on_request
        self._senders = settings.senders
        self._max_pause = settings.list_refresh_interval or DEFAULT_MAX_PAUSE

    def started(self, now: float) -> None:
        """The process has started with the stored list."""
        self._failures = self._unanswered_calls = 0
        if self._on_request:
            self.next_call_at = now + self._retry_pause() * self._random.uniform(0.0, START_SPREAD)

    def succeeded(self) -> None:
        """A list or an update of it was received."""
        self._failures = self._unanswered_calls = 0

    def failed(self, now: float, update: api.EndpointsUpdated) -> None:
        """A call failed, a watch ended, or either has kept the sender waiting for too long."""
        if not self._on_request:
            return
        confirmed_at = now - update.list_age
        # A failure is reported some milliseconds late, and the time computed from it moves by as much. A
        # larger difference means that a watch was held since the last failure, or that the service has moved,
        # which makes the list count as older.
        if abs(confirmed_at - self._confirmed_at) > CONFIRMATION_TOLERANCE:
            self._confirmed_at = confirmed_at
            self._failures = self._unanswered_calls = 0
        # A call is kept open. A watch is excluded: it confirms the list until the service goes silent.
        if (
            not update.call_ended
            and IMMEDIATE_FAILURE < update.silent_for < update.list_age - IMMEDIATE_FAILURE
        ):
            self._unanswered_calls += 1
        if update.silent_for == -math.inf:  # it is not known which updates were missed
            pause = self._retry_pause()
        else:
            # Computed from the last confirmed list: a failed call must not restart the 6 s for its updates.
            pause = min(self._retry_pause(), self._notification_pause(now, update))
        self.next_call_at = now + pause * self._random.uniform(MIN_JITTER, MAX_JITTER)
        self._failures += 1

    def _retry_pause(self) -> float:
        """The pause that lets a service which handles calls in turn catch up with all senders."""
        factor = 2.0 ** min(self._failures, MAX_DOUBLINGS)
        return min(RETRY_PAUSE_PER_SENDER * self._senders * factor, self._max_pause)

    def _notification_pause(self, now: float, update: api.EndpointsUpdated) -> float:
        """The longest pause after which updates still arrive in time; infinity if it is not bounded."""
        silent_for = update.silent_for
        # The first updates that were missed are overdue then, but not the later ones.
        overdue = now > self._confirmed_at + NOTIFICATION_DEADLINE
        if overdue and silent_for <= IMMEDIATE_FAILURE:
            self._unavailable_until = now
        since = max(self._confirmed_at, self._unavailable_until) if overdue else self._confirmed_at
        time_left = since + LATEST_CALL_START - now
        if RETRY_PAUSE_PER_SENDER * self._senders >= NOTIFICATION_DEADLINE:
            return self._large_fleet_pause(time_left, update)
        if now > since + NOTIFICATION_DEADLINE:
            time_left += NOTIFICATION_DEADLINE
        if time_left < LATEST_CALL_START - NOTIFICATION_DEADLINE:
            return self._longest_pause(silent_for)
        if silent_for > IMMEDIATE_FAILURE:  # further calls may not be answered either
            time_left -= ANSWER_OVERDUE_AFTER * max(
                0, int((time_left + IMMEDIATE_FAILURE) / ANSWER_OVERDUE_AFTER) - 1
            )
        return max(MIN_PAUSE, time_left / CALLS_IN_TIME_LEFT)

    def _large_fleet_pause(self, time_left: float, update: api.EndpointsUpdated) -> float:
        """The same for a fleet that a service which works through its calls in turn cannot serve in time."""
        overdue = time_left < LATEST_CALL_START - NOTIFICATION_DEADLINE
        if not update.call_ended and (overdue or self._unanswered_calls > 1):
            return math.inf
        calls = LARGE_FLEET_CALLS_IN_TIME_LEFT if self._unanswered_calls else CALLS_IN_TIME_LEFT
        pause = self._longest_pause(update.silent_for) if overdue else time_left / calls
        return max(MIN_PAUSE_PER_SENDER * self._senders, pause)

    @staticmethod
    def _longest_pause(silent_for: float) -> float:
        """The pause after which the next call brings each update since the failed one began in time."""
        return max(MIN_PAUSE, (LATEST_CALL_START - silent_for) / MAX_JITTER)
