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

# Tests marked as alone run after the others, one at a time. Either part may
# have no tests (exit code 5), but not both.
test: $(STAMP)
	@$(BIN)/python -m pytest -n $(TEST_WORKERS) --dist loadgroup \
	  -m "not alone" $(PYTEST_ARGS); rest=$$?; \
	$(BIN)/python -m pytest -n 0 -m alone $(PYTEST_ARGS); alone=$$?; \
	case $$rest in 0|5) ;; *) exit $$rest;; esac; \
	case $$alone in 0|5) ;; *) exit $$alone;; esac; \
	test $$rest -eq 0 -o $$alone -eq 0

lint: $(STAMP)
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .
	$(BIN)/mypy src tests

format: $(STAMP)
	$(BIN)/ruff format .
	$(BIN)/ruff check --fix .

clean:
	rm -rf $(VENV) .mypy_cache .ruff_cache .pytest_cache .hypothesis
