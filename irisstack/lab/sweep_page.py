"""The page of a sweep: every variant on every scenario, with intervals."""

from collections.abc import Sequence
from pathlib import Path

from irisstack.lab import charts, compare
from irisstack.lab.report import render_page, table_section, write_atomically
from irisstack.lab.results import Run


def write(path: Path, name: str, asks: str, runs: Sequence[Run]) -> None:
    """Write it; raises `OSError`."""
    found = compare.summarize(runs)
    points: dict[str, dict[str, tuple[float, float, float]]] = {}
    for one in found:
        points.setdefault(one.scenario, {})[one.variant] = (one.low, one.score, one.high)
    variants = list(dict.fromkeys(one.variant for one in found))
    sections = [
        table_section(
            "Scores",
            ["scenario", "variant", "runs", "score", "low", "high", "whole", "in vain", "rules broken in"],
            [
                [
                    s.scenario,
                    s.variant,
                    s.runs,
                    s.score,
                    s.low,
                    s.high,
                    s.whole,
                    s.waste,
                    s.runs_with_breaches,
                ]
                for s in found
            ],
            "Means over the seeds, with 95 % intervals by the bootstrap. A run that breaks a rule counts for "
            "nothing, whatever its score.",
            charts.interval_chart(points, "score"),
        )
    ]
    first = variants[0] if variants else ""
    for other in variants[1:]:
        rows = compare.differences(
            [run for run in runs if run.variant == first], [run for run in runs if run.variant == other]
        )
        sections.append(
            table_section(
                f"{other} beside {first}",
                ["scenario", "figure", "pairs", first, other, "low", "high", "outcome"],
                [
                    [
                        d.scenario,
                        d.metric,
                        d.pairs,
                        d.mean_a,
                        d.mean_b,
                        d.low,
                        d.high,
                        d.conclusion(first, other),
                    ]
                    for d in rows
                ],
                "Differences seed by seed, with their 95 % intervals.",
            )
        )
    broken = sum(not run.rules_kept for run in runs)
    verdict = (
        ("bad", f"Rules were broken in {broken} of {len(runs)} runs.")
        if broken
        else ("good", f"All six rules were kept in all {len(runs)} runs.")
    )
    write_atomically(path, render_page(name, asks, [verdict], sections))
