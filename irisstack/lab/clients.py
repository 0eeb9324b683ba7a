"""Those who hand messages in: when they come again, and whether they heed advice. Pure."""

from irisstack.lab.sampling import RandomStreams, sample
from irisstack.lab.scenario import Clients

MIN_TIME_LEFT = 0.05
"""Seconds that a message must have left for a client to hand it in once more."""


class ClientBehaviour:
    """All clients of a world."""

    def __init__(self, told: Clients, streams: RandomStreams) -> None:
        self._told = told
        self._backoff = streams.stream("clients", "backoff")
        self._heeds = streams.uniform("clients", "heed")
        self._leaves = streams.uniform("clients", "leave")
        self._resend = streams.stream("clients", "resend")

    def disconnects_early(self) -> bool:
        """Whether this one closes its connection before it has read the answer."""
        return self._told.leave > 0.0 and self._leaves() < self._told.leave

    def retry_delay(self, tries: int, advice: float, left: float) -> float | None:
        """After a refusal: seconds until the message is handed in again; `None` if it is not.

        `tries` are the handings in so far, `advice` the told seconds (0: none), `left` the time that it has.
        """
        if tries > self._told.retries:
            return None
        wait = sample(self._told.backoff_s, self._backoff) * 2.0 ** (tries - 1)
        if advice and self._heeds() < self._told.heed:
            wait = max(wait, advice)
        return wait if wait + MIN_TIME_LEFT < left else None

    def failover_delay(self) -> float:
        """Seconds until another node is tried, after one could not be reached or died."""
        return sample(self._told.resend_s, self._resend)
