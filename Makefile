PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin
DEPLOYMENT ?= authority
SEEDS ?= 50

.PHONY: setup test lint types features model model-deep soak soak-fresh demo bench clean

setup: $(VENV)/.installed

$(VENV)/.installed: pyproject.toml requirements.lock requirements-model.lock
	$(PYTHON) -m venv $(VENV)
	$(BIN)/python -m pip install --quiet --disable-pip-version-check -r requirements.lock
	$(BIN)/python -m pip install --quiet --disable-pip-version-check --no-deps --require-hashes -r requirements-model.lock
	$(BIN)/python -m pip install --quiet --disable-pip-version-check --no-deps -e .
	touch $@

lint: setup
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .

types: setup
	$(BIN)/mypy

features: setup
	$(BIN)/python features/run.py

model: setup
	$(BIN)/python -m model

model-deep: setup
	$(BIN)/python -m model --deep

test: lint types features

soak: setup
	$(BIN)/python -m soak --seeds $(SEEDS)

soak-fresh: setup
	$(BIN)/python -m soak --fresh $(SEEDS)

demo: setup
	$(BIN)/python -m demo --deployment $(DEPLOYMENT)

bench: setup
	mkdir -p bench/results
	PYTHONPATH=src:. $(BIN)/python -m bench.placement --sizes 200,1000,5000,20000 --trials 2 --output bench/results/placement.json
	PYTHONPATH=src:. $(BIN)/python -m bench.routing --json bench/results/routing.json
	PYTHONPATH=src:. $(BIN)/python -m bench.slopes
	PYTHONPATH=src:. $(BIN)/python -m bench.system

clean:
	rm -rf $(VENV) build dist .mypy_cache .ruff_cache .hypothesis
