"""The actor of the endpoint list: asks discovery when told to, and hands on what it says."""

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
"""Seconds, on average, until a watch that ended or is late is held anew, where the list comes unasked."""
MAX_WATCHES = 4
"""Calls for a watch that may be out at once."""
OLDEST_WATCHES_KEPT = 2
"""Of these, so many of the oldest stay: a service that works through calls in turn comes to them first."""
NOTIFICATION_DEADLINE_AFTER_MOVE_S = 4.0
"""Seconds, in place of `NOTIFICATION_DEADLINE`, after which news of the list counts as told once
discovery has moved."""
MAX_LOGGED_ENDPOINTS = 8
"""Endpoints that one line of the log names at most."""
LOG_ALL_FAILURES_UP_TO, LOG_EVERY_NTH_FAILURE = 5, 50
"""Calls without a word in between whose failures are all logged, and which of the later ones are."""

log = structlog.get_logger()


@dataclass(slots=True, frozen=True)
class AddressChanged:
    """Discovery is at another address from now on."""

    peer: HostPort


class Discovery:
    """Holds a watch and at most one fetch.

    While a call for a watch is late, another may be out beside it; the first that brings a word is kept.
    Where the list comes unasked (`pushed`) the module never subscribes, and a watch is held all along.
    """

    def __init__(
        self,
        peer: HostPort,
        reader: ListReader,
        post: Callable[[api.EndpointsUpdated], None],
        revision: int,
        pushed: bool,
        counters: Counters | None = None,
    ) -> None:
        self._counters = counters or Counters()
        self._peer = peer
        self._reader = reader
        self._post = post
        self._revision = revision
        self._pushed = pushed
        self._calls_started = 0
        self._failures = 0  # since the last word
        self._confirmed_at = time.monotonic()  # when the list that is held was last known to be the newest
        self._watches: list[ListCall] = []
        self._fetch: ListCall | None = None
        self._subscribed = False  # the module's last word on the watch
        self.mailbox: Queue[api.Action | AddressChanged] = Queue(64)

    def run(self) -> None:
        """Follow the mailbox. Nothing is handed on from here: the way to the module may be full."""
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
                case AddressChanged(peer):
                    self._change_address(peer)

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
        return ListCall(self._calls_started, self._peer, query, self._revision, self)

    def _ensure_watch(self) -> None:
        """Begin a call for a watch, unless there is one that is not late: that is as good as another."""
        self._watches = [watch for watch in self._watches if not watch.ended]
        if any(watch.on_time for watch in self._watches):
            return
        while len(self._watches) >= MAX_WATCHES:
            self._evict_watch()
        self._watches.append(self._start_call(Query.WATCH))

    def _evict_watch(self) -> None:
        """Make room for another: a silent watch goes, else the oldest call that need not stay."""
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

    def _change_address(self, peer: HostPort) -> None:
        """Ask at another address at once; the list that is held stays until the new one comes.

        Revisions may be counted otherwise there, so the whole list is asked for.
        """
        self._peer, self._revision = peer, 0
        # What the new address has counts as told sooner, as if the list were older by the difference.
        self._confirmed_at = time.monotonic() - (NOTIFICATION_DEADLINE - NOTIFICATION_DEADLINE_AFTER_MOVE_S)
        self._end_watches()
        if self._subscribed:
            self._ensure_watch()
        if self._fetch is not None and not self._fetch.ended:
            self._start_fetch()

    def _log_call(self, event: str, **fields: Any) -> None:
        """Log a call; in a long outage most of them at the level for debugging."""
        log_method = log.info
        if self._failures > LOG_ALL_FAILURES_UP_TO and self._failures % LOG_EVERY_NTH_FAILURE:
            log_method = log.debug
        log_method(event, **fields)

    # ---- what calls tell ----

    @property
    def _list_age(self) -> float:
        """Seconds since the list that is held was last known to be the newest."""
        return time.monotonic() - self._confirmed_at

    def on_object(self, call: ListCall, raw: Any) -> None:
        """Hand on what one object says. Only then is it known: a watch ended meanwhile is told it again."""
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
        self._post(update)
        self._revision = update.version

    def on_confirmed(self, call: ListCall) -> None:
        """The list is known to be the newest; other calls for a watch are not needed any more."""
        self._counters.raise_to("list_age_longest_ms", round(self._list_age * 1000.0))
        self._confirmed_at = time.monotonic()
        self._failures = 0
        if call not in self._watches:
            return
        for other in self._watches:
            if other is not call:
                other.end()
        self._watches = [call]

    def on_failure(self, call: ListCall, failure: CallFailure) -> None:
        """Tell the module, which decides when to ask again."""
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
                api.UpdateScope.FAILED, self._revision, (), failure.silent_for, list_age=self._list_age
            )
        )
        if self._pushed and call in self._watches:
            # What is had at the service's return counts as told at once, so it is looked for often.
            gevent.sleep(random.uniform(0.5, 1.5) * WATCH_RETRY_PAUSE_S)
            self.mailbox.put(api.Subscribe(True))
