"""Baseline policies that the decision module is compared with, for the laboratory only.

All of them honour drains, Retry-After, ordering keys and the limits on concurrent calls and pending messages.
None repeats a message that may have run where that could double its effect. None limits the load of a
recovering destination. They differ in when a message is retried and in what keeps them from calling.
"""

from collections import deque
from collections.abc import Collection
from dataclasses import dataclass, field
from heapq import heappop, heappush
from random import Random

from irisstack import interface as api
from irisstack.interface import Effect, Outcome
from irisstack.lab.policy import Oracle, Policy, PolicyFactory, decision_module

NOT_RUN_OUTCOMES = frozenset((Outcome.FULL, Outcome.CONNECT_FAILED, Outcome.NOT_SENT))
NEVER = float("inf")
MIN_TIME_LEFT = 0.1
"""Seconds before its deadline after which a message is not worth a call."""


@dataclass(slots=True, eq=False)
class PendingMessage:
    """A message without a final result."""

    id: int
    message_class: api.MessageClass
    destination: int
    due: float
    key: int | None
    attempts: int
    may_have_run_at: float | None
    open_call: "OpenCall | None" = None
    finished: bool = False

    @property
    def latest_call(self) -> float:
        """Latest time at which a call is worthwhile and can, like a refusal, not double its effect."""
        if self.may_have_run_at is None or self.message_class.effect is Effect.SAFE:
            return self.due - MIN_TIME_LEFT
        if (
            self.message_class.effect is Effect.UNSAFE
            or self.message_class.dedup_scope is not api.DedupScope.DESTINATION
        ):
            return -NEVER
        return min(self.due, self.may_have_run_at + self.message_class.dedup_window) - MIN_TIME_LEFT

    def may_be_refused(self, now: float) -> bool:
        """Whether another submission of the message cannot double its effect."""
        if self.may_have_run_at is None or self.message_class.effect is Effect.SAFE:
            return True
        return (
            self.message_class.effect is Effect.KEYED
            and self.message_class.dedup_scope is api.DedupScope.DESTINATION
            and now < self.may_have_run_at + self.message_class.dedup_window
        )


@dataclass(slots=True, eq=False)
class OpenCall:
    """A call, and how many of its messages have no outcome yet."""

    sent_at: float
    open_messages: int


@dataclass(slots=True, eq=False)
class DestinationState:
    """One destination as a policy knows it."""

    number: int
    kind: api.DestinationKind | None = None
    rate: float = 0.0
    endpoints: dict[api.Address, int] = field(default_factory=dict)  # open calls by address
    queue: deque[PendingMessage] = field(default_factory=deque)
    blocked_until: float = 0.0
    open_calls: int = 0


