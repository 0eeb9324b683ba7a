"""The actor around the decision module: sole owner of the `Sender`, of its clock and of its timers.

Each turn handles all items in the mailbox. What a turn decides is first written to the state directory, then
clients are answered, then calls are sent. Nothing is decided in this module.
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
from irisstack.node.call import Call, OutgoingMessage, batch_size, split_into_calls
from irisstack.node.config import format_host_port, to_host_port
from irisstack.node.counters import Counters
from irisstack.node.endpoint import AttemptResult, CancelAttempt, CloseIdle, Command, WithholdCalls
from irisstack.node.known_endpoints import KnownEndpoints
from irisstack.node.mailbox import enlarge
from irisstack.node.record_clock import StepDetector
from irisstack.node.store import Entry, Record, Store
from irisstack.shadow import ShadowSender

OWN_TIMER_TOKEN = -1
"""Token of a timer that the node set for itself rather than for the `Sender`."""
REJECTION_RETRY_AFTER = 1.0
"""Seconds; the Retry-After of a rejected message or client, where the settings allow one."""

STATE_DIRECTORY_RETRY_INTERVAL = 0.05
"""Seconds between attempts to write to a state directory whose last write failed."""

log = structlog.get_logger()


def _longest_deadline(settings: api.Settings) -> float:
    return max(message_class.deadline for message_class in settings.classes)


def rejection_retry_after(settings: api.Settings) -> float | None:
    """Seconds for the Retry-After of a rejected message or client; None if the settings allow none."""
    return min(REJECTION_RETRY_AFTER, settings.max_retry_after) if settings.advises_retry_after else None


class Client(Protocol):
    """The client that submitted a message and waits for the answer."""

    def answer(self, status: HTTPStatus, retry_after: float | None = None) -> bool:
        """Write the answer; returns whether the client was still connected."""


@dataclass(slots=True, frozen=True)
class Submission:
    """A message submitted by a client."""

    client: Client
    id: str
    key: str
    message_class: int
    tenant: int
    destination: int
    due: float
    """Deadline, in seconds of the monotonic clock."""
    is_retry: bool
    from_dead_sender: bool
    body: bytes


class RejectReason(Enum):
    """Why the node rejects a message before the `Sender` sees it. The values are parts of counter names."""

    STOPPING = "stopping"
    STATE_DIRECTORY_FAILING = "folder_fails"
    STATE_DIRECTORY_FULL = "folder_full"


@dataclass(slots=True, frozen=True)
class NewSettings:
    """Validated settings, to be in force in all parts of the node from the next turn on."""

    revision: int
    settings: api.Settings
    """Classes, kinds, tenants and zones keep their previous positions; removed ones are still listed."""
    classes: Collection[str]
    """Names of the message classes in which new messages are accepted."""
    tenants: Collection[str]
    """Names of the tenants for which new messages are accepted."""


MailboxItem = Submission | AttemptResult | api.EndpointsUpdated | api.PeerMessage | NewSettings
"""An item of the decider's mailbox."""


@dataclass(slots=True, frozen=True)
class Attempt:
    """An attempt in flight."""

    endpoint: api.Endpoint
    """As listed when it was sent; its address may belong to another endpoint by now."""
    sent_at: float
    """Seconds on the monotonic clock."""


@dataclass(slots=True)
class _Turn:
    """The effects of one turn, in the order in which they are carried out."""

    submissions: dict[int, Submission] = field(default_factory=dict)  # new messages, by number
    records: list[Record] = field(default_factory=list)  # to be written to the state directory
    finished: list[Entry] = field(default_factory=list)  # messages whose notices are to be sent
    answers: list[tuple[Submission, HTTPStatus, float | None]] = field(default_factory=list)
    # With the number of the message that was submitted earlier with the same id.
    resubmissions: list[tuple[Submission, int]] = field(default_factory=list)
    sends: list[api.Send] = field(default_factory=list)
    other_actions: list[api.Action] = field(default_factory=list)


