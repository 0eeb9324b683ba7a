"""Scores a run from its ledger alone: the worth of what was delivered, and the attempts that it took."""

from collections import Counter, defaultdict
from dataclasses import dataclass, field

from irisstack.lab import ledger as records
from irisstack.lab.audit.parameters import AuditParameters
from irisstack.lab.audit.rules import Index
from irisstack.lab.scenario import MessageClass

WINDOW = 10.0
"""Length in seconds of the windows among which the worst is sought."""
MIN_WINDOW_SHARE = 0.02
"""A window with less than this share of all worth asked for cannot be the worst."""


@dataclass(slots=True)
class RunScore:
    """A run in figures; each worth is a share of what was asked for, from 0 to 1."""

    whole: float
    worst_window: float
    worst_class: float
    by_class: dict[str, float]
    ends: dict[str, int]
    """Messages by their last result: delivered, refused, failed, withdrawn, none."""
    ends_by_class: dict[str, dict[str, int]]
    asked: int
    attempts: int
    waste: float
    """Attempts that delivered nothing, for each message asked for."""
    delays: dict[str, list[float]] = field(default_factory=dict)
    """Seconds from when a message was first handed in until it was delivered, by class."""
    over_time: list[tuple[float, float]] = field(default_factory=list)
    """Worth of the messages handed in within each second: (second, share)."""
    by_destination: dict[int, tuple[int, int, float]] = field(default_factory=dict)
    """Messages, delivered ones, and worth, for each destination."""

    @property
    def score(self) -> float:
        """One figure: half the whole run, a quarter the worst window, a quarter the worst class."""
        return 0.5 * self.whole + 0.25 * self.worst_window + 0.25 * self.worst_class


def delivery_value(kind: MessageClass, delay: float) -> float:
    """The worth of a delivery after that many seconds: falls linearly from the aim to the deadline."""
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
        began = first.due - kind.deadline_s  # when it was asked for, also where no node could be reached
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
