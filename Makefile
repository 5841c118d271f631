VENV ?= .venv
PYTHON = $(VENV)/bin/python

.PHONY: demo test check format bench-rollout bench-load bench-outcomes bench-control

# The programs wasabidrumd and wasabidrum stand in $(VENV)/bin once this is done.
$(VENV)/.installed: requirements.txt pyproject.toml
	python3 -m venv $(VENV)
	$(VENV)/bin/pip install --quiet -r requirements.txt
	$(VENV)/bin/pip install --quiet --no-deps --editable .
	touch $@

demo: $(VENV)/.installed
	$(PYTHON) -m bench.demo

test: $(VENV)/.installed
	$(PYTHON) -m tests.run

check: $(VENV)/.installed
	$(PYTHON) -m black --quiet --check .
	$(PYTHON) -m ruff check --quiet .

format: $(VENV)/.installed
	$(PYTHON) -m black --quiet .
	$(PYTHON) -m ruff check --quiet --fix .

bench-rollout bench-load bench-outcomes bench-control: $(VENV)/.installed
	$(PYTHON) -m bench.$(subst -,_,$(subst bench-,,$@))
