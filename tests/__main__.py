"""Runs every check of the project: `python -m tests`."""

import subprocess
import sys
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
CHECKS = (
    ("-m", "ruff", "check", "."),
    ("-m", "ruff", "format", "--check", "."),
    ("-m", "mypy"),
    ("-c", "import sys; from importlinter.cli import lint_imports_command; sys.exit(lint_imports_command())"),
    ("-m", "pytest"),
)
"""Style, types, the direction of imports, behaviour (and, among the tests, the module's size)."""


def main() -> int:
    """Run the checks in turn; the first that fails ends the run with its exit code."""
    for check in CHECKS:
        exit_code = subprocess.run([sys.executable, *check], cwd=ROOT, check=False).returncode
        if exit_code:
            return exit_code
    return 0


if __name__ == "__main__":
    sys.exit(main())
