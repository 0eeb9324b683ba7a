"""The command line: each command parses its arguments, calls one package and prints the result."""

from irisstack.cli.root import main

__all__ = ["main"]
