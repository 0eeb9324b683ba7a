"""Searches for the capacity of one real node: the offered rate rises step by step until it is saturated."""

from collections.abc import Callable, Iterator
from dataclasses import dataclass
from functools import partial
from pathlib import Path

from irisstack.lab import charts, results
from irisstack.lab.report import render_page, table_section, write_atomically
from irisstack.lab.scenario import Scenario, with_changes
from irisstack.lab.sockets.play import play
from irisstack.lab.world import build_world

RATE_FACTOR = 1.4
"""Ratio of one step's rate to the step before."""
MIN_WORTH = 0.9
"""A node whose worth is below this share of what was asked for is saturated."""
MAX_REFUSED = 0.05
"""A node that refuses more than this share of its messages is saturated."""


@dataclass(slots=True, frozen=True)
class LoadStep:
    """One offered rate, in messages a second, and what was measured at it."""

    rate: float
    messages: int
    worth: float
    refused: float
    """Share of the messages that the node refused."""
    median_s: float
    p99_s: float
    cpu_ms: float
    """CPU time of the node for one message, in milliseconds."""
    core_share: float
    """Share of one core that the node used."""
    rules_kept: bool
    not_a_result: str

    @property
    def saturated(self) -> bool:
        return self.worth < MIN_WORTH or self.refused > MAX_REFUSED


def search(
    scenario: Scenario,
    first: float,
    steps: int,
    length: float,
    progress: Callable[[float], None] = lambda done: None,
) -> Iterator[LoadStep]:
    """Run step after step, until one is saturated or invalid, or all have been run."""
    rate = first
    for number in range(steps):
        step_scenario = with_changes(
            scenario,
            {"traffic.rate": rate, "senders.count": 1, "scenario.length_s": length, "troubles": []},
            Path(scenario.scenario.name),
        )
        world = build_world(step_scenario)
        played = play(world, None, partial(_report_progress, progress, number, steps))
        run, score, _ = results.audit_run(
            world,
            played.ledger,
            way="sockets",
            policy="module",
            seed=step_scenario.scenario.seed,
            cpu_s=played.cpu_s,
        )
        tail = results.percentiles([delay for delays in score.delays.values() for delay in delays])
        asked = max(1, run.asked)
        step = LoadStep(
            rate,
            run.asked,
            run.whole,
            run.ends.get("refused", 0) / asked,
            tail[0] if tail else 0.0,
            tail[2] if tail else 0.0,
            played.cpu_s / asked * 1000.0,
            played.cpu_s / length,
            run.rules_kept,
            played.not_a_result,
        )
        yield step
        if step.saturated or step.not_a_result:
            return
        rate *= RATE_FACTOR


def _report_progress(progress: Callable[[float], None], number: int, steps: int, done: float) -> None:
    progress((number + done) / steps)


def summary(steps: list[LoadStep]) -> str:
    """The result of the search in one sentence."""
    last = steps[-1]
    if last.not_a_result:
        prefix = (
            f"Not saturated up to {steps[-2].rate:.0f} messages a second" if len(steps) > 1 else "No result"
        )
        return f"{prefix}: at {last.rate:.0f} {last.not_a_result}."
    if last.saturated:
        range_start = f"between {steps[-2].rate:.0f} and " if len(steps) > 1 else "below "
        return f"The node saturates {range_start}{last.rate:.0f} messages a second."
    return f"Not saturated up to {last.rate:.0f} messages a second."


COLUMNS = (
    "rate",
    "messages",
    "worth",
    "refused",
    "median s",
    "99 % s",
    "CPU ms a message",
    "core busy",
    "result",
)


def rows(steps: list[LoadStep]) -> list[list[object]]:
    """The steps as a table's rows."""
    return [
        [
            s.rate,
            s.messages,
            s.worth,
            s.refused,
            s.median_s,
            s.p99_s,
            s.cpu_ms,
            s.core_share,
            s.not_a_result or ("saturated" if s.saturated else "good"),
        ]
        for s in steps
    ]


def write_page(path: Path, name: str, steps: list[LoadStep]) -> None:
    """Write the search as an HTML page; raises `OSError`."""
    curves = {
        "worth": [(s.rate, s.worth) for s in steps],
        "refused": [(s.rate, s.refused) for s in steps],
        "core busy": [(s.rate, s.core_share) for s in steps],
    }
    section = table_section(
        "Steps",
        COLUMNS,
        rows(steps),
        "Stand-ins and load share the machine with the node.",
        charts.curve_chart(curves, "messages a second", "share", log_x=True),
    )
    write_atomically(
        path, render_page(f"Capacity of one node: {name}", "", [("note", summary(steps))], [section])
    )
