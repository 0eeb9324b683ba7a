# `make try` plays a short day with two real nodes, `make test` runs every check, `make scale` measures growth.
PYTHON ?= python3
PIP = -m pip install --quiet --disable-pip-version-check

.PHONY: try test scale clean

test: .venv-test/ready
	.venv-test/bin/python -m tests

try: .venv-lab/ready
	.venv-lab/bin/irisstack lab try

scale: .venv-lab/ready
	timeout --signal=INT 600 .venv-lab/bin/irisstack lab scale run --out docs/measurements/capacity

.venv-%/ready: pyproject.toml
	test -x .venv-$*/bin/python || $(PYTHON) -m venv .venv-$*
	.venv-$*/bin/python $(PIP) -e '.[$*]'
	touch $@

clean:
	rm -rf .venv-lab .venv-test lab-results
