"""`irisstack settings`: show, check and publish dynamic settings, which nodes apply without a restart."""

import json
import tempfile
from pathlib import Path
from typing import TYPE_CHECKING, Any

import click

from irisstack.cli import output

if TYPE_CHECKING:
    from irisstack.node.config import Config
    from irisstack.node.settings_publisher import SettingsPublisher

node_option = click.option(
    "--node",
    "node_file",
    type=click.Path(path_type=Path),
    envvar="RELAY_CONFIG",
    required=True,
    help="configuration file of a node, with the key dynamic_settings; defaults to RELAY_CONFIG",
)
file_argument = click.argument("file", type=click.Path(path_type=Path))


@click.group()
def settings() -> None:
    """Dynamic settings, which nodes apply without a restart; FILE holds an object of values by path."""


@settings.command()
@node_option
@output.json_option
def show(node_file: Path, as_json: bool) -> None:
    """Print the published document."""
    from irisstack.node.settings_publisher import PublishError

    try:
        published = _make_publisher(_load_node_config(node_file)).read()
    except PublishError as error:
        output.fail(str(error))
    if problem := published.items.problem():
        output.fail(f"revision {published.revision}: {problem}")
    values = published.items.values()
    if as_json:
        output.print_json({"revision": published.revision, "items": values})
    else:
        rows = [(path, _format_value(value)) for path, value in sorted(values.items())]
        output.print_table(("path", "value"), rows, as_json, f"revision {published.revision}")


@settings.command()
@file_argument
@node_option
def check(file: Path, node_file: Path) -> None:
    """Check FILE as a node does, but not whether it may follow the published document."""
    from irisstack.node import settings_publisher
    from irisstack.settings import SettingsError

    config, items = _load_node_config(node_file), _read_items(file)
    try:
        settings_publisher.check_document(config, items)
    except SettingsError as error:
        output.fail(f"{file}: {error}")
    click.echo(f"{file}: valid document with {len(items)} items")


@settings.command()
@file_argument
@node_option
def publish(file: Path, node_file: Path) -> None:
    """Check FILE as a node does, then publish it as the document that nodes apply."""
    from irisstack.node import settings_publisher
    from irisstack.settings import SettingsError

    config, items = _load_node_config(node_file), _read_items(file)
    try:
        publisher = _make_publisher(config)
        published = publisher.read()
        settings_publisher.check_document(config, items, published)
        revision = publisher.publish(published, items)
    except SettingsError as error:
        output.fail(f"{file}: {error}")
    except settings_publisher.PublishError as error:
        output.fail(str(error))
    if revision is None:
        click.echo(f"no changes: revision {published.revision} already holds this document")
    else:
        click.echo(f"published as revision {revision}")


def _load_node_config(node_file: Path) -> "Config":
    """Load the node's configuration, with a temporary directory in place of its state directory.

    The state directory is on the node's machine, if it exists at all.
    """
    from irisstack.node.config import ConfigError, load

    try:
        return load({"RELAY_CONFIG": str(node_file), "RELAY_STATE": tempfile.gettempdir()})
    except ConfigError as error:
        output.fail(str(error), output.USAGE_ERROR)


def _make_publisher(config: "Config") -> "SettingsPublisher":
    from irisstack.node.settings_publisher import SettingsPublisher

    dynamic_settings = config.dynamic_settings
    if dynamic_settings is None:
        output.fail("dynamic_settings: required key is missing in the node's file", output.USAGE_ERROR)
    return SettingsPublisher(dynamic_settings.members, dynamic_settings.prefix)


def _read_items(file: Path) -> dict[str, Any]:
    from irisstack.node.config import file_format, parse_file

    try:
        items = parse_file(file)
    except OSError as error:
        output.fail(f"{file}: cannot be read: {error.strerror}")
    except (ValueError, RecursionError) as error:
        output.fail(f"{file}: invalid {file_format(file)}: {error}")
    if not isinstance(items, dict):
        output.fail(f"{file}: expected an object of values by path, got {type(items).__name__}")
    return items


def _format_value(value: Any) -> str:
    return json.dumps(value, ensure_ascii=False)
