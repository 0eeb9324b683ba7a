"""Counts where a deployment's new settings would have decided otherwise. What is decided stays as it was.

The module's settings in force decide; beside each decision stands what the settings on trial would have made
of it. Nothing is sent, answered, recorded or waited for on their account.
"""

from collections.abc import Callable
from enum import StrEnum

from irisstack import interface as api
from irisstack.choice import FAILURE_THRESHOLD, Sender
from irisstack.delivery_state import BreakerScope, DestinationQueue, Message


class Divergence(StrEnum):
    """What would have gone otherwise."""

    NOTE = "watch_note"
    """A failure would have been told to the other senders."""
    OPENED_ALONE = "watch_opened_alone"
    """A breaker was opened by fewer failures than all senders together would have waited for."""
    CONNECTION_CLOSED = "watch_connection_closed"
    """A connection was given back that would have been kept."""
    OTHER_ZONE = "watch_other_zone"
    """A call went to another zone though an endpoint of the own one could have taken it."""
    GIVEN_UP = "watch_given_up"
    """A message was given up that could have had another attempt."""


class ShadowSender(Sender):
    """A sender that decides by its settings and watches for where those on trial differ."""

    def __init__(
        self, settings: api.Settings, trial: api.Settings, seed: int, count: Callable[[Divergence], None]
    ) -> None:
        super().__init__(settings, seed)
        self._trial = trial
        self._count = count
        self._tells = trial.may_gossip and not settings.may_gossip
        self._trial_home = trial.zone if trial.cross_zone_price else None

    def _record_failure(
        self, limit: BreakerScope, reason: api.Outcome | None, from_gossip: bool = False
    ) -> bool:
        breaker = self._breakers.get(limit)
        counts = breaker is None or self._now >= breaker.open_until
        before = breaker.failures if breaker is not None and self._now < breaker.window_end else 0
        opened = super()._record_failure(limit, reason, from_gossip)
        if self._tells and counts and reason not in (api.Outcome.FULL, api.Outcome.RESET):
            self._count(Divergence.NOTE)
        if self._tells and opened and before + 1 < FAILURE_THRESHOLD:
            self._count(Divergence.OPENED_ALONE)
        return opened

    def _should_keep_connection(self, message: Message) -> bool:
        keep = super()._should_keep_connection(message)
        if self._tells and not keep:
            self._count(Divergence.CONNECTION_CLOSED)
        return keep

    def _send_call(self, line: DestinationQueue) -> None:
        free = [route for route in line.routes() if self._route_available_at(route) <= self._now]
        before = len(self._actions)
        super()._send_call(line)
        if self._trial_home in (None, self._home_zone):
            return
        sent = next(act for act in self._actions[before:] if isinstance(act, api.Send))
        index = self._messages[sent.message].class_index
        home = [
            route.address
            for route in free
            if route.zone == self._trial_home and route.avoid_until.get(index, 0.0) <= self._now
        ]
        if home and sent.endpoint not in home:
            self._count(Divergence.OTHER_ZONE)

    def _give_up(self, message: Message) -> None:
        kind = message.message_class
        if message.maybe_ran is not None and self._latest_attempt_start(message) < self._now:
            message.message_class = self._trial.classes[message.class_index]
            if (
                message.attempts < self._trial.max_attempts
                and self._latest_attempt_start(message) >= self._now
            ):
                self._count(Divergence.GIVEN_UP)
            message.message_class = kind
        super()._give_up(message)
