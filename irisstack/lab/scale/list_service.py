"""A service of the endpoint list that works through calls one after another, given up ones too."""

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum, auto

from irisstack.lab.scale.list_lines import FRAME_BYTES, HEAD_BYTES, LINE_BYTES
from irisstack.lab.virtual.clock import Clock


class State(Enum):
    """Whether the service can be reached."""

    SERVING = auto()
    REFUSING = auto()
    """Connections are refused, and those that were open have been closed."""
    SILENT = auto()
    """Connections are taken and stay open, and nothing is answered."""


@dataclass(slots=True, eq=False)
class ListCall:
    """One call for the list, which becomes a watch when it is answered."""

    client: int
    known_version: int
    answered: Callable[[float, "ListCall", int], None]
    """Called with the time, this call and the version that the client has from now on."""
    broken: Callable[[float, "ListCall"], None]
    """Called when the service closes the connection."""
    open: bool = True
    """Whether the client still waits for it or holds it."""


@dataclass(slots=True)
class ServiceCounts:
    """What the service has done."""

    calls: int = 0
    given_up: int = 0
    """Calls worked through for nobody."""
    pushes: int = 0
    refused: int = 0
    bytes_sent: int = 0
    longest_queue: int = 0


@dataclass(slots=True)
class Costs:
    """Seconds of the service for one call, and for telling one watch of changes."""

    call_s: float
    push_s: float = 0.0


@dataclass(slots=True)
class ListService:
    """One queue of calls and of pushes to held watches; each takes its time in turn."""

    clock: Clock
    costs: Costs
    lines: int
    """Lines of the whole list."""
    keeps_history: bool = True
    """Whether a client that knows an earlier version is told just what has changed since."""
    version: int = 1
    state: State = State.SERVING
    counts: ServiceCounts = field(default_factory=ServiceCounts)
    _queue: deque[tuple[ListCall, bool]] = field(default_factory=deque)
    _busy: bool = False
    _watches: dict[ListCall, int] = field(default_factory=dict)

    def call(self, now: float, call: ListCall) -> None:
        """A call has come in; a refused one is broken at once."""
        if self.state is State.REFUSING:
            self.counts.refused += 1
            call.open = False
            call.broken(now, call)
            return
        self._enqueue(call, is_push=False)

    def change(self, now: float) -> None:
        """One line of the list changes; every watch is to be told."""
        self.version += 1
        for call in tuple(self._watches):
            self._enqueue(call, is_push=True)

    def go_down(self, now: float, state: State) -> None:
        """Stop answering; a refusing service has lost its connections and its queue."""
        self.state = state
        if state is not State.REFUSING:
            return
        held = [*self._watches, *(call for call, is_push in self._queue if not is_push)]
        self._watches.clear()
        self._queue.clear()
        for call in held:
            if call.open:
                call.open = False
                call.broken(now, call)

    def come_back(self, now: float) -> None:
        """Serve again, beginning with what has been queued meanwhile."""
        self.state = State.SERVING
        self._work()

    @property
    def watching(self) -> int:
        """Watches that are held, as far as the service knows."""
        return sum(call.open for call in self._watches)

    def _enqueue(self, call: ListCall, *, is_push: bool) -> None:
        self._queue.append((call, is_push))
        self.counts.longest_queue = max(self.counts.longest_queue, len(self._queue))
        self._work()

    def _work(self) -> None:
        """Begin with the next in the queue, unless there is something in work."""
        if self._busy or self.state is not State.SERVING:
            return
        while self._queue:
            call, is_push = self._queue.popleft()
            if is_push and not call.open:
                self._watches.pop(call, None)
                continue
            if is_push and self._watches.get(call, self.version) == self.version:
                continue  # told of this change together with an earlier one
            self._busy = True
            seconds = self.costs.push_s if is_push else self.costs.call_s
            self.clock.after(seconds, self._done, call, is_push)
            return

    def _done(self, now: float, call: ListCall, is_push: bool) -> None:
        self._busy = False
        if self.state is State.REFUSING:
            return
        if is_push:
            self.counts.pushes += 1
        else:
            self.counts.calls += 1
            self.counts.given_up += not call.open
        if call.open:
            self._answer(now, call, is_push)
        else:
            self._watches.pop(call, None)
        self._work()

    def _answer(self, now: float, call: ListCall, is_push: bool) -> None:
        known = self._watches[call] if is_push else call.known_version
        only_changes = is_push or (self.keeps_history and known > 0)
        told = self.version - known if only_changes else self.lines
        self.counts.bytes_sent += (0 if is_push else HEAD_BYTES) + FRAME_BYTES + told * LINE_BYTES
        self._watches[call] = self.version
        call.answered(now, call, self.version)
