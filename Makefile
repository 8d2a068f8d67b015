GO ?= go
SEED ?= 1
DURATION ?= 60s
DEPLOYMENT ?= thies

.PHONY: build test lint unit integration up demo bench bench-control capacity soak soak-platform fuzz clean

build:
	$(GO) build -o bin/ragwortstep ./cmd/ragwortstep
	$(GO) build -o bin/standin ./test/standin
	$(GO) build -o bin/deploy ./test/deploy
	$(GO) build -o bin/bench ./test/bench
	$(GO) build -o bin/soak ./test/soak

lint:
	$(GO) vet ./...
	test -z "$$($(GO) tool gofumpt -l cmd internal platform test)"
	$(GO) tool staticcheck ./...
	$(GO) run ./test/corecheck

unit:
	$(GO) test ./cmd/... ./internal/... ./platform/... ./test/standin/... ./test/harness/... ./test/deploy/... ./test/bench/... ./test/soak/... ./test/corecheck/...

test: build lint
	./test/run.sh

up: build
	./bin/deploy up --deployment $(DEPLOYMENT)

demo: build
	./bin/deploy demo --deployment $(DEPLOYMENT)

bench: build
	./bin/bench --deployment $(DEPLOYMENT) --seed $(SEED)

bench-control: build
	./bin/bench control --deployment $(DEPLOYMENT) --seed $(SEED)

# Runs the benchmarks and tests for the slopes in docs/CAPACITY.md, one package
# at a time.
CAPACITY = ./internal/core/membership ./internal/core/limit ./internal/core/config ./internal/core/balance \
	./internal/core/schedule ./internal/core/batch ./internal/core/orders ./internal/events ./internal/fleet

capacity:
	@cat /proc/loadavg
	$(GO) test -p 1 -run '^$$' -bench . -benchtime 200ms $(CAPACITY)
	$(GO) test -count 1 -run 'TestPlatformCallsPerItem|TestSlowChunkCommitsSeldom' -v ./internal/jobs

soak: build
	./bin/soak --deployment $(DEPLOYMENT) --seed $(SEED) --duration $(DURATION)

# Runs one fuzz target for DURATION: make fuzz PACKAGE=./internal/gateway TARGET=FuzzStripQuery
fuzz:
	$(GO) test -run '^$$' -fuzz '^$(TARGET)$$' -fuzztime $(DURATION) $(PACKAGE)

clean:
	rm -rf bin out

# Runs the fault soak test with SEEDS new seeds and hosts on the platform's
# protocol:
# make soak-platform SEEDS=50 DURATION=6s
SEEDS ?= 5
soak-platform:
	SOAK_SEEDS=$(SEEDS) SOAK_DURATION=$(DURATION) $(GO) test -count=1 -timeout 3600s -run 'TestSoak|TestPlannedStops' -v ./test/coop
