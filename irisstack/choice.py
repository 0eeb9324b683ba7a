"""All decisions of irisstack. The interface (settings, events, actions) is in `irisstack/interface.py`.

A circuit breaker for each destination counts failures in a window and stays open until a time that lapses by
itself; its spacing answers refusals and paces the return from an outage. `docs/design.md` has each rule.
"""

from collections import Counter, deque
from collections.abc import Collection
from heapq import heappop, heappush
from random import Random

from irisstack import interface as api
from irisstack.delivery_state import (
    NEVER,
    BreakerScope,
    Call,
    CircuitBreaker,
    Destination,
    DestinationQueue,
    Message,
    Route,
)
from irisstack.interface import Effect, Outcome
from irisstack.list_refresh import ListRefresh

FAILURE_WINDOW = 10.0  # seconds in which failures are counted together
FAILURE_THRESHOLD = 3  # the failure that opens
GOSSIP_FAILURE_THRESHOLD = 6  # and the one of those that all senders are told of
TOLERATED_FAILURE_RATIO = 0.25  # failures for each success in the window that do not open yet
OPEN_DURATION = (
    2.0  # seconds an opened breaker stays open: longer parks fill the holding room of a small sender
)
OUTAGE_AFTER = 3.0  # seconds of refusals with no call taken after which a destination counts as shut
MAX_EVEN_SHARE_MULTIPLE = (
    1.5  # times the even part of a told rate that one sender may take of a destination not back yet
)
BUSY_REMAINING_SHARE = (
    0.75  # a share left under this explains a refusal: it is the limit, and the destination is not shut
)
LOW_REMAINING_SHARE = (
    1.0 - BUSY_REMAINING_SHARE
)  # a share left under this has calls spaced before any is refused
SLOWDOWN_FACTOR = 1.5  # each further refusal stretches the gap between calls by this
MAX_INITIAL_CALL_GAP = (
    2.0  # where no rate is told: seconds between two calls after a refusal, at most, at first
)
BATCH_SLOWDOWN_RECOVERY = (
    0.25  # part of a refusal's step that a success takes back where calls are shared; else all of it
)
WARMUP_BUDGET_MARGIN = 0.7  # part of the fail-back budget that is used: the capacity behind it is an estimate
EXTRA_MESSAGE_WEIGHT = 0.2  # what each further message of a shared call weighs against the fail-back budget
OVERDUE_LATENCY_MULTIPLE = 4.0  # a call is overdue after this many usual times
OVERDUE_SLACK = 0.5  # and these seconds, so that jitter on quick calls does not count
TIMEOUT_OVERDUE_MULTIPLE = 3.0  # a repeatable call is given up after this many times the overdue time
MIN_CONNECTION_UTILIZATION = (
    0.25  # of its time that a connection is in use, to be worth a place in an endpoint's table
)
CROSS_ZONE_PENALTY = 5.0  # calls out at an endpoint that another zone is worth, where crossing has a price
NEW_CONNECTION_PENALTY = 0.75  # calls out at an endpoint that a connection already open is worth
MIN_CONNECTION_TABLE_SIZE = 4  # idle connections for which any such table has room
CROWDED_DURATION = (
    30.0  # seconds after a failed connect at a live destination in which idle connections go back
)
LATENCY_EMA_WEIGHT = 0.1  # weight of a new call in the usual time
INITIAL_LATENCY_SHARE = 0.2  # share of a class's aim taken for its usual time before any call was seen
STALE_LOSS_THRESHOLD = (
    3.0  # this many calls lost on idle connections: those idle as long are closed before a call
)
STALE_LOSS_RECOVERY = 0.4  # of a lost call is made good by one that succeeded on an idle connection
MIN_IDLE_SHARE = 0.1  # of the keep-alive time; a connection idle for less says nothing
DESTINATION_SLOT_DIVISOR = 3  # a destination holds at most one part in so many of the slots, two at least

GOSSIP_FAILURE, GOSSIP_SUCCESS, GOSSIP_CROWDED = b"F", b"S", b"C"  # what notes to the other senders say

NOT_RUN_OUTCOMES = frozenset((Outcome.FULL, Outcome.CONNECT_FAILED, Outcome.NOT_SENT))


def _max_outage_wait(settings: api.Settings) -> float:
    """Seconds for which a message may wait for a destination that is down, a window at the least."""
    if settings.may_gossip:  # the first success is told to all, which ends the wait
        return FAILURE_WINDOW
    return max(FAILURE_WINDOW, *(message_class.deadline for message_class in settings.classes))


