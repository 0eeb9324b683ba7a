"""Compares two variants seed by seed: differences with confidence intervals, and a conclusion in words."""

from collections.abc import Sequence
from dataclasses import dataclass

import numpy as np
from scipy import stats

from irisstack.lab.results import Run

CONFIDENCE = 0.95
RESAMPLES = 2000
"""Resamples of the bootstrap."""
METRICS = ("score", "whole", "worst_window", "worst_class", "waste")
LESS_IS_BETTER = {"waste"}
"""Metrics of which a smaller value is better."""


@dataclass(slots=True, frozen=True)
class Difference:
    """The difference B minus A of one metric, over the seeds that both have."""

    scenario: str
    metric: str
    pairs: int
    mean_a: float
    mean_b: float
    low: float
    high: float

    @property
    def difference(self) -> float:
        return self.mean_b - self.mean_a

    @property
    def significant(self) -> bool:
        """Whether the confidence interval excludes zero."""
        return self.pairs > 1 and (self.low > 0.0 or self.high < 0.0)

    def conclusion(self, a: str, b: str) -> str:
        """The conclusion in words."""
        if not self.significant:
            return "no difference seen"
        better = (self.difference > 0.0) != (self.metric in LESS_IS_BETTER)
        return f"{b if better else a} is better"


def bootstrap_interval(values: Sequence[float]) -> tuple[float, float]:
    """Confidence interval of the mean by the bias-corrected and accelerated bootstrap; deterministic."""
    data = np.asarray(values, dtype=float)
    if data.size < 2 or np.ptp(data) == 0.0:
        mean = float(data.mean())
        return mean, mean
    found = stats.bootstrap(
        (data,), np.mean, confidence_level=CONFIDENCE, n_resamples=RESAMPLES, rng=np.random.default_rng(0)
    ).confidence_interval
    return float(found.low), float(found.high)


def differences(a: Sequence[Run], b: Sequence[Run], metrics: Sequence[str] = METRICS) -> list[Difference]:
    """The differences for every scenario that both have, paired by seed."""
    by_seed_a = {(run.scenario, run.seed): run for run in a}
    by_seed_b = {(run.scenario, run.seed): run for run in b}
    common = [key for key in by_seed_a if key in by_seed_b]
    found = []
    for scenario in dict.fromkeys(name for name, _ in common):
        keys = [key for key in common if key[0] == scenario]
        for metric in metrics:
            values_a = [float(getattr(by_seed_a[key], metric)) for key in keys]
            values_b = [float(getattr(by_seed_b[key], metric)) for key in keys]
            low, high = bootstrap_interval(
                [value_b - value_a for value_a, value_b in zip(values_a, values_b, strict=True)]
            )
            found.append(
                Difference(
                    scenario, metric, len(keys), float(np.mean(values_a)), float(np.mean(values_b)), low, high
                )
            )
    return found


@dataclass(slots=True, frozen=True)
class Summary:
    """The results of one variant in one scenario."""

    scenario: str
    variant: str
    runs: int
    score: float
    low: float
    high: float
    whole: float
    waste: float
    runs_with_breaches: int
    """Number of runs that broke a rule."""


def summarize(runs: Sequence[Run]) -> list[Summary]:
    """Summarize each scenario and variant over its seeds; runs that break a rule are included and counted."""
    groups: dict[tuple[str, str], list[Run]] = {}
    for run in runs:
        groups.setdefault((run.scenario, run.variant), []).append(run)
    found = []
    for (scenario, variant), group in groups.items():
        scores = [run.score for run in group]
        low, high = bootstrap_interval(scores)
        found.append(
            Summary(
                scenario,
                variant,
                len(group),
                float(np.mean(scores)),
                low,
                high,
                float(np.mean([run.whole for run in group])),
                float(np.mean([run.waste for run in group])),
                sum(not run.rules_kept for run in group),
            )
        )
    return found
