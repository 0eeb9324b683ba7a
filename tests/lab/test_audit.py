"""The audit rules: each reports a policy that breaks it, and none reports the decision module."""

from collections.abc import Callable, Collection
from pathlib import Path
from typing import Any

import pytest

from irisstack import interface as api
from irisstack.choice import Sender
from irisstack.lab import ledger as records
from irisstack.lab.audit import parameters, rules, scoring
from irisstack.lab.policy import Oracle, Policy, decision_module
from irisstack.lab.virtual.listing import address
from irisstack.lab.virtual.play import play
from tests.lab.support import small_world, trouble_toml


class FaultyPolicy:
    """The decision module with its events or its actions altered to break one rule."""

    def __init__(self, settings: api.Settings, seed: int, oracle: Oracle) -> None:
        self.inner = Sender(settings, seed)
        self.settings = settings

    def turn(self, now: float, events: Collection[api.Event]) -> list[api.Action]:
        altered = [event for event in map(self.alter_event, events) if event is not None]
        return [
            result for action in self.inner.turn(now, altered) for result in self.alter_action(now, action)
        ]

    def alter_event(self, event: api.Event) -> api.Event | None:
        return event

    def alter_action(self, now: float, action: api.Action) -> list[api.Action]:
        return [action]


class NeverRefuses(FaultyPolicy):
    """Drops every refusal and failure, so that undelivered messages get no final answer."""

    def alter_action(self, now: float, action: api.Action) -> list[api.Action]:
        return [] if isinstance(action, api.Refuse | api.Fail) else [action]


class AlwaysRetries(FaultyPolicy):
    """Treats every failed attempt as one that did not run, and so repeats it."""

    def alter_event(self, event: api.Event) -> api.Event | None:
        if isinstance(event, api.AttemptEnded) and event.outcome is not api.Outcome.OK:
            return api.AttemptEnded(
                event.message, event.endpoint, event.attempt, event.elapsed, event.final, api.Outcome.NOT_SENT
            )
        return event


class IgnoresDrains(FaultyPolicy):
    """Does not see that endpoints drain."""

    def alter_event(self, event: api.Event) -> api.Event | None:
        if isinstance(event, api.EndpointsUpdated):
            ready = tuple(e for e in event.endpoints if e.state is api.EndpointState.READY)
            return api.EndpointsUpdated(api.UpdateScope.DELTA, event.version, ready)
        return event


class IgnoresFullDestinations(FaultyPolicy):
    """Does not see that a destination refuses calls, and so does not limit its load during recovery."""

    def alter_event(self, event: api.Event) -> api.Event | None:
        if isinstance(event, api.AttemptEnded) and event.outcome is api.Outcome.FULL:
            return api.AttemptEnded(
                event.message,
                event.endpoint,
                event.attempt,
                event.elapsed,
                event.final,
                api.Outcome.CANCELLED,
            )
        return event


class IgnoresOrder(FaultyPolicy):
    """Does not see ordering keys."""

    def alter_event(self, event: api.Event) -> api.Event | None:
        if isinstance(event, api.MessageReceived) and event.key is not None:
            return api.MessageReceived(
                event.message,
                event.message_class,
                event.destination,
                event.due,
                key=1_000_000 + event.message,
            )
        return event


class IgnoresRetryAfter(FaultyPolicy):
    """Does not see Retry-After."""

    def alter_event(self, event: api.Event) -> api.Event | None:
        if isinstance(event, api.AttemptEnded) and event.retry_after:
            return api.AttemptEnded(
                event.message,
                event.endpoint,
                event.attempt,
                event.elapsed,
                event.final,
                event.outcome,
                None,
                False,
                event.report,
            )
        return event


