"""All decisions of a sender. The interface (settings, events, actions) is in `irisstack/interface.py`.

A circuit breaker for each destination counts failures in a window. It stays open until a set time and then
closes by itself. It also spaces calls after refusals, and it paces the warm-up of a destination that recovers
from an outage. `docs/design.md` has each rule.

A destination refuses calls (`Outcome.FULL`) when it is busy, that is, at its rate limit, or when it is down.
The breaker tells the two apart: only a destination that was down is warmed up.
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
from irisstack.initial_list import InitialList
from irisstack.interface import Effect, GiveUpReason, Outcome
from irisstack.list_refresh import ListRefresh

FAILURE_WINDOW = 10.0
"""Seconds over which failures and arrivals are counted, and for which a failed route is avoided."""
FAILURE_THRESHOLD = 3
"""Failures within the window that open the breaker, without those announced by gossip."""
GOSSIP_FAILURE_THRESHOLD = 6
"""Failures within the window, announced by gossip and of all senders together, that open the breaker."""
TOLERATED_FAILURE_RATIO = 0.25
"""Failures per success in the window below which errors do not open the breaker."""
OPEN_DURATION = 2.0
"""Seconds for which the breaker opens. Longer waits would fill a small sender to `max_pending`."""
OUTAGE_AFTER = 3.0
"""Seconds of refused calls with none accepted after which the destination counts as down and not as busy."""
MAX_EVEN_SHARE_MULTIPLE = 1.5
"""Most that one sender uses of a known rate until a call has succeeded after an outage, as a multiple of an
even share."""
BUSY_REMAINING_SHARE = 0.75
"""Remaining share of a reported limit below which a refusal is due to that limit and not to an outage."""
LOW_REMAINING_SHARE = 1.0 - BUSY_REMAINING_SHARE
"""Remaining share of a reported limit below which calls are spaced before any is refused."""
SLOWDOWN_FACTOR = 1.5
"""Each further refusal lengthens the gap between calls by this factor."""
MAX_SLOWDOWN_EXPONENT = 100.0
"""Refusals that lengthen the gap between calls; by then it is longer than any message lives."""
MAX_INITIAL_CALL_GAP = 2.0
"""Seconds: the longest gap between calls after a first refusal where no rate is known."""
BATCH_SLOWDOWN_RECOVERY = 0.25
"""Slowdown steps undone by a success where a call may carry a batch; elsewhere a success undoes one step."""
WARMUP_BUDGET_MARGIN = 0.7
"""Share of the warm-up budget that is used, because the capacity that it is based on is an estimate."""
EXTRA_MESSAGE_WEIGHT = 0.2
"""Weight of each further message of a batch call in the warm-up budget; the first one weighs 1."""
OVERDUE_LATENCY_MULTIPLE = 4.0
"""A call is overdue after its expected latency times this, plus `OVERDUE_SLACK`."""
OVERDUE_SLACK = 0.5
"""Seconds, so that jitter does not make short calls overdue."""
TIMEOUT_OVERDUE_MULTIPLE = 3.0
"""A repeatable message's attempt times out after the overdue time multiplied by this."""
MIN_CONNECTION_UTILIZATION = 0.25
"""Share of the time for which a connection must be in use to be worth an entry in a connection table."""
CROSS_ZONE_PENALTY = 5.0
"""Calls in flight that another zone counts as when a route is chosen, if cross-zone calls have a price."""
NEW_CONNECTION_PENALTY = 0.75
"""Calls in flight that opening a connection counts as when a route is chosen."""
MIN_CONNECTION_TABLE_SIZE = 4
"""Idle connections for which the connection table of any endpoint has room."""
CROWDED_DURATION = 30.0
"""Seconds for which idle connections are closed after a failed connect at a destination that is up."""
LATENCY_EMA_WEIGHT = 0.1
"""Weight of a new call in the exponential moving average of the latency."""
INITIAL_LATENCY_SHARE = 0.2
"""Expected latency before any call has succeeded, as a share of the class's latency target."""
STALE_LOSS_THRESHOLD = 3.0
"""Calls lost on idle connections after which connections idle for that long are closed before a call."""
STALE_LOSS_RECOVERY = 0.4
"""Lost calls that a success on an idle connection offsets, and that an unanswered overdue call counts as."""
MIN_IDLE_SHARE = 0.1
"""Share of the keep-alive time; connections idle for less say nothing about lost idle connections."""
MAX_SUBMISSION_DELAY = 0.4
"""Seconds for which a client waits for the answer to a submission. If the message is submitted again, its
deadline may count as this much later."""
DESTINATION_SLOT_DIVISOR = 3
"""A destination may use one in this many of the call slots, and at least two."""

