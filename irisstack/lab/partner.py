"""Model of a partner's system: its endpoints execute, queue, refuse, drop and fail calls.

The model uses no sockets and no clock. Each method takes the current time, and the model acts through its
`Host`: an event queue in virtual time, or greenlets on real sockets.
"""

from collections import deque
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from typing import Literal, Protocol

from irisstack.lab.limits import Limiter, make_limiter
from irisstack.lab.sampling import RandomStreams
from irisstack.lab.scenario import Cold, Kind, MessageClass
from irisstack.lab.world import DestinationSpec, EndpointSpec, World

FAST_FAILURE_DELAY = 0.01
"""Seconds until a call that fails fast is answered."""
MIN_OVERLOAD_CALLS = 4.0
"""Excess calls that any cold destination tolerates: one burst must not take a small destination down."""
PAUSE_END_TOLERANCE = 1e-6
"""Seconds: a pause with less time than this remaining counts as over."""
KEY_CLEANUP_INTERVAL = 4096
"""Idempotency keys looked up between two removals of expired ones."""
REPORT_INTERVAL = 0.2
"""Seconds for which a load report is reused before it is computed again."""

Status = Literal["ok", "error", "refused"]


@dataclass(slots=True, frozen=True)
class Item:
    """One message of a call, as the partner sees it."""

    message: int  # the id of this submission
    chain: int  # the same for all submissions of one message
    message_class: int
    work: float  # as a multiple of the class's mean


@dataclass(slots=True, eq=False)
class PartnerCall:
    """One call that has reached an endpoint."""

    node: int
    items: Sequence[Item]
    new_connection: bool  # the first call on its connection
    abandoned: bool = False  # its sender no longer waits for the answer
    ended: bool = False


@dataclass(slots=True, frozen=True)
class Answer:
    """An endpoint's answer; `retry_after` in seconds, 0 if the answer carries none."""

    status: Status
    retry_after: float = 0.0
    report: tuple[float, ...] = ()


class Host(Protocol):
    """Carries out the actions of the model."""

    def call_later(self, delay: float, callback: Callable[..., None], *arguments: object) -> None:
        """Call `callback(now, *arguments)` after `delay` seconds."""

    def send_answer(self, now: float, endpoint: "Endpoint", call: PartnerCall, answer: Answer) -> None:
        """Send an answer to a call."""

    def send_malformed_answer(self, now: float, endpoint: "Endpoint", call: PartnerCall) -> None:
        """Send bytes that are not a valid answer, and close the connection."""

    def drop_connection(self, now: float, endpoint: "Endpoint", call: PartnerCall) -> None:
        """Close the call's connection without an answer."""

    def message_executed(self, now: float, endpoint: "Endpoint", item: Item, effect: bool) -> None:
        """An endpoint has executed a message; `effect` is false for a duplicate."""

    def destination_overloaded(self, now: float, destination: int) -> None:
        """Load has taken down a destination that was warming up."""


@dataclass(slots=True)
class Conditions:
    """The faults of an endpoint that are in force; troubles set and clear them. Times are in seconds."""

    silent: bool = False
    refuses_until: float = 0.0
    retry_after_probability: float = 0.0
    refuses_connections: bool = False
    host_unreachable: bool = False
    draining: bool = False
    slowdown: float = 1.0
    error_probability: float = 0.0
    class_error_probability: dict[int, float] = field(default_factory=dict)
    reset_probability: float = 0.0
    answer_loss_probability: float = 0.0
    malformed_answer_probability: float = 0.0
    execution_probability: float = 0.5
    pause_period: float = 0.0
    pause_duration: float = 0.0
    pauses_start: float = 0.0
    idle_timeout: float = 0.0

    def pause_end(self, now: float) -> float:
        """When the pause in force at `now` ends; 0.0 outside a pause."""
        if not self.pause_period:
            return 0.0
        elapsed = (now - self.pauses_start) % self.pause_period
        remaining = self.pause_duration - elapsed
        return now + remaining if remaining > PAUSE_END_TOLERANCE else 0.0


