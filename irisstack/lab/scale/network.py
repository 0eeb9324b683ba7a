"""Delivery between hollow nodes and services in virtual time: delay, loss, partitions, traffic counts."""

from collections.abc import Callable
from dataclasses import dataclass
from random import Random

from irisstack.lab.virtual.clock import Act, Clock

UDP_HEADER_BYTES = 28
"""An IPv4 and a UDP header, without Ethernet."""


@dataclass(slots=True)
class Traffic:
    """What one member of the network has sent and received, headers included."""

    messages_sent: int = 0
    messages_received: int = 0
    bytes_sent: int = 0
    bytes_received: int = 0


@dataclass(slots=True, frozen=True)
class Delay:
    """One-way delay in seconds, drawn evenly between the two ends."""

    least: float = 0.0005
    most: float = 0.002


class Network:
    """Members in regions; a message between regions that are cut off from each other is lost.

    Every delivery is one event of the clock, a broadcast included; nothing is polled.
    """

    def __init__(self, clock: Clock, seed: int, delay: Delay | None = None, loss: float = 0.0) -> None:
        self._clock = clock
        self._random = Random(seed)
        self._delay = delay or Delay()
        self._loss = loss
        self._region: dict[int, int] = {}
        self._cut: set[frozenset[int]] = set()
        self.traffic: dict[int, Traffic] = {}

    def join(self, member: int, region: int = 0) -> None:
        """Add a member; its traffic is counted from now on."""
        self._region[member] = region
        self.traffic.setdefault(member, Traffic())

    def partition(self, region: int, other: int) -> None:
        """Cut two regions off from each other."""
        self._cut.add(frozenset((region, other)))

    def heal(self, region: int, other: int) -> None:
        """Connect two regions again."""
        self._cut.discard(frozenset((region, other)))

    def reaches(self, source: int, target: int) -> bool:
        """Whether a message sent now would not be stopped by a partition."""
        if not self._cut:
            return True
        return frozenset((self._region[source], self._region[target])) not in self._cut

    def delay(self) -> float:
        """A one-way delay, drawn anew at each call."""
        return self._random.uniform(self._delay.least, self._delay.most)

    def deliver(self, source: int, target: int, size: int, act: Act, *arguments: object) -> bool:
        """Send `size` bytes; `act(now, *arguments)` is called on arrival. Returns whether it will arrive."""
        sent = self.traffic[source]
        sent.messages_sent += 1
        sent.bytes_sent += size
        if not self._arrives(source, target):
            return False
        self._clock.after(self.delay(), self._arrive, target, size, act, arguments)
        return True

    def broadcast(self, source: int, size: int, act: Callable[[float, int], None]) -> None:
        """Send one datagram to each other member; `act(now, member)` is called for each that arrives."""
        sent = self.traffic[source]
        copies = len(self._region) - 1
        sent.messages_sent += copies
        sent.bytes_sent += copies * size
        targets = [m for m in self._region if m != source and self._arrives(source, m)]
        self._clock.after(self.delay(), self._arrive_everywhere, targets, size, act)

    def _arrives(self, source: int, target: int) -> bool:
        return self.reaches(source, target) and (not self._loss or self._random.random() >= self._loss)

    def _arrive(self, now: float, target: int, size: int, act: Act, arguments: tuple[object, ...]) -> None:
        self._receive(target, size)
        act(now, *arguments)

    def _arrive_everywhere(
        self, now: float, targets: list[int], size: int, act: Callable[[float, int], None]
    ) -> None:
        for target in targets:
            self._receive(target, size)
            act(now, target)

    def _receive(self, target: int, size: int) -> None:
        received = self.traffic[target]
        received.messages_received += 1
        received.bytes_received += size
