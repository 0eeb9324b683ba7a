"""Decides whether calls may be sent by the endpoint list that a process started with.

Where discovery pushes the list, whatever it has counts as notified from the start of a process, before it
has arrived. The list that the process started with may be older: an endpoint on it may be draining by now, or
its address may belong to another destination. So no call is sent before discovery has been heard or has
turned out to be unavailable. Messages are accepted meanwhile and wait, each until its own deadline at most.

A service that keeps a call waiting is slow, not unavailable: it has the newer list and may send it at any
moment. One that refuses the connection is unavailable at once. One that fails calls right away, or that
cannot be connected to, may be overloaded for a moment, so it counts as unavailable only after a while.
"""

import math

from irisstack import interface as api
from irisstack.list_refresh import IMMEDIATE_FAILURE

FETCH_AFTER = 0.3
"""Seconds until the whole list is fetched: a watch on which nothing has changed stays silent for 2 s."""
UNAVAILABLE_AFTER = 3.0
"""Seconds after the start from which such failures count; the system repeats a lost connect after 1 s."""


class InitialList:
    """Follows one process's first calls for the endpoint list. Times are seconds on the sender's clock."""

    def __init__(self) -> None:
        self._started_at = math.inf
        self._awaited_until = -math.inf
        self.fetch_at = math.inf
        """When to fetch the whole list; infinity if no fetch is due."""

    def started(self, now: float, settings: api.Settings) -> None:
        """The process has started with an older list, and discovery is about to send its own.

        After the longest deadline, each message of the previous process has waited for as long as it could.
        """
        self._started_at = now
        self._awaited_until = now + max(message_class.deadline for message_class in settings.classes)
        self.fetch_at = now + FETCH_AFTER

    def awaited(self, now: float) -> bool:
        """Whether calls have to wait for the list."""
        return now < self._awaited_until

    def next_event_at(self, now: float) -> float:
        """When a fetch is due or calls may be sent, if no event comes earlier; infinity if neither."""
        return min(self.fetch_at, self._awaited_until) if self.awaited(now) else math.inf

    def take_fetch(self, now: float) -> bool:
        """Whether the whole list is to be fetched now; true once."""
        due = now >= self.fetch_at
        if due:
            self.fetch_at = math.inf
        return due

    def received(self) -> None:
        """A list or an update of it was received."""
        self._release()

    def failed(self, now: float, update: api.EndpointsUpdated) -> None:
        """A call for the list failed, or is overdue."""
        if not self.awaited(now) or update.silent_for > IMMEDIATE_FAILURE:
            return
        refused = update.silent_for == 0.0 and update.call_ended
        if refused or now >= self._started_at + UNAVAILABLE_AFTER:
            self._release()

    def _release(self) -> None:
        self._awaited_until = -math.inf
        self.fetch_at = math.inf
