"""The six rules, as pure functions over a ledger. Each returns its breaches, in order of time.

The rules know nothing of how a node decides: they compare what a node did with what it had been told and with
what was observed.
"""

from bisect import bisect_left
from collections import defaultdict
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass, field

from irisstack.lab import ledger as records
from irisstack.lab.audit.parameters import AuditParameters

AWARE_LOAD_SHARE = 2.0 / 3.0
"""An overload is a breach if at least this share of the load came from nodes that knew of the outage."""
EPSILON = 1e-6
"""Seconds by which two records of the same moment may differ."""


@dataclass(slots=True, frozen=True)
class Breach:
    """One breach of a rule."""

    rule: str
    t: float
    node: int
    message: int
    text: str


@dataclass(slots=True)
class SubmissionHistory:
    """One submission of a message with all its later records, each kind in order of time."""

    submitted: records.Submitted
    accepted_at: float | None = None
    sent: list[records.Sent] = field(default_factory=list)
    answered: list[records.Answered] = field(default_factory=list)
    ended: list[records.Ended] = field(default_factory=list)


@dataclass(slots=True)
class Index:
    """A ledger's records grouped as the rules need them."""

    submissions: dict[int, SubmissionHistory]
    by_chain: dict[int, list[SubmissionHistory]]
    executed: list[records.Executed]
    announced: list[records.EndpointAnnounced]
    outages: list[records.Outage]
    overloads: list[records.Overloaded]
    states: dict[int, list[records.NodeState]]
    sent: list[records.Sent]
    answered: list[records.Answered]
    never_submitted: list[records.NeverSubmitted]


def build_index(ledger: Iterable[records.Entry]) -> Index:
    """Group a ledger's records."""
    index = Index({}, defaultdict(list), [], [], [], [], defaultdict(list), [], [], [])
    submissions = index.submissions
    for entry in ledger:
        match entry:
            case records.Submitted():
                history = submissions[entry.message] = SubmissionHistory(entry)
                index.by_chain[entry.chain].append(history)
            case records.Accepted():
                submissions[entry.message].accepted_at = entry.t
            case records.Sent():
                submissions[entry.message].sent.append(entry)
                index.sent.append(entry)
            case records.Answered():
                submissions[entry.message].answered.append(entry)
                index.answered.append(entry)
            case records.Ended():
                submissions[entry.message].ended.append(entry)
            case records.Executed():
                index.executed.append(entry)
            case records.EndpointAnnounced():
                index.announced.append(entry)
            case records.Outage():
                index.outages.append(entry)
            case records.Overloaded():
                index.overloads.append(entry)
            case records.NodeState():
                index.states[entry.node].append(entry)
            case records.NeverSubmitted():
                index.never_submitted.append(entry)
    index.sent.sort(key=lambda entry: entry.t)
    return index


# ---- 1: one final answer in time, and no call after it ----


def check_final_answers(index: Index, parameters: AuditParameters) -> list[Breach]:
    """Each message submitted to a running node gets one final result, in time, and is not sent afterwards."""
    breaches = []

    def broken(t: float, history: SubmissionHistory, text: str) -> None:
        breaches.append(Breach("one answer", t, history.submitted.node, history.submitted.message, text))

    for history in index.submissions.values():
        submitted = history.submitted
        if any(end.result == "unheard" for end in history.ended):
            continue  # its client has left, perhaps unnoticed: this submission does not count
        states = index.states.get(submitted.node, [])
        if len(history.ended) > 1:
            broken(history.ended[1].t, history, f"ended {len(history.ended)} times")
        latest = _latest_final_result(history, states, parameters)
        if latest is not None:
            if not history.ended:
                broken(latest, history, "never ended")
            elif history.ended[0].t > latest + EPSILON:
                broken(
                    history.ended[0].t,
                    history,
                    f"ended {history.ended[0].t - submitted.due:.3f} s after its time",
                )
        if any(answer.verdict == "crossed" for answer in history.answered):
            continue  # the node may not have read the answer; rule 2 covers what it sends afterwards
        if history.ended and history.sent and history.sent[-1].t > history.ended[0].t + EPSILON:
            broken(
                history.sent[-1].t,
                history,
                f"sent {history.sent[-1].t - history.ended[0].t:.3f} s after its end",
            )
    return breaches


