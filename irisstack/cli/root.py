"""The command `irisstack` and what all of its commands share."""

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
    help="how log lines are written",
)
@click.option(
    "--log-level",
    type=click.Choice(logs.LEVELS),
    default="info",
    show_default=True,
    help="the least of what is logged",
)
@click.pass_context
def root(context: click.Context, log_format: str, log_level: str) -> None:
    """Deliver outbound messages to other firms' systems, a breaker for each destination.

    Exit codes: 0 done, 1 the thing asked for failed, 2 asked wrongly.
    """
    context.obj = (log_format, log_level)
    if context.invoked_subcommand != "run":
        logs.configure("console" if log_format == "console" else "json", log_level, sys.stderr)


@root.command()
@click.pass_obj
def run(log_options: tuple[str, str]) -> None:
    """Run a delivery node in the foreground; its configuration comes from RELAY_CONFIG."""
    raise SystemExit(run_node(*log_options))


@root.command()
@click.argument("shell", type=click.Choice(["bash", "zsh", "fish"]))
def completion(shell: str) -> None:
    """Print the script that completes commands in SHELL."""
    completion_class = get_completion_class(shell)
    assert completion_class is not None, "the choice lists what the library has"
    click.echo(completion_class(root, {}, "irisstack", "_IRISSTACK_COMPLETE").source())


root.add_command(config)
root.add_command(lab)
root.add_command(settings)
lab.add_command(scale)


def main(arguments: Sequence[str] | None = None) -> int:
    """Run one command; returns its exit code. An interrupted one is told so and has failed."""
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