class Warmup:
    """The capacity of a destination after an outage, and its failure under overload.

    Overload accumulates in a leaky bucket that drains at the load which the destination tolerates. A full
    bucket takes the destination down. It comes back cold again, into the load that is still offered: the
    failure is a feedback loop, not a flag.
    """

    def __init__(self, cold: Cold, capacity: float) -> None:
        self._cold = cold
        self._capacity = capacity  # calls a second when warm
        self._began_at = -1e9
        self._level = 0.0
        self._updated_at = 0.0

    def begin(self, now: float) -> None:
        """The destination is up again, and cold."""
        self._began_at, self._level, self._updated_at = now, 0.0, now

    def capacity_share(self, now: float) -> float:
        """The share of its full capacity that the destination has."""
        progress = (now - self._began_at) / self._cold.warm_s
        return 1.0 if progress >= 1.0 else self._cold.start + (1.0 - self._cold.start) * max(0.0, progress)

    def add_load(self, now: float, amount: float) -> bool:
        """Add a load, in calls of one message each; returns whether it overloads the destination."""
        share = self.capacity_share(now)
        if share >= 1.0:
            return False
        tolerated_rate = self._capacity * share * self._cold.tip_multiple
        self._level = max(0.0, self._level - (now - self._updated_at) * tolerated_rate) + amount
        self._updated_at = now
        return self._level > max(MIN_OVERLOAD_CALLS, tolerated_rate * self._cold.tip_s)

    def available_calls(self, now: float) -> float:
        """Calls that it tolerates now, with a margin of 20 %."""
        share = self.capacity_share(now)
        if share >= 1.0:
            return float("inf")
        tolerated_rate = self._capacity * share * self._cold.tip_multiple
        level = max(0.0, self._level - (now - self._updated_at) * tolerated_rate)
        return 0.8 * max(MIN_OVERLOAD_CALLS, tolerated_rate * self._cold.tip_s) - level


class Destination:
    """The state that a partner's endpoints share: call limit, warm-up and remembered idempotency keys."""

    def __init__(self, spec: DestinationSpec, world: World, host: Host) -> None:
        self.spec = spec
        self.kind: Kind = spec.kind
        self.message_classes: Sequence[MessageClass] = world.scenario.classes
        self.limiter: Limiter | None = None
        if spec.kind.limit is not None:
            self.limiter = make_limiter(spec.kind.limit, spec.rate_limit)
        self.warmup = Warmup(spec.kind.cold, spec.capacity)
        self.endpoints: dict[int, Endpoint] = {}
        self.down_until = 0.0
        self.sends_reports = world.scenario.endpoint_list.reports and self.limiter is not None
        self._host = host
        self._key_expiry: dict[int, float] = {}
        self._lookups = 0
        self._report: tuple[float, ...] = ()
        self._reported_at = -1e9
        for endpoint in spec.endpoints:
            self.add_endpoint(endpoint, world.streams)

    def add_endpoint(self, spec: EndpointSpec, streams: RandomStreams) -> "Endpoint":
        endpoint = self.endpoints[spec.number] = Endpoint(spec, self, streams, self._host)
        return endpoint

    def is_duplicate(self, now: float, item: Item) -> bool:
        """Whether the message is dropped because its key is remembered; remembers a new key."""
        item_class = self.message_classes[item.message_class]
        if item_class.repeat != "keyed":
            return False
        self._lookups += 1
        if self._lookups >= KEY_CLEANUP_INTERVAL:
            self._key_expiry = {key: expiry for key, expiry in self._key_expiry.items() if expiry > now}
            self._lookups = 0
        if self._key_expiry.get(item.chain, 0.0) > now:
            return True
        self._key_expiry[item.chain] = now + item_class.window_s
        return False

    def load_report(self, now: float) -> tuple[float, ...]:
        """The available share of the limit, and the limit in calls a second; up to `REPORT_INTERVAL` old."""
        if self.limiter is None or not self.sends_reports:
            return ()
        if now - self._reported_at >= REPORT_INTERVAL:
            self._report = (
                round(self.limiter.available_share(now), 2),
                self.spec.rate_limit * self.limiter.factor,
            )
            self._reported_at = now
        return self._report

    def has_capacity(self, now: float, in_flight: int) -> bool:
        """Whether limit and warm-up admit one more call beside the `in_flight` calls on their way."""
        max_load = 1.0 + self.kind.shared_part * (self.kind.shared_calls - 1)
        return (
            now >= self.down_until
            and (self.limiter is None or self.limiter.available_calls(now) >= in_flight + 1)
            and self.warmup.available_calls(now) >= max_load * (in_flight + 1)
        )

    def fail_from_overload(self, now: float) -> None:
        """Go down under overload: every open call is lost, and the destination stays down for a while."""
        self.down_until = now + self.kind.cold.fallen_s
        self.warmup.begin(self.down_until)
        self._host.destination_overloaded(now, self.spec.number)
        for endpoint in self.endpoints.values():
            endpoint.drop_all_calls(now)


