"""The command line: `python -m irisstack run` starts a delivery node."""

import argparse
import signal
import sys
from collections.abc import Sequence


def main(arguments: Sequence[str] | None = None) -> int:
    parser = argparse.ArgumentParser(prog="irisstack", description=__doc__)
    commands = parser.add_subparsers(dest="command", required=True, metavar="COMMAND")
    commands.add_parser("run", help="run a delivery node; its configuration comes from RELAY_CONFIG")
    parser.parse_args(arguments)
    # Until the node has read its file, a call to read it anew asks for nothing more; its default is death.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    from irisstack.node.service import main as run  # only this command needs the node's libraries

    return run()


if __name__ == "__main__":
    sys.exit(main())
