"""Other policies to hold the decision module against, in the laboratory only.

All of them keep drains, told waits, order, slots, the holding room, and never repeat what may have run where
that could double its effect. None of them paces a destination's return. They differ in when a message goes
again and in what keeps them from calling.
"""

from collections import deque
from collections.abc import Collection
from dataclasses import dataclass, field
from heapq import heappop, heappush
from random import Random

from irisstack import interface as api
from irisstack.interface import Effect, Outcome
from irisstack.lab.policy import Oracle, Policy, PolicyFactory, decision_module

NOT_RUN = frozenset((Outcome.FULL, Outcome.CONNECT_FAILED, Outcome.NOT_SENT))
NEVER = float("inf")
LEAST_TIME = 0.1
"""Seconds that a message must have left to be worth a call."""


@dataclass(slots=True, eq=False)
class Held:
    """A message that is owed its end."""

    id: int
    kind: api.MessageClass
    destination: int
    due: float
    key: int | None
    attempts: int
    maybe_ran: float | None
    out: "Group | None" = None
    over: bool = False

    @property
    def latest(self) -> float:
        """Until when a call is worth while and, like a refusal, cannot double its effect."""
        if self.maybe_ran is None or self.kind.effect is Effect.SAFE:
            return self.due - LEAST_TIME
        if self.kind.effect is Effect.UNSAFE or self.kind.dedup_scope is not api.DedupScope.DESTINATION:
            return -NEVER
        return min(self.due, self.maybe_ran + self.kind.dedup_window) - LEAST_TIME

    def may_be_refused(self, now: float) -> bool:
        """Whether handing it in again is harmless."""
        if self.maybe_ran is None or self.kind.effect is Effect.SAFE:
            return True
        return (
            self.kind.effect is Effect.KEYED
            and self.kind.dedup_scope is api.DedupScope.DESTINATION
            and now < self.maybe_ran + self.kind.dedup_window
        )


@dataclass(slots=True, eq=False)
class Group:
    """The messages of one call."""

    sent: float
    left: int


@dataclass(slots=True, eq=False)
class Partner:
    """One destination as a policy knows it."""

    number: int
    kind: api.DestinationKind | None = None
    rate: float = 0.0
    endpoints: dict[api.Address, int] = field(default_factory=dict)  # calls out
    line: deque[Held] = field(default_factory=deque)
    blocked_until: float = 0.0
    calls: int = 0


