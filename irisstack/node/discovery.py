"""The actor that keeps the endpoint list: calls discovery when told to and passes its updates on."""

import random
import time
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

import gevent
import structlog
from gevent.queue import Queue

from irisstack import interface as api
from irisstack.list_refresh import NOTIFICATION_DEADLINE
from irisstack.node.config import HostPort, format_host_port, to_host_port
from irisstack.node.counters import Counters
from irisstack.node.list_call import CallFailure, ListCall, Query
from irisstack.node.list_reader import ListReader

WATCH_RETRY_PAUSE_S = 0.08
"""Mean seconds before a watch that ended or is overdue is retried, where lists are pushed."""
MAX_WATCHES = 4
"""Concurrent watch calls."""
OLDEST_WATCHES_KEPT = 2
"""The oldest watch calls that are never evicted: a service that works in order answers them first."""
NOTIFICATION_DEADLINE_AFTER_MOVE_S = 4.0
"""Seconds that replace `NOTIFICATION_DEADLINE` when the address of discovery changes."""
MAX_LOGGED_ENDPOINTS = 8
"""Endpoints named in one log line."""
LOG_ALL_FAILURES_UP_TO, LOG_EVERY_NTH_FAILURE = 5, 50
"""Consecutive failures: all up to the first number are logged at info, then each nth; the rest at debug."""

log = structlog.get_logger()


@dataclass(slots=True, frozen=True)
class AddressChanged:
    """Discovery has moved to another address."""

    address: HostPort


