GO ?= go
BIN := bin
PROGRAMS := $(notdir $(wildcard cmd/*))

.PHONY: all build test lint fmt race

all: build

build:
	@mkdir -p $(BIN)
	$(GO) build -o $(BIN)/ ./cmd/...

fmt:
	@out=$$(gofmt -l cmd internal); if [ -n "$$out" ]; then echo "gofmt wants changes in:"; echo "$$out"; exit 1; fi

lint: fmt
	$(GO) vet ./...
	$(GO) tool staticcheck ./...

test: lint build
	$(GO) test -race ./...

# Starts stand-ins and six VMs' worth of processes, shows one completion and one
# reservation, and keeps running until interrupted.
.PHONY: run
run: build
	scripts/run.sh
