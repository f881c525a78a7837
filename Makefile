VENV ?= .venv
# Number of test processes; the tests of one file run in order in the same process.
WORKERS ?= 4
# Number of new seeds that `make soak` runs.
SEEDS ?= 10
PYTHON := $(VENV)/bin/python
SOURCES := $(wildcard src tests bench soak deploy)
export PYTHONPATH := src:.

.PHONY: soak soak-planted test format lint demo binary bench bench-quick capacity lock

$(VENV)/installed: requirements.lock
	test -x $(PYTHON) || python3 -m venv $(VENV)
	$(PYTHON) -m pip install --require-hashes -r requirements.lock
	touch $@

test: $(VENV)/installed
	$(PYTHON) -m pytest --numprocesses $(WORKERS) --dist loadfile -m "not alone"
	$(PYTHON) -m pytest -m alone

format: $(VENV)/installed
	$(PYTHON) -m black $(SOURCES)
	$(PYTHON) -m ruff check --fix $(SOURCES)

lint: $(VENV)/installed
	$(PYTHON) -m black --check $(SOURCES)
	$(PYTHON) -m ruff check $(SOURCES)
	$(PYTHON) -m mypy
	$(PYTHON) -m mypy --package bench --package soak
	$(PYTHON) -m mypy deploy/build_deps.py

demo: $(VENV)/installed
	$(PYTHON) -m bench.demo

binary: $(VENV)/installed
	$(PYTHON) -m bench.binary

bench: $(VENV)/installed
	$(PYTHON) -m bench.run

bench-quick: $(VENV)/installed
	$(PYTHON) -m bench.run --quick

soak: $(VENV)/installed
	$(PYTHON) -m soak regressions
	$(PYTHON) -m soak many --seeds $(SEEDS)

soak-planted: $(VENV)/installed
	$(PYTHON) -m soak planted

capacity: $(VENV)/installed
	$(PYTHON) -m bench.capacity

lock: $(VENV)/installed
	$(PYTHON) -m piptools compile --quiet --generate-hashes --allow-unsafe \
		--no-emit-index-url --no-emit-find-links --strip-extras \
		--no-header --extra dev --output-file requirements.lock pyproject.toml
