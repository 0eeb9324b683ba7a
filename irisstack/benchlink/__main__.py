"""Entry point: hosts the decision module on standard input and output."""

import sys

from irisstack.benchlink.host import main

sys.exit(main(sys.stdin.buffer, sys.stdout.buffer, sys.stderr))
