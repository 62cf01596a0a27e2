PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin
STAMP := $(VENV)/.installed

.PHONY: setup test lint format demo bench fuzz soak clean

setup: $(STAMP)

$(STAMP): pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/python -m pip install --quiet --editable '.[dev]'
	touch $(STAMP)

test: $(STAMP)
	$(BIN)/python -m pytest

lint: $(STAMP)
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .

format: $(STAMP)
	$(BIN)/ruff format .
	$(BIN)/ruff check --fix .

demo: $(STAMP)
	$(BIN)/python tools/demo.py $(if $(KEEP),--keep)

bench: $(STAMP)
	$(BIN)/python tools/bench_all.py

fuzz: $(STAMP)
	HYPOTHESIS_PROFILE=fuzz $(BIN)/python -m pytest --timeout 1800 -k "not test_entry and not test_agent"

SEED ?= 1
SECONDS ?= 30

soak: $(STAMP)
	$(BIN)/python -m soak --seed $(SEED) --seconds $(SECONDS)

clean:
	rm -rf $(VENV) build *.egg-info
