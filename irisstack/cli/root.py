"""The `irisstack` command: its subcommands, global options and exit codes."""

import sys
from collections.abc import Sequence
from importlib.metadata import PackageNotFoundError, version

import click
from click.shell_completion import get_completion_class

from irisstack.cli.config import config
from irisstack.cli.lab import lab
from irisstack.cli.output import FAILED, USAGE_ERROR
from irisstack.cli.scale import scale
from irisstack.cli.settings import settings
from irisstack.common import logs
from irisstack.start import run_node


def _version() -> str:
    try:
        return version("irisstack")
    except PackageNotFoundError:  # started from a checkout that was never installed
        return "unknown"


@click.group(context_settings={"help_option_names": ["-h", "--help"]})
@click.version_option(_version(), prog_name="irisstack")
@click.option(
    "--log-format",
    type=click.Choice(["json", "console"]),
    default="json",
    show_default=True,
    help="format of log lines",
)
@click.option(
    "--log-level",
    type=click.Choice(logs.LEVELS),
    default="info",
    show_default=True,
    help="lowest level that is logged",
)
@click.pass_context
def root(context: click.Context, log_format: str, log_level: str) -> None:
    """Deliver outbound messages to other firms' systems, with a circuit breaker for each destination.

    Exit codes: 0 success, 1 failure, 2 usage error.
    """
    context.obj = (log_format, log_level)
    if context.invoked_subcommand != "run":
        logs.configure("console" if log_format == "console" else "json", log_level, sys.stderr)


@root.command()
@click.pass_obj
def run(log_options: tuple[str, str]) -> None:
    """Run a delivery node in the foreground; RELAY_CONFIG names its configuration file."""
    raise SystemExit(run_node(*log_options))


@root.command()
@click.argument("shell", type=click.Choice(["bash", "zsh", "fish"]))
def completion(shell: str) -> None:
    """Print the script that completes commands in SHELL."""
    completion_class = get_completion_class(shell)
    assert completion_class is not None, "click supports each shell of the choice"
    click.echo(completion_class(root, {}, "irisstack", "_IRISSTACK_COMPLETE").source())


root.add_command(config)
root.add_command(lab)
root.add_command(settings)
lab.add_command(scale)


def main(arguments: Sequence[str] | None = None) -> int:
    """Run one command and return its exit code; an interrupted command counts as failed."""
    try:
        root.main(
            args=None if arguments is None else list(arguments), prog_name="irisstack", standalone_mode=False
        )
    except click.exceptions.Exit as exit_exception:
        return exit_exception.exit_code
    except click.ClickException as error:
        error.show()
        return USAGE_ERROR
    except (click.Abort, KeyboardInterrupt):
        click.echo("irisstack: interrupted", err=True)
        return FAILED
    except SystemExit as exit_exception:
        return exit_exception.code if isinstance(exit_exception.code, int) else FAILED
    return 0
