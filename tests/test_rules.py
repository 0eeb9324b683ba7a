"""Property-based tests of the six rules of the decisions, on generated scripts of events.

They do not model endpoints.
"""

from dataclasses import replace

from hypothesis import given, settings
from hypothesis import strategies as st

from irisstack import interface as api
from irisstack.choice import Sender
from tests.support import CLASSES, SETTINGS, address, endpoint

NOT_RUN_OUTCOMES = {api.Outcome.FULL, api.Outcome.CONNECT_FAILED, api.Outcome.NOT_SENT}
MAY_STILL_RUN_OUTCOMES = {api.Outcome.TIMEOUT, api.Outcome.RESET, api.Outcome.CANCELLED}
ENDPOINTS_BY_DESTINATION = {1: (1, 2), 2: (3,)}
ZONES = {address(1): 0, address(2): 1, address(3): 1}
DESTINATION_BY_ADDRESS = {
    address(number): destination
    for destination, numbers in ENDPOINTS_BY_DESTINATION.items()
    for number in numbers
}

STEP = st.tuples(
    st.sampled_from(
        ("receive", "receive", "end", "end", "wait", "withdraw", "drain", "undrain", "stale", "gossip")
    ),
    st.integers(0, 7),
    st.sampled_from(tuple(api.Outcome)),
    st.sampled_from((0.0, 0.004, 0.1, 0.7, 3.0, 11.0)),
    st.sampled_from((None, None, 0.3, 2.5, 10.0)),
)


