PYTHON ?= python3.11
VENV := .venv
BIN := $(VENV)/bin
STAMP := $(VENV)/.installed

.PHONY: demo test lint format bench bench-policy clean

$(STAMP): requirements.txt pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --requirement requirements.txt
	$(BIN)/pip install --quiet --no-deps --no-build-isolation --editable .
	touch $(STAMP)

demo: $(STAMP)
	$(BIN)/python -m tests.demo

test: $(STAMP)
	$(BIN)/python -m pytest $(PYTEST_ARGS)

lint: $(STAMP)
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .
	$(BIN)/mypy src tests bench

format: $(STAMP)
	$(BIN)/ruff format .
	$(BIN)/ruff check --fix .

bench: $(STAMP)
	$(BIN)/python -m bench

bench-policy: $(STAMP)
	$(BIN)/python -m bench.policy

clean:
	rm -rf $(VENV) .mypy_cache .ruff_cache .pytest_cache .hypothesis
