PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin

.PHONY: demo test bench soak profile binary format clean

$(VENV)/.ready: requirements.lock
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --requirement requirements.lock
	touch $@

demo: $(VENV)/.ready
	$(BIN)/python -m bench.demo

test: $(VENV)/.ready
	$(BIN)/black --check --quiet camphorchute bench
	$(BIN)/ruff check --quiet camphorchute bench
	$(BIN)/python -m bench.checks

bench: $(VENV)/.ready
	$(BIN)/python -m bench.measure
	$(BIN)/python -m bench.patterns

soak: $(VENV)/.ready
	$(BIN)/python -m bench.soak --seed $(or $(SEED),1) --duration-s $(or $(DURATION_S),30)

profile: $(VENV)/.ready
	$(BIN)/python -m bench.job_profile

binary: $(VENV)/.ready
	$(BIN)/python -m bench.binary

format: $(VENV)/.ready
	$(BIN)/black --quiet camphorchute bench
	$(BIN)/ruff check --fix --quiet camphorchute bench

clean:
	rm -rf build dist $(VENV)
