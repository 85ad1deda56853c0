# Every target makes the environment it needs; a fresh clone needs only Python 3.11 and make.
PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin
READY := $(VENV)/.ready

.PHONY: demo test bench check features model-check format clean

$(READY): pyproject.toml constraints.txt
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --disable-pip-version-check --constraint constraints.txt --editable '.[dev]'
	touch $(READY)

demo: $(READY)
	$(BIN)/loomwind demo

test: $(READY)
	$(BIN)/python -m features

check: $(READY)
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .
	$(BIN)/mypy

model-check: $(READY)
	$(BIN)/python -m specification

features: $(READY)
	$(BIN)/behave --no-capture --format progress2 features

bench: $(READY)
	$(BIN)/python -m bench relay
	$(BIN)/python -m bench latency

format: $(READY)
	$(BIN)/ruff format .
	$(BIN)/ruff check --fix .

clean:
	rm -rf $(VENV) build *.egg-info
