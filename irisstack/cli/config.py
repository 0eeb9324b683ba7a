"""`irisstack config`: check files, show their effective values, print their schema."""

import os
from pathlib import Path
from typing import Any

import click

from irisstack.cli import output
from irisstack.configuration import document, kinds
from irisstack.configuration.document import DocumentError
from irisstack.configuration.node_file import VARIABLES

kind_option = click.option(
    "--kind",
    type=click.Choice(["auto", *kinds.KINDS]),
    default="auto",
    show_default=True,
    help="kind of the file; auto detects it by its keys",
)
file_argument = click.argument("file", type=click.Path(path_type=Path))


@click.group()
def config() -> None:
    """Check, show and describe configuration files."""


@config.command()
@file_argument
@kind_option
@output.json_option
def check(file: Path, kind: str, as_json: bool) -> None:
    """Report all errors in FILE at once."""
    try:
        detected_kind, _, _ = kinds.read(file, kind)
    except DocumentError as error:
        if as_json:
            output.print_json(
                [{"file": str(file), "key": problem.key, "text": problem.text} for problem in error.problems]
            )
            raise SystemExit(output.FAILED) from None
        output.fail(str(error))
    if as_json:
        output.print_json([])
    else:
        click.echo(f"{file}: valid {detected_kind} file")


@config.command()
@file_argument
@kind_option
@output.json_option
def show(file: Path, kind: str, as_json: bool) -> None:
    """Print each key of FILE with its effective value and whether file, variable or default set it."""
    try:
        detected_kind, raw, model = kinds.read(file, kind)
    except DocumentError as error:
        output.fail(str(error))
    given = dict(document.flatten(raw))
    rows: list[tuple[str, Any, str]] = []
    for key, value in document.flatten(model.model_dump(by_alias=True)):
        variable = VARIABLES.get(key, "") if detected_kind == "node" else ""
        if variable and os.environ.get(variable):
            rows.append((key, os.environ[variable], variable))
        else:
            rows.append((key, value, "file" if key in given else "default"))
    output.print_table(("key", "value", "from"), rows, as_json, title=f"{file}: {detected_kind}")


@config.command()
@click.argument("kind", type=click.Choice(list(kinds.KINDS)), default="node")
def schema(kind: str) -> None:
    """Print the JSON schema of files of KIND."""
    output.print_json(kinds.model(kind).model_json_schema(by_alias=True))
