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
USED_UP_REMAINING_SHARE = (
    0.75  # a share left under this explains a refusal: it is the limit, and the destination is not shut
)
LOW_REMAINING_SHARE = (
    1.0 - USED_UP_REMAINING_SHARE
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


def _longest_wait(settings: api.Settings) -> float:
    """Seconds for which a message may wait for a destination that is down, a window at the least."""
    if settings.may_gossip:  # the first success is told to all, which ends the wait
        return FAILURE_WINDOW
    return max(FAILURE_WINDOW, *(kind.deadline for kind in settings.classes))


class Sender:
    """One sender's decisions. Give it everything that came together; carry out what it returns, in order."""

    def __init__(self, settings: api.Settings, seed: int) -> None:
        self._settings = settings
        self._random = Random(seed)
        self._now = 0.0
        self._actions: list[api.Action] = []
        self._breakers: dict[BreakerScope, CircuitBreaker] = {}
        self._limits: dict[bytes, BreakerScope] = {}
        self._destinations: dict[int, Destination] = {}
        self._where: dict[api.Address, int] = {}
        self._messages: dict[int, Message] = {}
        self._held = self._calls = 0
        self._slots = max(2, settings.max_calls // DESTINATION_SLOT_DIVISOR)  # that one destination may hold
        self._longest_wait = _longest_wait(settings)
        self._crowded_until = 0.0  # until when idle connections are given back
        self._stale = 0.0  # calls lost on idle connections, less a part of such calls that succeeded
        self._idle_limit = NEVER  # the shortest idle time before such a loss
        self._home_zone = (
            settings.zone if settings.cross_zone_price else None
        )  # the zone to which calls cost less
        self._waiting: dict[DestinationQueue, None] = {}  # lines with messages in them, in order of arrival
        self._expiry: list[tuple[float, int]] = []
        self._overdue: list[tuple[float, int, Call]] = []
        self._stuck: list[Call] = []  # overdue at a silent destination, oldest first
        self._sequence = self._timers = 0
        self._keys: dict[int, deque[Message]] = {}
        self._resting: list[tuple[float, int]] = []
        self._list_refresh = ListRefresh(settings, self._random)
        self._wake = NEVER

    def turn(self, now: float, events: Collection[api.Event]) -> list[api.Action]:
        """Take all that came at one time and answer with what to do about it."""
        self._now, self._actions = now, []
        changed = not events  # whether anything, if only time, may have changed what goes when
        for event in events:
            changed |= not isinstance(event, api.PeerMessage) or self._on_gossip(event.data)
            match event:
                case api.AttemptEnded():
                    self._ended(event)
                case api.MessageReceived():
                    self._received(event)
                case api.EndpointsUpdated():
                    self._updated(event)
                case api.SettingsChanged():
                    self._adopt(event.settings)
                case api.MessageWithdrawn():
                    if (message := self._messages.get(event.message)) is not None and not message.over:
                        self._finish(message)
                case api.TimerFired() if event.token == self._timers:
                    self._wake = NEVER
        if not changed:
            return self._actions
        self._look_for_silence()
        while self._resting and self._resting[0][0] <= now:
            self._next_of_key(heappop(self._resting)[1])
        self._expire()
        if now >= self._list_refresh.next_at:
            self._list_refresh.next_at = NEVER
            self._actions.append(api.Subscribe(True))
        self._set_timer(min(self._list_refresh.next_at, self._dispatch()))
        return self._actions

    def _adopt(self, settings: api.Settings) -> None:
        """Decide by other settings from here on; messages that are held keep the terms of their class."""
        self._settings, self._slots = settings, max(2, settings.max_calls // DESTINATION_SLOT_DIVISOR)
        self._longest_wait = _longest_wait(settings)
        self._list_refresh.adopt(settings)
        self._home_zone = settings.zone if settings.cross_zone_price else None
        kinds = {kind.name: kind for kind in settings.kinds}
        for destination in self._destinations.values():
            destination.kind = kinds.get(destination.kind.name, destination.kind)

    # ---- the circuit breaker ----

    def _record_failure(self, limit: BreakerScope, reason: Outcome | None, from_gossip: bool = False) -> bool:
        """Count a refusal or an error; the third in the window opens the breaker. Returns whether it did."""
        now, gossips = self._now, self._settings.may_gossip
        breaker = self._breakers.setdefault(limit, CircuitBreaker())
        if now < breaker.open_until:
            return False  # landing while open: neither counts nor extends
        if now >= breaker.window_end:
            breaker.failures, breaker.shared, breaker.successes, breaker.window_end = (
                0,
                0,
                0,
                now + FAILURE_WINDOW,
            )
        breaker.failures += 1
        shut = now > breaker.unreachable_since + OUTAGE_AFTER
        if gossips and reason is not Outcome.RESET and (reason is not Outcome.FULL or shut):
            breaker.shared += 1
            if not from_gossip:
                self._broadcast(GOSSIP_FAILURE, limit)
        # Few errors among many successes (a lossy path, one failing class) must not shut the rest out.
        few = reason is not Outcome.FULL and breaker.failures < breaker.successes * TOLERATED_FAILURE_RATIO
        # One of many senders has too few calls in a window to see the third: what may have run opens sooner.
        most = (
            FAILURE_THRESHOLD
            if reason in NOT_RUN_OUTCOMES or gossips
            else max(1.0, self._rate(limit) * FAILURE_WINDOW // 1.0)
        )
        if (
            breaker.failures - breaker.shared >= min(FAILURE_THRESHOLD, most) and not few
        ) or breaker.shared >= GOSSIP_FAILURE_THRESHOLD:
            down = breaker.shared >= GOSSIP_FAILURE_THRESHOLD if gossips else reason not in NOT_RUN_OUTCOMES
            breaker.failures = breaker.shared = 0
            breaker.cold_until = NEVER if down else breaker.cold_until
            self._open(breaker, limit.destination, now + OPEN_DURATION)
            number, why = limit.destination.number, reason.name if reason else "SILENCE"
            self._actions.append(api.Log(f"destination {number} open for {OPEN_DURATION:g} s after {why}"))
            return True
        return False

    def _open(self, breaker: CircuitBreaker, destination: Destination, until: float) -> None:
        """Move the open-until time; messages that cannot wait for it are given up at once."""
        breaker.open_until = max(breaker.open_until, until)
        self._draw_first_turn(breaker)
        if self._newly_shut(breaker):
            breaker.cold_until = NEVER
        for message in [m for line in destination.lines.values() for m in line.waiting()]:
            if not message.over and self._too_late(message):
                self._give_up(message)

    def _draw_first_turn(self, breaker: CircuitBreaker) -> None:
        """Take one of as many places in the first gap of the fail-back budget as there are senders."""
        # Many senders that are told one close, or one success, would all call at it.
        breaker.warmup_budget_used = self._random.randrange(n := self._settings.senders) / n - 1.0
        breaker.warmup_budget_at = max(self._now, breaker.open_until)

    def _newly_shut(self, breaker: CircuitBreaker) -> bool:
        """Whether calls were turned away, or are put off, for longer than a busy destination refuses all."""
        seldom = not self._settings.may_gossip and breaker.next_at >= self._now + FAILURE_WINDOW  # few calls
        put_off = max(breaker.open_until, breaker.next_at) if seldom else breaker.open_until
        since = self._now if self._settings.may_gossip else breaker.unreachable_since
        return breaker.cold_until < NEVER and max(self._now, put_off) > since + OUTAGE_AFTER

    def _success(self, limit: BreakerScope, scarce: bool) -> None:
        """A call that ended well takes back part of the slowing; the spacing lapses once nothing waits."""
        # Little left of a limit begins it: many senders reach it together, with too few calls each to see it.
        breaker = self._breakers.get(limit) or CircuitBreaker()
        breaker.successes, breaker.unreachable_since = breaker.successes + 1, NEVER
        back = breaker.cold_until == NEVER and self._now >= breaker.open_until
        if breaker.shared or back:
            self._broadcast(GOSSIP_SUCCESS, limit)
            breaker.failures, breaker.shared = breaker.failures - breaker.shared, 0
        if back:
            breaker.cold_until, breaker.slowdown_steps = self._now + self._settings.warmup_seconds, 0.0
            limit.refused_at.clear()  # a shut one shows no limit, one that was down no full table
        if scarce:
            self._breakers[limit] = breaker
            breaker.slowdown_steps = max(breaker.slowdown_steps, 1.0)
        elif breaker.slowdown_steps:
            waits = any(line in self._waiting for line in limit.destination.lines.values())
            shared = limit.destination.kind.max_batch > 1  # what waits goes with the next call, however late
            breaker.slowdown_steps = max(
                float(waits), breaker.slowdown_steps - (BATCH_SLOWDOWN_RECOVERY if shared else 1.0)
            )

    def _broadcast(self, what: bytes, limit: BreakerScope) -> None:
        if self._settings.may_gossip:
            self._actions.append(api.TellPeer(None, what + limit.key))

    def _on_gossip(self, data: bytes) -> bool:
        """A note: a failure counts, a success ends their run. Returns whether this changes what may go."""
        what, limit = data[:1], self._limits.get(data[1:])
        if what == GOSSIP_CROWDED:
            self._crowded_until = self._now + CROWDED_DURATION
        if limit is None or what != GOSSIP_SUCCESS:
            return (
                limit is not None
                and what == GOSSIP_FAILURE
                and self._record_failure(limit, None, from_gossip=True)
            )
        limit.ok_sent = max(limit.ok_sent, self._now - max(limit.destination.usual.values(), default=0.0))
        breaker = self._breakers.get(limit) or CircuitBreaker()
        breaker.failures, breaker.shared, breaker.unreachable_since = (
            breaker.failures - breaker.shared,
            0,
            NEVER,
        )
        if breaker.cold_until == NEVER:
            breaker.cold_until, breaker.slowdown_steps = self._now + self._settings.warmup_seconds, 0.0
            self._draw_first_turn(breaker)  # what was saved up before the success would leave all at once
            return True
        return False

    def _route_available_at(self, route: Route) -> float:
        """The earliest time at which a call may go there. Closed, empty breakers are dropped here."""
        breaker = self._breakers.get(route.limit)
        if breaker is None:
            return 0.0
        cold = self._now < breaker.cold_until
        troubled = cold or breaker.slowdown_steps or breaker.unreachable_since < NEVER
        if not troubled and self._now >= max(breaker.open_until, breaker.window_end):
            del self._breakers[route.limit]
            return 0.0
        spaced_at = breaker.next_at if breaker.slowdown_steps and breaker.cold_until < NEVER else 0.0
        return max(
            breaker.open_until, spaced_at, self._warmup_available_at(breaker, route.limit) if cold else 0.0
        )

    def _warmup_available_at(self, breaker: CircuitBreaker, limit: BreakerScope) -> float:
        """When enough of the fail-back budget is saved up for what the next call will weigh."""
        waiting = sum(len(line.fresh) + len(line.late) for line in limit.destination.lines.values())
        size = min(waiting, self._most(breaker, limit.destination.kind))
        weight = breaker.warmup_budget_used + 1.0 + EXTRA_MESSAGE_WEIGHT * max(0, size - 1)
        return breaker.warmup_budget_at + weight / self._budget(breaker, limit)

    def _most(self, breaker: CircuitBreaker, kind: api.DestinationKind) -> int:
        """How many messages a call may carry: one until a call has succeeded, unless all were turned away."""
        return 1 if breaker.cold_until == NEVER and breaker.unreachable_since == NEVER else kind.max_batch

    def _queue_available_at(self, line: DestinationQueue) -> float:
        """The earliest time at which a call may go to any route that a line's messages may use."""
        return min((self._route_available_at(route) for route in line.routes()), default=NEVER)

    def _rate(self, limit: BreakerScope) -> float:
        """This sender's part of the calls a second told for all: its own flow's, the even part at least."""
        # Guards a limit on calls: a flow of messages that are told one by one would take it many times over.
        flow, whole = self._flow(limit), limit.reported_limit or limit.listed
        own = flow / limit.destination.kind.max_batch
        return min(whole, max(own, whole / self._settings.senders)) or max(
            own, min(flow, 1.0 / MAX_INITIAL_CALL_GAP)
        )

    def _flow(self, limit: BreakerScope) -> float:
        """This sender's messages a second for what shares one limit."""
        there = limit.destination
        return there.flow / max(1, len(there.routes) if there.kind.separate_routes else 1)

    def _space(self, limit: BreakerScope) -> None:
        """Note a call: evenly spaced after refusals, charged to the budget while cold."""
        breaker, jitter = self._breakers.get(limit) or CircuitBreaker(), self._random.uniform(1.0, 1.1)
        # A gap that is no part of a told rate is spread: all that were refused together would meet again.
        spread = jitter if limit.reported_limit or limit.listed else self._random.uniform(0.5, 1.5)
        breaker.next_at = self._now + spread * self._gap(breaker, limit)
        breaker.warmup_budget_used, breaker.warmup_budget_at = jitter - 1.0, self._now

    def _gap(self, breaker: CircuitBreaker, limit: BreakerScope) -> float:
        """Seconds between two calls of this sender while refusals have them spaced."""
        most = NEVER if limit.reported_limit or limit.listed else MAX_INITIAL_CALL_GAP
        return float(SLOWDOWN_FACTOR ** max(0.0, breaker.slowdown_steps - 1.0)) * min(
            1.0 / self._rate(limit), most
        )

    def _budget(self, breaker: CircuitBreaker, limit: BreakerScope) -> float:
        """This sender's part of the calls a second that a destination coming back can bear by now."""
        warm = max(0.0, 1.0 - (breaker.cold_until - self._now) / (self._settings.warmup_seconds or 1.0))
        share = self._settings.warmup_start_share + (1.0 - self._settings.warmup_start_share) * warm
        part = self._rate(limit)
        if breaker.cold_until == NEVER:  # a hot destination: all flows together may be far above its limit
            even = (limit.reported_limit or limit.listed or NEVER) / self._settings.senders
            # Each sender with a message in line takes a part; the lines hold what came in a message's life.
            part = min(self._flow(limit), max(1.0 / self._longest_wait, MAX_EVEN_SHARE_MULTIPLE * even))
        return part * share * self._settings.overload_multiple * WARMUP_BUDGET_MARGIN

    # ---- messages ----

    def _received(self, event: api.MessageReceived) -> None:
        index, kind = event.message_class, self._settings.classes[event.message_class]
        aim_at = min(event.due, event.due - kind.deadline + kind.latency_target)
        key = event.key if kind.ordered else None
        message = Message(event.message, index, kind, event.destination, event.due, aim_at, key)
        message.attempts, message.maybe_ran, message.ran_in = (
            event.attempts,
            event.may_have_run_at,
            event.may_have_run_zone,
        )
        self._messages[event.message] = message
        self._held += 1
        destination = self._destination(event.destination)
        kept = max(0.0, 1.0 - (self._now - destination.flow_at) / FAILURE_WINDOW)
        destination.flow, destination.flow_at = destination.flow * kept + 1.0 / FAILURE_WINDOW, self._now
        line = deque() if message.key is None else self._keys.setdefault(message.key, deque())
        line.append(message)
        heappush(self._expiry, (self._latest_attempt_start(message), message.id))
        if line[0] is message:
            self._queue(message)
        if not message.over and self._held >= self._settings.max_pending:
            self._make_room()

    def _usual(self, message: Message) -> float:
        """How long a call of this class takes at this destination."""
        return self._destination(message.destination).usual.get(
            message.class_index, message.message_class.latency_target * INITIAL_LATENCY_SHARE
        )

    def _repeatable_until(self, message: Message) -> float:
        """Until when another attempt, or a refusal, cannot double the message's effect."""
        kind = message.message_class
        if message.maybe_ran is None or kind.effect is Effect.SAFE:
            return NEVER
        if kind.effect is Effect.UNSAFE or (message.zoned and message.ran_in is None):
            return -NEVER
        return message.maybe_ran + kind.dedup_window

    def _may_refuse(self, message: Message) -> bool:
        """Whether its client may hand it in again: one that a single zone knows it may take to another."""
        return self._now < self._repeatable_until(message) and not (message.zoned and message.maybe_ran)

    def _latest_attempt_start(self, message: Message) -> float:
        """The last time at which a further attempt is allowed and a usual call still fits."""
        repeat = (
            self._repeatable_until(message) - self._settings.connect_timeout - self._settings.clock_resolution
        )  # as it leaves
        return min(message.due - self._usual(message), repeat)

    def _queue(self, message: Message) -> None:
        """Put a message in line at its destination, unless it cannot wait for the close."""
        if message.attempts >= self._settings.max_attempts or self._too_late(message):
            self._give_up(message)
        else:
            line = self._line(message)
            self._sequence += 1
            heappush(line.fresh, (message.aim_at, 0.0, self._sequence, message))
            self._waiting[line] = None

    def _line(self, message: Message) -> DestinationQueue:
        """Where a message waits: once it may have run, for the zone that drops its repeats."""
        return self._destination(message.destination).line(message.ran_in if message.zoned else None)

    def _too_late(self, message: Message) -> bool:
        """Whether a usual call fits neither now nor after the close."""
        return max(self._now, self._close(message)) > self._latest_attempt_start(message)

    def _close(self, message: Message) -> float:
        """When the first of the message's routes closes again; no endpoint yet is no reason to refuse."""
        breakers = [self._breakers.get(route.limit) for route in self._line(message).routes()]
        return min((breaker.open_until if breaker else 0.0 for breaker in breakers), default=0.0)

    def _give_up(self, message: Message) -> None:
        """The final answer, at once, for a message that will not be sent again: a refusal where allowed."""
        if self._may_refuse(message):
            # At its turn there; one that may have run while it is known there, so at the close.
            at = (
                self._queue_available_at(self._line(message))
                if message.maybe_ran is None
                else self._close(message)
            )
            wait = (
                min(at - self._now, self._settings.max_retry_after)
                if self._settings.advises_retry_after
                else 0.0
            )
            self._actions.append(api.Refuse(message.id, wait if wait > 0.0 else None))
        else:
            self._actions.append(api.Fail(message.id))
        self._finish(message)

    def _finish(self, message: Message) -> None:
        message.over = True
        self._held -= 1
        if message.call is None:
            self._forget(message)

    def _forget(self, message: Message) -> None:
        """Drop a message that is over and has no attempt out; the next of its key takes its turn."""
        del self._messages[message.id]
        if message.key is None:
            return
        line = self._keys[message.key]
        if line[0] is not message:
            line.remove(message)
        elif message.rest_until > self._now:
            heappush(self._resting, (message.rest_until, message.key))
        else:
            self._next_of_key(message.key)

    def _next_of_key(self, key: int) -> None:
        """Order by key: one message at a time, and a rest after an attempt that may run on."""
        line = self._keys[key]
        line.popleft()
        if line:
            self._queue(line[0])
        else:
            del self._keys[key]

    def _make_room(self) -> None:
        """At the holding limit, refuse the unsent message with least at stake before one is turned away."""
        unsent = [m for m in self._messages.values() if m.in_line]
        counts = Counter(m.destination for m in unsent)
        waits = {number: self._line_time(self._destination(number), counts[number]) for number in counts}

        def least_at_stake(message: Message) -> tuple[bool, float, float, float, int]:
            wait = waits[message.destination]  # one that would fail only if none is left that may come again
            may_wait = wait > 0.0 and self._may_refuse(message)
            return may_wait, wait, -message.message_class.worth, message.aim_at, message.id

        if unsent:
            self._give_up(max(unsent, key=least_at_stake))

    def _line_time(self, destination: Destination, count: int) -> float:
        """How long so many messages for it will be in line, at the pace that holds there now."""
        # Guards a healthy destination with small calls: unpaced, its line is over before that of a shut one.
        gate, calls = (
            self._queue_available_at(destination.line(None)),
            -(-count // destination.kind.max_batch),
        )
        if gate == NEVER:
            return NEVER
        route = min(destination.routes.values(), key=self._route_available_at)
        breaker = self._breakers.get(route.limit) or CircuitBreaker()
        each = max(destination.usual.values(), default=0.0) / self._slots
        if self._now < breaker.cold_until:
            line = (calls + EXTRA_MESSAGE_WEIGHT * (count - calls)) / self._budget(breaker, route.limit)
        else:
            line = calls * (self._gap(breaker, route.limit) if breaker.slowdown_steps else 0.0)
        return max(0.0, gate - self._now) + max(line, calls * each)

    def _expire(self) -> None:
        """Give up messages for which a usual call no longer fits."""
        while self._expiry and self._expiry[0][0] < self._now:
            message = self._messages.get(heappop(self._expiry)[1])
            if message is not None and message.in_line:
                if (latest := self._latest_attempt_start(message)) < self._now:
                    self._give_up(message)
                else:
                    heappush(self._expiry, (latest, message.id))

    # ---- outcomes ----

    def _ended(self, event: api.AttemptEnded) -> None:
        message = self._messages.get(event.message)
        if message is None or message.call is None or event.attempt != message.attempts - 1:
            return
        call, outcome = message.call, event.outcome
        if outcome not in NOT_RUN_OUTCOMES and message.maybe_ran is None:
            message.maybe_ran, message.ran_in = call.sent, call.route.zone
        call.left -= 1
        if not call.left:
            if call.route.calls > (call.route.connections - 1) * self._settings.calls_per_connection:
                call.route.all_used = self._now
            self._calls -= 1
            call.route.limit.destination.calls -= 1
            call.route.calls -= 1
        self._learn(message, call, event)
        message.call = None
        if outcome in (Outcome.TIMEOUT, Outcome.RESET, Outcome.CANCELLED):
            message.rest_until = self._now + self._settings.order_pause
        if message.over:
            self._forget(message)
        elif event.final:
            self._finish(message)
        else:
            heappush(self._expiry, (self._latest_attempt_start(message), message.id))
            self._queue(message)
        if not call.left and (self._now < self._crowded_until or not self._should_keep_connection(message)):
            # Guards against tables full of many senders' idle connections; at an outage it costs handshakes.
            self._actions.append(api.CloseIdle(call.route.address))
            call.route.connections = call.route.calls

    def _learn(self, message: Message, call: Call, event: api.AttemptEnded) -> None:
        """What an outcome shows of its destination. A shared call has one fate and counts once."""
        route, limit, outcome, now = call.route, call.route.limit, event.outcome, self._now
        report = dict(zip(self._settings.report_fields, event.report, strict=False))
        limit.reported_limit = max(0.0, report.get("x1", limit.reported_limit))
        if outcome in (Outcome.OK, Outcome.FULL):
            route.avoid_until.pop(message.class_index, None)
        if outcome is Outcome.OK:
            limit.ok_sent = max(limit.ok_sent, call.sent)
            usual = limit.destination.usual
            usual.setdefault(message.class_index, event.elapsed)
            usual[message.class_index] += LATENCY_EMA_WEIGHT * (event.elapsed - usual[message.class_index])
        if not call.judged:
            call.judged = True
            if outcome in (Outcome.OK, Outcome.RESET):
                self._judge_idle(call, -STALE_LOSS_RECOVERY if outcome is Outcome.OK else 1.0)
            if outcome is Outcome.OK:
                # A gap beyond the aim would cost more than the refusals that it spares.
                scarce = limit.reported_limit > 0.0 and report.get("x0", 1.0) < LOW_REMAINING_SHARE
                self._success(
                    limit, scarce and self._rate(limit) * message.message_class.latency_target >= 1.0
                )
                since = limit.refused_at.get(route, NEVER)
                if call.sent >= since and self._crowded_until < since + CROWDED_DURATION:
                    self._crowded_until = since + CROWDED_DURATION
                    self._broadcast(GOSSIP_CROWDED, limit)
            elif outcome not in (Outcome.CANCELLED, Outcome.NOT_SENT):
                if outcome is not Outcome.FULL:
                    self._shun(call)
                if outcome is Outcome.CONNECT_FAILED:
                    limit.refused_at[route] = now
                if outcome in NOT_RUN_OUTCOMES:
                    breaker = self._breakers.setdefault(limit, CircuitBreaker())
                    # One of many senders sees few calls taken. A limit that reports itself used up counts
                    # like one, unless the wait is too long for it; a wait with it unused tells of a shut one.
                    left = report.get("x0", 0.0) if limit.reported_limit else 0.0
                    used_up = (
                        0.0 < left < USED_UP_REMAINING_SHARE and (event.retry_after or 0.0) < OUTAGE_AFTER
                    )
                    breaker.unreachable_since = NEVER if used_up else min(breaker.unreachable_since, now)
                    if (
                        event.retry_after
                        and left >= USED_UP_REMAINING_SHARE
                        and limit.ok_sent < now - FAILURE_WINDOW
                    ):
                        breaker.unreachable_since = -NEVER
                    breaker.slowdown_steps += outcome is Outcome.FULL
                self._space(limit)
                # A connect without an answer is silence: the host is gone. A full table says no at once.
                gone = outcome is Outcome.CONNECT_FAILED and event.elapsed >= self._settings.connect_timeout
                self._record_failure(limit, None if gone else outcome)
        breaker = self._breakers.get(limit) or CircuitBreaker()
        explained = (
            report.get("x0", 1.0) < USED_UP_REMAINING_SHARE and limit.ok_sent >= now - FAILURE_WINDOW
        )  # by a limit used up
        if event.retry_after:
            self._breakers[limit] = breaker
            self._open(breaker, limit.destination, now + event.retry_after + self._settings.clock_resolution)
        elif outcome is Outcome.FULL and not explained and self._newly_shut(breaker):
            self._open(breaker, limit.destination, now)  # an opening of no length: only the return is paced

    def _shun(self, call: Call) -> None:
        """Prefer other endpoints for a window; a class that succeeds here meanwhile is out of it."""
        call.route.avoid_until = dict.fromkeys(range(len(self._settings.classes)), self._now + FAILURE_WINDOW)

    def _judge_idle(self, call: Call, weight: float) -> None:
        """Learn after how long the path drops idle connections, losing calls; a mistake costs handshakes."""
        if call.idle > self._settings.keepalive * MIN_IDLE_SHARE and self._stale < STALE_LOSS_THRESHOLD:
            self._stale = max(0.0, self._stale + weight)
            if weight > 0.0:
                self._idle_limit = min(self._idle_limit, call.idle)

    def _look_for_silence(self) -> None:
        """A call long overdue counts as a failure before it ends, unless the destination answered since."""
        # Guards against silence (hung, vanished); a few very slow messages do not count where others go well.
        while self._overdue and self._overdue[0][0] <= self._now:
            call = heappop(self._overdue)[2]
            answers = call.route.limit.ok_sent > call.sent
            if call.left:
                self._stuck = [*(stuck for stuck in self._stuck if stuck.left), call]
                self._judge_idle(call, 1.0 if answers else STALE_LOSS_RECOVERY)
                self._shun(call)
                if not answers and not call.judged:
                    call.judged = True
                    self._record_failure(call.route.limit, None)

    # ---- the endpoint list ----

    def _destination(self, number: int) -> Destination:
        return self._destinations.get(number) or self._destinations.setdefault(number, Destination(number))

    def _updated(self, event: api.EndpointsUpdated) -> None:
        if event.scope is api.UpdateScope.FAILED:
            self._list_refresh.failed(self._now, event)
            return
        self._list_refresh.succeeded()
        if event.scope is api.UpdateScope.CACHED:
            self._list_refresh.started(self._now)
        if event.scope is not api.UpdateScope.DELTA:
            for address in set(self._where) - {endpoint.address for endpoint in event.endpoints}:
                self._remove(address)
        for endpoint in event.endpoints:
            if endpoint.state is not api.EndpointState.READY:
                self._remove(endpoint.address)
                continue
            destination = self._destination(endpoint.destination)
            destination.kind = self._settings.kinds[endpoint.kind]
            if endpoint.address not in destination.routes:
                apart, (host, port) = destination.kind.separate_routes, endpoint.address
                plain = (n := endpoint.destination).to_bytes(n.bit_length() // 8 + 1, signed=True)
                key = host + port.to_bytes(2) if apart else plain
                if (limit := self._limits.get(key)) is None or limit.destination is not destination:
                    limit = self._limits[key] = BreakerScope(key, destination)
                destination.routes[endpoint.address] = Route(endpoint.address, endpoint.zone, limit)
                self._where[endpoint.address] = endpoint.destination
            destination.routes[endpoint.address].limit.listed = endpoint.rate * self._settings.listed_rates

    def _remove(self, address: api.Address) -> None:
        """Draining or gone: nothing new goes there from this turn on."""
        if address in self._where:
            del self._destinations[self._where.pop(address)].routes[address]

    # ---- sending ----

    def _dispatch(self) -> float:
        """Send what may go, the most pressing first; returns when to look again."""
        order: list[tuple[bool, float, int, DestinationQueue]] = []
        wake = min((self._line_up(order, line) for line in list(self._waiting)), default=NEVER)
        while order and self._calls < self._settings.max_calls:
            line = heappop(order)[-1]
            if line.destination.calls < self._slots:
                if self._queue_available_at(line) <= self._now:  # another line may have taken the turn
                    self._send_call(line)
                wake = min(wake, self._line_up(order, line))
        if order and self._settings.may_cancel and self._calls >= self._settings.max_calls:
            self._free_slots(len(order))
        return wake

    def _line_up(
        self, order: list[tuple[bool, float, int, DestinationQueue]], line: DestinationQueue
    ) -> float:
        """Rank a line's next call; returns when it may go, if that is later."""
        head, gate = self._head(line), self._queue_available_at(line)
        if head is None:
            del self._waiting[line]
        elif gate > self._now:
            return gate
        else:
            self._sequence += 1
            heappush(order, (*head, self._sequence, line))
        return NEVER

    def _free_slots(self, wanted: int) -> None:
        """Cut calls stuck at silent destinations when others need their slots, repeatable ones first."""
        # Guards against slots full of calls that wait for their deadline. Could lose an answer still to come.
        stuck = sorted(
            self._stuck, key=lambda c: sum(m.message_class.effect is Effect.UNSAFE for m in c.messages)
        )
        for call in stuck:
            if wanted and call.left and (call.route.limit.ok_sent < call.sent or self._now > call.lost_at):
                wanted -= 1
                self._actions.extend(
                    api.Cancel(m.id, m.attempts - 1) for m in call.messages if m.call is call
                )

    def _head(self, line: DestinationQueue) -> tuple[bool, float] | None:
        """The rank of the next call: in time before late, then by slot time for each unit of worth."""
        size = min(line.destination.kind.max_batch, len(line.fresh) + len(line.late))
        for entries, is_late in ((line.fresh, False), (line.late, True)):
            while entries:
                message = entries[0][-1]
                in_line = message.in_line
                if in_line and (is_late or self._now + self._usual(message) <= message.aim_at):
                    return is_late, self._usual(message) / (size * message.message_class.worth)
                heappop(entries)
                if in_line:
                    heappush(line.late, (-message.message_class.worth, -message.aim_at, message.id, message))
        return None

    def _send_call(self, line: DestinationQueue) -> None:
        """Make one call."""
        now, per, destination = self._now, self._settings.calls_per_connection, line.destination
        routes = [route for route in line.routes() if self._route_available_at(route) <= now]
        index = (line.fresh or line.late)[0][-1].class_index

        def preference(route: Route) -> tuple[bool, float, float]:
            price = CROSS_ZONE_PENALTY * (route.zone != self._home_zone) + (
                0.0 if self._connected(route) else NEW_CONNECTION_PENALTY
            )
            # Of equals any: every sender has the list in one order, and all would take the first.
            return route.avoid_until.get(index, 0.0) > now, route.calls + price, self._random.random()

        route = min(routes, key=preference)
        breaker = self._breakers.get(route.limit) or CircuitBreaker()
        unproven = breaker.cold_until == NEVER
        call, size, overdue = Call(route, now), self._most(breaker, destination.kind), 0.0
        if not self._connected(route):
            route.connections += 1
        elif self._stale >= STALE_LOSS_THRESHOLD and now - route.all_used >= self._idle_limit:
            # Something on the path drops idle connections early, and the next call there is lost.
            self._actions.append(api.CloseIdle(route.address))
            route.connections = route.calls // per + 1
        else:
            call.idle = now - route.all_used
        route.calls += 1
        if route.calls > (route.connections - 1) * per:
            route.all_used = now
        while call.left < size and self._head(line) is not None:
            message = self._take(line, unproven)
            message.call = call
            call.messages.append(message)
            message.attempts += 1
            call.left += 1
            silent = OVERDUE_LATENCY_MULTIPLE * self._usual(message) + OVERDUE_SLACK
            overdue = max(overdue, silent)
            unsafe = message.message_class.effect is Effect.UNSAFE
            give_up = None if unsafe else min(message.due, now + silent * TIMEOUT_OVERDUE_MULTIPLE)
            self._actions.append(
                api.Send(message.id, route.address, give_up, self._repeatable_until(message))
            )
        destination.calls += 1
        self._calls += 1
        self._sequence += 1
        call.lost_at = now + overdue * TIMEOUT_OVERDUE_MULTIPLE
        heappush(self._overdue, (now + overdue, self._sequence, call))
        self._space(route.limit)

    def _should_keep_connection(self, message: Message) -> bool:
        """Whether its next call comes so soon that a connection earns its place in the endpoint's table."""
        # Guards against tables full of idle connections: who holds one is not turned away and never learns.
        destination, senders = self._destination(message.destination), self._settings.senders
        if self._settings.may_gossip or any(  # a sender that is turned away tells of it, or one may go now
            e in self._waiting and self._queue_available_at(e) <= self._now
            for e in destination.lines.values()
        ):
            return True
        in_use = destination.flow * self._usual(message) / MIN_CONNECTION_UTILIZATION
        return senders * (1.0 - in_use) <= MIN_CONNECTION_TABLE_SIZE

    def _connected(self, route: Route) -> bool:
        """Whether a connection is believed free there: a new one costs time and has a price."""
        if self._now - route.all_used > self._settings.keepalive:
            route.connections = -(-route.calls // self._settings.calls_per_connection)
        return route.calls < route.connections * self._settings.calls_per_connection

    def _take(self, line: DestinationQueue, unproven: bool) -> Message:
        """The next message to send. On an unproven destination one that may be repeated goes first."""
        for message in line.waiting() if unproven else ():
            if message.message_class.effect is not Effect.UNSAFE:
                for entries in (line.fresh, line.late):  # it leaves its place: it may be held to a zone next
                    entries[:] = sorted(entry for entry in entries if entry[-1] is not message)
                return message
        return heappop(line.fresh or line.late)[-1]

    def _set_timer(self, wake: float) -> None:
        for line, late in (
            (self._overdue, 0.0),
            (self._resting, 0.0),
            (self._expiry, self._settings.clock_resolution),
        ):
            if line:
                wake = min(wake, line[0][0] + late)
        if wake < self._wake:
            self._wake, self._timers = wake, self._timers + 1
            self._actions.append(api.SetTimer(max(0.0, min(wake - self._now, 3600.0)), self._timers))
