"""Settings and events for tests of the decisions, and a driver that records what a sender does."""

from collections.abc import Collection
from dataclasses import replace
from typing import Any

from irisstack import interface as api
from irisstack.choice import Sender

SAFE = api.MessageClass("safe", api.Effect.SAFE, latency_target=2.0, deadline=20.0, worth=1.0, late_worth=0.3)
KEYED = replace(SAFE, name="keyed", effect=api.Effect.KEYED, dedup_window=12.0)
UNSAFE = replace(SAFE, name="unsafe", effect=api.Effect.UNSAFE)
ORDERED = replace(SAFE, name="ordered", ordered=True)
CLASSES = (SAFE, KEYED, UNSAFE, ORDERED)
SAFE_INDEX, KEYED_INDEX, UNSAFE_INDEX, ORDERED_INDEX = range(4)

SETTINGS = api.Settings(
    classes=CLASSES,
    kinds=(api.DestinationKind("plain"), api.DestinationKind("shared", max_batch=5)),
    tenants=(),
    zones=("z",),
    zone=0,
    cross_zone_price=0.0,
    senders=2,
    ordinal=0,
    max_calls=12,
    max_pending=200,
    max_attempts=6,
    may_cancel=True,
    may_duplicate=False,
    may_probe=False,
    may_gossip=False,
    advises_retry_after=True,
    max_retry_after=4.0,
    connect_timeout=1.0,
    keepalive=10.0,
    calls_per_connection=1,
    discovery_on_request=False,
    list_refresh_interval=None,
    listed_rates=True,
    rates_are_rough=False,
    report_fields=("x0", "x1"),
    decay=api.Decay.LINEAR,
    over_share_worth=0.5,
    answer_slack=0.02,
    drain_grace=0.5,
    warmup_start_share=0.2,
    warmup_seconds=8.0,
    overload_multiple=2.0,
    overload_window=2.0,
    order_pause=0.0,
    clock_resolution=0.005,
)


def address(number: int) -> api.Address:
    return bytes([10, 0, 0, number]), 8000 + number


def endpoint(
    number: int,
    destination: int = 1,
    kind: int = 0,
    rate: float = 4.0,
    state: api.EndpointState = api.EndpointState.READY,
    zone: int = 0,
) -> api.Endpoint:
    return api.Endpoint(address(number), state, kind, destination, zone, rate, None)


class Driver:
    """Passes events to a sender and records its actions. It does not model endpoints."""

    def __init__(self, *endpoints: api.Endpoint, seed: int = 1, **changes: Any) -> None:
        self.sender = Sender(replace(SETTINGS, **changes), seed)
        self.now = 0.0
        self.sends: list[tuple[float, api.Send]] = []
        self.refused: dict[int, api.Refuse] = {}
        self.failed: set[int] = set()
        self.attempts: dict[int, int] = {}
        self.last_endpoint: dict[int, api.Address] = {}
        self.last_sent_at: dict[int, float] = {}
        self.timers: list[tuple[float, int]] = []
        self.subscribed: list[float] = []
        self.gossip_sent: list[tuple[float, bytes]] = []
        self.closed_idle: list[tuple[float, api.Address]] = []
        self.cancelled: list[tuple[float, int]] = []
        self.turn(0.0, api.EndpointsUpdated(api.UpdateScope.CACHED, 1, endpoints or (endpoint(1),)))

    def turn(self, now: float, *events: api.Event) -> list[api.Action]:
        """Run one turn. Timers that are due before it fire first, each in its own turn."""
        while self.timers and self.next_timer() < now:
            self.fire_timer()
        return self._turn(now, events)

    def next_timer(self) -> float:
        """When the next timer is due; infinity if none is set."""
        return min(self.timers, default=(float("inf"), 0))[0]

    def fire_timer(self) -> None:
        """Advance to the next timer and fire it in its own turn."""
        due = min(self.timers)
        self.timers.remove(due)
        self._turn(due[0], (api.TimerFired(due[1]),))

    def _turn(self, now: float, events: Collection[api.Event]) -> list[api.Action]:
        self.now = now
        actions = self.sender.turn(now, events)
        for action in actions:
            match action:
                case api.Send(message, to_address):
                    self.sends.append((now, action))
                    self.attempts[message] = self.attempts.get(message, -1) + 1
                    self.last_endpoint[message], self.last_sent_at[message] = to_address, now
                case api.Refuse(message):
                    self.refused[message] = action
                case api.Fail(message):
                    self.failed.add(message)
                case api.Cancel(message):
                    self.cancelled.append((now, message))
                case api.TellPeer(None, data):
                    self.gossip_sent.append((now, data))
                case api.CloseIdle(to_address):
                    self.closed_idle.append((now, to_address))
                case api.Subscribe(True):
                    self.subscribed.append(now)
                case api.SetTimer(delay, token):
                    self.timers.append((now + max(delay, 0.005), token))
        return actions

    def submit(
        self,
        number: int,
        at: float,
        class_index: int = SAFE_INDEX,
        destination: int = 1,
        key: int | None = None,
        due: float | None = None,
    ) -> list[api.Action]:
        return self.turn(at, self.message_received(number, at, class_index, destination, key, due))

    def message_received(
        self,
        number: int,
        at: float,
        class_index: int = SAFE_INDEX,
        destination: int = 1,
        key: int | None = None,
        due: float | None = None,
    ) -> api.MessageReceived:
        due_at = at + CLASSES[class_index].deadline if due is None else due
        return api.MessageReceived(number, class_index, destination, due_at, key=key)

    def attempt_ended(
        self,
        number: int,
        outcome: api.Outcome,
        at: float,
        retry_after: float | None = None,
        report: tuple[float, ...] = (),
    ) -> api.AttemptEnded:
        return api.AttemptEnded(
            number,
            self.last_endpoint[number],
            self.attempts[number],
            at - self.last_sent_at[number],
            outcome is api.Outcome.OK,
            outcome,
            retry_after,
            False,
            report,
        )

    def end_attempt(
        self,
        number: int,
        outcome: api.Outcome,
        at: float,
        retry_after: float | None = None,
        report: tuple[float, ...] = (),
    ) -> list[api.Action]:
        return self.turn(at, self.attempt_ended(number, outcome, at, retry_after, report))

    def send_times(self, number: int) -> list[float]:
        return [at for at, send in self.sends if send.message == number]

    def run_until_sent(self, number: int, attempts: int = 1) -> float:
        """Advance, by at most 30 s, until the message was sent this many times; returns the time."""
        for _ in range(300):
            if len(self.send_times(number)) < attempts:
                self.turn(self.now + 0.1)
        return self.now

    def deliver(self, first: int, count: int, at: float, gap: float = 0.5, destination: int = 1) -> float:
        """Submit messages one by one and let each succeed after 0.1 s; returns the time after the last."""
        for number in range(first, first + count):
            self.submit(number, at, destination=destination)
            self.end_attempt(number, api.Outcome.OK, at + 0.1)
            at += gap
        return at
