"""Streams between hollow nodes and members of the control cluster, in virtual time.

Unlike datagrams, bytes of a stream are never lost: while the regions are apart they wait, and come in order
when the regions are together again.
"""

from collections import deque
from dataclasses import dataclass

from irisstack.lab.virtual.clock import Act, Clock

IN_ZONE_S = 0.002
IN_REGION_S = 0.015
ACROSS_REGIONS_S = 0.080
"""One-way delays in seconds."""
REGIONS = 2
ZONES_PER_REGION = 4
ZONES = REGIONS * ZONES_PER_REGION


@dataclass(slots=True, frozen=True)
class Place:
    """Where a machine stands."""

    zone: int

    @property
    def region(self) -> int:
        return self.zone // ZONES_PER_REGION

    def delay_to(self, other: "Place") -> float:
        """Seconds that bytes take one way."""
        if self.zone == other.zone:
            return IN_ZONE_S
        return IN_REGION_S if self.region == other.region else ACROSS_REGIONS_S


class StreamNetwork:
    """Carries bytes between places, in order and with a delay."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._apart = False
        self._waiting: deque[tuple[float, Act, tuple[object, ...]]] = deque()

    def send(self, source: Place, target: Place, act: Act, *arguments: object) -> None:
        """Call `act(now, *arguments)` at the target when the bytes are there."""
        delay = source.delay_to(target)
        if self._apart and source.region != target.region:
            self._waiting.append((delay, act, arguments))
        else:
            self._clock.after(delay, act, *arguments)

    def send_connect(self, source: Place, target: Place, act: Act, *arguments: object) -> None:
        """As `send`, for the first packet of a connection: what does not arrive is not sent again.

        Clients give a connection up before the operating system's second try.
        """
        if not self._apart or source.region == target.region:
            self._clock.after(source.delay_to(target), act, *arguments)

    def separate_regions(self) -> None:
        """Let nothing pass from one region to the other from now on."""
        self._apart = True

    def join_regions(self) -> None:
        """Let what has waited go on its way."""
        self._apart = False
        for delay, act, arguments in self._waiting:
            self._clock.after(delay, act, *arguments)
        self._waiting.clear()
