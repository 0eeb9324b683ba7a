"""`irisstack lab capacity`: measure slopes, write the page's tables from them, check the tables."""

from pathlib import Path
from typing import TYPE_CHECKING

import click

from irisstack.cli import output

if TYPE_CHECKING:
    from irisstack.lab.capacity.outlook import Outlook

DEFAULT_RESULTS = Path("docs/measurements/capacity")
DEFAULT_PAGE = Path("docs/CAPACITY.md")

results_option = click.option(
    "--results",
    type=click.Path(path_type=Path),
    default=DEFAULT_RESULTS,
    show_default=True,
    help="directory of the result files",
)
page_option = click.option(
    "--page",
    type=click.Path(path_type=Path),
    default=DEFAULT_PAGE,
    show_default=True,
    help="page that contains the tables",
)


@click.group()
def capacity() -> None:
    """Measure how state and cost grow, and compare them with the size planned for."""


@capacity.command()
@click.argument("name")
@results_option
def measure(name: str, results: Path) -> None:
    """Run the measurement NAME, or `all`, and save its slopes."""
    from irisstack.lab.capacity import result, runner
    from irisstack.lab.capacity.measurements import MEASUREMENTS

    if name != "all" and name not in MEASUREMENTS:
        known = ", ".join(MEASUREMENTS)
        output.fail(f"{name}: expected one of {known} or all", output.USAGE_ERROR)
    selected = list(MEASUREMENTS.values()) if name == "all" else [MEASUREMENTS[name]]
    for measurement in selected:
        label = measurement.name

        def print_progress(size: int, run: int, label: str = label) -> None:
            click.echo(f"{label}: size {size:,}, run {run}", err=True)

        try:
            for slope in runner.run(measurement, print_progress):
                click.echo(result.save(results, slope))
        except OSError as error:
            output.fail(f"{label}: {error}")


@capacity.command()
@results_option
@page_option
def write(results: Path, page: Path) -> None:
    """Regenerate the page's tables from the result files; the text around them stays."""
    from irisstack.lab.capacity.page import PageError, written

    try:
        text = page.read_text()
        page.write_text(written(text, _load_outlook(results)))
    except OSError as error:
        output.fail(f"{page}: {error.strerror}")
    except PageError as error:
        output.fail(f"{page}: {error}")
    click.echo(page)


@capacity.command()
@results_option
@page_option
def check(results: Path, page: Path) -> None:
    """Fail if the page's tables differ from the result files."""
    from irisstack.lab.capacity.page import PageError, differing

    try:
        outdated = differing(page.read_text(), _load_outlook(results))
    except OSError as error:
        output.fail(f"{page}: {error.strerror}")
    except PageError as error:
        output.fail(f"{page}: {error}")
    if outdated:
        output.fail(
            f"{page}: tables differ from the results: {', '.join(outdated)}; run irisstack lab capacity write"
        )


def _load_outlook(folder: Path) -> "Outlook":
    """Load the result files and join them with the expected results; exits if a file is invalid."""
    from irisstack.lab.capacity import outlook, registry, result

    try:
        return outlook.join(result.load_all(folder), registry.EXPECTED)
    except result.ResultError as error:
        output.fail(str(error))
