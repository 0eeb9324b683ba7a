"""Entry point: runs the decision module for the simulator, on standard input and output."""

import sys

from irisstack.benchlink.host import main

sys.exit(main(sys.stdin.buffer, sys.stdout.buffer, sys.stderr))
