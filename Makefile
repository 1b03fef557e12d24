# `make demo` and `make test` are the two commands a newcomer needs.
PYTHON ?= python3
# The first seed of a soak; fresh ones each time, unless one is to be played again.
SEED ?= $(shell date +%s)
BIN := .venv/bin

.PHONY: env generate format test bench demo soak

env: .venv/installed

.venv/installed: requirements.txt pyproject.toml
	$(PYTHON) -m venv .venv
	$(BIN)/pip install --quiet --disable-pip-version-check -r requirements.txt
	$(BIN)/pip install --quiet --disable-pip-version-check --no-deps --editable .
	touch .venv/installed

generate: env
	$(BIN)/python tools/generate.py
	$(BIN)/ruff format --quiet .

format: env
	$(BIN)/ruff check --fix --quiet .
	$(BIN)/ruff format --quiet .

test: env
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .
	$(BIN)/python tools/generate.py --check
	$(BIN)/python tools/run_tests.py -n 4 --dist loadfile

demo: env
	$(BIN)/python tools/demo.py

bench: env
	$(BIN)/python tools/bench.py

soak: env
	$(BIN)/python -m tools.soak.main $(SEED) 50
	ALDERREACH_SOAK=1 $(BIN)/python -m pytest -m "" alderreach tests
