"""Those who hand messages in: when they come again, and whether they heed advice. Pure."""

from irisstack.lab.sampling import RandomStreams, sample
from irisstack.lab.scenario import Clients

MIN_TIME_LEFT = 0.05
"""Seconds that a message must have left for a client to hand it in once more."""


class ClientBehaviour:
    """All clients of a world."""

    def __init__(self, config: Clients, streams: RandomStreams) -> None:
        self._config = config
        self._backoff = streams.stream("clients", "backoff")
        self._heed_draw = streams.uniform("clients", "heed")
        self._leave_draw = streams.uniform("clients", "leave")
        self._resend = streams.stream("clients", "resend")

    def disconnects_early(self) -> bool:
        """Whether this one closes its connection before it has read the answer."""
        return self._config.leave > 0.0 and self._leave_draw() < self._config.leave

    def retry_delay(self, submissions: int, retry_after: float, time_left: float) -> float | None:
        """After a refusal: seconds until the message is handed in again; `None` if it is not.

        `tries` are the handings in so far, `advice` the told seconds (0: none), `left` the time that it has.
        """
        if submissions > self._config.retries:
            return None
        delay = sample(self._config.backoff_s, self._backoff) * 2.0 ** (submissions - 1)
        if retry_after and self._heed_draw() < self._config.heed:
            delay = max(delay, retry_after)
        return delay if delay + MIN_TIME_LEFT < time_left else None

    def failover_delay(self) -> float:
        """Seconds until another node is tried, after one could not be reached or died."""
        return sample(self._config.resend_s, self._resend)