class Discovery:
    """Holds a watch and at most one fetch.

    While a watch call is overdue, another may run in parallel; the first that confirms the list is kept.
    Where lists are pushed (`pushed`), the decision module never subscribes and a watch is held all the time.
    """

    def __init__(
        self,
        address: HostPort,
        reader: ListReader,
        post: Callable[[api.EndpointsUpdated], None],
        revision: int,
        pushed: bool,
        counters: Counters | None = None,
    ) -> None:
        self._counters = counters or Counters()
        self._address = address
        self._reader = reader
        self._post = post
        self._revision = revision
        self._pushed = pushed
        self._calls_started = 0
        self._failures = 0  # since the list was last confirmed
        self._confirmed_at = time.monotonic()  # when the held list was last known to be the newest
        self._watches: list[ListCall] = []
        self._fetch: ListCall | None = None
        self._heard = False  # whether discovery has sent or confirmed a list in this process
        self._subscribed = False  # whether the decision module wants a watch
        self.mailbox: Queue[api.Action | AddressChanged] = Queue(64)

    def run(self) -> None:
        """Process the mailbox. Never posts from here, since the decision module's mailbox may be full."""
        if self._pushed:
            self.mailbox.put(api.Subscribe(True))
        while True:
            match self.mailbox.get():
                case api.Subscribe(True):
                    self._subscribed = True
                    self._ensure_watch()
                case api.Subscribe(False):
                    self._subscribed = False
                    self._end_watches()
                case api.FetchEndpoints():
                    if self._fetch is None or not self._fetch.on_time:
                        self._start_fetch()
                case AddressChanged(address):
                    self._change_address(address)

    def close(self) -> None:
        """End all calls."""
        self._end_watches()
        if self._fetch is not None:
            self._fetch.end()

    # ---- calls ----

    def _start_call(self, query: Query) -> ListCall:
        self._calls_started += 1
        self._counters.add("list_calls")
        self._log_call(
            "list_call_begun",
            call=self._calls_started,
            query=query.value,
            revision=self._revision,
            list_age_s=round(self._list_age, 3),
        )
        return ListCall(self._calls_started, self._address, query, self._revision, self)

    def _ensure_watch(self) -> None:
        """Start a watch call, unless one is running that is not overdue."""
        self._watches = [watch for watch in self._watches if not watch.ended]
        if any(watch.on_time for watch in self._watches):
            return
        while len(self._watches) >= MAX_WATCHES:
            self._evict_watch()
        self._watches.append(self._start_call(Query.WATCH))

    def _evict_watch(self) -> None:
        """Make room for another watch: end one that fell silent, else the oldest that may be evicted."""
        silent = (watch for watch in self._watches if watch.answered)
        watch = next(silent, self._watches[OLDEST_WATCHES_KEPT])
        self._watches.remove(watch)
        watch.end()

    def _end_watches(self) -> None:
        for watch in self._watches:
            watch.end()
        self._watches.clear()

    def _start_fetch(self) -> None:
        if self._fetch is not None:
            self._fetch.end()
        self._fetch = self._start_call(Query.FETCH)

    def _change_address(self, address: HostPort) -> None:
        """Call the new address at once; the held list stays in use until the new one arrives.

        Revisions may be numbered differently there, so the whole list is requested.
        """
        self._address, self._revision = address, 0
        # The notification deadline is earlier after a move: backdate the list by the difference.
        self._confirmed_at = time.monotonic() - (NOTIFICATION_DEADLINE - NOTIFICATION_DEADLINE_AFTER_MOVE_S)
        self._end_watches()
        if self._subscribed:
            self._ensure_watch()
        if self._fetch is not None and not self._fetch.ended:
            self._start_fetch()

    def _log_call(self, event: str, **fields: Any) -> None:
        """Log an event of a call; in a long outage, most of them at debug level."""
        log_method = log.info
        if self._failures > LOG_ALL_FAILURES_UP_TO and self._failures % LOG_EVERY_NTH_FAILURE:
            log_method = log.debug
        log_method(event, **fields)

    # ---- results of calls ----

    @property
    def _list_age(self) -> float:
        """Seconds since the held list was last known to be the newest."""
        return time.monotonic() - self._confirmed_at

    def on_object(self, call: ListCall, raw: Any) -> bool:
        """Post the update in one JSON object, unless it is older than one that the call has brought before.

        The revision is stored only then: if the call is ended meanwhile, the next one requests it again.
        """
        revision = int(raw["revision"])
        if revision < call.newest_revision:
            self._counters.add("list_updates_outdated")
            log.warning(
                "list_update_outdated", call=call.number, revision=revision, newest=call.newest_revision
            )
            return False
        call.newest_revision = revision
        update = self._reader.parse_update(raw)
        not_offered = [e.address for e in update.endpoints if e.state is not api.EndpointState.READY]
        log.info(
            "list_updated",
            call=call.number,
            scope=update.scope.name,
            revision=update.version,
            lines=len(update.endpoints),
            not_offered=[
                format_host_port(to_host_port(address)) for address in not_offered[:MAX_LOGGED_ENDPOINTS]
            ],
        )
        self._heard = True
        self._post(update)
        self._revision = update.version
        return True

    def on_confirmed(self, call: ListCall) -> None:
        """The list is known to be the newest; the other watch calls are no longer needed.

        If the first word of discovery is a heartbeat, nothing has changed since the list of the start: an
        empty update says so.
        """
        self._counters.record_max("list_age_longest_ms", round(self._list_age * 1000.0))
        self._confirmed_at = time.monotonic()
        self._failures = 0
        if self._pushed and not self._heard:
            self._heard = True
            self._post(api.EndpointsUpdated(api.UpdateScope.DELTA, self._revision, ()))
        if call not in self._watches:
            return
        for other in self._watches:
            if other is not call:
                other.end()
        self._watches = [call]

    def on_failure(self, call: ListCall, failure: CallFailure) -> None:
        """Notify the decision module, which decides when to call again."""
        self._counters.add("list_calls_failed")
        self._failures += 1
        self._log_call(
            "list_call_failed",
            call=call.number,
            reason=failure.reason,
            unheard_s=round(failure.silent_for, 3),
            list_age_s=round(self._list_age, 3),
        )
        self._post(
            api.EndpointsUpdated(
                api.UpdateScope.FAILED,
                self._revision,
                (),
                failure.silent_for,
                list_age=self._list_age,
                call_ended=failure.call_ended,
            )
        )
        if self._pushed and call in self._watches:
            # An update counts as notified as soon as the service is back, so the retry interval is short.
            gevent.sleep(random.uniform(0.5, 1.5) * WATCH_RETRY_PAUSE_S)
            self.mailbox.put(api.Subscribe(True))
