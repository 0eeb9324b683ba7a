"""How a node asks for the endpoint list: its watches, their times, and what is told of their failures.

The times are those of `irisstack.node.list_call`, which a hollow node stands in for; a test compares them.
"""

from collections.abc import Callable
from dataclasses import dataclass

from irisstack.lab.scale.list_lines import BEAT_S, REQUEST_BYTES
from irisstack.lab.scale.list_service import ListCall, ListService
from irisstack.lab.scale.network import Network
from irisstack.lab.virtual.clock import Clock

ANSWER_LATE_S = 1.2
"""Seconds after which a call without an answer is late: another may be begun beside it."""
WORD_LATE_S = 2.6
"""Seconds without a word after which a watch is late."""
SILENCE_S = 3.5
"""Seconds without a word after which a watch ends, or a call that has not reached the service."""
ANSWER_WITHIN_S = 120.0
"""Seconds without an answer after which a call ends."""
MOST_WATCHES, OLDEST_KEPT = 4, 2
"""Calls for a watch that may be out at once, and how many of the oldest keep their place in the queue."""
PUSHED_PAUSE_S = 0.08
"""Seconds until a watch that ended or is late is held anew, where the list comes unasked."""


@dataclass(slots=True)
class ClientCounts:
    """What one client has done."""

    calls: int = 0
    failures: int = 0


@dataclass(slots=True, eq=False)
class _Watch:
    """A call that is out, and once it is answered the watch that it has become."""

    call: ListCall
    heard_at: float
    reached: bool = True
    answered: bool = False
    late: bool = False


class ListClient:
    """Holds a watch; tells `updated` of answers, and `failed` of a watch that fails or is late.

    `failed` is called with the time, the seconds since the service was heard, and the age of the list.
    """

    def __init__(
        self,
        number: int,
        known_version: int,
        clock: Clock,
        network: Network,
        service: ListService,
        service_member: int,
        updated: Callable[[float, int], None],
        failed: Callable[[float, float, float], None],
    ) -> None:
        self.number = number
        self.known_version = known_version
        self.counts = ClientCounts()
        self._clock = clock
        self._network = network
        self._service = service
        self._service_member = service_member
        self._updated = updated
        self._failed = failed
        self._watches: list[_Watch] = []
        self._confirmed_at = clock.now

    @property
    def watching(self) -> bool:
        """Whether a watch is held that has been answered."""
        return any(watch.answered for watch in self._watches)

    def subscribe(self, now: float, on: bool) -> None:
        """Hold a watch, unless there is one that is not late; or end it."""
        if not on:
            self.stop()
        elif all(watch.late for watch in self._watches):
            self._ask(now)

    def stop(self) -> None:
        """End all watches; nothing is told of them any more."""
        for watch in list(self._watches):
            self._drop(watch)

    def _drop(self, watch: _Watch) -> None:
        watch.call.open = False
        self._watches.remove(watch)

    def _find(self, call: ListCall) -> _Watch | None:
        return next((watch for watch in self._watches if watch.call is call), None)

    def _ask(self, now: float) -> None:
        while len(self._watches) >= MOST_WATCHES:
            silent = (watch for watch in self._watches if watch.answered)
            self._drop(next(silent, self._watches[OLDEST_KEPT]))
        watch = _Watch(ListCall(self.number, self.known_version, self._answered, self._broken), now)
        self._watches.append(watch)
        self.counts.calls += 1
        watch.reached = self._network.deliver(
            self.number, self._service_member, REQUEST_BYTES, self._service.call, watch.call
        )
        self._clock.at(now + ANSWER_LATE_S, self._not_answered, watch)
        self._clock.at(now + (ANSWER_WITHIN_S if watch.reached else SILENCE_S), self._given_up, watch)

    def _not_answered(self, now: float, watch: _Watch) -> None:
        if watch in self._watches and not watch.answered:
            self._tell_late(now, watch)

    def _given_up(self, now: float, watch: _Watch) -> None:
        if watch in self._watches and not watch.answered:
            self._drop(watch)

    def _tell_late(self, now: float, watch: _Watch) -> None:
        watch.late = True
        self._tell_failure(now, now - watch.heard_at if watch.reached else 0.0)

    def _answered(self, now: float, call: ListCall, version: int) -> None:
        """The service has written; an answer on its way when regions are cut off is lost."""
        if not self._network.reaches(self._service_member, self.number):
            return
        self._clock.after(self._network.delay(), self._arrived, call, version)

    def _arrived(self, now: float, call: ListCall, version: int) -> None:
        watch = self._find(call)
        if watch is None:
            return
        for other in [each for each in self._watches if each is not watch]:
            self._drop(other)
        watch.heard_at = self._confirmed_at = now
        watch.answered, watch.late = True, False
        self.known_version = version
        self._updated(now, version)

    def _broken(self, now: float, call: ListCall) -> None:
        """The connection was refused, or closed by the service."""
        if self._find(call) is not None:
            self._clock.after(self._network.delay(), self._closed, call)

    def _closed(self, now: float, call: ListCall) -> None:
        watch = self._find(call)
        if watch is None:
            return
        self._drop(watch)
        if watch.answered:
            self._confirmed_at = now - self._since_beat(now, watch)
        if not watch.late:
            self._tell_failure(now, self._since_beat(now, watch) if watch.answered else 0.0)

    def _since_beat(self, now: float, watch: _Watch) -> float:
        return (now - watch.heard_at) % BEAT_S

    def lose_contact(self, now: float) -> None:
        """From now on no beat of the watch comes through: it is late after a while, and ends later."""
        for watch in self._watches:
            if watch.answered:
                self._confirmed_at = watch.heard_at = now - self._since_beat(now, watch)
                self._clock.at(watch.heard_at + WORD_LATE_S, self._beats_missed, watch, watch.heard_at)
                self._clock.at(watch.heard_at + SILENCE_S, self._fallen_silent, watch, watch.heard_at)

    def _beats_missed(self, now: float, watch: _Watch, heard_at: float) -> None:
        if watch in self._watches and watch.heard_at == heard_at and not watch.late:
            self._tell_late(now, watch)

    def _fallen_silent(self, now: float, watch: _Watch, heard_at: float) -> None:
        if watch in self._watches and watch.heard_at == heard_at:
            self._drop(watch)

    def _tell_failure(self, now: float, unheard: float) -> None:
        self.counts.failures += 1
        self._failed(now, unheard, now - self._confirmed_at)