SILENT = trouble_toml("silent", at_s=3.0, for_s=4.0, share=1.0)
RESETS = trouble_toml("resets", at_s=2.0, for_s=8.0, share=1.0, strength=0.6)
DRAINS = trouble_toml("replaced", at_s=2.0, for_s=1.0, share=1.0, endpoints=1)
SHUT = trouble_toml("shut", at_s=3.0, for_s=4.0, share=1.0, tells_wait=1.0)
SHUT_WITHOUT_RETRY_AFTER = trouble_toml("shut", at_s=3.0, for_s=4.0, share=1.0, tells_wait=0.0)
SLOW = trouble_toml("slow", at_s=2.0, for_s=8.0, share=1.0, strength=4.0)

# The node itself withholds such calls: without these checks removed, no policy could break the rules.
NODE_CHECKS = {"drains": "_tell", "waits": "_waits_for"}


def broken_rules(
    folder: Path, factory: Callable[[api.Settings, int, Oracle], Policy], extra: str, **changes: Any
) -> dict[str, int]:
    world = small_world(folder, extra, **changes)
    found = rules.check(rules.build_index(play(world, factory).ledger), parameters.audit_parameters(world))
    return {name: len(breaches) for name, breaches in found.items() if breaches}


@pytest.mark.parametrize(
    ("rule", "policy", "extra", "changes"),
    [
        ("one answer", NeverRefuses, SILENT, {}),
        ("no effect twice", AlwaysRetries, RESETS, {}),
        (
            "not pushed over",
            IgnoresFullDestinations,
            SHUT_WITHOUT_RETRY_AFTER,
            {
                "traffic__rate": 120.0,
                "kinds__0__cold": {"start": 0.1, "warm_s": 8.0, "tip_multiple": 1.2, "tip_s": 0.5},
            },
        ),
        ("order", IgnoresOrder, SLOW, {}),
    ],
)
def test_a_faulty_policy_breaks_its_rule_and_the_decision_module_breaks_none(
    tmp_path: Path, rule: str, policy: type[FaultyPolicy], extra: str, changes: dict[str, Any]
) -> None:
    assert rule in broken_rules(tmp_path, policy, extra, **changes)
    assert broken_rules(tmp_path, decision_module, extra, **changes) == {}


@pytest.mark.parametrize(
    ("rule", "policy", "extra"), [("drains", IgnoresDrains, DRAINS), ("waits", IgnoresRetryAfter, SHUT)]
)
def test_a_faulty_policy_in_a_node_without_its_own_checks_breaks_its_rule(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, rule: str, policy: type[FaultyPolicy], extra: str
) -> None:
    assert broken_rules(tmp_path, decision_module, extra) == {}
    assert broken_rules(tmp_path, policy, extra) == {}  # the node itself withholds the calls
    from irisstack.lab.virtual import node

    original = node.Node._leave

    def leave(self: node.Node, now: float, call: node.OutCall) -> None:
        listed, self._listed = (
            self._listed,
            {
                call.endpoint: api.Endpoint(
                    address(call.endpoint), api.EndpointState.READY, 0, call.destination, 0, 1.0, None
                )
            },
        )
        waits, self._held = self._held, {}
        original(self, now, call)
        self._listed, self._held = listed, waits

    monkeypatch.setattr(node.Node, "_leave", leave)
    assert rule in broken_rules(tmp_path, policy, extra)


SUBMITTED = records.Submitted(0.0, 0, 1, 1, 1, 1, 8.0)


@pytest.mark.parametrize(
    ("rule", "entries"),
    [
        ("one answer", [records.Ended(1.0, 0, 1, "refused"), records.Ended(2.0, 0, 1, "failed")]),
        ("one answer", [records.Ended(9.0, 0, 1, "failed")]),
        (
            "one answer",
            [
                records.Ended(1.0, 0, 1, "failed"),
                records.Sent(2.0, 0, 1, 1, 1),
                records.Answered(3.0, 0, 1, 1, "ok"),
            ],
        ),
        (
            "one answer",
            [
                records.Accepted(0.0, 0, 1),
                records.NodeState(1.0, 0, "killed"),
                records.NodeState(2.0, 0, "ready"),
            ],
        ),
        ("no effect twice", [records.Sent(1.0, 0, 1, 1, 1), records.Ended(2.0, 0, 1, "refused")]),
        (
            "waits",
            [
                records.Sent(1.0, 0, 1, 1, 1),
                records.Answered(1.1, 0, 1, 1, "refused", 2.0),
                records.Sent(2.0, 0, 1, 2, 1),
                records.Answered(2.1, 0, 1, 2, "ok"),
                records.Ended(2.1, 0, 1, "delivered"),
            ],
        ),
    ],
)
def test_each_rule_reports_ledger_entries_that_break_it(
    tmp_path: Path, rule: str, entries: list[records.Entry]
) -> None:
    found = rules.check(
        rules.build_index([SUBMITTED, *entries]), parameters.audit_parameters(small_world(tmp_path))
    )
    assert {name for name, breaches in found.items() if breaches} == {rule}


