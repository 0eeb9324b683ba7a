"""A delivery node in virtual time: the real node's order of doing things, around any policy.

As on sockets: what comes together is one turn; what is taken on is on record before it is sent; a call that
was out when the process ended may have run; what a turn sends to one endpoint travels together.
"""

from collections.abc import Sequence
from dataclasses import dataclass
from typing import Protocol

from irisstack import interface as api
from irisstack.lab import ledger as records
from irisstack.lab.partner import Answer, Item, PartnerCall
from irisstack.lab.policy import Policy
from irisstack.lab.virtual.clock import Clock
from irisstack.lab.virtual.listing import address, number_of

TRUSTED = 0.95
"""Part of the keep-alive time within which an idle connection is used."""
SEND_UNTIL = 2.2
"""Seconds after SIGTERM in which calls still leave."""
END_BY = 3.3
"""Seconds after SIGTERM at which the process ends."""
COME_AGAIN = 1.0
"""Seconds of advice to one that meets a stopping node."""
NOT_RUN = frozenset((api.Outcome.FULL, api.Outcome.CONNECT_FAILED, api.Outcome.NOT_SENT))
OUTCOMES = {"ok": api.Outcome.OK, "error": api.Outcome.ERROR, "refused": api.Outcome.FULL}
VERDICTS: dict[api.Outcome, records.Verdict] = {
    api.Outcome.OK: "ok",
    api.Outcome.ERROR: "error",
    api.Outcome.FULL: "refused",
    api.Outcome.TIMEOUT: "timeout",
    api.Outcome.RESET: "reset",
    api.Outcome.CANCELLED: "cancelled",
    api.Outcome.CONNECT_FAILED: "not_sent",
    api.Outcome.NOT_SENT: "not_sent",
}


@dataclass(slots=True, eq=False)
class Owed:
    """A message that the node has taken in and not ended."""

    id: int
    node: int
    item: Item
    destination: int
    due: float
    order_key: int
    is_retry: bool
    from_dead: bool
    attempts: int = 0
    maybe_ran: float | None = None
    call: "OutCall | None" = None


@dataclass(slots=True, eq=False)
class OutCall(PartnerCall):
    """One call of the node."""

    sender: "Node | None" = None
    life: int = 0
    endpoint: int = 0
    destination: int = 0
    sent: float = 0.0
    left_at: float | None = None
    give_up: float = 0.0
    idle: float = 0.0
    """How long its connection had been idle."""
    connected: bool = False
    ended_here: bool = False
    """Whether the node has its outcome."""
    pending: "dict[int, tuple[Owed, int]] | None" = None
    """Messages without an outcome, each with its attempt's number."""


class Outside(Protocol):
    """What a node reaches: endpoints, the list, and those who handed in its messages."""

    def connect(self, now: float, call: OutCall) -> None:
        """Open a connection for a call; ends in `Node.connected` or `Node.not_connected`."""

    def carry(self, now: float, call: OutCall) -> None:
        """Take a call on its connection to its endpoint."""

    def hang_up(self, call: OutCall) -> None:
        """The call's connection is closed from the node's side."""

    def close_idle(self, endpoint: int, count: int) -> None:
        """So many idle connections are closed."""

    def ask_list(self, now: float, node: int, *, watch: bool) -> None:
        """Ask for the list."""

    def ended(self, now: float, owed: Owed, result: records.Result, wait: float) -> None:
        """Tell the client how its message ended."""

    def lost(self, now: float, owed: Sequence[Owed]) -> None:
        """A node's folder is gone with these messages."""