class Baseline:
    """What all baselines share; a subclass decides when to call and when to retry."""

    def __init__(self, settings: api.Settings, seed: int, oracle: Oracle) -> None:
        self.settings = settings
        self.random = Random(seed)
        self.oracle = oracle
        self.now = 0.0
        self._actions: list[api.Action] = []
        self._pending_by_id: dict[int, PendingMessage] = {}
        self._destinations: dict[int, DestinationState] = {}
        self._destination_by_address: dict[api.Address, int] = {}
        self._key_queues: dict[int, deque[PendingMessage]] = {}
        self._retries: list[tuple[float, int, PendingMessage]] = []
        self._deadlines: list[tuple[float, int, PendingMessage]] = []
        self._queued: dict[int, None] = {}  # destinations with a queue, in order
        self._free_calls = settings.max_calls
        self._sequence = self._timer_token = 0
        self._timer_at = NEVER
        self._subscribed = False

    # ---- for subclasses ----

    def next_call_at(self, target: DestinationState) -> float:
        """The earliest time of the next call to the destination."""
        return 0.0

    def on_call_sent(self, target: DestinationState) -> None:
        """A call is being sent."""

    def on_call_ended(self, target: DestinationState, outcome: Outcome) -> None:
        """A call has ended."""

    def retry_delay(self, pending: PendingMessage, outcome: Outcome) -> float | None:
        """Seconds until the next attempt, or `None` to give the message up."""
        return None

    def choose_endpoint(self, target: DestinationState) -> api.Address:
        """The endpoint of the next call: the one with the fewest open calls."""
        return min(
            target.endpoints,
            key=lambda address: (target.endpoints[address], self.random.random()),
        )

    def take_next(self, target: DestinationState) -> PendingMessage:
        """Remove the next message from the queue: the first one."""
        return target.queue.popleft()

    def rejection_wait(self, target: DestinationState) -> float:
        """Seconds of Retry-After if new messages are rejected now, else 0.0."""
        return 0.0

    # ---- the interface ----

    def turn(self, now: float, events: Collection[api.Event]) -> list[api.Action]:
        self.now, self._actions = now, []
        for event in events:
            match event:
                case api.AttemptEnded():
                    self._attempt_ended(event)
                case api.MessageReceived():
                    self._message_received(event)
                case api.EndpointsUpdated():
                    self._endpoints_updated(event)
                case api.MessageWithdrawn():
                    if event.message in self._pending_by_id:
                        self._finish(self._pending_by_id[event.message])
                case api.TimerFired() if event.token == self._timer_token:
                    self._timer_at = NEVER
        if self.settings.discovery_on_request and not self._subscribed:
            self._subscribed = True
            self._actions.append(api.Subscribe(True))
        wake_at = self._expire()
        while self._retries and self._retries[0][0] <= now:
            self._enqueue(heappop(self._retries)[2])
        if self._retries:
            wake_at = min(wake_at, self._retries[0][0])
        wake_at = min(wake_at, self._dispatch())
        if wake_at < self._timer_at:
            self._timer_at = wake_at
            self._timer_token += 1
            self._actions.append(api.SetTimer(max(0.001, min(wake_at - now, 3600.0)), self._timer_token))
        return self._actions

    # ---- events ----

    def _message_received(self, event: api.MessageReceived) -> None:
        class_info = self.settings.classes[event.message_class]
        pending = PendingMessage(
            event.message,
            class_info,
            event.destination,
            event.due,
            event.key if class_info.ordered else None,
            event.attempts,
            event.may_have_run_at,
        )
        self._pending_by_id[pending.id] = pending
        target = self._destination(pending.destination)
        wait = self.rejection_wait(target)
        if pending.key is not None:
            self._key_queues.setdefault(pending.key, deque()).append(pending)
        if (
            len(self._pending_by_id) > self.settings.max_pending
            or wait
            or not self._may_call(pending, self.now)
        ):
            self._give_up(pending, wait)
            return
        self._sequence += 1
        heappush(self._deadlines, (pending.latest_call, self._sequence, pending))
        if pending.key is None or self._key_queues[pending.key][0] is pending:
            self._enqueue(pending)

    def _attempt_ended(self, event: api.AttemptEnded) -> None:
        pending = self._pending_by_id.get(event.message)
        if pending is None or pending.open_call is None:
            return
        call, pending.open_call = pending.open_call, None
        target, outcome = self._destination(pending.destination), event.outcome
        if outcome not in NOT_RUN_OUTCOMES and pending.may_have_run_at is None:
            pending.may_have_run_at = call.sent_at
        call.open_messages -= 1
        if not call.open_messages:
            self._free_calls += 1
            target.open_calls -= 1
            if event.endpoint in target.endpoints:
                target.endpoints[event.endpoint] -= 1
            self.on_call_ended(target, outcome)
        if event.retry_after:
            target.blocked_until = max(target.blocked_until, self.now + event.retry_after)
        if pending.finished:
            self._forget(pending)
        elif event.final:
            self._finish(pending)
        else:
            delay = (
                self.retry_delay(pending, outcome) if pending.attempts < self.settings.max_attempts else None
            )
            if delay is None or not self._may_call(pending, self.now + delay):
                self._give_up(pending, delay or 0.0)
            else:
                self._sequence += 1
                heappush(self._retries, (self.now + delay, self._sequence, pending))
                heappush(self._deadlines, (pending.latest_call, self._sequence, pending))

    def _endpoints_updated(self, event: api.EndpointsUpdated) -> None:
        if event.scope is api.UpdateScope.FAILED:
            self._subscribed = False
            return
        if event.scope is not api.UpdateScope.DELTA:
            for address in self._destination_by_address.keys() - {
                endpoint.address for endpoint in event.endpoints
            }:
                self._remove_endpoint(address)
        for endpoint in event.endpoints:
            if endpoint.state is not api.EndpointState.READY:
                self._remove_endpoint(endpoint.address)
                continue
            target = self._destination(endpoint.destination)
            target.kind, target.rate = self.settings.kinds[endpoint.kind], endpoint.rate
            target.endpoints.setdefault(endpoint.address, 0)
            self._destination_by_address[endpoint.address] = endpoint.destination

    def _remove_endpoint(self, address: api.Address) -> None:
        if address in self._destination_by_address:
            del self._destinations[self._destination_by_address.pop(address)].endpoints[address]

    def _destination(self, number: int) -> DestinationState:
        found = self._destinations.get(number)
        if found is None:
            found = self._destinations[number] = DestinationState(number)
        return found

    # ---- messages ----

    def _enqueue(self, pending: PendingMessage) -> None:
        if not pending.finished and pending.open_call is None:
            target = self._destination(pending.destination)
            target.queue.append(pending)
            self._queued[target.number] = None

    def _may_call(self, pending: PendingMessage, at: float) -> bool:
        return at <= pending.latest_call

    def _expire(self) -> float:
        while self._deadlines and self._deadlines[0][0] <= self.now:
            pending = heappop(self._deadlines)[2]
            if not pending.finished and pending.open_call is None:
                self._give_up(pending, 0.0)
        return self._deadlines[0][0] if self._deadlines else NEVER

    def _give_up(self, pending: PendingMessage, wait: float) -> None:
        if pending.may_be_refused(self.now):
            retry_after = min(wait, self.settings.max_retry_after)
            sends_retry_after = self.settings.advises_retry_after and retry_after > 0.0
            self._actions.append(api.Refuse(pending.id, retry_after if sends_retry_after else None))
        else:
            self._actions.append(api.Fail(pending.id))
        self._finish(pending)

    def _finish(self, pending: PendingMessage) -> None:
        pending.finished = True
        if pending.open_call is None:
            self._forget(pending)

    def _forget(self, pending: PendingMessage) -> None:
        del self._pending_by_id[pending.id]
        if pending.key is not None:
            key_queue = self._key_queues[pending.key]
            was_first = key_queue[0] is pending
            key_queue.remove(pending)
            if not key_queue:
                del self._key_queues[pending.key]
            elif was_first:
                self._enqueue(key_queue[0])

    # ---- sending ----

    def _dispatch(self) -> float:
        wake_at = NEVER
        for number in list(self._queued):
            target = self._destinations[number]
            while self._free_calls > 0:
                while target.queue and not self._can_send(target.queue[0]):
                    target.queue.popleft()
                if not target.queue:
                    del self._queued[number]
                    break
                call_at = max(target.blocked_until, self.next_call_at(target))
                if call_at > self.now or not target.endpoints:
                    wake_at = min(wake_at, call_at if target.endpoints else NEVER)
                    break
                self._send_call(target)
        return wake_at

    def _can_send(self, pending: PendingMessage) -> bool:
        return not pending.finished and pending.open_call is None and self._may_call(pending, self.now)

    def _send_call(self, target: DestinationState) -> None:
        address = self.choose_endpoint(target)
        max_messages = target.kind.max_batch if target.kind else 1
        call = OpenCall(self.now, 0)
        while target.queue and call.open_messages < max_messages:
            pending = self.take_next(target)
            if not self._can_send(pending):
                continue
            pending.open_call = call
            pending.attempts += 1
            call.open_messages += 1
            self._actions.append(api.Send(pending.id, address, None))
        if call.open_messages:
            self._free_calls -= 1
            target.open_calls += 1
            target.endpoints[address] += 1
            self.on_call_sent(target)


