# Each target sets up its own virtual environment from the lock file.

PYTHON ?= python3
VENV := .venv
# Test processes; tests mostly wait for timers.
WORKERS ?= 4
STAMP := $(VENV)/.installed

.PHONY: run gateway soak test format lint types check

run: $(STAMP)
	$(VENV)/bin/turmericcroft-lab demo $(ARGS)

gateway: $(STAMP)
	$(VENV)/bin/turmericcroft-lab gateway $(ARGS)

soak: $(STAMP)
	$(VENV)/bin/turmericcroft-lab soak $(ARGS)

test: $(STAMP)
	$(VENV)/bin/python -m pytest -n $(WORKERS) $(ARGS)

format: $(STAMP)
	$(VENV)/bin/ruff format src testing
	$(VENV)/bin/ruff check --fix src testing

lint: $(STAMP)
	$(VENV)/bin/ruff format --check src testing
	$(VENV)/bin/ruff check src testing

types: $(STAMP)
	$(VENV)/bin/mypy

check: test lint types

$(STAMP): requirements.lock pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(VENV)/bin/python -m pip install --quiet --require-hashes -r requirements.lock
	$(VENV)/bin/python -m pip install --quiet --no-deps --no-build-isolation -e .
	touch $(STAMP)
