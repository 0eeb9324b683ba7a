"""Draws charts as SVG with matplotlib, without a display."""

import io
from collections.abc import Mapping, Sequence

import matplotlib
from matplotlib.axes import Axes
from matplotlib.figure import Figure

matplotlib.rcParams.update({"svg.hashsalt": "irisstack", "svg.fonttype": "none", "font.size": 9.0})

WIDE = (8.0, 2.6)
"""Width and height in inches."""


def _svg(figure: Figure) -> str:
    out = io.StringIO()
    figure.savefig(out, format="svg", metadata={"Date": None}, bbox_inches="tight")
    text = out.getvalue()
    return text[text.index("<svg") :]


def _axes(size: tuple[float, float] = WIDE) -> tuple[Figure, Axes]:
    figure = Figure(figsize=size)
    axes = figure.subplots()
    axes.grid(alpha=0.3)
    axes.spines[["top", "right"]].set_visible(False)
    return figure, axes


def time_series_chart(
    lines: Mapping[str, Sequence[tuple[float, float]]],
    y_label: str,
    spans: Sequence[tuple[float, float, str]] = (),
    y_max: float | None = None,
) -> str:
    """Lines over the seconds of a run, with the time spans of troubles shaded."""
    figure, axes = _axes()
    for begins, ends, _ in spans:
        axes.axvspan(begins, max(ends, begins + 0.2), color="tab:red", alpha=0.08, lw=0)
    for name, points in lines.items():
        axes.plot([t for t, _ in points], [value for _, value in points], label=name, lw=1.2)
    axes.set_xlabel("seconds")
    axes.set_ylabel(y_label)
    axes.set_ylim(bottom=0.0, top=y_max)
    if len(lines) > 1:
        axes.legend(frameon=False)
    return _svg(figure)


def interval_chart(rows: Mapping[str, Mapping[str, tuple[float, float, float]]], x_label: str) -> str:
    """For each group and variant a point with its interval: (low, middle, high)."""
    groups = list(rows)
    figure, axes = _axes((8.0, 1.0 + 0.5 * len(groups)))
    variants = list(dict.fromkeys(name for points in rows.values() for name in points))
    for j, variant in enumerate(variants):
        ys, xs, lows, highs = [], [], [], []
        for i, group in enumerate(groups):
            if variant in rows[group]:
                low, middle, high = rows[group][variant]
                ys.append(i + (j - (len(variants) - 1) / 2.0) * 0.8 / len(variants))
                xs.append(middle)
                lows.append(max(0.0, middle - low))
                highs.append(max(0.0, high - middle))
        axes.errorbar(xs, ys, xerr=[lows, highs], fmt="o", ms=4.0, capsize=2.0, label=variant)
    axes.set_yticks(range(len(groups)), groups)
    axes.invert_yaxis()
    axes.set_xlabel(x_label)
    axes.legend(frameon=False, loc="center left", bbox_to_anchor=(1.0, 0.5))
    return _svg(figure)


def curve_chart(
    lines: Mapping[str, Sequence[tuple[float, float]]], x_label: str, y_label: str, *, log_x: bool = False
) -> str:
    """Curves over any quantity."""
    figure, axes = _axes((6.0, 3.0))
    for name, points in lines.items():
        axes.plot([x for x, _ in points], [y for _, y in points], marker="o", ms=3.0, label=name)
    if log_x:
        axes.set_xscale("log")
    axes.set_xlabel(x_label)
    axes.set_ylabel(y_label)
    axes.set_ylim(bottom=0.0)
    if len(lines) > 1:
        axes.legend(frameon=False)
    return _svg(figure)