GOSSIP_FAILURE = b"F"
GOSSIP_SUCCESS = b"S"
GOSSIP_CROWDED = b"C"
"""First byte of a gossip message; the rest is the key of a breaker scope."""

NOT_RUN_OUTCOMES = frozenset((Outcome.FULL, Outcome.CONNECT_FAILED, Outcome.NOT_SENT))
"""Outcomes after which the message has certainly not run at the endpoint."""


def _max_outage_wait(settings: api.Settings) -> float:
    """Seconds for which a message may wait for a destination that is down; at least the failure window."""
    if settings.may_gossip:  # the first success is announced to all senders, which ends the wait
        return FAILURE_WINDOW
    return max(FAILURE_WINDOW, *(message_class.deadline for message_class in settings.classes))


class Sender:
    """Decides for one node: pass events that arrived together to `turn`, carry out its actions in order."""

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
        self._slots_per_destination = max(2, settings.max_calls // DESTINATION_SLOT_DIVISOR)
        self._max_outage_wait = _max_outage_wait(settings)
        self._crowded_until = 0.0  # until when idle connections are closed
        self._stale_losses = 0.0  # calls lost on idle connections, less the part offset by successes on such
        self._shortest_lost_idle = NEVER  # the shortest idle time after which a call was lost, in seconds
        # The zone to which calls cost less; None if all zones cost the same.
        self._home_zone = settings.zone if settings.cross_zone_price else None
        self._active_queues: dict[DestinationQueue, None] = {}  # those with messages, in order of arrival
        self._expiry_heap: list[tuple[float, int]] = []  # latest attempt start, message
        self._overdue_heap: list[tuple[float, int, Call]] = []  # when overdue, tie-breaker, call
        self._stuck_calls: list[Call] = []  # overdue calls, oldest first
        self._sequence = self._timer_token = 0
        self._messages_by_key: dict[int, deque[Message]] = {}  # by ordering key, in order of arrival
        self._order_pauses: list[tuple[float, int]] = []  # heap: end of the pause, ordering key
        self._list_refresh = ListRefresh(settings, self._random)
        self._initial_list = InitialList()
        self.awaits_initial_list = False
        """Whether calls wait for discovery's list, as of the last turn: the one at hand may be outdated."""
        self._timer_at = NEVER

    def turn(self, now: float, events: Collection[api.Event]) -> list[api.Action]:
        """Process all events that arrived together and return the resulting actions."""
        self._now = now
        self._actions = []
        # Whether this may change which calls can be sent: a turn without events by the time that has passed,
        # gossip not always.
        changed = not events
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
        self._update_initial_list_wait()
        if self._initial_list.take_fetch(now):
            self._actions.append(api.FetchEndpoints())
        self._set_timer(
            min(self._list_refresh.next_call_at, self._initial_list.next_event_at(now), self._dispatch())
        )
        return self._actions

    def _apply_settings(self, settings: api.Settings) -> None:
        """Use other settings from now on; pending messages keep the terms of their class."""
        self._settings = settings
        self._slots_per_destination = max(2, settings.max_calls // DESTINATION_SLOT_DIVISOR)
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
        """Count a failed call and open the breaker at the threshold; returns whether it opened.

        `outcome` is None if the call was not answered, or if another sender announced the failure.
        """
        now = self._now
        gossip_enabled = self._settings.may_gossip
        breaker = self._breakers.setdefault(scope, CircuitBreaker())
        if now < breaker.open_until:
            return False  # calls that end while the breaker is open neither count nor extend the opening
        if now >= breaker.window_end:
            breaker.failures = 0
            breaker.gossip_failures = 0
            breaker.successes = 0
            breaker.window_end = now + FAILURE_WINDOW
        breaker.failures += 1
        is_down = now > breaker.unavailable_since + OUTAGE_AFTER
        if gossip_enabled and outcome is not Outcome.RESET and (outcome is not Outcome.FULL or is_down):
            breaker.gossip_failures += 1
            if not from_gossip:
                self._broadcast_gossip(GOSSIP_FAILURE, scope)
        # A few errors among many successes (packet loss, one failing class) must not block other messages.
        tolerated = (
            outcome is not Outcome.FULL and breaker.failures < breaker.successes * TOLERATED_FAILURE_RATIO
        )
        # One of many senders makes too few calls in a window to see the third failure, so its breaker opens
        # sooner if the message may have run.
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
            number = scope.destination.number
            cause = outcome.name if outcome else "SILENCE"
            self._actions.append(api.Log(f"destination {number} open for {OPEN_DURATION:g} s after {cause}"))
            return True
        return False

    def _extend_open(self, breaker: CircuitBreaker, destination: Destination, until: float) -> None:
        """Keep the breaker open until at least `until`; give up queued messages that cannot wait for it."""
        breaker.open_until = max(breaker.open_until, until)
        self._randomize_warmup_start(breaker)
        if self._is_new_outage(breaker):
            breaker.cold_until = NEVER
        for message in [m for queue in destination.queues.values() for m in queue.queued_messages()]:
            if not message.finished and self._too_late_to_send(message):
                self._give_up(message)

    def _randomize_warmup_start(self, breaker: CircuitBreaker) -> None:
        """Place the first call of the warm-up at random in its gap, on one of as many points as senders."""
        # Many senders learn of the same success, or the same closing time, and would all call at once.
        breaker.warmup_budget_used = self._random.randrange(n := self._settings.senders) / n - 1.0
        breaker.warmup_budget_since = max(self._now, breaker.open_until)

    def _is_new_outage(self, breaker: CircuitBreaker) -> bool:
        """Whether calls are refused, or held back, for longer than a busy destination refuses all calls."""
        few_calls = not self._settings.may_gossip and breaker.next_call_at >= self._now + FAILURE_WINDOW
        held_until = max(breaker.open_until, breaker.next_call_at) if few_calls else breaker.open_until
        since = self._now if self._settings.may_gossip else breaker.unavailable_since
        return breaker.cold_until < NEVER and max(self._now, held_until) > since + OUTAGE_AFTER

    def _record_success(self, scope: BreakerScope, limit_is_low: bool) -> None:
        """Undo part of the slowdown after a successful call; the spacing ends once nothing is queued.

        A low remaining share of a reported limit starts the spacing: many senders use the limit up together,
        and each makes too few calls to notice.
        """
        breaker = self._breakers.get(scope) or CircuitBreaker()
        breaker.successes += 1
        breaker.unavailable_since = NEVER
        recovered = breaker.cold_until == NEVER and self._now >= breaker.open_until
        if breaker.gossip_failures or recovered:
            self._broadcast_gossip(GOSSIP_SUCCESS, scope)
            breaker.failures -= breaker.gossip_failures
            breaker.gossip_failures = 0
        if recovered:
            # Refusals during an outage do not show a limit, nor failed connects a full connection table.
            breaker.cold_until = self._now + self._settings.warmup_seconds
            breaker.slowdown_steps = 0.0
            scope.connect_failed_at.clear()
        if limit_is_low:
            self._breakers[scope] = breaker
            breaker.slowdown_steps = max(breaker.slowdown_steps, 1.0)
        elif breaker.slowdown_steps:
            has_queued = any(queue in self._active_queues for queue in scope.destination.queues.values())
            batched = scope.destination.kind.max_batch > 1  # a later call takes the queued messages with it
            breaker.slowdown_steps = max(
                float(has_queued), breaker.slowdown_steps - (BATCH_SLOWDOWN_RECOVERY if batched else 1.0)
            )

    def _broadcast_gossip(self, gossip_type: bytes, scope: BreakerScope) -> None:
        if self._settings.may_gossip:
            self._actions.append(api.TellPeer(None, gossip_type + scope.gossip_key))

    def _receive_gossip(self, data: bytes) -> bool:
        """Count a failure, or end the count after a success; returns whether other calls can go now."""
        gossip_type = data[:1]
        scope = self._scopes_by_key.get(data[1:])
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
        breaker.failures -= breaker.gossip_failures
        breaker.gossip_failures = 0
        breaker.unavailable_since = NEVER
        if breaker.cold_until == NEVER:
            breaker.cold_until = self._now + self._settings.warmup_seconds
            breaker.slowdown_steps = 0.0
            # Budget that was saved up before the success would release all senders' calls at once.
            self._randomize_warmup_start(breaker)
            return True
        return False

    def _route_available_at(self, route: Route) -> float:
        """Earliest time at which a call may go to the route. Deletes a closed breaker without counts."""
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
        """When the warm-up budget has grown to the weight of the next call."""
        queued = sum(len(queue.on_time) + len(queue.late) for queue in scope.destination.queues.values())
        batch_size = min(queued, self._max_batch_size(breaker, scope.destination.kind))
        weight = breaker.warmup_budget_used + 1.0 + EXTRA_MESSAGE_WEIGHT * max(0, batch_size - 1)
        return breaker.warmup_budget_since + weight / self._warmup_rate(breaker, scope)

    def _max_batch_size(self, breaker: CircuitBreaker, kind: api.DestinationKind) -> int:
        """Most messages in a call: one until a call succeeds after an outage, unless calls are refused."""
        return 1 if breaker.cold_until == NEVER and breaker.unavailable_since == NEVER else kind.max_batch

    def _queue_available_at(self, queue: DestinationQueue) -> float:
        """Earliest time at which a call may go to any route that the queue's messages may use."""
        return min((self._route_available_at(route) for route in queue.routes()), default=NEVER)

    def _rate_share(self, scope: BreakerScope) -> float:
        """This sender's part of the destination's calls per second: by its arrivals, at least an even share.

        Where no rate is known, by its arrivals alone.
        """
        # The known rate is a limit on calls. Arrivals are messages, and a batch call carries several: counted
        # one by one, they would use the limit many times over.
        arrival_rate = self._arrival_rate(scope)
        known_rate = scope.reported_limit or scope.listed_rate
        own_call_rate = arrival_rate / scope.destination.kind.max_batch
        return min(known_rate, max(own_call_rate, known_rate / self._settings.senders)) or max(
            own_call_rate, min(arrival_rate, 1.0 / MAX_INITIAL_CALL_GAP)
        )

    def _arrival_rate(self, scope: BreakerScope) -> float:
        """Messages per second that arrive at this sender for the scope."""
        destination = scope.destination
        return destination.arrival_rate / max(
            1, len(destination.routes) if destination.kind.separate_routes else 1
        )

    def _schedule_next_call(self, scope: BreakerScope) -> None:
        """Set when the next call may go: a gap from now after refusals, by the budget during warm-up."""
        breaker = self._breakers.get(scope) or CircuitBreaker()
        jitter = self._random.uniform(1.0, 1.1)
        # A gap that does not come from a known rate gets more jitter; otherwise senders that were refused
        # together would call together again.
        spread = jitter if scope.reported_limit or scope.listed_rate else self._random.uniform(0.5, 1.5)
        breaker.next_call_at = self._now + spread * self._call_gap(breaker, scope)
        breaker.warmup_budget_used = jitter - 1.0
        breaker.warmup_budget_since = self._now

    def _call_gap(self, breaker: CircuitBreaker, scope: BreakerScope) -> float:
        """Seconds between two calls of this sender while they are spaced after refusals."""
        max_gap = NEVER if scope.reported_limit or scope.listed_rate else MAX_INITIAL_CALL_GAP
        exponent = min(max(0.0, breaker.slowdown_steps - 1.0), MAX_SLOWDOWN_EXPONENT)
        return float(SLOWDOWN_FACTOR**exponent) * min(1.0 / self._rate_share(scope), max_gap)

    def _warmup_rate(self, breaker: CircuitBreaker, scope: BreakerScope) -> float:
        """This sender's share of the calls per second that a recovering destination can take by now."""
        progress = max(0.0, 1.0 - (breaker.cold_until - self._now) / (self._settings.warmup_seconds or 1.0))
        capacity = self._settings.warmup_start_share + (1.0 - self._settings.warmup_start_share) * progress
        rate = self._rate_share(scope)
        if breaker.cold_until == NEVER:
            # No call has succeeded yet. At a popular destination, the arrivals at all senders together may be
            # far above its limit. Each sender with a queued message takes a share, and the queues hold what
            # arrived during a message's whole lifetime.
            even_share = (scope.reported_limit or scope.listed_rate or NEVER) / self._settings.senders
            rate = min(
                self._arrival_rate(scope),
                max(1.0 / self._max_outage_wait, MAX_EVEN_SHARE_MULTIPLE * even_share),
            )
        return rate * capacity * self._settings.overload_multiple * WARMUP_BUDGET_MARGIN

    # ---- messages ----

    def _on_message_received(self, event: api.MessageReceived) -> None:
        class_index = event.message_class
        message_class = self._settings.classes[event.message_class]
        latency_target_at = min(event.due, event.due - message_class.deadline + message_class.latency_target)
        key = event.key if message_class.ordered else None
        message = Message(
            event.message, class_index, message_class, event.destination, event.due, latency_target_at, key
        )
        message.attempts = event.attempts
        message.may_have_run_at = event.may_have_run_at
        message.may_have_run_zone = event.may_have_run_zone
        message.size = event.size
        if event.from_dead_sender and message.may_have_run_at is None:
            self._assume_sent_before(message)
        self._messages[event.message] = message
        self._pending_count += 1
        destination = self._get_destination(event.destination)
        destination.messages += 1
        decay = max(0.0, 1.0 - (self._now - destination.arrival_rate_at) / FAILURE_WINDOW)
        destination.arrival_rate = destination.arrival_rate * decay + 1.0 / FAILURE_WINDOW
        destination.arrival_rate_at = self._now
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

    @staticmethod
    def _assume_sent_before(message: Message) -> None:
        """Begin the dedup window when the client first submitted the message to the sender that stopped.

        That sender may have sent it, in a zone that is not known: where only one zone drops repeats, nothing
        can be assumed.
        """
        message_class = message.message_class
        if message_class.effect is Effect.KEYED and not message.zone_scoped_dedup:
            message.may_have_run_at = message.due - message_class.deadline - MAX_SUBMISSION_DELAY

    def _expected_latency(self, message: Message) -> float:
        """Expected duration of a call with a message of this class to this destination, in seconds."""
        return self._get_destination(message.destination).latency_ema.get(
            message.class_index, message.message_class.latency_target * INITIAL_LATENCY_SHARE
        )

    def _repeatable_until(self, message: Message) -> float:
        """Until when neither another attempt nor a refusal to the client can double the message's effect."""
        message_class = message.message_class
        if message.may_have_run_at is None or message_class.effect is Effect.SAFE:
            return NEVER
        if message_class.effect is Effect.UNSAFE or (
            message.zone_scoped_dedup and message.may_have_run_zone is None
        ):
            return -NEVER
        return message.may_have_run_at + message_class.dedup_window

    def _may_refuse(self, message: Message) -> bool:
        """Whether the client may submit the message again, at any time, to any sender and in any zone.

        A sender that receives it again does not know when it may have run, and may send it until it is due.
        """
        if message.zone_scoped_dedup and message.may_have_run_at is not None:
            return False
        return message.due + MAX_SUBMISSION_DELAY <= self._repeatable_until(message)

    def _latest_attempt_start(self, message: Message) -> float:
        """Latest time at which another attempt is allowed and a call of the expected latency still fits."""
        # The attempt has to be repeatable when its request is written, which is after the connect.
        latest_repeat = (
            self._repeatable_until(message) - self._settings.connect_timeout - self._settings.clock_resolution
        )
        return min(message.due - self._expected_latency(message), latest_repeat)

    def _enqueue(self, message: Message) -> None:
        """Queue a message at its destination; give it up if it cannot wait until the breaker closes."""
        if message.attempts >= self._settings.max_attempts or self._too_late_to_send(message):
            self._give_up(message)
        else:
            queue = self._queue_for(message)
            self._sequence += 1
            heappush(queue.on_time, (message.latency_target_at, 0.0, self._sequence, message))
            self._active_queues[queue] = None

    def _queue_for(self, message: Message) -> DestinationQueue:
        """Queue for any zone; for a message that may have run, the zone that drops its repeats."""
        return self._get_destination(message.destination).queue(
            message.may_have_run_zone if message.zone_scoped_dedup else None
        )

    def _too_late_to_send(self, message: Message) -> bool:
        """Whether a call of the expected latency fits neither now nor once the breaker closes."""
        return max(self._now, self._earliest_close(message)) > self._latest_attempt_start(message)

    def _earliest_close(self, message: Message) -> float:
        """When the first breaker of the message's routes closes. Without a route 0: no reason to refuse."""
        breakers = [self._breakers.get(route.breaker_scope) for route in self._queue_for(message).routes()]
        return min((breaker.open_until if breaker else 0.0 for breaker in breakers), default=0.0)

    def _give_up_reason(self, message: Message) -> GiveUpReason:
        """Why a message that cannot be sent is given up, as of now."""
        latest_start = self._latest_attempt_start(message)
        if latest_start < min(self._now, message.due - self._expected_latency(message)):
            return GiveUpReason.MAY_HAVE_RUN
        if message.attempts >= self._settings.max_attempts:
            return GiveUpReason.NO_ATTEMPT_LEFT
        if self._earliest_close(message) > self._now:
            return GiveUpReason.BREAKER_OPEN
        return GiveUpReason.NO_TIME_LEFT

    def _give_up(self, message: Message, reason: GiveUpReason | None = None) -> None:
        """Give the final answer for a message that is not sent again: a refusal if the client may retry."""
        reason = reason or self._give_up_reason(message)
        if self._may_refuse(message):
            # Advise the client to retry when a call may go. If the message may have run, advise the time at
            # which the breaker closes, so that the endpoint still recognizes the repeat.
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
            self._actions.append(api.Refuse(message.id, retry_after if retry_after > 0.0 else None, reason))
        else:
            self._actions.append(api.Fail(message.id, reason))
        self._finish(message)

    def _finish(self, message: Message) -> None:
        message.finished = True
        self._pending_count -= 1
        if message.call is None:
            self._remove_message(message)

    def _remove_message(self, message: Message) -> None:
        """Drop a finished message with no attempt in flight and start the next one of its ordering key.

        If the last attempt may still be running at the endpoint, the next message waits for the order pause.
        """
        del self._messages[message.id]
        self._forget_unlisted_destination(message)
        if message.ordering_key is None:
            return
        key_queue = self._messages_by_key[message.ordering_key]
        if key_queue[0] is not message:
            key_queue.remove(message)
        elif message.order_pause_until > self._now:
            heappush(self._order_pauses, (message.order_pause_until, message.ordering_key))
        else:
            self._start_next_of_key(message.ordering_key)

    def _forget_unlisted_destination(self, message: Message) -> None:
        """Count a removed message; with the last one, drop a destination that only clients have named."""
        destination = self._get_destination(message.destination)
        destination.messages -= 1
        if not destination.messages and not destination.listed:
            for queue in destination.queues.values():
                self._active_queues.pop(queue, None)
            del self._destinations[destination.number]

    def _start_next_of_key(self, key: int) -> None:
        """Queue the next message of an ordering key; only one of them at a time is queued or in flight."""
        key_queue = self._messages_by_key[key]
        key_queue.popleft()
        if key_queue:
            self._enqueue(key_queue[0])
        else:
            del self._messages_by_key[key]

    def _shed_load(self) -> None:
        """At the limit on pending messages, refuse the queued message that loses least by it.

        This leaves room, so that the intake need not reject new messages.
        """
        queued = [m for m in self._messages.values() if m.queued]
        counts = Counter(m.destination for m in queued)
        drain_times = {
            number: self._queue_drain_time(self._get_destination(number), counts[number]) for number in counts
        }

        def shed_priority(message: Message) -> tuple[bool, float, float, float, int]:
            # Messages that would fail, because their client may not retry, are shed last.
            drain_time = drain_times[message.destination]
            preferred = drain_time > 0.0 and self._may_refuse(message)
            return preferred, drain_time, -message.message_class.worth, message.latency_target_at, message.id

        if queued:
            self._give_up(max(queued, key=shed_priority), GiveUpReason.NO_ROOM)

    def _queue_drain_time(self, destination: Destination, count: int) -> float:
        """Seconds until `count` messages queued for the destination are sent at the current pace."""
        # The time of the calls counts even if they are not spaced: a healthy destination with small batches
        # drains its queue sooner than one that is down, and keeps its messages.
        available_at = self._queue_available_at(destination.queue(None))
        calls = -(-count // destination.kind.max_batch)
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
        """Give up messages for which a call of the expected latency no longer fits."""
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
        call = message.call
        outcome = event.outcome
        if outcome not in NOT_RUN_OUTCOMES and message.may_have_run_at is None:
            message.may_have_run_at = call.sent_at
            message.may_have_run_zone = call.route.zone
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
            message.order_pause_until = self._now + self._settings.order_pause  # it may still be running
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
            # Idle connections of many senders would fill the connection tables of endpoints. During an outage
            # closing them costs handshakes.
            self._actions.append(api.CloseIdle(call.route.address))
            call.route.connections = call.route.calls_in_flight

    def _record_outcome(self, message: Message, call: Call, event: api.AttemptEnded) -> None:
        """Learn about the destination from an outcome; that of a batch call counts once."""
        route = call.route
        scope = route.breaker_scope
        outcome = event.outcome
        now = self._now
        # x0: share of the limit that remains; x1: the limit, in calls per second.
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
                # A gap longer than the latency target would cost more than the refusals that it avoids.
                limit_is_low = scope.reported_limit > 0.0 and report.get("x0", 1.0) < LOW_REMAINING_SHARE
                self._record_success(
                    scope,
                    limit_is_low and self._rate_share(scope) * message.message_class.latency_target >= 1.0,
                )
                # The destination is up, so an earlier failed connect was due to a full connection table.
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
                    # One of many senders sees few accepted calls. A report that the limit is in use counts as
                    # one, unless the wait is too long for a limit. A wait while the limit is unused shows an
                    # outage.
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
                # A connect without an answer counts as silence: the host is gone. With a full connection
                # table it would refuse at once.
                host_gone = (
                    outcome is Outcome.CONNECT_FAILED and event.elapsed >= self._settings.connect_timeout
                )
                self._record_failure(scope, None if host_gone else outcome)
        breaker = self._breakers.get(scope) or CircuitBreaker()
        explained_by_limit = (
            report.get("x0", 1.0) < BUSY_REMAINING_SHARE
            and scope.last_success_sent_at >= now - FAILURE_WINDOW
        )
        if event.retry_after:
            self._breakers[scope] = breaker
            self._extend_open(
                breaker, scope.destination, now + event.retry_after + self._settings.clock_resolution
            )
        elif outcome is Outcome.FULL and not explained_by_limit and self._is_new_outage(breaker):
            # An opening of zero length: it only paces the warm-up.
            self._extend_open(breaker, scope.destination, now)

    def _avoid_route(self, call: Call) -> None:
        """Prefer other routes for a window. A success or refusal on this one lifts it for a message class."""
        call.route.avoid_until = dict.fromkeys(range(len(self._settings.classes)), self._now + FAILURE_WINDOW)

    def _record_idle_result(self, call: Call, weight: float) -> None:
        """Learn from lost calls after which idle time the network drops connections.

        A wrong conclusion costs handshakes.
        """
        if (
            call.connection_idle > self._settings.keepalive * MIN_IDLE_SHARE
            and self._stale_losses < STALE_LOSS_THRESHOLD
        ):
            self._stale_losses = max(0.0, self._stale_losses + weight)
            if weight > 0.0:
                self._shortest_lost_idle = min(self._shortest_lost_idle, call.connection_idle)

    def _detect_silence(self) -> None:
        """Count an overdue call as a failure before it ends, unless the destination answers later calls."""
        # Detects hosts that hang or vanish; a few very slow messages do not count while others succeed.
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
            self._initial_list.failed(self._now, event)
            return
        self._list_refresh.succeeded()
        if event.scope is api.UpdateScope.CACHED:
            self._list_refresh.started(self._now)
        if event.update_expected:
            self._initial_list.started(self._now, self._settings)
        else:
            self._initial_list.received()
        if event.scope is not api.UpdateScope.DELTA:
            for address in set(self._destination_by_address) - {
                endpoint.address for endpoint in event.endpoints
            }:
                self._remove_endpoint(address)
        for endpoint in event.endpoints:
            if endpoint.state is not api.EndpointState.READY:
                self._remove_endpoint(endpoint.address)
                continue
            if self._destination_by_address.get(endpoint.address) != endpoint.destination:
                self._remove_endpoint(endpoint.address)  # it belonged to another destination
            destination = self._get_destination(endpoint.destination)
            destination.listed = True
            destination.kind = self._settings.kinds[endpoint.kind]
            if endpoint.address not in destination.routes:
                separate = destination.kind.separate_routes
                host, port = endpoint.address
                destination_key = (n := endpoint.destination).to_bytes(n.bit_length() // 8 + 1, signed=True)
                key = host + port.to_bytes(2) if separate else destination_key
                if (scope := self._scopes_by_key.get(key)) is None or scope.destination is not destination:
                    scope = self._scopes_by_key[key] = BreakerScope(key, destination)
                destination.routes[endpoint.address] = Route(endpoint.address, endpoint.zone, scope)
                self._destination_by_address[endpoint.address] = endpoint.destination
            destination.routes[endpoint.address].breaker_scope.listed_rate = (
                endpoint.rate * self._settings.listed_rates
            )

    def _update_initial_list_wait(self) -> None:
        """Find out whether calls wait for discovery's list, and log when that changes."""
        awaited = self._initial_list.awaited(self._now)
        if awaited is not self.awaits_initial_list:
            self.awaits_initial_list = awaited
            self._actions.append(
                api.Log("calls wait for discovery's list" if awaited else "calls no longer wait for the list")
            )

    def _remove_endpoint(self, address: api.Address) -> None:
        """Send no more calls to an endpoint that is draining or gone, from this turn on."""
        if address in self._destination_by_address:
            del self._destinations[self._destination_by_address.pop(address)].routes[address]

    # ---- sending ----

    def _dispatch(self) -> float:
        """Make the calls that may go, in the order of their ranks; returns when to dispatch again."""
        if self.awaits_initial_list:
            return NEVER
        ranked: list[tuple[bool, float, int, DestinationQueue]] = []
        next_at = min((self._rank_queue(ranked, queue) for queue in list(self._active_queues)), default=NEVER)
        while ranked and self._calls_in_flight < self._settings.max_calls:
            queue = heappop(ranked)[-1]
            if queue.destination.calls_in_flight < self._slots_per_destination:
                if self._queue_available_at(queue) <= self._now:  # a call of another queue may have moved it
                    self._send_call(queue)
                next_at = min(next_at, self._rank_queue(ranked, queue))
        if ranked and self._settings.may_cancel and self._calls_in_flight >= self._settings.max_calls:
            self._cancel_stuck_calls(len(ranked))
        return next_at

    def _rank_queue(
        self, ranked: list[tuple[bool, float, int, DestinationQueue]], queue: DestinationQueue
    ) -> float:
        """Push the queue's next call onto the heap by its rank; returns when it may go, if that is later."""
        rank = self._head_rank(queue)
        available_at = self._queue_available_at(queue)
        if rank is None:
            del self._active_queues[queue]
        elif available_at > self._now:
            return available_at
        else:
            self._sequence += 1
            heappush(ranked, (*rank, self._sequence, queue))
        return NEVER

    def _cancel_stuck_calls(self, slots_wanted: int) -> None:
        """Cancel calls to silent destinations when others need their slots, repeatable ones first.

        Otherwise calls that wait for their deadline could take all slots. This may lose an answer to come.
        """
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
        """Rank of the queue's next call: on time before late, then by slot time per unit of worth.

        Moves messages that will miss their latency target from `on_time` to `late`.
        """
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
        """Make one call with messages of the queue."""
        now = self._now
        calls_per_connection = self._settings.calls_per_connection
        destination = queue.destination
        routes = [route for route in queue.routes() if self._route_available_at(route) <= now]
        class_index = (queue.on_time or queue.late)[0][-1].class_index

        def cost(route: Route) -> tuple[bool, float, float]:
            penalty = CROSS_ZONE_PENALTY * (route.zone != self._home_zone) + (
                0.0 if self._has_free_connection(route) else NEW_CONNECTION_PENALTY
            )
            # Random tie-break: all senders have the list in the same order and would take the first one.
            return (
                route.avoid_until.get(class_index, 0.0) > now,
                route.calls_in_flight + penalty,
                self._random.random(),
            )

        route = min(routes, key=cost)
        breaker = self._breakers.get(route.breaker_scope) or CircuitBreaker()
        unproven = breaker.cold_until == NEVER  # no call has succeeded since the outage
        call = Call(route, now)
        max_messages = self._max_batch_size(breaker, destination.kind)
        overdue_after = 0.0
        if not self._has_free_connection(route):
            route.connections += 1
        elif (
            self._stale_losses >= STALE_LOSS_THRESHOLD
            and now - route.all_in_use_at >= self._shortest_lost_idle
        ):
            # The network drops connections that are idle for this long, and a call on one would be lost.
            self._actions.append(api.CloseIdle(route.address))
            route.connections = route.calls_in_flight // calls_per_connection + 1
        else:
            call.connection_idle = now - route.all_in_use_at
        route.calls_in_flight += 1
        if route.calls_in_flight > (route.connections - 1) * calls_per_connection:
            route.all_in_use_at = now
        while call.open_attempts < max_messages and self._head_rank(queue) is not None:
            message = self._next_message(queue, unproven)
            if call.messages and call.size + message.size > api.MAX_BODY_BYTES:
                break
            self._take_message(queue, message, unproven)
            message.call = call
            call.messages.append(message)
            call.size += message.size
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
        """Whether the next call comes soon enough for a connection to be worth its connection table entry.

        An idle connection may take the entry of a sender whose connect then fails. Its owner is never refused
        and so never learns that the table is full.
        """
        destination = self._get_destination(message.destination)
        senders = self._settings.senders
        # With gossip a sender that is refused announces it. Without, a queued call that may go now is enough.
        if self._settings.may_gossip or any(
            queue in self._active_queues and self._queue_available_at(queue) <= self._now
            for queue in destination.queues.values()
        ):
            return True
        utilization = destination.arrival_rate * self._expected_latency(message) / MIN_CONNECTION_UTILIZATION
        return senders * (1.0 - utilization) <= MIN_CONNECTION_TABLE_SIZE

    def _has_free_connection(self, route: Route) -> bool:
        """Whether a connection is believed to be free: opening one takes time and has a price."""
        if self._now - route.all_in_use_at > self._settings.keepalive:
            route.connections = -(-route.calls_in_flight // self._settings.calls_per_connection)
        return route.calls_in_flight < route.connections * self._settings.calls_per_connection

    def _next_message(self, queue: DestinationQueue, unproven: bool) -> Message:
        """The message to send next; repeatable ones first until a call succeeds after an outage."""
        for message in queue.queued_messages() if unproven else ():
            if message.message_class.effect is not Effect.UNSAFE:
                return message
        return (queue.on_time or queue.late)[0][-1]

    def _take_message(self, queue: DestinationQueue, message: Message, unproven: bool) -> None:
        """Remove the message that `_next_message` returned."""
        if not unproven or message.message_class.effect is Effect.UNSAFE:
            heappop(queue.on_time or queue.late)
            return
        # Its entry is removed now, because the message may move to the queue of a zone next.
        for entries in (queue.on_time, queue.late):
            entries[:] = sorted(entry for entry in entries if entry[-1] is not message)

    def _set_timer(self, wake_at: float) -> None:
        for heap, delay in (
            (self._overdue_heap, 0.0),
            (self._order_pauses, 0.0),
            (self._expiry_heap, self._settings.clock_resolution),
        ):
            if heap:
                wake_at = min(wake_at, heap[0][0] + delay)
        if wake_at < self._timer_at:
            self._timer_at = wake_at
            self._timer_token += 1
            self._actions.append(api.SetTimer(max(0.0, min(wake_at - self._now, 3600.0)), self._timer_token))
