PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin
STAMP := $(VENV)/.installed

export PYTHONPATH := src:.
export PYTHONDONTWRITEBYTECODE := 1

.PHONY: test explore soak demo bench lint format binary capacity mutations stops

$(STAMP): requirements.lock requirements-dev.lock
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --disable-pip-version-check -r requirements-dev.lock
	touch $(STAMP)

test: $(STAMP)
	$(BIN)/python -m pytest -q -n 4 -rxX

# Fresh examples for the state machines, some rounds, each with a seed that it prints.
SEED ?= $(shell date +%s)
ROUNDS ?= 5
explore: $(STAMP)
	for round in $$(seq $(ROUNDS)); do \
		echo "seed $$(($(SEED) + round))"; \
		HEATHERCLEAT_EXPLORE=1 $(BIN)/python -m pytest -q -n 4 \
			--hypothesis-seed=$$(($(SEED) + round)) \
			$$(grep -l hypothesis tests/test_*.py) || exit 1; \
	done

demo: $(STAMP)
	$(BIN)/python -m standins.demo

lint: $(STAMP)
	$(BIN)/ruff check .
	$(BIN)/ruff format --check .

format: $(STAMP)
	$(BIN)/ruff check --fix .
	$(BIN)/ruff format .

bench: $(STAMP)
	$(BIN)/python -m bench.run

capacity: $(STAMP)
	$(BIN)/python -m bench.capacity

binary: $(STAMP)
	$(BIN)/python tools/build_binary.py build/heathercleat

soak: $(STAMP)
	$(BIN)/python -m standins.soak --seeds 10

# All VMs in turn, and all told to stop within three seconds; each ends with its table.
stops: $(STAMP)
	$(BIN)/python -m standins.stops --plan turn
	$(BIN)/python -m standins.stops --plan together

mutations: $(STAMP)
	$(BIN)/python tools/mutations.py
