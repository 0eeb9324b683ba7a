"""`irisstack settings`: show, check and publish the settings that nodes follow while they run."""

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
    help="a node's configuration file with the key dynamic_settings; RELAY_CONFIG if left out",
)
file_argument = click.argument("file", type=click.Path(path_type=Path))


@click.group()
def settings() -> None:
    """Settings that nodes follow while they run; FILE holds an object of values by path."""


@settings.command()
@node_option
@output.json_option
def show(node_file: Path, as_json: bool) -> None:
    """Print what is published now."""
    from irisstack.node.settings_publisher import PublishError

    try:
        before = _publisher(_config(node_file)).read()
    except PublishError as error:
        output.fail(str(error))
    if problem := before.items.problem():
        output.fail(f"revision {before.revision}: {problem}")
    values = before.items.values()
    if as_json:
        output.print_json({"revision": before.revision, "items": values})
    else:
        rows = [(path, _shown(value)) for path, value in sorted(values.items())]
        output.print_table(("path", "value"), rows, as_json, f"revision {before.revision}")


@settings.command()
@file_argument
@node_option
def check(file: Path, node_file: Path) -> None:
    """Check FILE as a node does, without what is published now."""
    from irisstack.node import settings_publisher
    from irisstack.settings import SettingsError

    config, items = _config(node_file), _items(file)
    try:
        settings_publisher.check_document(config, items)
    except SettingsError as error:
        output.fail(f"{file}: {error}")
    click.echo(f"{file}: a good document of {len(items)} items")


@settings.command()
@file_argument
@node_option
def publish(file: Path, node_file: Path) -> None:
    """Make FILE the document that nodes follow, once it is checked as a node does."""
    from irisstack.node import settings_publisher
    from irisstack.settings import SettingsError

    config, items = _config(node_file), _items(file)
    try:
        publisher = _publisher(config)
        before = publisher.read()
        settings_publisher.check_document(config, items, before)
        revision = publisher.publish(before, items)
    except SettingsError as error:
        output.fail(f"{file}: {error}")
    except settings_publisher.PublishError as error:
        output.fail(str(error))
    if revision is None:
        click.echo(f"nothing to change: revision {before.revision} holds this document")
    else:
        click.echo(f"published as revision {revision}")


def _config(node_file: Path) -> "Config":
    """The node's configuration, without its lasting folder: that is on the node's machine, if anywhere."""
    from irisstack.node.config import ConfigError, load

    try:
        return load({"RELAY_CONFIG": str(node_file), "RELAY_STATE": tempfile.gettempdir()})
    except ConfigError as error:
        output.fail(str(error), output.USAGE_ERROR)


def _publisher(config: "Config") -> "SettingsPublisher":
    from irisstack.node.settings_publisher import SettingsPublisher

    source = config.dynamic_settings
    if source is None:
        output.fail("dynamic_settings: is due in the node's file", output.USAGE_ERROR)
    return SettingsPublisher(source.members, source.prefix)


def _items(file: Path) -> dict[str, Any]:
    from irisstack.node.config import file_format, parse_file

    try:
        items = parse_file(file)
    except OSError as error:
        output.fail(f"{file} cannot be read: {error.strerror}")
    except (ValueError, RecursionError) as error:
        output.fail(f"{file} holds no {file_format(file)}: {error}")
    if not isinstance(items, dict):
        output.fail(f"{file}: an object of values by path is due")
    return items


def _shown(value: Any) -> str:
    return json.dumps(value, ensure_ascii=False)