class SingleAttempt(Baseline):
    """Each message gets one attempt."""


BACKOFF_BASE, BACKOFF_MAX = 0.25, 8.0
"""Seconds."""


class Backoff(Baseline):
    """Exponential backoff with full jitter."""

    def retry_delay(self, pending: PendingMessage, outcome: Outcome) -> float | None:
        max_delay = min(BACKOFF_MAX, BACKOFF_BASE * 2.0**pending.attempts)
        return self.random.uniform(0.0, max_delay)


BREAKER_FAILURES, BREAKER_OPEN_DURATION = 5, 5.0
"""Failures in a row that open the breaker, and seconds for which it stays open."""


class HalfOpenBreaker(Backoff):
    """The classic circuit breaker: five failures in a row open it for 5 s, then one trial call decides."""

    def __init__(self, settings: api.Settings, seed: int, oracle: Oracle) -> None:
        super().__init__(settings, seed, oracle)
        self._failures: dict[int, int] = {}
        self._open_until: dict[int, float] = {}

    def next_call_at(self, target: DestinationState) -> float:
        open_until = self._open_until.get(target.number)
        if open_until is None:
            return 0.0
        # Half-open: one call at a time.
        return NEVER if self.now >= open_until and target.open_calls else open_until

    def rejection_wait(self, target: DestinationState) -> float:
        return max(0.0, self._open_until.get(target.number, 0.0) - self.now)

    def on_call_ended(self, target: DestinationState, outcome: Outcome) -> None:
        number = target.number
        if outcome is Outcome.OK:
            self._failures[number] = 0
            self._open_until.pop(number, None)
        elif outcome not in (Outcome.CANCELLED, Outcome.NOT_SENT):
            self._failures[number] = self._failures.get(number, 0) + 1
            if self._failures[number] >= BREAKER_FAILURES:
                self._open_until[number] = self.now + BREAKER_OPEN_DURATION


