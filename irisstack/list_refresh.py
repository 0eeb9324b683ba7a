"""Decides when a node asks for the endpoint list again after a call for it has failed.

A change of the list counts as told `NOTIFICATION_DEADLINE` seconds after its service had it, whatever became
of the calls that should have brought it. So what bounds the next call is the time since the list was last
known to be the newest, and not how the last call failed. Only once that time is over do pauses grow as the
service needs it to work off its queue.
"""

import math
from random import Random

from irisstack import interface as api

LOAD_PAUSE = 0.2
"""Seconds for each sender of a fleet, before its first renewed call after a failure; doubles with each."""
MOST_DOUBLINGS = 4
START_SPREAD = 0.25
"""Of that pause, in which the senders of a fleet first ask."""
NOTIFICATION_DEADLINE = 6.0
"""Seconds after which news of the list counts as told."""
LAST_CALL = 5.0
"""Seconds after which no call should have to begin that brings such news: its answer takes time as well."""
TRIES_LEFT = 3.0
"""The time that is left is shared out among so many further calls, since each of them may fail."""
CROWDED_TRIES_LEFT = 1.5
"""The same for a large fleet once a call was kept waiting: its service may answer that one yet."""
ANSWER_OVERDUE_AFTER = 1.2
"""Seconds without an answer after which a call is told as failed; it may be answered yet."""
SHORTEST_PAUSE = 0.15
SHORTEST_PAUSE_EACH = 0.005
"""Seconds for each sender of a large fleet, so that it does not hammer its service."""
LONGEST_PAUSE = 10.0
"""Seconds between two calls where the settings do not tell how often to ask."""
CONFIRMED_ANEW = 0.2
"""Seconds by which the time of the last list has to move to be another one: what is less is lateness."""
AT_ONCE = 0.2
"""Seconds: a call that failed sooner was not kept waiting, so its service was not at work on it."""


class ListRefresh:
    """Follows the calls of one sender and knows when the next one is due."""

    def __init__(self, settings: api.Settings, random: Random) -> None:
        """The pauses are drawn from `random`, the sender's own."""
        self._random = random
        self._failures = self._waits = 0
        self._confirmed_at = -math.inf
        self._unavailable_at = -math.inf
        self.adopt(settings)
        self.next_at = 0.0 if self._asks else math.inf
        """When to ask, on the sender's clock; infinity while nothing is due."""

    def adopt(self, settings: api.Settings) -> None:
        """Go by these settings from here on."""
        self._asks = settings.discovery_on_request
        self._senders = settings.senders
        self._longest = settings.list_refresh_interval or LONGEST_PAUSE

    def started(self, now: float) -> None:
        """The process has just started with the list as it was last held."""
        self._failures = self._waits = 0
        if self._asks:
            self.next_at = now + self._load_pause() * self._random.uniform(0.0, START_SPREAD)

    def succeeded(self) -> None:
        """A list or a change of it has come."""
        self._failures = self._waits = 0

    def failed(self, now: float, update: api.EndpointsUpdated) -> None:
        """A call failed, a watch ended, or either has kept the sender waiting for too long."""
        if not self._asks:
            return
        confirmed_at = now - update.list_age
        # Failures are heard of some milliseconds late, by which a time reckoned back from them moves on. More
        # than that is a watch held since the last failure, or a move of the service: it makes the list older.
        if abs(confirmed_at - self._confirmed_at) > CONFIRMED_ANEW:
            self._confirmed_at = confirmed_at
            self._failures = self._waits = 0
        if (
            AT_ONCE < update.silent_for < update.list_age - AT_ONCE
        ):  # a call that was not answered, and no watch
            self._waits += 1
        if update.silent_for == -math.inf:  # nobody can tell what was missed
            pause = self._load_pause()
        else:
            # Reckoned from the last list that came: a failed call must not begin the 6 s of its news anew.
            pause = min(self._load_pause(), self._news_pause(now, update.silent_for))
        self.next_at = now + pause * self._random.uniform(0.5, 1.5)
        self._failures += 1

    def _load_pause(self) -> float:
        """The pause that lets a service which works through calls in turn catch up with all senders."""
        doubled = 2.0 ** min(self._failures, MOST_DOUBLINGS)
        return min(LOAD_PAUSE * self._senders * doubled, self._longest)

    def _news_pause(self, now: float, unheard: float) -> float:
        """The longest pause with which news of now can still be had in time; infinity if none can be."""
        overdue = (
            now > self._confirmed_at + NOTIFICATION_DEADLINE
        )  # what was missed first; what came later is not
        if overdue and unheard <= AT_ONCE:
            self._unavailable_at = now  # no news could be had before
        since = max(self._confirmed_at, self._unavailable_at) if overdue else self._confirmed_at
        left = since + LAST_CALL - now
        if LOAD_PAUSE * self._senders >= NOTIFICATION_DEADLINE:
            return self._large_fleet_pause(left)
        if now > since + NOTIFICATION_DEADLINE:
            left += NOTIFICATION_DEADLINE
        if left < LAST_CALL - NOTIFICATION_DEADLINE:
            return math.inf
        if unheard > AT_ONCE:  # so may the calls to come be
            left -= ANSWER_OVERDUE_AFTER * max(0, int((left + AT_ONCE) / ANSWER_OVERDUE_AFTER) - 1)
        return max(SHORTEST_PAUSE, left / TRIES_LEFT)

    def _large_fleet_pause(self, left: float) -> float:
        """The same for a fleet that cannot be served in time by a service that lets call after call wait."""
        if left < LAST_CALL - NOTIFICATION_DEADLINE or self._waits > 1:
            return math.inf
        tries = CROWDED_TRIES_LEFT if self._waits else TRIES_LEFT
        return max(SHORTEST_PAUSE_EACH * self._senders, left / tries)
