"""The six rules, held against generated scripts of events. Nothing here models a server."""

from dataclasses import replace

from hypothesis import given, settings
from hypothesis import strategies as st

from irisstack import interface as api
from irisstack.choice import Sender
from tests.support import CLASSES, SETTINGS, address, endpoint

NOT_RUN = {api.Outcome.FULL, api.Outcome.CONNECT_FAILED, api.Outcome.NOT_SENT}
RESTING = {api.Outcome.TIMEOUT, api.Outcome.RESET, api.Outcome.CANCELLED}
ENDPOINTS = {1: (1, 2), 2: (3,)}
ZONES = {address(1): 0, address(2): 1, address(3): 1}
OWNER = {address(number): owner for owner, numbers in ENDPOINTS.items() for number in numbers}

STEP = st.tuples(
    st.sampled_from(
        ("receive", "receive", "end", "end", "wait", "withdraw", "drain", "return", "stale", "note")
    ),
    st.integers(0, 7),
    st.sampled_from(tuple(api.Outcome)),
    st.sampled_from((0.0, 0.004, 0.1, 0.7, 3.0, 11.0)),
    st.sampled_from((None, None, 0.3, 2.5, 10.0)),
)


class Book:
    """Carries out a script against one sender and asserts every rule on every action."""

    def __init__(self, **changes: object) -> None:
        self.settings = replace(SETTINGS, **changes)  # type: ignore[arg-type]
        self.sender = Sender(self.settings, 7)
        self.now, self.next = 100.0, 1
        self.messages: dict[int, api.MessageReceived] = {}
        self.out: dict[int, tuple[api.Address, int, float]] = {}
        self.attempts: dict[int, int] = {}
        self.first_ran: dict[int, float] = {}
        self.ran_at: dict[int, api.Address] = {}
        self.over: set[int] = set()
        self.answered: dict[int, float] = {}
        self.drained: set[api.Address] = set()
        self.told: dict[int, float] = {}
        self.keys: dict[int, list[int]] = {}
        self.rest: dict[int, float] = {}
        self.limits: dict[int, float] = {}
        self.timers: list[tuple[float, int]] = []
        listed = tuple(
            endpoint(number, owner, kind=owner - 1, zone=ZONES[address(number)])
            for owner, numbers in ENDPOINTS.items()
            for number in numbers
        )
        self.turn(api.EndpointsUpdated(api.UpdateScope.CACHED, 1, listed))

    def turn(self, *events: api.Event) -> None:
        waits = dict(self.told)
        for act in self.sender.turn(self.now, events):
            match act:
                case api.Send():
                    self.check_send(act, waits)
                case api.Refuse(number, retry_after):
                    self.final(number)
                    self.check_refusal(number)
                    assert retry_after is None or 0.0 < retry_after <= self.settings.max_retry_after
                case api.Fail(number):
                    self.final(number)
                case api.Cancel(number, attempt):
                    assert self.settings.may_cancel
                    assert 0 <= attempt < self.attempts[number]
                case api.SetTimer(delay, token):
                    assert delay >= 0.0
                    self.timers.append((self.now + delay, token))

    def final(self, number: int) -> None:
        assert number not in self.over, "a second final answer"
        assert self.now <= self.messages[number].due + self.settings.answer_slack
        self.over.add(number)
        self.answered[number] = self.now

    def check_refusal(self, number: int) -> None:
        kind = self.settings.classes[self.messages[number].message_class]
        assert number not in self.out, "refused with an attempt out"
        if kind.effect is api.Effect.UNSAFE:
            assert number not in self.first_ran, "an unsafe message that may have run was refused"
        if kind.effect is api.Effect.KEYED and kind.dedup_scope is api.DedupScope.ZONE:
            assert number not in self.first_ran, "a client may take it to a zone that does not know it"

    def check_send(self, act: api.Send, waits: dict[int, float]) -> None:
        number, message = act.message, self.messages[act.message]
        kind, owner = self.settings.classes[message.message_class], message.destination
        assert number not in self.over, "sent after its end"
        assert number not in self.out, "two attempts out together"
        assert OWNER[act.endpoint] == owner
        assert act.endpoint not in self.drained, "sent to a drained endpoint"
        assert self.now >= waits.get(owner, 0.0), "sent inside a told wait"
        if number in self.first_ran:
            assert kind.effect is not api.Effect.UNSAFE
            if kind.effect is api.Effect.KEYED:
                assert self.now <= self.first_ran[number] + kind.dedup_window
                if kind.dedup_scope is api.DedupScope.ZONE:
                    assert ZONES[act.endpoint] == ZONES[self.ran_at[number]], "repeated in another zone"
        assert self.attempts.get(number, 0) < self.settings.max_attempts
        if kind.ordered and message.key is not None:
            line = self.keys[message.key]
            for earlier in line[: line.index(number)]:
                assert earlier in self.over, "out of turn"
                assert earlier not in self.out, "an earlier message's attempt is still out"
                assert self.now >= self.rest.get(earlier, 0.0), "the key has not rested"
        self.out[number] = (act.endpoint, self.attempts.get(number, 0), self.now)
        self.attempts[number] = self.attempts.get(number, 0) + 1
        self.limits[number] = min(message.due, act.give_up_at or message.due)
        assert len({(where, at) for where, _, at in self.out.values()}) <= self.settings.max_calls

    def end(self, number: int, outcome: api.Outcome, wait: float | None) -> None:
        where, attempt, sent = self.out.pop(number)
        if outcome not in NOT_RUN:
            self.first_ran.setdefault(number, sent)
            self.ran_at.setdefault(number, where)
        if outcome in RESTING:
            self.rest[number] = self.now + self.settings.order_pause
        told = wait if outcome is api.Outcome.FULL else None
        if told:
            owner = OWNER[where]
            self.told[owner] = max(self.told.get(owner, 0.0), self.now + told)
        if outcome is api.Outcome.OK:
            self.over.add(number)
        over = number in self.over
        self.turn(api.AttemptEnded(number, where, attempt, self.now - sent, over, outcome, told))

    def pass_time(self, seconds: float) -> None:
        """Let time pass: time-outs and timers come when they are due, in the order that the wire gives."""
        until = self.now + seconds
        while True:
            due = [(self.limits[n], 0, n) for n in self.out] + [(at, 1, token) for at, token in self.timers]
            due = [entry for entry in due if entry[0] <= until]
            if not due:
                break
            at, sort, which = min(due)
            self.now = max(self.now, at)
            if sort == 0:
                self.end(which, api.Outcome.TIMEOUT, None)
            else:
                self.timers.remove((at, which))
                self.now += 1e-3
                self.turn(api.TimerFired(which))
        self.now = max(self.now, until)

    def play(self, steps: list[tuple[str, int, api.Outcome, float, float | None]]) -> None:
        for what, pick, outcome, seconds, wait in steps:
            self.pass_time(seconds)
            live = sorted(set(self.messages) - self.over)
            match what:
                case "receive":
                    number, index = self.next, pick % 4
                    self.next += 1
                    message = api.MessageReceived(
                        number,
                        index,
                        1 + pick // 4,
                        self.now + CLASSES[index].deadline / (1 + pick // 4),
                        key=1 + number % 2 if CLASSES[index].ordered else None,
                    )
                    self.messages[number] = message
                    if message.key is not None:
                        self.keys.setdefault(message.key, []).append(number)
                    self.turn(message)
                case "end" if self.out:
                    self.end(sorted(self.out)[pick % len(self.out)], outcome, wait)
                case "withdraw" if live:
                    self.over.add(live[pick % len(live)])
                    self.turn(api.MessageWithdrawn(live[pick % len(live)]))
                case "stale":
                    self.turn(
                        api.MessageWithdrawn(10_000),
                        api.TimerFired(10_000),
                        api.AttemptEnded(10_000, address(1), 0, 0.1, False, outcome),
                    )
                case "drain" | "return":
                    where = sorted(OWNER)[pick % len(OWNER)]
                    draining = what == "drain"
                    (self.drained.add if draining else self.drained.discard)(where)
                    state = api.EndpointState.DRAINING if draining else api.EndpointState.READY
                    owner = OWNER[where]
                    line = endpoint(where[0][3], owner, owner - 1, state=state, zone=ZONES[where])
                    self.turn(api.EndpointsUpdated(api.UpdateScope.DELTA, 2, (line,)))
                case "note":
                    key = (b"\x01", b"\x02", address(3)[0] + address(3)[1].to_bytes(2), b"")[pick % 4]
                    self.turn(api.PeerMessage(1, (b"F", b"S", b"C", b"?")[pick // 2] + key))
        self.pass_time(25.0)
        for number, message in self.messages.items():
            assert number in self.over, f"message {number} of {message} was never answered"


@settings(max_examples=250, derandomize=True, deadline=None)
@given(st.lists(STEP, max_size=60))
def test_the_rules_hold_on_any_script(steps: list[tuple[str, int, api.Outcome, float, float | None]]) -> None:
    Book(order_pause=0.4).play(steps)


@settings(max_examples=150, derandomize=True, deadline=None)
@given(st.lists(STEP, max_size=60))
def test_they_hold_with_few_slots_little_room_and_no_cancelling(
    steps: list[tuple[str, int, api.Outcome, float, float | None]],
) -> None:
    Book(order_pause=0.0, max_calls=2, max_pending=4, may_cancel=False, max_attempts=2).play(steps)


@settings(max_examples=100, derandomize=True, deadline=None)
@given(st.lists(STEP, max_size=60))
def test_they_hold_with_nothing_told_of_rates(
    steps: list[tuple[str, int, api.Outcome, float, float | None]],
) -> None:
    Book(listed_rates=False, report_fields=(), senders=1, advises_retry_after=False, max_calls=4).play(steps)


@settings(max_examples=250, derandomize=True, deadline=None)
@given(st.lists(STEP, max_size=60))
def test_they_hold_where_a_zone_drops_repeats_routes_are_apart_and_senders_tell_each_other(
    steps: list[tuple[str, int, api.Outcome, float, float | None]],
) -> None:
    zoned = tuple(replace(kind, dedup_scope=api.DedupScope.ZONE) for kind in CLASSES)
    kinds = (SETTINGS.kinds[0], replace(SETTINGS.kinds[1], separate_routes=True))
    Book(
        classes=zoned,
        kinds=kinds,
        zones=("a", "b"),
        cross_zone_price=0.01,
        may_gossip=True,
        order_pause=0.2,
        max_attempts=9,
    ).play(steps)


@settings(max_examples=50, derandomize=True, deadline=None)
@given(st.lists(STEP, max_size=40))
def test_the_same_events_give_the_same_actions(
    steps: list[tuple[str, int, api.Outcome, float, float | None]],
) -> None:
    first, second = Book(), Book()
    first.play(steps)
    second.play(steps)
    assert first.attempts == second.attempts
    assert first.answered == second.answered
