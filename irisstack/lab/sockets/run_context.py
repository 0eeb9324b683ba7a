"""State shared by all stand-ins of one run on sockets: clock, ledger and submitted messages."""

import re
import time
from collections.abc import Callable
from dataclasses import dataclass, field

import gevent

from irisstack.lab import ledger as records
from irisstack.lab.partner import Item
from irisstack.lab.world import Message, World


class RunError(Exception):
    """The run cannot be played on this machine."""


@dataclass(slots=True, eq=False)
class Submission:
    """One submission of a message to a node; a client that tries again makes another."""

    number: int
    message: Message
    node: int
    due: float
    tries: int
    over: bool = False
    result: records.Result | None = None
    """Its first final result, where this process knows it."""
    called: bool = False
    """Whether any call that carries it has reached an endpoint."""

    @property
    def item(self) -> Item:
        return Item(self.number, self.message.number, self.message.message_class, self.message.work)


REQUEST_ID = re.compile(r"[0-9a-f]{20}")


def parse_request_id(id_: str) -> tuple[int, int, int] | None:
    """Submission number, message number and node from a request id; `None` if it is no such id."""
    if not REQUEST_ID.fullmatch(id_):
        return None
    return int(id_[:8], 16), int(id_[8:16], 16), int(id_[16:], 16)


@dataclass
class RunContext:
    """Shared state of one run; times are seconds from its start."""

    world: World
    ledger: records.Ledger = field(default_factory=list)
    submissions: dict[str, Submission] = field(default_factory=dict)
    """By request id."""
    invalid_reasons: list[str] = field(default_factory=list)
    """Why the run counts as no result."""
    on_refused: "Callable[[float, Submission, float], None] | None" = None
    """Called with the time, the submission and the advised wait when a node has refused a message."""
    started_at: float = 0.0
    _next: int = 1
    _changed_submissions: dict[int, Submission] = field(default_factory=dict)
    _by_number: dict[int, Submission] = field(default_factory=dict)

    def now(self) -> float:
        """Seconds from the start of the run."""
        return time.monotonic() - self.started_at

    def after(self, delay: float, act: Callable[..., None], *arguments: object) -> None:
        """Call `act(now, *arguments)` that many seconds from now."""
        gevent.spawn_later(max(0.0, delay), self._call, act, arguments)

    def _call(self, act: Callable[..., None], arguments: tuple[object, ...]) -> None:
        act(self.now(), *arguments)

    def at(self, t: float, act: Callable[..., None], *arguments: object) -> None:
        """Call `act(now, *arguments)` at that time of the run."""
        self.after(t - self.now(), act, *arguments)

    def find(self, id_: str) -> Submission | None:
        """The submission behind a request id."""
        return self.submissions.get(id_)

    def mark_changed(self, submission: Submission) -> None:
        """Note that a submission was called or has ended, for `take_changed`."""
        self._changed_submissions[submission.number] = submission

    def take_changed(self) -> list[Submission]:
        """The submissions that changed since the last call."""
        changed, self._changed_submissions = list(self._changed_submissions.values()), {}
        return changed

    def apply_remote_change(self, number: int, *, over: bool) -> None:
        """Another process saw a call with it, or its delivery; that process's ledger has the record."""
        submission = self._by_number.get(number)
        if submission is not None:
            submission.called = True
            if over:
                submission.over, submission.result = True, submission.result or "delivered"

    def submit(self, message: Message, node: int, due: float, tries: int) -> tuple[str, Submission]:
        """A new submission, with its request id."""
        submission = Submission(self._next, message, node, due, tries)
        self._next += 1
        id_ = f"{submission.number:08x}{message.number:08x}{node:04x}"
        self.submissions[id_] = self._by_number[submission.number] = submission
        return id_, submission

    def end(
        self, submission: Submission, result: records.Result, wait: float = 0.0, at: float | None = None
    ) -> None:
        """Record a final answer, heard now unless `at` is given; a second one too, for the auditor."""
        now = self.now() if at is None else at
        first = not submission.over
        submission.over, submission.result = True, submission.result or result
        self.mark_changed(submission)
        self.ledger.append(records.Ended(now, submission.node, submission.number, result, wait))
        if first and result == "refused" and self.on_refused is not None:
            self.on_refused(now, submission, wait)

    @property
    def owed(self) -> int:
        """Submissions without a final answer."""
        return sum(not submission.over for submission in self.submissions.values())

    def invalidate(self, reason: str) -> None:
        """Make the run count as no result."""
        if reason not in self.invalid_reasons:
            self.invalid_reasons.append(reason)
