"""Shadow evaluation: counts where trial settings would have led to another decision.

The settings in force decide as before. Each decision is compared with the one under the trial settings, which
cause no calls, answers, records or delays of their own.
"""

from collections.abc import Callable
from enum import StrEnum

from irisstack import interface as api
from irisstack.choice import FAILURE_THRESHOLD, Sender
from irisstack.delivery_state import BreakerScope, DestinationQueue, Message


class Divergence(StrEnum):
    """A decision that the trial settings would have changed; the value is the name of its counter."""

    NOTE = "watch_note"
    """A failure would have been gossiped to the other senders."""
    OPENED_ALONE = "watch_opened_alone"
    """A breaker opened after fewer failures than with gossip, which counts those of all senders."""
    CONNECTION_CLOSED = "watch_connection_closed"
    """A connection was closed that would have been kept."""
    OTHER_ZONE = "watch_other_zone"
    """A call went to another zone although an endpoint in the trial settings' own zone was available."""
    GIVEN_UP = "watch_given_up"
    """A message was given up that would have had another attempt."""


class ShadowSender(Sender):
    """A sender that decides by its settings and counts where the trial settings differ."""

    def __init__(
        self, settings: api.Settings, trial: api.Settings, seed: int, count: Callable[[Divergence], None]
    ) -> None:
        super().__init__(settings, seed)
        self._trial = trial
        self._count = count
        self._trial_adds_gossip = trial.may_gossip and not settings.may_gossip
        self._trial_home_zone = trial.zone if trial.cross_zone_price else None

    def _record_failure(
        self, scope: BreakerScope, outcome: api.Outcome | None, from_gossip: bool = False
    ) -> bool:
        breaker = self._breakers.get(scope)
        counted = breaker is None or self._now >= breaker.open_until
        failures_before = breaker.failures if breaker is not None and self._now < breaker.window_end else 0
        opened = super()._record_failure(scope, outcome, from_gossip)
        if self._trial_adds_gossip and counted and outcome not in (api.Outcome.FULL, api.Outcome.RESET):
            self._count(Divergence.NOTE)
        if self._trial_adds_gossip and opened and failures_before + 1 < FAILURE_THRESHOLD:
            self._count(Divergence.OPENED_ALONE)
        return opened

    def _should_keep_connection(self, message: Message) -> bool:
        keep = super()._should_keep_connection(message)
        if self._trial_adds_gossip and not keep:
            self._count(Divergence.CONNECTION_CLOSED)
        return keep

    def _send_call(self, queue: DestinationQueue) -> None:
        available = [route for route in queue.routes() if self._route_available_at(route) <= self._now]
        actions_before = len(self._actions)
        super()._send_call(queue)
        if self._trial_home_zone in (None, self._home_zone):
            return
        sent = next(act for act in self._actions[actions_before:] if isinstance(act, api.Send))
        class_index = self._messages[sent.message].class_index
        home_endpoints = [
            route.address
            for route in available
            if route.zone == self._trial_home_zone and route.avoid_until.get(class_index, 0.0) <= self._now
        ]
        if home_endpoints and sent.endpoint not in home_endpoints:
            self._count(Divergence.OTHER_ZONE)

    def _give_up(self, message: Message, reason: api.GiveUpReason | None = None) -> None:
        message_class = message.message_class
        # The latest start of an attempt depends on the class, so it is computed again under the trial class.
        if message.may_have_run_at is not None and self._latest_attempt_start(message) < self._now:
            message.message_class = self._trial.classes[message.class_index]
            if (
                message.attempts < self._trial.max_attempts
                and self._latest_attempt_start(message) >= self._now
            ):
                self._count(Divergence.GIVEN_UP)
            message.message_class = message_class
        super()._give_up(message, reason)
