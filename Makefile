# From a fresh clone, with nothing but python3 and make. All is installed into .venv, pinned.
PYTHON ?= python3
BIN = .venv/bin
NEEDS = requirements.txt requirements-tools.txt requirements-dev.txt requirements-cli.txt
HASHED = requirements-system.txt # pip takes files with hashes only together with others that have them

.PHONY: test rehearse demo local gate fleet-test soak soak-short
# All checks: style, types, tests.
test: .venv/ready
	$(BIN)/ruff check .
	$(BIN)/ruff format --check .
	$(BIN)/mypy
	$(BIN)/pytest -q -n 12 --dist loadgroup

# The rolling deploy, rehearsed against two real nodes; a verdict for each of the four rules.
rehearse: .venv/ready
	$(BIN)/python -m brackenladder rehearse rolling-deploy

# The standing fleet test's days in virtual time, a few seeds on small fleets (docs/standing-test.md).
gate: .venv/ready
	$(BIN)/python -m brackenladder gate --seeds 1-6 --nodes 60

# Many processes with faults between them: every rehearsal of members, under ten minutes.
fleet-test: .venv/ready
	$(BIN)/python benchmarks/fleet_test.py

# A whole system of real processes under overlapping troubles, a seed after the other (docs/soak.md).
SEEDS ?= 1-10
JOBS ?= 2
SIZE ?= small
soak: .venv/ready
	$(BIN)/python -m brackenladder.system soak --seeds $(SEEDS) --jobs $(JOBS) --size $(SIZE)

# The same for CI: two seeds side by side, under two minutes.
soak-short: .venv/ready
	$(BIN)/python -m brackenladder.system soak --seeds 101-102 --jobs 2 --seconds 20

# One node before four stand-in servers, until Ctrl-C.
demo: .venv/ready
	$(BIN)/python -m brackenladder demo

# A whole small system in three regions on loopback, until Ctrl-C (docs/system-operations.md).
local: .venv/ready
	@$(BIN)/python -m brackenladder.system local

.venv/ready: $(NEEDS) $(HASHED) requirements-operator.txt
	test -x $(BIN)/python || $(PYTHON) -m venv .venv
	$(BIN)/python -m pip install -q --disable-pip-version-check --no-deps $(addprefix -r ,$(HASHED))
	$(BIN)/python -m pip install -q --disable-pip-version-check --no-deps $(addprefix -r ,$(NEEDS))
	touch $@
