"""Where one real node turns: the offered rate goes up step by step until worth falls or refusals set in."""

from collections.abc import Callable, Iterator
from dataclasses import dataclass
from functools import partial
from pathlib import Path

from irisstack.lab import charts, results
from irisstack.lab.report import page, tabled, write
from irisstack.lab.scenario import Scenario, changed
from irisstack.lab.sockets.play import play
from irisstack.lab.world import build

GROWTH = 1.4
"""From one step's rate to the next."""
LEAST_WORTH = 0.9
MOST_REFUSED = 0.05
"""The node has turned once its worth is below, or its share of refused messages above, these."""


@dataclass(slots=True, frozen=True)
class Step:
    """One step: messages a second offered, and what became of them."""

    rate: float
    messages: int
    whole: float
    refused: float
    median_s: float
    tail_s: float
    cpu_ms: float
    """Of the node's CPU for a message."""
    busy: float
    """The share of one core that the node had at work."""
    rules_kept: bool
    not_a_result: str

    @property
    def turned(self) -> bool:
        return self.whole < LEAST_WORTH or self.refused > MOST_REFUSED


def climb(
    scenario: Scenario,
    first: float,
    steps: int,
    length: float,
    progress: Callable[[float], None] = lambda done: None,
) -> Iterator[Step]:
    """Play step after step, to the first that has turned or is no result, or to the last."""
    rate = first
    for number in range(steps):
        told = changed(
            scenario,
            {"traffic.rate": rate, "senders.count": 1, "scenario.length_s": length, "troubles": []},
            Path(scenario.scenario.name),
        )
        world = build(told)
        played = play(world, None, partial(_advance, progress, number, steps))
        run, worth, _ = results.audited(
            world, played.ledger, way="sockets", policy="module", seed=told.scenario.seed, cpu_s=played.cpu_s
        )
        tail = results.percentiles([delay for delays in worth.delays.values() for delay in delays])
        asked = max(1, run.asked)
        step = Step(
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
        if step.turned or step.not_a_result:
            return
        rate *= GROWTH


def _advance(progress: Callable[[float], None], number: int, steps: int, done: float) -> None:
    progress((number + done) / steps)


def verdict(steps: list[Step]) -> str:
    """What the climb has shown, in a sentence."""
    last = steps[-1]
    if last.not_a_result:
        begins = f"No knee up to {steps[-2].rate:.0f} messages a second" if len(steps) > 1 else "No result"
        return f"{begins}: at {last.rate:.0f} {last.not_a_result}."
    if last.turned:
        below = f"between {steps[-2].rate:.0f} and " if len(steps) > 1 else "below "
        return f"The node turns {below}{last.rate:.0f} messages a second."
    return f"No knee up to {last.rate:.0f} messages a second."


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


def rows(steps: list[Step]) -> list[list[object]]:
    """The steps as a table's rows."""
    return [
        [
            s.rate,
            s.messages,
            s.whole,
            s.refused,
            s.median_s,
            s.tail_s,
            s.cpu_ms,
            s.busy,
            s.not_a_result or ("turned" if s.turned else "good"),
        ]
        for s in steps
    ]


def write_page(path: Path, name: str, steps: list[Step]) -> None:
    """The climb as a page; raises `OSError`."""
    lines = {
        "worth": [(s.rate, s.whole) for s in steps],
        "refused": [(s.rate, s.refused) for s in steps],
        "core busy": [(s.rate, s.busy) for s in steps],
    }
    section = tabled(
        "Steps",
        COLUMNS,
        rows(steps),
        "Stand-ins and load share the machine with the node.",
        charts.curves(lines, "messages a second", "share", log_x=True),
    )
    write(path, page(f"The knee of one node: {name}", "", [("note", verdict(steps))], [section]))
