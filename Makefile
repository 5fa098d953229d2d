PYTHON ?= python3.11
VENV := .venv
BIN := $(VENV)/bin
STAMP := $(VENV)/.installed
# Tests judge times, so a quarter of the cores stays free; 0 on a single core:
# pytest itself runs the tests.
TEST_WORKERS ?= $(shell expr $$(nproc) '*' 3 / 4)

.PHONY: demo test lint format clean

$(STAMP): requirements.txt pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --requirement requirements.txt
	$(BIN)/pip install --quiet --no-deps --no-build-isolation --editable .
	touch $(STAMP)

demo: $(STAMP)
	$(BIN)/python -m tests.demo $(if $(SEED),--seed $(SEED))

test: $(STAMP)
	$(BIN)/python -m pytest -n $(TEST_WORKERS) --dist loadgroup $(PYTEST_ARGS)

lint: $(STAMP)
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .
	$(BIN)/mypy src tests

format: $(STAMP)
	$(BIN)/ruff format .
	$(BIN)/ruff check --fix .

clean:
	rm -rf $(VENV) .mypy_cache .ruff_cache .pytest_cache .hypothesis