@pytest.mark.parametrize(
    "entries",
    [
        [
            records.Accepted(0.0, 0, 1),
            records.NodeState(7.0, 0, "killed"),
            records.NodeState(9.0, 0, "ready"),
            records.Ended(10.0, 0, 1, "failed"),
        ],
        [records.NodeState(1.0, 0, "lost"), records.NodeState(2.0, 0, "ready")],
        [
            records.Sent(1.0, 0, 1, 1, 1),
            records.Answered(1.2, 0, 1, 1, "refused", 1.0),
            records.NodeState(1.3, 0, "killed"),
            records.NodeState(1.4, 0, "ready"),
            records.Sent(1.5, 0, 1, 1, 1),
            records.Answered(1.6, 0, 1, 1, "ok"),
            records.Ended(1.6, 0, 1, "delivered"),
        ],
    ],
)
def test_a_restart_delays_or_cancels_what_a_node_has_to_do(
    tmp_path: Path, entries: list[records.Entry]
) -> None:
    found = rules.check(
        rules.build_index([SUBMITTED, *entries]), parameters.audit_parameters(small_world(tmp_path))
    )
    assert not any(found.values())


@pytest.mark.parametrize(
    ("message_class", "verdict", "broken"),
    [(0, "ok", {"one answer"}), (0, "crossed", set()), (1, "crossed", {"no effect twice"})],
)
def test_an_answer_that_crosses_a_cancellation_may_be_unread(
    tmp_path: Path, message_class: int, verdict: records.Verdict, broken: set[str]
) -> None:
    found = rules.check(
        rules.build_index(
            [
                records.Submitted(0.0, 0, 1, 1, message_class, 1, 8.0),
                records.Sent(1.0, 0, 1, 1, 1),
                records.Answered(1.2, 0, 1, 1, verdict),
                records.Ended(1.2, 0, 1, "delivered"),
                records.Sent(1.5, 0, 1, 1, 1),
                records.Answered(1.6, 0, 1, 1, "ok"),
            ]
        ),
        parameters.audit_parameters(small_world(tmp_path)),
    )
    assert {name for name, breaches in found.items() if breaches} == broken


def test_worth_falls_from_the_latency_target_to_the_deadline(tmp_path: Path) -> None:
    notice = small_world(tmp_path).scenario.classes[0]
    assert [scoring.delivery_value(notice, delay) for delay in (0.5, 1.0, 4.5, 8.0, 8.1)] == [
        1.0,
        1.0,
        0.75,
        0.5,
        0.0,
    ]


def test_retries_count_as_one_message_and_never_submitted_messages_count(tmp_path: Path) -> None:
    retry = records.Submitted(1.0, 0, 2, 1, 1, 1, 8.0)
    result = scoring.score(
        rules.build_index(
            [
                SUBMITTED,
                records.Ended(0.5, 0, 1, "refused"),
                retry,
                records.Ended(1.5, 0, 2, "delivered"),
                records.NeverSubmitted(8.0, 3, 1, 1, 8.0),
            ]
        ),
        parameters.audit_parameters(small_world(tmp_path)),
    )
    assert (result.asked, result.ends, result.whole) == (2, {"delivered": 1, "none": 1}, 0.5)