class Courier:
    """What all of them share; a subclass says when to call and when to try again."""

    def __init__(self, settings: api.Settings, seed: int, truth: Oracle) -> None:
        self.settings = settings
        self.random = Random(seed)
        self.truth = truth
        self.now = 0.0
        self._out: list[api.Action] = []
        self._held: dict[int, Held] = {}
        self._partners: dict[int, Partner] = {}
        self._where: dict[api.Address, int] = {}
        self._keys: dict[int, deque[Held]] = {}
        self._later: list[tuple[float, int, Held]] = []
        self._dues: list[tuple[float, int, Held]] = []
        self._waiting: dict[int, None] = {}
        self._slots = settings.max_calls
        self._sequence = self._timers = 0
        self._wake = NEVER
        self._asked = False

    # ---- for subclasses ----

    def gate(self, partner: Partner) -> float:
        """The earliest time of the next call there."""
        return 0.0

    def sent(self, partner: Partner) -> None:
        """A call is leaving."""

    def ended(self, partner: Partner, outcome: Outcome) -> None:
        """A call has ended."""

    def again(self, held: Held, outcome: Outcome) -> float | None:
        """Seconds until the next attempt, or `None` to give the message up."""
        return None

    def choose(self, partner: Partner) -> api.Address:
        """The endpoint of the next call: the one with the fewest calls out."""
        return min(partner.endpoints, key=lambda address: (partner.endpoints[address], self.random.random()))

    def pick(self, partner: Partner) -> Held:
        """Take the next message out of the line: the one that came first."""
        return partner.line.popleft()

    def refuses_at_once(self, partner: Partner) -> float:
        """Seconds after which to come again if messages are turned away now, else 0.0."""
        return 0.0

    # ---- the interface ----

    def turn(self, now: float, events: Collection[api.Event]) -> list[api.Action]:
        self.now, self._out = now, []
        for event in events:
            match event:
                case api.AttemptEnded():
                    self._attempt_ended(event)
                case api.MessageReceived():
                    self._received(event)
                case api.EndpointsUpdated():
                    self._updated(event)
                case api.MessageWithdrawn():
                    if event.message in self._held:
                        self._close(self._held[event.message])
                case api.TimerFired() if event.token == self._timers:
                    self._wake = NEVER
        if self.settings.discovery_on_request and not self._asked:
            self._asked = True
            self._out.append(api.Subscribe(True))
        wake = self._expire()
        while self._later and self._later[0][0] <= now:
            self._queue(heappop(self._later)[2])
        if self._later:
            wake = min(wake, self._later[0][0])
        wake = min(wake, self._dispatch())
        if wake < self._wake:
            self._wake = wake
            self._timers += 1
            self._out.append(api.SetTimer(max(0.001, min(wake - now, 3600.0)), self._timers))
        return self._out

    # ---- events ----

    def _received(self, event: api.MessageReceived) -> None:
        kind = self.settings.classes[event.message_class]
        held = Held(
            event.message,
            kind,
            event.destination,
            event.due,
            event.key if kind.ordered else None,
            event.attempts,
            event.may_have_run_at,
        )
        self._held[held.id] = held
        partner = self._partner(held.destination)
        wait = self.refuses_at_once(partner)
        if held.key is not None:
            self._keys.setdefault(held.key, deque()).append(held)
        if len(self._held) > self.settings.max_pending or wait or not self._fits(held, self.now):
            self._give_up(held, wait)
            return
        self._sequence += 1
        heappush(self._dues, (held.latest, self._sequence, held))
        if held.key is None or self._keys[held.key][0] is held:
            self._queue(held)

    def _attempt_ended(self, event: api.AttemptEnded) -> None:
        held = self._held.get(event.message)
        if held is None or held.out is None:
            return
        group, held.out = held.out, None
        partner, outcome = self._partner(held.destination), event.outcome
        if outcome not in NOT_RUN and held.maybe_ran is None:
            held.maybe_ran = group.sent
        group.left -= 1
        if not group.left:
            self._slots += 1
            partner.calls -= 1
            if event.endpoint in partner.endpoints:
                partner.endpoints[event.endpoint] -= 1
            self.ended(partner, outcome)
        if event.retry_after:
            partner.blocked_until = max(partner.blocked_until, self.now + event.retry_after)
        if held.over:
            self._forget(held)
        elif event.final:
            self._close(held)
        else:
            pause = self.again(held, outcome) if held.attempts < self.settings.max_attempts else None
            if pause is None or not self._fits(held, self.now + pause):
                self._give_up(held, pause or 0.0)
            else:
                self._sequence += 1
                heappush(self._later, (self.now + pause, self._sequence, held))
                heappush(self._dues, (held.latest, self._sequence, held))

    def _updated(self, event: api.EndpointsUpdated) -> None:
        if event.scope is api.UpdateScope.FAILED:
            self._asked = False
            return
        if event.scope is not api.UpdateScope.DELTA:
            for address in self._where.keys() - {endpoint.address for endpoint in event.endpoints}:
                self._remove(address)
        for endpoint in event.endpoints:
            if endpoint.state is not api.EndpointState.READY:
                self._remove(endpoint.address)
                continue
            partner = self._partner(endpoint.destination)
            partner.kind, partner.rate = self.settings.kinds[endpoint.kind], endpoint.rate
            partner.endpoints.setdefault(endpoint.address, 0)
            self._where[endpoint.address] = endpoint.destination

    def _remove(self, address: api.Address) -> None:
        if address in self._where:
            del self._partners[self._where.pop(address)].endpoints[address]

    def _partner(self, number: int) -> Partner:
        found = self._partners.get(number)
        if found is None:
            found = self._partners[number] = Partner(number)
        return found

    # ---- messages ----

    def _queue(self, held: Held) -> None:
        if not held.over and held.out is None:
            partner = self._partner(held.destination)
            partner.line.append(held)
            self._waiting[partner.number] = None

    def _fits(self, held: Held, at: float) -> bool:
        return at <= held.latest

    def _expire(self) -> float:
        while self._dues and self._dues[0][0] <= self.now:
            held = heappop(self._dues)[2]
            if not held.over and held.out is None:
                self._give_up(held, 0.0)
        return self._dues[0][0] if self._dues else NEVER

    def _give_up(self, held: Held, wait: float) -> None:
        if held.may_be_refused(self.now):
            advice = min(wait, self.settings.max_retry_after)
            tells = self.settings.advises_retry_after and advice > 0.0
            self._out.append(api.Refuse(held.id, advice if tells else None))
        else:
            self._out.append(api.Fail(held.id))
        self._close(held)

    def _close(self, held: Held) -> None:
        held.over = True
        if held.out is None:
            self._forget(held)

    def _forget(self, held: Held) -> None:
        del self._held[held.id]
        if held.key is not None:
            line = self._keys[held.key]
            was_first = line[0] is held
            line.remove(held)
            if not line:
                del self._keys[held.key]
            elif was_first:
                self._queue(line[0])

    # ---- sending ----

    def _dispatch(self) -> float:
        wake = NEVER
        for number in list(self._waiting):
            partner = self._partners[number]
            while self._slots > 0:
                while partner.line and not self._ready(partner.line[0]):
                    partner.line.popleft()
                if not partner.line:
                    del self._waiting[number]
                    break
                gate = max(partner.blocked_until, self.gate(partner))
                if gate > self.now or not partner.endpoints:
                    wake = min(wake, gate if partner.endpoints else NEVER)
                    break
                self._send(partner)
        return wake

    def _ready(self, held: Held) -> bool:
        return not held.over and held.out is None and self._fits(held, self.now)

    def _send(self, partner: Partner) -> None:
        address = self.choose(partner)
        most = partner.kind.max_batch if partner.kind else 1
        group = Group(self.now, 0)
        while partner.line and group.left < most:
            held = self.pick(partner)
            if not self._ready(held):
                continue
            held.out = group
            held.attempts += 1
            group.left += 1
            self._out.append(api.Send(held.id, address, None))
        if group.left:
            self._slots -= 1
            partner.calls += 1
            partner.endpoints[address] += 1
            self.sent(partner)