class Decider:
    """Turns mailbox items into events for the `Sender`, and carries out the actions it returns."""

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
        """`apply_settings` puts new settings in force in all other parts; None if settings never change."""
        self._apply_settings = apply_settings
        # Recovered messages whose class is not known yet, with their deadlines (monotonic clock).
        self._unknown_class_entries: list[tuple[float, Entry]] = []
        self._sender = Sender(settings, seed)
        if trial_settings is not None:
            self._sender = ShadowSender(settings, trial_settings, seed, counters.add)
        self._send_gossip = send_gossip
        self._store = store
        self._clock = store.clock
        self._step_detector = StepDetector()
        self._counters = counters
        self._send_command = send_command
        self._request_endpoints = request_endpoints
        self._post_notice = post_notice
        self.mailbox: Queue[MailboxItem] = Queue(1)
        self.set_mailbox_capacity(mailbox_capacity)
        self._next_events: list[api.Event] = []  # events that the next turn begins with
        self._timers: list[tuple[float, int]] = []  # heap of time and token
        self._in_flight: dict[int, Attempt] = {}  # by message
        self._endpoints = KnownEndpoints(_longest_deadline(settings))
        self._deferred_notices: list[Entry] = []  # finished messages whose result is not written yet
        self._last_turn_at = -1.0
        self._set_settings(settings)
        self.rejecting = False  # new messages are rejected
        self.sends_stopped = False  # no further calls are sent

    def _set_settings(self, settings: api.Settings) -> None:
        self._settings = settings
        self._classes = {message_class.name: i for i, message_class in enumerate(settings.classes)}
        self._endpoints.retention = _longest_deadline(settings)
        self._rejection_retry_after = rejection_retry_after(settings)

    def set_mailbox_capacity(self, capacity: int) -> None:
        """Let the mailbox hold at least `capacity` items; gossip may fill half of that."""
        enlarge(self.mailbox, capacity)
        self._gossip_limit = capacity // 2

    @property
    def calls_in_flight(self) -> int:
        return len(self._in_flight)

    # ---- startup ----

    def recover(self, cached_list: api.EndpointsUpdated) -> None:
        """Start from the cached endpoint list and the messages that the previous process left pending."""
        now = time.monotonic()
        self._apply_update(cached_list, now)
        pending: list[api.Event] = []
        for _, entry in sorted(self._store.entries.items()):  # in order of acceptance
            if entry.notice_pending:
                self._post_notice(entry)
            if not entry.pending:
                continue
            if entry.message_class in self._classes:
                pending.append(self._received_event(entry))
            elif self._apply_settings is not None:  # the settings that define the class may still arrive
                due = self._clock.to_monotonic(entry.due)
                self._unknown_class_entries.append((due, entry))
                heappush(self._timers, (due, OWN_TIMER_TOKEN))
            else:  # the settings have changed since the previous process
                self._finish_unknown_class(entry)
        self._next_events = [cached_list, *pending]
        self._counters.add("recovered", len(pending))

    def _finish_unknown_class(self, entry: Entry) -> None:
        log.error("class_gone", message_class=entry.message_class, id=entry.id)
        self._store.write([self._finish(entry.number, "dead")], self._clock.now())
        self._post_notice(entry)

    def _recover_unknown_class(self, now: float) -> list[api.Event]:
        """Recover pending messages whose class is known now; finish those whose deadline has passed."""
        events: list[api.Event] = []
        waiting, self._unknown_class_entries = self._unknown_class_entries, []
        for due, entry in waiting:
            if entry.message_class in self._classes:
                events.append(self._received_event(entry))
            elif due > now:
                self._unknown_class_entries.append((due, entry))
            else:
                self._finish_unknown_class(entry)
        self._counters.add("recovered", len(events))
        return events

    def _received_event(self, entry: Entry) -> api.MessageReceived:
        """The event for a message, whether new or recovered from a previous process."""
        may_have_run_at = None if entry.ran_at is None else self._clock.to_monotonic(entry.ran_at)
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
            may_have_run_at=may_have_run_at,
            may_have_run_zone=zones.index(entry.ran_in) if entry.ran_in in zones else None,
            size=batch_size(entry.id, entry.key, len(entry.body)),
        )

    # ---- main loop ----

    def run(self) -> None:
        """Run a turn for what was recovered, then further ones, at least the clock resolution apart."""
        self._turn([])
        while True:
            items = [] if self._next_events else self._wait_for_item()
            pause = self._last_turn_at + self._settings.clock_resolution - time.monotonic()
            if pause > 0.0:
                gevent.sleep(pause)
            while True:
                try:
                    items.append(self.mailbox.get_nowait())
                except Empty:
                    break
            self._turn(items)

    def receive_gossip(self, message: api.PeerMessage) -> bool:
        """Queue a gossip message; returns false if the mailbox is half full.

        Clients, calls and the endpoint list take precedence over gossip.
        """
        if self.mailbox.qsize() >= self._gossip_limit:
            return False
        self.mailbox.put(message)
        return True

    def _wait_for_item(self) -> list[MailboxItem]:
        timeout = max(0.0, self._timers[0][0] - time.monotonic()) if self._timers else None
        if self._store.failing:
            timeout = min(STATE_DIRECTORY_RETRY_INTERVAL, timeout or STATE_DIRECTORY_RETRY_INTERVAL)
        try:
            return [self.mailbox.get(timeout=timeout)]
        except Empty:
            return []

    def _turn(self, items: Sequence[MailboxItem]) -> None:
        now = time.monotonic()
        self._last_turn_at = now
        if (step := self._step_detector.detect()) is not None:
            self._counters.add("wall_clock_steps")
            log.warning("wall_clock_stepped", by_s=round(step, 3))
        turn = _Turn()
        # Settings come first, so that a whole turn runs under one set of settings.
        events = self._apply_newest_settings(items, now)
        events += self._next_events
        self._next_events = []
        if self._unknown_class_entries:
            events += self._recover_unknown_class(now)
        for item in items:
            match item:
                case Submission():
                    self._handle_submission(item, turn, events, now)
                case AttemptResult():
                    self._handle_attempt_result(item, turn, events, now)
                case api.EndpointsUpdated():
                    self._apply_update(item, now)
                    events.append(item)
                case api.PeerMessage():
                    events.append(item)
        while self._timers and self._timers[0][0] <= now:
            events.append(api.TimerFired(heappop(self._timers)[1]))
        if events:
            for action in self._sender.turn(now, events):
                self._collect_action(action, turn, now)
        self._carry_out(turn, now)
        self._store.drop_expired(self._clock.to_record_time(now))

    # ---- events ----

    def _apply_newest_settings(self, items: Sequence[MailboxItem], now: float) -> list[api.Event]:
        """Put the newest of the queued settings in force, here and in all other parts of the node."""
        newest = None
        for item in items:
            if isinstance(item, NewSettings):
                newest = item
        if newest is None or self._apply_settings is None:
            return []
        self._set_settings(newest.settings)
        events: list[api.Event] = [api.SettingsChanged(newest.settings)]
        update = self._apply_settings(newest)
        if update is not None:
            self._apply_update(update, now)
            events.append(update)
        log.info("settings_in_force", revision=newest.revision)
        return events

    def _handle_submission(
        self, submission: Submission, turn: _Turn, events: list[api.Event], now: float
    ) -> None:
        store = self._store
        self._counters.add("received")
        if self._is_unknown(submission.destination):
            self._counters.add("destination_unknown")
            turn.answers.append((submission, HTTPStatus.NOT_FOUND, None))
            return
        if (number := store.by_id.get(submission.id)) is not None:
            turn.resubmissions.append((submission, number))
            return
        entry = Entry(
            store.next_number,
            submission.id,
            submission.key,
            self._settings.classes[submission.message_class].name,
            submission.tenant,
            submission.destination,
            self._clock.to_record_time(submission.due),
            submission.is_retry,
            submission.from_dead_sender,
            submission.body,
        )
        if (reason := self._reject_reason(entry, now)) is not None:
            self._reject(submission, reason, turn)
            return
        store.next_number += 1
        store.add(entry)
        turn.submissions[entry.number] = submission
        log.debug(
            "message_received",
            id=entry.id,
            message_class=entry.message_class,
            destination=entry.destination,
            due_s=round(submission.due - now, 3),
        )
        events.append(self._received_event(entry))

    def _is_unknown(self, destination: int) -> bool:
        """Whether no endpoint of a destination was listed lately; false while the list may be outdated."""
        if not self._endpoints.destinations or self._sender.awaits_initial_list:
            return False
        return destination not in self._endpoints.destinations

    def _reject_reason(self, entry: Entry, now: float) -> "RejectReason | None":
        """Why a new message is rejected before the `Sender` sees it; None if it is not."""
        if self.rejecting:
            return RejectReason.STOPPING
        if not self._store.may_write:
            return RejectReason.STATE_DIRECTORY_FAILING
        if not self._store.fits(entry, self._clock.to_record_time(now)):
            return RejectReason.STATE_DIRECTORY_FULL
        return None

    def _reject(self, submission: Submission, reason: "RejectReason", turn: _Turn) -> None:
        self._counters.add("turned_away")
        self._counters.add(f"turned_away_{reason.value}")
        log.debug("message_turned_away", id=submission.id, reason=reason.value)
        turn.answers.append((submission, HTTPStatus.SERVICE_UNAVAILABLE, self._rejection_retry_after))

    def _handle_attempt_result(
        self, attempt_result: AttemptResult, turn: _Turn, events: list[api.Event], now: float
    ) -> None:
        attempt = self._in_flight.pop(attempt_result.number)
        sent_at = attempt.sent_at
        result = attempt_result.result
        entry = self._store.entries.get(attempt_result.number)
        pending = entry is not None and entry.pending
        if entry is not None:
            log_method = log.debug if result.outcome is api.Outcome.OK else log.info
            log_method(
                "attempt_ended",
                id=entry.id,
                endpoint=format_host_port(to_host_port(attempt_result.address)),
                connection=result.connection,
                attempt=attempt_result.attempt,
                outcome=result.outcome.name,
                reached=result.reached.name,
                error=result.error,
                elapsed_s=round(now - sent_at, 3),
                wait_s=result.retry_after,
                report=result.report,
            )
        if pending:
            ran = result.outcome not in NOT_RUN_OUTCOMES
            turn.records.append(self._store.end_attempt(attempt_result.number, attempt_result.attempt, ran))
            if result.final:
                final_result = "delivered" if result.outcome is api.Outcome.OK else "withdrawn"
                turn.records.append(self._finish(attempt_result.number, final_result))
        if result.retry_after:
            self._withhold_calls(attempt.endpoint, now + result.retry_after)
        events.append(
            api.AttemptEnded(
                attempt_result.number,
                attempt_result.address,
                attempt_result.attempt,
                now - sent_at,
                result.final or not pending,
                result.outcome,
                result.retry_after,
                result.no_free_slot,
                # A report read under the field names of previous settings would be taken for other fields.
                result.report if result.report_fields == self._settings.report_fields else (),
            )
        )

    def _resubmission_status(self, number: int) -> HTTPStatus:
        """The answer to a repeated submission, which is not accepted a second time."""
        entry = self._store.entries.get(number)
        if entry is None:  # rejected in this turn, so never sent
            return HTTPStatus.SERVICE_UNAVAILABLE
        match entry.result:
            case "":
                return HTTPStatus.ACCEPTED
            case "delivered":
                return HTTPStatus.OK
            case "withdrawn" if entry.ran_at is None:
                return HTTPStatus.SERVICE_UNAVAILABLE
            case "bounced":
                return HTTPStatus.SERVICE_UNAVAILABLE
        # It may have run, and a refusal would promise that it can be submitted under another id.
        return HTTPStatus.INTERNAL_SERVER_ERROR

    def _withhold_calls(self, endpoint: api.Endpoint, until: float) -> None:
        """Withhold calls that are not sent yet, after a Retry-After from this endpoint.

        It applies to the whole destination, or only to the endpoint if its kind has separate routes.
        """
        separate_routes = self._settings.kinds[endpoint.kind].separate_routes
        called = {
            attempt.endpoint.address
            for attempt in self._in_flight.values()
            if attempt.endpoint.destination == endpoint.destination
        }
        for address in called:
            if address == endpoint.address or not separate_routes:
                self._send_command(address, WithholdCalls(until, endpoint.destination))

    def _apply_update(self, update: api.EndpointsUpdated, now: float) -> None:
        """Update the known endpoints and destinations."""
        in_use = {attempt.endpoint.address for attempt in self._in_flight.values()}
        self._endpoints.update(update, now, in_use)

    def _destination_kind(self, address: api.Address) -> api.DestinationKind:
        return self._settings.kinds[self._endpoints[address].kind]

    def _zone_name(self, address: api.Address) -> str:
        """The name of an endpoint's zone; empty if the settings do not name it."""
        zone, names = self._endpoints[address].zone, self._settings.zones
        return names[zone] if zone < len(names) else ""

    # ---- actions ----

    def _finish(self, number: int, result: str, wait_ms: int = 0) -> Record:
        self._counters.add(result)
        return self._store.finish(number, result, wait_ms)

    def _collect_action(self, action: api.Action, turn: _Turn, now: float) -> None:
        match action:
            case api.Refuse(number, retry_after, reason):
                self._finish_undelivered(number, "bounced", retry_after, reason, turn)
            case api.Fail(number, reason):
                self._finish_undelivered(number, "dead", None, reason, turn)
            case api.Send():
                turn.sends.append(action)
            case api.SetTimer(delay, token):
                heappush(self._timers, (now + delay, token))
            case _:
                turn.other_actions.append(action)

    def _finish_undelivered(
        self,
        number: int,
        result: str,
        retry_after: float | None,
        reason: api.GiveUpReason | None,
        turn: _Turn,
    ) -> None:
        """Finish a message that is not delivered: answer the client if it still waits, else send a notice."""
        submission = turn.submissions.pop(number, None)
        entry = self._store.entries[number]
        if reason is not None:
            self._counters.add(f"given_up_{reason.value}")
        log.info(
            "message_given_up",
            id=entry.id,
            destination=entry.destination,
            result=result,
            reason=reason.value if reason is not None else None,
            wait_s=retry_after,
            taken_on=submission is None,
            attempts=entry.attempts,
            may_have_run=entry.ran_at is not None,
        )
        if submission is not None:
            status = HTTPStatus.TOO_MANY_REQUESTS if result == "bounced" else HTTPStatus.INTERNAL_SERVER_ERROR
            turn.answers.append((submission, status, retry_after))
            self._store.discard(number)
            self._counters.add("refused" if result == "bounced" else "failed")
        else:
            turn.records.append(self._finish(number, result, round((retry_after or 0.0) * 1000.0)))
            turn.finished.append(self._store.entries[number])

    def _carry_out(self, turn: _Turn, now: float) -> None:
        record_time = self._clock.to_record_time(now)
        self._store.enqueue(turn.records)
        if turn.submissions and not self._store.record_accepted(turn.submissions, record_time):
            self._reject_unrecorded(turn)
        written = self._store.flush(record_time)
        self._post_notices(turn.finished, written, now)
        withdrawn: set[int] = set()
        for number, submission in turn.submissions.items():
            if submission.client.answer(HTTPStatus.ACCEPTED):
                self._counters.add("taken")
            else:
                withdrawn.add(number)
        if withdrawn:
            self._store.write([self._finish(number, "withdrawn") for number in withdrawn], record_time)
            self._next_events.extend(api.MessageWithdrawn(number) for number in withdrawn)
        for submission, status, retry_after in turn.answers:
            submission.client.answer(status, retry_after)
        for submission, number in turn.resubmissions:
            submission.client.answer(self._resubmission_status(number))
        for action in turn.other_actions:
            self._execute(action)
        self._send_calls(turn.sends, now)

    def _reject_unrecorded(self, turn: _Turn) -> None:
        """Reject messages whose records could not be written, whatever the `Sender` decided for them."""
        for number, submission in turn.submissions.items():
            self._reject(submission, RejectReason.STATE_DIRECTORY_FAILING, turn)
            self._store.discard(number)
            self._next_events.append(api.MessageWithdrawn(number))
        turn.submissions.clear()

    def _post_notices(self, finished: list[Entry], written: bool, now: float) -> None:
        """Post the notices of finished messages whose results are written to the state directory.

        If a notice were sent before that, a restarted process could find the message pending and send it
        again. After its deadline no process sends a message any more, so its notice is posted even if the
        state directory cannot be written.
        """
        self._deferred_notices += finished
        if not self._deferred_notices:
            return
        waiting, self._deferred_notices = self._deferred_notices, []
        for entry in waiting:
            if written or self._clock.to_monotonic(entry.due) <= now:
                self._post_notice(entry)
            else:
                self._deferred_notices.append(entry)

    def _execute(self, action: api.Action) -> None:
        match action:
            case api.Cancel(number, attempt):
                if number in self._in_flight:
                    address = self._in_flight[number].endpoint.address
                    self._send_command(address, CancelAttempt(number, attempt))
            case api.CloseIdle(address):
                self._send_command(address, CloseIdle())
            case api.Subscribe() | api.FetchEndpoints():
                self._request_endpoints(action)
            case api.TellPeer(peer, data) if self._send_gossip is not None:
                self._send_gossip(peer, data)
            case api.Log(text):
                log.info("module", text=text)
            case _:
                log.error("action_unknown", action=repr(action))

    def _send_calls(self, sends: list[api.Send], now: float) -> None:
        """Send the messages for one endpoint in batch calls, as large as its kind allows."""
        by_endpoint: dict[api.Address, list[OutgoingMessage]] = {}
        for send in sends:
            entry = self._store.entries.get(send.message)
            if entry is None or not entry.pending:  # withdrawn in this turn
                self._next_events.append(
                    api.AttemptEnded(send.message, send.endpoint, 0, 0.0, True, api.Outcome.NOT_SENT)
                )
                continue
            if self.sends_stopped:
                continue
            self._in_flight[send.message] = Attempt(self._endpoints[send.endpoint], now)
            log.debug(
                "attempt_decided",
                id=entry.id,
                endpoint=format_host_port(to_host_port(send.endpoint)),
                attempt=entry.attempts,
            )
            due = self._clock.to_monotonic(entry.due)  # unaffected by wall-clock steps
            give_up_at = min(due, send.give_up_at or due)
            by_endpoint.setdefault(send.endpoint, []).append(
                OutgoingMessage(
                    entry.number,
                    entry.attempts,
                    entry.id,
                    entry.key,
                    entry.body,
                    give_up_at,
                    due,
                    send.write_deadline,
                )
            )
        for address, messages in by_endpoint.items():
            max_batch = self._destination_kind(address).max_batch
            for call_messages in split_into_calls(messages, max_batch):
                call = Call(
                    call_messages,
                    self._clock.to_record_time(now),
                    self._zone_name(address),
                    self._endpoints[address].destination,
                )
                self._send_command(address, call)
