"""The module's actor: sole owner of `Sender`, of the clock it is given and of its timer.

What its mailbox holds makes one turn. What a turn decides goes on record first; then clients hear of it; then
calls leave. Nothing is decided here.
"""

import time
from collections.abc import Callable, Collection, Sequence
from dataclasses import dataclass, field
from enum import Enum
from heapq import heappop, heappush
from http import HTTPStatus
from typing import Protocol

import gevent
import structlog
from gevent.queue import Empty, Queue

from irisstack import interface as api
from irisstack.choice import NOT_RUN_OUTCOMES, Sender
from irisstack.node.config import format_host_port, to_host_port
from irisstack.node.counters import Counters
from irisstack.node.endpoint import (
    AttemptResult,
    Call,
    CancelAttempt,
    CloseIdle,
    Command,
    OutgoingMessage,
    WithholdCalls,
)
from irisstack.node.mailbox import enlarge
from irisstack.node.record_clock import StepDetector
from irisstack.node.store import Entry, Store
from irisstack.shadow import ShadowSender

NO_TOKEN = -1
"""Of a timer that the node set for itself."""
REJECTION_RETRY_AFTER = 1.0
"""Seconds after which one that finds no room here may come again, where the settings allow such advice."""

FOLDER_RETRY = 0.05
"""Seconds between two looks at a folder that cannot be written."""

log = structlog.get_logger()


def rejection_retry_after(settings: api.Settings) -> float | None:
    """The advice for one that finds no room here."""
    return min(REJECTION_RETRY_AFTER, settings.max_retry_after) if settings.advises_retry_after else None


class Client(Protocol):
    """Who handed a message in and waits for the answer."""

    def answer(self, status: HTTPStatus, retry_after: float | None = None) -> bool:
        """Write the answer; returns whether somebody was there to hear it."""


@dataclass(slots=True, frozen=True)
class Submission:
    """A message that a client hands in."""

    client: Client
    id: str
    key: str
    message_class: int
    tenant: int
    destination: int
    due: float
    is_retry: bool
    from_dead_sender: bool
    body: bytes


class RejectReason(Enum):
    """Why a message is not taken on by the node itself, whatever would be decided for it."""

    STOPPING = "stopping"
    STATE_DIRECTORY_FAILING = "folder_fails"
    STATE_DIRECTORY_FULL = "folder_full"


@dataclass(slots=True, frozen=True)
class NewSettings:
    """Settings that passed every check, to be in force from the next turn on, in all parts of the node."""

    revision: int
    settings: api.Settings
    """With the positions of those before them; what went is still at its place."""
    classes: Collection[str]
    """In which new messages are taken on."""
    tenants: Collection[str]
    """For whom new messages are taken on."""


Item = Submission | AttemptResult | api.EndpointsUpdated | api.PeerMessage | NewSettings
"""What comes to the decider's mailbox."""


@dataclass(slots=True)
class _Turn:
    """What one turn brings about, in the order in which it is carried out."""

    arrivals: dict[int, Submission] = field(default_factory=dict)
    records: list[bytes] = field(default_factory=list)
    ends: list[Entry] = field(default_factory=list)  # of which the platform is to hear
    answers: list[tuple[Submission, HTTPStatus, float | None]] = field(default_factory=list)
    again: list[tuple[Submission, int]] = field(default_factory=list)  # handed in before, under this number
    sends: list[api.Send] = field(default_factory=list)
    others: list[api.Action] = field(default_factory=list)


