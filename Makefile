PYTHON ?= python3
VENV := .venv
STAMP := $(VENV)/.installed

.PHONY: setup demo test lint format thrift bench

setup: $(STAMP)

$(STAMP): requirements.txt requirements-dev.txt
	$(PYTHON) -m venv $(VENV)
	$(VENV)/bin/pip install --quiet -r requirements-dev.txt
	touch $(STAMP)

demo: setup
	$(VENV)/bin/python -m benchmarks.demo

test: setup
	$(VENV)/bin/python -m tests

lint: setup
	$(VENV)/bin/ruff check .
	$(VENV)/bin/ruff format --check .

format: setup
	$(VENV)/bin/ruff check --fix .
	$(VENV)/bin/ruff format .

# Needs the thrift compiler 0.17 (Debian package thrift-compiler). The
# generated code is committed, so that a build needs no generator.
thrift:
	thrift --gen py:dynamic,slots -out papayaward/protocol \
		papayaward/protocol/papayaward.thrift

bench: setup
	$(VENV)/bin/python -m benchmarks.report