class RuleChecker:
    """Runs a script of events against one sender and checks the rules on each action."""

    def __init__(self, **changes: object) -> None:
        self.settings = replace(SETTINGS, **changes)  # type: ignore[arg-type]
        self.sender = Sender(self.settings, 7)
        self.now, self.next_message = 100.0, 1
        self.messages: dict[int, api.MessageReceived] = {}
        self.in_flight: dict[int, tuple[api.Address, int, float]] = {}
        self.attempts: dict[int, int] = {}
        self.may_have_run_at: dict[int, float] = {}
        self.may_have_run_endpoint: dict[int, api.Address] = {}
        self.finished: set[int] = set()
        self.answered_at: dict[int, float] = {}
        self.draining_endpoints: set[api.Address] = set()
        self.retry_after_until: dict[int, float] = {}
        self.messages_by_key: dict[int, list[int]] = {}
        self.order_pause_until: dict[int, float] = {}
        self.timeout_at: dict[int, float] = {}
        self.timers: list[tuple[float, int]] = []
        endpoints = tuple(
            endpoint(number, destination, kind=destination - 1, zone=ZONES[address(number)])
            for destination, numbers in ENDPOINTS_BY_DESTINATION.items()
            for number in numbers
        )
        self.turn(api.EndpointsUpdated(api.UpdateScope.CACHED, 1, endpoints))

    def turn(self, *events: api.Event) -> None:
        retry_after_until = dict(self.retry_after_until)
        for action in self.sender.turn(self.now, events):
            match action:
                case api.Send():
                    self.check_send(action, retry_after_until)
                case api.Refuse(number, retry_after):
                    self.check_final_answer(number)
                    self.check_refusal(number)
                    assert retry_after is None or 0.0 < retry_after <= self.settings.max_retry_after
                case api.Fail(number):
                    self.check_final_answer(number)
                case api.Cancel(number, attempt):
                    assert self.settings.may_cancel
                    assert 0 <= attempt < self.attempts[number]
                case api.SetTimer(delay, token):
                    assert delay >= 0.0
                    self.timers.append((self.now + delay, token))

    def check_final_answer(self, number: int) -> None:
        assert number not in self.finished, "a second final answer"
        assert self.now <= self.messages[number].due + self.settings.answer_slack
        self.finished.add(number)
        self.answered_at[number] = self.now

    def check_refusal(self, number: int) -> None:
        message = self.messages[number]
        message_class = self.settings.classes[message.message_class]
        assert number not in self.in_flight, "refused with an attempt in flight"
        if message_class.effect is api.Effect.UNSAFE:
            assert number not in self.may_have_run_at, "an unsafe message that may have run was refused"
        if message_class.effect is api.Effect.KEYED and message_class.dedup_scope is api.DedupScope.ZONE:
            assert number not in self.may_have_run_at, (
                "its client may submit it in a zone that does not know it"
            )
        if message_class.effect is api.Effect.KEYED and number in self.may_have_run_at:
            assert message.due <= self.may_have_run_at[number] + message_class.dedup_window, (
                "its client may submit it again, and it may be sent until its deadline"
            )

    def check_send(self, action: api.Send, retry_after_until: dict[int, float]) -> None:
        number, message = action.message, self.messages[action.message]
        message_class, destination = self.settings.classes[message.message_class], message.destination
        assert number not in self.finished, "sent after its final answer"
        assert number not in self.in_flight, "two attempts in flight together"
        assert DESTINATION_BY_ADDRESS[action.endpoint] == destination
        assert action.endpoint not in self.draining_endpoints, "sent to a draining endpoint"
        assert self.now >= retry_after_until.get(destination, 0.0), "sent before a retry-after has passed"
        if number in self.may_have_run_at:
            assert message_class.effect is not api.Effect.UNSAFE
            if message_class.effect is api.Effect.KEYED:
                assert self.now <= self.may_have_run_at[number] + message_class.dedup_window
                if message_class.dedup_scope is api.DedupScope.ZONE:
                    assert ZONES[action.endpoint] == ZONES[self.may_have_run_endpoint[number]], (
                        "repeated in another zone"
                    )
        assert self.attempts.get(number, 0) < self.settings.max_attempts
        if message_class.ordered and message.key is not None:
            key_queue = self.messages_by_key[message.key]
            for earlier in key_queue[: key_queue.index(number)]:
                assert earlier in self.finished, "sent before an earlier message of its key has finished"
                assert earlier not in self.in_flight, "an earlier message's attempt is still in flight"
                assert self.now >= self.order_pause_until.get(earlier, 0.0), (
                    "sent within the order pause of its key"
                )
        self.in_flight[number] = (action.endpoint, self.attempts.get(number, 0), self.now)
        self.attempts[number] = self.attempts.get(number, 0) + 1
        self.timeout_at[number] = min(message.due, action.give_up_at or message.due)
        assert (
            len({(endpoint_address, at) for endpoint_address, _, at in self.in_flight.values()})
            <= self.settings.max_calls
        )

    def end_attempt(self, number: int, outcome: api.Outcome, retry_after_choice: float | None) -> None:
        endpoint_address, attempt, sent_at = self.in_flight.pop(number)
        if outcome not in NOT_RUN_OUTCOMES:
            self.may_have_run_at.setdefault(number, sent_at)
            self.may_have_run_endpoint.setdefault(number, endpoint_address)
        if outcome in MAY_STILL_RUN_OUTCOMES:
            self.order_pause_until[number] = self.now + self.settings.order_pause
        retry_after = retry_after_choice if outcome is api.Outcome.FULL else None
        if retry_after:
            destination = DESTINATION_BY_ADDRESS[endpoint_address]
            self.retry_after_until[destination] = max(
                self.retry_after_until.get(destination, 0.0), self.now + retry_after
            )
        if outcome is api.Outcome.OK:
            self.finished.add(number)
        final = number in self.finished
        self.turn(
            api.AttemptEnded(
                number, endpoint_address, attempt, self.now - sent_at, final, outcome, retry_after
            )
        )

    def pass_time(self, seconds: float) -> None:
        """Advance the clock. Timeouts and timers occur when they are due, in the order of a real node."""
        until = self.now + seconds
        while True:
            due = [(self.timeout_at[n], 0, n) for n in self.in_flight] + [
                (at, 1, token) for at, token in self.timers
            ]
            due = [entry for entry in due if entry[0] <= until]
            if not due:
                break
            at, priority, identifier = min(due)
            self.now = max(self.now, at)
            if priority == 0:
                self.end_attempt(identifier, api.Outcome.TIMEOUT, None)
            else:
                self.timers.remove((at, identifier))
                self.now += 1e-3
                self.turn(api.TimerFired(identifier))
        self.now = max(self.now, until)

    def run(self, steps: list[tuple[str, int, api.Outcome, float, float | None]]) -> None:
        for step, pick, outcome, seconds, retry_after in steps:
            self.pass_time(seconds)
            pending = sorted(set(self.messages) - self.finished)
            match step:
                case "receive":
                    number, class_index = self.next_message, pick % 4
                    self.next_message += 1
                    message = api.MessageReceived(
                        number,
                        class_index,
                        1 + pick // 4,
                        self.now + CLASSES[class_index].deadline / (1 + pick // 4),
                        key=1 + number % 2 if CLASSES[class_index].ordered else None,
                    )
                    self.messages[number] = message
                    if message.key is not None:
                        self.messages_by_key.setdefault(message.key, []).append(number)
                    self.turn(message)
                case "end" if self.in_flight:
                    self.end_attempt(sorted(self.in_flight)[pick % len(self.in_flight)], outcome, retry_after)
                case "withdraw" if pending:
                    self.finished.add(pending[pick % len(pending)])
                    self.turn(api.MessageWithdrawn(pending[pick % len(pending)]))
                case "stale":
                    self.turn(
                        api.MessageWithdrawn(10_000),
                        api.TimerFired(10_000),
                        api.AttemptEnded(10_000, address(1), 0, 0.1, False, outcome),
                    )
                case "drain" | "undrain":
                    endpoint_address = sorted(DESTINATION_BY_ADDRESS)[pick % len(DESTINATION_BY_ADDRESS)]
                    draining = step == "drain"
                    (self.draining_endpoints.add if draining else self.draining_endpoints.discard)(
                        endpoint_address
                    )
                    state = api.EndpointState.DRAINING if draining else api.EndpointState.READY
                    destination = DESTINATION_BY_ADDRESS[endpoint_address]
                    updated_endpoint = endpoint(
                        endpoint_address[0][3],
                        destination,
                        destination - 1,
                        state=state,
                        zone=ZONES[endpoint_address],
                    )
                    self.turn(api.EndpointsUpdated(api.UpdateScope.DELTA, 2, (updated_endpoint,)))
                case "gossip":
                    key = (b"\x01", b"\x02", address(3)[0] + address(3)[1].to_bytes(2), b"")[pick % 4]
                    self.turn(api.PeerMessage(1, (b"F", b"S", b"C", b"?")[pick // 2] + key))
        self.pass_time(25.0)
        for number, message in self.messages.items():
            assert number in self.finished, f"message {number} of {message} was never answered"


@settings(max_examples=250, derandomize=True, deadline=None)
@given(st.lists(STEP, max_size=60))
def test_the_rules_hold_on_any_script(steps: list[tuple[str, int, api.Outcome, float, float | None]]) -> None:
    RuleChecker(order_pause=0.4).run(steps)


@settings(max_examples=150, derandomize=True, deadline=None)
@given(st.lists(STEP, max_size=60))
def test_the_rules_hold_with_few_slots_few_pending_messages_and_no_cancelling(
    steps: list[tuple[str, int, api.Outcome, float, float | None]],
) -> None:
    RuleChecker(order_pause=0.0, max_calls=2, max_pending=4, may_cancel=False, max_attempts=2).run(steps)


@settings(max_examples=100, derandomize=True, deadline=None)
@given(st.lists(STEP, max_size=60))
def test_the_rules_hold_with_no_known_rates(
    steps: list[tuple[str, int, api.Outcome, float, float | None]],
) -> None:
    RuleChecker(listed_rates=False, report_fields=(), senders=1, advises_retry_after=False, max_calls=4).run(
        steps
    )


@settings(max_examples=250, derandomize=True, deadline=None)
@given(st.lists(STEP, max_size=60))
def test_the_rules_hold_with_zone_scoped_dedup_separate_routes_and_gossip(
    steps: list[tuple[str, int, api.Outcome, float, float | None]],
) -> None:
    zone_scoped = tuple(replace(kind, dedup_scope=api.DedupScope.ZONE) for kind in CLASSES)
    kinds = (SETTINGS.kinds[0], replace(SETTINGS.kinds[1], separate_routes=True))
    RuleChecker(
        classes=zone_scoped,
        kinds=kinds,
        zones=("a", "b"),
        cross_zone_price=0.01,
        may_gossip=True,
        order_pause=0.2,
        max_attempts=9,
    ).run(steps)


@settings(max_examples=50, derandomize=True, deadline=None)
@given(st.lists(STEP, max_size=40))
def test_the_same_events_give_the_same_actions(
    steps: list[tuple[str, int, api.Outcome, float, float | None]],
) -> None:
    first, second = RuleChecker(), RuleChecker()
    first.run(steps)
    second.run(steps)
    assert first.attempts == second.attempts
    assert first.answered_at == second.answered_at