class Node:
    """One node and its lives."""

    def __init__(
        self,
        number: int,
        settings: api.Settings,
        policy: Policy,
        clock: Clock,
        outside: Outside,
        ledger: records.Ledger,
    ) -> None:
        self.number = number
        self.settings = settings
        self.life = 0
        self.alive = True
        self.refusing = False
        self.events_in = 0
        """Events handed to the policy so far."""
        self.turns = 0
        self.owed: dict[int, Owed] = {}
        self._policy = policy
        self._clock = clock
        self._outside = outside
        self._ledger = ledger
        self._inbox: list[api.Event] = []
        self._new: dict[int, Owed] = {}
        self._leaving: set[int] = set()  # handed in by clients that do not stay for the answer
        self._turn_set = False
        self._turned = -1.0
        self._asleep_until = 0.0
        self._holding = False
        self._out: dict[int, OutCall] = {}
        self._idle: dict[int, list[float]] = {}
        self._listed: dict[int, api.Endpoint] = {}
        self._held: dict[object, float] = {}  # told waits, by destination or route

    # ---- life ----

    def start(self, now: float, known: api.EndpointsUpdated) -> None:
        """Begin with a list as last held and whatever an earlier life owes."""
        self.alive, self.refusing, self._holding = True, False, False
        self._ledger.append(records.NodeState(now, self.number, "ready"))
        self.hear_list(now, known)
        for owed in self.owed.values():
            self._post(now, self._received(owed))

    def _received(self, owed: Owed) -> api.MessageReceived:
        key = owed.order_key if owed.order_key >= 0 else None
        return api.MessageReceived(
            owed.id,
            owed.item.message_class,
            owed.destination,
            owed.due,
            0,
            key,
            is_retry=owed.is_retry,
            from_dead_sender=owed.from_dead,
            attempts=owed.attempts,
            may_have_run_at=owed.maybe_ran,
        )

    def kill(self, now: float, policy: Policy, *, disk_lost: bool) -> api.EndpointsUpdated:
        """The process is gone at once; returns the list as it held it. The next life runs on `policy`."""
        self.alive = False
        self.life += 1
        self._ledger.append(records.NodeState(now, self.number, "lost" if disk_lost else "killed"))
        for call in list(dict.fromkeys(self._out.values())):
            assert call.pending is not None
            for owed, _ in call.pending.values():
                if owed.maybe_ran is None and call.left_at is not None:
                    owed.maybe_ran = call.sent
                owed.call = None
            if call.connected:
                self._outside.hang_up(call)
        self._out.clear()
        for endpoint in list(self._idle):
            self._close_idle(endpoint)
        self._inbox.clear()
        self._turn_set = False
        self._asleep_until = 0.0
        self._new.clear()
        self._leaving.clear()
        self._held.clear()
        self._policy = policy
        if disk_lost:
            lost, self.owed = list(self.owed.values()), {}
            self._outside.lost(now, lost)
        known = api.EndpointsUpdated(
            api.UpdateScope.CACHED,
            0,
            tuple(entry for entry in self._listed.values() if entry.state is not api.EndpointState.GONE),
        )
        self._listed = {}
        return known

    def stop(self, now: float) -> None:
        """SIGTERM: turn away what is new, let calls end."""
        self.refusing = True
        self._ledger.append(records.NodeState(now, self.number, "stopping"))
        self._clock.after(SEND_UNTIL, self._hold, self.life)

    def _hold(self, now: float, life: int) -> None:
        if life == self.life:
            self._holding = True

    def sleep(self, now: float, until: float) -> None:
        """The process stands still; what comes waits for it."""
        self._asleep_until = until
        self._ledger.append(records.NodeState(now, self.number, "stalled"))
        self._clock.at(until, self._awake, self.life)

    def _awake(self, now: float, life: int) -> None:
        if life == self.life and self.alive:
            self._ledger.append(records.NodeState(now, self.number, "awake"))

    # ---- what comes in ----

    def hand_in(self, now: float, owed: Owed, *, leaves: bool) -> None:
        """A client hands a message in."""
        if self.refusing:
            self._outside.ended(now, owed, "refused", COME_AGAIN)
            return
        self.owed[owed.id] = self._new[owed.id] = owed
        if leaves:
            self._leaving.add(owed.id)
        self._post(now, self._received(owed))

    def hear_list(self, now: float, update: api.EndpointsUpdated) -> None:
        """News of the list; what it says binds from now on."""
        if not self.alive:
            return
        if update.scope is not api.UpdateScope.FAILED:
            if update.scope is not api.UpdateScope.DELTA:
                here = {number_of(entry.address) for entry in update.endpoints}
                for number in [n for n in self._listed if n not in here]:
                    self._tell(now, number, "gone")
                    del self._listed[number]
            for entry in update.endpoints:
                number = number_of(entry.address)
                before = self._listed.get(number)
                self._listed[number] = entry
                if entry.state is api.EndpointState.READY:
                    if update.scope is api.UpdateScope.DELTA and before is None:
                        self._ledger.append(records.EndpointAnnounced(now, self.number, number, "ready"))
                else:
                    draining = entry.state is api.EndpointState.DRAINING
                    self._tell(now, number, "draining" if draining else "gone")
        self._post(now, update)

    def _tell(self, now: float, number: int, state: str) -> None:
        self._ledger.append(
            records.EndpointAnnounced(now, self.number, number, "gone" if state == "gone" else "draining")
        )
        self._close_idle(number)

    def _post(self, now: float, event: api.Event) -> None:
        self._inbox.append(event)
        if not self._turn_set:
            self._turn_set = True
            self._clock.at(
                max(now, self._turned + self.settings.clock_resolution, self._asleep_until),
                self._turn,
                self.life,
            )

    # ---- the turn ----

    def _turn(self, now: float, life: int) -> None:
        if life != self.life or not self.alive:
            return
        self._turn_set = False
        if now < self._asleep_until:
            self._turn_set = True
            self._clock.at(self._asleep_until, self._turn, life)
            return
        events, self._inbox = self._inbox, []
        self._turned = now
        self.turns += 1
        self.events_in += len(events)
        sends: dict[int, list[tuple[Owed, float | None]]] = {}
        for action in self._policy.turn(now, events):
            match action:
                case api.Send(message, to, give_up):
                    owed = self.owed.get(message)
                    if owed is None:
                        self._post(now, api.AttemptEnded(message, to, 0, 0.0, True, api.Outcome.NOT_SENT))
                    elif not self._holding and message not in self._leaving:
                        sends.setdefault(number_of(to), []).append((owed, give_up))
                case api.SetTimer(delay, token):
                    self._clock.after(delay, self._timer, life, token)
                case api.Refuse(message, wait):
                    self._end(now, message, "refused", wait or 0.0)
                case api.Fail(message):
                    self._end(now, message, "failed", 0.0)
                case api.Cancel(message, attempt):
                    self._call_off(now, message, attempt)
                case api.CloseIdle(to):
                    self._close_idle(number_of(to))
                case api.Subscribe() | api.FetchEndpoints():
                    self._outside.ask_list(now, self.number, watch=action == api.Subscribe(True))
                case _:
                    pass
        for message in self._new:
            self._ledger.append(records.Accepted(now, self.number, message))
        self._new.clear()
        for message in sorted(self._leaving):
            if message in self.owed:
                self._end(now, message, "withdrawn", 0.0)
                self._post(now, api.MessageWithdrawn(message))
        self._leaving.clear()
        for endpoint, messages in sends.items():
            most = self.settings.kinds[self._listed[endpoint].kind].max_batch
            for start in range(0, len(messages), most):
                self._depart(now, endpoint, messages[start : start + most])

    def _timer(self, now: float, life: int, token: int) -> None:
        if life == self.life and self.alive:
            self._post(now, api.TimerFired(token))

    def _end(self, now: float, message: int, result: records.Result, wait: float) -> None:
        owed = self.owed.pop(message, None)
        self._new.pop(message, None)
        if owed is not None:
            self._outside.ended(now, owed, result, wait)

    # ---- calls ----

    def _depart(self, now: float, endpoint: int, messages: Sequence[tuple[Owed, float | None]]) -> None:
        entry = self._listed[endpoint]
        call = OutCall(
            self.number,
            [owed.item for owed, _ in messages],
            False,
            sender=self,
            life=self.life,
            endpoint=endpoint,
            destination=entry.destination,
            sent=now,
        )
        call.pending = {}
        for owed, give_up in messages:
            call.give_up = max(call.give_up, min(owed.due, give_up or owed.due))
            call.pending[owed.id] = owed, owed.attempts
            owed.attempts += 1
            owed.call = call
            self._out[owed.id] = call
        self._clock.at(min(call.give_up, min(owed.due for owed, _ in messages)), self._look, call)
        idle = self._idle.get(endpoint)
        while idle:
            since = idle.pop()
            if now - since < TRUSTED * self.settings.keepalive:
                call.connected, call.idle = True, now - since
                self._leave(now, call)
                return
            self._outside.close_idle(endpoint, 1)
        call.new_connection = True
        self._outside.connect(now, call)

    def connected(self, now: float, call: OutCall) -> None:
        """The call's new connection is up."""
        if call.ended_here or call.life != self.life:
            if call.connected:
                self._outside.hang_up(call)
            return
        self._leave(now, call)

    def not_connected(self, now: float, call: OutCall) -> None:
        """The call's connection was refused or never came up."""
        if not call.ended_here and call.life == self.life:
            self._finish(now, call, api.Outcome.CONNECT_FAILED)

    def _leave(self, now: float, call: OutCall) -> None:
        """The call's bytes go out, unless the list or a wait has forbidden it meanwhile."""
        entry = self._listed.get(call.endpoint)
        if (
            entry is None
            or entry.state is not api.EndpointState.READY
            or now < self._held.get(self._waits_for(call), 0.0)
        ):
            self._finish(now, call, api.Outcome.NOT_SENT)
            return
        call.left_at = now
        assert call.pending is not None
        for message in call.pending:
            self._ledger.append(records.Sent(now, self.number, message, call.endpoint, call.destination))
        self._outside.carry(now, call)

    def _waits_for(self, call: OutCall) -> object:
        """What a wait that is told to this call holds for: its destination, or its route."""
        entry = self._listed.get(call.endpoint)
        if entry is not None and self.settings.kinds[entry.kind].separate_routes:
            return call.endpoint, call.destination
        return call.destination

    def answered(self, now: float, call: OutCall, answer: Answer) -> None:
        """The endpoint's answer has come."""
        if call.ended_here or call.life != self.life:
            return
        self._idle.setdefault(call.endpoint, []).append(now)
        outcome = OUTCOMES[answer.status]
        if answer.retry_after:
            key = self._waits_for(call)
            self._held[key] = max(self._held.get(key, 0.0), now + answer.retry_after)
        self._finish(now, call, outcome, answer, keep=True)

    def broken(self, now: float, call: OutCall) -> None:
        """The call's connection has ended without an answer that can be read."""
        if call.ended_here or call.life != self.life:
            return
        self._finish(now, call, api.Outcome.RESET)

    def _look(self, now: float, call: OutCall) -> None:
        """A message's time in this call is up, or the call's."""
        if call.ended_here or call.life != self.life:
            return
        assert call.pending is not None
        if now >= call.give_up:
            self._finish(now, call, api.Outcome.TIMEOUT)
            return
        for message, (owed, attempt) in list(call.pending.items()):
            if owed.due <= now:
                del call.pending[message]
                self._outcome(now, call, owed, attempt, api.Outcome.TIMEOUT, None)
        if not call.pending:
            self._finish(now, call, api.Outcome.TIMEOUT)
        else:
            self._clock.at(min(call.give_up, min(o.due for o, _ in call.pending.values())), self._look, call)

    def _call_off(self, now: float, message: int, attempt: int) -> None:
        call = self._out.get(message)
        if call is None or call.pending is None or message not in call.pending:
            return
        if call.pending[message][1] == attempt:
            outcome = api.Outcome.CANCELLED if call.left_at is not None else api.Outcome.NOT_SENT
            self._finish(now, call, outcome)

    def _finish(
        self,
        now: float,
        call: OutCall,
        outcome: api.Outcome,
        answer: Answer | None = None,
        *,
        keep: bool = False,
    ) -> None:
        """All messages of the call that have no outcome yet get this one."""
        call.ended_here = True
        if not keep and call.connected:
            self._outside.hang_up(call)
        assert call.pending is not None
        pending, call.pending = call.pending, {}
        for owed, attempt in pending.values():
            self._outcome(now, call, owed, attempt, outcome, answer)

    def _outcome(
        self, now: float, call: OutCall, owed: Owed, attempt: int, outcome: api.Outcome, answer: Answer | None
    ) -> None:
        wait = answer.retry_after if answer is not None else 0.0
        if call.left_at is not None:
            self._ledger.append(
                records.Answered(now, self.number, owed.id, call.endpoint, VERDICTS[outcome], wait)
            )
        del self._out[owed.id]
        owed.call = None
        if outcome not in NOT_RUN and owed.maybe_ran is None:
            owed.maybe_ran = call.sent
        is_owed = owed.id in self.owed
        final = outcome is api.Outcome.OK or not is_owed
        if outcome is api.Outcome.OK:
            self._end(now, owed.id, "delivered", 0.0)
        self._post(
            now,
            api.AttemptEnded(
                owed.id,
                address(call.endpoint),
                attempt,
                now - call.sent,
                final,
                outcome,
                wait or None,
                False,
                answer.report if answer is not None else (),
            ),
        )

    # ---- connections ----

    def _close_idle(self, endpoint: int) -> None:
        count = len(self._idle.pop(endpoint, ()))
        if count:
            self._outside.close_idle(endpoint, count)

    def drop_expired(self, now: float, endpoint: int) -> int:
        """Idle connections that have reached their age; returns how many there were."""
        idle = self._idle.get(endpoint)
        if not idle:
            return 0
        kept = [since for since in idle if now - since < TRUSTED * self.settings.keepalive]
        self._idle[endpoint] = kept
        return len(idle) - len(kept)
