# Set VENV to use an environment that exists already.
VENV ?= .venv
PYTHON ?= python3
BIN := $(VENV)/bin
# Test files run side by side in this many processes.
JOBS ?= 4
PACKAGES := core wire router cli standins bench
SOURCES := $(foreach p,$(PACKAGES),packages/citrondock-$(p)/src)
empty :=
space := $(empty) $(empty)
export PYTHONPATH := $(subst $(space),:,$(foreach s,$(SOURCES) platform,$(CURDIR)/$(s)))
export PYTHONDONTWRITEBYTECODE := 1

.PHONY: setup demo test lint format bench experiment capacity measurements soak known-red thrift

setup: $(VENV)/.citrondock-ready

$(VENV)/.citrondock-ready: constraints.txt requirements.txt
	test -x $(BIN)/python || $(PYTHON) -m venv $(VENV)
	$(BIN)/python -m pip install --quiet -c constraints.txt -r requirements.txt
	$(BIN)/python -m pip install --quiet --no-build-isolation --no-deps \
		$(foreach p,$(PACKAGES),-e packages/citrondock-$(p))
	touch $@

demo: setup
	$(BIN)/python -m citrondock_bench.demo

# The tests of clients that exhaust a router come last, one at a time: beside other load
# they would measure that load.
test: setup
	$(BIN)/python -m pytest -n $(JOBS) --dist loadfile tests --ignore=tests/hostile \
		$(shell tools/known-red)
	$(BIN)/python -m pytest tests/hostile $(shell tools/known-red)

lint: setup
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .
	$(BIN)/mypy $(SOURCES) platform

format: setup
	$(BIN)/ruff format .
	$(BIN)/ruff check --fix .

bench: setup
	$(BIN)/python -m citrondock_bench.bench

experiment: setup
	$(BIN)/python -m citrondock_bench.experiment

capacity: setup
	$(BIN)/python -m citrondock_bench.capacity

# SEEDS soaks from FIRST_SEED on; CI runs two short ones.
SEEDS ?= 50
FIRST_SEED ?= 1
soak: setup
	$(BIN)/python tests/soak/soak.py --first_seed=$(FIRST_SEED) --seeds=$(SEEDS)

# Not run by CI: the page changes with each run on the users' bench.
measurements: setup
	$(BIN)/python -m citrondock_bench.measurements journal > docs/MEASUREMENTS.md

known-red:
	@tools/known-red --list

# The generated code is committed; this target is for whoever edits the definition.
thrift:
	thrift --gen py -out packages/citrondock-wire/src/citrondock_wire/gen \
		packages/citrondock-wire/peer.thrift
	thrift --gen py -out packages/citrondock-wire/src/citrondock_wire/gen \
		packages/citrondock-wire/grants.thrift
	rm -f packages/citrondock-wire/src/citrondock_wire/gen/*/*-remote