class OneTry(Courier):
    """Each message is tried once."""


BACKOFF_FIRST, BACKOFF_MOST = 0.25, 8.0


class Backoff(Courier):
    """Tried again after exponential backoff with full jitter."""

    def again(self, held: Held, outcome: Outcome) -> float | None:
        most = min(BACKOFF_MOST, BACKOFF_FIRST * 2.0**held.attempts)
        return self.random.uniform(0.0, most)


BREAKER_FAILURES, BREAKER_OPEN = 5, 5.0


class HalfOpenBreaker(Backoff):
    """The textbook's breaker: five failures in a row open it for 5 s, then one trial call decides."""

    def __init__(self, settings: api.Settings, seed: int, truth: Oracle) -> None:
        super().__init__(settings, seed, truth)
        self._failures: dict[int, int] = {}
        self._open_until: dict[int, float] = {}

    def gate(self, partner: Partner) -> float:
        until = self._open_until.get(partner.number)
        if until is None:
            return 0.0
        return NEVER if self.now >= until and partner.calls else until  # half open: one call at a time

    def refuses_at_once(self, partner: Partner) -> float:
        return max(0.0, self._open_until.get(partner.number, 0.0) - self.now)

    def ended(self, partner: Partner, outcome: Outcome) -> None:
        number = partner.number
        if outcome is Outcome.OK:
            self._failures[number] = 0
            self._open_until.pop(number, None)
        elif outcome not in (Outcome.CANCELLED, Outcome.NOT_SENT):
            self._failures[number] = self._failures.get(number, 0) + 1
            if self._failures[number] >= BREAKER_FAILURES:
                self._open_until[number] = self.now + BREAKER_OPEN