class Decider:
    """Turns what comes into events, and actions into what is done."""

    def __init__(
        self,
        settings: api.Settings,
        seed: int,
        store: Store,
        counters: Counters,
        *,
        send_command: Callable[[api.Address, Command], None],
        request_endpoints: Callable[[api.Action], None],
        post_notice: Callable[[Entry], None],
        mailbox_capacity: int,
        send_gossip: Callable[[int | None, bytes], None] | None = None,
        trial_settings: api.Settings | None = None,
        apply_settings: Callable[[NewSettings], api.EndpointsUpdated | None] | None = None,
    ) -> None:
        """`settings_taken` puts other settings in force in all other parts; None where they never change."""
        self._settings_taken = apply_settings
        self._classless: list[tuple[float, Entry]] = []  # owed till then, under classes not known yet
        self._sender = Sender(settings, seed)
        if trial_settings is not None:
            self._sender = ShadowSender(settings, trial_settings, seed, counters.add)
        self._tell = send_gossip
        self._store = store
        self._clock = store.clock
        self._step_watch = StepDetector()
        self._counters = counters
        self._call = send_command
        self._ask = request_endpoints
        self._notice = post_notice
        self.mailbox: Queue[Item] = Queue(1)
        self.set_mailbox_capacity(mailbox_capacity)
        self._next: list[api.Event] = []  # known already, for the next turn
        self._timers: list[tuple[float, int]] = []
        self._in_flight: dict[int, tuple[api.Address, float]] = {}  # calls out: endpoint, sent at
        self._listed: dict[api.Address, api.Endpoint] = {}
        self._untold: list[Entry] = []  # ended, but that is not on record yet
        self._gone: dict[api.Address, float] = {}  # of these, the ones no longer listed, and since when
        self._destinations: set[int] = set()
        self._turned = -1.0
        self._adopt(settings)
        self.rejecting = False  # nothing new is taken on
        self.sends_stopped = False  # nothing more is sent

    def _adopt(self, settings: api.Settings) -> None:
        self._settings = settings
        self._classes = {kind.name: i for i, kind in enumerate(settings.classes)}
        self._remembered = max(kind.deadline for kind in settings.classes)
        self._come_again = rejection_retry_after(settings)

    def set_mailbox_capacity(self, room: int) -> None:
        """Let the mailbox hold so many items at least; notes may fill half of it."""
        enlarge(self.mailbox, room)
        self._most_notes = room // 2

    @property
    def calls_in_flight(self) -> int:
        return len(self._in_flight)

    # ---- the start ----

    def recover(self, known: api.EndpointsUpdated) -> None:
        """The list as it was last held, and what an earlier life of this node owes."""
        now = time.monotonic()
        self._apply_update(known, now)
        owed: list[api.Event] = []
        for _, entry in sorted(self._store.entries.items()):  # in the order in which they were taken on
            if entry.notice_pending:
                self._notice(entry)
            if not entry.pending:
                continue
            if entry.message_class in self._classes:
                owed.append(self._received(entry))
            elif self._settings_taken is not None:  # the settings that it was taken on under may yet come
                due = self._clock.to_monotonic(entry.due)
                self._classless.append((due, entry))
                heappush(self._timers, (due, NO_TOKEN))
            else:  # the settings changed between two lives
                self._class_gone(entry)
        self._next = [known, *owed]
        self._counters.add("recovered", len(owed))

    def _class_gone(self, entry: Entry) -> None:
        log.error("class_gone", message_class=entry.message_class, id=entry.id)
        self._store.write([self._over(entry.number, "dead")], self._clock.now())
        self._notice(entry)

    def _recover_classless(self, now: float) -> list[api.Event]:
        """What is owed under a class that is known now goes on; whose time is up has ended."""
        events: list[api.Event] = []
        waiting, self._classless = self._classless, []
        for due, entry in waiting:
            if entry.message_class in self._classes:
                events.append(self._received(entry))
            elif due > now:
                self._classless.append((due, entry))
            else:
                self._class_gone(entry)
        self._counters.add("recovered", len(events))
        return events

    def _received(self, entry: Entry) -> api.MessageReceived:
        """What the module is told of a message, be it new or one that outlived a process."""
        ran = None if entry.ran_at is None else self._clock.to_monotonic(entry.ran_at)
        zones = self._settings.zones
        return api.MessageReceived(
            entry.number,
            self._classes[entry.message_class],
            entry.destination,
            self._clock.to_monotonic(entry.due),
            entry.tenant,
            is_retry=entry.is_retry,
            from_dead_sender=entry.from_dead_sender,
            attempts=entry.attempts,
            may_have_run_at=ran,
            may_have_run_zone=zones.index(entry.ran_in) if entry.ran_in in zones else None,
        )

    # ---- the loop ----

    def run(self) -> None:
        """One turn after another, the settings' resolution apart at the least."""
        while True:
            items = [] if self._next else self._wait()
            pause = self._turned + self._settings.clock_resolution - time.monotonic()
            if pause > 0.0:
                gevent.sleep(pause)
            while True:
                try:
                    items.append(self.mailbox.get_nowait())
                except Empty:
                    break
            self._turn(items)

    def receive_gossip(self, note: api.PeerMessage) -> bool:
        """Take a note, unless the mailbox is half full: clients, calls and the list go first."""
        if self.mailbox.qsize() >= self._most_notes:
            return False
        self.mailbox.put(note)
        return True

    def _wait(self) -> list[Item]:
        wait = max(0.0, self._timers[0][0] - time.monotonic()) if self._timers else None
        if self._store.failing:
            wait = min(FOLDER_RETRY, wait or FOLDER_RETRY)
        try:
            return [self.mailbox.get(timeout=wait)]
        except Empty:
            return []

    def _turn(self, items: Sequence[Item]) -> None:
        now = time.monotonic()
        self._turned = now
        if (step := self._step_watch.detect()) is not None:
            self._counters.add("wall_clock_steps")
            log.warning("wall_clock_stepped", by_s=round(step, 3))
        turn = _Turn()
        # First of all: a turn is under one set of settings from its begin to its end.
        events = self._take_settings(items, now)
        events += self._next
        self._next = []
        if self._classless:
            events += self._recover_classless(now)
        for item in items:
            match item:
                case Submission():
                    self._arrived(item, turn, events, now)
                case AttemptResult():
                    self._ended(item, turn, events, now)
                case api.EndpointsUpdated():
                    self._apply_update(item, now)
                    events.append(item)
                case api.PeerMessage():
                    events.append(item)
        while self._timers and self._timers[0][0] <= now:
            events.append(api.TimerFired(heappop(self._timers)[1]))
        if events:
            for action in self._sender.turn(now, events):
                self._note(action, turn, now)
        self._carry_out(turn, now)
        self._store.drop_expired(self._clock.to_record_time(now))

    # ---- events ----

    def _take_settings(self, items: Sequence[Item], now: float) -> list[api.Event]:
        """Put the newest of the settings that have come in force here and in all other parts."""
        newest = None
        for item in items:
            if isinstance(item, NewSettings):
                newest = item
        if newest is None or self._settings_taken is None:
            return []
        self._adopt(newest.settings)
        events: list[api.Event] = [api.SettingsChanged(newest.settings)]
        update = self._settings_taken(newest)
        if update is not None:
            self._apply_update(update, now)
            events.append(update)
        log.info("settings_in_force", revision=newest.revision)
        return events

    def _arrived(self, arrival: Submission, turn: _Turn, events: list[api.Event], now: float) -> None:
        store = self._store
        self._counters.add("received")
        if self._destinations and arrival.destination not in self._destinations:
            self._counters.add("destination_unknown")
            turn.answers.append((arrival, HTTPStatus.NOT_FOUND, None))
            return
        if (number := store.by_id.get(arrival.id)) is not None:
            turn.again.append((arrival, number))
            return
        entry = Entry(
            store.next_number,
            arrival.id,
            arrival.key,
            self._settings.classes[arrival.message_class].name,
            arrival.tenant,
            arrival.destination,
            self._clock.to_record_time(arrival.due),
            arrival.is_retry,
            arrival.from_dead_sender,
            arrival.body,
        )
        if (reason := self._no_room(entry, now)) is not None:
            self._turn_away(arrival, reason, turn)
            return
        store.next_number += 1
        store.add(entry)
        turn.arrivals[entry.number] = arrival
        log.debug(
            "message_received",
            id=entry.id,
            message_class=entry.message_class,
            destination=entry.destination,
            due_s=round(arrival.due - now, 3),
        )
        events.append(self._received(entry))

    def _no_room(self, entry: Entry, now: float) -> "RejectReason | None":
        """Why a message that came in is not even considered, if there is a reason."""
        if self.rejecting:
            return RejectReason.STOPPING
        if not self._store.may_write:
            return RejectReason.STATE_DIRECTORY_FAILING
        if not self._store.fits(entry, self._clock.to_record_time(now)):
            return RejectReason.STATE_DIRECTORY_FULL
        return None

    def _turn_away(self, arrival: Submission, reason: "RejectReason", turn: _Turn) -> None:
        self._counters.add("turned_away")
        self._counters.add(f"turned_away_{reason.value}")
        log.debug("message_turned_away", id=arrival.id, reason=reason.value)
        turn.answers.append((arrival, HTTPStatus.SERVICE_UNAVAILABLE, self._come_again))

    def _ended(self, ended: AttemptResult, turn: _Turn, events: list[api.Event], now: float) -> None:
        _, sent = self._in_flight.pop(ended.number)
        result = ended.result
        entry = self._store.entries.get(ended.number)
        owed = entry is not None and entry.pending
        if entry is not None:
            log.debug(
                "attempt_ended",
                id=entry.id,
                endpoint=format_host_port(to_host_port(ended.address)),
                attempt=ended.attempt,
                outcome=result.outcome.name,
                reached=result.reached.name,
                error=result.error,
                elapsed_s=round(now - sent, 3),
                wait_s=result.retry_after,
                report=result.report,
            )
        if owed:
            ran = result.outcome not in NOT_RUN_OUTCOMES
            turn.records.append(self._store.end_attempt(ended.number, ended.attempt, ran))
            if result.final:
                name = "delivered" if result.outcome is api.Outcome.OK else "withdrawn"
                turn.records.append(self._over(ended.number, name))
        if result.retry_after:
            self._hold(ended.address, now + result.retry_after)
        events.append(
            api.AttemptEnded(
                ended.number,
                ended.address,
                ended.attempt,
                now - sent,
                result.final or not owed,
                result.outcome,
                result.retry_after,
                result.no_free_slot,
                # Numbers that were read by the names of settings no longer in force would pass for others.
                result.report if result.report_fields == self._settings.report_fields else (),
            )
        )

    def _what_became(self, number: int) -> HTTPStatus:
        """The answer to the same handing in once more: it is not taken twice."""
        entry = self._store.entries.get(number)
        if entry is None or entry.result not in ("", "delivered"):
            return HTTPStatus.SERVICE_UNAVAILABLE
        return HTTPStatus.OK if entry.result else HTTPStatus.ACCEPTED

    def _hold(self, address: api.Address, until: float) -> None:
        """A wait was told: what is still connecting to the destination, or the route, must not leave."""
        destination, apart = self._listed[address].destination, self._kind(address).separate_routes
        for other in {place for place, _ in self._in_flight.values()}:
            if other == address or (not apart and self._listed[other].destination == destination):
                self._call(other, WithholdCalls(until))

    def _apply_update(self, update: api.EndpointsUpdated, now: float) -> None:
        """Keep what a call needs to know of its endpoint, and for whom messages may be.

        Both outlast an endpoint by the time that a message may wait: its calls still end, and its destination
        may be between one endpoint and the next.
        """
        if update.scope is api.UpdateScope.FAILED:
            return
        self._listed.update((endpoint.address, endpoint) for endpoint in update.endpoints)
        here = {e.address for e in update.endpoints if e.state is not api.EndpointState.GONE}
        gone = (
            self._listed
            if update.scope is not api.UpdateScope.DELTA
            else {e.address for e in update.endpoints}
        )
        for address in set(gone) - here:
            self._gone.setdefault(address, now)
        for address in here & self._gone.keys():
            del self._gone[address]
        out = {address for address, _ in self._in_flight.values()}
        forgotten = [
            address
            for address, since in self._gone.items()
            if since + self._remembered < now and address not in out
        ]
        for address in forgotten:
            del self._gone[address], self._listed[address]
        self._destinations = {endpoint.destination for endpoint in self._listed.values()}

    def _kind(self, address: api.Address) -> api.DestinationKind:
        return self._settings.kinds[self._listed[address].kind]

    def _zone(self, address: api.Address) -> str:
        """The name of an endpoint's zone, empty for one that the settings do not name."""
        zone, names = self._listed[address].zone, self._settings.zones
        return names[zone] if zone < len(names) else ""

    # ---- actions ----

    def _over(self, number: int, result: str, wait_ms: int = 0) -> bytes:
        self._counters.add(result)
        return self._store.finish(number, result, wait_ms)

    def _note(self, action: api.Action, turn: _Turn, now: float) -> None:
        match action:
            case api.Refuse(number, wait):
                self._final(number, "bounced", wait, turn)
            case api.Fail(number):
                self._final(number, "dead", None, turn)
            case api.Send():
                turn.sends.append(action)
            case api.SetTimer(delay, token):
                heappush(self._timers, (now + delay, token))
            case _:
                turn.others.append(action)

    def _final(self, number: int, result: str, wait: float | None, turn: _Turn) -> None:
        """An end that is not delivery: the answer itself where the client still waits, else a notice."""
        arrival = turn.arrivals.pop(number, None)
        log.debug(
            "message_given_up",
            id=self._store.entries[number].id,
            result=result,
            wait_s=wait,
            taken_on=arrival is None,
        )
        if arrival is not None:
            status = HTTPStatus.TOO_MANY_REQUESTS if result == "bounced" else HTTPStatus.INTERNAL_SERVER_ERROR
            turn.answers.append((arrival, status, wait))
            self._store.discard(number)
            self._counters.add("refused" if result == "bounced" else "failed")
        else:
            turn.records.append(self._over(number, result, round((wait or 0.0) * 1000.0)))
            turn.ends.append(self._store.entries[number])

    def _carry_out(self, turn: _Turn, now: float) -> None:
        recorded = self._clock.to_record_time(now)
        self._store.enqueue(turn.records)
        if turn.arrivals and not self._store.record_accepted(turn.arrivals, recorded):
            self._refuse_unrecorded(turn)
        written = self._store.flush(recorded)
        self._tell_ends(turn.ends, written, now)
        gone: set[int] = set()
        for number, arrival in turn.arrivals.items():
            if arrival.client.answer(HTTPStatus.ACCEPTED):
                self._counters.add("taken")
            else:
                gone.add(number)
        if gone:
            self._store.write([self._over(number, "withdrawn") for number in gone], recorded)
            self._next.extend(api.MessageWithdrawn(number) for number in gone)
        for arrival, status, wait in turn.answers:
            arrival.client.answer(status, wait)
        for arrival, number in turn.again:
            arrival.client.answer(self._what_became(number))
        for action in turn.others:
            self._do(action)
        self._send(turn.sends, now)

    def _refuse_unrecorded(self, turn: _Turn) -> None:
        """Messages that could not be put on record were not taken on, whatever was decided for them."""
        for number, arrival in turn.arrivals.items():
            self._turn_away(arrival, RejectReason.STATE_DIRECTORY_FAILING, turn)
            self._store.discard(number)
            self._next.append(api.MessageWithdrawn(number))
        turn.arrivals.clear()

    def _tell_ends(self, ends: list[Entry], written: bool, now: float) -> None:
        """Post notices of ends that are on record.

        Told before, an end could be undone by a restart, which would find the message owed and send it. Once
        its time is up no life sends it any more, and its notice is due whatever the folder does.
        """
        self._untold += ends
        if not self._untold:
            return
        untold, self._untold = self._untold, []
        for entry in untold:
            if written or self._clock.to_monotonic(entry.due) <= now:
                self._notice(entry)
            else:
                self._untold.append(entry)

    def _do(self, action: api.Action) -> None:
        match action:
            case api.Cancel(number, attempt):
                if number in self._in_flight:
                    self._call(self._in_flight[number][0], CancelAttempt(number, attempt))
            case api.CloseIdle(address):
                self._call(address, CloseIdle())
            case api.Subscribe() | api.FetchEndpoints():
                self._ask(action)
            case api.TellPeer(peer, data) if self._tell is not None:
                self._tell(peer, data)
            case api.Log(text):
                log.info("module", text=text)
            case _:
                log.error("action_unknown", action=repr(action))

    def _send(self, sends: list[api.Send], now: float) -> None:
        """What goes to one endpoint in one turn travels together, as far as its kind allows."""
        by_endpoint: dict[api.Address, list[OutgoingMessage]] = {}
        for send in sends:
            entry = self._store.entries.get(send.message)
            if entry is None or not entry.pending:  # withdrawn in this very turn
                self._next.append(
                    api.AttemptEnded(send.message, send.endpoint, 0, 0.0, True, api.Outcome.NOT_SENT)
                )
                continue
            if self.sends_stopped:
                continue
            self._in_flight[send.message] = send.endpoint, now
            log.debug(
                "attempt_decided",
                id=entry.id,
                endpoint=format_host_port(to_host_port(send.endpoint)),
                attempt=entry.attempts,
            )
            due = self._clock.to_monotonic(entry.due)  # as accepted, whatever the wall clock did since
            give_up = min(due, send.give_up_at or due)
            by_endpoint.setdefault(send.endpoint, []).append(
                OutgoingMessage(
                    entry.number,
                    entry.attempts,
                    entry.id,
                    entry.key,
                    entry.body,
                    give_up,
                    due,
                    send.write_deadline,
                )
            )
        for address, messages in by_endpoint.items():
            most = self._kind(address).max_batch
            for start in range(0, len(messages), most):
                call = Call(
                    messages[start : start + most], self._clock.to_record_time(now), self._zone(address)
                )
                self._call(address, call)
