"""Runs all checks of the project: `python -m tests`."""

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
"""Style, types, import contracts and tests (which include the decision module's limits)."""


def main() -> int:
    """Run the checks in order; stop at the first that fails and return its exit code."""
    for check in CHECKS:
        exit_code = subprocess.run([sys.executable, *check], cwd=ROOT, check=False).returncode
        if exit_code:
            return exit_code
    return 0


if __name__ == "__main__":
    sys.exit(main())
