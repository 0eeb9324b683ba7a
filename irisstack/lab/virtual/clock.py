"""Virtual time: acts in the order of their times, and of their making where those are equal."""

from collections.abc import Callable
from heapq import heappop, heappush

Act = Callable[..., None]


class Clock:
    """A queue of acts; each is called with its time first."""

    def __init__(self) -> None:
        self.now = 0.0
        self.done = 0
        """Acts carried out so far."""
        self._queue: list[tuple[float, int, Act, tuple[object, ...]]] = []
        self._made = 0

    def at(self, time: float, act: Act, *arguments: object) -> None:
        """Call `act(time, *arguments)` then; the past means now."""
        self._made += 1
        heappush(self._queue, (time if time > self.now else self.now, self._made, act, arguments))

    def after(self, delay: float, act: Act, *arguments: object) -> None:
        self._made += 1
        heappush(self._queue, (self.now + delay, self._made, act, arguments))

    def run(self, until: float, over: Callable[[], bool]) -> None:
        """Carry out acts until that time, or until nothing is left, or until `over` says so."""
        queue = self._queue
        while queue and queue[0][0] <= until:
            self.now, _, act, arguments = heappop(queue)
            act(self.now, *arguments)
            self.done += 1
            if not self.done & 1023 and over():
                return