class Endpoint:
    """Model of one endpoint."""

    def __init__(
        self, spec: EndpointSpec, destination: Destination, streams: RandomStreams, host: Host
    ) -> None:
        self.spec = spec
        self.destination = destination
        self.conditions = Conditions()
        self.connection_count = 0
        self._host = host
        self._random = streams.uniform("endpoint", spec.number)
        self._running: set[PartnerCall] = set()
        self._queue: deque[PartnerCall] = deque()
        self._unanswered: dict[PartnerCall, None] = {}  # in order of arrival

    # ---- connections ----

    def accepts_connections(self, now: float) -> bool | None:
        """Whether it accepts a new connection; `None` if the connection attempt gets no reply."""
        conditions = self.conditions
        if conditions.host_unreachable:
            return None
        if conditions.refuses_connections or now < self.destination.down_until:
            return False
        return not self.spec.max_connections or self.connection_count < self.spec.max_connections

    def drops_idle_connection(self, idle: float) -> bool:
        """Whether the network has silently dropped a connection that was idle for `idle` seconds."""
        return 0.0 < self.conditions.idle_timeout < idle

    def available_slots(self, now: float) -> int:
        """Calls that it would accept and answer now."""
        c = self.conditions
        if (
            c.silent
            or c.host_unreachable
            or c.refuses_connections
            or c.draining
            or now < c.refuses_until
            or c.error_probability >= 0.5
            or c.answer_loss_probability >= 0.5
            or c.malformed_answer_probability >= 0.5
            or c.reset_probability >= 0.5
        ):
            return 0
        return self.spec.concurrency + min(1, self.spec.queue_limit) - len(self._running) - len(self._queue)

    # ---- calls ----

    def receive(self, now: float, call: PartnerCall) -> None:
        """The last byte of a call has arrived."""
        destination, conditions = self.destination, self.conditions
        if now < destination.down_until:
            self._host.drop_connection(now, self, call)
            return
        if conditions.host_unreachable:
            return
        self._unanswered[call] = None
        if conditions.silent:
            if self._random() < conditions.execution_probability:
                self._execute(now, call)
            return
        resumes_at = conditions.pause_end(now)
        if resumes_at:
            self._host.call_later(resumes_at - now, self._process, call)
        else:
            self._process(now, call)

    def _process(self, now: float, call: PartnerCall) -> None:
        destination, conditions = self.destination, self.conditions
        if call.ended:
            return
        # Each message after the first in a batch call counts with the share that it adds to the call's work.
        if destination.warmup.add_load(now, 1.0 + destination.kind.shared_part * (len(call.items) - 1)):
            destination.fail_from_overload(now)
            return
        if now < conditions.refuses_until:
            sends_retry_after = self._random() < conditions.retry_after_probability
            self._answer(
                now, call, Answer("refused", conditions.refuses_until - now if sends_retry_after else 0.0)
            )
            return
        if conditions.draining:
            self._answer(now, call, Answer("refused"))
            return
        class_probability = (
            max(
                (conditions.class_error_probability.get(item.message_class, 0.0) for item in call.items),
                default=0.0,
            )
            if conditions.class_error_probability
            else 0.0
        )
        if (class_probability or conditions.error_probability) and self._random() < max(
            class_probability, conditions.error_probability
        ):
            if self._random() < conditions.execution_probability:
                self._execute(now, call)
            self._host.call_later(FAST_FAILURE_DELAY, self._answer, call, Answer("error"))
            return
        if destination.limiter is not None and (wait := destination.limiter.acquire(now)):
            limit = destination.kind.limit
            sends_retry_after = limit is not None and self._random() < limit.tells_wait
            self._answer(
                now,
                call,
                Answer("refused", wait if sends_retry_after else 0.0, destination.load_report(now)),
            )
            return
        if conditions.reset_probability and self._random() < conditions.reset_probability:
            if self._random() < conditions.execution_probability:
                self._execute(now, call)
            self._mark_ended(call)
            self._host.drop_connection(now, self, call)
            return
        if len(self._running) < self.spec.concurrency:
            self._start(now, call)
        elif len(self._queue) < self.spec.queue_limit:
            self._queue.append(call)
        else:
            self._answer(now, call, Answer("refused", 0.0, destination.load_report(now)))

    def abandon(self, call: PartnerCall) -> None:
        """The call's sender no longer waits for its answer."""
        call.abandoned = True
        self._unanswered.pop(call, None)

    def _start(self, now: float, call: PartnerCall) -> None:
        destination, kind = self.destination, self.destination.kind
        self._running.add(call)
        work = sorted(
            (item.work * destination.message_classes[item.message_class].work_s for item in call.items),
            reverse=True,
        )
        seconds = (work[0] + kind.shared_part * sum(work[1:])) * destination.spec.duration_factor
        seconds *= self.conditions.slowdown / destination.warmup.capacity_share(now)
        self._host.call_later(
            seconds + (kind.handshake_s if call.new_connection else 0.0), self._finish, call
        )

    def _finish(self, now: float, call: PartnerCall) -> None:
        if call not in self._running:
            return  # lost when the destination failed under overload
        resumes_at = self.conditions.pause_end(now)
        if resumes_at:
            self._host.call_later(resumes_at - now, self._finish, call)
            return
        self._running.remove(call)
        self._execute(now, call)
        conditions = self.conditions
        if (
            conditions.silent
            or conditions.host_unreachable
            or (conditions.answer_loss_probability and self._random() < conditions.answer_loss_probability)
        ):
            pass  # executed, but no answer is sent
        elif (
            conditions.malformed_answer_probability
            and self._random() < conditions.malformed_answer_probability
        ):
            self._mark_ended(call)
            self._host.send_malformed_answer(now, self, call)
        else:
            rate = self.destination.kind.error_rate
            failed = rate > 0.0 and self._random() < rate
            self._answer(
                now, call, Answer("error" if failed else "ok", 0.0, self.destination.load_report(now))
            )
        self._start_queued(now)

    def _start_queued(self, now: float) -> None:
        while self._queue and len(self._running) < self.spec.concurrency:
            call = self._queue.popleft()
            if not call.abandoned or self.destination.kind.cancelled_run_on:
                self._start(now, call)

    def _execute(self, now: float, call: PartnerCall) -> None:
        for item in call.items:
            self._host.message_executed(now, self, item, not self.destination.is_duplicate(now, item))

    def _answer(self, now: float, call: PartnerCall, answer: Answer) -> None:
        if self.conditions.silent or self.conditions.host_unreachable:
            return
        self._mark_ended(call)
        if not call.abandoned:
            self._host.send_answer(now, self, call, answer)

    def _mark_ended(self, call: PartnerCall) -> None:
        call.ended = True
        self._unanswered.pop(call, None)

    def drop_all_calls(self, now: float) -> None:
        """End every open call without an answer: the system is down, or its process has been replaced."""
        unanswered = list(self._unanswered)
        self._unanswered.clear()
        self._queue.clear()
        self._running.clear()
        for call in unanswered:
            call.ended = True
            if not call.abandoned and not self.conditions.host_unreachable:
                self._host.drop_connection(now, self, call)
