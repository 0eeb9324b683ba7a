"""`irisstack lab scale`: measure how load and recovery grow with the size of the fleet."""

import time
from pathlib import Path
from typing import TYPE_CHECKING

import click

from irisstack.cli import output

if TYPE_CHECKING:
    from irisstack.lab.scale.results import Slope

MAX_SIZE = 1_000_000
"""Largest size that --sizes accepts."""


@click.group()
def scale() -> None:
    """Measure growth with simulated nodes: real decision code, many nodes in one process, virtual time."""


@scale.command(name="list")
@output.json_option
def list_(as_json: bool) -> None:
    """List the experiments."""
    from irisstack.lab.scale.experiments import EXPERIMENTS

    rows = [(experiment.name, experiment.variable, experiment.title) for experiment in EXPERIMENTS.values()]
    output.print_table(("experiment", "sizes count", "measures"), rows, as_json)


@scale.command()
@click.argument("names", nargs=-1)
@click.option(
    "--sizes", metavar="N,N,...", help="replaces the experiment's own sizes; requires exactly one experiment"
)
@click.option(
    "--out", type=click.Path(path_type=Path), help="directory to write each slope to, as a JSON file"
)
@output.json_option
def run(names: tuple[str, ...], sizes: str | None, out: Path | None, as_json: bool) -> None:
    """Run the experiments NAMES, or all of them, and print each measured point."""
    from irisstack.lab.scale.experiments import EXPERIMENTS
    from irisstack.lab.scale.node_process import NodeError
    from irisstack.lab.scale.results import peak_memory_mb, write

    _check_names(names, tuple(EXPERIMENTS))
    if sizes is not None and len(names) != 1:
        output.fail(f"--sizes: expected exactly one experiment, got {len(names)}", output.USAGE_ERROR)
    chosen_sizes = _parse_sizes(sizes) if sizes is not None else None
    slopes: list[Slope] = []
    for name in names or tuple(EXPERIMENTS):
        started_at = time.monotonic()
        try:
            for slope in EXPERIMENTS[name].measure(chosen_sizes):
                slopes.append(slope)
                if out is not None:
                    write(out, slope, f"irisstack lab scale run {name}")
        except NodeError as error:
            output.fail(f"{name}: {error}")
        except OSError as error:
            output.fail(f"{error.filename or name}: {error.strerror}")
        click.echo(
            f"{name}: {time.monotonic() - started_at:.1f} s, peak memory {peak_memory_mb():.0f} MB", err=True
        )
    _print_slopes(slopes, as_json)


@scale.command()
@click.argument("names", nargs=-1)
@click.option("--nodes", type=click.IntRange(min=1), default=840, show_default=True)
@click.option("--seed", type=int, default=1, show_default=True)
@output.json_option
def plays(names: tuple[str, ...], nodes: int, seed: int, as_json: bool) -> None:
    """Play the fault scenarios NAMES, or all, on a fleet with dynamic settings, and print their results.

    Exits with 1 if a node applied a value that was never written, or did not catch up with every change.
    """
    from irisstack.lab.scale.settings_plays import BY_NAME, COLUMNS, row, run

    _check_names(names, tuple(BY_NAME))
    rows, all_sound = [], True
    for name in names or tuple(BY_NAME):
        started_at = time.monotonic()
        _, figures = run(BY_NAME[name], nodes, seed)
        rows.append(row(name, figures))
        all_sound &= figures.sound
        click.echo(f"{name}: {time.monotonic() - started_at:.1f} s", err=True)
    output.print_table(COLUMNS, rows, as_json)
    if not all_sound:
        output.fail("a node did not catch up with every change, or applied a value that was never written")


def _check_names(names: tuple[str, ...], known: tuple[str, ...]) -> None:
    for name in names:
        if name not in known:
            output.fail(f"unknown name {name!r}: expected one of {', '.join(known)}", output.USAGE_ERROR)


def _parse_sizes(text: str) -> list[int]:
    """Parse comma-separated sizes; returns them sorted, without duplicates."""
    fields = [field.strip() for field in text.split(",")]
    if not all(field.isascii() and field.isdigit() and 1 <= int(field) <= MAX_SIZE for field in fields):
        output.fail(
            f"--sizes {text}: expected integers from 1 to {MAX_SIZE}, separated by commas",
            output.USAGE_ERROR,
        )
    return sorted({int(field) for field in fields})


def _print_slopes(slopes: "list[Slope]", as_json: bool) -> None:
    """Print a table with a row for each slope, or JSON with an object for each point."""
    from irisstack.lab.scale.tables import number

    if as_json:
        columns = ("slope", "variable", "size", "value", "unit", "runs")
        rows = [
            (slope.slope, slope.variable, point.size, point.value, slope.unit, point.runs)
            for slope in slopes
            for point in slope.points
        ]
        output.print_table(columns, rows, as_json)
        return
    output.print_table(
        ("slope", "unit", "sizes count", "size: value"),
        [
            (
                slope.slope,
                slope.unit,
                slope.variable,
                "  ".join(f"{point.size}: {number(point.value)}" for point in slope.points),
            )
            for slope in slopes
        ],
        as_json,
    )


@scale.command()
@click.argument("folder", type=click.Path(path_type=Path))
def tables(folder: Path) -> None:
    """Print the slopes stored in FOLDER as Markdown tables."""
    from irisstack.lab.scale.results import read
    from irisstack.lab.scale.tables import markdown

    files = sorted(folder.glob("*.json"))
    if not files:
        output.fail(f"{folder}: no slope files found", output.USAGE_ERROR)
    slopes: list[Slope] = []
    for path in files:
        try:
            slopes.append(read(path))
        except (OSError, ValueError, KeyError, TypeError) as error:
            output.fail(f"{path}: not a valid slope file: {error!r}", output.USAGE_ERROR)
    click.echo(markdown(slopes), nl=False)