class Sender:
    """One sender's decisions. Give it everything that came together; carry out what it returns, in order."""

    def __init__(self, settings: api.Settings, seed: int) -> None:
        self._settings = settings
        self._random = Random(seed)
        self._now = 0.0
        self._actions: list[api.Action] = []
        self._breakers: dict[BreakerScope, CircuitBreaker] = {}
        self._scopes_by_key: dict[bytes, BreakerScope] = {}
        self._destinations: dict[int, Destination] = {}
        self._destination_by_address: dict[api.Address, int] = {}
        self._messages: dict[int, Message] = {}
        self._pending_count = self._calls_in_flight = 0
        self._slots_per_destination = max(
            2, settings.max_calls // DESTINATION_SLOT_DIVISOR
        )  # that one destination may hold
        self._max_outage_wait = _max_outage_wait(settings)
        self._crowded_until = 0.0  # until when idle connections are given back
        self._stale_losses = 0.0  # calls lost on idle connections, less a part of such calls that succeeded
        self._shortest_lost_idle = NEVER  # the shortest idle time before such a loss
        self._home_zone = (
            settings.zone if settings.cross_zone_price else None
        )  # the zone to which calls cost less
        self._active_queues: dict[
            DestinationQueue, None
        ] = {}  # lines with messages in them, in order of arrival
        self._expiry_heap: list[tuple[float, int]] = []
        self._overdue_heap: list[tuple[float, int, Call]] = []
        self._stuck_calls: list[Call] = []  # overdue at a silent destination, oldest first
        self._sequence = self._timer_token = 0
        self._messages_by_key: dict[int, deque[Message]] = {}
        self._order_pauses: list[tuple[float, int]] = []
        self._list_refresh = ListRefresh(settings, self._random)
        self._timer_at = NEVER

    def turn(self, now: float, events: Collection[api.Event]) -> list[api.Action]:
        """Take all that came at one time and answer with what to do about it."""
        self._now, self._actions = now, []
        changed = not events  # whether anything, if only time, may have changed what goes when
        for event in events:
            changed |= not isinstance(event, api.PeerMessage) or self._receive_gossip(event.data)
            match event:
                case api.AttemptEnded():
                    self._on_attempt_ended(event)
                case api.MessageReceived():
                    self._on_message_received(event)
                case api.EndpointsUpdated():
                    self._on_endpoints_updated(event)
                case api.SettingsChanged():
                    self._apply_settings(event.settings)
                case api.MessageWithdrawn():
                    if (message := self._messages.get(event.message)) is not None and not message.finished:
                        self._finish(message)
                case api.TimerFired() if event.token == self._timer_token:
                    self._timer_at = NEVER
        if not changed:
            return self._actions
        self._detect_silence()
        while self._order_pauses and self._order_pauses[0][0] <= now:
            self._start_next_of_key(heappop(self._order_pauses)[1])
        self._expire_messages()
        if now >= self._list_refresh.next_call_at:
            self._list_refresh.next_call_at = NEVER
            self._actions.append(api.Subscribe(True))
        self._set_timer(min(self._list_refresh.next_call_at, self._dispatch()))
        return self._actions

    def _apply_settings(self, settings: api.Settings) -> None:
        """Decide by other settings from here on; messages that are held keep the terms of their class."""
        self._settings, self._slots_per_destination = (
            settings,
            max(2, settings.max_calls // DESTINATION_SLOT_DIVISOR),
        )
        self._max_outage_wait = _max_outage_wait(settings)
        self._list_refresh.apply_settings(settings)
        self._home_zone = settings.zone if settings.cross_zone_price else None
        kinds = {kind.name: kind for kind in settings.kinds}
        for destination in self._destinations.values():
            destination.kind = kinds.get(destination.kind.name, destination.kind)

    # ---- the circuit breaker ----

    def _record_failure(
        self, scope: BreakerScope, outcome: Outcome | None, from_gossip: bool = False
    ) -> bool:
        """Count a refusal or an error; the third in the window opens the breaker. Returns whether it did."""
        now, gossip_enabled = self._now, self._settings.may_gossip
        breaker = self._breakers.setdefault(scope, CircuitBreaker())
        if now < breaker.open_until:
            return False  # landing while open: neither counts nor extends
        if now >= breaker.window_end:
            breaker.failures, breaker.gossip_failures, breaker.successes, breaker.window_end = (
                0,
                0,
                0,
                now + FAILURE_WINDOW,
            )
        breaker.failures += 1
        is_down = now > breaker.unavailable_since + OUTAGE_AFTER
        if gossip_enabled and outcome is not Outcome.RESET and (outcome is not Outcome.FULL or is_down):
            breaker.gossip_failures += 1
            if not from_gossip:
                self._broadcast_gossip(GOSSIP_FAILURE, scope)
        # Few errors among many successes (a lossy path, one failing class) must not shut the rest out.
        tolerated = (
            outcome is not Outcome.FULL and breaker.failures < breaker.successes * TOLERATED_FAILURE_RATIO
        )
        # One of many senders has too few calls in a window to see the third: what may have run opens sooner.
        threshold_cap = (
            FAILURE_THRESHOLD
            if outcome in NOT_RUN_OUTCOMES or gossip_enabled
            else max(1.0, self._rate_share(scope) * FAILURE_WINDOW // 1.0)
        )
        if (
            breaker.failures - breaker.gossip_failures >= min(FAILURE_THRESHOLD, threshold_cap)
            and not tolerated
        ) or breaker.gossip_failures >= GOSSIP_FAILURE_THRESHOLD:
            is_outage = (
                breaker.gossip_failures >= GOSSIP_FAILURE_THRESHOLD
                if gossip_enabled
                else outcome not in NOT_RUN_OUTCOMES
            )
            breaker.failures = breaker.gossip_failures = 0
            breaker.cold_until = NEVER if is_outage else breaker.cold_until
            self._extend_open(breaker, scope.destination, now + OPEN_DURATION)
            number, cause = scope.destination.number, outcome.name if outcome else "SILENCE"
            self._actions.append(api.Log(f"destination {number} open for {OPEN_DURATION:g} s after {cause}"))
            return True
        return False

    def _extend_open(self, breaker: CircuitBreaker, destination: Destination, until: float) -> None:
        """Move the open-until time; messages that cannot wait for it are given up at once."""
        breaker.open_until = max(breaker.open_until, until)
        self._randomize_warmup_start(breaker)
        if self._is_new_outage(breaker):
            breaker.cold_until = NEVER
        for message in [m for queue in destination.queues.values() for m in queue.queued_messages()]:
            if not message.finished and self._too_late_to_send(message):
                self._give_up(message)

    def _randomize_warmup_start(self, breaker: CircuitBreaker) -> None:
        """Take one of as many places in the first gap of the fail-back budget as there are senders."""
        # Many senders that are told one close, or one success, would all call at it.
        breaker.warmup_budget_used = self._random.randrange(n := self._settings.senders) / n - 1.0
        breaker.warmup_budget_since = max(self._now, breaker.open_until)

    def _is_new_outage(self, breaker: CircuitBreaker) -> bool:
        """Whether calls were turned away, or are put off, for longer than a busy destination refuses all."""
        few_calls = (
            not self._settings.may_gossip and breaker.next_call_at >= self._now + FAILURE_WINDOW
        )  # few calls
        held_until = max(breaker.open_until, breaker.next_call_at) if few_calls else breaker.open_until
        since = self._now if self._settings.may_gossip else breaker.unavailable_since
        return breaker.cold_until < NEVER and max(self._now, held_until) > since + OUTAGE_AFTER

    def _record_success(self, scope: BreakerScope, limit_is_low: bool) -> None:
        """A call that ended well takes back part of the slowing; the spacing lapses once nothing waits."""
        # Little left of a limit begins it: many senders reach it together, with too few calls each to see it.
        breaker = self._breakers.get(scope) or CircuitBreaker()
        breaker.successes, breaker.unavailable_since = breaker.successes + 1, NEVER
        recovered = breaker.cold_until == NEVER and self._now >= breaker.open_until
        if breaker.gossip_failures or recovered:
            self._broadcast_gossip(GOSSIP_SUCCESS, scope)
            breaker.failures, breaker.gossip_failures = breaker.failures - breaker.gossip_failures, 0
        if recovered:
            breaker.cold_until, breaker.slowdown_steps = self._now + self._settings.warmup_seconds, 0.0
            scope.connect_failed_at.clear()  # a shut one shows no limit, one that was down no full table
        if limit_is_low:
            self._breakers[scope] = breaker
            breaker.slowdown_steps = max(breaker.slowdown_steps, 1.0)
        elif breaker.slowdown_steps:
            has_queued = any(queue in self._active_queues for queue in scope.destination.queues.values())
            batched = scope.destination.kind.max_batch > 1  # what waits goes with the next call, however late
            breaker.slowdown_steps = max(
                float(has_queued), breaker.slowdown_steps - (BATCH_SLOWDOWN_RECOVERY if batched else 1.0)
            )

    def _broadcast_gossip(self, gossip_type: bytes, scope: BreakerScope) -> None:
        if self._settings.may_gossip:
            self._actions.append(api.TellPeer(None, gossip_type + scope.gossip_key))

    def _receive_gossip(self, data: bytes) -> bool:
        """A note: a failure counts, a success ends their run. Returns whether this changes what may go."""
        gossip_type, scope = data[:1], self._scopes_by_key.get(data[1:])
        if gossip_type == GOSSIP_CROWDED:
            self._crowded_until = self._now + CROWDED_DURATION
        if scope is None or gossip_type != GOSSIP_SUCCESS:
            return (
                scope is not None
                and gossip_type == GOSSIP_FAILURE
                and self._record_failure(scope, None, from_gossip=True)
            )
        scope.last_success_sent_at = max(
            scope.last_success_sent_at, self._now - max(scope.destination.latency_ema.values(), default=0.0)
        )
        breaker = self._breakers.get(scope) or CircuitBreaker()
        breaker.failures, breaker.gossip_failures, breaker.unavailable_since = (
            breaker.failures - breaker.gossip_failures,
            0,
            NEVER,
        )
        if breaker.cold_until == NEVER:
            breaker.cold_until, breaker.slowdown_steps = self._now + self._settings.warmup_seconds, 0.0
            self._randomize_warmup_start(
                breaker
            )  # what was saved up before the success would leave all at once
            return True
        return False

    def _route_available_at(self, route: Route) -> float:
        """The earliest time at which a call may go there. Closed, empty breakers are dropped here."""
        breaker = self._breakers.get(route.breaker_scope)
        if breaker is None:
            return 0.0
        cold = self._now < breaker.cold_until
        restricted = cold or breaker.slowdown_steps or breaker.unavailable_since < NEVER
        if not restricted and self._now >= max(breaker.open_until, breaker.window_end):
            del self._breakers[route.breaker_scope]
            return 0.0
        spaced_until = breaker.next_call_at if breaker.slowdown_steps and breaker.cold_until < NEVER else 0.0
        return max(
            breaker.open_until,
            spaced_until,
            self._warmup_available_at(breaker, route.breaker_scope) if cold else 0.0,
        )

    def _warmup_available_at(self, breaker: CircuitBreaker, scope: BreakerScope) -> float:
        """When enough of the fail-back budget is saved up for what the next call will weigh."""
        queued = sum(len(queue.on_time) + len(queue.late) for queue in scope.destination.queues.values())
        batch_size = min(queued, self._max_batch_size(breaker, scope.destination.kind))
        weight = breaker.warmup_budget_used + 1.0 + EXTRA_MESSAGE_WEIGHT * max(0, batch_size - 1)
        return breaker.warmup_budget_since + weight / self._warmup_rate(breaker, scope)

    def _max_batch_size(self, breaker: CircuitBreaker, kind: api.DestinationKind) -> int:
        """How many messages a call may carry: one until a call has succeeded, unless all were turned away."""
        return 1 if breaker.cold_until == NEVER and breaker.unavailable_since == NEVER else kind.max_batch

    def _queue_available_at(self, queue: DestinationQueue) -> float:
        """The earliest time at which a call may go to any route that a line's messages may use."""
        return min((self._route_available_at(route) for route in queue.routes()), default=NEVER)

    def _rate_share(self, scope: BreakerScope) -> float:
        """This sender's part of the calls a second told for all: its own flow's, the even part at least."""
        # Guards a limit on calls: a flow of messages that are told one by one would take it many times over.
        arrival_rate, known_rate = self._arrival_rate(scope), scope.reported_limit or scope.listed_rate
        own_call_rate = arrival_rate / scope.destination.kind.max_batch
        return min(known_rate, max(own_call_rate, known_rate / self._settings.senders)) or max(
            own_call_rate, min(arrival_rate, 1.0 / MAX_INITIAL_CALL_GAP)
        )

    def _arrival_rate(self, scope: BreakerScope) -> float:
        """This sender's messages a second for what shares one limit."""
        destination = scope.destination
        return destination.arrival_rate / max(
            1, len(destination.routes) if destination.kind.separate_routes else 1
        )

    def _schedule_next_call(self, scope: BreakerScope) -> None:
        """Note a call: evenly spaced after refusals, charged to the budget while cold."""
        breaker, jitter = self._breakers.get(scope) or CircuitBreaker(), self._random.uniform(1.0, 1.1)
        # A gap that is no part of a told rate is spread: all that were refused together would meet again.
        spread = jitter if scope.reported_limit or scope.listed_rate else self._random.uniform(0.5, 1.5)
        breaker.next_call_at = self._now + spread * self._call_gap(breaker, scope)
        breaker.warmup_budget_used, breaker.warmup_budget_since = jitter - 1.0, self._now

    def _call_gap(self, breaker: CircuitBreaker, scope: BreakerScope) -> float:
        """Seconds between two calls of this sender while refusals have them spaced."""
        max_gap = NEVER if scope.reported_limit or scope.listed_rate else MAX_INITIAL_CALL_GAP
        return float(SLOWDOWN_FACTOR ** max(0.0, breaker.slowdown_steps - 1.0)) * min(
            1.0 / self._rate_share(scope), max_gap
        )

    def _warmup_rate(self, breaker: CircuitBreaker, scope: BreakerScope) -> float:
        """This sender's part of the calls a second that a destination coming back can bear by now."""
        progress = max(0.0, 1.0 - (breaker.cold_until - self._now) / (self._settings.warmup_seconds or 1.0))
        capacity = self._settings.warmup_start_share + (1.0 - self._settings.warmup_start_share) * progress
        rate = self._rate_share(scope)
        if breaker.cold_until == NEVER:  # a hot destination: all flows together may be far above its limit
            even_share = (scope.reported_limit or scope.listed_rate or NEVER) / self._settings.senders
            # Each sender with a message in line takes a part; the lines hold what came in a message's life.
            rate = min(
                self._arrival_rate(scope),
                max(1.0 / self._max_outage_wait, MAX_EVEN_SHARE_MULTIPLE * even_share),
            )
        return rate * capacity * self._settings.overload_multiple * WARMUP_BUDGET_MARGIN

    # ---- messages ----

    def _on_message_received(self, event: api.MessageReceived) -> None:
        class_index, message_class = event.message_class, self._settings.classes[event.message_class]
        latency_target_at = min(event.due, event.due - message_class.deadline + message_class.latency_target)
        key = event.key if message_class.ordered else None
        message = Message(
            event.message, class_index, message_class, event.destination, event.due, latency_target_at, key
        )
        message.attempts, message.may_have_run_at, message.may_have_run_zone = (
            event.attempts,
            event.may_have_run_at,
            event.may_have_run_zone,
        )
        self._messages[event.message] = message
        self._pending_count += 1
        destination = self._get_destination(event.destination)
        decay = max(0.0, 1.0 - (self._now - destination.arrival_rate_at) / FAILURE_WINDOW)
        destination.arrival_rate, destination.arrival_rate_at = (
            destination.arrival_rate * decay + 1.0 / FAILURE_WINDOW,
            self._now,
        )
        key_queue = (
            deque()
            if message.ordering_key is None
            else self._messages_by_key.setdefault(message.ordering_key, deque())
        )
        key_queue.append(message)
        heappush(self._expiry_heap, (self._latest_attempt_start(message), message.id))
        if key_queue[0] is message:
            self._enqueue(message)
        if not message.finished and self._pending_count >= self._settings.max_pending:
            self._shed_load()

    def _expected_latency(self, message: Message) -> float:
        """How long a call of this class takes at this destination."""
        return self._get_destination(message.destination).latency_ema.get(
            message.class_index, message.message_class.latency_target * INITIAL_LATENCY_SHARE
        )

    def _repeatable_until(self, message: Message) -> float:
        """Until when another attempt, or a refusal, cannot double the message's effect."""
        message_class = message.message_class
        if message.may_have_run_at is None or message_class.effect is Effect.SAFE:
            return NEVER
        if message_class.effect is Effect.UNSAFE or (
            message.zone_scoped_dedup and message.may_have_run_zone is None
        ):
            return -NEVER
        return message.may_have_run_at + message_class.dedup_window

    def _may_refuse(self, message: Message) -> bool:
        """Whether its client may hand it in again: one that a single zone knows it may take to another."""
        return self._now < self._repeatable_until(message) and not (
            message.zone_scoped_dedup and message.may_have_run_at
        )

    def _latest_attempt_start(self, message: Message) -> float:
        """The last time at which a further attempt is allowed and a usual call still fits."""
        latest_repeat = (
            self._repeatable_until(message) - self._settings.connect_timeout - self._settings.clock_resolution
        )  # as it leaves
        return min(message.due - self._expected_latency(message), latest_repeat)

    def _enqueue(self, message: Message) -> None:
        """Put a message in line at its destination, unless it cannot wait for the close."""
        if message.attempts >= self._settings.max_attempts or self._too_late_to_send(message):
            self._give_up(message)
        else:
            queue = self._queue_for(message)
            self._sequence += 1
            heappush(queue.on_time, (message.latency_target_at, 0.0, self._sequence, message))
            self._active_queues[queue] = None

    def _queue_for(self, message: Message) -> DestinationQueue:
        """Where a message waits: once it may have run, for the zone that drops its repeats."""
        return self._get_destination(message.destination).queue(
            message.may_have_run_zone if message.zone_scoped_dedup else None
        )

    def _too_late_to_send(self, message: Message) -> bool:
        """Whether a usual call fits neither now nor after the close."""
        return max(self._now, self._earliest_close(message)) > self._latest_attempt_start(message)

    def _earliest_close(self, message: Message) -> float:
        """When the first of the message's routes closes again; no endpoint yet is no reason to refuse."""
        breakers = [self._breakers.get(route.breaker_scope) for route in self._queue_for(message).routes()]
        return min((breaker.open_until if breaker else 0.0 for breaker in breakers), default=0.0)

    def _give_up(self, message: Message) -> None:
        """The final answer, at once, for a message that will not be sent again: a refusal where allowed."""
        if self._may_refuse(message):
            # At its turn there; one that may have run while it is known there, so at the close.
            retry_at = (
                self._queue_available_at(self._queue_for(message))
                if message.may_have_run_at is None
                else self._earliest_close(message)
            )
            retry_after = (
                min(retry_at - self._now, self._settings.max_retry_after)
                if self._settings.advises_retry_after
                else 0.0
            )
            self._actions.append(api.Refuse(message.id, retry_after if retry_after > 0.0 else None))
        else:
            self._actions.append(api.Fail(message.id))
        self._finish(message)

    def _finish(self, message: Message) -> None:
        message.finished = True
        self._pending_count -= 1
        if message.call is None:
            self._remove_message(message)

    def _remove_message(self, message: Message) -> None:
        """Drop a message that is over and has no attempt out; the next of its key takes its turn."""
        del self._messages[message.id]
        if message.ordering_key is None:
            return
        key_queue = self._messages_by_key[message.ordering_key]
        if key_queue[0] is not message:
            key_queue.remove(message)
        elif message.order_pause_until > self._now:
            heappush(self._order_pauses, (message.order_pause_until, message.ordering_key))
        else:
            self._start_next_of_key(message.ordering_key)

    def _start_next_of_key(self, key: int) -> None:
        """Order by key: one message at a time, and a rest after an attempt that may run on."""
        key_queue = self._messages_by_key[key]
        key_queue.popleft()
        if key_queue:
            self._enqueue(key_queue[0])
        else:
            del self._messages_by_key[key]

    def _shed_load(self) -> None:
        """At the holding limit, refuse the unsent message with least at stake before one is turned away."""
        queued = [m for m in self._messages.values() if m.queued]
        counts = Counter(m.destination for m in queued)
        drain_times = {
            number: self._queue_drain_time(self._get_destination(number), counts[number]) for number in counts
        }

        def shed_priority(message: Message) -> tuple[bool, float, float, float, int]:
            drain_time = drain_times[
                message.destination
            ]  # one that would fail only if none is left that may come again
            preferred = drain_time > 0.0 and self._may_refuse(message)
            return preferred, drain_time, -message.message_class.worth, message.latency_target_at, message.id

        if queued:
            self._give_up(max(queued, key=shed_priority))

    def _queue_drain_time(self, destination: Destination, count: int) -> float:
        """How long so many messages for it will be in line, at the pace that holds there now."""
        # Guards a healthy destination with small calls: unpaced, its line is over before that of a shut one.
        available_at, calls = (
            self._queue_available_at(destination.queue(None)),
            -(-count // destination.kind.max_batch),
        )
        if available_at == NEVER:
            return NEVER
        route = min(destination.routes.values(), key=self._route_available_at)
        breaker = self._breakers.get(route.breaker_scope) or CircuitBreaker()
        time_per_call = max(destination.latency_ema.values(), default=0.0) / self._slots_per_destination
        if self._now < breaker.cold_until:
            paced_time = (calls + EXTRA_MESSAGE_WEIGHT * (count - calls)) / self._warmup_rate(
                breaker, route.breaker_scope
            )
        else:
            paced_time = calls * (
                self._call_gap(breaker, route.breaker_scope) if breaker.slowdown_steps else 0.0
            )
        return max(0.0, available_at - self._now) + max(paced_time, calls * time_per_call)

    def _expire_messages(self) -> None:
        """Give up messages for which a usual call no longer fits."""
        while self._expiry_heap and self._expiry_heap[0][0] < self._now:
            message = self._messages.get(heappop(self._expiry_heap)[1])
            if message is not None and message.queued:
                if (latest_start := self._latest_attempt_start(message)) < self._now:
                    self._give_up(message)
                else:
                    heappush(self._expiry_heap, (latest_start, message.id))

    # ---- outcomes ----

    def _on_attempt_ended(self, event: api.AttemptEnded) -> None:
        message = self._messages.get(event.message)
        if message is None or message.call is None or event.attempt != message.attempts - 1:
            return
        call, outcome = message.call, event.outcome
        if outcome not in NOT_RUN_OUTCOMES and message.may_have_run_at is None:
            message.may_have_run_at, message.may_have_run_zone = call.sent_at, call.route.zone
        call.open_attempts -= 1
        if not call.open_attempts:
            if (
                call.route.calls_in_flight
                > (call.route.connections - 1) * self._settings.calls_per_connection
            ):
                call.route.all_in_use_at = self._now
            self._calls_in_flight -= 1
            call.route.breaker_scope.destination.calls_in_flight -= 1
            call.route.calls_in_flight -= 1
        self._record_outcome(message, call, event)
        message.call = None
        if outcome in (Outcome.TIMEOUT, Outcome.RESET, Outcome.CANCELLED):
            message.order_pause_until = self._now + self._settings.order_pause
        if message.finished:
            self._remove_message(message)
        elif event.final:
            self._finish(message)
        else:
            heappush(self._expiry_heap, (self._latest_attempt_start(message), message.id))
            self._enqueue(message)
        if not call.open_attempts and (
            self._now < self._crowded_until or not self._should_keep_connection(message)
        ):
            # Guards against tables full of many senders' idle connections; at an outage it costs handshakes.
            self._actions.append(api.CloseIdle(call.route.address))
            call.route.connections = call.route.calls_in_flight

    def _record_outcome(self, message: Message, call: Call, event: api.AttemptEnded) -> None:
        """What an outcome shows of its destination. A shared call has one fate and counts once."""
        route, scope, outcome, now = call.route, call.route.breaker_scope, event.outcome, self._now
        report = dict(zip(self._settings.report_fields, event.report, strict=False))
        scope.reported_limit = max(0.0, report.get("x1", scope.reported_limit))
        if outcome in (Outcome.OK, Outcome.FULL):
            route.avoid_until.pop(message.class_index, None)
        if outcome is Outcome.OK:
            scope.last_success_sent_at = max(scope.last_success_sent_at, call.sent_at)
            latencies = scope.destination.latency_ema
            latencies.setdefault(message.class_index, event.elapsed)
            latencies[message.class_index] += LATENCY_EMA_WEIGHT * (
                event.elapsed - latencies[message.class_index]
            )
        if not call.outcome_counted:
            call.outcome_counted = True
            if outcome in (Outcome.OK, Outcome.RESET):
                self._record_idle_result(call, -STALE_LOSS_RECOVERY if outcome is Outcome.OK else 1.0)
            if outcome is Outcome.OK:
                # A gap beyond the aim would cost more than the refusals that it spares.
                limit_is_low = scope.reported_limit > 0.0 and report.get("x0", 1.0) < LOW_REMAINING_SHARE
                self._record_success(
                    scope,
                    limit_is_low and self._rate_share(scope) * message.message_class.latency_target >= 1.0,
                )
                failed_at = scope.connect_failed_at.get(route, NEVER)
                if call.sent_at >= failed_at and self._crowded_until < failed_at + CROWDED_DURATION:
                    self._crowded_until = failed_at + CROWDED_DURATION
                    self._broadcast_gossip(GOSSIP_CROWDED, scope)
            elif outcome not in (Outcome.CANCELLED, Outcome.NOT_SENT):
                if outcome is not Outcome.FULL:
                    self._avoid_route(call)
                if outcome is Outcome.CONNECT_FAILED:
                    scope.connect_failed_at[route] = now
                if outcome in NOT_RUN_OUTCOMES:
                    breaker = self._breakers.setdefault(scope, CircuitBreaker())
                    # One of many senders sees few calls taken. A limit that reports itself used up counts
                    # like one, unless the wait is too long for it; a wait with it unused tells of a shut one.
                    remaining_share = report.get("x0", 0.0) if scope.reported_limit else 0.0
                    limit_in_use = (
                        0.0 < remaining_share < BUSY_REMAINING_SHARE
                        and (event.retry_after or 0.0) < OUTAGE_AFTER
                    )
                    breaker.unavailable_since = NEVER if limit_in_use else min(breaker.unavailable_since, now)
                    if (
                        event.retry_after
                        and remaining_share >= BUSY_REMAINING_SHARE
                        and scope.last_success_sent_at < now - FAILURE_WINDOW
                    ):
                        breaker.unavailable_since = -NEVER
                    breaker.slowdown_steps += outcome is Outcome.FULL
                self._schedule_next_call(scope)
                # A connect without an answer is silence: the host is gone. A full table says no at once.
                host_gone = (
                    outcome is Outcome.CONNECT_FAILED and event.elapsed >= self._settings.connect_timeout
                )
                self._record_failure(scope, None if host_gone else outcome)
        breaker = self._breakers.get(scope) or CircuitBreaker()
        explained_by_limit = (
            report.get("x0", 1.0) < BUSY_REMAINING_SHARE
            and scope.last_success_sent_at >= now - FAILURE_WINDOW
        )  # by a limit used up
        if event.retry_after:
            self._breakers[scope] = breaker
            self._extend_open(
                breaker, scope.destination, now + event.retry_after + self._settings.clock_resolution
            )
        elif outcome is Outcome.FULL and not explained_by_limit and self._is_new_outage(breaker):
            self._extend_open(
                breaker, scope.destination, now
            )  # an opening of no length: only the return is paced

    def _avoid_route(self, call: Call) -> None:
        """Prefer other endpoints for a window; a class that succeeds here meanwhile is out of it."""
        call.route.avoid_until = dict.fromkeys(range(len(self._settings.classes)), self._now + FAILURE_WINDOW)

    def _record_idle_result(self, call: Call, weight: float) -> None:
        """Learn after how long the path drops idle connections, losing calls; a mistake costs handshakes."""
        if (
            call.connection_idle > self._settings.keepalive * MIN_IDLE_SHARE
            and self._stale_losses < STALE_LOSS_THRESHOLD
        ):
            self._stale_losses = max(0.0, self._stale_losses + weight)
            if weight > 0.0:
                self._shortest_lost_idle = min(self._shortest_lost_idle, call.connection_idle)

    def _detect_silence(self) -> None:
        """A call long overdue counts as a failure before it ends, unless the destination answered since."""
        # Guards against silence (hung, vanished); a few very slow messages do not count where others go well.
        while self._overdue_heap and self._overdue_heap[0][0] <= self._now:
            call = heappop(self._overdue_heap)[2]
            answers_others = call.route.breaker_scope.last_success_sent_at > call.sent_at
            if call.open_attempts:
                self._stuck_calls = [*(stuck for stuck in self._stuck_calls if stuck.open_attempts), call]
                self._record_idle_result(call, 1.0 if answers_others else STALE_LOSS_RECOVERY)
                self._avoid_route(call)
                if not answers_others and not call.outcome_counted:
                    call.outcome_counted = True
                    self._record_failure(call.route.breaker_scope, None)

    # ---- the endpoint list ----

    def _get_destination(self, number: int) -> Destination:
        return self._destinations.get(number) or self._destinations.setdefault(number, Destination(number))

    def _on_endpoints_updated(self, event: api.EndpointsUpdated) -> None:
        if event.scope is api.UpdateScope.FAILED:
            self._list_refresh.failed(self._now, event)
            return
        self._list_refresh.succeeded()
        if event.scope is api.UpdateScope.CACHED:
            self._list_refresh.started(self._now)
        if event.scope is not api.UpdateScope.DELTA:
            for address in set(self._destination_by_address) - {
                endpoint.address for endpoint in event.endpoints
            }:
                self._remove_endpoint(address)
        for endpoint in event.endpoints:
            if endpoint.state is not api.EndpointState.READY:
                self._remove_endpoint(endpoint.address)
                continue
            destination = self._get_destination(endpoint.destination)
            destination.kind = self._settings.kinds[endpoint.kind]
            if endpoint.address not in destination.routes:
                separate, (host, port) = destination.kind.separate_routes, endpoint.address
                destination_key = (n := endpoint.destination).to_bytes(n.bit_length() // 8 + 1, signed=True)
                key = host + port.to_bytes(2) if separate else destination_key
                if (scope := self._scopes_by_key.get(key)) is None or scope.destination is not destination:
                    scope = self._scopes_by_key[key] = BreakerScope(key, destination)
                destination.routes[endpoint.address] = Route(endpoint.address, endpoint.zone, scope)
                self._destination_by_address[endpoint.address] = endpoint.destination
            destination.routes[endpoint.address].breaker_scope.listed_rate = (
                endpoint.rate * self._settings.listed_rates
            )

    def _remove_endpoint(self, address: api.Address) -> None:
        """Draining or gone: nothing new goes there from this turn on."""
        if address in self._destination_by_address:
            del self._destinations[self._destination_by_address.pop(address)].routes[address]

    # ---- sending ----

    def _dispatch(self) -> float:
        """Send what may go, the most pressing first; returns when to look again."""
        ranked: list[tuple[bool, float, int, DestinationQueue]] = []
        next_at = min((self._rank_queue(ranked, queue) for queue in list(self._active_queues)), default=NEVER)
        while ranked and self._calls_in_flight < self._settings.max_calls:
            queue = heappop(ranked)[-1]
            if queue.destination.calls_in_flight < self._slots_per_destination:
                if self._queue_available_at(queue) <= self._now:  # another line may have taken the turn
                    self._send_call(queue)
                next_at = min(next_at, self._rank_queue(ranked, queue))
        if ranked and self._settings.may_cancel and self._calls_in_flight >= self._settings.max_calls:
            self._cancel_stuck_calls(len(ranked))
        return next_at

    def _rank_queue(
        self, ranked: list[tuple[bool, float, int, DestinationQueue]], queue: DestinationQueue
    ) -> float:
        """Rank a line's next call; returns when it may go, if that is later."""
        rank, available_at = self._head_rank(queue), self._queue_available_at(queue)
        if rank is None:
            del self._active_queues[queue]
        elif available_at > self._now:
            return available_at
        else:
            self._sequence += 1
            heappush(ranked, (*rank, self._sequence, queue))
        return NEVER

    def _cancel_stuck_calls(self, slots_wanted: int) -> None:
        """Cut calls stuck at silent destinations when others need their slots, repeatable ones first."""
        # Guards against slots full of calls that wait for their deadline. Could lose an answer still to come.
        by_unsafe_messages = sorted(
            self._stuck_calls, key=lambda c: sum(m.message_class.effect is Effect.UNSAFE for m in c.messages)
        )
        for call in by_unsafe_messages:
            if (
                slots_wanted
                and call.open_attempts
                and (
                    call.route.breaker_scope.last_success_sent_at < call.sent_at
                    or self._now > call.timeout_at
                )
            ):
                slots_wanted -= 1
                self._actions.extend(
                    api.Cancel(m.id, m.attempts - 1) for m in call.messages if m.call is call
                )

    def _head_rank(self, queue: DestinationQueue) -> tuple[bool, float] | None:
        """The rank of the next call: in time before late, then by slot time for each unit of worth."""
        batch_size = min(queue.destination.kind.max_batch, len(queue.on_time) + len(queue.late))
        for entries, is_late in ((queue.on_time, False), (queue.late, True)):
            while entries:
                message = entries[0][-1]
                is_queued = message.queued
                if is_queued and (
                    is_late or self._now + self._expected_latency(message) <= message.latency_target_at
                ):
                    return is_late, self._expected_latency(message) / (
                        batch_size * message.message_class.worth
                    )
                heappop(entries)
                if is_queued:
                    heappush(
                        queue.late,
                        (-message.message_class.worth, -message.latency_target_at, message.id, message),
                    )
        return None

    def _send_call(self, queue: DestinationQueue) -> None:
        """Make one call."""
        now, calls_per_connection, destination = (
            self._now,
            self._settings.calls_per_connection,
            queue.destination,
        )
        routes = [route for route in queue.routes() if self._route_available_at(route) <= now]
        class_index = (queue.on_time or queue.late)[0][-1].class_index

        def cost(route: Route) -> tuple[bool, float, float]:
            penalty = CROSS_ZONE_PENALTY * (route.zone != self._home_zone) + (
                0.0 if self._has_free_connection(route) else NEW_CONNECTION_PENALTY
            )
            # Of equals any: every sender has the list in one order, and all would take the first.
            return (
                route.avoid_until.get(class_index, 0.0) > now,
                route.calls_in_flight + penalty,
                self._random.random(),
            )

        route = min(routes, key=cost)
        breaker = self._breakers.get(route.breaker_scope) or CircuitBreaker()
        unproven = breaker.cold_until == NEVER
        call, max_messages, overdue_after = (
            Call(route, now),
            self._max_batch_size(breaker, destination.kind),
            0.0,
        )
        if not self._has_free_connection(route):
            route.connections += 1
        elif (
            self._stale_losses >= STALE_LOSS_THRESHOLD
            and now - route.all_in_use_at >= self._shortest_lost_idle
        ):
            # Something on the path drops idle connections early, and the next call there is lost.
            self._actions.append(api.CloseIdle(route.address))
            route.connections = route.calls_in_flight // calls_per_connection + 1
        else:
            call.connection_idle = now - route.all_in_use_at
        route.calls_in_flight += 1
        if route.calls_in_flight > (route.connections - 1) * calls_per_connection:
            route.all_in_use_at = now
        while call.open_attempts < max_messages and self._head_rank(queue) is not None:
            message = self._take_message(queue, unproven)
            message.call = call
            call.messages.append(message)
            message.attempts += 1
            call.open_attempts += 1
            message_overdue_after = OVERDUE_LATENCY_MULTIPLE * self._expected_latency(message) + OVERDUE_SLACK
            overdue_after = max(overdue_after, message_overdue_after)
            unsafe = message.message_class.effect is Effect.UNSAFE
            give_up_at = (
                None if unsafe else min(message.due, now + message_overdue_after * TIMEOUT_OVERDUE_MULTIPLE)
            )
            self._actions.append(
                api.Send(message.id, route.address, give_up_at, self._repeatable_until(message))
            )
        destination.calls_in_flight += 1
        self._calls_in_flight += 1
        self._sequence += 1
        call.timeout_at = now + overdue_after * TIMEOUT_OVERDUE_MULTIPLE
        heappush(self._overdue_heap, (now + overdue_after, self._sequence, call))
        self._schedule_next_call(route.breaker_scope)

    def _should_keep_connection(self, message: Message) -> bool:
        """Whether its next call comes so soon that a connection earns its place in the endpoint's table."""
        # Guards against tables full of idle connections: who holds one is not turned away and never learns.
        destination, senders = self._get_destination(message.destination), self._settings.senders
        if self._settings.may_gossip or any(  # a sender that is turned away tells of it, or one may go now
            queue in self._active_queues and self._queue_available_at(queue) <= self._now
            for queue in destination.queues.values()
        ):
            return True
        utilization = destination.arrival_rate * self._expected_latency(message) / MIN_CONNECTION_UTILIZATION
        return senders * (1.0 - utilization) <= MIN_CONNECTION_TABLE_SIZE

    def _has_free_connection(self, route: Route) -> bool:
        """Whether a connection is believed free there: a new one costs time and has a price."""
        if self._now - route.all_in_use_at > self._settings.keepalive:
            route.connections = -(-route.calls_in_flight // self._settings.calls_per_connection)
        return route.calls_in_flight < route.connections * self._settings.calls_per_connection

    def _take_message(self, queue: DestinationQueue, unproven: bool) -> Message:
        """The next message to send. On an unproven destination one that may be repeated goes first."""
        for message in queue.queued_messages() if unproven else ():
            if message.message_class.effect is not Effect.UNSAFE:
                for entries in (
                    queue.on_time,
                    queue.late,
                ):  # it leaves its place: it may be held to a zone next
                    entries[:] = sorted(entry for entry in entries if entry[-1] is not message)
                return message
        return heappop(queue.on_time or queue.late)[-1]

    def _set_timer(self, wake_at: float) -> None:
        for heap, delay in (
            (self._overdue_heap, 0.0),
            (self._order_pauses, 0.0),
            (self._expiry_heap, self._settings.clock_resolution),
        ):
            if heap:
                wake_at = min(wake_at, heap[0][0] + delay)
        if wake_at < self._timer_at:
            self._timer_at, self._timer_token = wake_at, self._timer_token + 1
            self._actions.append(api.SetTimer(max(0.0, min(wake_at - self._now, 3600.0)), self._timer_token))
