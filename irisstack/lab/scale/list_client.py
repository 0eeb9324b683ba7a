"""How a node asks for the endpoint list: one watch, its time-out, and what is told of its end.

The times are those of `irisstack.node.discovery`, which a hollow node stands in for; a test compares them.
"""

from collections.abc import Callable
from dataclasses import dataclass

from irisstack.lab.scale.list_lines import BEAT_S, REQUEST_BYTES
from irisstack.lab.scale.list_service import ListCall, ListService
from irisstack.lab.scale.network import Network
from irisstack.lab.virtual.clock import Clock

SILENCE_S = 3.5
"""Seconds without a word after which a call or a watch counts as broken."""
PUSHED_PAUSE_S = 0.5
"""Seconds until a watch that ended is held anew, where the list comes unasked."""


@dataclass(slots=True)
class ClientCounts:
    """What one client has done."""

    calls: int = 0
    failures: int = 0


class ListClient:
    """Holds at most one watch; tells `updated` of answers and `failed` of a watch's end."""

    def __init__(
        self,
        number: int,
        known_version: int,
        clock: Clock,
        network: Network,
        service: ListService,
        service_member: int,
        updated: Callable[[float, int], None],
        failed: Callable[[float, float], None],
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
        self._call: ListCall | None = None
        self._heard_at = 0.0

    @property
    def watching(self) -> bool:
        """Whether a watch is held that has been answered."""
        return self._call is not None and self._heard_at > 0.0

    def subscribe(self, now: float, on: bool) -> None:
        """Hold a watch, unless one is held; or end it."""
        if not on:
            self.stop()
        elif self._call is None:
            self._ask(now)

    def stop(self) -> None:
        """End the watch; nothing is told of it any more."""
        if self._call is not None:
            self._call.open = False
            self._call = None

    def _ask(self, now: float) -> None:
        call = self._call = ListCall(self.number, self.known_version, self._answered, self._broken)
        self._heard_at = 0.0
        self.counts.calls += 1
        reached = self._network.deliver(
            self.number, self._service_member, REQUEST_BYTES, self._service.call, call
        )
        # A connection that does not come up takes as long to be given up as an answer that does not come.
        unheard = SILENCE_S if reached else 0.0
        self._clock.at(now + SILENCE_S, self._no_answer, call, unheard)

    def _no_answer(self, now: float, call: ListCall, unheard: float) -> None:
        if call is self._call and not self.watching:
            self._end(now, unheard)

    def _answered(self, now: float, call: ListCall, version: int) -> None:
        """The service has written; an answer on its way when regions are cut off is lost."""
        if not self._network.reaches(self._service_member, self.number):
            return
        self._clock.after(self._network.delay(), self._arrived, call, version)

    def _arrived(self, now: float, call: ListCall, version: int) -> None:
        if call is not self._call:
            return
        self._heard_at = now
        self.known_version = version
        self._updated(now, version)

    def _broken(self, now: float, call: ListCall) -> None:
        """The connection was refused, or closed by the service."""
        if call is self._call:
            self._clock.after(self._network.delay(), self._closed, call)

    def _closed(self, now: float, call: ListCall) -> None:
        if call is self._call:
            since_beat = (now - self._heard_at) % BEAT_S if self.watching else 0.0
            self._end(now, since_beat)

    def lose_contact(self, now: float) -> None:
        """From now on no beat of the watch comes through; it breaks when none has come for too long."""
        if self._call is not None and self.watching:
            last_beat = now - (now - self._heard_at) % BEAT_S
            self._clock.at(last_beat + SILENCE_S, self._beats_missed, self._call)

    def _beats_missed(self, now: float, call: ListCall) -> None:
        if call is self._call:
            self._end(now, SILENCE_S)

    def _end(self, now: float, unheard: float) -> None:
        assert self._call is not None
        self._call.open = False
        self._call = None
        self.counts.failures += 1
        self._failed(now, unheard)
