"""Writes the HTML page of a sweep: every variant in every scenario, with confidence intervals."""

from collections.abc import Sequence
from pathlib import Path

from irisstack.lab import charts, compare
from irisstack.lab.report import render_page, table_section, write_atomically
from irisstack.lab.results import Run


def write(path: Path, name: str, question: str, runs: Sequence[Run]) -> None:
    """Write the page; raises `OSError`."""
    results = compare.summarize(runs)
    points: dict[str, dict[str, tuple[float, float, float]]] = {}
    for summary in results:
        points.setdefault(summary.scenario, {})[summary.variant] = (summary.low, summary.score, summary.high)
    variants = list(dict.fromkeys(summary.variant for summary in results))
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
                for s in results
            ],
            "Means over the seeds, with 95 % intervals by the bootstrap. A run that breaks a rule counts for "
            "nothing, whatever its score.",
            charts.interval_chart(points, "score"),
        )
    ]
    baseline = variants[0] if variants else ""
    for candidate in variants[1:]:
        rows = compare.differences(
            [run for run in runs if run.variant == baseline],
            [run for run in runs if run.variant == candidate],
        )
        sections.append(
            table_section(
                f"{candidate} beside {baseline}",
                ["scenario", "figure", "pairs", baseline, candidate, "low", "high", "outcome"],
                [
                    [
                        d.scenario,
                        d.metric,
                        d.pairs,
                        d.mean_a,
                        d.mean_b,
                        d.low,
                        d.high,
                        d.conclusion(baseline, candidate),
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
    write_atomically(path, render_page(name, question, [verdict], sections))
