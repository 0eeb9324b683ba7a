"""A hollow node that follows the settings: the real decisions, without sockets, disk and a module to set."""

import math
from array import array
from bisect import bisect_left
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field

from irisstack.dynamic_settings.budget import ByteBudget
from irisstack.dynamic_settings.decisions import ResumeState, SettingsFollower
from irisstack.dynamic_settings.events import (
    Action,
    CancelCall,
    DocumentAccepted,
    DocumentRefused,
    Event,
    IncrementCounter,
    Log,
    OpenWatch,
    ProposeDocument,
    SendRangeRequest,
    WakeAt,
)
from irisstack.lab.scale.settings_client import SettingsClient
from irisstack.lab.scale.settings_member import VirtualMember
from irisstack.lab.scale.settings_network import Place, StreamNetwork
from irisstack.lab.virtual.clock import Clock

PREFIX = b"/irisstack/settings/"
BYTES_PER_S = 11_000.0
Check = Callable[["SettingsNode", ProposeDocument], str]
"""Says why a document is refused; empty if it is good."""


@dataclass(slots=True)
class NodeRecord:
    """What a node did, kept over its restarts."""

    seconds: int
    """Length of the play."""
    accepted_at: list[float] = field(default_factory=list)
    accepted_revisions: list[int] = field(default_factory=list)
    reachable_since: list[float] = field(default_factory=list)
    """Each time from which on it ran and could reach the control cluster."""
    stale_at: list[float] = field(default_factory=list)
    fresh_at: list[float] = field(default_factory=list)
    refused: int = 0
    logged: Counter[str] = field(default_factory=Counter)
    bytes_by_second: "array[int]" = field(default_factory=lambda: array("L"))

    def __post_init__(self) -> None:
        self.bytes_by_second.extend([0] * (self.seconds + 1))

    def add_bytes(self, now: float, size: int) -> None:
        """Count bytes sent or read."""
        self.bytes_by_second[min(int(now), self.seconds)] += size

    def in_force_after(self, changed_at: float, revision: int, until: float) -> float | None:
        """Seconds until a change was in force, from the change or from when the node could be reached.

        `None` if it was not by the end.
        """
        place = bisect_left(self.accepted_revisions, revision)
        if place == len(self.accepted_revisions):
            return None
        accepted_at = self.accepted_at[place]
        since = max((at for at in self.reachable_since if at <= accepted_at), default=0.0)
        return accepted_at - max(changed_at, since)

    def worst_bytes_per_s(self, window: int) -> float:
        """The most bytes a second in the mean of so many whole seconds on end."""
        counts = self.bytes_by_second
        spent = sum(counts[:window])
        worst = spent
        for end in range(window, len(counts)):
            spent += counts[end] - counts[end - window]
            worst = max(worst, spent)
        return worst / window


class SettingsNode:
    """Carries out a `SettingsFollower`'s actions in virtual time."""

    def __init__(
        self,
        number: int,
        place: Place,
        clock: Clock,
        network: StreamNetwork,
        members: dict[str, VirtualMember],
        check: Check,
        record: NodeRecord,
    ) -> None:
        self.number = number
        self.place = place
        self.record = record
        self.running = False
        self.held: ResumeState | None = None
        """What the lasting folder keeps."""
        self.in_force = 0
        """The revision of the document that this life of the node last accepted."""
        self._clock = clock
        self._network = network
        self._members = members
        self._check = check
        self._lives = 0
        self._wake_number = 0
        self._follower: SettingsFollower | None = None
        self._client: SettingsClient | None = None

    def start(self, now: float) -> None:
        """Begin a life of the node, with what the folder keeps."""
        self._lives += 1
        self.running, self.in_force = True, 0
        budget = ByteBudget(BYTES_PER_S, now)
        seed = self.number * 1009 + self._lives
        self._follower = SettingsFollower(list(self._members), PREFIX, budget, seed, self.held, now)
        life = self._lives

        def post(at: float, event: Event) -> None:
            if self.running and life == self._lives:
                self._step(at, [event])

        self._client = SettingsClient(
            self._clock, self._network, self.place, self._members, budget, post, self.record.add_bytes
        )
        self._step(now, [])

    def stop(self, now: float) -> None:
        """The process ends; its connections end with it."""
        self.running = False
        if self._client is not None:
            self._client.end_all()

    def lose_power(self, now: float, *, folder_lost: bool = False) -> None:
        """The machine is gone without a word."""
        self.running = False
        if self._client is not None:
            self._client.vanish()
        if folder_lost:
            self.held = None

    def _step(self, now: float, events: list[Event]) -> None:
        while self._follower is not None:
            answers: list[Event] = []
            for action in self._follower.step(now, events):
                answer = self._carry_out(now, action)
                if answer is not None:
                    answers.append(answer)
            if not answers:
                return
            events = answers

    def _carry_out(self, now: float, action: Action) -> Event | None:
        """Carry out one action; returns the event that answers it at once, if any."""
        client = self._client
        assert client is not None
        match action:
            case SendRangeRequest() | OpenWatch():
                client.begin(now, action)
            case CancelCall(call):
                client.end(call)
            case ProposeDocument():
                return self._propose(now, action)
            case WakeAt(at):
                self._wake_at(at)
            case Log(_, event, _):
                self._note(now, event)
            case IncrementCounter():
                pass
        return None

    def _propose(self, now: float, document: ProposeDocument) -> Event:
        reason = self._check(self, document)
        if reason:
            self.record.refused += 1
            return DocumentRefused(document.revision, reason)
        self.in_force = document.revision
        self.held = ResumeState(document.cluster_id, document.revision, document.items)
        if not self.record.accepted_revisions or document.revision > self.record.accepted_revisions[-1]:
            self.record.accepted_at.append(now)
            self.record.accepted_revisions.append(document.revision)
        return DocumentAccepted(document.revision)

    def _wake_at(self, at: float) -> None:
        self._wake_number += 1
        if at < math.inf:
            self._clock.at(at, self._wake, self._wake_number)

    def _wake(self, now: float, number: int) -> None:
        if self.running and number == self._wake_number:
            self._step(now, [])

    def _note(self, now: float, event: str) -> None:
        self.record.logged[event] += 1
        if event == "settings_stale":
            self.record.stale_at.append(now)
        elif event == "settings_fresh_again":
            self.record.fresh_at.append(now)