def _latest_final_result(
    history: SubmissionHistory, states: Sequence[records.NodeState], parameters: AuditParameters
) -> float | None:
    """Latest time of the message's final result; `None` if its node no longer has to give one."""
    latest = history.submitted.due + parameters.answer_slack
    down: float | None = None
    for state in states:
        if state.t < history.submitted.t:
            continue
        if state.state == "lost" and state.t <= latest:
            return None
        if state.state in ("stopping", "killed") and down is None:
            down = state.t
        if state.state == "killed" and history.accepted_at is None and state.t <= latest:
            return None  # never accepted: its client submits it again
        if state.state == "ready" and down is not None:
            if down <= latest:
                latest = max(latest, state.t + parameters.restart_slack)
            down = None
    return None if down is not None and down <= latest else latest


# ---- 2: no effect twice ----


def check_effects(index: Index, parameters: AuditParameters) -> list[Breach]:
    """A message that may have run is sent again or refused only where that cannot double its effect."""
    breaches = []
    for history in index.submissions.values():
        kind = parameters.classes[history.submitted.message_class]
        if kind.repeat == "safe":
            continue
        # In order of time; at the same time the end of an attempt precedes the next one.
        events = sorted(
            [
                *((a.t, 0, a) for a in history.answered),
                *((s.t, 1, s) for s in history.sent),
                *((e.t, 2, e) for e in history.ended),
            ],
            key=lambda event: event[:2],
        )
        open_sends: list[records.Sent] = []
        may_have_run_at: float | None = None  # when the first attempt that may have run was sent
        for t, _, event in events:
            match event:
                case records.Answered():
                    sent = next((s for s in open_sends if s.endpoint == event.endpoint), None)
                    if sent is not None:
                        open_sends.remove(sent)
                        if event.verdict not in records.KNOWN_NOT_RUN and (
                            may_have_run_at is None or sent.t < may_have_run_at
                        ):
                            may_have_run_at = sent.t
                case records.Sent() | records.Ended(result="refused"):
                    earlier = [s.t for s in open_sends] + (
                        [may_have_run_at] if may_have_run_at is not None else []
                    )
                    first = min(earlier, default=None)
                    action = "sent again" if isinstance(event, records.Sent) else "refused"
                    if first is not None and kind.repeat == "unsafe":
                        breaches.append(
                            Breach(
                                "no effect twice",
                                t,
                                event.node,
                                event.message,
                                f"{action} though an attempt of {first:.3f} may have run",
                            )
                        )
                    elif first is not None and t > first + kind.window_s + EPSILON:
                        breaches.append(
                            Breach(
                                "no effect twice",
                                t,
                                event.node,
                                event.message,
                                f"{action} {t - first:.3f} s after one that may have run",
                            )
                        )
                    if isinstance(event, records.Sent):
                        open_sends.append(event)
    return breaches


def count_duplicate_effects(index: Index, parameters: AuditParameters) -> int:
    """Messages that took effect more than once, whoever is at fault; not for classes safe to repeat."""
    effects: dict[int, int] = defaultdict(int)
    for execution in index.executed:
        effects[execution.chain] += execution.effect
    return sum(
        1
        for chain, count in effects.items()
        if count > 1 and parameters.classes[index.by_chain[chain][0].submitted.message_class].repeat != "safe"
    )


# ---- 3: drains ----


def check_drains(index: Index, parameters: AuditParameters) -> list[Breach]:
    """A node sends no call to an endpoint whose drain it knows of for longer than the grace period."""
    state_changes: dict[tuple[int, int], list[tuple[float, bool]]] = defaultdict(list)
    for announcement in index.announced:
        state_changes[announcement.node, announcement.endpoint].append(
            (announcement.t, announcement.state != "ready")
        )
    breaches = []
    for sent in index.sent:
        history = state_changes.get((sent.node, sent.endpoint))
        if not history:
            continue
        since: float | None = None
        for t, unavailable in history:
            if t > sent.t:
                break
            since = (t if since is None else since) if unavailable else None
        if since is not None and sent.t > since + parameters.drain_grace + EPSILON:
            breaches.append(
                Breach(
                    "drains",
                    sent.t,
                    sent.node,
                    sent.message,
                    f"sent to {sent.endpoint}, {sent.t - since:.3f} s after its drain",
                )
            )
    return breaches


# ---- 4: a recovering destination is not overloaded ----


