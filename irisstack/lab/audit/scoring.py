"""Scores a run from its ledger alone: the worth of the delivered messages, and the attempts made."""

from collections import Counter, defaultdict
from dataclasses import dataclass, field

from irisstack.lab import ledger as records
from irisstack.lab.audit.parameters import AuditParameters
from irisstack.lab.audit.rules import Index
from irisstack.lab.scenario import MessageClass

WINDOW = 10.0
"""Length in seconds of the windows of which the worst is scored."""
MIN_WINDOW_SHARE = 0.02
"""Windows with at most this share of the worth of all messages are not scored."""


@dataclass(slots=True)
class RunScore:
    """The score of a run; each worth is a share of the worth of the submitted messages, from 0 to 1."""

    whole: float
    worst_window: float
    worst_class: float
    by_class: dict[str, float]
    ends: dict[str, int]
    """Number of messages by final result: delivered, refused, failed, withdrawn, none."""
    ends_by_class: dict[str, dict[str, int]]
    asked: int
    attempts: int
    waste: float
    """Attempts that delivered nothing, divided by the number of messages."""
    delays: dict[str, list[float]] = field(default_factory=dict)
    """Seconds from the first submission of each delivered message to its delivery, by class."""
    over_time: list[tuple[float, float]] = field(default_factory=list)
    """Worth of the messages first submitted in each second: (second, share)."""
    by_destination: dict[int, tuple[int, int, float]] = field(default_factory=dict)
    """By destination: messages, delivered messages, and worth."""

    @property
    def score(self) -> float:
        """The weighted worth: half for the whole run, a quarter each for the worst window and class."""
        return 0.5 * self.whole + 0.25 * self.worst_window + 0.25 * self.worst_class


def delivery_value(kind: MessageClass, delay: float) -> float:
    """Worth of a delivery after `delay` seconds; falls linearly from the latency target to the deadline."""
    if delay <= kind.aim_s:
        return kind.worth
    if delay > kind.deadline_s:
        return 0.0
    late = (delay - kind.aim_s) / max(kind.deadline_s - kind.aim_s, 1e-9)
    return kind.worth * (1.0 - late * (1.0 - kind.late_worth))


def score(index: Index, parameters: AuditParameters) -> RunScore:
    """Score a run; a client's retries belong to its first submission."""
    earned: dict[str, float] = defaultdict(float)
    asked: dict[str, float] = defaultdict(float)
    per_second: dict[int, list[float]] = defaultdict(lambda: [0.0, 0.0])
    per_destination: dict[int, list[float]] = defaultdict(lambda: [0.0, 0.0, 0.0, 0.0])
    ends: Counter[str] = Counter()
    ends_by_class: dict[str, Counter[str]] = defaultdict(Counter)
    delays: dict[str, list[float]] = {kind.name: [] for kind in parameters.classes}

    def count(
        first: records.Submitted | records.NeverSubmitted, result: str, delivered: float | None
    ) -> None:
        kind = parameters.classes[first.message_class]
        began = first.due - kind.deadline_s  # first submission, even if no node was reached
        worth = 0.0 if delivered is None else delivery_value(kind, delivered - began)
        if delivered is not None:
            delays[kind.name].append(delivered - began)
        ends[result] += 1
        ends_by_class[kind.name][result] += 1
        asked[kind.name] += kind.worth
        earned[kind.name] += worth
        second = per_second[int(began)]
        second[0] += worth
        second[1] += kind.worth
        destination = per_destination[first.destination]
        destination[0] += 1
        destination[1] += delivered is not None
        destination[2] += worth
        destination[3] += kind.worth

    for missed in index.never_submitted:
        count(missed, "none", None)
    for submissions in index.by_chain.values():
        delivered = min(
            (end.t for history in submissions for end in history.ended if end.result == "delivered"),
            default=None,
        )
        last = submissions[-1].ended[-1].result if submissions[-1].ended else "none"
        last = "withdrawn" if last == "unheard" else last
        count(submissions[0].submitted, "delivered" if delivered is not None else last, delivered)
    total = sum(asked.values())
    by_class = {name: earned[name] / asked[name] for name in asked}
    messages, attempts = len(index.by_chain) + len(index.never_submitted), len(index.sent)
    return RunScore(
        whole=sum(earned.values()) / total if total else 1.0,
        worst_window=_worst_window(per_second, total, parameters.duration),
        worst_class=min(by_class.values(), default=1.0),
        by_class=by_class,
        ends=dict(sorted(ends.items())),
        ends_by_class={name: dict(sorted(results.items())) for name, results in ends_by_class.items()},
        asked=messages,
        attempts=attempts,
        waste=(attempts - ends["delivered"]) / messages if messages else 0.0,
        delays=delays,
        over_time=[(float(second), one[0] / one[1]) for second, one in sorted(per_second.items()) if one[1]],
        by_destination={
            number: (int(one[0]), int(one[1]), one[2] / one[3])
            for number, one in sorted(per_destination.items())
        },
    )


def _worst_window(per_second: dict[int, list[float]], total: float, length: float) -> float:
    worst = 1.0
    for start in range(max(1, int(length - WINDOW) + 1)):
        part = [per_second[second] for second in range(start, start + int(WINDOW)) if second in per_second]
        asked = sum(one[1] for one in part)
        if asked > MIN_WINDOW_SHARE * total:
            worst = min(worst, sum(one[0] for one in part) / asked)
    return worst
