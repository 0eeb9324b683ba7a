"""`irisstack lab scale`: measure how load and recovery grow with the size of a fleet."""

import time
from pathlib import Path
from typing import TYPE_CHECKING

import click

from irisstack.cli import output

if TYPE_CHECKING:
    from irisstack.lab.scale.results import Slope

MAX_SIZE = 1_000_000


@click.group()
def scale() -> None:
    """Measure growth with hollow nodes: real decisions, many nodes in one process, virtual time."""


@scale.command(name="list")
@output.json_option
def list_(as_json: bool) -> None:
    """List the experiments."""
    from irisstack.lab.scale.experiments import EXPERIMENTS

    rows = [(experiment.name, experiment.variable, experiment.title) for experiment in EXPERIMENTS.values()]
    output.print_table(("experiment", "sizes count", "measures"), rows, as_json)


@scale.command()
@click.argument("names", nargs=-1)
@click.option("--sizes", metavar="N,N,...", help="instead of the experiment's own; one experiment at a time")
@click.option("--out", type=click.Path(path_type=Path), help="write each slope as a JSON file to this folder")
@output.json_option
def run(names: tuple[str, ...], sizes: str | None, out: Path | None, as_json: bool) -> None:
    """Run the experiments NAMES, or all of them, and print each measured point."""
    from irisstack.lab.scale.experiments import EXPERIMENTS
    from irisstack.lab.scale.node_process import NodeError
    from irisstack.lab.scale.results import peak_memory_mb, write

    _check_names(names, tuple(EXPERIMENTS))
    if sizes is not None and len(names) != 1:
        output.fail("--sizes: one experiment is due with it", output.USAGE_ERROR)
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
    """Play troubles NAMES, or all, with a fleet that follows the settings, and print what came of each.

    Ends with 1 if a node put in force what was never written, or was left behind.
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
        output.fail("a node was left behind, or put in force what was never written")


def _check_names(names: tuple[str, ...], known: tuple[str, ...]) -> None:
    for name in names:
        if name not in known:
            output.fail(f"no experiment {name!r}; there are {', '.join(known)}", output.USAGE_ERROR)


def _parse_sizes(text: str) -> list[int]:
    """Whole numbers from 1 on, in rising order, none twice."""
    fields = [field.strip() for field in text.split(",")]
    if not all(field.isascii() and field.isdigit() and 1 <= int(field) <= MAX_SIZE for field in fields):
        output.fail(
            f"--sizes {text}: whole numbers from 1 to {MAX_SIZE} with commas between them are due",
            output.USAGE_ERROR,
        )
    return sorted({int(field) for field in fields})


def _print_slopes(slopes: "list[Slope]", as_json: bool) -> None:
    """A row for each slope, or as JSON an object for each point."""
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
    """Print the slopes that were written to FOLDER as Markdown tables."""
    from irisstack.lab.scale.results import read
    from irisstack.lab.scale.tables import markdown

    files = sorted(folder.glob("*.json"))
    if not files:
        output.fail(f"{folder}: no slopes there", output.USAGE_ERROR)
    slopes: list[Slope] = []
    for path in files:
        try:
            slopes.append(read(path))
        except (OSError, ValueError, KeyError, TypeError) as error:
            output.fail(f"{path}: no slope: {error!r}", output.USAGE_ERROR)
    click.echo(markdown(slopes), nl=False)