def check_overloads(index: Index, parameters: AuditParameters) -> list[Breach]:
    """No overload for which two thirds of the load came from nodes that had seen the outage."""
    sent_to: dict[int, list[records.Sent]] = defaultdict(list)
    for sent in index.sent:
        sent_to[sent.destination].append(sent)
    failures: dict[int, list[tuple[float, int]]] = defaultdict(list)
    for answer in index.answered:
        if answer.verdict != "ok":
            history = index.submissions[answer.message]
            failures[history.submitted.destination].append((answer.t, answer.node))
    outage_starts: dict[int, list[float]] = defaultdict(list)
    for outage in index.outages:
        if outage.down:
            outage_starts[outage.destination].append(outage.t)
    breaches = []
    for overload in index.overloads:
        outage_start = max(
            (t for t in outage_starts[overload.destination] if t < overload.t - EPSILON), default=None
        )
        if outage_start is None:
            continue
        aware = {node for t, node in failures[overload.destination] if outage_start <= t <= overload.t}
        calls = sent_to[overload.destination]
        window_start = bisect_left(
            calls, overload.t - parameters.overload_windows[overload.destination], key=lambda sent: sent.t
        )
        load = [sent for sent in calls[window_start:] if sent.t <= overload.t]
        by_aware = sum(sent.node in aware for sent in load)
        if load and by_aware >= AWARE_LOAD_SHARE * len(load):
            breaches.append(
                Breach(
                    "not pushed over",
                    overload.t,
                    -1,
                    -1,
                    f"destination {overload.destination} fell: {by_aware} of {len(load)} messages "
                    "came from nodes that had seen it fail",
                )
            )
    return breaches


# ---- 5: order ----


def check_order(index: Index, parameters: AuditParameters) -> list[Breach]:
    """In an ordered class, a node sends the messages of one key one at a time, in order of submission."""
    by_key: dict[tuple[int, int], list[SubmissionHistory]] = defaultdict(list)
    for history in index.submissions.values():
        if history.submitted.order_key >= 0:
            by_key[history.submitted.node, history.submitted.order_key].append(history)
    breaches = []
    for submissions in by_key.values():
        free_at, blocker = 0.0, -1
        for history in sorted(submissions, key=lambda one: (one.submitted.t, one.submitted.message)):
            if history.sent and history.sent[0].t < free_at - EPSILON:
                breaches.append(
                    Breach(
                        "order",
                        history.sent[0].t,
                        history.submitted.node,
                        history.submitted.message,
                        f"sent while message {blocker} of its key was not over",
                    )
                )
            key_free_at = _key_free_at(history, parameters)
            if key_free_at > free_at:
                free_at, blocker = key_free_at, history.submitted.message
    return breaches


def _key_free_at(history: SubmissionHistory, parameters: AuditParameters) -> float:
    """When the next message of the key may be sent."""
    free_at = history.ended[0].t if history.ended else float("inf")
    if len(history.answered) < len(history.sent) and not history.ended:
        return float("inf")
    for answer in history.answered:
        pause = parameters.order_pause if answer.verdict in ("timeout", "reset", "cancelled") else 0.0
        free_at = max(free_at, answer.t + pause)
    return free_at


# ---- 6: Retry-After ----


def check_retry_after(index: Index, parameters: AuditParameters) -> list[Breach]:
    """After a Retry-After a node sends no call to the destination, or route, until the wait is over."""
    waits: dict[tuple[int, int, int], list[tuple[float, float]]] = defaultdict(list)
    seen: set[tuple[int, int, float, float]] = set()
    for answer in index.answered:
        if answer.wait:
            destination = index.submissions[answer.message].submitted.destination
            route = answer.endpoint if destination in parameters.separate_routes else -1
            if (answer_key := (answer.node, answer.endpoint, answer.t, answer.wait)) not in seen:
                seen.add(answer_key)
                waits[answer.node, destination, route].append((answer.t, answer.t + answer.wait))
    breaches = []
    for sent in index.sent:
        route = sent.endpoint if sent.destination in parameters.separate_routes else -1
        for received_at, until in waits.get((sent.node, sent.destination, route), ()):
            if received_at + parameters.wait_slack < sent.t < until - EPSILON and not _restarted(
                index.states.get(sent.node, ()), received_at, sent.t
            ):
                breaches.append(
                    Breach(
                        "waits",
                        sent.t,
                        sent.node,
                        sent.message,
                        f"sent {until - sent.t:.3f} s before a wait of {received_at:.3f} was over",
                    )
                )
                break
    return breaches


def _restarted(states: Iterable[records.NodeState], after: float, before: float) -> bool:
    return any(after <= state.t <= before for state in states if state.state in ("killed", "lost"))


RULES: dict[str, Callable[[Index, AuditParameters], list[Breach]]] = {
    "one answer": check_final_answers,
    "no effect twice": check_effects,
    "drains": check_drains,
    "not pushed over": check_overloads,
    "order": check_order,
    "waits": check_retry_after,
}


def check(index: Index, parameters: AuditParameters) -> dict[str, list[Breach]]:
    """The breaches of each rule."""
    return {name: rule(index, parameters) for name, rule in RULES.items()}
