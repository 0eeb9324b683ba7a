"""`irisstack config`: check files, show what they come to, print their schema."""

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
    help="what the file is; auto goes by its keys",
)
file_argument = click.argument("file", type=click.Path(path_type=Path))


@click.group()
def config() -> None:
    """Check, show and describe the files that people write."""


@config.command()
@file_argument
@kind_option
@output.json_option
def check(file: Path, kind: str, as_json: bool) -> None:
    """Tell everything that is wrong with FILE, at once."""
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
        click.echo(f"{file}: a good {detected_kind} file")


@config.command()
@file_argument
@kind_option
@output.json_option
def show(file: Path, kind: str, as_json: bool) -> None:
    """Print what FILE comes to: each key, its value, and whether file, variable or default gave it."""
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