class TokenBucket(Backoff):
    """Calls spaced at this sender's equal share of the rate in the endpoint list."""

    def __init__(self, settings: api.Settings, seed: int, oracle: Oracle) -> None:
        super().__init__(settings, seed, oracle)
        self._tokens: dict[int, tuple[float, float]] = {}  # tokens, and the time of that count

    def _rate(self, target: DestinationState) -> float:
        return max(target.rate / self.settings.senders, 0.1)

    def next_call_at(self, target: DestinationState) -> float:
        tokens, at = self._tokens.get(target.number, (1.0, self.now))
        tokens = min(1.0, tokens + (self.now - at) * self._rate(target))
        return 0.0 if tokens >= 1.0 - 1e-9 else self.now + (1.0 - tokens) / self._rate(target)

    def on_call_sent(self, target: DestinationState) -> None:
        self._tokens[target.number] = 0.0, self.now


class Aimd(Backoff):
    """A window of concurrent calls: one more for each round of successes, halved by each failure."""

    def __init__(self, settings: api.Settings, seed: int, oracle: Oracle) -> None:
        super().__init__(settings, seed, oracle)
        self._window: dict[int, float] = {}

    def next_call_at(self, target: DestinationState) -> float:
        return 0.0 if target.open_calls < self._window.get(target.number, 4.0) else NEVER

    def on_call_ended(self, target: DestinationState, outcome: Outcome) -> None:
        window = self._window.get(target.number, 4.0)
        if outcome is Outcome.OK:
            window += 1.0 / window
        elif outcome not in (Outcome.CANCELLED, Outcome.NOT_SENT):
            window = max(1.0, window / 2.0)
        self._window[target.number] = window


class OraclePolicy(Backoff):
    """An upper bound: it knows the free capacity of a destination and gives it to the most valuable message.

    It knows neither the future nor the faults that a call meets on its way.
    """

    POLL_INTERVAL = 0.02
    """Seconds between two checks for free capacity."""

    def next_call_at(self, target: DestinationState) -> float:
        return (
            0.0
            if self.oracle.find_endpoint(self.now, target.number) is not None
            else self.now + self.POLL_INTERVAL
        )

    def choose_endpoint(self, target: DestinationState) -> api.Address:
        address = self.oracle.reserve_endpoint(self.now, target.number)
        return address if address in target.endpoints else super().choose_endpoint(target)

    def take_next(self, target: DestinationState) -> PendingMessage:
        def rank(pending: PendingMessage) -> tuple[bool, float]:
            late = (
                self.now + pending.message_class.latency_target * 0.1
                > pending.due - pending.message_class.deadline + pending.message_class.latency_target
            )
            return (
                late,
                -pending.message_class.worth
                if late
                else pending.due - pending.message_class.deadline + pending.message_class.latency_target,
            )

        pending = min(target.queue, key=rank)
        target.queue.remove(pending)
        return pending

    def retry_delay(self, pending: PendingMessage, outcome: Outcome) -> float | None:
        return self.POLL_INTERVAL


def _factory(baseline: type[Baseline]) -> PolicyFactory:
    def make(settings: api.Settings, seed: int, oracle: Oracle) -> Policy:
        return baseline(settings, seed, oracle)

    return make


MODULE_POLICY = "module"
POLICIES: dict[str, PolicyFactory] = {
    MODULE_POLICY: decision_module,
    "one-try": _factory(SingleAttempt),
    "backoff": _factory(Backoff),
    "half-open": _factory(HalfOpenBreaker),
    "token-bucket": _factory(TokenBucket),
    "aimd": _factory(Aimd),
    "seer": _factory(OraclePolicy),
}
"""All policies by name."""
