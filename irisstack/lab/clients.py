"""Client behaviour: when clients retry, and whether they honour Retry-After. Makes no calls itself."""

from irisstack.lab.sampling import RandomStreams, sample
from irisstack.lab.scenario import Clients

MIN_TIME_LEFT = 0.05
"""Seconds to its deadline that a message must have for a client to submit it again."""


class ClientBehaviour:
    """The behaviour of all clients of a world."""

    def __init__(self, config: Clients, streams: RandomStreams) -> None:
        self._config = config
        self._backoff = streams.stream("clients", "backoff")
        self._heed_draw = streams.uniform("clients", "heed")
        self._leave_draw = streams.uniform("clients", "leave")
        self._resend = streams.stream("clients", "resend")

    def disconnects_early(self) -> bool:
        """Whether the next client closes its connection before it has read the answer."""
        return self._config.leave > 0.0 and self._leave_draw() < self._config.leave

    def retry_delay(self, submissions: int, retry_after: float, time_left: float) -> float | None:
        """Seconds after a refusal until the message is submitted again; `None` if it is not.

        `submissions` counts the submissions so far, `retry_after` is the advised wait (0 for none), and
        `time_left` is the time to the deadline, both in seconds.
        """
        if submissions > self._config.retries:
            return None
        delay = sample(self._config.backoff_s, self._backoff) * 2.0 ** (submissions - 1)
        if retry_after and self._heed_draw() < self._config.heed:
            delay = max(delay, retry_after)
        return delay if delay + MIN_TIME_LEFT < time_left else None

    def failover_delay(self) -> float:
        """Seconds until another node is tried, after a node died or could not be reached."""
        return sample(self._config.resend_s, self._resend)
