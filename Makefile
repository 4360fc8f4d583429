PYTHON ?= python3
BIN := .venv/bin

.PHONY: setup demo test lint format measure report clean

setup: .venv/.complete

# The stamp makes a half-finished installation start again.
.venv/.complete: requirements/dev.lock pyproject.toml
	test -x $(BIN)/python || $(PYTHON) -m venv .venv
	$(BIN)/python -m pip install --quiet --disable-pip-version-check --require-hashes -r requirements/dev.lock
	$(BIN)/python -m pip install --quiet --disable-pip-version-check --no-deps --no-build-isolation -e .
	touch $@

demo: setup
	$(BIN)/python -m pomeloyard.standins.demo

test: setup
	$(BIN)/python -m pytest

lint: setup
	$(BIN)/ruff format --check src tests measurements
	$(BIN)/ruff check src tests measurements
	$(BIN)/mypy

format: setup
	$(BIN)/ruff format src tests measurements
	$(BIN)/ruff check --fix src tests measurements

measure: setup
	$(BIN)/python -m measurements $(ONLY)

report: setup
	$(BIN)/python -m measurements.rounds

clean:
	rm -rf .venv .pytest_cache .ruff_cache .mypy_cache
