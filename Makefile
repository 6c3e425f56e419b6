GO ?= go
BIN := bin
PROGRAMS := $(notdir $(wildcard cmd/*))

.PHONY: all build test lint fmt race

all: build

build:
	@mkdir -p $(BIN)
	$(GO) build -ldflags="$$(sh scripts/version-flags.sh)" -o $(BIN)/ ./cmd/...

fmt:
	@out=$$(gofmt -l cmd internal platform); if [ -n "$$out" ]; then echo "gofmt wants changes in:"; echo "$$out"; exit 1; fi

lint: fmt
	$(GO) vet ./...
	$(GO) tool staticcheck ./...

# Deciding packages start no goroutine and hold no lock (internal/purity sees to
# it), so the race detector has nothing to find in them; it watches all others.
CORES := $(shell sed -n 's|^	"\(internal/[a-z]*\)",|./\1|p' internal/purity/purity.go)
# The tests of clients that do not behave measure the memory of processes, so they run by themselves.
ALONE := ./internal/badclients
ALONE_SOAK := TestBadClients
OTHERS := $(filter-out $(addprefix github.com/catkinstair/catkinstair/,$(patsubst ./%,%,$(CORES) $(ALONE))),$(shell $(GO) list ./...))

# KNOWN-RED.txt names the tests that fail for a fault not mended yet, one "test: NAME" each.
KNOWN_RED := $(shell sed -n 's/^test: *//p' KNOWN-RED.txt 2>/dev/null)
empty :=
skip = $(if $(strip $(1)),-skip '^($(subst $(empty) $(empty),|,$(strip $(1))))$$')
SKIP := $(call skip,$(KNOWN_RED))

test: lint build
	@if [ -s KNOWN-RED.txt ]; then echo "known failures, skipped:"; cat KNOWN-RED.txt; fi
	$(GO) test $(SKIP) $(CORES)
	$(GO) test $(call skip,$(KNOWN_RED) $(ALONE_SOAK)) -race $(OTHERS)
	$(GO) test $(SKIP) -count=1 $(ALONE)
	$(GO) test $(SKIP) -count=1 -run '^$(ALONE_SOAK)$$' ./internal/soak

# Starts stand-ins and six VMs' worth of processes, shows one completion and one
# reservation, and keeps running until interrupted.
.PHONY: run
run: build
	scripts/run.sh

# Figures: Go benchmarks as text, then the processes under failures; cost is what
# one entry process takes for each request and token.
.PHONY: bench cost
bench: build
	scripts/bench.sh
	$(GO) test -p 1 -run xxx -bench . -benchtime 1x ./... > out/bench/go.txt

cost: build
	scripts/cost.sh

# Real processes under drawn failures: N seeds from SEED on, JOBS at once. A failed
# seed's logs stay in out/soak.
SEED ?= 1
N ?= 5
JOBS ?= 3
.PHONY: soak
soak:
	CATKIN_SOAK_SEED=$(SEED) CATKIN_SOAK_N=$(N) CATKIN_SOAK_JOBS=$(JOBS) $(GO) test -count=1 -timeout 60m -run TestSoak -v ./internal/soak

# Planned work only, in series that overlap: no caller may lose a request.
.PHONY: soak-planned
soak-planned:
	CATKIN_SOAK_SEED=$(SEED) CATKIN_SOAK_N=$(N) CATKIN_SOAK_JOBS=$(JOBS) $(GO) test -count=1 -timeout 60m -run TestPlannedWork -v ./internal/soak

# The soak with processes of the build of the last landing that are replaced one after the
# other: forward, half of them back, forward.
.PHONY: soak-upgrade
soak-upgrade:
	CATKIN_SOAK_SEED=$(SEED) CATKIN_SOAK_N=$(N) CATKIN_SOAK_JOBS=$(JOBS) $(GO) test -count=1 -timeout 60m -run TestRollingUpgrade -v ./internal/soak

# Crowds of clients that do not behave, beside kills and stops, one seed after the other.
.PHONY: soak-badclients
soak-badclients:
	CATKIN_SOAK_SEED=$(SEED) CATKIN_SOAK_N=$(N) $(GO) test -count=1 -timeout 60m -run TestBadClients -v ./internal/soak
