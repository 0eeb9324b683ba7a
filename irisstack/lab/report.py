"""Renders the results of a run as one self-contained HTML page: final results, rules, and charts."""

from collections import Counter, defaultdict
from collections.abc import Sequence
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from jinja2 import Environment, PackageLoader

from irisstack.lab import charts
from irisstack.lab import ledger as records
from irisstack.lab.audit.rules import Breach
from irisstack.lab.audit.scoring import RunScore
from irisstack.lab.results import PERCENTILES, Run
from irisstack.lab.world import World

MAX_DESTINATION_ROWS = 40
"""Rows of the table of destinations; if there are more, the destinations with the least worth are shown."""

MAX_BREACH_ROWS = 20
"""Breaches shown for each rule."""


@dataclass(slots=True)
class PageSection:
    """One part of a page."""

    title: str
    note: str = ""
    svg: str = ""
    columns: Sequence[str] = ()
    rows: Sequence[Sequence[str]] = ()
    numeric: set[int] = field(default_factory=set)


def table_section(
    title: str, columns: Sequence[str], rows: Sequence[Sequence[Any]], note: str = "", svg: str = ""
) -> PageSection:
    """A section with a table; columns with numbers are right-aligned."""
    numeric = {i for i in range(len(columns)) if any(isinstance(row[i], int | float) for row in rows)}
    return PageSection(
        title, note, svg, columns, [[_format_cell(value) for value in row] for row in rows], numeric
    )


def _format_cell(value: Any) -> str:
    return f"{value:.3f}" if isinstance(value, float) else str(value)


def render_page(
    title: str, about: str, verdicts: Sequence[tuple[str, str]], sections: Sequence[PageSection]
) -> str:
    """Render the page; a verdict is a CSS class (`good`, `bad`, `note`) and a line of text."""
    template = Environment(loader=PackageLoader("irisstack.lab"), autoescape=True).get_template("page.html")
    return template.render(title=title, about=about, verdicts=verdicts, sections=sections)


def run_verdicts(run: Run) -> list[tuple[str, str]]:
    """The verdicts on a run, for the head of its page."""
    lines = []
    if run.not_a_result:
        lines.append(("bad", f"This run is not a result: {run.not_a_result}."))
    if run.partial:
        lines.append(("bad", "Partial: the run was interrupted; the figures cover the time until then."))
    broken = {name: count for name, count in run.breaches.items() if count}
    if broken:
        rules_text = ", ".join(f"{name} ({count})" for name, count in broken.items())
        lines.append(("bad", f"Rules broken: {rules_text}. A run that breaks a rule counts for nothing."))
    else:
        lines.append(("good", "All six rules were kept."))
    lines.append(
        (
            "note",
            f"Score {run.score:.3f}: worth of the whole run {run.whole:.3f}, of its worst 10 s "
            f"{run.worst_window:.3f}, of its worst-served class {run.worst_class:.3f}.",
        )
    )
    return lines