class TokenBucket(Backoff):
    """Calls spaced by this sender's even part of the rate that the list tells."""

    def __init__(self, settings: api.Settings, seed: int, truth: Oracle) -> None:
        super().__init__(settings, seed, truth)
        self._tokens: dict[int, tuple[float, float]] = {}

    def _rate(self, partner: Partner) -> float:
        return max(partner.rate / self.settings.senders, 0.1)

    def gate(self, partner: Partner) -> float:
        tokens, at = self._tokens.get(partner.number, (1.0, self.now))
        tokens = min(1.0, tokens + (self.now - at) * self._rate(partner))
        return 0.0 if tokens >= 1.0 - 1e-9 else self.now + (1.0 - tokens) / self._rate(partner)

    def sent(self, partner: Partner) -> None:
        self._tokens[partner.number] = 0.0, self.now


class Aimd(Backoff):
    """Calls out at once to each destination: one more for each round that succeeds, half for each failure."""

    def __init__(self, settings: api.Settings, seed: int, truth: Oracle) -> None:
        super().__init__(settings, seed, truth)
        self._window: dict[int, float] = {}

    def gate(self, partner: Partner) -> float:
        return 0.0 if partner.calls < self._window.get(partner.number, 4.0) else NEVER

    def ended(self, partner: Partner, outcome: Outcome) -> None:
        window = self._window.get(partner.number, 4.0)
        if outcome is Outcome.OK:
            window += 1.0 / window
        elif outcome not in (Outcome.CANCELLED, Outcome.NOT_SENT):
            window = max(1.0, window / 2.0)
        self._window[partner.number] = window


class Seer(Backoff):
    """An upper bound: it sees what room a destination has just now, and takes it for the message worth most.

    It does not see the future, nor what a call will meet on its way.
    """

    LOOK = 0.02

    def gate(self, partner: Partner) -> float:
        return 0.0 if self.truth.find_endpoint(self.now, partner.number) is not None else self.now + self.LOOK

    def choose(self, partner: Partner) -> api.Address:
        address = self.truth.reserve_endpoint(self.now, partner.number)
        return address if address in partner.endpoints else super().choose(partner)

    def pick(self, partner: Partner) -> Held:
        def rank(held: Held) -> tuple[bool, float]:
            late = (
                self.now + held.kind.latency_target * 0.1
                > held.due - held.kind.deadline + held.kind.latency_target
            )
            return (
                late,
                -held.kind.worth if late else held.due - held.kind.deadline + held.kind.latency_target,
            )

        held = min(partner.line, key=rank)
        partner.line.remove(held)
        return held

    def again(self, held: Held, outcome: Outcome) -> float | None:
        return self.LOOK


def _maker(kind: type[Courier]) -> PolicyFactory:
    def make(settings: api.Settings, seed: int, truth: Oracle) -> Policy:
        return kind(settings, seed, truth)

    return make


MODULE_POLICY = "module"
POLICIES: dict[str, PolicyFactory] = {
    MODULE_POLICY: decision_module,
    "one-try": _maker(OneTry),
    "backoff": _maker(Backoff),
    "half-open": _maker(HalfOpenBreaker),
    "token-bucket": _maker(TokenBucket),
    "aimd": _maker(Aimd),
    "seer": _maker(Seer),
}
"""Every policy by its name."""
