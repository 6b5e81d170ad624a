PYTHON = .venv/bin/python

.PHONY: venv test lint format demo bench faults binary

venv:
	@sh tools/make_venv.sh

test: venv
	$(PYTHON) -W error::ResourceWarning -m unittest discover -s tests -t .

lint: venv
	.venv/bin/ruff format --check .
	.venv/bin/ruff check .
	.venv/bin/flake8 libs tests tools
	$(PYTHON) tools/check_imports.py

demo: venv
	$(PYTHON) -m vanillayoke.harness.demo

faults: venv
	$(PYTHON) -m vanillayoke.harness.matrix --pairs=60

format: venv
	.venv/bin/ruff check --fix --quiet . || true
	.venv/bin/ruff format .