def run_page(
    world: World, run: Run, score: RunScore, breaches: dict[str, list[Breach]], entries: records.Ledger
) -> str:
    """Render the page of one run."""
    spans = [(i.starts_at, i.ends_at, i.trouble.kind) for i in world.incidents]
    result_rows = [
        [name, *(count.get(result, 0) for result in RESULT_COLUMNS), run.by_class[name]]
        for name, count in run.ends_by_class.items()
    ]
    sections = [
        table_section(
            "What became of the messages",
            ["class", *RESULT_COLUMNS, "worth"],
            result_rows,
            f"{run.asked} messages, {run.attempts} attempts, {run.waste:.3f} attempts in vain for each.",
        ),
        table_section(
            "Troubles",
            ["what", "from s", "to s", "strikes"],
            [
                [i.trouble.kind, i.starts_at, i.ends_at, _affected_text(i.destinations, i.nodes)]
                for i in world.incidents
            ],
        ),
        PageSection(
            "Worth over time",
            "Of the messages asked for in each second. Troubles are shaded.",
            charts.time_series_chart({"worth": score.over_time}, "share", spans, 1.02),
        ),
        PageSection(
            "Messages under way",
            "Owed by the nodes, and of these in calls.",
            charts.time_series_chart(_open_messages(entries), "messages", spans),
        ),
        PageSection(
            "Ends each second", "", charts.time_series_chart(_results_per_second(entries), "a second", spans)
        ),
        table_section(
            "Seconds until delivery",
            ["class", *(f"{p:g} %" for p in PERCENTILES)],
            [[name, *values] for name, values in run.delays.items() if values],
            "Counted from when a message was first due to be handed in.",
        ),
        table_section("Rules", ["rule", "broken"], [[name, count] for name, count in run.breaches.items()]),
        table_section(
            "What broke them",
            ["rule", "s", "node", "message", "what"],
            [
                [b.rule, b.t, b.node, b.message, b.text]
                for broken in breaches.values()
                for b in broken[:MAX_BREACH_ROWS]
            ],
            f"The first {MAX_BREACH_ROWS} of each rule; the ledger has all.",
        ),
        table_section(
            "Destinations",
            ["number", "kind", "messages", "delivered", "worth"],
            _destination_rows(world, score),
            f"The {MAX_DESTINATION_ROWS} with the least worth, where there are more.",
        ),
        table_section("Made with", ["what", "version"], [*run.versions.items(), ("seed", str(run.seed))]),
    ]
    name = f"{run.scenario}: {run.policy}, {'virtual time' if run.way == 'model' else 'real sockets'}"
    nonempty = [section for section in sections if section.svg or section.rows]
    return render_page(name, world.scenario.scenario.shows, run_verdicts(run), nonempty)


RESULT_COLUMNS = ("delivered", "refused", "failed", "withdrawn", "none")


def _affected_text(destinations: Sequence[int], nodes: Sequence[int]) -> str:
    kind, numbers = ("nodes", nodes) if nodes else ("destinations", destinations)
    if not numbers:
        return "the list"
    shown = ", ".join(str(number) for number in numbers[:8])
    return f"{kind} {shown}" + (f" and {len(numbers) - 8} more" if len(numbers) > 8 else "")


def _destination_rows(world: World, score: RunScore) -> list[list[Any]]:
    rows = sorted(score.by_destination.items(), key=lambda item: item[1][2])[:MAX_DESTINATION_ROWS]
    return [[f"{number}", world.destinations[number].kind.name, *figures] for number, figures in rows]


def _open_messages(entries: records.Ledger) -> dict[str, list[tuple[float, float]]]:
    changes: dict[str, Counter[int]] = {"owed": Counter(), "in calls": Counter()}
    for entry in entries:
        match entry:
            case records.Submitted():
                changes["owed"][int(entry.t * 4)] += 1
            case records.Ended():
                changes["owed"][int(entry.t * 4)] -= 1
            case records.Sent():
                changes["in calls"][int(entry.t * 4)] += 1
            case records.Answered():
                changes["in calls"][int(entry.t * 4)] -= 1
    series = {}
    for name, counter in changes.items():
        level, points = 0, []
        for quarter in range(max(counter, default=0) + 1):
            level += counter[quarter]
            points.append((quarter / 4.0, float(level)))
        series[name] = points
    return series


def _results_per_second(entries: records.Ledger) -> dict[str, list[tuple[float, float]]]:
    counts: dict[str, Counter[int]] = defaultdict(Counter)
    for entry in entries:
        if isinstance(entry, records.Ended):
            counts[entry.result][int(entry.t)] += 1
    last = max((max(count) for count in counts.values()), default=0)
    return {
        name: [(float(second), float(count[second])) for second in range(last + 1)]
        for name, count in sorted(counts.items())
    }


def write_atomically(path: Path, text: str) -> None:
    """Write a file so that readers never see part of it; raises `OSError`."""
    temporary = path.with_name(path.name + ".part")
    temporary.write_text(text, encoding="utf-8")
    temporary.replace(path)
