"""The command line, `python -m irisstack`. A plain `run` starts a delivery node and imports nothing else."""

import sys
from collections.abc import Sequence

from irisstack.start import run_node

NEEDS_TOOLS = "irisstack: all commands except a plain `run` need the tools: pip install 'irisstack[tools]'"


def main(arguments: Sequence[str] | None = None) -> int:
    """Run a command; returns the exit code: 0 success, 1 failure, 2 usage error."""
    argv = list(sys.argv[1:] if arguments is None else arguments)
    if argv == ["run"]:  # a node's environment has only the packages in requirements.txt
        return run_node()
    try:
        from irisstack.cli import main as command_line
    except ModuleNotFoundError as error:
        if (error.name or "").partition(".")[0] == "irisstack":
            raise
        print(NEEDS_TOOLS, file=sys.stderr)
        return 2
    return command_line(argv)


if __name__ == "__main__":
    sys.exit(main())
