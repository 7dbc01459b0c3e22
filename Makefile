# Two commands do everything on a machine with Python alone: make demo, make test.
PYTHON ?= python3
VENV ?= .venv
BIN = $(VENV)/bin
FLAGS =
SEED = 1

.PHONY: demo test test-stepped lint clean

$(VENV)/.installed: requirements.txt requirements-router.txt requirements-dev.txt
	test -d $(VENV) || $(PYTHON) -m venv $(VENV)
	$(BIN)/pip -q install -r requirements-dev.txt
	touch $@

demo: $(VENV)/.installed
	$(BIN)/python -m tansycrank demo

test: $(VENV)/.installed
	$(BIN)/python -m pytest $(FLAGS)

# All tests once more under a wall clock that is stepped, about once a second, by seconds or an hour.
test-stepped: $(VENV)/.installed
	$(BIN)/python -m tansycrank.testbed.interposer.stepped $(SEED) $(BIN)/python -m pytest $(FLAGS)

lint: $(VENV)/.installed
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .
	$(BIN)/lint-imports

clean:
	rm -rf $(VENV) .ci-venv
