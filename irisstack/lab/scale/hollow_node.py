"""A hollow node: the real decision module with a thin transport in place of sockets, disk and mailboxes."""

import re
from dataclasses import dataclass

from irisstack import interface as api
from irisstack.choice import Sender
from irisstack.lab.virtual.clock import Clock

OPENING = re.compile(r"destination (-?\d+) open for ")


@dataclass(slots=True, frozen=True)
class OutgoingCall:
    """One attempt under way."""

    message: int
    attempt: int
    sent_at: float
    give_up_at: float
    endpoint: api.Address


@dataclass(slots=True)
class NodeCounts:
    """What the node's decisions came to."""

    turns: int = 0
    calls: int = 0
    delivered: int = 0
    refused: int = 0
    failed: int = 0


class Surroundings:
    """What a hollow node reaches. Each method does nothing; an experiment overrides those that it needs."""

    def call(self, now: float, node: "HollowNode", call: OutgoingCall) -> None:
        """Take an attempt to its endpoint; its end is told by `HollowNode.end_call`."""

    def broadcast(self, now: float, node: "HollowNode", data: bytes) -> None:
        """Send gossip to all peers."""

    def subscribe(self, now: float, node: "HollowNode", on: bool) -> None:
        """Hold a watch of the endpoint list, or end it."""


class HollowNode:
    """Carries out a `Sender`'s actions; the timers are events of the virtual clock."""

    def __init__(
        self, number: int, settings: api.Settings, seed: int, clock: Clock, surroundings: Surroundings
    ) -> None:
        self.number = number
        self.counts = NodeCounts()
        self.opened: dict[int, int] = {}
        """How often the breaker of each destination has opened."""
        self._tick = settings.clock_resolution
        self._sender = Sender(settings, seed)
        self._clock = clock
        self._surroundings = surroundings
        self._due: dict[int, float] = {}
        self._attempts: dict[int, int] = {}
        self._calls: dict[int, OutgoingCall] = {}
        self._alive = True

    @property
    def messages(self) -> int:
        """Messages that are not over, or have a call under way."""
        return len(self._due)

    def stop(self) -> None:
        """End at once: what is still on its way to this node is dropped."""
        self._alive = False

    def receive(self, now: float, message: api.MessageReceived) -> None:
        """Take in a message from a client."""
        self._due[message.message] = message.due
        self.turn(now, message)

    def hear(self, now: float, sender: int, data: bytes) -> None:
        """Take gossip from a peer."""
        self.turn(now, api.PeerMessage(sender, data))

    def end_call(
        self, now: float, call: OutgoingCall, outcome: api.Outcome, retry_after: float | None = None
    ) -> None:
        """Tell the outcome of an attempt; one that is over already is ignored."""
        if self._calls.get(call.message) is not call:
            return
        del self._calls[call.message]
        elapsed = now - call.sent_at
        final = outcome is api.Outcome.OK
        self.counts.delivered += final
        self.turn(
            now,
            api.AttemptEnded(call.message, call.endpoint, call.attempt, elapsed, final, outcome, retry_after),
        )
        if final:
            self._forget(call.message)

    def turn(self, now: float, *events: api.Event) -> None:
        """Hand what came together to the decisions and carry out what they say."""
        if not self._alive:
            return
        self.counts.turns += 1
        for action in self._sender.turn(now, events):
            self._carry_out(now, action)

    def _carry_out(self, now: float, action: api.Action) -> None:
        match action:
            case api.Send():
                self._send(now, action)
            case api.SetTimer(delay, token):
                self._clock.at(now + max(delay, self._tick), self._fire, token)
            case api.TellPeer(_, data):
                self._surroundings.broadcast(now, self, data)
            case api.Subscribe(on):
                self._surroundings.subscribe(now, self, on)
            case api.Cancel(message, attempt):
                self._cancel(now, message, attempt)
            case api.Refuse(message):
                self.counts.refused += 1
                self._forget(message)
            case api.Fail(message):
                self.counts.failed += 1
                self._forget(message)
            case api.Log(text):
                self._note(text)

    def _note(self, text: str) -> None:
        """Count an opening of a breaker, which the decisions tell in their log alone."""
        if (opening := OPENING.match(text)) is not None:
            destination = int(opening[1])
            self.opened[destination] = self.opened.get(destination, 0) + 1

    def _fire(self, now: float, token: int) -> None:
        self.turn(now, api.TimerFired(token))

    def _send(self, now: float, action: api.Send) -> None:
        attempt = self._attempts.get(action.message, -1) + 1
        self._attempts[action.message] = attempt
        due = self._due[action.message] if action.give_up_at is None else action.give_up_at
        call = self._calls[action.message] = OutgoingCall(action.message, attempt, now, due, action.endpoint)
        self.counts.calls += 1
        self._surroundings.call(now, self, call)

    def _cancel(self, now: float, message: int, attempt: int) -> None:
        call = self._calls.get(message)
        if call is not None and call.attempt == attempt:
            self._clock.at(now, self._cancelled, call)

    def _cancelled(self, now: float, call: OutgoingCall) -> None:
        self.end_call(now, call, api.Outcome.CANCELLED)

    def _forget(self, message: int) -> None:
        """Drop a message that is over, unless a call of it is still under way."""
        if message not in self._calls:
            self._due.pop(message, None)
            self._attempts.pop(message, None)
