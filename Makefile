PYTHON = .venv/bin/python

.PHONY: venv test lint format demo bench faults soak binary

venv:
	@sh tools/make_venv.sh

test: venv
	$(PYTHON) -W error::ResourceWarning -m unittest discover -s tests -t .

lint: venv
	.venv/bin/ruff format --check .
	.venv/bin/ruff check .
	.venv/bin/flake8 libs platform tests tools
	$(PYTHON) tools/check_imports.py
	$(PYTHON) tools/check_boundary.py

demo: venv
	$(PYTHON) -m vanillayoke.soak.demo

bench: venv
	$(PYTHON) -m vanillayoke.bench policy
	$(PYTHON) -m vanillayoke.bench.gateway
	$(PYTHON) -m vanillayoke.bench.tables

binary: venv
	sh tools/build_binary.sh
	$(PYTHON) tools/check_binary.py

FAULT_FLAGS = --pairs=60

faults: venv
	$(PYTHON) -m vanillayoke.harness.matrix $(FAULT_FLAGS)

SOAK_FLAGS = --count=4 --jobs=2

soak: venv
	$(PYTHON) -m vanillayoke.soak $(SOAK_FLAGS)

format: venv
	.venv/bin/ruff check --fix --quiet . || true
	.venv/bin/ruff format .
