#!/bin/sh
# Builds the stand-ins of all cases. They are Python on the standard library, so this only compiles them.
cd "$(dirname "$0")/.." || exit 2
test -x .venv/bin/python || { echo "first run the build line of deploy/balancer.toml" >&2; exit 2; }
exec .venv/bin/python -m compileall -q review
