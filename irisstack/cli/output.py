"""Output of the commands: results on standard output as a table or JSON, messages on standard error."""

import json
import sys
from collections.abc import Sequence
from typing import Any, NoReturn

import click
from rich.console import Console
from rich.table import Table

FAILED = 1
USAGE_ERROR = 2

json_option = click.option("--json", "as_json", is_flag=True, help="print JSON instead of a table")


def stderr_console() -> Console:
    """The console for progress and messages."""
    return Console(stderr=True)


def print_table(
    columns: Sequence[str], rows: Sequence[Sequence[Any]], as_json: bool, title: str = ""
) -> None:
    """Print rows as a table with numbers right-aligned, or as a JSON list with an object for each row."""
    if as_json:
        print_json([dict(zip(columns, row, strict=True)) for row in rows])
        return
    console = Console(width=None if sys.stdout.isatty() else 160)
    rich_table = Table(title=title or None, title_justify="left")
    for index, name in enumerate(columns):
        numeric = any(isinstance(row[index], int | float) for row in rows)
        rich_table.add_column(name, justify="right" if numeric else "left", overflow="fold")
    for row in rows:
        rich_table.add_row(*(format_cell(value) for value in row))
    console.print(rich_table)


def format_cell(value: Any) -> str:
    """Format one value of a table."""
    if value is None:
        return "-"
    if isinstance(value, bool):
        return "yes" if value else "no"
    return f"{value:.3f}".rstrip("0").rstrip(".") if isinstance(value, float) else str(value)


def print_json(value: Any) -> None:
    click.echo(json.dumps(value, indent=2, default=str))


def fail(text: str, code: int = FAILED) -> NoReturn:
    """Print an error message on standard error and exit with `code`."""
    for line in text.splitlines():
        click.echo(f"irisstack: {line}", err=True)
    raise SystemExit(code)
